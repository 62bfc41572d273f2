"""The command line interface of camphorchute: the root command and its settings options.

Exit codes: 0 done, 1 refused or failed, 2 invalid command line or settings, 3 the entry process
cannot be reached, 4 the call may have taken effect.
"""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
from collections.abc import Callable  # noqa: E402

import click  # noqa: E402
import msgspec  # noqa: E402

from camphorchute import __version__  # noqa: E402
from camphorchute.cli.drain import drain  # noqa: E402
from camphorchute.cli.exit_codes import ExitCode  # noqa: E402
from camphorchute.cli.formatting import table_text  # noqa: E402
from camphorchute.cli.job import job  # noqa: E402
from camphorchute.cli.service import service  # noqa: E402
from camphorchute.cli.settings import Settings, load_settings  # noqa: E402
from camphorchute.cli.settings_table import SETTINGS, settings_markdown  # noqa: E402
from camphorchute.contracts.codes import codes_markdown  # noqa: E402

__all__ = ["main"]

ETCD_PLATFORM = "etcd"


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Dispatcher for sub-second tasks that reports the outcome of every task.

    Exit codes: 0 done, 1 refused or failed, 2 invalid command line or settings, 3 the entry
    process cannot be reached, 4 the call may have taken effect.
    """


def _settings_options(command: Callable) -> Callable:
    """Add one option for each setting to a command."""
    for info in reversed(SETTINGS):
        default = f" [default: {info.default}]" if info.default else ""
        required = " [required]" if info.default is None else ""
        help_text = f"{info.description} [env var: {info.variable}]{default}{required}"
        command = click.option(info.flag, info.name, default=None, help=help_text)(command)
    return command


def _load_or_exit(flags: dict[str, str | None]) -> Settings:
    """Return the settings; if any is invalid, print every error and exit."""
    try:
        return load_settings(flags, os.environ)
    except ExceptionGroup as group:
        click.echo(f"{len(group.exceptions)} errors in the settings:", err=True)
        for error in group.exceptions:
            click.echo(f"  {error}", err=True)
        click.get_current_context().exit(int(ExitCode.USAGE))


@main.command()
@_settings_options
def entry(**flags: str | None) -> None:
    """Run an entry process until SIGTERM or SIGINT."""
    settings = _load_or_exit(flags)
    if settings.platform == ETCD_PLATFORM:
        from camphorchute.entry.daemon import run
    else:
        from camphorchute.entry.hosted_process import run
    run(settings)


@main.command("settings")
@click.option(
    "--markdown", is_flag=True, help="Print the reference table of all settings as Markdown."
)
@click.option("--json", "as_json", is_flag=True, help="Print the settings as JSON.")
@_settings_options
def print_settings(markdown: bool, as_json: bool, **flags: str | None) -> None:
    """Print the value of every setting and where it comes from."""
    if markdown:
        click.echo(settings_markdown(), nl=False)
        return
    rows = _load_or_exit(flags).rows()
    if as_json:
        settings = {name: {"value": value, "source": source} for name, value, source in rows}
        click.echo(msgspec.json.format(msgspec.json.encode(settings), indent=2).decode())
    else:
        click.echo(table_text(["setting", "value", "from"], [list(row) for row in rows]))


@main.command()
def codes() -> None:
    """Print the table of result codes as Markdown."""
    click.echo(codes_markdown(), nl=False)


main.add_command(service)
main.add_command(drain)
main.add_command(job)
