"""Commands that read a file and say whether it can be used."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import click

from plumwall.cli.console import FILE, BadFileError, as_json, fields
from yewstage.holding.config import HoldingConfig, holding_config
from yewstage.interface import Plan
from yewstage.net.clients import ClassAndPlanNames
from yewstage.net.config import Config, ConfigError, load
from yewstage.registry.config import CheckerConfig, checker, read, service
from yewstage.registry.config import Config as RegistryConfig

KINDS = ("gateway", "holding", "registry", "checker")


@click.group()
def config() -> None:
    """Configuration files of the programs in service."""


@config.command("check")
@click.argument("file", type=FILE)
@click.option("--kind", type=click.Choice(KINDS), help="Whose file it is; else its fields tell.")
@as_json
def check_config(file: Path, kind: str | None, json_: bool) -> None:
    """Check the configuration FILE of a gateway, holding, list service or checker; nothing is started.

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
    fields_of = ("settings", "cluster", "folder", "probing")
    for kind, field in zip(KINDS, fields_of, strict=True):
        if field in raw:
            return kind
    raise ConfigError(
        f"{', '.join(fields_of)}: none is there, so whose file this is cannot be told; say --kind"
    )


def _gateway(file: Path) -> dict[str, object]:
    made: Config = load({"ROUTER_CONFIG": str(file)})
    ClassAndPlanNames(made.settings)
    return {
        "name": made.name,
        "listen": _text(made.listen),
        "discovery": _text(made.discovery),
        "classes": ", ".join(c.name for c in made.settings.classes),
        "plans": ", ".join(p.name for p in made.settings.plans),
        "fleet": made.settings.fleet_size,
        "known": len(made.fallback_listing.servers),
        "holding": ", ".join(map(_text, made.holding)) or "none",
        "shares": ", ".join(_share(plan) for plan in made.settings.plans if plan.uses_quota_shares) or "none",
        "peers": f"{_text(made.peers.listen)} in {made.peers.settings.cluster}" if made.peers else "none",
    }


def _share(plan: Plan) -> str:
    """How a plan's quota is shared, and what a gateway that hears nobody may spend."""
    if not plan.floor:
        return f"{plan.name} strict"
    return f"{plan.name} bounded by {plan.floor:g} units within {plan.floor_ms:g} ms"


def _holding(file: Path) -> dict[str, object]:
    made: HoldingConfig = holding_config(read(str(file)))
    peers = ", ".join(sorted(made.peers))
    return {
        "cluster": made.cluster,
        "name": made.name,
        "zone": made.zone,
        "peer": _text(made.peer),
        "peers": peers,
        "listen": _text(made.service.listen),
        "folder": str(made.service.folder),
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
    "holding": _holding,
    "registry": _registry,
    "checker": _checker,
}
