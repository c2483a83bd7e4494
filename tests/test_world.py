"""The model of the world: servers, counter, lists, each by what it promises."""

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
from plumwall.world.server import DRAINING as TURNED_AWAY
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
    cold: bool = False, now: float = 0.0, pod: DeduplicationGroup | None = None, **changes: object
) -> Server:
    return Server(
        msgspec.structs.replace(SPEC, **changes),
        pod or DeduplicationGroup(),
        np.random.default_rng(1),
        now,
        cold,
    )


def job(name: str, work: float = 100.0, expires: float = math.inf, key: str = "") -> Job:
    return Job(name, work, expires, key, 4000.0 if key else 0.0)


def ends(one: Server, until: float) -> dict[str, tuple[float, str]]:
    """When each request ended, and how."""
    told = {}
    while one.due() <= until:
        now = one.due()
        for done in one.advance(now):
            told[done.id] = round(now, 3), done.result
    return told


def test_requests_beyond_the_cores_share_them_and_beyond_the_slots_wait() -> None:
    one = server()
    assert one.offer(0, job("a")) == one.offer(0, job("b")) == SERVED
    assert ends(one, 1000) == {"a": (100, SERVED), "b": (100, SERVED)}
    one = server()
    for name in "abcd":
        assert one.offer(0, job(name)) == SERVED
    assert one.offer(0, job("e")) == SERVED  # waits for a slot
    told = ends(one, 1000)
    assert told["a"][0] == 200 and told["e"][0] == 300


def test_what_has_ended_when_another_request_comes_is_told_all_the_same() -> None:
    one = server()
    one.offer(0, job("a", 10))
    one.offer(10, job("b", 10))  # a's last moment
    assert one.due() == 10 and [done.id for done in one.advance(10)] == ["a"]
    assert [done.id for done in one.advance(20)] == ["b"]


def test_a_full_server_turns_away_and_a_draining_one_finishes_what_it_holds() -> None:
    one = server()
    assert [one.offer(0, job(str(i))) for i in range(9)] == [SERVED] * 8 + [FULL]
    one.draining = True
    assert one.offer(1, job("late")) == TURNED_AWAY
    assert len(ends(one, 10_000)) == 8


def test_who_waited_past_its_time_is_never_begun() -> None:
    one = server(slots=1)
    one.offer(0, job("a"))
    one.offer(0, job("b", expires=50))
    told = ends(one, 1000)
    assert told["b"] == (told["a"][0], EXPIRED)


def test_a_repeat_of_a_key_is_answered_by_its_pod_without_the_work() -> None:
    pod = DeduplicationGroup()
    one, other = server(pod=pod), server(pod=pod, name="t")
    one.offer(0, job("a", key="k"))
    other.offer(10, job("b", key="k"))
    assert ends(other, 1000)["b"][0] <= 12
    other.offer(5000, job("c", key="k"))  # forgotten by now
    assert ends(other, 6000)["c"][0] == 5100


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
        while busy.held() < 4:
            busy.offer(at, job(str(at), 90))
        busy.advance(at + 99)
    assert busy.warmth(5000) > 0.625


def test_a_cold_server_falls_over_under_three_times_what_it_can_do_and_not_under_twice() -> None:
    def pushed(times: float) -> bool:
        one, at = server(cold=True, queue=10_000), 0.0
        while at < 3000:
            one.offer(at, job(str(at), 20))
            at += 20 / (times * one.capacity(at))
        return one.has_collapsed

    assert pushed(4.0) and not pushed(2.0)
    warm = server(queue=10_000)
    for i in range(1000):
        warm.offer(i, job(str(i), 100))
    assert not warm.has_collapsed


def test_a_report_is_as_old_as_its_period_and_delay() -> None:
    one = server(report_period_ms=100, report_delay_ms=50)
    one.report(200)
    for i in range(4):
        one.offer(210, job(str(i), 1000))
    assert one.report(290)["inflight"] == 0
    one.report(301)  # made now, told 50 ms later
    assert one.report(320)["inflight"] == 0 and one.report(352)["inflight"] == 4


def test_the_counter_serves_in_turn_turns_away_and_forgets() -> None:
    counter = Counter(calls_per_s=100, partitions=1, call_ms=1, queue_ms=50)
    told = [counter.add(0, "n", 1, 1000) for _ in range(8)]
    assert [t.total for t in told[:6]] == [1, 2, 3, 4, 5, 6] and told[6].total is told[7].total is None
    assert [t.at_ms for t in told[:3]] == [11, 21, 31]
    assert counter.add(500, "n", 1, 1000).total == 7 and counter.add(1001, "n", 1, 1000).total == 1
    counter.fail()
    assert counter.add(1100, "n", 1, 1000) is None
    counter.recover(2000)
    assert counter.add(2000, "n", 1, 1000).total == 1


def entry(lifecycle: str, started: float = 0.0) -> Entry:
    return Entry(SPEC, lifecycle, started)


def test_an_agent_keeps_to_the_later_life_however_news_arrives() -> None:
    agent = Agent("n0", {"s": "127.0.0.1:1"})
    assert agent.learn(entry(READY)) and agent.generation == 2
    assert agent.learn(entry(GONE)) and not agent.learn(entry(DRAINING))  # late word of the same life
    assert agent.learn(entry(READY, 5.0)) and not agent.learn(entry(GONE))  # late word of the life before
    assert [row["lifecycle"] for row in agent.listing()["instances"]] == [READY]
    changes = agent.listing(2)
    assert not changes["reset"] and [row["lifecycle"] for row in changes["instances"]] == [GONE, READY]
    assert agent.listing(99)["reset"]  # a generation that it never told


@given(st.permutations([(READY, 0.0), (DRAINING, 0.0), (GONE, 0.0), (READY, 9.0), (DRAINING, 9.0)]))
def test_all_orders_of_news_end_in_one_list(news: list[tuple[str, float]]) -> None:
    agent = Agent("n0", {"s": "127.0.0.1:1"})
    for lifecycle, started in news:
        agent.learn(entry(lifecycle, started))
    assert agent.entries["s"] == entry(DRAINING, 9.0)


def test_a_store_fills_to_its_size_and_may_be_settled_below_nothing() -> None:
    store = TokenBucket.full(2, 10)
    assert store.take(0, 10) and not store.take(400, 1) and store.take(500, 1)
    store.adjust(500, 4)
    assert store.refill(500) == -4 and store.refill(60_000) == 10
    assert dataclasses.replace(store).units == 10


def test_faults_strike_what_they_name() -> None:
    made = scenarios.decode(
        "name = 'q'\n[servers]\ncount = 8\n[[faults]]\nkind = 'zone_lost'\nzone = 'hall-a'\n"
        "at_s = 5\nfor_s = 2\n[[faults]]\nkind = 'release'\npart = 0.5\nat_s = 10\nfor_s = 4"
    )
    day = GeneratedWorld(made, 1)
    lost = {c.target for c in day.changes if c.kind == "server_silent"}
    assert lost == {s.name for s in day.servers if s.zone == "hall-a" and s.at_start}
    assert {c.kind for c in day.changes if c.at_ms == 5000} == {
        "server_silent",
        "gateway_kill",
        "counter_down",
    }
    new = {s.name for s in day.servers if not s.at_start}
    assert len(new) == 4 == len([c for c in day.changes if c.kind == "server_drain"])
    assert new <= {c.target for c in day.changes if c.kind == "server_start"}
