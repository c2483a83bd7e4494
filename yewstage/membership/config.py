"""The `peers` of a gateway's configuration: who it is to the others, and how it finds them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from yewstage.membership.swim import Settings
from yewstage.net.config import Address, ConfigError, address
from yewstage.registry.config import Fields

LEAST_KEY = 16  # bytes
MOST_KEYS = 2  # the one that is signed with, and one that is still taken during a change


@dataclass(slots=True, frozen=True)
class PeersConfig:
    """What a member is told when it starts."""

    listen: Address
    zone: str
    region: str
    keys: tuple[bytes, ...]
    seeds: tuple[str, ...]
    reach: Mapping[str, Address]  # members by name, where their own address is not how they are reached
    settings: Settings


def peers(whole: Mapping[str, object]) -> PeersConfig:
    """The `peers` of a gateway's configuration, whose `name` they know it by; ConfigError names the field."""
    Fields(whole).name("name")
    raw = whole["peers"]
    if not isinstance(raw, dict):
        raise ConfigError("peers: must be an object")
    try:
        return _parsed(raw)
    except ConfigError as error:
        raise ConfigError(f"peers.{error}") from None


def _parsed(raw: dict[str, object]) -> PeersConfig:
    fields = Fields(raw)
    known = Settings("")
    config = PeersConfig(
        listen=fields.address("listen"),
        zone=fields.optional("zone"),
        region=fields.optional("region"),
        keys=_keys(raw.get("keys")),
        seeds=_seeds(raw.get("seeds", [])),
        reach=_reach(raw.get("reach", {})),
        settings=Settings(
            cluster=fields.name("cluster"),
            period_ms=fields.number("period_ms", known.period_ms, 50.0),
            answer_ms=fields.number("answer_ms", known.answer_ms, 1.0),
            suspicion=fields.number("suspicion", known.suspicion, 1.0),
        ),
    )
    fields.done("keys", "seeds", "reach")
    if config.settings.answer_ms > config.settings.period_ms / 2:
        raise ConfigError("answer_ms: must be half of period_ms at most: others are asked in the rest")
    return config


def _keys(raw: object) -> tuple[bytes, ...]:
    if not isinstance(raw, list) or not 1 <= len(raw) <= MOST_KEYS:
        raise ConfigError("keys: must be a list of one key, or of two during a change")
    keys = []
    for i, text in enumerate(raw):
        try:
            keys.append(bytes.fromhex(text if isinstance(text, str) else "?"))
        except ValueError:
            raise ConfigError(f"keys[{i}]: is no hex number") from None
        if len(keys[-1]) < LEAST_KEY:
            raise ConfigError(f"keys[{i}]: has under {LEAST_KEY} bytes")
    return tuple(keys)


def _seeds(raw: object) -> tuple[str, ...]:
    if not isinstance(raw, list):
        raise ConfigError("seeds: must be a list of addresses")
    for i, at in enumerate(raw):
        address({f"seeds[{i}]": at}, f"seeds[{i}]")
    return tuple(raw)


def _reach(raw: object) -> dict[str, Address]:
    if not isinstance(raw, dict):
        raise ConfigError("reach: must be an object of addresses by name")
    return {name: address({f"reach.{name}": at}, f"reach.{name}") for name, at in raw.items()}
