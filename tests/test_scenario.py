"""Tests of scenarios: errors name the path of the field, and a seed always generates the same world."""

from __future__ import annotations

import hashlib
import os
import subprocess
import sys
from pathlib import Path

import pytest

from plumwall import scenario as scenarios
from plumwall.world.generator import GeneratedWorld

ROOT = Path(__file__).parent.parent
SCENARIOS = {
    "failing",
    "list-service",
    "quiet",
    "overload",
    "flood",
    "zone-lost",
    "counter-down",
    "release",
    "gateway-killed",
    "cold-return",
}


@pytest.mark.parametrize("name", sorted(SCENARIOS))
def test_built_in_scenario_is_valid_and_survives_encoding(name: str) -> None:
    scenario = scenarios.load(scenarios.find_path(name))
    assert scenario.name == name and scenario.about and name in scenarios.built_in()
    encoded = scenarios.encode(scenarios.decode_json(scenarios.encode(scenario)))
    assert scenarios.encode(scenarios.decode_json(encoded)) == encoded


def test_every_field_is_described() -> None:
    described = list(scenarios.describe_fields())
    assert len({field.path for field in described}) == len(described) > 80
    assert all(field.meaning and field.unit and field.default for field in described)


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("x = 1", "x: is no field"),
        ("name = 'Q'", "name: "),
        ("[load]\nrate_per_s = 1", "name: is missing"),
        ("name = 'q'\n[load]\nrate_ms = 3", "load.rate_ms: is no field; rate_per_s is"),
        ("name = 'q'\n[load]\nrate_per_sec = 3", "load.rate_per_sec: is no field; rate_per_s is"),
        ("name = 'q'\n[load]\nrate_per_s = -3", "load.rate_per_s: "),
        ("name = 'q'\n[load]\nrate_per_s = '3/s'", "load.rate_per_s: "),
        ("name = 'q'\n[load]\nshape = 'ramp'", "load.to_per_s: "),
        ("name = 'q'\nlength_s = inf", "length_s: "),
        ("name = 'q'\n[servers]\ncold_s = [5, 2]", "servers.cold_s: 5 is above 2"),
        ("name = 'q'\n[servers]\nspeed = [1, 2, 3]", "servers.speed: "),
        ("name = 'q'\n[servers]\ncold_from = 1.2", "servers.cold_from: 1.2 is not a share"),
        ("name = 'q'\n[servers]\nspeed = true", "servers.speed: "),
        ("name = 'q'\nfleet = 3", "fleet: expected a table"),
        ("name = 'q'\n[[classes]]\nname = 'a'\nshare = nan", "classes[0].share: "),
        ("name = 'q'\n[[classes]]\nname = 'a'\nshare = 1\naim_ms = 9000", "classes[0].aim_ms: is above"),
        ("name = 'q'\n[[plans]]\nname = 'a'\nshare = 1\n[[plans]]\nname = 'a'\nshare = 1", "plans: two"),
        ("name = 'q'\n[[faults]]\nkind = 'crush'\nat_s = 1", "faults[0].kind: "),
        ("name = 'q'\n[[faults]]\nkind = 'crash'\nat_s = 1", "faults[0].for_s: "),
        ("name = 'q'\n[[faults]]\nkind = 'crash'\nat_s = 99\nfor_s = 1", "faults[0].at_s: "),
        ("name = 'q'\n[[faults]]\nkind = 'fail_fast'\nat_s = 1\nfor_s = 1\nsize = 2", "faults[0].size: "),
        ("name = 'q'\n[[faults]]\nkind = 'zone_lost'\nat_s = 1\nfor_s = 1\nzone = 'x'", "faults[0].zone: "),
        ("name = 'q", "not TOML: "),
    ],
)
def test_error_of_an_invalid_scenario_is_one_line_with_the_path(text: str, line: str) -> None:
    with pytest.raises(scenarios.ScenarioError) as error:
        scenarios.decode(text)
    assert str(error.value).startswith(line) and "\n" not in str(error.value)


def _digest(name: str, seed: int) -> str:
    world = GeneratedWorld(scenarios.load(scenarios.find_path(name)), seed)
    return hashlib.sha256(b"\n".join(world.lines())).hexdigest()


def test_seed_generates_the_same_world_in_every_process() -> None:
    code = (
        "import sys; sys.path.insert(0, 'tests'); from test_scenario import _digest; "
        "print(_digest('zone-lost', 7))"
    )
    digests = {
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": str(ROOT)},
        ).stdout.strip()
        for seed in ("1", "2")
    }
    assert digests == {_digest("zone-lost", 7)} != {_digest("zone-lost", 8)}


def test_load_matches_the_scenario() -> None:
    scenario = scenarios.decode(
        "name = 'q'\nlength_s = 300\n[load]\nrate_per_s = 50\nheavy = 0\nspiky = 0\n"
        "most_excess = 0\nswing = 0"
    )
    world = GeneratedWorld(scenario, 3)
    # no customer asks beyond its quota, so all is within
    assert 0.95 < len(world.first_tries) / (50 * 300) < 1.05
    shares = [sum(t.cls == i for t in world.first_tries) / len(world.first_tries) for i in range(3)]
    assert all(abs(a - b) < 0.02 for a, b in zip(shares, (0.59, 0.21, 0.2), strict=True))
    for first in world.first_tries[::97]:
        customer = world.customers[first.customer]
        gateway = world.gateway_of(first, 0, first.due_ms)
        assert (gateway - customer.first) % len(world.gateways) < customer.width
