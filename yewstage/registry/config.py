"""Configuration of the list service and of its checker: from a JSON file to typed values."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from yewstage.log import FORMATS
from yewstage.net.config import Address, ConfigError, address
from yewstage.registry.store import Rules

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,63}")
LARGEST_NUMBER = 1e9


@dataclass(slots=True, frozen=True)
class Config:
    """Configuration of the list service."""

    listen: Address
    ops: Address
    folder: Path
    watches: int  # maximum number of pending watches
    connections: int
    min_ttl_ms: float
    max_ttl_ms: float
    settle_ms: float  # how long a store that begins empty waits for registrations before it serves a list
    snapshot_entries: int  # log entries after which a snapshot is taken
    max_age_ms: float  # a list that may be older than this is not served
    rules: Rules
    log: str  # text or json


@dataclass(slots=True, frozen=True)
class CheckerConfig:
    """Configuration of a checker."""

    name: str
    registry: tuple[Address, ...]
    ops: Address
    rate_per_s: float  # probes per second of this checker, over all servers
    timeout_ms: float
    failures_to_unhealthy: int  # consecutive failures after which a server counts as unhealthy
    successes_to_healthy: int  # consecutive successes after which it counts as healthy again
    ttl_ms: float  # of the checker's lease
    drift: float
    log: str  # text or json


def read(path: str) -> dict[str, object]:
    """Read a JSON object from a file; raises ConfigError."""
    try:
        values = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: cannot be read: {error}") from None
    if not isinstance(values, dict):
        raise ConfigError(f"{path}: must hold a JSON object")
    return values


def service(values: Mapping[str, object]) -> Config:
    """The list service's configuration; raises ConfigError, which names the field at fault."""
    fields = Fields(values)
    config = service_fields(fields)
    fields.done()
    return config


def service_fields(fields: Fields) -> Config:
    """The list service's configuration, read from fields among which there are others."""
    config = Config(
        listen=fields.address("listen"),
        ops=fields.address("ops"),
        folder=Path(fields.text("folder")),
        watches=fields.integer("watches", 5000, 1),
        connections=fields.integer("connections", 6000, 1),
        min_ttl_ms=fields.number("least_ttl_ms", 500.0, 1.0),
        max_ttl_ms=fields.number("most_ttl_ms", 60000.0, 1.0),
        settle_ms=fields.number("settle_ms", 10000.0, 0.0),
        snapshot_entries=fields.integer("snapshot_entries", 10000, 1),
        max_age_ms=fields.number("most_age_ms", 10000.0, 1.0),
        rules=Rules(
            history=fields.integer("history", 10000, 1),
            max_silent_share=fields.number("most_gone", 0.5, 0.0, 1.0),
            max_unhealthy_share=fields.number("most_unwell", 0.5, 0.0, 1.0),
            drift=fields.number("drift", 0.01, 0.0, 0.5),
        ),
        log=fields.choice("log", FORMATS),
    )
    if config.min_ttl_ms > config.max_ttl_ms:
        raise ConfigError("least_ttl_ms: must not exceed most_ttl_ms")
    if config.watches > config.connections:
        raise ConfigError("watches: must not exceed connections")
    return config


def checker(values: Mapping[str, object]) -> CheckerConfig:
    """A checker's configuration; raises ConfigError, which names the field at fault."""
    fields = Fields(values)
    if values.get("probing") is not True:
        raise ConfigError("probing: must be true: servers may be probed only where that is allowed")
    registry = values.get("registry")
    if not isinstance(registry, list) or not registry:
        raise ConfigError("registry: must be a list of addresses")
    config = CheckerConfig(
        name=fields.name("name"),
        registry=tuple(address({"registry": at}, "registry") for at in registry),
        ops=fields.address("ops"),
        rate_per_s=fields.number("rate_per_s", 5.0, 0.001),
        timeout_ms=fields.number("timeout_ms", 1000.0, 1.0),
        failures_to_unhealthy=fields.integer("fails", 3, 1),
        successes_to_healthy=fields.integer("passes", 2, 1),
        ttl_ms=fields.number("ttl_ms", 5000.0, 100.0),
        drift=fields.number("drift", 0.01, 0.0, 0.5),
        log=fields.choice("log", FORMATS),
    )
    fields.done("probing", "registry")
    return config


class Fields:
    """Reads the fields of a JSON object with validation and remembers which were read. Each method raises
    ConfigError, which names the field, if the value is invalid."""

    def __init__(self, values: Mapping[str, object]) -> None:
        self._values, self._read_names = values, set()

    def text(self, name: str, max_length: int = 4096) -> str:
        """A printable text of 1 to `max_length` characters."""
        value = self._take(name, None)
        if not isinstance(value, str) or not value or len(value) > max_length or not value.isprintable():
            raise ConfigError(f"{name}: must be a printable text of 1 to {max_length} characters")
        return value

    def optional(self, name: str, max_length: int = 64) -> str:
        """A printable text; empty if the field is missing."""
        return self.text(name, max_length) if self._values.get(name) else str(self._take(name, "") and "")

    def name(self, name: str) -> str:
        """A name that may be used in a path of the HTTP interface."""
        value = self._take(name, None)
        if not isinstance(value, str) or not NAME.fullmatch(value):
            raise ConfigError(f"{name}: must be 1 to 64 letters, digits, dots, colons, dashes and underlines")
        return value

    def address(self, name: str) -> Address:
        """An address as HOST:PORT."""
        self._take(name, None)
        return address(self._values, name)

    def number(
        self, name: str, default: float | None, minimum: float, maximum: float = LARGEST_NUMBER
    ) -> float:
        """A finite number from `minimum` to `maximum`. Required if `default` is None."""
        value = self._take(name, default)
        if (
            not isinstance(value, (int, float))
            or isinstance(value, bool)
            or not math.isfinite(value)
            or not minimum <= value <= maximum
        ):
            raise ConfigError(f"{name}: must be a number from {minimum:g} to {maximum:g}")
        return float(value)

    def integer(self, name: str, default: int | None, minimum: int, maximum: int = 2**53) -> int:
        """A whole number from `minimum` to `maximum`. Required if `default` is None."""
        value = self._take(name, default)
        if not isinstance(value, int) or isinstance(value, bool) or not minimum <= value <= maximum:
            raise ConfigError(f"{name}: must be a whole number from {minimum} to {maximum}")
        return value

    def choice(self, name: str, choices: tuple[str, ...]) -> str:
        """One of the choices; the first is the default."""
        value = self._take(name, choices[0])
        if value not in choices:
            raise ConfigError(f"{name}: must be one of {', '.join(choices)}")
        return value

    def flag(self, name: str) -> bool:
        """True or false; required."""
        value = self._take(name, None)
        if not isinstance(value, bool):
            raise ConfigError(f"{name}: must be true or false")
        return value

    def has(self, name: str) -> bool:
        """Whether the field is present."""
        return self._values.get(name) is not None

    def done(self, *more: str) -> None:
        """Raise ConfigError if there are fields that were neither read nor named in `more`."""
        left = sorted(set(self._values) - self._read_names - set(more))
        if left:
            raise ConfigError(f"{left[0]}: is no field of this")

    def _take(self, name: str, default: object) -> object:
        self._read_names.add(name)
        value = self._values.get(name)
        return default if value is None else value
