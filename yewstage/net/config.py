"""Configuration of a gateway: reads the file and the environment into typed values."""

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
from yewstage.net.discovery import NO_LISTING, Listing, convert_instance, parse_listing

if TYPE_CHECKING:
    from yewstage.membership.config import PeersConfig

Address = tuple[str, int]
DEFAULT_SOCKETS = 1024
MIN_SOCKETS = 64  # leaves a reserve beside clients, servers, counter, discovery, operators and the loop's own
# Variables that override fields of the file, at the start and at each reload.
VARIABLES = {"name": "ROUTER_NAME", "listen": "ROUTER_LISTEN", "ops": "ROUTER_OPS", "log": "ROUTER_LOG"}
COUNT_WAIT_SHARE = 0.06  # of the shortest objective: the least time-out of a call to the counter
# Of connections to servers.
DEFAULT_DIAL_TIMEOUT_MS, DEFAULT_IDLE_LIMIT_MS = 250.0, 15000.0
DEFAULT_MEMORY_MB, MIN_MEMORY_MB = 192, 24
DEFAULT_UPLOAD_MB, MIN_UPLOAD_MB = 32, 0.0625  # bodies up to the minimum are buffered, not streamed


class ConfigError(ValueError):
    """An invalid configuration; the message begins with the path of the field."""


@dataclass(slots=True, frozen=True)
class Config:
    """Configuration of one gateway."""

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    ops: Address | None
    listen_fd: int | None  # the clients' listening socket, if it is inherited
    seed: int
    sockets: int
    settings: api.Settings
    fallback_listing: Listing
    keys: frozenset[str]  # paths of all fields of the file
    dial_timeout_ms: float  # time-out of a connection to a server
    idle_limit_ms: float  # after which servers close an idle connection
    memory_mb: float
    max_upload_bytes: int  # limit on the body of a request, in bytes
    log: str  # text or json
    holding: tuple[Address, ...] = ()  # members of the holding, which keeps the record of keyed requests
    peers: PeersConfig | None = None  # membership in the fleet; None: disabled

    def memory_bytes(self) -> int:
        """Return the limit on the memory of all processes of this gateway."""
        return int(self.memory_mb * 2**20)


def load(environ: Mapping[str, str]) -> Config:
    """Load the file that `ROUTER_CONFIG` names; single variables take precedence. Raises ConfigError."""
    raw, keys = _read(environ)
    return _parse(raw, environ, {**VARIABLES, "discovery": "ROUTER_DISCOVERY"}, keys)


def reload(environ: Mapping[str, str], first: Config) -> Config:
    """Load the configuration again, ignoring `ROUTER_DISCOVERY`, which is as old as this process.

    Fields of the first configuration must not be missing, even if they are optional at the start: a file that
    is incomplete is refused. Raises ConfigError.
    """
    raw, keys = _read(environ)
    missing = sorted(first.keys - keys)
    if missing:
        raise ConfigError(f"{missing[0]}: is missing")
    return _parse(raw, environ, VARIABLES, keys)


def _read(environ: Mapping[str, str]) -> tuple[dict[str, object], frozenset[str]]:
    """Return the object of the file and the paths of its fields."""
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG: is not set")
    try:
        raw = json.loads(
            Path(path).read_text(encoding="utf-8"),
            parse_constant=_refuse_constant,
            object_hook=convert_instance,
        )
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"ROUTER_CONFIG: cannot be read: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError("ROUTER_CONFIG: must hold a JSON object")
    return raw, frozenset(_field_paths("", raw))


def _parse(
    raw: dict[str, object], environ: Mapping[str, str], variables: Mapping[str, str], keys: frozenset[str]
) -> Config:
    for field, variable in variables.items():
        if environ.get(variable):
            raw[field] = environ[variable]
    return parse(raw, _listen_descriptor(environ), keys)


def _refuse_constant(text: str) -> float:
    raise ValueError(f"{text} is not a number")


def _field_paths(path: str, value: object) -> Iterator[str]:
    """Paths of all fields. Of the entries of a list only those common to all, as entries may differ."""
    if isinstance(value, dict) and path != "known.":
        for key, item in value.items():
            yield f"{path}{key}"
            yield from _field_paths(f"{path}{key}.", item)
    elif isinstance(value, list) and value and path not in ("known.", "settings.grades."):
        yield from set.intersection(*(set(_field_paths(path, entry)) for entry in value))


def parse(raw: dict[str, object], listen_fd: int | None = None, keys: frozenset[str] = frozenset()) -> Config:
    """Convert the object of the file to a `Config`. Raises ConfigError."""
    raw_settings = _object(raw, "settings")
    settings, bounds = _settings(raw_settings), raw_settings.get("bounds", {})
    settings = dataclasses.replace(
        settings, uses_claim_record=raw.get("holding") is not None, plans=_with_shares(raw, settings.plans)
    )
    counter = raw.get("counter")
    if settings.counter_enabled and not counter:
        raise ConfigError("counter: is missing, though the settings allow calls to it")
    try:
        fallback_listing = parse_listing(raw["known"]) if raw.get("known") else NO_LISTING
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
        fallback_listing=fallback_listing,
        keys=keys,
        dial_timeout_ms=float(bounds.get("dial_timeout_ms", DEFAULT_DIAL_TIMEOUT_MS)),
        idle_limit_ms=float(bounds.get("conn_idle_ms", DEFAULT_IDLE_LIMIT_MS)),
        memory_mb=_limit(raw, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB),
        max_upload_bytes=int(_limit(raw, "upload_mb", DEFAULT_UPLOAD_MB, MIN_UPLOAD_MB) * 2**20),
        log=_log_format(raw),
        holding=_addresses(raw, "holding"),
        peers=_peers(raw),
    )


def _listen_descriptor(environ: Mapping[str, str]) -> int | None:
    text = environ.get("ROUTER_LISTEN_FD")
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        raise ConfigError(f"ROUTER_LISTEN_FD: {text!r} is not a file descriptor number")
    return int(text)


def address(raw: Mapping[str, object], field: str) -> Address:
    """Parse a field of the form HOST:PORT. Raises ConfigError."""
    host, colon, port = str(raw.get(field, "")).rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdigit() and int(port) < 65536):
        raise ConfigError(f"{field}: {raw.get(field)!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def _addresses(raw: Mapping[str, object], field: str) -> tuple[Address, ...]:
    """Parse a list of addresses; empty if the field is missing."""
    value = raw.get(field)
    if value is None:
        return ()
    if not isinstance(value, list) or not value:
        raise ConfigError(f"{field}: must be a list of addresses")
    return tuple(address({f"{field}[{i}]": at}, f"{field}[{i}]") for i, at in enumerate(value))


def _with_shares(raw: Mapping[str, object], plans: tuple[api.Plan, ...]) -> tuple[api.Plan, ...]:
    """Mark the plans whose quota is spent from shares."""
    modes = raw.get("shares")
    if modes is None:
        return plans
    if not isinstance(modes, dict):
        raise ConfigError("shares: must be an object of plans")
    if raw.get("holding") is None:
        raise ConfigError("shares: there is no holding to grant them")
    by_name = {plan.name: plan for plan in plans}
    for name, mode in modes.items():
        if name not in by_name or by_name[name].rate <= 0:
            raise ConfigError(f"shares.{name}: no such plan, or it has no quota")
        by_name[name] = dataclasses.replace(
            by_name[name], uses_quota_shares=True, **_fallback_allowance(f"shares.{name}", mode)
        )
    return tuple(by_name.values())


def _fallback_allowance(field: str, mode: object) -> dict[str, float]:
    """Allowance without an answer of the holding: none if `strict`, `floor` for `floor_ms` if `bounded`."""
    if not isinstance(mode, dict) or mode.get("mode") not in ("strict", "bounded"):
        raise ConfigError(f"{field}.mode: must be strict or bounded")
    required = {"floor", "floor_ms"} if mode["mode"] == "bounded" else set()
    for key in sorted(set(mode) - {"mode"} ^ required):
        raise ConfigError(f"{field}.{key}: {'is missing' if key in required else 'is no field of this mode'}")
    for key in sorted(required):
        if problem := fields.above_zero(mode[key]):
            raise ConfigError(f"{field}.{key}: {problem}")
    return {key: float(mode[key]) for key in required}


def _peers(raw: Mapping[str, object]) -> PeersConfig | None:
    if raw.get("peers") is None:
        return None
    from yewstage.membership.config import parse_peers  # imported only where it is used, to save memory

    return parse_peers(raw)


def _log_format(raw: Mapping[str, object]) -> str:
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
    """Convert nested settings to the path=value pairs of `yewstage.wire`."""
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


def _settings(raw: dict[str, object]) -> api.Settings:
    try:
        fields.check(raw)
        settings = wire.parse_settings([f"{key}={value}" for key, value in _flatten("", raw)])
        settings.check()
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from None
    return dataclasses.replace(settings, count_wait_ms=_count_wait_ms(settings))


def _count_wait_ms(settings: api.Settings) -> float:
    """Time-out of calls to the counter in milliseconds.

    The counter answers every call, however late. Giving up while there is time left means to decide without
    its answer.
    """
    return max(settings.count_wait_ms, COUNT_WAIT_SHARE * min(c.objective_ms for c in settings.classes))


def _seed(raw: Mapping[str, object]) -> int:
    try:
        return int(str(raw.get("seed", "")), 16)
    except ValueError:
        raise ConfigError(f"seed: {raw.get('seed')!r} is not a hexadecimal number") from None


def _limit(raw: Mapping[str, object], name: str, default: float, minimum: float) -> float:
    limits = raw.get("limits") or {}
    value = limits.get(name, default) if isinstance(limits, dict) else None
    if problem := fields.at_least(minimum)(value):
        raise ConfigError(f"limits.{name}: {problem}")
    return value


def _sockets(raw: Mapping[str, object]) -> int:
    limits = raw.get("limits") or {}
    value = limits.get("sockets", DEFAULT_SOCKETS) if isinstance(limits, dict) else None
    if not isinstance(value, int) or value < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets: must be a whole number of {MIN_SOCKETS} or more")
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]  # the limit of the operating system may be lower
    return value if allowed == resource.RLIM_INFINITY else min(value, allowed)
