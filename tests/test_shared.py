"""Shared tables: the entries that are read and their ages, under faults of links and clocks."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plumwall.model.members import SimulatedFleet, converged_fleet
from yewstage.shared.tables import (
    MAX_MESSAGE_BYTES,
    MAX_VALUE_BYTES,
    Answer,
    FullTableError,
    Settings,
    Table,
    Tables,
    encode,
    parse,
)

BOUND_MS = 5000.0
TABLES = (Table("a", BOUND_MS, 6), Table("b", 60_000.0, 6))
NAMES = ("g0", "g1", "g2", "g3")
DRIFTS = (1.0, 1.004, 0.995, 1.0)  # rates of the clocks; any two differ by less than `Settings.drift`
CLOCK_OFFSETS_MS = (0.0, 3.6e6, -3.6e6, 42.0)


@dataclass
class World:
    """Four members, the true time, and the entries that each origin held at each time."""

    rng: random.Random
    now: float = 1e7
    members: list[Tables] = field(default_factory=list)
    history: dict[str, list[tuple[float, dict]]] = field(default_factory=dict)
    wire: list[tuple[str, int, int, object]] = field(default_factory=list)

    def __post_init__(self) -> None:
        start_ids = {name: i + 1 for i, name in enumerate(NAMES)}
        for i, name in enumerate(NAMES):
            member = Tables(name, start_ids[name], TABLES, Settings(), random.Random(i), self.clock(i))
            member.members(start_ids, self.clock(i))
            self.members.append(member)
            self.history[name] = [(0.0, {})]

    def clock(self, i: int) -> float:
        return self.now * DRIFTS[i] + CLOCK_OFFSETS_MS[i]

    def step(self, action: int, i: int, pick: int) -> None:
        member = self.members[i]
        match action:
            case 0:
                self.now += (1.0, 40.0, 700.0, 9000.0)[pick % 4]
            case 1 | 2:
                table, key = ("a", "b")[pick % 2], f"k{pick % 5}"
                try:
                    member.put(table, key, b"%d" % pick) if action == 1 else member.drop(table, key)
                except FullTableError:
                    return
                held = {k: c.value for k, c in member.own_origin.entries.items() if c.value is not None}
                self.history[member.own_name].append((self.now, held))
            case 3:
                j = (i + 1 + pick % 3) % 4
                self.wire.append(("ask", i, j, member.ask(self.clock(i))))
            case _ if self.wire:
                kind, a, b, message = self.wire[pick % len(self.wire)]
                if action != 4:  # otherwise it is delivered again later
                    self.wire.remove((kind, a, b, message))
                message = parse(encode(message))
                if kind == "ask":
                    pages = self.members[b].answer(message, self.clock(b))
                    assert all(len(encode(page)) <= MAX_MESSAGE_BYTES + 16 for page in pages)
                    self.wire += [("answer", b, a, page) for page in pages]
                else:
                    self.members[b].take(message, self.clock(b))

    def check(self) -> None:
        """Check that every origin held what a reader has of it at some moment within the age."""
        for i, reader in enumerate(self.members):
            for name in NAMES:
                age = reader.age_ms(name, self.clock(i))
                if age == float("inf"):
                    continue
                entries = reader.origins[name].entries
                held = {k: c.value for k, c in entries.items() if c.value is not None}
                since = self.now - age / DRIFTS[i]  # the age is measured by the reader's clock, which drifts
                states = [state for at, state in self.history[name] if at >= since]
                before = [state for at, state in self.history[name] if at <= since]
                assert held in [*states, before[-1]], (reader.own_name, name, age)


ACTIONS = (0, 0, 1, 1, 2, 3, 3, 3, 4, 5, 5, 5, 5, 5, 5)
STEPS = st.lists(st.tuples(st.sampled_from(ACTIONS), st.integers(0, 3), st.integers(0, 59)), max_size=150)


def random_steps(seed: int, length: int) -> list[tuple[int, int, int]]:
    rng = random.Random(seed)
    return [(rng.choice(ACTIONS), rng.randrange(4), rng.randrange(60)) for _ in range(length)]


def test_entries_read_were_true_within_their_age_despite_message_order_and_clock_errors() -> None:
    known = 0
    for seed in range(60):
        world = World(random.Random(seed))
        for step in random_steps(seed, 300):
            world.step(*step)
            world.check()
        known += sum(member.age_ms(name, 0.0) < 1e12 for member in world.members for name in NAMES)
    assert known > 60 * 8  # most members know most origins


@given(STEPS, st.randoms())
def test_copies_that_were_told_the_same_are_the_same_in_any_order_and_number(
    steps: list[tuple[int, int, int]], rng: random.Random
) -> None:
    world = World(random.Random(2))
    for step in steps:
        world.step(*step)
    everything: list[Answer] = []
    asker = Tables("g9", 9, TABLES, Settings(), random.Random(9), 0.0)
    lives = {name: i + 1 for i, name in enumerate(NAMES)}
    asker.members(lives, 0.0)
    question = asker.ask(0.0)
    for i, member in enumerate(world.members):
        everything += member.answer(question, world.clock(i))
    states = []
    for _ in range(3):
        other = Tables("g9", 9, TABLES, Settings(), random.Random(9), 0.0)
        other.members(lives, 0.0)
        other.ask(0.0)
        # A page may rest on the one before it: told three times over, in any order, all is there.
        for _ in range(3):
            for page in rng.sample(everything, len(everything)):
                other.take(page, 10.0)
        states.append({n: (o.version, o.fresh_at, dict(o.entries)) for n, o in other.origins.items()})
    assert states[0] == states[1] == states[2]


def test_entries_older_than_the_staleness_bound_are_not_read() -> None:
    net = converged_fleet(12, 4, TABLES)
    net.machines[3].shared.tables.put("a", "s1", b"bad")
    net.machines[3].shared.tables.put("b", "s1", b"slow")
    net.run(5_000)
    for seat in net.machines:
        shared, now = seat.shared.tables, net.local_clock_ms(seat.number)
        assert [(t.key, t.origin, t.value) for t in shared.read("a", now)] == [("s1", "g3", b"bad")]
    net.split(range(3, 4), range(0, 3), range(4, 12))
    net.run(BOUND_MS + 1)
    for seat in net.machines:
        if seat.number != 3:
            shared, now = seat.shared.tables, net.local_clock_ms(seat.number)
            assert not list(shared.read("a", now)) and len(list(shared.read("b", now))) == 1
    net.links.cut.clear()
    net.until_agreed(60_000)
    net.run(5_000)
    assert all(list(s.shared.tables.read("a", net.local_clock_ms(s.number))) for s in net.machines)


def test_entries_of_an_earlier_process_are_gone_after_a_restart() -> None:
    net = converged_fleet(8, 5, TABLES)
    net.machines[2].shared.tables.put("b", "s1", b"old")
    net.run(5_000)
    net.kill(2)
    net.start(2)
    net.until_agreed(30_000)
    net.run(5_000)
    for seat in net.machines:
        assert not list(seat.shared.tables.read("b", net.local_clock_ms(seat.number)))


def test_a_copy_behind_removed_tombstones_gets_a_full_delta() -> None:
    net = converged_fleet(3, 6, TABLES)
    tables = net.machines[0].shared.tables
    tables.put("b", "stays", b"x")
    for i in range(5):
        tables.put("b", f"goes{i}", b"x")
    net.run(3_000)
    net.pause(2, 4_000)
    for i in range(5):
        tables.drop("b", f"goes{i}")
    for i in range(40):
        tables.put("a", f"k{i}", b"y" * MAX_VALUE_BYTES)
        tables.drop("a", f"k{i}")
    for i in range(6):
        tables.put("a", f"big{i}", b"z" * MAX_VALUE_BYTES)  # more than fits into one page
    assert tables.own_origin.floor_version > 0 and len(tables.own_origin.entries) <= 2 * tables.max_entries()
    net.run(12_000)
    now = net.local_clock_ms(2)
    held = {t.key for table in ("a", "b") for t in net.machines[2].shared.tables.read(table, now)}
    assert held == {"stays", *(f"big{i}" for i in range(6))}


def test_entry_limits_hold_at_the_origin_and_against_an_origin_that_ignores_them() -> None:
    net = converged_fleet(3, 7, TABLES)
    origin = net.machines[0].shared.tables
    for i in range(6):
        origin.put("a", f"k{i}", b"v")
    with pytest.raises(FullTableError, match="a: 6 entries"):
        origin.put("a", "k7", b"v")
    with pytest.raises(ValueError, match="value at most"):
        origin.put("b", "k", b"v" * 600)
    for i in range(40):
        origin._record_change("a", f"more{i}", b"v")  # bypasses the limit
    net.run(5_000)
    for seat in net.machines[1:]:
        copy = seat.shared.tables
        assert copy.refused_deltas > 0 and "g0" not in {
            t.origin for t in copy.read("a", net.local_clock_ms(seat.number))
        }


@pytest.mark.parametrize(("size", "loss"), [(12, 0.0), (12, 0.2), (60, 0.05)])
def test_ages_stay_within_bounds_in_fleets_that_lose_datagrams(size: int, loss: float) -> None:
    net = converged_fleet(size, 8, TABLES)
    net.links.loss = loss
    net.run(20_000)
    ages = sorted(
        seat.shared.tables.age_ms(net.name(i), net.local_clock_ms(seat.number))
        for seat in net.machines
        for i in range(size)
        if i != seat.number
    )
    assert ages[-1] < 2 * BOUND_MS and ages[len(ages) // 2] < BOUND_MS / 2, (ages[len(ages) // 2], ages[-1])


def test_undecodable_payload_is_counted() -> None:
    net = SimulatedFleet(2, 1, tables=TABLES)
    for i in range(2):
        net.start(i)
    net.until_agreed(10_000)
    shared = net.machines[0].shared
    shared.handle(0.0, net.machines[1].swim.own_row, b"\xc1")
    assert shared.undecodable == 1
