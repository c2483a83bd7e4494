"""The configuration of the list service and of its checker: a JSON file to typed values."""

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
LARGEST = 1e9


@dataclass(slots=True, frozen=True)
class Config:
    """What the list service is told when it starts."""

    listen: Address
    ops: Address
    folder: Path
    watches: int  # held at once
    connections: int
    least_ttl_ms: float
    most_ttl_ms: float
    settle_ms: float  # how long a store that begins empty waits for its servers before it tells a list
    snapshot_entries: int  # of the log, after which a snapshot takes their place
    most_age_ms: float  # what may be older than this is not told
    rules: Rules
    log: str  # text or json


@dataclass(slots=True, frozen=True)
class CheckerConfig:
    """What a checker is told when it starts."""

    name: str
    registry: tuple[Address, ...]
    ops: Address
    rate_per_s: float  # probes, of this checker over all servers
    timeout_ms: float
    fails: int  # in a row, after which a server is not well
    passes: int  # in a row, after which it is again
    ttl_ms: float  # of the duty's lease
    drift: float
    log: str  # text or json


def read(path: str) -> dict[str, object]:
    """The object of a file."""
    try:
        raw = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: cannot be read: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: must hold a JSON object")
    return raw


def service(raw: Mapping[str, object]) -> Config:
    """The list service's configuration; ConfigError names what is wrong."""
    fields = Fields(raw)
    config = service_fields(fields)
    fields.done()
    return config


def service_fields(fields: Fields) -> Config:
    """The same, among fields that belong to others."""
    config = Config(
        listen=fields.address("listen"),
        ops=fields.address("ops"),
        folder=Path(fields.text("folder")),
        watches=fields.integer("watches", 5000, 1),
        connections=fields.integer("connections", 6000, 1),
        least_ttl_ms=fields.number("least_ttl_ms", 500.0, 1.0),
        most_ttl_ms=fields.number("most_ttl_ms", 60000.0, 1.0),
        settle_ms=fields.number("settle_ms", 10000.0, 0.0),
        snapshot_entries=fields.integer("snapshot_entries", 10000, 1),
        most_age_ms=fields.number("most_age_ms", 10000.0, 1.0),
        rules=Rules(
            history=fields.integer("history", 10000, 1),
            most_gone=fields.number("most_gone", 0.5, 0.0, 1.0),
            most_unwell=fields.number("most_unwell", 0.5, 0.0, 1.0),
            drift=fields.number("drift", 0.01, 0.0, 0.5),
        ),
        log=fields.choice("log", FORMATS),
    )
    if config.least_ttl_ms > config.most_ttl_ms:
        raise ConfigError("least_ttl_ms: is above most_ttl_ms")
    if config.watches > config.connections:
        raise ConfigError("watches: are more than connections")
    return config


def checker(raw: Mapping[str, object]) -> CheckerConfig:
    """A checker's configuration; ConfigError names what is wrong."""
    fields = Fields(raw)
    if raw.get("probing") is not True:
        raise ConfigError("probing: must be true: servers may be probed only where that is allowed")
    registry = raw.get("registry")
    if not isinstance(registry, list) or not registry:
        raise ConfigError("registry: must be a list of addresses")
    config = CheckerConfig(
        name=fields.name("name"),
        registry=tuple(address({"registry": at}, "registry") for at in registry),
        ops=fields.address("ops"),
        rate_per_s=fields.number("rate_per_s", 5.0, 0.001),
        timeout_ms=fields.number("timeout_ms", 1000.0, 1.0),
        fails=fields.integer("fails", 3, 1),
        passes=fields.integer("passes", 2, 1),
        ttl_ms=fields.number("ttl_ms", 5000.0, 100.0),
        drift=fields.number("drift", 0.01, 0.0, 0.5),
        log=fields.choice("log", FORMATS),
    )
    fields.done("probing", "registry")
    return config


class Fields:
    """Reads the fields of an object, each by its own rule, and knows which are left over."""

    def __init__(self, raw: Mapping[str, object]) -> None:
        self._raw, self._read = raw, set()

    def text(self, name: str, longest: int = 4096) -> str:
        """Some printable text."""
        value = self._take(name, None)
        if not isinstance(value, str) or not value or len(value) > longest or not value.isprintable():
            raise ConfigError(f"{name}: must be a printable text of 1 to {longest} characters")
        return value

    def optional(self, name: str, longest: int = 64) -> str:
        """Some printable text, or none."""
        return self.text(name, longest) if self._raw.get(name) else str(self._take(name, "") and "")

    def name(self, name: str) -> str:
        """A name as it stands in paths."""
        value = self._take(name, None)
        if not isinstance(value, str) or not NAME.fullmatch(value):
            raise ConfigError(f"{name}: must be 1 to 64 letters, digits, dots, colons, dashes and underlines")
        return value

    def address(self, name: str) -> Address:
        """HOST:PORT."""
        self._take(name, None)
        return address(self._raw, name)

    def number(self, name: str, default: float | None, least: float, most: float = LARGEST) -> float:
        """A finite number within bounds."""
        value = self._take(name, default)
        if (
            not isinstance(value, (int, float))
            or isinstance(value, bool)
            or not math.isfinite(value)
            or not least <= value <= most
        ):
            raise ConfigError(f"{name}: must be a number from {least:g} to {most:g}")
        return float(value)

    def integer(self, name: str, default: int | None, least: int, most: int = 2**53) -> int:
        """A whole number within bounds."""
        value = self._take(name, default)
        if not isinstance(value, int) or isinstance(value, bool) or not least <= value <= most:
            raise ConfigError(f"{name}: must be a whole number from {least} to {most}")
        return value

    def choice(self, name: str, choices: tuple[str, ...]) -> str:
        """One of some words; the first where it is left out."""
        value = self._take(name, choices[0])
        if value not in choices:
            raise ConfigError(f"{name}: must be one of {', '.join(choices)}")
        return value

    def flag(self, name: str) -> bool:
        """True or false."""
        value = self._take(name, None)
        if not isinstance(value, bool):
            raise ConfigError(f"{name}: must be true or false")
        return value

    def has(self, name: str) -> bool:
        """Whether a field is given."""
        return self._raw.get(name) is not None

    def done(self, *more: str) -> None:
        """A field that nobody reads is a mistake of whoever wrote it."""
        left = sorted(set(self._raw) - self._read - set(more))
        if left:
            raise ConfigError(f"{left[0]}: is no field of this")

    def _take(self, name: str, default: object) -> object:
        self._read.add(name)
        value = self._raw.get(name)
        return default if value is None else value
