"""The configuration that a gateway is started with: file and environment to typed values."""

from __future__ import annotations

import dataclasses
import json
import resource
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from yewstage import interface as api
from yewstage import wire
from yewstage.log import FORMATS
from yewstage.net import fields
from yewstage.net.discovery import Listing, parse_listing

if TYPE_CHECKING:
    from yewstage.membership.config import PeersConfig

Address = tuple[str, int]
DEFAULT_SOCKETS = 1024
LEAST_SOCKETS = 64  # leaves a reserve beside clients, hosts, counter, discovery, operators and the loop's own
# For the process's life.
STEADY = {"name": "ROUTER_NAME", "listen": "ROUTER_LISTEN", "ops": "ROUTER_OPS", "log": "ROUTER_LOG"}
CALL_SHARE = 0.06  # of the shortest aim: what a call to the counter may take, where its own time is shorter
DIAL_MS, IDLE_MS = 250.0, 15000.0  # of connections to servers, where nothing is said
DEFAULT_MEMORY_MB, LEAST_MEMORY_MB = 192, 24  # an idle gateway takes 14
DEFAULT_UPLOAD_MB, LEAST_UPLOAD_MB = 32, 0.0625  # what is kept whole is no long body


class ConfigError(ValueError):
    """A configuration that no gateway can be started with; the text names the field."""


@dataclass(slots=True, frozen=True)
class Config:
    """What one gateway is told when it starts."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    ops: Address | None
    listen_fd: int | None  # the clients' listening socket, where the platform holds it
    seed: int
    sockets: int
    settings: api.Settings
    fallback_listing: Listing
    keys: frozenset[str]  # all that the file holds, by path
    dial_ms: float
    idle_ms: float
    memory_mb: float
    longest_upload: int  # bytes
    log: str  # text or json
    holding: tuple[Address, ...] = ()  # who keeps the record of keyed requests; none: there is no record
    peers: PeersConfig | None = None  # the fleet that this gateway is a member of; None: it knows of none


def load(environ: Mapping[str, str]) -> Config:
    """The configuration that `ROUTER_CONFIG` names; the single variables go before the file."""
    raw, keys = _read(environ)
    return _parse(raw, environ, {**STEADY, "discovery": "ROUTER_DISCOVERY"}, keys)


def reload(environ: Mapping[str, str], first: Config) -> Config:
    """The configuration again: `ROUTER_DISCOVERY` is as old as this process, the file is what is new.

    It must be whole: what the first one held may not be missing, though a start would do without it.
    """
    raw, keys = _read(environ)
    missing = sorted(first.keys - keys)
    if missing:
        raise ConfigError(f"{missing[0]}: is missing")
    return _parse(raw, environ, STEADY, keys)


def _read(environ: Mapping[str, str]) -> tuple[dict[str, object], frozenset[str]]:
    """The file's object, and the paths of its keys."""
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG: is not set")
    try:
        raw = json.loads(Path(path).read_text(encoding="utf-8"), parse_constant=_no_number)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"ROUTER_CONFIG: cannot be read: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError("ROUTER_CONFIG: must hold a JSON object")
    return raw, frozenset(_keys("", raw))


def _parse(
    raw: dict[str, object], environ: Mapping[str, str], variables: Mapping[str, str], keys: frozenset[str]
) -> Config:
    for field, variable in variables.items():
        if environ.get(variable):
            raw[field] = environ[variable]
    return parse(raw, _descriptor(environ), keys)


def _no_number(text: str) -> float:
    raise ValueError(f"{text} is not a number")


def _keys(path: str, value: object) -> Iterator[str]:
    """The paths of all keys. Of a list's entries only what is common to all of them; classes may differ."""
    if isinstance(value, dict) and path != "known.":
        for key, item in value.items():
            yield f"{path}{key}"
            yield from _keys(f"{path}{key}.", item)
    elif isinstance(value, list) and value and path not in ("known.", "settings.grades."):
        yield from set.intersection(*(set(_keys(path, entry)) for entry in value))


def parse(raw: dict[str, object], listen_fd: int | None = None, keys: frozenset[str] = frozenset()) -> Config:
    """The object of the file as a `Config`."""
    told = _object(raw, "settings")
    settings, bounds = _settings(told), told.get("bounds", {})
    settings = dataclasses.replace(
        settings, uses_claim_record=raw.get("holding") is not None, plans=_shares(raw, settings.plans)
    )
    counter = raw.get("counter")
    if settings.counter_enabled and not counter:
        raise ConfigError("counter: is missing, though the settings allow calls")
    try:
        known = parse_listing(raw["known"]) if raw.get("known") else Listing(0, True, (), {})
    except ValueError as error:
        raise ConfigError(f"known: {error}") from None
    return Config(
        name=str(raw.get("name", "")),
        listen=address(raw, "listen"),
        discovery=address(raw, "discovery"),
        counter=address(raw, "counter") if counter else None,
        ops=address(raw, "ops") if raw.get("ops") else None,
        listen_fd=listen_fd,
        seed=_seed(raw),
        sockets=_sockets(raw),
        settings=settings,
        fallback_listing=known,
        keys=keys,
        dial_ms=float(bounds.get("dial_timeout_ms", DIAL_MS)),
        idle_ms=float(bounds.get("conn_idle_ms", IDLE_MS)),
        memory_mb=_limit(raw, "memory_mb", DEFAULT_MEMORY_MB, LEAST_MEMORY_MB),
        longest_upload=int(_limit(raw, "upload_mb", DEFAULT_UPLOAD_MB, LEAST_UPLOAD_MB) * 2**20),
        log=_log(raw),
        holding=_addresses(raw, "holding"),
        peers=_peers(raw),
    )


def _descriptor(environ: Mapping[str, str]) -> int | None:
    text = environ.get("ROUTER_LISTEN_FD")
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        raise ConfigError(f"ROUTER_LISTEN_FD: {text!r} is not a descriptor")
    return int(text)


def address(raw: Mapping[str, object], field: str) -> Address:
    """A field of the form HOST:PORT."""
    host, colon, port = str(raw.get(field, "")).rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdigit() and int(port) < 65536):
        raise ConfigError(f"{field}: {raw.get(field)!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def _addresses(raw: Mapping[str, object], field: str) -> tuple[Address, ...]:
    """A list of addresses; none where the field is left out."""
    value = raw.get(field)
    if value is None:
        return ()
    if not isinstance(value, list) or not value:
        raise ConfigError(f"{field}: must be a list of addresses")
    return tuple(address({f"{field}[{i}]": at}, f"{field}[{i}]") for i, at in enumerate(value))


def _shares(raw: Mapping[str, object], plans: tuple[api.Plan, ...]) -> tuple[api.Plan, ...]:
    """The plans, those whose quota is spent out of shares marked so."""
    modes = raw.get("shares")
    if modes is None:
        return plans
    if not isinstance(modes, dict):
        raise ConfigError("shares: must be an object of plans")
    if raw.get("holding") is None:
        raise ConfigError("shares: there is no holding that could grant any")
    known = {plan.name: plan for plan in plans}
    for name, mode in modes.items():
        if name not in known or known[name].rate <= 0:
            raise ConfigError(f"shares.{name}: no such plan, or it has no quota")
        known[name] = dataclasses.replace(
            known[name], uses_quota_shares=True, **_floor(f"shares.{name}", mode)
        )
    return tuple(known.values())


def _floor(field: str, mode: object) -> dict[str, float]:
    """What a gateway that hears nobody may spend: nothing in `strict`, so much for so long in `bounded`."""
    if not isinstance(mode, dict) or mode.get("mode") not in ("strict", "bounded"):
        raise ConfigError(f"{field}.mode: must be strict or bounded")
    wanted = {"floor", "floor_ms"} if mode["mode"] == "bounded" else set()
    for key in sorted(set(mode) - {"mode"} ^ wanted):
        raise ConfigError(f"{field}.{key}: {'is missing' if key in wanted else 'is no field of this'}")
    for key in sorted(wanted):
        if wrong := fields.above_zero(mode[key]):
            raise ConfigError(f"{field}.{key}: {wrong}")
    return {key: float(mode[key]) for key in wanted}


def _peers(raw: Mapping[str, object]) -> PeersConfig | None:
    if raw.get("peers") is None:
        return None
    from yewstage.membership.config import peers  # what it needs is paid only where there is one

    return peers(raw)


def _log(raw: Mapping[str, object]) -> str:
    style = raw.get("log", FORMATS[0])
    if style not in FORMATS:
        raise ConfigError(f"log: {style!r} is none of {', '.join(FORMATS)}")
    return style


def _object(raw: Mapping[str, object], field: str) -> dict[str, object]:
    value = raw.get(field)
    if not isinstance(value, dict):
        raise ConfigError(f"{field}: must be an object")
    return value


def _flatten(path: str, value: object) -> Iterator[tuple[str, str]]:
    """Nested settings as the path=value pairs of the simulator's wire."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _flatten(f"{path}.{key}" if path else str(key), item)
    elif isinstance(value, list):
        if any(isinstance(item, dict) for item in value):
            yield f"{path}.count", str(len(value))
            for i, item in enumerate(value):
                yield from _flatten(f"{path}.{i}", item)
        else:
            yield path, ",".join(map(str, value))
    elif isinstance(value, bool):
        yield path, "true" if value else "false"
    elif value is not None:
        yield path, str(value)


def _settings(told: dict[str, object]) -> api.Settings:
    try:
        fields.check(told)
        settings = wire.parse_settings([f"{key}={value}" for key, value in _flatten("", told)])
        settings.check()
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from None
    return dataclasses.replace(settings, count_wait_ms=_count_wait_ms(settings))


def _count_wait_ms(settings: api.Settings) -> float:
    """The counter answers every call, however late: to give up with time to spare is to guess."""
    return max(settings.count_wait_ms, CALL_SHARE * min(c.objective_ms for c in settings.classes))


def _seed(raw: Mapping[str, object]) -> int:
    try:
        return int(str(raw.get("seed", "")), 16)
    except ValueError:
        raise ConfigError(f"seed: {raw.get('seed')!r} is not a hex number") from None


def _limit(raw: Mapping[str, object], name: str, default: float, least: float) -> float:
    limits = raw.get("limits") or {}
    value = limits.get(name, default) if isinstance(limits, dict) else None
    if wrong := fields.at_least(least)(value):
        raise ConfigError(f"limits.{name}: {wrong}")
    return value


def _sockets(raw: Mapping[str, object]) -> int:
    limits = raw.get("limits") or {}
    value = limits.get("sockets", DEFAULT_SOCKETS) if isinstance(limits, dict) else None
    if not isinstance(value, int) or value < LEAST_SOCKETS:
        raise ConfigError(f"limits.sockets: must be a whole number of {LEAST_SOCKETS} or more")
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]  # the system's own limit may be lower
    return value if allowed == resource.RLIM_INFINITY else min(value, allowed)
