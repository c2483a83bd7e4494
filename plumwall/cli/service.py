"""Commands that become one of the programs in service."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


def _become(module: str, *words: str) -> None:
    """Replace this process: what runs in service carries nothing of the workbench."""
    sys.stdout.flush()
    os.execv(sys.executable, [sys.executable, "-m", module, *words])


@click.command()
@click.option(
    "--config",
    type=FILE,
    envvar="ROUTER_CONFIG",
    required=True,
    show_envvar=True,
    help="What the gateway is told, as JSON.",
)
def gateway(config: Path) -> None:
    """Run one gateway, as `python -m yewstage` does.

    \b
    Example:
      plumwall gateway --config config.json
    """
    os.environ["ROUTER_CONFIG"] = str(config)
    _become("yewstage")


@click.command()
@click.option("--config", type=FILE, required=True, help="What the list service is told, as JSON.")
def registry(config: Path) -> None:
    """Run the list service.

    \b
    Example:
      plumwall registry --config registry.json
    """
    _become("yewstage.registry", "--config", str(config))


@click.command()
@click.option("--config", type=FILE, required=True, help="What the checker is told, as JSON.")
def checker(config: Path) -> None:
    """Run a checker of the listed servers.

    \b
    Example:
      plumwall checker --config checker.json
    """
    _become("yewstage.checker", "--config", str(config))
