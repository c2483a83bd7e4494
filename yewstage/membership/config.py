"""The `peers` section of a gateway's configuration: its own address, zone and keys, and the seed members."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from yewstage.membership.swim import Settings
from yewstage.net.config import Address, ConfigError, address
from yewstage.registry.config import Fields

MIN_KEY_BYTES = 16
MAX_KEYS = 2  # the first signs; during a key change a second one is accepted


@dataclass(slots=True, frozen=True)
class PeersConfig:
    """Configuration of one member."""

    listen: Address
    zone: str
    region: str
    keys: tuple[bytes, ...]
    seeds: tuple[str, ...]
    reach: Mapping[str, Address]  # by member name: address to send to instead of the advertised one
    settings: Settings


def parse_peers(config_fields: Mapping[str, object]) -> PeersConfig:
    """Parse the `peers` section of a whole gateway configuration. The gateway's `name` is its member name.
    Raises ConfigError, which names the field."""
    Fields(config_fields).name("name")
    raw = config_fields["peers"]
    if not isinstance(raw, dict):
        raise ConfigError("peers: must be an object")
    try:
        return _parse_peers(raw)
    except ConfigError as error:
        raise ConfigError(f"peers.{error}") from None


def _parse_peers(raw: dict[str, object]) -> PeersConfig:
    fields = Fields(raw)
    defaults = Settings("")
    config = PeersConfig(
        listen=fields.address("listen"),
        zone=fields.optional("zone"),
        region=fields.optional("region"),
        keys=_parse_keys(raw.get("keys")),
        seeds=_parse_seeds(raw.get("seeds", [])),
        reach=_parse_reach(raw.get("reach", {})),
        settings=Settings(
            cluster=fields.name("cluster"),
            period_ms=fields.number("period_ms", defaults.period_ms, 50.0),
            answer_ms=fields.number("answer_ms", defaults.answer_ms, 1.0),
            suspicion=fields.number("suspicion", defaults.suspicion, 1.0),
        ),
    )
    fields.done("keys", "seeds", "reach")
    if config.settings.answer_ms > config.settings.period_ms / 2:
        raise ConfigError(
            "answer_ms: must be at most half of period_ms; the rest of the period is for indirect probes"
        )
    return config


def _parse_keys(raw: object) -> tuple[bytes, ...]:
    if not isinstance(raw, list) or not 1 <= len(raw) <= MAX_KEYS:
        raise ConfigError("keys: must be a list of one key, or of two during a key change")
    keys = []
    for i, text in enumerate(raw):
        try:
            keys.append(bytes.fromhex(text if isinstance(text, str) else "?"))
        except ValueError:
            raise ConfigError(f"keys[{i}]: must be a hexadecimal string") from None
        if len(keys[-1]) < MIN_KEY_BYTES:
            raise ConfigError(f"keys[{i}]: must have at least {MIN_KEY_BYTES} bytes")
    return tuple(keys)


def _parse_seeds(raw: object) -> tuple[str, ...]:
    if not isinstance(raw, list):
        raise ConfigError("seeds: must be a list of addresses")
    for i, seed in enumerate(raw):
        address({f"seeds[{i}]": seed}, f"seeds[{i}]")
    return tuple(raw)


def _parse_reach(raw: object) -> dict[str, Address]:
    if not isinstance(raw, dict):
        raise ConfigError("reach: must be an object of addresses by member name")
    return {name: address({f"reach.{name}": at}, f"reach.{name}") for name, at in raw.items()}
