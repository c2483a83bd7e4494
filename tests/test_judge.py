"""The judge against runs that break each rule on purpose, written record by record."""

from __future__ import annotations

import msgspec
import pytest

from plumwall import records as r
from plumwall import scenario as scenarios
from plumwall.emulator.identity import request_id
from plumwall.judge import CEILINGS, COLD, DRAINS, EFFECTS, FAULTS, REQUESTS, Judge, Verdict
from plumwall.world.generator import GeneratedWorld

SAFE, KEYED, UNSAFE = 0, 1, 2
DAY = GeneratedWorld(scenarios.decode("name = 'q'\nlength_s = 20\n[load]\nrate_per_s = 30"), 1)
FIRSTS = {cls: next(t for t in DAY.tries if t.cls == cls) for cls in (SAFE, KEYED, UNSAFE)}
CELL = next(s for s in DAY.servers if s.cell == DAY.servers[0].cell and s is not DAY.servers[0])
ELSEWHERE = next(s for s in DAY.servers if s.cell != DAY.servers[0].cell)
HERE = DAY.servers[0]


class Story:
    """Records of one request, told step by step."""

    def __init__(self, cls: int = SAFE) -> None:
        self.first = FIRSTS[cls]
        self.now = self.first.due_ms
        self.id = request_id(self.first.index, 0, 0, DAY.seed)
        self.records: list[r.Record] = []

    def asked(self, fresh: bool = False) -> Story:
        self.records.append(r.Asked(self.now, self.id, self.first.index, 0, "n0", 4000, self.now, fresh))
        return self

    def sent(self, server: object = HERE, after: float = 1.0) -> Story:
        self.now += after
        self.records.append(r.Arrived(self.now, self.id, server.name, "n0", self.now, 100.0))
        return self

    def ended(self, result: str, server: object = HERE, told: bool = True, after: float = 100.0) -> Story:
        self.now += after
        self.records.append(
            r.Ended(self.now, self.id, server.name, "n0", result, result in ("served", "error"), told)
        )
        return self

    def answered(self, status: int = 200, how: str = r.WHOLE, after: float = 1.0) -> Story:
        self.now += after
        self.records.append(r.Answered(self.now, self.id, "n0", how, status))
        return self

    def also(self, *records: r.Record) -> Story:
        self.records += records
        return self

    def verdict(self) -> Verdict:
        return Judge(DAY, sorted(self.records, key=lambda x: x.at)).verdict()


def at(story: Story) -> float:
    return story.first.due_ms


def ok(cls: int = SAFE) -> Story:
    return Story(cls).asked().sent().ended("served").answered()


KEPT = {
    "served": ok(),
    "refused at once": Story(UNSAFE).asked().answered(503),
    "tried again after a full server": Story(UNSAFE)
    .asked()
    .sent()
    .ended("full")
    .sent(ELSEWHERE)
    .ended("served", ELSEWHERE)
    .answered(),
    "a safe one again after an error": Story(SAFE)
    .asked()
    .sent()
    .ended("error")
    .sent(ELSEWHERE)
    .ended("served", ELSEWHERE)
    .answered(),
    "a keyed one again in its pod": Story(KEYED)
    .asked()
    .sent()
    .ended("closed", told=False)
    .sent(CELL)
    .ended("served", CELL)
    .answered(),
    "an unsafe one failed after an error": Story(UNSAFE).asked().sent().ended("error").answered(502),
    "its client left": Story(SAFE).asked().sent().answered(0, r.LEFT).ended("closed", told=False),
    "its gateway was killed": Story(SAFE)
    .asked()
    .sent()
    .also(r.GatewayIs(FIRSTS[SAFE].due_ms + 1.5, "n0", "killed"))
    .answered(0, r.CLOSED),
    "a send just after word of a drain": ok().also(
        r.Told(FIRSTS[SAFE].due_ms - 1900, "n0", HERE.name, "draining")
    ),
    "a send after it came back": ok().also(
        r.Told(FIRSTS[SAFE].due_ms - 9000, "n0", HERE.name, "gone"),
        r.Told(FIRSTS[SAFE].due_ms - 4000, "n0", HERE.name, "ready", 5.0),
    ),
    "a fall by those who did not know": ok().also(r.ServerIs(FIRSTS[SAFE].due_ms + 2, HERE.name, "fallen")),
}

BROKEN = {
    "no answer": (REQUESTS, Story().asked().sent().answered(0, r.TIMED_OUT, 4600)),
    "an answer long past its time": (
        REQUESTS,
        Story().asked().sent().ended("served").answered(200, after=4700),
    ),
    "a connection lost": (REQUESTS, Story().asked().sent().answered(0, r.CLOSED)),
    "a new connection lost under what was sent on": (
        REQUESTS,
        Story().asked(fresh=True).sent().answered(0, r.CLOSED),
    ),
    "an answer that no server made": (REQUESTS, Story().asked().answered(200, r.WRONG)),
    "something unasked": (REQUESTS, ok().also(r.Answered(5000.0, "", "n0", r.DOUBLE))),
    "an unsafe one sent twice": (
        EFFECTS,
        Story(UNSAFE).asked().sent().sent(ELSEWHERE).ended("served").answered(),
    ),
    "an unsafe one sent again after an error": (
        EFFECTS,
        Story(UNSAFE).asked().sent().ended("error").sent(ELSEWHERE).ended("served", ELSEWHERE).answered(),
    ),
    "an unsafe one sent again after a time-out": (
        EFFECTS,
        Story(UNSAFE)
        .asked()
        .sent()
        .ended("closed", told=False)
        .sent(ELSEWHERE)
        .ended("served", ELSEWHERE)
        .answered(),
    ),
    "an unsafe one refused after it may have run": (
        EFFECTS,
        Story(UNSAFE).asked().sent().ended("error").answered(503),
    ),
    "a keyed one outside of its pod": (
        EFFECTS,
        Story(KEYED).asked().sent().ended("error").sent(ELSEWHERE).ended("served", ELSEWHERE).answered(),
    ),
    "a keyed one after its window": (
        EFFECTS,
        Story(KEYED).asked().sent().ended("error").sent(CELL, 4000).ended("served", CELL).answered(),
    ),
    "a safe one twice at once": (
        EFFECTS,
        Story(SAFE).asked().sent().sent(ELSEWHERE).ended("served").ended("served", ELSEWHERE).answered(),
    ),
    "an id that no client sent": (EFFECTS, ok().also(r.Arrived(9.0, "0" * 16, HERE.name, "n0", 9.0, 1.0))),
    "a message without an id": (
        EFFECTS,
        ok().also(r.Unknown(9.0, HERE.name, "n0", "a message without an id")),
    ),
    "a send long after word of a drain": (
        DRAINS,
        ok().also(r.Told(FIRSTS[SAFE].due_ms - 2100, "n0", HERE.name, "draining")),
    ),
    "a send long after the first word": (
        DRAINS,
        ok().also(
            r.Told(FIRSTS[SAFE].due_ms - 2100, "n0", HERE.name, "draining"),
            r.Told(FIRSTS[SAFE].due_ms - 500, "n0", HERE.name, "gone"),
        ),
    ),
    "a cold server pushed over": (
        COLD,
        ok().also(
            r.Told(FIRSTS[SAFE].due_ms - 5, "n0", HERE.name, "ready", 5.0),
            r.ServerIs(FIRSTS[SAFE].due_ms + 2, HERE.name, "fallen"),
        ),
    ),
    "a crash": (FAULTS, ok().also(r.GatewayIs(9000.0, "n1", "crashed", "took 200 MiB of memory"))),
}


@pytest.mark.parametrize("name", KEPT)
def test_what_keeps_the_rules(name: str) -> None:
    assert KEPT[name].verdict().findings == []


@pytest.mark.parametrize("name", BROKEN)
def test_a_broken_rule_is_named_with_request_server_time_and_gateway(name: str) -> None:
    rule, story = BROKEN[name]
    verdict = story.verdict()
    assert not verdict.kept and set(verdict.breaches) == {rule}
    found = verdict.findings[0]
    assert found.at_ms > 0 and (found.request or found.server or found.gateway) and found.what in found.line()


def test_all_gateways_together_may_not_pass_a_ceiling() -> None:
    plan = next(p for p in DAY.plans if p.ceiling_rate)
    number = next(i for i, c in enumerate(DAY.customers) if DAY.plans[c.plan] is plan)
    first = next(t for t in DAY.tries if t.customer == number)

    def sent(tries: int) -> Verdict:
        records: list[r.Record] = []
        for i in range(tries):
            now, gateway = 100.0 + i, f"n{i % 3}"
            rid = request_id(first.index, i, i % 3, DAY.seed)
            records += [
                r.Asked(now, rid, first.index, i, gateway, 4000, now),
                r.Arrived(now + 0.1, rid, HERE.name, gateway, now, 1.0),
                r.Ended(now + 0.5, rid, HERE.name, gateway, "served", True, True),
                r.Answered(now + 0.6, rid, gateway, r.WHOLE, 200),
            ]
        return Judge(DAY, records).verdict()

    room = (plan.ceiling_burst + plan.ceiling_slack) / first.guess
    assert sent(int(room)).kept
    broken = sent(int(room) + 5)
    assert set(broken.breaches) == {CEILINGS} and DAY.customers[number].id in broken.findings[0].what


def test_worth_counts_in_time_inside_quotas_once_for_all_tries_of_a_client() -> None:
    base = ok().verdict().service
    assert base.whole == 1.0 and base.figure == pytest.approx(1.0 - sum(base.prices.values()))
    late = Story(UNSAFE).asked().sent().ended("served", after=1300).answered().verdict().service
    assert late.whole == pytest.approx(DAY.scenario.classes[UNSAFE].late_worth)
    failed = Story(UNSAFE).asked().sent().ended("error", after=1300).answered(502).verdict().service
    assert failed.whole == 0 and failed.prices["waste"] > 0 and failed.prices["late_fail"] > 0


def test_what_was_lost_is_told_by_its_cause() -> None:
    def losses(story: Story) -> dict[str, float]:
        return story.verdict().service.losses

    assert losses(ok()) == {}
    assert losses(Story().asked().answered(503)) == {"refused with room": 1.0}
    assert losses(Story(UNSAFE).asked().sent().ended("error").answered(502)) == {
        "failed after it was sent on": 1.0
    }
    late = losses(Story(UNSAFE).asked().sent().ended("served", after=1300).answered())
    assert late == {"answered late": pytest.approx(1 - DAY.scenario.classes[UNSAFE].late_worth)}
    nobody = Story()
    nobody.records.append(r.Answered(nobody.now, nobody.id, "n0", r.REFUSED))
    assert losses(nobody) == {"no gateway took it": 1.0} and nobody.verdict().service.whole == 0


def test_a_retry_that_is_served_earns_for_its_first_try() -> None:
    story = Story().asked().answered(503)
    rid = request_id(story.first.index, 1, 1, DAY.seed)
    now = story.now + 200
    story.also(
        r.Asked(now, rid, story.first.index, 1, "n1", 3000, now),
        r.Arrived(now + 1, rid, HERE.name, "n1", now, 100.0),
        r.Ended(now + 100, rid, HERE.name, "n1", "served", True, True),
        r.Answered(now + 101, rid, "n1", r.WHOLE, 200),
    )
    verdict = story.verdict()
    assert (
        verdict.service.whole == 1.0 and verdict.counts["first_tries"] == 1 and verdict.counts["tries"] == 2
    )
    assert verdict.counts["attempts_per_try"] == 1  # of those sent on: the refused one is none of them


def test_records_are_read_back_as_they_were_written(tmp_path: object) -> None:
    path = tmp_path / "x.jsonl"
    story = ok()
    with path.open("wb") as file:
        writer = r.Writer(file)
        for record in reversed(story.records):
            writer.write(record)
        writer.flush()
    assert r.read_records([path]) == story.records
    path.write_bytes(b'{"t":"asked"}\n')
    with pytest.raises(ValueError, match=r"x\.jsonl:1: .*missing"):
        r.read_records([path])
    assert msgspec.json.decode(msgspec.json.encode(story.verdict()))["kept"] is True
