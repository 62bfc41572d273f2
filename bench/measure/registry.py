"""Registry of the capacity measurements by name, and their output format."""

from collections.abc import Callable

import msgspec

__all__ = ["MEASUREMENTS", "print_json_line", "register_measurement"]

MEASUREMENTS: dict[str, Callable[[], None]] = {}


def register_measurement(function: Callable[[], None]) -> Callable[[], None]:
    """Register a measurement under the name of its function and return the function."""
    MEASUREMENTS[function.__name__] = function
    return function


def print_json_line(**fields: object) -> None:
    """Print the fields as one line of JSON, with floats rounded to 5 decimal places."""
    rounded = {k: round(v, 5) if isinstance(v, float) else v for k, v in fields.items()}
    print(msgspec.json.encode(rounded).decode(), flush=True)
