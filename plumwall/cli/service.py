"""Commands that become one of the programs in service."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from pathlib import Path

import click

from plumwall.cli.console import FILE
from yewstage.log import FORMATS


def log_format(command: Callable) -> Callable:
    """How the program logs."""
    return click.option(
        "--log-format",
        type=click.Choice(FORMATS),
        help="Text for people, or JSON lines; goes before the file's `log`.",
    )(command)


def chosen_format(chosen: str | None) -> list[str]:
    return ["--log-format", chosen] if chosen else []


def become(module: str, *words: str) -> None:
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
@log_format
def gateway(config: Path, log_format: str | None) -> None:
    """Run one gateway, as `python -m yewstage` does.

    \b
    Example:
      plumwall gateway --config config.json
    """
    os.environ["ROUTER_CONFIG"] = str(config)
    if log_format:
        os.environ["ROUTER_LOG"] = log_format
    become("yewstage")


@click.command()
@click.option("--config", type=FILE, required=True, help="What the list service is told, as JSON.")
@log_format
def registry(config: Path, log_format: str | None) -> None:
    """Run the list service.

    \b
    Example:
      plumwall registry --config registry.json
    """
    become("yewstage.registry", "--config", str(config), *chosen_format(log_format))


@click.command()
@click.option("--config", type=FILE, required=True, help="What the checker is told, as JSON.")
@log_format
def checker(config: Path, log_format: str | None) -> None:
    """Run a checker of the listed servers.

    \b
    Example:
      plumwall checker --config checker.json
    """
    become("yewstage.checker", "--config", str(config), *chosen_format(log_format))
