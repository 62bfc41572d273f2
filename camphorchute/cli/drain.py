"""The command that drains a worker, an upstream or an entry process."""

import click

from camphorchute.cli.client import EntryClient
from camphorchute.cli.common import call_entry, operator_options, print_reply_and_exit
from camphorchute.cli.formatting import tree_text

__all__ = ["drain"]


@click.command()
@click.argument("kind", type=click.Choice(["worker", "upstream", "entry"]))
@click.argument("name")
@click.option("--service", "service_name", help="The service of the worker or upstream.")
@operator_options
def drain(
    client: EntryClient, as_json: bool, kind: str, name: str, service_name: str | None
) -> None:
    """Stop sending new work to a worker, an upstream or an entry process.

    Running work may finish.
    """
    if (kind == "entry") == bool(service_name):
        raise click.UsageError(
            "--service is required for a worker or an upstream and not allowed for an entry."
        )
    body = {kind: name}
    if service_name:
        body["service"] = service_name
    print_reply_and_exit(call_entry(client, "POST", "/v1/drain", body), as_json, tree_text)
