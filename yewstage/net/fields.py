"""What the settings of a deployment must hold: each field's type and range, and what may not be left out."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterator, Mapping

LARGEST = 1e12  # no time in milliseconds and no count is larger
Check = Callable[[object], str]  # what is wrong with a value; empty: nothing


class FieldError(ValueError):
    """A field that no gateway can go by; the text begins with its path."""


def _is_number(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and abs(value) < LARGEST


def above_zero(value: object) -> str:
    """A number above 0."""
    return "" if _is_number(value) and value > 0 else f"{value!r} is not a number above 0"


def at_least(least: float, most: float = LARGEST) -> Check:
    """A number in a range."""
    return lambda value: (
        ""
        if _is_number(value) and least <= value <= most
        else f"{value!r} is not a number from {least:g} to {most:g}"
    )


def whole(least: int, most: float = LARGEST) -> Check:
    """A whole number in a range; 3.0 is one."""
    return lambda value: (
        f"{value!r} is not a whole number from {least} to {most:g}"
        if at_least(least, most)(value) or value != math.floor(value)
        else ""
    )


def flag(value: object) -> str:
    """True or false."""
    return "" if isinstance(value, bool) else f"{value!r} is not true or false"


def one_of(*words: str) -> Check:
    """One of some words."""
    return lambda value: "" if value in words else f"{value!r} is none of {', '.join(words)}"


def name(value: object) -> str:
    """What a request may name in a header."""
    good = isinstance(value, str) and value and value.isascii() and value.isprintable()
    return "" if good else f"{value!r} is not a name in plain characters"


def listed(value: object) -> str:
    """A list of objects, with one at the least."""
    good = isinstance(value, list) and value and all(isinstance(item, dict) for item in value)
    return "" if good else "must be a list of objects, and not empty"


CLASS: dict[str, Check] = {
    "name": name,
    "objective_ms": above_zero,
    "deadline_ms": above_zero,
    "worth": at_least(0),
    "late_worth": at_least(0, 1),
    "effect": one_of("safe", "keyed", "unsafe"),
    "key_scope": one_of("all", "zone", "cell"),
    "window_ms": at_least(0),
}
PLAN: dict[str, Check] = {
    "name": name,
    "refill": at_least(0),
    "burst": at_least(0),
    "worth_factor": at_least(0),
    "over_worth": at_least(0),
    "over_cost": at_least(0),
    "parallel": whole(0),
    "ceiling_rate": at_least(0),
    "hard_burst": at_least(0),
}
STORES = (("refill", "burst"), ("ceiling_rate", "hard_burst"))  # what fills, and what it fills
GROUPS: dict[str, dict[str, Check]] = {
    "bounds": {
        "dial_timeout_ms": at_least(1),
        "conn_idle_ms": at_least(1),
        "try_limit": whole(1),
        "max_retry_after_ms": at_least(0),
        "cancel": flag,
        "retry_after": flag,
        "second_copies": flag,
    },
    "penalties": {"handshake": at_least(0)},
    "clients": {"marks_retry": flag},
    "family_info": {"may_count": flag, "count_wait_ms": at_least(0)},
    "rules": {
        "cold_from": at_least(0, 1),
        "cold_ms": at_least(0),
        "fall_multiple": above_zero,
        "tip_after_ms": at_least(0),
    },
}
MOST_GATEWAYS = 100_000  # each ranks all for each server
OWN: dict[str, Check] = {
    "fleet_size": whole(1, MOST_GATEWAYS),
    "me": whole(0),
    "tick_ms": at_least(0),
    "membership_mode": one_of("pushed", "on_request"),
}


def check(settings: Mapping[str, object]) -> None:
    """Refuse settings by which a gateway would break a rule, or go by a default that nobody meant.

    What is read must be of its type and in its range. What has no safe default must be there: of classes
    their times and effect, of plans the store that a rate fills; and all or nothing of the rule on cold
    servers, and of the fleet with our place in it, which is else a fleet of one.
    """
    for group, checks in GROUPS.items():
        value = settings.get(group, {})
        if not isinstance(value, dict):
            raise FieldError(f"{group}: must be an object")
        _check(value, checks, f"{group}.", checks if group == "rules" and value else ())
    _check(settings, {"grades": listed}, "", ("grades",))
    for path, entry in _entries(settings, "grades"):
        keyed = ("key_scope", "window_ms") if entry.get("effect") == "keyed" else ()
        _check(entry, CLASS, path, ("name", "objective_ms", "deadline_ms", "effect", *keyed))
    _check(settings, {"packages": listed}, "", ("packages",))
    for path, entry in _entries(settings, "packages"):
        _check(entry, PLAN, path, ("name",))
        stores = [store for rate, store in STORES if entry.get(rate)]
        _check(entry, dict.fromkeys(stores, above_zero), path, stores)
    place = ("fleet_size", "me")
    _check(settings, OWN, "", place if any(key in settings for key in place) else ())
    if settings.get("me", 0) >= settings.get("fleet_size", 1):
        raise FieldError(f"me: must be under fleet_size, which is {settings['fleet_size']}")


def _entries(settings: Mapping[str, object], key: str) -> Iterator[tuple[str, Mapping[str, object]]]:
    """The objects of a list with their paths; two of one name are refused."""
    names = [entry.get("name") for entry in settings[key]]
    for i, entry in enumerate(settings[key]):
        if entry.get("name") in names[:i]:
            raise FieldError(f"{key}[{i}].name: two have the name {entry['name']!r}")
        yield f"{key}[{i}].", entry


def _check(
    value: Mapping[str, object], checks: Mapping[str, Check], path: str, needed: Collection[str]
) -> None:
    for key, check_one in checks.items():
        if key not in value:
            if key in needed:
                raise FieldError(f"{path}{key}: is missing")
        elif wrong := check_one(value[key]):
            raise FieldError(f"{path}{key}: {wrong}")
