"""The command that takes a process or a back end out of work."""

import click

from camphorchute.cli.calls import call, operator_options, show_reply
from camphorchute.cli.client import EntryClient
from camphorchute.cli.show import tree_text

__all__ = ["drain"]


@click.command()
@click.argument("kind", type=click.Choice(["worker", "upstream", "entry"]))
@click.argument("name")
@click.option("--service", "service_name", help="The service of the worker or upstream.")
@operator_options
def drain(
    client: EntryClient, as_json: bool, kind: str, name: str, service_name: str | None
) -> None:
    """Give no new work to a worker, an upstream or an entry process; let running work end."""
    if (kind == "entry") == bool(service_name):
        raise click.UsageError("--service goes with a worker or an upstream, and only with these.")
    body = {kind: name}
    if service_name:
        body["service"] = service_name
    show_reply(call(client, "POST", "/v1/drain", body), as_json, tree_text)
