"""Tables that members share: what is read, and how old it may be, under every fault of links and clocks."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plumwall.model.members import Net, fleet
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
DRIFTS = (1.0, 1.004, 0.995, 1.0)  # no two are further apart than is allowed
OFF_MS = (0.0, 3.6e6, -3.6e6, 42.0)


@dataclass
class World:
    """Four members, true time, and what each origin held when."""

    rng: random.Random
    now: float = 1e7
    members: list[Tables] = field(default_factory=list)
    history: dict[str, list[tuple[float, dict]]] = field(default_factory=dict)
    wire: list[tuple[str, int, int, object]] = field(default_factory=list)

    def __post_init__(self) -> None:
        lives = {name: i + 1 for i, name in enumerate(NAMES)}
        for i, name in enumerate(NAMES):
            made = Tables(name, lives[name], TABLES, Settings(), random.Random(i), self.clock(i))
            made.members(lives, self.clock(i))
            self.members.append(made)
            self.history[name] = [(0.0, {})]

    def clock(self, i: int) -> float:
        return self.now * DRIFTS[i] + OFF_MS[i]

    def step(self, what: int, i: int, pick: int) -> None:
        member = self.members[i]
        match what:
            case 0:
                self.now += (1.0, 40.0, 700.0, 9000.0)[pick % 4]
            case 1 | 2:
                table, key = ("a", "b")[pick % 2], f"k{pick % 5}"
                try:
                    member.put(table, key, b"%d" % pick) if what == 1 else member.drop(table, key)
                except FullTableError:
                    return
                held = {k: c.value for k, c in member.own.entries.items() if c.value is not None}
                self.history[member.own_name].append((self.now, held))
            case 3:
                j = (i + 1 + pick % 3) % 4
                self.wire.append(("ask", i, j, member.ask(self.clock(i))))
            case _ if self.wire:
                kind, a, b, message = self.wire[pick % len(self.wire)]
                if what != 4:  # else it comes again later
                    self.wire.remove((kind, a, b, message))
                message = parse(encode(message))
                if kind == "ask":
                    pages = self.members[b].answer(message, self.clock(b))
                    assert all(len(encode(page)) <= MAX_MESSAGE_BYTES + 16 for page in pages)
                    self.wire += [("answer", b, a, page) for page in pages]
                else:
                    self.members[b].take(message, self.clock(b))

    def check(self) -> None:
        """Whatever is read was true at some moment within its age."""
        for i, reader in enumerate(self.members):
            for name in NAMES:
                age = reader.age_ms(name, self.clock(i))
                if age == float("inf"):
                    continue
                entries = reader.origins[name].entries
                held = {k: c.value for k, c in entries.items() if c.value is not None}
                since = self.now - age / DRIFTS[i]  # the reader's clock alone is out of its hands
                states = [state for at, state in self.history[name] if at >= since]
                before = [state for at, state in self.history[name] if at <= since]
                assert held in [*states, before[-1]], (reader.own_name, name, age)


KINDS = (0, 0, 1, 1, 2, 3, 3, 3, 4, 5, 5, 5, 5, 5, 5)
STEPS = st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 3), st.integers(0, 59)), max_size=150)


def plan(seed: int, length: int) -> list[tuple[int, int, int]]:
    rng = random.Random(seed)
    return [(rng.choice(KINDS), rng.randrange(4), rng.randrange(60)) for _ in range(length)]


def test_what_is_read_was_true_within_its_age_however_messages_come_and_clocks_are_off() -> None:
    known = 0
    for seed in range(60):
        world = World(random.Random(seed))
        for step in plan(seed, 300):
            world.step(*step)
            world.check()
        known += sum(member.age_ms(name, 0.0) < 1e12 for member in world.members for name in NAMES)
    assert known > 60 * 8  # most of them have heard of one another


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


def test_what_is_older_than_its_tables_bound_counts_as_not_there() -> None:
    net = fleet(12, 4, TABLES)
    net.seats[3].shared.tables.put("a", "s1", b"bad")
    net.seats[3].shared.tables.put("b", "s1", b"slow")
    net.run(5_000)
    for seat in net.seats:
        shared, now = seat.shared.tables, net._clock(seat.number)
        assert [(t.key, t.origin, t.value) for t in shared.read("a", now)] == [("s1", "g3", b"bad")]
    net.split(range(3, 4), range(0, 3), range(4, 12))
    net.run(BOUND_MS + 1)
    for seat in net.seats:
        if seat.number != 3:
            shared, now = seat.shared.tables, net._clock(seat.number)
            assert not list(shared.read("a", now)) and len(list(shared.read("b", now))) == 1
    net.links.cut.clear()
    net.until_agreed(60_000)
    net.run(5_000)
    assert all(list(s.shared.tables.read("a", net._clock(s.number))) for s in net.seats)


def test_a_restart_begins_with_nothing_of_its_earlier_life_and_nobody_tells_it_that_it_does() -> None:
    net = fleet(8, 5, TABLES)
    net.seats[2].shared.tables.put("b", "s1", b"old")
    net.run(5_000)
    net.kill(2)
    net.start(2)
    net.until_agreed(30_000)
    net.run(5_000)
    for seat in net.seats:
        assert not list(seat.shared.tables.read("b", net._clock(seat.number)))


def test_a_copy_that_was_long_away_is_told_the_whole_of_an_origin_that_has_dropped_too_much() -> None:
    net = fleet(3, 6, TABLES)
    mine = net.seats[0].shared.tables
    mine.put("b", "stays", b"x")
    for i in range(5):
        mine.put("b", f"goes{i}", b"x")
    net.run(3_000)
    net.stall(2, 4_000)
    for i in range(5):
        mine.drop("b", f"goes{i}")
    for i in range(40):
        mine.put("a", f"k{i}", b"y" * MAX_VALUE_BYTES)
        mine.drop("a", f"k{i}")
    for i in range(6):
        mine.put("a", f"big{i}", b"z" * MAX_VALUE_BYTES)  # more than a page holds
    assert mine.own.floor_version > 0 and len(mine.own.entries) <= 2 * mine.max_entries()
    net.run(12_000)
    now = net._clock(2)
    held = {t.key for table in ("a", "b") for t in net.seats[2].shared.tables.read(table, now)}
    assert held == {"stays", *(f"big{i}" for i in range(6))}


def test_an_origin_holds_no_more_than_it_may_and_others_take_no_more_from_it() -> None:
    net = fleet(3, 7, TABLES)
    liar = net.seats[0].shared.tables
    for i in range(6):
        liar.put("a", f"k{i}", b"v")
    with pytest.raises(FullTableError, match="a: 6 entries"):
        liar.put("a", "k7", b"v")
    with pytest.raises(ValueError, match="value at most"):
        liar.put("b", "k", b"v" * 600)
    for i in range(40):
        liar._record_change("a", f"more{i}", b"v")  # one that lies does not ask
    net.run(5_000)
    for seat in net.seats[1:]:
        told = seat.shared.tables
        assert told.refused > 0 and "g0" not in {t.origin for t in told.read("a", net._clock(seat.number))}


@pytest.mark.parametrize(("size", "loss"), [(12, 0.0), (12, 0.2), (60, 0.05)])
def test_ages_stay_far_under_a_bound_of_seconds_in_fleets_that_lose_datagrams(size: int, loss: float) -> None:
    net = fleet(size, 8, TABLES)
    net.links.loss = loss
    net.run(20_000)
    ages = sorted(
        seat.shared.tables.age_ms(net.name(i), net._clock(seat.number))
        for seat in net.seats
        for i in range(size)
        if i != seat.number
    )
    assert ages[-1] < 2 * BOUND_MS and ages[len(ages) // 2] < BOUND_MS / 2, (ages[len(ages) // 2], ages[-1])


def test_nonsense_in_a_letter_is_counted_and_changes_nothing() -> None:
    net = Net(2, 1, tables=TABLES)
    for i in range(2):
        net.start(i)
    net.until_agreed(10_000)
    shared = net.seats[0].shared
    shared.handle(0.0, net.seats[1].swim.own_row, b"\xc1")
    assert shared.nonsense == 1
