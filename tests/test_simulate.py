"""Tests of the simulation in virtual time: determinism, rules under faults, detection of broken rules."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest
from test_emulator import BREACHES, LIST_WITHOUT_DELAY, RELEASE_FAULT, ROOT, SMALL_SCENARIO

from plumwall import records as r
from plumwall import scenario as scenarios
from plumwall.emulator.run import RunOutcome
from plumwall.simulate.clock import Clock
from plumwall.simulate.run import NotSimulatedError, Simulation
from yewstage import interface as api
from yewstage.policy import Gateway

GATEWAY_KILLED = '[[faults]]\nkind = "gateway_killed"\nat_s = 0.8\nfor_s = 0.4\npart = 0.5\n'
COUNTER_DOWN = '[[faults]]\nkind = "counter_down"\nat_s = 0.5\nfor_s = 0.8\n'
ZONE_LOST = '[[faults]]\nkind = "zone_lost"\nat_s = 0.6\nfor_s = 0.9\n'
GATEWAYS_RESTARTED = '[[faults]]\nkind = "gateway_restarted"\nat_s = 0.6\npart = 1\n'
LIST_DOWN = LIST_WITHOUT_DELAY + '[[faults]]\nkind = "list_down"\nat_s = 0.2\nfor_s = 1.5\n' + RELEASE_FAULT
FOUR_SECONDS = SMALL_SCENARIO.replace("length_s = 2", "length_s = 4")


def simulate(
    tmp_path: Path, text: str, seed: int = 1, make_module: Callable[[api.Settings, int], Gateway] = Gateway
) -> tuple[Simulation, RunOutcome]:
    path = tmp_path / "small.toml"
    path.write_text(text)
    simulation = Simulation(scenarios.load(path), seed, make_module=make_module)
    simulation.play()
    return simulation, simulation.outcome(tmp_path / "run")


def test_one_seed_gives_the_same_files_byte_for_byte_in_any_process(tmp_path: Path) -> None:
    (tmp_path / "small.toml").write_text(FOUR_SECONDS + ZONE_LOST)
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


@pytest.mark.parametrize(
    "faults",
    [
        GATEWAY_KILLED,
        COUNTER_DOWN,
        ZONE_LOST,
        GATEWAYS_RESTARTED,
        LIST_DOWN,
        GATEWAY_KILLED + COUNTER_DOWN + RELEASE_FAULT,
    ],
)
def test_under_faults_every_try_ends_rules_are_kept_and_no_connection_leaks(
    tmp_path: Path, faults: str
) -> None:
    simulation, outcome = simulate(tmp_path, FOUR_SECONDS + faults)
    assert outcome.verdict.kept, outcome.verdict.findings
    counts = outcome.verdict.counts
    assert counts["unended"] == 0 and counts["served"] > 50
    for gateway in simulation.gateways.values():
        assert gateway.is_up and not gateway._open
        for pool in gateway.pools.values():
            assert pool.open_count == len(pool.idle_until_ms) and pool.dial_count == 0 and not pool.waiting
        assert gateway.connections == sum(pool.open_count for pool in gateway.pools.values())
    for server in simulation._servers.all.values():
        pools = [gateway.pools.get(server.spec.name) for gateway in simulation.gateways.values()]
        assert server.connections == sum(pool.open_count for pool in pools if pool) and not server._open


class BrokenRules(Gateway):
    """Methods that break one rule each, as `rogue.py` has them for gateways on sockets."""

    def drains(self, event: api.ServerList) -> None:
        up = tuple(s for s in event.servers if s.status == "up")
        Gateway._on_server_list(self, api.ServerList(event.kind, up))


def gateway_breaking(rule: str) -> type[Gateway]:
    changed = {
        "drains": {"_on_server_list": BrokenRules.drains},
        "cold": {
            "_cold_budget_allows": lambda *ignored: True,
            "handed_over": property(lambda g: False, lambda g, v: None),
        },
        "ceilings": {"_quota_allows": lambda *ignored: True, "_ceiling_allows": lambda *ignored: True},
    }[rule]
    return type(f"Breaks{rule.title()}", (Gateway,), changed)


@pytest.mark.parametrize("rule", ["drains", "cold", "ceilings"])
def test_a_module_that_breaks_a_rule_is_detected(tmp_path: Path, rule: str) -> None:
    _, correct = simulate(tmp_path, BREACHES[rule])
    assert correct.verdict.kept, correct.verdict.findings
    _, broken = simulate(tmp_path, BREACHES[rule], make_module=gateway_breaking(rule))
    assert rule in broken.verdict.breaches


def test_clients_of_a_killed_gateway_retry_through_another_without_breaking_a_rule(
    tmp_path: Path,
) -> None:
    busy = FOUR_SECONDS.replace("rate_per_s = 30", "rate_per_s = 100").replace("work_ms = 20", "work_ms = 50")
    simulation, outcome = simulate(tmp_path, busy + GATEWAY_KILLED)
    killed = next(
        record
        for record in simulation.records
        if isinstance(record, r.GatewayIs) and record.state == "killed"
    )
    asked = {record.id: record for record in simulation.records if isinstance(record, r.Asked)}
    lost = [
        asked[record.id]
        for record in simulation.records
        if isinstance(record, r.Answered)
        and record.how == r.REFUSED
        and record.at == killed.at
        and record.id in asked
    ]
    retried = {
        record.first for record in asked.values() if record.number and record.gateway != killed.gateway
    }
    assert lost and {record.first for record in lost} & retried and outcome.verdict.kept


def test_a_counter_answer_after_the_time_limit_is_reported_once_as_timed_out(tmp_path: Path) -> None:
    replies: list[api.CountReply] = []

    class RecordingGateway(Gateway):
        def _on_count_reply(self, reply: api.CountReply) -> None:
            replies.append(reply)
            super()._on_count_reply(reply)

    slow = FOUR_SECONDS + "[counter]\ncall_ms = 900\n"
    simulation, _ = simulate(tmp_path, slow, make_module=RecordingGateway)
    calls = sum(isinstance(record, r.Counted) for record in simulation.records)
    assert calls and {reply.result for reply in replies} == {api.TIMED_OUT} and len(replies) <= calls


def test_callbacks_of_one_time_run_in_the_order_of_scheduling() -> None:
    clock, seen = Clock(), []
    late = clock.at(5.0, seen.append, "called off")
    for name in "abc":
        clock.at(7.0, seen.append, name)
    clock.at(7.0, lambda: clock.at(3.0, seen.append, "past is now"))
    late.cancel()
    clock.run(10.0)
    assert seen == ["a", "b", "c", "past is now"] and clock.now == 10.0


def test_a_scenario_that_cannot_be_simulated_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(NotSimulatedError, match="listing.source: 'registry'"):
        simulate(tmp_path, SMALL_SCENARIO + '[listing]\nsource = "registry"\n')
