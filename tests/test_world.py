"""Tests of the model of servers, quota counter, lists of servers, token buckets and fault plans."""

from __future__ import annotations

import dataclasses
import math

import msgspec
import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st

from plumwall import scenario as scenarios
from plumwall.world.counter import Counter
from plumwall.world.directory import DRAINING, GONE, READY, Agent, Entry
from plumwall.world.generator import GeneratedWorld, ServerSpec
from plumwall.world.quota import TokenBucket
from plumwall.world.server import DRAINING as REJECTED_AS_DRAINING
from plumwall.world.server import EXPIRED, FULL, SERVED, DeduplicationGroup, Job, Server

SPEC = ServerSpec(
    name="s",
    zone="a",
    cell=0,
    cores=2,
    speed=1.0,
    slots=4,
    queue=4,
    thrash=0.1,
    thrash_at=8,
    cold_from=0.25,
    cold_ms=10_000,
    connections=100,
    handshake_ms=1.0,
    error_rate=0.0,
    noise=0.0,
    report_period_ms=100,
    report_delay_ms=0,
    report_noise=0.0,
    drops_expired=True,
)


def server(
    cold: bool = False, now: float = 0.0, group: DeduplicationGroup | None = None, **changes: object
) -> Server:
    return Server(
        msgspec.structs.replace(SPEC, **changes),
        group or DeduplicationGroup(),
        np.random.default_rng(1),
        now,
        cold,
    )


def job(name: str, work: float = 100.0, expires: float = math.inf, key: str = "") -> Job:
    return Job(name, work, expires, key, 4000.0 if key else 0.0)


def run_until(server_: Server, until: float) -> dict[str, tuple[float, str]]:
    """Advance the server to `until`; return by request the time and the result of its end."""
    results = {}
    while server_.due() <= until:
        now = server_.due()
        for job_ in server_.advance(now):
            results[job_.id] = round(now, 3), job_.result
    return results


def test_requests_share_the_cores_and_wait_when_all_slots_are_taken() -> None:
    one = server()
    assert one.offer(0, job("a")) == one.offer(0, job("b")) == SERVED
    assert run_until(one, 1000) == {"a": (100, SERVED), "b": (100, SERVED)}
    one = server()
    for name in "abcd":
        assert one.offer(0, job(name)) == SERVED
    assert one.offer(0, job("e")) == SERVED  # queued until a slot is free
    results = run_until(one, 1000)
    assert results["a"][0] == 200 and results["e"][0] == 300


def test_a_request_that_ends_as_another_arrives_is_returned_by_the_next_advance() -> None:
    one = server()
    one.offer(0, job("a", 10))
    one.offer(10, job("b", 10))  # at the time at which a ends
    assert one.due() == 10 and [done.id for done in one.advance(10)] == ["a"]
    assert [done.id for done in one.advance(20)] == ["b"]


def test_a_full_server_rejects_requests_and_a_draining_one_finishes_those_it_holds() -> None:
    one = server()
    assert [one.offer(0, job(str(i))) for i in range(9)] == [SERVED] * 8 + [FULL]
    one.is_draining = True
    assert one.offer(1, job("late")) == REJECTED_AS_DRAINING
    assert len(run_until(one, 10_000)) == 8


def test_a_queued_request_past_its_deadline_is_not_started() -> None:
    one = server(slots=1)
    one.offer(0, job("a"))
    one.offer(0, job("b", expires=50))
    results = run_until(one, 1000)
    assert results["b"] == (results["a"][0], EXPIRED)


def test_a_repeat_of_a_key_is_answered_by_its_group_without_the_work() -> None:
    group = DeduplicationGroup()
    one, other = server(group=group), server(group=group, name="t")
    one.offer(0, job("a", key="k"))
    other.offer(10, job("b", key="k"))
    assert run_until(other, 1000)["b"][0] <= 12
    other.offer(5000, job("c", key="k"))  # after the window of the key
    assert run_until(other, 6000)["c"][0] == 5100


@given(st.lists(st.tuples(st.floats(0, 5000), st.floats(1, 400)), min_size=1, max_size=40))
@settings(max_examples=60, deadline=None)
def test_no_server_does_more_work_than_its_cores_can(requests: list[tuple[float, float]]) -> None:
    one, taken, done = server(queue=100), 0.0, 0.0
    for at, work in sorted(requests):
        done += sum(j.work_ms for j in one.advance(at))
        one.offer(at, job(f"{at}", work))
        taken += work
    last = max(at for at, _ in requests)
    first = min(at for at, _ in requests)
    assert done <= (last - first) * SPEC.cores * SPEC.speed + 1e-6
    while one.due() < math.inf:
        done += sum(j.work_ms for j in one.advance(one.due()))
    assert abs(done - taken) < 1e-3 * len(requests)  # and none is lost


def test_a_cold_server_warms_up_with_time_and_sooner_with_work() -> None:
    idle, busy = server(cold=True), server(cold=True)
    assert idle.warmth(0) == 0.25 and abs(idle.warmth(5000) - 0.625) < 1e-9 and idle.warmth(10_000) == 1
    for at in range(0, 5000, 100):
        while busy.request_count() < 4:
            busy.offer(at, job(str(at), 90))
        busy.advance(at + 99)
    assert busy.warmth(5000) > 0.625


def test_a_cold_server_collapses_under_four_times_its_capacity_but_not_under_twice() -> None:
    def collapses_under(multiple: float) -> bool:
        one, at = server(cold=True, queue=10_000), 0.0
        while at < 3000:
            one.offer(at, job(str(at), 20))
            at += 20 / (multiple * one.capacity(at))
        return one.has_collapsed

    assert collapses_under(4.0) and not collapses_under(2.0)
    warm = server(queue=10_000)
    for i in range(1000):
        warm.offer(i, job(str(i), 100))
    assert not warm.has_collapsed


def test_a_load_report_is_as_old_as_its_period_and_delay() -> None:
    one = server(report_period_ms=100, report_delay_ms=50)
    one.report(200)
    for i in range(4):
        one.offer(210, job(str(i), 1000))
    assert one.report(290)["inflight"] == 0
    one.report(301)  # measured now, visible 50 ms later
    assert one.report(320)["inflight"] == 0 and one.report(352)["inflight"] == 4


def test_the_counter_serves_in_order_rejects_when_full_and_expires_totals() -> None:
    counter = Counter(calls_per_s=100, partitions=1, call_ms=1, queue_ms=50)
    results = [counter.add(0, "n", 1, 1000) for _ in range(8)]
    assert [t.total for t in results[:6]] == [1, 2, 3, 4, 5, 6] and results[6].total is results[
        7
    ].total is None
    assert [t.at_ms for t in results[:3]] == [11, 21, 31]
    assert counter.add(500, "n", 1, 1000).total == 7 and counter.add(1001, "n", 1, 1000).total == 1
    counter.fail()
    assert counter.add(1100, "n", 1, 1000) is None
    counter.recover(2000)
    assert counter.add(2000, "n", 1, 1000).total == 1


def entry(lifecycle: str, started: float = 0.0) -> Entry:
    return Entry(SPEC, lifecycle, started)


def test_an_agent_keeps_the_latest_incarnation_when_changes_arrive_out_of_order() -> None:
    agent = Agent("n0", {"s": "127.0.0.1:1"})
    assert agent.learn(entry(READY)) and agent.generation == 2
    # A late change of the same incarnation is ignored, and so is one of the previous incarnation.
    assert agent.learn(entry(GONE)) and not agent.learn(entry(DRAINING))
    assert agent.learn(entry(READY, 5.0)) and not agent.learn(entry(GONE))
    assert [row["lifecycle"] for row in agent.listing()["instances"]] == [READY]
    changes = agent.listing(2)
    assert not changes["reset"] and [row["lifecycle"] for row in changes["instances"]] == [GONE, READY]
    assert agent.listing(99)["reset"]  # a generation that the agent never had


@given(st.permutations([(READY, 0.0), (DRAINING, 0.0), (GONE, 0.0), (READY, 9.0), (DRAINING, 9.0)]))
def test_all_orders_of_news_end_in_one_list(news: list[tuple[str, float]]) -> None:
    agent = Agent("n0", {"s": "127.0.0.1:1"})
    for lifecycle, started in news:
        agent.learn(entry(lifecycle, started))
    assert agent.entries["s"] == entry(DRAINING, 9.0)


def test_a_token_bucket_fills_to_its_size_and_may_be_adjusted_below_zero() -> None:
    bucket = TokenBucket.full(2, 10)
    assert bucket.take(0, 10) and not bucket.take(400, 1) and bucket.take(500, 1)
    bucket.charge_difference(500, 4)
    assert bucket.refill(500) == -4 and bucket.refill(60_000) == 10
    assert dataclasses.replace(bucket).units == 10


def test_fault_events_affect_the_targets_that_the_fault_names() -> None:
    scenario = scenarios.decode(
        "name = 'q'\n[servers]\ncount = 8\n[[faults]]\nkind = 'zone_lost'\nzone = 'hall-a'\n"
        "at_s = 5\nfor_s = 2\n[[faults]]\nkind = 'release'\npart = 0.5\nat_s = 10\nfor_s = 4"
    )
    world = GeneratedWorld(scenario, 1)
    lost = {event.target for event in world.fault_events if event.kind == "server_silent"}
    assert lost == {spec.name for spec in world.servers if spec.zone == "hall-a" and spec.at_start}
    assert {event.kind for event in world.fault_events if event.at_ms == 5000} == {
        "server_silent",
        "gateway_kill",
        "counter_down",
    }
    new = {spec.name for spec in world.servers if not spec.at_start}
    assert len(new) == 4 == len([event for event in world.fault_events if event.kind == "server_drain"])
    assert new <= {event.target for event in world.fault_events if event.kind == "server_start"}
