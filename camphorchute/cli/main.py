"""The command line of camphorchute.

Exit codes: 0 done, 1 refused or failed, 2 faults of the command line or the settings, 3 the
entry process cannot be reached, 4 it may have taken effect.
"""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
from collections.abc import Callable  # noqa: E402

import click  # noqa: E402
import msgspec  # noqa: E402

from camphorchute import __version__  # noqa: E402
from camphorchute.cli.drain import drain  # noqa: E402
from camphorchute.cli.exits import ExitCode  # noqa: E402
from camphorchute.cli.job import job  # noqa: E402
from camphorchute.cli.service import service  # noqa: E402
from camphorchute.cli.settings import Settings, load_settings  # noqa: E402
from camphorchute.cli.settings_table import SETTINGS, settings_markdown  # noqa: E402
from camphorchute.cli.show import table_text  # noqa: E402
from camphorchute.contracts.codes import codes_markdown  # noqa: E402

__all__ = ["main"]

ETCD = "etcd"


@click.group()
@click.version_option(__version__)
def main() -> None:
    """A dispatcher for sub-second tasks that answers for their outcomes.

    Exit codes: 0 done, 1 refused or failed, 2 faults of the command line or the settings, 3 the
    entry process cannot be reached, 4 it may have taken effect.
    """


def _settings_options(command: Callable) -> Callable:
    for info in reversed(SETTINGS):
        default = f" [default: {info.default}]" if info.default else ""
        required = " [required]" if info.default is None else ""
        text = f"{info.description} [env var: {info.variable}]{default}{required}"
        command = click.option(info.flag, info.name, default=None, help=text)(command)
    return command


def _load(flags: dict[str, str | None]) -> Settings:
    """Return the settings in force; end the command with every fault."""
    try:
        return load_settings(flags, os.environ)
    except ExceptionGroup as group:
        click.echo(f"{len(group.exceptions)} faults of the settings:", err=True)
        for fault in group.exceptions:
            click.echo(f"  {fault}", err=True)
        click.get_current_context().exit(int(ExitCode.USAGE))


@main.command()
@_settings_options
def entry(**flags: str | None) -> None:
    """Run an entry process until it is told to stop."""
    settings = _load(flags)
    if settings.platform == ETCD:
        from camphorchute.entry.daemon import run
    else:
        from camphorchute.entry.hosted_process import run
    run(settings)


@main.command("settings")
@click.option("--markdown", is_flag=True, help="Print the table of all settings instead.")
@click.option("--json", "as_json", is_flag=True, help="Print the settings as JSON.")
@_settings_options
def print_settings(markdown: bool, as_json: bool, **flags: str | None) -> None:
    """Print the settings in force and where each comes from."""
    if markdown:
        click.echo(settings_markdown(), nl=False)
        return
    rows = _load(flags).rows()
    if as_json:
        shown = {name: {"value": value, "source": source} for name, value, source in rows}
        click.echo(msgspec.json.format(msgspec.json.encode(shown), indent=2).decode())
    else:
        click.echo(table_text(["setting", "value", "from"], [list(row) for row in rows]))


@main.command()
def codes() -> None:
    """Print the table of result codes."""
    click.echo(codes_markdown(), nl=False)


main.add_command(service)
main.add_command(drain)
main.add_command(job)
