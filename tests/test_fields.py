"""Validation of settings: missing, mistyped and out-of-range fields are reported with their path."""

from __future__ import annotations

import copy
import json

import pytest

from yewstage.net import fields
from yewstage.net.config import Config, ConfigError, load, parse, reload
from yewstage.net.discovery import load_listing, parse_listing

SETTINGS = {
    "grades": [
        {
            "name": "view",
            "objective_ms": 1500.0,
            "deadline_ms": 4000.0,
            "worth": 1.0,
            "late_worth": 0.0,
            "effect": "safe",
            "key_scope": "all",
            "window_ms": 5000.0,
        },
        {
            "name": "send",
            "objective_ms": 1500.0,
            "deadline_ms": 4000.0,
            "worth": 1.0,
            "late_worth": 0.5,
            "effect": "keyed",
            "key_scope": "cell",
            "window_ms": 5000.0,
        },
    ],
    "packages": [
        {
            "name": "basic",
            "burst": 16.0,
            "ceiling_rate": 7.9,
            "hard_burst": 66.0,
            "over_cost": 0.8,
            "over_worth": 0.0,
            "parallel": 2,
            "refill": 1.9,
            "tolerance": 8.0,
            "worth_factor": 0.8,
        }
    ],
    "fleet_size": 4,
    "me": 1,
    "zone": "a",
    "zones": ["a"],
    "tick_ms": 2.0,
    "membership_mode": "on_request",
    "bounds": {
        "try_limit": 3,
        "cancel": True,
        "retry_after": True,
        "max_retry_after_ms": 1000.0,
        "dial_timeout_ms": 250.0,
        "conn_idle_ms": 15000.0,
        "second_copies": False,
    },
    "clients": {"marks_retry": True},
    "family_info": {"may_count": True, "count_wait_ms": 50.0},
    "penalties": {"handshake": 0.08},
    "rules": {"cold_from": 0.26, "cold_ms": 17000.0, "fall_multiple": 3.0, "tip_after_ms": 1500.0},
}
OTHER_FIELDS = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c1f", "counter": "127.0.0.1:9"}
INSTANCE = {"instanceId": "s", "hostPort": "127.0.0.1:5", "zone": "a", "cell": 0, "lifecycle": "ready"}
INVALID = ["", "x", "1", None, -1, -1e9, 1e300, float("nan"), float("inf"), 10**400, [], {}, [1], {"a": 1}]
WHOLE_NUMBERS = ("fleet_size", "me", "try_limit", "parallel")
REQUIRED = [
    "grades",
    "grades[0].name",
    "grades[1].objective_ms",
    "grades[0].deadline_ms",
    "grades[0].effect",
    "grades[1].key_scope",
    "grades[1].window_ms",
    "packages",
    "packages[0].name",
    "packages[0].burst",
    "packages[0].hard_burst",
    "fleet_size",
    "me",
    "rules.cold_from",
    "rules.cold_ms",
    "rules.fall_multiple",
    "rules.tip_after_ms",
]


def config_of(settings: object) -> Config:
    return parse({**OTHER_FIELDS, "settings": settings})


def copy_with_parent(path: str) -> tuple[dict, dict, str]:
    """A copy of the settings, the object in it that contains a field, and the name of the field."""
    changed = copy.deepcopy(SETTINGS)
    *parents, last = path.replace("[", ".").replace("]", "").split(".")
    parent = changed
    for key in parents:
        parent = parent[int(key)] if key.isdigit() else parent[key]
    return changed, parent, last


def field_paths() -> list[str]:
    """The paths of all fields that a gateway reads."""
    return [
        *fields.TOP_LEVEL_FIELDS,
        *(f"{group}.{key}" for group, keys in fields.GROUP_FIELDS.items() for key in keys),
        *(f"grades[1].{key}" for key in fields.CLASS_FIELDS),
        *(f"packages[0].{key}" for key in fields.PLAN_FIELDS),
    ]


@pytest.mark.parametrize("path", [*field_paths(), "grades", "packages"])
def test_a_value_of_a_wrong_type_or_out_of_range_is_refused_with_its_path(path: str) -> None:
    changed, parent, last = copy_with_parent(path)
    assert config_of(changed).settings.fleet_size == 4
    wrong = [value for value in INVALID if not (last == "name" and isinstance(value, str) and value)]
    wrong += [7 if isinstance(parent[last], bool | str) else True, *([0.5] if last in WHOLE_NUMBERS else [])]
    for value in wrong:
        parent[last] = value
        with pytest.raises(ConfigError) as caught:
            config_of(changed)
        assert str(caught.value).startswith(f"settings: {path}: ") and "\n" not in str(caught.value)


@pytest.mark.parametrize("path", REQUIRED)
def test_fields_without_a_safe_default_are_required(path: str) -> None:
    changed, parent, last = copy_with_parent(path)
    del parent[last]
    with pytest.raises(ConfigError, match="is missing$") as caught:
        config_of(changed)
    assert str(caught.value) == f"settings: {path}: is missing"


def test_names_must_differ_and_the_index_must_be_within_the_fleet() -> None:
    for path, value, message in (
        ("grades[1].name", "view", "grades[1].name: two have the name 'view'"),
        ("me", 4, "me: must be under fleet_size, which is 4"),
        ("fleet_size", 1, "me: must be under fleet_size, which is 1"),
    ):
        changed, parent, last = copy_with_parent(path)
        parent[last] = value
        with pytest.raises(ConfigError) as caught:
            config_of(changed)
        assert str(caught.value) == f"settings: {message}"


def test_a_reload_of_an_invalid_file_is_refused_with_the_same_message(tmp_path) -> None:
    path = tmp_path / "config.json"
    changed, parent, last = copy_with_parent("packages[0].refill")
    path.write_text(json.dumps({**OTHER_FIELDS, "settings": SETTINGS}))
    environ = {"ROUTER_CONFIG": str(path)}
    first = load(environ)
    parent[last] = "plenty"
    path.write_text(json.dumps({**OTHER_FIELDS, "settings": changed}))
    with pytest.raises(ConfigError) as caught:
        reload(environ, first)
    assert str(caught.value) == "settings: packages[0].refill: 'plenty' is not a number from 0 to 1e+12"


@pytest.mark.parametrize("value", [[], {}, None, 1])
def test_a_server_with_an_invalid_lifecycle_is_draining(value: object) -> None:
    listing = parse_listing({"generation": 1, "reset": True, "instances": [{**INSTANCE, "lifecycle": value}]})
    assert listing.servers[0].status == "draining"


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("weight", float("nan")),
        ("weight", "inf"),
        ("weight", []),
        ("startedAtMs", float("inf")),
        ("cell", 1e400),
    ],
)
def test_a_listing_with_an_infinite_number_is_refused(key: str, value: object) -> None:
    with pytest.raises(ValueError, match="^s: cell, weight or startedAtMs is not a number$"):
        parse_listing({"generation": 1, "reset": True, "instances": [{**INSTANCE, key: value}]})


# Guards against: the instances of a long list were all kept as dictionaries while it was parsed.
@pytest.mark.parametrize("indent", [None, 2])
def test_a_list_is_the_same_whether_it_is_converted_at_once_or_not(indent: int | None) -> None:
    raw = {"generation": 1, "reset": True, "instances": [INSTANCE, {**INSTANCE, "lifecycle": "gone"}]}
    assert load_listing(json.dumps(raw, indent=indent).encode(), 2) == parse_listing(raw)
    invalid = {**raw, "instances": [INSTANCE, {**INSTANCE, "hostPort": "nowhere"}]}
    with pytest.raises(ValueError, match="hostPort 'nowhere' is not HOST:PORT"):
        load_listing(json.dumps(invalid, indent=indent).encode(), 2)


# Guards against: a list of any length was taken, whatever memory there was for it.
def test_a_list_of_too_many_servers_is_refused() -> None:
    instances = [{**INSTANCE, "instanceId": f"s-{number}"} for number in range(3)]
    text = json.dumps({"generation": 1, "reset": True, "instances": instances}).encode()
    assert len(load_listing(text, 3).servers) == 3
    with pytest.raises(ValueError, match="instances: more than 2"):
        load_listing(text, 2)
