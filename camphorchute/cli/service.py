"""Commands about services and plans."""

from typing import Any
from urllib.parse import quote

import click

from camphorchute.cli.calls import call, finish, operator_options, read_json, show_reply
from camphorchute.cli.client import EntryClient, Reply
from camphorchute.cli.exits import ExitCode
from camphorchute.cli.intent import set_values
from camphorchute.cli.show import (
    confirmation_text,
    history_text,
    plan_text,
    status_text,
    tree_text,
)

__all__ = ["service"]


@click.group()
def service() -> None:
    """Define services: plan a change, read it, confirm it."""


@service.command("plan")
@click.argument("file", type=click.File("rb"), required=False)
@click.option("--service", "name", help="The service to change without a file.")
@click.option("--set", "assignments", multiple=True, metavar="PATH=VALUE", help="Set one value.")
@click.option("--remove", is_flag=True, help="Remove the service.")
@click.option("--undo", "undo_revision", type=click.IntRange(1), help="Restore a revision.")
@operator_options
def plan(
    client: EntryClient,
    as_json: bool,
    file: Any,
    name: str | None,
    assignments: tuple[str, ...],
    remove: bool,
    undo_revision: int | None,
) -> None:
    """Plan a change from a definition in FILE (- for standard input) or from options.

    Nothing takes effect before the plan is confirmed.
    """
    ways = sum(map(bool, (file, assignments, remove, undo_revision)))
    if ways != 1 or bool(file) == bool(name):
        raise click.UsageError(
            "Give either FILE, or --service with one of --set, --remove and --undo."
        )
    if assignments:
        reply = _plan_from_values(client, as_json, name, assignments)
    elif file:
        definition = read_json(file)
        named = definition.get("name", "") if isinstance(definition, dict) else ""
        reply = _plan(client, {"service": named, "definition": definition})
    elif remove:
        reply = _plan(client, {"service": name, "definition": None})
    else:
        reply = _plan(client, {"service": name, "undo_revision": undo_revision})
    show_reply(reply, as_json, plan_text)


def _plan(client: EntryClient, body: dict[str, Any]) -> Reply:
    return call(client, "POST", "/v1/plans", body)


def _plan_from_values(
    client: EntryClient, as_json: bool, name: str, assignments: tuple[str, ...]
) -> Reply:
    """Return a plan that sets values on the definition in force.

    A plan whose base is not the definition that was read is discarded: it would undo the
    change that came between.
    """
    reply = call(client, "GET", f"/v1/services/{quote(name, safe='')}/history")
    if reply.code:
        show_reply(reply, as_json, history_text)
    newest = reply.body["entries"][0]
    try:
        definition = set_values(newest.get("definition") or {"name": name}, assignments)
    except ValueError as error:
        raise click.UsageError(str(error)) from error
    planned = _plan(client, {"service": name, "definition": definition})
    if not planned.code and planned.body["base_revision"] != newest["revision"]:
        call(client, "DELETE", f"/v1/plans/{planned.body['id']}")
        click.echo(f"{name} was changed meanwhile; nothing is planned, try again", err=True)
        finish(ExitCode.REFUSED)
    return planned


@service.command("plan-show")
@click.argument("plan_id")
@operator_options
def plan_show(client: EntryClient, as_json: bool, plan_id: str) -> None:
    """Show a plan."""
    show_reply(call(client, "GET", f"/v1/plans/{quote(plan_id, safe='')}"), as_json, plan_text)


@service.command()
@click.argument("plan_id")
@operator_options
def confirm(client: EntryClient, as_json: bool, plan_id: str) -> None:
    """Put a plan in force; safe to repeat."""
    reply = call(client, "POST", f"/v1/plans/{quote(plan_id, safe='')}/confirm", {})
    show_reply(reply, as_json, confirmation_text)


@service.command()
@click.argument("plan_id")
@operator_options
def discard(client: EntryClient, as_json: bool, plan_id: str) -> None:
    """Remove a plan that is not to be confirmed."""
    reply = call(client, "DELETE", f"/v1/plans/{quote(plan_id, safe='')}")
    show_reply(reply, as_json, lambda body: f"plan {plan_id} is discarded")


@service.command()
@click.argument("name")
@operator_options
def history(client: EntryClient, as_json: bool, name: str) -> None:
    """List the states of a service, the newest first."""
    reply = call(client, "GET", f"/v1/services/{quote(name, safe='')}/history")
    show_reply(reply, as_json, history_text)


@service.command()
@operator_options
def status(client: EntryClient, as_json: bool) -> None:
    """Show which revision is in force at every entry process."""
    show_reply(call(client, "GET", "/v1/status"), as_json, status_text)


@service.command()
@click.argument("name")
@operator_options
def show(client: EntryClient, as_json: bool, name: str) -> None:
    """Show a service as it is in force at the entry process asked."""
    reply = call(client, "GET", f"/v1/services/{quote(name, safe='')}")
    show_reply(reply, as_json, tree_text)
