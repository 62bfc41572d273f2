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

__all__ = ["call", "call_options", "finish", "read_json", "show_reply"]

DEFAULT_TIMEOUT_MS = 10_000


def _check_address(context: click.Context, parameter: click.Parameter, value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not 1 <= int(port) <= 65_535:
            raise ValueError
    except ValueError:
        raise click.BadParameter(f"{value!r} is not IP:port") from None
    return value


_OPTIONS = (
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
        "--token",
        envvar="CAMPHORCHUTE_OPERATOR_TOKEN",
        show_envvar=True,
        default="",
        help="The operators' token.",
    ),
    click.option(
        "--operator",
        envvar="CAMPHORCHUTE_OPERATOR",
        show_envvar=True,
        default="",
        help="Your name, recorded with what you confirm.",
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


def call_options(command: Callable) -> Callable:
    """Return a command that takes the options of a call as one `EntryClient` and a flag.

    The command is called with ``client`` and ``as_json`` besides its own arguments.
    """

    @functools.wraps(command)
    def wrapped(entry_address, token, operator, timeout_ms, **arguments):
        client = EntryClient(entry_address, token, operator, timeout_ms)
        return command(client=client, **arguments)

    for option in reversed(_OPTIONS):
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
