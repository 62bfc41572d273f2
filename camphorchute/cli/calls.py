"""What the commands that call an entry process have in common."""

import functools
import ipaddress
from collections.abc import Callable
from typing import Any, NoReturn

import click
import msgspec

from camphorchute.cli.client import AnswerLost, EntryClient, NotReachable, Reply
from camphorchute.cli.exits import ExitCode, exit_code
from camphorchute.cli.show import refusal_text

__all__ = ["call", "caller_options", "finish", "operator_options", "read_json", "show_reply"]

DEFAULT_TIMEOUT_MS = 10_000
OPERATOR_MAX_CHARS = 64


def _check_address(context: click.Context, parameter: click.Parameter, value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not 1 <= int(port) <= 65_535:
            raise ValueError
    except ValueError:
        raise click.BadParameter(f"{value!r} is not IP:port") from None
    return value


def _check_operator(context: click.Context, parameter: click.Parameter, value: str) -> str:
    if not (value.isascii() and value.isprintable() and len(value) <= OPERATOR_MAX_CHARS):
        raise click.BadParameter(f"at most {OPERATOR_MAX_CHARS} printable ASCII characters")
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
        help="Your name, recorded with what you confirm.",
    ),
)


def caller_options(command: Callable) -> Callable:
    """Return a command that takes the options of a caller's request.

    It is called with ``client``, an `EntryClient`, and ``as_json`` besides its own arguments.
    """
    return _with_client(command, _CALLER_OPTIONS)


def operator_options(command: Callable) -> Callable:
    """Return a command that takes the options of an operator's call, as `caller_options` does."""
    return _with_client(command, _CALLER_OPTIONS + _OPERATOR_OPTIONS)


def _with_client(command: Callable, options: tuple[Callable, ...]) -> Callable:
    @functools.wraps(command)
    def wrapped(entry_address, timeout_ms, token="", operator="", **arguments):
        client = EntryClient(entry_address, token, operator, timeout_ms)
        return command(client=client, **arguments)

    for option in reversed(options):
        wrapped = option(wrapped)
    return wrapped


def call(
    client: EntryClient,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Return the answer to a call; end the command where none came."""
    try:
        return client.call(method, path, body, headers)
    except NotReachable as error:
        _end(ExitCode.NOT_REACHABLE, f"not reachable: {error}")
    except AnswerLost as error:
        _end(ExitCode.UNKNOWN, f"the answer was lost, it may have taken effect: {error}")


def show_reply(reply: Reply, as_json: bool, to_text: Callable[[Any], str]) -> NoReturn:
    """Print an answer and end the command with the exit code of its result."""
    code = exit_code(reply.code)
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(reply.body), indent=2).decode())
    elif code is ExitCode.DONE:
        click.echo(to_text(reply.body))
    else:
        click.echo(refusal_text(reply.body, reply.status), err=True)
    finish(code)


def finish(code: ExitCode) -> NoReturn:
    """End the command with an exit code."""
    click.get_current_context().exit(int(code))


def read_json(file: Any) -> Any:
    """Return the JSON that a file holds; end the command where it holds none."""
    try:
        return msgspec.json.decode(file.read())
    except msgspec.DecodeError as error:
        raise click.BadParameter(f"{getattr(file, 'name', 'input')}: {error}") from error


def _end(code: ExitCode, text: str) -> NoReturn:
    click.echo(text, err=True)
    finish(code)
