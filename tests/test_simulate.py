"""The world and the real module under a virtual clock."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest
from test_emulator import AT_ONCE, BREACHES, RELEASE, ROOT, SMALL

from plumwall import records as r
from plumwall import scenario as scenarios
from plumwall.emulator.run import RunOutcome
from plumwall.simulate.clock import Clock
from plumwall.simulate.run import Simulation, UnplayableError
from yewstage import interface as api
from yewstage.policy import Gateway

KILLED = '[[faults]]\nkind = "gateway_killed"\nat_s = 0.8\nfor_s = 0.4\npart = 0.5\n'
DOWN = '[[faults]]\nkind = "counter_down"\nat_s = 0.5\nfor_s = 0.8\n'
LOST = '[[faults]]\nkind = "zone_lost"\nat_s = 0.6\nfor_s = 0.9\n'
RESTARTED = '[[faults]]\nkind = "gateway_restarted"\nat_s = 0.6\npart = 1\n'
SILENT = AT_ONCE + '[[faults]]\nkind = "list_down"\nat_s = 0.2\nfor_s = 1.5\n' + RELEASE
FOUR = SMALL.replace("length_s = 2", "length_s = 4")


def simulated(
    tmp_path: Path, text: str, seed: int = 1, make: Callable[[api.Settings, int], Gateway] = Gateway
) -> tuple[Simulation, RunOutcome]:
    path = tmp_path / "small.toml"
    path.write_text(text)
    simulation = Simulation(scenarios.load(path), seed, make=make)
    simulation.play()
    return simulation, simulation.outcome(tmp_path / "run")


def test_one_seed_gives_the_same_files_byte_for_byte_in_any_process(tmp_path: Path) -> None:
    (tmp_path / "small.toml").write_text(FOUR + LOST)
    files = []
    for turn in range(2):
        out = tmp_path / f"run{turn}"
        done = subprocess.run(
            [sys.executable, "-m", "plumwall", "simulate", str(tmp_path / "small.toml"), "--out", str(out)],
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": str(turn)},
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 0 and "rules kept" in done.stdout, done
        files.append({path.name: path.read_bytes() for path in out.iterdir()})
    assert files[0] == files[1] and len(files[0]["run.jsonl"]) > 10_000
    assert json.loads(files[0]["outcome.json"])["verdict"]["kept"]


@pytest.mark.parametrize("faults", [KILLED, DOWN, LOST, RESTARTED, SILENT, KILLED + DOWN + RELEASE])
def test_every_try_has_its_end_rules_are_kept_and_no_link_is_left_over(tmp_path: Path, faults: str) -> None:
    simulation, outcome = simulated(tmp_path, FOUR + faults)
    assert outcome.verdict.kept, outcome.verdict.findings
    counts = outcome.verdict.counts
    assert counts["unended"] == 0 and counts["served"] > 50
    for gateway in simulation.gateways.values():
        assert gateway.up and not gateway._open
        for lane in gateway.lanes.values():
            assert lane.open == len(lane.idle) and lane.dialling == 0 and not lane.waiting
        assert gateway.links == sum(lane.open for lane in gateway.lanes.values())
    for host in simulation._hosts.all.values():
        lanes = [gateway.lanes.get(host.spec.name) for gateway in simulation.gateways.values()]
        assert host.connections == sum(lane.open for lane in lanes if lane) and not host._open


class Rogue(Gateway):
    """Modules that each break one rule, as `rogue.py` has them for real gateways."""

    def drains(self, event: api.ServerList) -> None:
        up = tuple(s for s in event.servers if s.status == "up")
        Gateway._on_server_list(self, api.ServerList(event.kind, up))


def rogue(rule: str) -> type[Gateway]:
    changed = {
        "drains": {"_on_server_list": Rogue.drains},
        "cold": {
            "_cold_budget_allows": lambda *ignored: True,
            "handed_over": property(lambda g: False, lambda g, v: None),
        },
        "ceilings": {"_quota_allows": lambda *ignored: True, "_ceiling_allows": lambda *ignored: True},
    }[rule]
    return type(f"Breaks{rule.title()}", (Gateway,), changed)


@pytest.mark.parametrize("rule", ["drains", "cold", "ceilings"])
def test_a_module_that_breaks_a_rule_is_found(tmp_path: Path, rule: str) -> None:
    _, good = simulated(tmp_path, BREACHES[rule])
    assert good.verdict.kept, good.verdict.findings
    _, bad = simulated(tmp_path, BREACHES[rule], make=rogue(rule))
    assert rule in bad.verdict.breaches


def test_a_killed_gateways_clients_come_again_through_another_and_what_was_out_there_is_excused(
    tmp_path: Path,
) -> None:
    busy = FOUR.replace("rate_per_s = 30", "rate_per_s = 100").replace("work_ms = 20", "work_ms = 50")
    simulation, outcome = simulated(tmp_path, busy + KILLED)
    killed = next(x for x in simulation.records if isinstance(x, r.GatewayIs) and x.state == "killed")
    asked = {x.id: x for x in simulation.records if isinstance(x, r.Asked)}
    cut = [
        asked[x.id]
        for x in simulation.records
        if isinstance(x, r.Answered) and x.how == r.REFUSED and x.at == killed.at and x.id in asked
    ]
    again = {x.first for x in asked.values() if x.number and x.gateway != killed.gateway}
    assert cut and {x.first for x in cut} & again and outcome.verdict.kept


def test_a_counter_that_answers_after_the_wait_is_told_once_as_late(tmp_path: Path) -> None:
    replies: list[api.CountReply] = []

    class Noted(Gateway):
        def _on_count_reply(self, reply: api.CountReply) -> None:
            replies.append(reply)
            super()._on_count_reply(reply)

    slow = FOUR + "[counter]\ncall_ms = 900\n"
    simulation, _ = simulated(tmp_path, slow, make=Noted)
    calls = sum(isinstance(record, r.Counted) for record in simulation.records)
    assert calls and {reply.result for reply in replies} == {api.TIMED_OUT} and len(replies) <= calls


def test_things_of_one_moment_happen_in_the_order_in_which_they_were_set() -> None:
    clock, seen = Clock(), []
    late = clock.at(5.0, seen.append, "called off")
    for name in "abc":
        clock.at(7.0, seen.append, name)
    clock.at(7.0, lambda: clock.at(3.0, seen.append, "past is now"))
    late.cancel()
    clock.run(10.0)
    assert seen == ["a", "b", "c", "past is now"] and clock.now == 10.0


def test_what_is_not_simulated_is_told(tmp_path: Path) -> None:
    with pytest.raises(UnplayableError, match="listing.source: 'registry'"):
        simulated(tmp_path, SMALL + '[listing]\nsource = "registry"\n')
