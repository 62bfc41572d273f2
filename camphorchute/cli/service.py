"""Commands that plan, confirm and show changes of services."""

from typing import Any
from urllib.parse import quote

import click

from camphorchute.cli.assignments import set_values
from camphorchute.cli.client import EntryClient, Reply
from camphorchute.cli.common import (
    call_entry,
    exit_command,
    operator_options,
    print_reply_and_exit,
    read_json,
)
from camphorchute.cli.exit_codes import ExitCode
from camphorchute.cli.formatting import (
    confirmation_text,
    history_text,
    plan_text,
    status_text,
    tree_text,
)

__all__ = ["service"]


@click.group()
def service() -> None:
    """Define services: plan a change, read the plan, confirm it."""


@service.command("plan")
@click.argument("file", type=click.File("rb"), required=False)
@click.option("--service", "name", help="The service to change without a file.")
@click.option(
    "--set",
    "assignments",
    multiple=True,
    metavar="PATH=VALUE",
    help="Set one value; may be repeated.",
)
@click.option("--remove", is_flag=True, help="Remove the service.")
@click.option(
    "--undo", "undo_revision", type=click.IntRange(1), help="Restore the definition of a revision."
)
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
    change_sources = sum(map(bool, (file, assignments, remove, undo_revision)))
    if change_sources != 1 or bool(file) == bool(name):
        raise click.UsageError(
            "Give either FILE, or --service with one of --set, --remove and --undo."
        )
    if assignments:
        reply = _plan_assignments(client, as_json, name, assignments)
    elif file:
        definition = read_json(file)
        defined_name = definition.get("name", "") if isinstance(definition, dict) else ""
        reply = _make_plan(client, {"service": defined_name, "definition": definition})
    elif remove:
        reply = _make_plan(client, {"service": name, "definition": None})
    else:
        reply = _make_plan(client, {"service": name, "undo_revision": undo_revision})
    print_reply_and_exit(reply, as_json, plan_text)


def _make_plan(client: EntryClient, body: dict[str, Any]) -> Reply:
    return call_entry(client, "POST", "/v1/plans", body)


def _plan_assignments(
    client: EntryClient, as_json: bool, name: str, assignments: tuple[str, ...]
) -> Reply:
    """Return the answer to a plan that sets values on the definition in force.

    If another change was confirmed after the definition was read, the plan is discarded: it
    would undo that change.
    """
    reply = call_entry(client, "GET", f"/v1/services/{quote(name, safe='')}/history")
    if reply.code:
        print_reply_and_exit(reply, as_json, history_text)
    newest_entry = reply.body["entries"][0]
    try:
        definition = set_values(newest_entry.get("definition") or {"name": name}, assignments)
    except ValueError as error:
        raise click.UsageError(str(error)) from error
    plan_reply = _make_plan(client, {"service": name, "definition": definition})
    if not plan_reply.code and plan_reply.body["base_revision"] != newest_entry["revision"]:
        call_entry(client, "DELETE", f"/v1/plans/{plan_reply.body['id']}")
        click.echo(
            f"service {name} was changed meanwhile; the plan is discarded, try again", err=True
        )
        exit_command(ExitCode.REFUSED)
    return plan_reply


@service.command("plan-show")
@click.argument("plan_id")
@operator_options
def plan_show(client: EntryClient, as_json: bool, plan_id: str) -> None:
    """Show a plan."""
    print_reply_and_exit(
        call_entry(client, "GET", f"/v1/plans/{quote(plan_id, safe='')}"), as_json, plan_text
    )


@service.command()
@click.argument("plan_id")
@operator_options
def confirm(client: EntryClient, as_json: bool, plan_id: str) -> None:
    """Confirm a plan, so that it takes effect; safe to repeat."""
    reply = call_entry(client, "POST", f"/v1/plans/{quote(plan_id, safe='')}/confirm", {})
    print_reply_and_exit(reply, as_json, confirmation_text)


@service.command()
@click.argument("plan_id")
@operator_options
def discard(client: EntryClient, as_json: bool, plan_id: str) -> None:
    """Discard a plan that has not been confirmed."""
    reply = call_entry(client, "DELETE", f"/v1/plans/{quote(plan_id, safe='')}")
    print_reply_and_exit(reply, as_json, lambda body: f"plan {plan_id} is discarded")


@service.command()
@click.argument("name")
@operator_options
def history(client: EntryClient, as_json: bool, name: str) -> None:
    """List the revisions of a service, newest first."""
    reply = call_entry(client, "GET", f"/v1/services/{quote(name, safe='')}/history")
    print_reply_and_exit(reply, as_json, history_text)


@service.command()
@operator_options
def status(client: EntryClient, as_json: bool) -> None:
    """Show which revision is in force at every entry process."""
    print_reply_and_exit(call_entry(client, "GET", "/v1/status"), as_json, status_text)


@service.command()
@click.argument("name")
@operator_options
def show(client: EntryClient, as_json: bool, name: str) -> None:
    """Show the definition of a service in force at the entry process of --entry."""
    reply = call_entry(client, "GET", f"/v1/services/{quote(name, safe='')}")
    print_reply_and_exit(reply, as_json, tree_text)
