"""Commands that run a production program: the gateway, the list service or the checker."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from pathlib import Path

import click

from plumwall.cli.console import EXISTING_FILE
from yewstage.log import FORMATS


def log_format(command: Callable) -> Callable:
    """Decorator that adds the `--log-format` option of a production program."""
    return click.option(
        "--log-format",
        type=click.Choice(FORMATS),
        help="Text, or JSON lines; overrides `log` in the file.",
    )(command)


def log_format_arguments(chosen: str | None) -> list[str]:
    """Command line arguments that pass a chosen log format on to the program."""
    return ["--log-format", chosen] if chosen else []


def exec_module(module: str, *words: str) -> None:
    """Replace this process by a module's, so that a production program runs without workbench imports."""
    sys.stdout.flush()
    os.execv(sys.executable, [sys.executable, "-m", module, *words])


@click.command()
@click.option(
    "--config",
    type=EXISTING_FILE,
    envvar="ROUTER_CONFIG",
    required=True,
    show_envvar=True,
    help="JSON file with the gateway's configuration.",
)
@log_format
def gateway(config: Path, log_format: str | None) -> None:
    """Run one gateway, like `python -m yewstage`.

    \b
    Example:
      plumwall gateway --config config.json
    """
    os.environ["ROUTER_CONFIG"] = str(config)
    if log_format:
        os.environ["ROUTER_LOG"] = log_format
    exec_module("yewstage")


@click.command()
@click.option(
    "--config", type=EXISTING_FILE, required=True, help="JSON file with the list service's configuration."
)
@log_format
def registry(config: Path, log_format: str | None) -> None:
    """Run the list service.

    \b
    Example:
      plumwall registry --config registry.json
    """
    exec_module("yewstage.registry", "--config", str(config), *log_format_arguments(log_format))


@click.command()
@click.option(
    "--config", type=EXISTING_FILE, required=True, help="JSON file with the checker's configuration."
)
@log_format
def checker(config: Path, log_format: str | None) -> None:
    """Run a health checker for the listed servers.

    \b
    Example:
      plumwall checker --config checker.json
    """
    exec_module("yewstage.checker", "--config", str(config), *log_format_arguments(log_format))
