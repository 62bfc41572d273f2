"""Commands about jobs."""

from typing import Any
from urllib.parse import quote

import click

from camphorchute.cli.calls import call, caller_options, read_json, show_reply
from camphorchute.cli.client import EntryClient, Reply
from camphorchute.cli.show import tree_text
from camphorchute.contracts import ResultCode, new_key

__all__ = ["job"]

DEFAULT_WAIT_MS = 5_000

_wait_option = click.option(
    "--wait-ms",
    type=click.IntRange(0),
    default=DEFAULT_WAIT_MS,
    show_default=True,
    help="How long the entry process waits for the whole answer; keep it under --timeout-ms.",
)


@click.group()
def job() -> None:
    """Submit jobs and fetch their answers."""


@job.command()
@click.argument("file", type=click.File("rb"))
@click.option("--key", help="The idempotency key; a fresh one by default.")
@_wait_option
@caller_options
def submit(client: EntryClient, as_json: bool, file: Any, key: str | None, wait_ms: int) -> None:
    """Submit the job in FILE (- for standard input).

    The key is printed first: a submission whose answer was lost is repeated with --key.
    """
    spec = read_json(file)
    key = key or new_key()
    click.echo(f"key {key}", err=True)
    headers = {"Idempotency-Key": key}
    reply = call(client, "POST", f"/v1/jobs?wait_ms={wait_ms}", spec, headers)
    show_reply(reply, as_json, tree_text)


@job.command()
@click.argument("key")
@_wait_option
@caller_options
def get(client: EntryClient, as_json: bool, key: str, wait_ms: int) -> None:
    """Fetch the answer to a job."""
    reply = call(client, "GET", f"/v1/jobs/{quote(key, safe=':')}?wait_ms={wait_ms}")
    show_reply(reply, as_json, tree_text)


@job.command()
@click.argument("key")
@caller_options
def cancel(client: EntryClient, as_json: bool, key: str) -> None:
    """Cancel a job."""
    reply = call(client, "DELETE", f"/v1/jobs/{quote(key, safe=':')}")
    if reply.code in (ResultCode.CANCELLED, ResultCode.CANCELLED_BEFORE_START):
        reply = Reply(reply.status, {**reply.body, "code": 0, "cancelled_as": reply.code})
    show_reply(reply, as_json, tree_text)
