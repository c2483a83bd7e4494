"""How long input may have lain unread, by the event loop's stalls and by pauses of reading."""

from __future__ import annotations

import asyncio
import time

import pytest
from conftest import run_on_loop

from yewstage.net import loop_monitor
from yewstage.net.loop_monitor import HEARTBEAT_INTERVAL_S, LoopMonitor, ReadGap


class Clock:
    """A monotonic clock that the test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(loop_monitor, "time", clock)
    return clock


class StalledMonitor:
    """A monitor of an event loop that was held up for some time."""

    def __init__(self, delay_s: float = 0.0) -> None:
        self.delay_s = delay_s

    def read_delay_s(self, now: float) -> float:
        return self.delay_s


def test_input_of_a_loop_that_reads_all_the_time_arrived_when_it_is_read(clock: Clock) -> None:
    gap = ReadGap(StalledMonitor())
    assert gap.earliest_arrival_s(clock.now) == clock.now


def test_a_stall_bounds_the_arrival(clock: Clock) -> None:
    gap = ReadGap(StalledMonitor(0.4))
    assert gap.earliest_arrival_s(clock.now) == pytest.approx(clock.now - 0.4)


@pytest.mark.parametrize(("stall_s", "read_after_s"), [(0.0, 0.01), (0.7, 0.7), (0.7, HEARTBEAT_INTERVAL_S)])
def test_input_read_when_reading_resumes_may_be_as_old_as_the_pause(
    clock: Clock, stall_s: float, read_after_s: float
) -> None:
    gap = ReadGap(StalledMonitor(stall_s))
    gap.pause()
    paused_at = clock.now
    clock.now += 3.0
    gap.pause()  # a second reason for the same pause
    gap.resume()
    clock.now += read_after_s
    assert gap.earliest_arrival_s(clock.now) == paused_at
    gap.end()
    assert gap.earliest_arrival_s(clock.now) == pytest.approx(clock.now - stall_s)


def test_input_that_is_read_later_than_what_lay_there_is_new(clock: Clock) -> None:
    gap = ReadGap(StalledMonitor(), unread_since_s=clock.now - 5.0)
    gap.resume()
    clock.now += HEARTBEAT_INTERVAL_S + 0.01
    assert gap.earliest_arrival_s(clock.now) == clock.now


def test_a_stall_is_counted_and_its_length_is_known_while_it_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monitor = LoopMonitor(asyncio.get_running_loop())
        monitor.start()
        await asyncio.sleep(2 * HEARTBEAT_INTERVAL_S)
        started = time.monotonic()
        time.sleep(0.3)
        blocked_s = time.monotonic() - started
        # The heartbeat was due within one interval after the loop was blocked.
        assert monitor.read_delay_s(time.monotonic()) >= 0.3 - HEARTBEAT_INTERVAL_S
        await asyncio.sleep(4 * HEARTBEAT_INTERVAL_S)
        metrics = monitor.metrics()
        assert metrics["loop_stalls_total"] >= 1
        assert metrics["loop_stall_longest_seconds"] >= round(blocked_s - HEARTBEAT_INTERVAL_S, 3)

    run_on_loop(scenario)
