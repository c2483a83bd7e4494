"""The budget of bytes: what is held stays within it, nobody starves, and all is given back."""

from __future__ import annotations

import random

import pytest

from yewstage.net import budget as budget_module
from yewstage.net.budget import READ, STALL_S, TURN_S, MemoryAccount, MemoryBudget

MOST = 40 * READ


class Streams:
    """A budget on a clock of the test's, and streams whose reading it stops."""

    def __init__(self, most: int = MOST) -> None:
        self.now = 0.0
        self.budget = MemoryBudget(most, lambda: self.now)
        self.stopped: dict[MemoryAccount, bool] = {}
        self.evicted: list[MemoryAccount] = []

    def open(self, use: str = "answers") -> MemoryAccount:
        held = self.budget.open_account(use)
        self.stopped[held] = False
        held.begin(lambda stop: self.stopped.__setitem__(held, stop), lambda: self.evict(held))
        return held

    def evict(self, held: MemoryAccount) -> None:
        self.evicted.append(held)
        held.end()

    def piece(self, held: MemoryAccount, size: int = READ) -> bool:
        """A read of a stream, if it may read; its client takes nothing yet."""
        if self.stopped[held]:
            return False
        held.set(held.bytes + size)
        return True


def test_above_the_high_watermark_no_long_body_begins_and_small_requests_come_in() -> None:
    s = Streams()
    assert s.budget.admits_long()
    while s.budget.admits_long():
        s.piece(s.open())
    assert s.budget.held <= budget_module.HIGH * MOST and not s.budget.admits_long()
    assert s.budget.admits(64 * 1024)  # of the part that long bodies leave
    small = s.budget.open_account("requests")
    small.set(MOST - s.budget.held)
    assert not s.budget.admits(1)
    small.end()
    assert s.budget.admits(1) and s.budget.by_use()["requests"] == 0


@pytest.mark.parametrize("count", [10, 100, 1000])
def test_what_is_held_stays_flat_however_many_streams_there_are(count: int) -> None:
    s = Streams()
    streams = [s.open() for _ in range(count)]
    for _ in range(3):
        for held in streams:
            s.piece(held)
    assert s.budget.held <= budget_module.HIGH * MOST + READ
    assert s.budget.peak <= budget_module.HIGH * MOST + READ


def test_under_pressure_streams_take_turns_and_none_starves() -> None:
    s = Streams()
    stuck = [s.open() for _ in range(30)]
    for held in stuck:
        s.piece(held)  # and takes nothing of it
    quick = [s.open() for _ in range(20)]
    for held in quick:
        s.piece(held)
    assert s.budget.tight
    reads = dict.fromkeys(quick, 0)
    for _ in range(400):
        for held in quick:
            if held.bytes:
                held.set(0)  # its reader has taken all
            reads[held] += s.piece(held)
            assert s.budget.held <= MOST
    assert min(reads.values()) >= 0.9 * max(reads.values()) > 30


def test_below_the_low_watermark_all_go_on() -> None:
    s = Streams()
    streams = [s.open() for _ in range(40)]
    for held in streams:
        s.piece(held)
    assert s.budget.tight and all(s.stopped.values())
    for held in streams[:30]:
        held.set(0)
    assert not s.budget.tight and not any(s.stopped.values()) and s.budget.admits_long()


def test_a_turn_that_is_not_used_goes_to_the_next() -> None:
    s = Streams()
    full = [s.open() for _ in range(40)]
    for held in full:
        s.piece(held)
    quiet = [s.open() for _ in range(3)]
    full[0].set(0)
    full[1].set(0)  # room for one read
    turns = []
    for _ in range(30):
        turns += [held for held, stopped in s.stopped.items() if not stopped]
        s.now += TURN_S + 0.01
        s.budget.check()
    assert len(turns) == 30 and set(quiet) < set(turns)
    assert s.piece(turns[-1]) is False and sum(not stopped for stopped in s.stopped.values()) == 1


def test_when_stalled_streams_hold_all_the_room_the_longest_stalled_gives_way() -> None:
    s = Streams()
    stuck = [s.open() for _ in range(40)]
    for held in stuck:
        s.now += 0.01
        s.piece(held)
    waits = s.open()
    assert s.stopped[waits]
    s.now += STALL_S / 2
    s.budget.check()
    assert not s.evicted
    s.now += STALL_S
    while s.stopped[waits]:
        s.now += TURN_S + 0.01  # those before it in the line have their turns
        s.budget.check()
    assert s.evicted and s.evicted == stuck[: len(s.evicted)] and s.piece(waits)


def test_nobody_is_ended_while_nobody_waits_for_the_room() -> None:
    s = Streams()
    for held in [s.open() for _ in range(40)]:
        s.piece(held)
    for held in [held for held in s.stopped if not held.bytes]:
        held.end()
    s.now += 100 * STALL_S
    s.budget.check()
    assert not s.evicted


def test_half_the_budget_for_two_processes() -> None:
    s = Streams()
    s.budget.limit(MOST // 2)
    for _ in range(100):
        s.piece(s.open())
    assert s.budget.held <= budget_module.HIGH * MOST / 2 + READ


@pytest.mark.parametrize("seed", range(30))
def test_random_lives_leave_the_count_at_zero_and_never_pass_the_budget(seed: int) -> None:
    r = random.Random(seed)
    s = Streams(r.choice((8, 40)) * READ)
    small: list[MemoryAccount] = []
    for _ in range(3000):
        s.now += r.choice((0.0, 0.01, 0.3))
        live = [held for held in s.stopped if held.pause_reading is not None]
        held = r.choice(live) if live else s.open()
        match r.randrange(9):
            case 0:
                if len(live) < 60 and s.budget.admits_long() or r.random() < 0.1:
                    s.open(r.choice(("answers", "uploads")))
            case 1 | 2 | 3:
                s.piece(held, r.randrange(1, READ + 1))
            case 4 | 5:
                held.set(r.choice((0, held.bytes // 2)))
            case 6:
                held.set(0)
                held.finish()
            case 7:
                held.end()  # broken off
            case 8:
                if small and r.random() < 0.5:
                    small.pop().end()
                elif s.budget.admits(size := r.randrange(64 * 1024)):
                    small.append(s.budget.open_account("requests"))
                    small[-1].set(size)
        s.budget.check()
        streams = sum(held.bytes for held in s.stopped)
        assert s.budget.held == sum(s.budget.by_use().values()) == streams + sum(held.bytes for held in small)
        assert s.budget.held <= s.budget.most + READ
    for held in [*s.stopped, *small]:
        held.end()
    assert s.budget.held == 0 and not s.budget.tight and s.budget.streams() == 0
    assert all(size == 0 for size in s.budget.by_use().values())
