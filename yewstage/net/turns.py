"""Turns of connections that have more to do at once than the others should wait for."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

# Connections that go on in one iteration of the event loop. What each may do in its turn is bounded, so this
# bounds for how long they hold up everything else.
TURNS_PER_ITERATION = 4


class TurnTaker(Protocol):
    """Waits for its turn."""

    def take_turn(self) -> None:
        """Called once for each `TurnQueue.add`."""


class TurnQueue:
    """Lets those that wait go on in their order, a few in each iteration of the event loop."""

    def __init__(self, call_soon: Callable[[Callable[[], None]], object]) -> None:
        self._call_soon = call_soon
        self._waiting: deque[TurnTaker] = deque()
        self._is_scheduled = False

    def add(self, taker: TurnTaker) -> None:
        """Append a taker, which must not be waiting."""
        self._waiting.append(taker)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._run)

    def _run(self) -> None:
        # Those that wait again during this iteration come behind all others.
        try:
            for _ in range(min(len(self._waiting), TURNS_PER_ITERATION)):
                self._waiting.popleft().take_turn()
        finally:
            self._is_scheduled = False
            self._schedule()
