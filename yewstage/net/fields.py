"""Validation of the settings of a deployment: types and ranges of fields, and required fields."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterator, Mapping

MAX_NUMBER = 1e12  # above any time in milliseconds and any count
Check = Callable[[object], str]  # returns what is wrong with a value; empty if it is valid


class FieldError(ValueError):
    """An invalid field; the message begins with its path."""


def _is_number(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and abs(value) < MAX_NUMBER


def above_zero(value: object) -> str:
    """Check for a number above 0."""
    return "" if _is_number(value) and value > 0 else f"{value!r} is not a number above 0"


def at_least(minimum: float, maximum: float = MAX_NUMBER) -> Check:
    """Check for a number in a range, ends included."""
    return lambda value: (
        ""
        if _is_number(value) and minimum <= value <= maximum
        else f"{value!r} is not a number from {minimum:g} to {maximum:g}"
    )


def whole_number(minimum: int, maximum: float = MAX_NUMBER) -> Check:
    """Check for a whole number in a range; 3.0 is one."""
    return lambda value: (
        f"{value!r} is not a whole number from {minimum} to {maximum:g}"
        if at_least(minimum, maximum)(value) or value != math.floor(value)
        else ""
    )


def flag(value: object) -> str:
    """Check for a boolean."""
    return "" if isinstance(value, bool) else f"{value!r} is not true or false"


def one_of(*words: str) -> Check:
    """Check for one of `words`."""
    return lambda value: "" if value in words else f"{value!r} is none of {', '.join(words)}"


def name(value: object) -> str:
    """Check for a name that a request can carry in a header."""
    is_valid = isinstance(value, str) and value and value.isascii() and value.isprintable()
    return "" if is_valid else f"{value!r} is not a name of printable ASCII characters"


def object_list(value: object) -> str:
    """Check for a list of objects that is not empty."""
    is_valid = isinstance(value, list) and value and all(isinstance(item, dict) for item in value)
    return "" if is_valid else "must be a list of objects, and not empty"


CLASS_FIELDS: dict[str, Check] = {
    "name": name,
    "objective_ms": above_zero,
    "deadline_ms": above_zero,
    "worth": at_least(0),
    "late_worth": at_least(0, 1),
    "effect": one_of("safe", "keyed", "unsafe"),
    "key_scope": one_of("all", "zone", "cell"),
    "window_ms": at_least(0),
}
PLAN_FIELDS: dict[str, Check] = {
    "name": name,
    "refill": at_least(0),
    "burst": at_least(0),
    "worth_factor": at_least(0),
    "over_worth": at_least(0),
    "over_cost": at_least(0),
    "parallel": whole_number(0),
    "ceiling_rate": at_least(0),
    "hard_burst": at_least(0),
}
TOKEN_BUCKETS = (("refill", "burst"), ("ceiling_rate", "hard_burst"))  # fields of the rate and of the size
GROUP_FIELDS: dict[str, dict[str, Check]] = {
    "bounds": {
        "dial_timeout_ms": at_least(1),
        "conn_idle_ms": at_least(1),
        "try_limit": whole_number(1),
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
MAX_GATEWAYS = 100_000  # each gateway ranks all of them for each server
TOP_LEVEL_FIELDS: dict[str, Check] = {
    "fleet_size": whole_number(1, MAX_GATEWAYS),
    "me": whole_number(0),
    "tick_ms": at_least(0),
    "membership_mode": one_of("pushed", "on_request"),
}


def check(settings: Mapping[str, object]) -> None:
    """Raise FieldError for invalid settings, or settings where a default would be unsafe.

    Each field that is read must be of its type and in its range. Fields without a safe default are required:
    the times and the effect of classes, and the size of a plan's token bucket where its rate is set. The rule
    on cold servers must be set completely or not at all. So must `fleet_size` and `me`; without them the
    gateway is the only one of its fleet.
    """
    for group, checks in GROUP_FIELDS.items():
        value = settings.get(group, {})
        if not isinstance(value, dict):
            raise FieldError(f"{group}: must be an object")
        _check_fields(value, checks, f"{group}.", checks if group == "rules" and value else ())
    _check_fields(settings, {"grades": object_list}, "", ("grades",))
    for path, entry in _entries(settings, "grades"):
        key_fields = ("key_scope", "window_ms") if entry.get("effect") == "keyed" else ()
        _check_fields(
            entry, CLASS_FIELDS, path, ("name", "objective_ms", "deadline_ms", "effect", *key_fields)
        )
    _check_fields(settings, {"packages": object_list}, "", ("packages",))
    for path, entry in _entries(settings, "packages"):
        _check_fields(entry, PLAN_FIELDS, path, ("name",))
        sizes = [size for rate, size in TOKEN_BUCKETS if entry.get(rate)]
        _check_fields(entry, dict.fromkeys(sizes, above_zero), path, sizes)
    fleet_fields = ("fleet_size", "me")
    _check_fields(
        settings, TOP_LEVEL_FIELDS, "", fleet_fields if any(key in settings for key in fleet_fields) else ()
    )
    if settings.get("me", 0) >= settings.get("fleet_size", 1):
        raise FieldError(f"me: must be under fleet_size, which is {settings['fleet_size']}")


def _entries(settings: Mapping[str, object], key: str) -> Iterator[tuple[str, Mapping[str, object]]]:
    """Yield the objects of a list with their paths. Raises FieldError if two have the same name."""
    names = [entry.get("name") for entry in settings[key]]
    for i, entry in enumerate(settings[key]):
        if entry.get("name") in names[:i]:
            raise FieldError(f"{key}[{i}].name: two have the name {entry['name']!r}")
        yield f"{key}[{i}].", entry


def _check_fields(
    value: Mapping[str, object], checks: Mapping[str, Check], path: str, required: Collection[str]
) -> None:
    for key, check_value in checks.items():
        if key not in value:
            if key in required:
                raise FieldError(f"{path}{key}: is missing")
        elif problem := check_value(value[key]):
            raise FieldError(f"{path}{key}: {problem}")
