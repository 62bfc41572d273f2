"""Options, calls and output shared by the commands that call an entry process."""

import functools
import ipaddress
from collections.abc import Callable
from typing import Any, NoReturn

import click
import msgspec

from camphorchute.cli.client import AnswerLost, EntryClient, NotReachable, Reply
from camphorchute.cli.exit_codes import ExitCode, exit_code
from camphorchute.cli.formatting import refusal_text

__all__ = [
    "call_entry",
    "caller_options",
    "exit_command",
    "operator_options",
    "print_reply_and_exit",
    "read_json",
]

DEFAULT_TIMEOUT_MS = 10_000
OPERATOR_MAX_CHARS = 64


def _check_address(context: click.Context, parameter: click.Parameter, value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not 1 <= int(port) <= 65_535:
            raise ValueError
    except ValueError:
        raise click.BadParameter(f"{value!r} is not IP:port with a port from 1 to 65535") from None
    return value


def _check_operator(context: click.Context, parameter: click.Parameter, value: str) -> str:
    if not (value.isascii() and value.isprintable() and len(value) <= OPERATOR_MAX_CHARS):
        raise click.BadParameter(
            f"{value!r} is not a name of at most {OPERATOR_MAX_CHARS} printable ASCII characters"
        )
    return value


_CALLER_OPTIONS = (
    click.option(
        "--entry",
        "entry_address",
        envvar="CAMPHORCHUTE_ENTRY",
        show_envvar=True,
        required=True,
        callback=_check_address,
        help="IP:port of any entry process.",
    ),
    click.option(
        "--timeout-ms",
        type=click.IntRange(1),
        default=DEFAULT_TIMEOUT_MS,
        show_default=True,
        help="How long to wait for an answer.",
    ),
    click.option("--json", "as_json", is_flag=True, help="Print the answer as JSON."),
)
_OPERATOR_OPTIONS = (
    click.option(
        "--token",
        envvar="CAMPHORCHUTE_OPERATOR_TOKEN",
        show_envvar=True,
        required=True,
        help="The operators' token.",
    ),
    click.option(
        "--operator",
        envvar="CAMPHORCHUTE_OPERATOR",
        show_envvar=True,
        required=True,
        callback=_check_operator,
        help="Your name, recorded with the plans that you make and confirm.",
    ),
)


def caller_options(command: Callable) -> Callable:
    """Add the options for the entry process, the timeout and JSON output to a command.

    The command receives ``client``, an `EntryClient`, and ``as_json`` in addition to its own
    arguments.
    """
    return _add_client_options(command, _CALLER_OPTIONS)


def operator_options(command: Callable) -> Callable:
    """Add the options of `caller_options` and the operator's token and name to a command."""
    return _add_client_options(command, _CALLER_OPTIONS + _OPERATOR_OPTIONS)


def _add_client_options(command: Callable, options: tuple[Callable, ...]) -> Callable:
    @functools.wraps(command)
    def wrapper(entry_address, timeout_ms, token="", operator="", **arguments):
        client = EntryClient(entry_address, token, operator, timeout_ms)
        return command(client=client, **arguments)

    for option in reversed(options):
        wrapper = option(wrapper)
    return wrapper


def call_entry(
    client: EntryClient,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Send a request and return its answer; without one, print the error and exit.

    The arguments are those of `EntryClient.call`.
    """
    try:
        return client.call(method, path, body, headers)
    except NotReachable as error:
        _exit_with_error(ExitCode.NOT_REACHABLE, f"entry process not reachable: {error}")
    except AnswerLost as error:
        _exit_with_error(
            ExitCode.UNKNOWN, f"no answer arrived, the call may have taken effect: {error}"
        )


def print_reply_and_exit(reply: Reply, as_json: bool, to_text: Callable[[Any], str]) -> NoReturn:
    """Print an answer and exit with the code for its result.

    Args:
        reply: the answer.
        as_json: whether to print the body as JSON instead of text.
        to_text: returns the text for the body of a successful answer.
    """
    code = exit_code(reply.code)
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(reply.body), indent=2).decode())
    elif code is ExitCode.DONE:
        click.echo(to_text(reply.body))
    else:
        click.echo(refusal_text(reply.body, reply.status), err=True)
    exit_command(code)


def exit_command(code: ExitCode) -> NoReturn:
    """Exit the running command with an exit code."""
    click.get_current_context().exit(int(code))


def read_json(file: Any) -> Any:
    """Return the decoded JSON content of an open file.

    Raises:
        click.BadParameter: the content is not valid JSON.
    """
    try:
        return msgspec.json.decode(file.read())
    except msgspec.DecodeError as error:
        raise click.BadParameter(
            f"{getattr(file, 'name', 'input')} is not valid JSON: {error}"
        ) from error


def _exit_with_error(code: ExitCode, text: str) -> NoReturn:
    click.echo(text, err=True)
    exit_command(code)
