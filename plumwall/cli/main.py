"""`plumwall`: the commands by name, each loaded when it is asked for."""

from __future__ import annotations

import platform
from importlib import import_module, metadata

import click

from plumwall import VERSION
from plumwall.cli.console import as_json, fields

# Where each command lives. Help for one does not pay for the imports of the others.
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


class Lazy(click.Group):
    """A group whose commands are imported by name."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return [*COMMANDS, *super().list_commands(ctx)]

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in COMMANDS:
            return super().get_command(ctx, name)
        module, _, attribute = COMMANDS[name].partition(":")
        return getattr(import_module(f"plumwall.cli.{module}"), attribute)


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """Run gateways, the services round them, and the world that they are tried in.

    \b
    Exit status: 0 done, 1 the work failed or a rule broke, 2 bad use or a bad file.
    Completion:  eval "$(_PLUMWALL_COMPLETE=bash_source plumwall)"   (or zsh_source, fish_source)
    """


@cli.command()
@as_json
def version(json_: bool) -> None:
    """Say which version this is, and of what it is made.

    \b
    Example:
      plumwall version --json
    """
    fields(
        {
            "plumwall": VERSION,
            "python": platform.python_version(),
            **{name: metadata.version(name) for name in LIBRARIES},
        },
        json_,
    )


def main() -> None:
    """The entry of `python -m plumwall` and of the script."""
    cli(prog_name="plumwall")
