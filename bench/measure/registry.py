"""The measurements by name, and how they print."""

from collections.abc import Callable

import msgspec

__all__ = ["MEASUREMENTS", "measurement", "show"]

MEASUREMENTS: dict[str, Callable[[], None]] = {}


def measurement(function: Callable[[], None]) -> Callable[[], None]:
    """Add a measurement to the registry."""
    MEASUREMENTS[function.__name__] = function
    return function


def show(**fields: object) -> None:
    """Print a JSON line."""
    rounded = {k: round(v, 5) if isinstance(v, float) else v for k, v in fields.items()}
    print(msgspec.json.encode(rounded).decode(), flush=True)
