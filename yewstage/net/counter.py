"""Client of the counter service, which keeps counts that all gateways add to.

Calls are pipelined over a few persistent connections.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable

from yewstage import interface as api
from yewstage.net.http1 import ConnectAttempt, Reply, ReplyProtocol
from yewstage.net.stats import DescriptorUse

MAX_ANSWER_BODY_BYTES, MAX_ANSWER_HEAD_BYTES = 1024, 8 * 1024
# Of one connection; a call beyond that fails at once, as if the counter could not be reached.
MAX_CALLS_IN_PROGRESS = 64
CONNECTIONS = 4  # a slow call delays only those that are pipelined behind it on the same connection
DIAL_TIMEOUT_S = 0.25
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.05, 1.0
SILENCE_TIMEOUT_S = 1.0  # without an answer for so long, the connection is taken for dead
READ_GRACE_S = 0.001  # one turn of the loop to read data that has arrived before a time-out counts


class _Call:
    __slots__ = ("action", "sent_at", "timer", "is_written", "is_done")

    def __init__(self, action: api.Count, now: float) -> None:
        self.action, self.sent_at = action, now
        self.timer: asyncio.TimerHandle | None = None
        self.is_written = self.is_done = False


class Counter:
    """Makes calls to the counter; each gets exactly one `CountReply`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        timeout_ms: float,
        on_reply: Callable[[api.CountReply], None],
        descriptor_use: DescriptorUse | None = None,
    ) -> None:
        self._descriptor_use = descriptor_use or DescriptorUse()
        self._loop, self._address, self._timeout_s, self._on_reply = (
            loop,
            address,
            timeout_ms / 1000,
            on_reply,
        )
        self._slots = [_Slot(self) for _ in range(CONNECTIONS)]

    def start(self) -> None:
        """Open the connections ahead of the first call."""
        for slot in self._slots:
            slot.dial()

    def stop(self) -> None:
        """Close all connections."""
        for slot in self._slots:
            slot.stop()

    def move(self, address: tuple[str, int], timeout_ms: float) -> None:
        """Use another address from now on. Calls in progress at the old one keep their time-out."""
        old, self._address, self._timeout_s = self._slots, address, timeout_ms / 1000
        self._slots = [_Slot(self) for _ in range(CONNECTIONS)]
        self.start()
        for slot in old:
            self._loop.call_later(self._timeout_s + READ_GRACE_S, slot.stop)

    def call(self, action: api.Count) -> None:
        """Make a call over the connection with the fewest calls in progress."""
        call = _Call(action, self._loop.time())
        usable = [slot for slot in self._slots if slot.is_usable()]
        if not usable:
            self.end(call, api.CONNECT_FAILED)
            return
        call.timer = self._loop.call_later(self._timeout_s, self._on_timeout, call)
        min(usable, key=_Slot.load).write(call)

    def end(self, call: _Call, result: str, total: float = 0.0) -> None:
        """Report the result of a call, once."""
        if call.is_done:
            return
        call.is_done = True
        if call.timer is not None:
            call.timer.cancel()
        took_ms = (self._loop.time() - call.sent_at) * 1000
        self._on_reply(api.CountReply(call.action.name, result, total, took_ms))

    def _on_timeout(self, call: _Call) -> None:
        # After a stall of the event loop the answer may have arrived but not been read.
        call.timer = self._loop.call_later(READ_GRACE_S, self._end_timed_out, call)

    def _end_timed_out(self, call: _Call) -> None:
        # The call stays in its connection's queue, so that a late answer is not taken for the next call's.
        self.end(call, api.TIMED_OUT if call.is_written else api.CONNECT_FAILED)

    def now(self) -> float:
        """Time of the event loop in seconds."""
        return self._loop.time()

    def later(self, seconds: float, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Start a timer of the event loop."""
        return self._loop.call_later(seconds, callback)

    def dial(self, slot: _Slot) -> ConnectAttempt:
        """Start a dial whose result goes to `slot.dialled`."""
        return ConnectAttempt(
            self._loop,
            lambda: _Connection(slot),
            self._address,
            DIAL_TIMEOUT_S,
            self._descriptor_use,
            slot.dialled,
        )


class _Slot:
    """A persistent connection that is redialled when lost, and its calls in progress in order."""

    def __init__(self, counter: Counter) -> None:
        self._counter = counter
        self._connection: _Connection | None = None
        self._dial: ConnectAttempt | None = None
        self._silence_timer: asyncio.TimerHandle | None = None
        self._calls: deque[_Call] = deque()
        self._failures = 0
        self._backoff_until = 0.0

    def is_usable(self) -> bool:
        """Whether a call can be written, or queued until a dial ends: not during a backoff."""
        if len(self._calls) >= MAX_CALLS_IN_PROGRESS:
            return False
        return (
            self._connection is not None
            or self._dial is not None
            or self._counter.now() >= self._backoff_until
        )

    def load(self) -> int:
        """Number of calls in progress, with a penalty if the connection is not established."""
        return len(self._calls) + (0 if self._connection is not None else CONNECTIONS)

    def stop(self) -> None:
        if self._dial is not None:
            self._dial.cancel()
        if self._connection is not None:
            self._connection.abort()

    def write(self, call: _Call) -> None:
        self._calls.append(call)
        if self._connection is not None:
            self._send(call)
        elif self._dial is None:
            self.dial()

    def dial(self) -> None:
        """Start opening the connection."""
        self._dial = self._counter.dial(self)

    def dialled(self, connection: _Connection | None, cause: str) -> None:
        """Called with the result of a dial: the connection, or None and a cause."""
        self._dial = None
        if connection is None:
            self._fail_calls()
            return
        self._connection = connection
        # A call that timed out while it waited was reported as not counted, so it must not be written now.
        self._calls = deque(call for call in self._calls if not call.is_done)
        for call in self._calls:
            self._send(call)

    def _send(self, call: _Call) -> None:
        count = call.action
        self._connection.write(
            f"POST /v1/count/{count.name}?add={_decimal(count.amount)}&ttl_ms={max(1, round(count.ttl_ms))}"
            " HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n".encode()
        )
        call.is_written = not self._connection.has_unsent_data
        if self._silence_timer is None:
            self._silence_timer = self._counter.later(SILENCE_TIMEOUT_S, self._check_silence)

    def flushed(self) -> None:
        """Called when all data of the connection was written."""
        for call in self._calls:
            call.is_written = True

    def _check_silence(self) -> None:
        # The connections to an unreachable counter stay open and silent, so they are closed after a time.
        self._silence_timer = None
        if not self._calls or self._connection is None:
            return
        left_s = self._calls[0].sent_at + SILENCE_TIMEOUT_S - self._counter.now()
        if left_s > 0:
            self._silence_timer = self._counter.later(left_s, self._check_silence)
        else:
            self._connection.abort()

    def replied(self, reply: Reply, reusable: bool) -> None:
        """Called with the answer to the oldest call of this connection."""
        if not self._calls:
            self._connection.abort()  # an unsolicited answer
            return
        self._failures = 0
        call = self._calls.popleft()
        if not reusable:
            self._connection.abort()
        if reply.status == 200:
            try:
                total = float(reply.body)
            except ValueError:
                total = math.nan
            if math.isfinite(total):
                self._counter.end(call, api.OK, total)
            else:
                self._counter.end(call, api.TIMED_OUT)  # it was counted, but the total is unknown
                if self._connection is not None:
                    self._connection.abort()  # its other answers cannot be trusted either
        else:
            self._counter.end(call, api.FULL)

    def lost(self, connection: _Connection) -> None:
        """Called when a connection is lost. One that breaks during its dial is reported by the dial."""
        if connection is self._connection:
            self._connection = None
            self._fail_calls()

    def _fail_calls(self) -> None:
        """Fail the calls in progress. The next call redials, after a backoff from the second failure on."""
        self._failures += 1
        if self._failures > 1:
            backoff_s = min(MIN_BACKOFF_S * 2 ** min(self._failures - 2, 10), MAX_BACKOFF_S)
            self._backoff_until = self._counter.now() + backoff_s
        calls, self._calls = self._calls, deque()
        for call in calls:
            self._counter.end(call, api.TIMED_OUT if call.is_written else api.CONNECT_FAILED)


def _decimal(amount: float) -> str:
    """Format an amount as a decimal number without an exponent."""
    return f"{amount:.6f}".rstrip("0").rstrip(".")


class _Connection(ReplyProtocol):
    def __init__(self, slot: _Slot) -> None:
        super().__init__(MAX_ANSWER_BODY_BYTES, MAX_ANSWER_HEAD_BYTES)
        self._slot = slot

    def resume_writing(self) -> None:
        super().resume_writing()
        self._slot.flushed()

    def replied(self, reply: Reply, reusable: bool) -> None:
        self._slot.replied(reply, reusable)

    def lost(self) -> None:
        self._slot.lost(self)
