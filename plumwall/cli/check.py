"""`plumwall config`: validates configuration files of the production programs."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import click

from plumwall.cli.console import EXISTING_FILE, BadInputError, json_option, print_fields
from yewstage.holding.config import HoldingConfig, holding_config
from yewstage.interface import Plan
from yewstage.net.client_request import ClassAndPlanNames
from yewstage.net.config import Config, ConfigError, load
from yewstage.registry.config import CheckerConfig, checker, read, service
from yewstage.registry.config import Config as RegistryConfig

KINDS = ("gateway", "holding", "registry", "checker")


@click.group()
def config() -> None:
    """Validate configuration files of the gateway, the holding, the list service and the checker."""


@config.command("check")
@click.argument("file", type=EXISTING_FILE)
@click.option(
    "--kind",
    type=click.Choice(KINDS),
    help="Program that the file is for; by default derived from its fields.",
)
@json_option
def check_config(file: Path, kind: str | None, json_: bool) -> None:
    """Validate the configuration FILE of a gateway, holding, list service or checker without starting it.

    \b
    Examples:
      plumwall config check config.json
      plumwall config check registry.json --kind registry
    """
    try:
        kind = kind or _detect_kind(read(str(file)))
        summary = _SUMMARIES[kind](file)
    except ConfigError as error:
        raise BadInputError(str(error)) from None
    print_fields({"file": str(file), "kind": kind, **summary}, json_)


def _detect_kind(raw: dict[str, object]) -> str:
    identifying_fields = ("settings", "cluster", "folder", "probing")
    for kind, field in zip(KINDS, identifying_fields, strict=True):
        if field in raw:
            return kind
    raise ConfigError(
        f"{', '.join(identifying_fields)}: none is present, so the program cannot be determined; pass --kind"
    )


def _gateway_summary(file: Path) -> dict[str, object]:
    loaded: Config = load({"ROUTER_CONFIG": str(file)})
    ClassAndPlanNames(loaded.settings)  # as at a gateway's start, so that its errors show here
    return {
        "name": loaded.name,
        "listen": _format_address(loaded.listen),
        "discovery": _format_address(loaded.discovery),
        "classes": ", ".join(c.name for c in loaded.settings.classes),
        "plans": ", ".join(p.name for p in loaded.settings.plans),
        "fleet": loaded.settings.fleet_size,
        "known": len(loaded.fallback_listing.servers),
        "holding": ", ".join(map(_format_address, loaded.holding)) or "none",
        "shares": ", ".join(_share_mode(plan) for plan in loaded.settings.plans if plan.uses_quota_shares)
        or "none",
        "peers": f"{_format_address(loaded.peers.listen)} in {loaded.peers.settings.cluster}"
        if loaded.peers
        else "none",
    }


def _share_mode(plan: Plan) -> str:
    """The mode in which a plan's quota is shared; if bounded, also what an isolated gateway may spend."""
    if not plan.floor:
        return f"{plan.name} strict"
    return f"{plan.name} bounded by {plan.floor:g} units within {plan.floor_ms:g} ms"


def _holding_summary(file: Path) -> dict[str, object]:
    loaded: HoldingConfig = holding_config(read(str(file)))
    peers = ", ".join(sorted(loaded.peers))
    return {
        "cluster": loaded.cluster,
        "name": loaded.name,
        "zone": loaded.zone,
        "peer": _format_address(loaded.peer),
        "peers": peers,
        "listen": _format_address(loaded.service.listen),
        "folder": str(loaded.service.folder),
    }


def _registry_summary(file: Path) -> dict[str, object]:
    loaded: RegistryConfig = service(read(str(file)))
    return {
        "listen": _format_address(loaded.listen),
        "ops": _format_address(loaded.ops),
        "folder": str(loaded.folder),
    }


def _checker_summary(file: Path) -> dict[str, object]:
    loaded: CheckerConfig = checker(read(str(file)))
    return {
        "name": loaded.name,
        "registry": ", ".join(map(_format_address, loaded.registry)),
        "ops": _format_address(loaded.ops),
    }


def _format_address(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


_SUMMARIES: dict[str, Callable[[Path], dict[str, object]]] = {
    "gateway": _gateway_summary,
    "holding": _holding_summary,
    "registry": _registry_summary,
    "checker": _checker_summary,
}
