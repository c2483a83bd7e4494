"""Commands that read a file and say whether it can be used."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import click

from plumwall.cli.console import FILE, BadFileError, as_json, fields
from yewstage.net.clients import Names
from yewstage.net.config import Config, ConfigError, load
from yewstage.registry.config import CheckerConfig, checker, read, service
from yewstage.registry.config import Config as RegistryConfig

KINDS = ("gateway", "registry", "checker")


@click.group()
def config() -> None:
    """Configuration files of the programs in service."""


@config.command("check")
@click.argument("file", type=FILE)
@click.option("--kind", type=click.Choice(KINDS), help="Whose file it is; else its fields tell.")
@as_json
def check_config(file: Path, kind: str | None, json_: bool) -> None:
    """Check the configuration FILE of a gateway, list service or checker; nothing is started.

    \b
    Examples:
      plumwall config check config.json
      plumwall config check registry.json --kind registry
    """
    try:
        kind = kind or _kind(read(str(file)))
        told = _CHECKS[kind](file)
    except ConfigError as error:
        raise BadFileError(str(error)) from None
    fields({"file": str(file), "kind": kind, **told}, json_)


def _kind(raw: dict[str, object]) -> str:
    for kind, field in zip(KINDS, ("settings", "folder", "probing"), strict=True):
        if field in raw:
            return kind
    raise ConfigError(
        "settings, folder, probing: none is there, so whose file this is cannot be told; say --kind"
    )


def _gateway(file: Path) -> dict[str, object]:
    made: Config = load({"ROUTER_CONFIG": str(file)})
    Names(made.settings)
    return {
        "name": made.name,
        "listen": _text(made.listen),
        "discovery": _text(made.discovery),
        "classes": ", ".join(c.name for c in made.settings.classes),
        "plans": ", ".join(p.name for p in made.settings.plans),
        "fleet": made.settings.fleet_size,
        "known": len(made.known.servers),
    }


def _registry(file: Path) -> dict[str, object]:
    made: RegistryConfig = service(read(str(file)))
    return {"listen": _text(made.listen), "ops": _text(made.ops), "folder": str(made.folder)}


def _checker(file: Path) -> dict[str, object]:
    made: CheckerConfig = checker(read(str(file)))
    return {"name": made.name, "registry": ", ".join(map(_text, made.registry)), "ops": _text(made.ops)}


def _text(at: tuple[str, int]) -> str:
    return f"{at[0]}:{at[1]}"


_CHECKS: dict[str, Callable[[Path], dict[str, object]]] = {
    "gateway": _gateway,
    "registry": _registry,
    "checker": _checker,
}
