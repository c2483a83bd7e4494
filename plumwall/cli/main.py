"""The `plumwall` command. Subcommands are imported when they are used."""

from __future__ import annotations

import platform
from importlib import import_module, metadata

import click

from plumwall import VERSION
from plumwall.cli.console import json_option, print_fields

# Module and function of each command. Lazy imports keep the start of one command free of the others' imports.
COMMANDS = {
    "up": "play:up",
    "load": "play:load",
    "simulate": "simulate:simulate",
    "scenario": "scenario:scenario",
    "gateway": "service:gateway",
    "registry": "service:registry",
    "checker": "service:checker",
    "servers": "servers:servers",
    "drain": "servers:drain",
    "undrain": "servers:undrain",
    "leases": "servers:leases",
    "holding": "holding:holding",
    "members": "members:members",
    "verdicts": "members:verdicts",
    "limits": "limits:limits",
    "torture": "torture:torture",
    "check-model": "torture:check_model",
    "config": "check:config",
}
LIBRARIES = ("click", "rich", "msgspec", "xxhash", "numpy", "hdrhistogram", "httptools", "uvloop")


class LazyGroup(click.Group):
    """A command group that imports a command from `COMMANDS` when it is looked up."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return [*COMMANDS, *super().list_commands(ctx)]

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in COMMANDS:
            return super().get_command(ctx, name)
        module, _, attribute = COMMANDS[name].partition(":")
        return getattr(import_module(f"plumwall.cli.{module}"), attribute)


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """Run gateways, the services that they use, and an emulated environment to test them in.

    \b
    Exit status: 0 success, 1 failure or a broken rule, 2 wrong usage or an invalid file.
    Completion:  eval "$(_PLUMWALL_COMPLETE=bash_source plumwall)"   (or zsh_source, fish_source)
    """


@cli.command()
@json_option
def version(json_: bool) -> None:
    """Show the versions of plumwall, Python and the libraries in use.

    \b
    Example:
      plumwall version --json
    """
    print_fields(
        {
            "plumwall": VERSION,
            "python": platform.python_version(),
            **{name: metadata.version(name) for name in LIBRARIES},
        },
        json_,
    )


def main() -> None:
    """Entry point of `python -m plumwall` and of the installed `plumwall` script."""
    cli(prog_name="plumwall")
