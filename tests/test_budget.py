"""Memory budget: the held bytes stay within it, no stream starves, and all bytes are released."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from yewstage.net import budget as budget_module
from yewstage.net.budget import (
    ADMITTED_STREAM_BYTES,
    ALL_STREAMS_SHARE,
    MIN_READ_BYTES,
    READ_BYTES,
    READ_SHARE,
    STALL_TIMEOUT_S,
    TURN_TIMEOUT_S,
    MemoryAccount,
    MemoryBudget,
)

LIMIT_BYTES = 40 * READ_BYTES


class StreamBudget:
    """A budget with a manual clock, and streams whose reading it pauses."""

    def __init__(self, limit_bytes: int = LIMIT_BYTES) -> None:
        self.now = 0.0
        self.budget = MemoryBudget(limit_bytes, lambda: self.now)
        self.paused: dict[MemoryAccount, bool] = {}
        self.evicted: list[MemoryAccount] = []

    def open(self, use: str = "answers") -> MemoryAccount:
        account = self.budget.open_account(use)
        self.paused[account] = False
        account.begin(
            lambda is_paused: self.paused.__setitem__(account, is_paused), lambda: self.evict(account)
        )
        return account

    def evict(self, account: MemoryAccount) -> None:
        self.evicted.append(account)
        account.end()

    def read(self, account: MemoryAccount, size: int = READ_BYTES) -> bool:
        """Read once unless the stream is paused; its client takes nothing yet. Returns whether it read."""
        if self.paused[account]:
            return False
        account.set(account.bytes + size)
        return True


def test_above_the_high_watermark_streams_are_refused_and_buffered_requests_admitted() -> None:
    rig = StreamBudget()
    assert rig.budget.admits_stream()
    while rig.budget.admits_stream():
        rig.read(rig.open())
    assert rig.budget.held <= budget_module.HIGH_SHARE * LIMIT_BYTES and not rig.budget.admits_stream()
    assert rig.budget.admits(64 * 1024)  # from the memory reserved above the watermark
    small = rig.budget.open_account("requests")
    small.set(LIMIT_BYTES - rig.budget.held)
    assert not rig.budget.admits(1)
    small.end()
    assert rig.budget.admits(1) and rig.budget.held_bytes_by_purpose()["requests"] == 0


# Guards against: the first readers took the memory of all others, by reads of a fixed size.
@pytest.mark.parametrize("count", [10, 100, 1000])
def test_reads_get_smaller_so_that_each_stream_has_room(count: int) -> None:
    rig = StreamBudget()
    streams = [rig.open() for _ in range(count)]
    high_bytes = rig.budget.high_bytes
    share_bytes = int(ALL_STREAMS_SHARE * high_bytes / count)
    for account in streams:
        size = rig.budget.read_bytes()
        left_bytes = int(READ_SHARE * (high_bytes - rig.budget.held))
        assert size == min(READ_BYTES, max(MIN_READ_BYTES, min(share_bytes, left_bytes)))
        rig.read(account, size)
    assert rig.budget.is_under_pressure == (count * MIN_READ_BYTES > high_bytes)
    assert rig.budget.held <= high_bytes + MIN_READ_BYTES


def test_streams_are_admitted_while_an_equal_part_of_the_memory_is_enough() -> None:
    rig = StreamBudget()
    count = 0
    while rig.budget.admits_stream():
        rig.open()
        count += 1
    assert count == rig.budget.high_bytes // ADMITTED_STREAM_BYTES


def test_a_stream_whose_receiver_takes_bytes_is_not_evicted() -> None:
    rig = StreamBudget()
    for account in [rig.open() for _ in range(40)]:
        rig.read(account)
    rig.open()
    for _ in range(10):
        rig.now += STALL_TIMEOUT_S / 2
        for account in rig.paused:
            account.note_progress()
        rig.budget.check()
    assert not rig.evicted


@pytest.mark.parametrize("count", [10, 100, 1000])
def test_held_bytes_do_not_grow_with_the_number_of_streams(count: int) -> None:
    rig = StreamBudget()
    streams = [rig.open() for _ in range(count)]
    for _ in range(3):
        for account in streams:
            rig.read(account)
    assert rig.budget.held <= budget_module.HIGH_SHARE * LIMIT_BYTES + READ_BYTES
    assert rig.budget.peak_bytes <= budget_module.HIGH_SHARE * LIMIT_BYTES + READ_BYTES


def test_under_pressure_streams_take_turns_and_none_starves() -> None:
    rig = StreamBudget()
    stalled = [rig.open() for _ in range(30)]
    for account in stalled:
        rig.read(account)  # its client reads nothing
    fast = [rig.open() for _ in range(20)]
    for account in fast:
        rig.read(account)
    assert rig.budget.is_under_pressure
    reads = dict.fromkeys(fast, 0)
    for _ in range(400):
        for account in fast:
            if account.bytes:
                account.set(0)  # its client has read everything
            reads[account] += rig.read(account)
            assert rig.budget.held <= LIMIT_BYTES
    assert min(reads.values()) >= 0.9 * max(reads.values()) > 30


def test_below_the_low_watermark_all_streams_resume() -> None:
    rig = StreamBudget()
    streams = [rig.open() for _ in range(40)]
    for account in streams:
        rig.read(account)
    assert rig.budget.is_under_pressure and all(rig.paused.values())
    for account in streams[:30]:
        account.set(0)
    assert not rig.budget.is_under_pressure and not any(rig.paused.values()) and rig.budget.admits_stream()


def test_an_unused_turn_passes_to_the_next_stream() -> None:
    rig = StreamBudget()
    filled = [rig.open() for _ in range(40)]
    for account in filled:
        rig.read(account)
    unused = [rig.open() for _ in range(3)]
    filled[0].set(0)
    filled[1].set(0)  # room for one read
    turns = []
    for _ in range(30):
        turns += [account for account, paused in rig.paused.items() if not paused]
        rig.now += TURN_TIMEOUT_S + 0.01
        rig.budget.check()
    assert len(turns) == 30 and set(unused) < set(turns)
    assert rig.read(turns[-1]) is False and sum(not paused for paused in rig.paused.values()) == 1


def test_the_longest_stalled_stream_is_evicted_when_stalled_streams_hold_all_memory() -> None:
    rig = StreamBudget()
    stalled = [rig.open() for _ in range(40)]
    for account in stalled:
        rig.now += 0.01
        rig.read(account)
    waiting = rig.open()
    assert rig.paused[waiting]
    rig.now += STALL_TIMEOUT_S / 2
    rig.budget.check()
    assert not rig.evicted
    rig.now += STALL_TIMEOUT_S
    while rig.paused[waiting]:
        rig.now += TURN_TIMEOUT_S + 0.01  # earlier streams have their turns first
        rig.budget.check()
    assert rig.evicted and rig.evicted == stalled[: len(rig.evicted)] and rig.read(waiting)


# Guards against: a connection kept the pause of an ended stream, and its next long answer hung for good.
@pytest.mark.parametrize("end", [MemoryAccount.finish, MemoryAccount.end])
def test_the_pause_of_a_stream_ends_with_the_stream(end: Callable[[MemoryAccount], None]) -> None:
    rig = StreamBudget()
    streams = [rig.open() for _ in range(40)]
    for account in streams:
        rig.read(account)
    assert rig.budget.is_under_pressure and all(rig.paused.values())
    end(streams[0])
    assert rig.budget.is_under_pressure and not rig.paused[streams[0]]


def test_no_stream_is_evicted_while_none_waits_for_memory() -> None:
    rig = StreamBudget()
    for account in [rig.open() for _ in range(40)]:
        rig.read(account)
    for account in [account for account in rig.paused if not account.bytes]:
        account.end()
    rig.now += 100 * STALL_TIMEOUT_S
    rig.budget.check()
    assert not rig.evicted


def test_a_lower_limit_applies_during_a_hot_upgrade() -> None:
    rig = StreamBudget()
    rig.budget.set_limit(LIMIT_BYTES // 2)
    for _ in range(100):
        rig.read(rig.open())
    assert rig.budget.held <= budget_module.HIGH_SHARE * LIMIT_BYTES / 2 + READ_BYTES


@pytest.mark.parametrize("seed", range(30))
def test_random_operations_keep_within_the_budget_and_release_all_bytes(seed: int) -> None:
    rng = random.Random(seed)
    rig = StreamBudget(rng.choice((8, 40)) * READ_BYTES)
    small: list[MemoryAccount] = []
    for _ in range(3000):
        rig.now += rng.choice((0.0, 0.01, 0.3))
        open_streams = [account for account in rig.paused if account.pause_reading is not None]
        account = rng.choice(open_streams) if open_streams else rig.open()
        match rng.randrange(9):
            case 0:
                if len(open_streams) < 60 and rig.budget.admits_stream() or rng.random() < 0.1:
                    rig.open(rng.choice(("answers", "uploads")))
            case 1 | 2 | 3:
                rig.read(account, rng.randrange(1, READ_BYTES + 1))
            case 4 | 5:
                account.set(rng.choice((0, account.bytes // 2)))
            case 6:
                account.set(0)
                account.finish()
            case 7:
                account.end()  # aborted
            case 8:
                if small and rng.random() < 0.5:
                    small.pop().end()
                elif rig.budget.admits(size := rng.randrange(64 * 1024)):
                    small.append(rig.budget.open_account("requests"))
                    small[-1].set(size)
        rig.budget.check()
        streams = sum(account.bytes for account in rig.paused)
        assert not any(rig.paused[account] for account in rig.paused if account.pause_reading is None)
        assert (
            rig.budget.held
            == sum(rig.budget.held_bytes_by_purpose().values())
            == streams + sum(account.bytes for account in small)
        )
        assert rig.budget.held <= rig.budget.limit_bytes + READ_BYTES
    for account in [*rig.paused, *small]:
        account.end()
    assert rig.budget.held == 0 and not rig.budget.is_under_pressure and rig.budget.stream_count() == 0
    assert all(size == 0 for size in rig.budget.held_bytes_by_purpose().values())
