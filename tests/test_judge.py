"""Tests of the judge, on records written by hand of runs that keep or break each rule."""

from __future__ import annotations

import msgspec
import pytest

from plumwall import records as r
from plumwall import scenario as scenarios
from plumwall.emulator.identity import request_id
from plumwall.judge import CEILINGS, COLD, DRAINS, EFFECTS, FAULTS, REQUESTS, Judge, Verdict
from plumwall.world.generator import GeneratedWorld

SAFE, KEYED, UNSAFE = 0, 1, 2
WORLD = GeneratedWorld(scenarios.decode("name = 'q'\nlength_s = 20\n[load]\nrate_per_s = 30"), 1)
FIRST_TRIES = {cls: next(t for t in WORLD.first_tries if t.cls == cls) for cls in (SAFE, KEYED, UNSAFE)}
SAME_CELL_SERVER = next(
    s for s in WORLD.servers if s.cell == WORLD.servers[0].cell and s is not WORLD.servers[0]
)
OTHER_CELL_SERVER = next(s for s in WORLD.servers if s.cell != WORLD.servers[0].cell)
SERVER = WORLD.servers[0]


class RunBuilder:
    """Builds the records of one request step by step; `after` is the time in ms since the step before."""

    def __init__(self, cls: int = SAFE) -> None:
        self.first = FIRST_TRIES[cls]
        self.now = self.first.due_ms
        self.id = request_id(self.first.index, 0, 0, WORLD.seed)
        self.records: list[r.Record] = []

    def asked(self, fresh: bool = False) -> RunBuilder:
        self.records.append(r.Asked(self.now, self.id, self.first.index, 0, "n0", 4000, self.now, fresh))
        return self

    def sent(self, server: object = SERVER, after: float = 1.0) -> RunBuilder:
        self.now += after
        self.records.append(r.Arrived(self.now, self.id, server.name, "n0", self.now, 100.0))
        return self

    def ended(
        self, result: str, server: object = SERVER, told: bool = True, after: float = 100.0
    ) -> RunBuilder:
        self.now += after
        self.records.append(
            r.Ended(self.now, self.id, server.name, "n0", result, result in ("served", "error"), told)
        )
        return self

    def answered(self, status: int = 200, how: str = r.COMPLETE, after: float = 1.0) -> RunBuilder:
        self.now += after
        self.records.append(r.Answered(self.now, self.id, "n0", how, status))
        return self

    def with_records(self, *records: r.Record) -> RunBuilder:
        self.records += records
        return self

    def verdict(self) -> Verdict:
        return Judge(WORLD, sorted(self.records, key=lambda x: x.at)).verdict()


def at(run: RunBuilder) -> float:
    return run.first.due_ms


def served_run(cls: int = SAFE) -> RunBuilder:
    return RunBuilder(cls).asked().sent().ended("served").answered()


VALID_RUNS = {
    "served": served_run(),
    "refused at once": RunBuilder(UNSAFE).asked().answered(503),
    "an unsafe request sent again after a full server": RunBuilder(UNSAFE)
    .asked()
    .sent()
    .ended("full")
    .sent(OTHER_CELL_SERVER)
    .ended("served", OTHER_CELL_SERVER)
    .answered(),
    "a safe request sent again after an error": RunBuilder(SAFE)
    .asked()
    .sent()
    .ended("error")
    .sent(OTHER_CELL_SERVER)
    .ended("served", OTHER_CELL_SERVER)
    .answered(),
    "a keyed request sent again in its cell": RunBuilder(KEYED)
    .asked()
    .sent()
    .ended("closed", told=False)
    .sent(SAME_CELL_SERVER)
    .ended("served", SAME_CELL_SERVER)
    .answered(),
    "an unsafe request failed after an error": RunBuilder(UNSAFE).asked().sent().ended("error").answered(502),
    "the client left": RunBuilder(SAFE).asked().sent().answered(0, r.CLIENT_LEFT).ended("closed", told=False),
    "the gateway was killed": RunBuilder(SAFE)
    .asked()
    .sent()
    .with_records(r.GatewayIs(FIRST_TRIES[SAFE].due_ms + 1.5, "n0", "killed"))
    .answered(0, r.CLOSED),
    "an attempt just after its gateway was told of a drain": served_run().with_records(
        r.Told(FIRST_TRIES[SAFE].due_ms - 1900, "n0", SERVER.name, "draining")
    ),
    "an attempt after the server came back": served_run().with_records(
        r.Told(FIRST_TRIES[SAFE].due_ms - 9000, "n0", SERVER.name, "gone"),
        r.Told(FIRST_TRIES[SAFE].due_ms - 4000, "n0", SERVER.name, "ready", 5.0),
    ),
    "a server that falls over under gateways that did not know of its start": served_run().with_records(
        r.ServerIs(FIRST_TRIES[SAFE].due_ms + 2, SERVER.name, "fallen")
    ),
}

BROKEN_RUNS = {
    "no answer": (REQUESTS, RunBuilder().asked().sent().answered(0, r.TIMED_OUT, 4600)),
    "an answer long past its deadline": (
        REQUESTS,
        RunBuilder().asked().sent().ended("served").answered(200, after=4700),
    ),
    "a lost connection": (REQUESTS, RunBuilder().asked().sent().answered(0, r.CLOSED)),
    "a new connection lost after its request was sent on": (
        REQUESTS,
        RunBuilder().asked(fresh=True).sent().answered(0, r.CLOSED),
    ),
    "an answer that no server made": (REQUESTS, RunBuilder().asked().answered(200, r.WRONG_BODY)),
    "bytes without a request": (
        REQUESTS,
        served_run().with_records(r.Answered(5000.0, "", "n0", r.EXTRA_BYTES)),
    ),
    "an unsafe request sent twice at once": (
        EFFECTS,
        RunBuilder(UNSAFE).asked().sent().sent(OTHER_CELL_SERVER).ended("served").answered(),
    ),
    "an unsafe request sent again after an error": (
        EFFECTS,
        RunBuilder(UNSAFE)
        .asked()
        .sent()
        .ended("error")
        .sent(OTHER_CELL_SERVER)
        .ended("served", OTHER_CELL_SERVER)
        .answered(),
    ),
    "an unsafe request sent again after a time-out": (
        EFFECTS,
        RunBuilder(UNSAFE)
        .asked()
        .sent()
        .ended("closed", told=False)
        .sent(OTHER_CELL_SERVER)
        .ended("served", OTHER_CELL_SERVER)
        .answered(),
    ),
    "an unsafe request refused after it may have run": (
        EFFECTS,
        RunBuilder(UNSAFE).asked().sent().ended("error").answered(503),
    ),
    "a keyed request sent again outside of its cell": (
        EFFECTS,
        RunBuilder(KEYED)
        .asked()
        .sent()
        .ended("error")
        .sent(OTHER_CELL_SERVER)
        .ended("served", OTHER_CELL_SERVER)
        .answered(),
    ),
    "a keyed request sent again after its window": (
        EFFECTS,
        RunBuilder(KEYED)
        .asked()
        .sent()
        .ended("error")
        .sent(SAME_CELL_SERVER, 4000)
        .ended("served", SAME_CELL_SERVER)
        .answered(),
    ),
    "a safe request sent twice at once": (
        EFFECTS,
        RunBuilder(SAFE)
        .asked()
        .sent()
        .sent(OTHER_CELL_SERVER)
        .ended("served")
        .ended("served", OTHER_CELL_SERVER)
        .answered(),
    ),
    "an id that no client sent": (
        EFFECTS,
        served_run().with_records(r.Arrived(9.0, "0" * 16, SERVER.name, "n0", 9.0, 1.0)),
    ),
    "a message without an id": (
        EFFECTS,
        served_run().with_records(r.Unknown(9.0, SERVER.name, "n0", "a message without an id")),
    ),
    "an attempt long after its gateway was told of a drain": (
        DRAINS,
        served_run().with_records(r.Told(FIRST_TRIES[SAFE].due_ms - 2100, "n0", SERVER.name, "draining")),
    ),
    "an attempt long after news of a drain and just after news that the server is gone": (
        DRAINS,
        served_run().with_records(
            r.Told(FIRST_TRIES[SAFE].due_ms - 2100, "n0", SERVER.name, "draining"),
            r.Told(FIRST_TRIES[SAFE].due_ms - 500, "n0", SERVER.name, "gone"),
        ),
    ),
    "a cold server that falls over": (
        COLD,
        served_run().with_records(
            r.Told(FIRST_TRIES[SAFE].due_ms - 5, "n0", SERVER.name, "ready", 5.0),
            r.ServerIs(FIRST_TRIES[SAFE].due_ms + 2, SERVER.name, "fallen"),
        ),
    ),
    "a crash": (
        FAULTS,
        served_run().with_records(r.GatewayIs(9000.0, "n1", "crashed", "took 200 MiB of memory")),
    ),
}


@pytest.mark.parametrize("name", VALID_RUNS)
def test_run_that_keeps_the_rules_has_no_findings(name: str) -> None:
    assert VALID_RUNS[name].verdict().findings == []


@pytest.mark.parametrize("name", BROKEN_RUNS)
def test_broken_rule_is_reported_with_time_and_place(name: str) -> None:
    rule, run = BROKEN_RUNS[name]
    verdict = run.verdict()
    assert not verdict.kept and set(verdict.breaches) == {rule}
    finding = verdict.findings[0]
    assert (
        finding.at_ms > 0
        and (finding.request or finding.server or finding.gateway)
        and finding.what in finding.line()
    )


def test_gateways_together_must_not_pass_a_ceiling() -> None:
    plan = next(p for p in WORLD.plans if p.ceiling_rate)
    number = next(i for i, c in enumerate(WORLD.customers) if WORLD.plans[c.plan] is plan)
    first = next(t for t in WORLD.first_tries if t.customer == number)

    def verdict_of(tries: int) -> Verdict:
        records: list[r.Record] = []
        for i in range(tries):
            now, gateway = 100.0 + i, f"n{i % 3}"
            try_id = request_id(first.index, i, i % 3, WORLD.seed)
            records += [
                r.Asked(now, try_id, first.index, i, gateway, 4000, now),
                r.Arrived(now + 0.1, try_id, SERVER.name, gateway, now, 1.0),
                r.Ended(now + 0.5, try_id, SERVER.name, gateway, "served", True, True),
                r.Answered(now + 0.6, try_id, gateway, r.COMPLETE, 200),
            ]
        return Judge(WORLD, records).verdict()

    room = (plan.ceiling_burst + plan.ceiling_slack) / first.guess
    assert verdict_of(int(room)).kept
    broken = verdict_of(int(room) + 5)
    assert set(broken.breaches) == {CEILINGS} and WORLD.customers[number].id in broken.findings[0].what


def test_worth_depends_on_latency_and_outcome() -> None:
    base = served_run().verdict().service
    assert base.whole == 1.0 and base.figure == pytest.approx(1.0 - sum(base.prices.values()))
    late = RunBuilder(UNSAFE).asked().sent().ended("served", after=1300).answered().verdict().service
    assert late.whole == pytest.approx(WORLD.scenario.classes[UNSAFE].late_worth)
    failed = RunBuilder(UNSAFE).asked().sent().ended("error", after=1300).answered(502).verdict().service
    assert failed.whole == 0 and failed.prices["waste"] > 0 and failed.prices["late_fail"] > 0


def test_losses_are_reported_by_cause() -> None:
    def losses(run: RunBuilder) -> dict[str, float]:
        return run.verdict().service.losses

    assert losses(served_run()) == {}
    assert losses(RunBuilder().asked().answered(503)) == {"refused with room": 1.0}
    assert losses(RunBuilder(UNSAFE).asked().sent().ended("error").answered(502)) == {
        "failed after it was sent on": 1.0
    }
    late = losses(RunBuilder(UNSAFE).asked().sent().ended("served", after=1300).answered())
    assert late == {"answered late": pytest.approx(1 - WORLD.scenario.classes[UNSAFE].late_worth)}
    not_accepted = RunBuilder()
    not_accepted.records.append(r.Answered(not_accepted.now, not_accepted.id, "n0", r.REFUSED))
    assert losses(not_accepted) == {"no gateway took it": 1.0} and not_accepted.verdict().service.whole == 0


def test_served_retry_earns_the_worth_of_its_first_try() -> None:
    run = RunBuilder().asked().answered(503)
    try_id = request_id(run.first.index, 1, 1, WORLD.seed)
    now = run.now + 200
    run.with_records(
        r.Asked(now, try_id, run.first.index, 1, "n1", 3000, now),
        r.Arrived(now + 1, try_id, SERVER.name, "n1", now, 100.0),
        r.Ended(now + 100, try_id, SERVER.name, "n1", "served", True, True),
        r.Answered(now + 101, try_id, "n1", r.COMPLETE, 200),
    )
    verdict = run.verdict()
    assert (
        verdict.service.whole == 1.0 and verdict.counts["first_tries"] == 1 and verdict.counts["tries"] == 2
    )
    assert verdict.counts["attempts_per_try"] == 1  # refused tries are left out


def test_records_are_read_back_as_they_were_written(tmp_path: object) -> None:
    path = tmp_path / "x.jsonl"
    run = served_run()
    with path.open("wb") as file:
        writer = r.Writer(file)
        for record in reversed(run.records):
            writer.write(record)
        writer.flush()
    assert r.read_records([path]) == run.records
    path.write_bytes(b'{"t":"asked"}\n')
    with pytest.raises(ValueError, match=r"x\.jsonl:1: .*missing"):
        r.read_records([path])
    assert msgspec.json.decode(msgspec.json.encode(run.verdict()))["kept"] is True
