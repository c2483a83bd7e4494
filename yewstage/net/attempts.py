"""Runs attempts: each request that is sent to a server over a link of the pool, with exactly one outcome.

A link is a connection to a server.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from typing import Protocol

from yewstage import interface as api
from yewstage.net.http1 import Reply
from yewstage.net.link import Link, Source, Stream
from yewstage.net.pool import Pool
from yewstage.net.stats import DescriptorUse
from yewstage.net.upload import Upload

MS_ROUNDING = 0.001  # a whole number of milliseconds stays one when it is cut to an integer
# After a time-out the loop gets one or two turns to read data that has arrived, before the time-out counts.
READ_GRACE_S = 0.002
# Why an attempt was not written though it had a link; labels of a metric, and causes in the log.
CLIENT_LEFT, CLIENT_UNSEEN, NO_TIME_LEFT, START_DEADLINE_PASSED = (
    "client_left",
    "client_unseen",
    "no_time_left",
    "start_deadline_passed",
)
WITHHOLD_REASONS = (CLIENT_LEFT, CLIENT_UNSEEN, NO_TIME_LEFT, START_DEADLINE_PASSED)


class AttemptOwner(Protocol):
    """Receives the events of attempts."""

    def client_waits_until(self, attempt: Attempt) -> float:
        """Until when the attempt's client waits for the answer, in seconds of the runner's clock.

        It is in the past if the client is answered, and infinite while its time does not run yet.
        """

    def is_client_connected(self, attempt: Attempt) -> bool:
        """Whether the attempt's client is still there, by the system; False also where the system can't tell.

        Called last before the first byte of the attempt is written, which is not written without a client.
        An attempt whose client has left has ended when this returns.
        """

    def on_sent(self, attempt: Attempt) -> None:
        """Called when the last byte of the attempt was written."""

    def on_stream_started(
        self, attempt: Attempt, reply: Reply, length: int | None, source: Source
    ) -> Stream | None:
        """Called when a streamed answer begins. Returns its reader; None if nobody reads it any more."""

    def may_repeat(self, attempt: Attempt) -> bool:
        """Whether the request could be retried if its answer broke off."""

    def on_ended(self, attempt: Attempt, result: str, reply: Reply | None) -> None:
        """Called exactly once, when the attempt ends. `result` is a result of `yewstage.interface`."""


class Attempt:
    """One `Send` action until its outcome."""

    __slots__ = (
        "request",
        "number",
        "server",
        "payload",
        "sent_at",
        "link",
        "timer",
        "wait_timer",
        "is_done",
        "idle_s",
        "result",
        "took_s",
        "cause",
        "upload",
        "timeout_s",
        "head_received_at",
        "class_name",
        "attempt_runner",
        "is_waiting",
        "may_have_sent",
        "is_sent",
        "is_streaming",
        "start_by",
        "arrived_at",
        "written_at",
        "local_port",
        "begun_at",
        "ends_by",
        "body",
    )

    def __init__(
        self,
        request: str,
        number: int,
        server: str,
        payload: bytes,
        sent_at: float,
        upload: Upload | None = None,
        class_name: str = "",
        body: bytes | bytearray | None = None,
    ) -> None:
        self.request, self.number, self.server, self.class_name = request, number, server, class_name
        # If `body` is set, `payload` lacks X-Deadline and the body, which are added when it is written.
        self.payload, self.body, self.sent_at, self.upload = payload, body, sent_at, upload
        self.timeout_s = 0.0
        self.start_by = math.inf  # time after which the attempt is not written any more
        self.begun_at = sent_at  # when it was passed to the runner
        self.ends_by = math.inf  # when its time-out ends it
        self.head_received_at: float | None = None  # when the head of the answer was complete
        self.attempt_runner: AttemptRunner | None = None
        self.link: Link | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.wait_timer: asyncio.TimerHandle | None = None
        # is_waiting: for a link. may_have_sent: bytes may have left this process.
        self.is_waiting = self.may_have_sent = False
        self.is_sent = False  # its last byte was written
        self.is_done = self.is_streaming = False  # is_streaming: the answer is being streamed to the client
        # For the log: when the request arrived at this machine and when the first byte of the attempt was
        # written (None: never), from which port; how long the link had been idle (None: a new connection),
        # and how the attempt ended.
        self.arrived_at = sent_at
        self.written_at: float | None = None
        self.local_port = 0
        self.idle_s: float | None = None
        self.result, self.took_s, self.cause = "out", 0.0, ""

    def written_ms(self) -> float | None:
        """Milliseconds from the arrival of the request to the first byte written; None if none was."""
        return None if self.written_at is None else (self.written_at - self.arrived_at) * 1000

    def fields(self) -> dict[str, object]:
        """Fields for the JSON log; `written_ms` is None without a byte written, `idle_ms` on a new link."""
        written_ms = self.written_ms()
        return {
            "server": self.server,
            "result": self.result,
            "took_ms": round(self.took_s * 1000, 3),
            "written_ms": None if written_ms is None else round(written_ms, 3),
            "port": self.local_port,
            "idle_ms": None if self.idle_s is None else round(self.idle_s * 1000, 3),
            "cause": self.cause,
        }

    def __str__(self) -> str:
        origin = "new connection" if self.idle_s is None else f"idle for {self.idle_s * 1000:.0f} ms"
        cause = f": {self.cause}" if self.cause else ""
        written_ms = self.written_ms()
        written = (
            "" if written_ms is None else f", written after {written_ms:.0f} ms from port {self.local_port}"
        )
        return f"{self.server} {self.result} in {self.took_s * 1000:.0f} ms{written} ({origin}{cause})"

    def connection_ready(self, link: Link) -> None:
        """Called by the pool with a link for this attempt."""
        self.attempt_runner.on_link(self, link)

    def time_out_runs_from(self) -> float | None:
        """When its time-out began to run; None while the last byte of its body has not arrived here."""
        if self.upload is None:
            return self.begun_at
        arrived_at = self.upload.arrived_at_s
        return None if arrived_at is None else max(arrived_at, self.begun_at)

    def may_have_run(self) -> bool:
        """Whether its server may have run it, or may yet though its client has left.

        The last part of a streamed body is not written without a client.
        """
        if not self.is_done and self.upload is None:
            return self.may_have_sent
        return self.is_sent and self.result not in api.NEVER_RAN

    def is_sending_body(self) -> bool:
        """Whether a part of its streamed body is not written yet, so that the request cannot have run."""
        return self.upload is not None and self.link is not None and self.link.has_unsent_data

    def complete_head(self, time_left_s: float) -> None:
        """Add X-Deadline (`time_left_s`, at least 1 ms) and the body."""
        if self.body is not None:
            left_ms = max(time_left_s * 1000 + MS_ROUNDING, 1)
            self.payload = b"%bX-Deadline: %dm\r\n\r\n%b" % (self.payload, left_ms, self.body)
            self.body = None

    def connection_failed(self, result: str, cause: str) -> None:
        """Called by the pool when it has no link for this attempt."""
        self.attempt_runner.on_link_failed(self, result, cause)


class AttemptRunner:
    """Sends attempts and reports the end of each, exactly once.

    `clock_s` is the clock for deadlines. The event loop's own time is that of the start of its present turn,
    which can be far behind in a process that is held up.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        max_links: int,
        dial_timeout_ms: float,
        idle_limit_ms: float,
        owner: AttemptOwner,
        descriptor_use: DescriptorUse | None = None,
        clock_s: Callable[[], float] = time.monotonic,
        **options: object,
    ) -> None:
        self.loop, self._owner, self._clock_s = loop, owner, clock_s
        self.withheld_counts = dict.fromkeys(WITHHOLD_REASONS, 0)
        self.pool = Pool(loop, max_links, dial_timeout_ms, idle_limit_ms, self, descriptor_use, **options)

    def send(self, attempt: Attempt, timeout_s: float, start_within_s: float = math.inf) -> None:
        """Send an attempt over an idle link, or the first one connected or released in `start_within_s`."""
        attempt.attempt_runner, attempt.timeout_s, attempt.is_waiting = self, timeout_s, True
        attempt.begun_at = self._clock_s()
        attempt.start_by = attempt.begun_at + start_within_s
        self.restart_timeout(attempt)
        self.pool.acquire(attempt.server, attempt)
        if attempt.is_waiting:
            wait_s = min(self.pool.max_wait_s(), timeout_s) + 2 * READ_GRACE_S  # a dial ends before this
            attempt.wait_timer = self.loop.call_later(
                min(wait_s, start_within_s), self._on_wait_timeout, attempt
            )

    def restart_timeout(self, attempt: Attempt) -> None:
        """Run the time-out of an attempt from the time from which it counts; it waits while there is none."""
        if attempt.timer is not None:
            attempt.timer.cancel()
        runs_from = attempt.time_out_runs_from()
        if runs_from is None or attempt.is_done or attempt.is_streaming:
            attempt.ends_by = math.inf
            return
        attempt.ends_by = runs_from + attempt.timeout_s
        left_s = max(attempt.ends_by - self._clock_s(), 0.0)
        attempt.timer = self.loop.call_later(left_s, self._on_timeout, attempt)

    def metrics(self) -> dict[str, float]:
        """Attempts that were not written though they had a link, by reason."""
        return {
            f'attempts_withheld_total{{reason="{reason}"}}': n for reason, n in self.withheld_counts.items()
        }

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt by closing its link."""
        if not attempt.is_done:
            self._abandon(attempt)
            self._end(attempt, api.CANCELLED)

    def on_link(self, attempt: Attempt, link: Link) -> None:
        """Write an attempt to its link, unless its time has run out or its client has left."""
        waits_until = min(self._owner.client_waits_until(attempt), attempt.ends_by)
        now = self._clock_s()
        if now >= waits_until or now > attempt.start_by:
            self._withhold(attempt, link, NO_TIME_LEFT if now >= waits_until else START_DEADLINE_PASSED)
            return
        attempt.idle_s = now - link.idle_since if link.idle_since else None
        attempt.complete_head(min(waits_until - now, attempt.timeout_s))
        # The client is asked for last: it may leave while the process is held up before the write.
        if not self._owner.is_client_connected(attempt):
            self._withhold(attempt, link, CLIENT_LEFT if attempt.is_done else CLIENT_UNSEEN)
            return
        attempt.link, attempt.may_have_sent = link, True
        link.begin(attempt)
        attempt.written_at, attempt.local_port = now, link.local_port
        self._stop_waiting(attempt)

    def _withhold(self, attempt: Attempt, link: Link, reason: str) -> None:
        """End an attempt that has a link and may not be written any more."""
        self.withheld_counts[reason] += 1
        self.pool.release(link, reusable=True)
        self.on_link_failed(attempt, api.START_EXPIRED, reason)

    def on_link_failed(self, attempt: Attempt, result: str, cause: str) -> None:
        """End an attempt for which there is no link."""
        self._stop_waiting(attempt)
        attempt.cause = cause
        self._end(attempt, result)

    def _on_wait_timeout(self, attempt: Attempt) -> None:
        # No link became free in time. This is not a failure of the server; another one may have a free link.
        self.pool.cancel_wait(attempt.server, attempt)
        self.on_link_failed(attempt, api.START_EXPIRED, "no free link")

    @staticmethod
    def _stop_waiting(attempt: Attempt) -> None:
        attempt.is_waiting = False
        if attempt.wait_timer is not None:
            attempt.wait_timer.cancel()

    def _on_timeout(self, attempt: Attempt) -> None:
        # After a stall of the event loop an answer may have arrived but not been read. Timers run before
        # sockets are read, so the time-out waits for another turn of the loop.
        attempt.timer = self.loop.call_later(READ_GRACE_S, self._end_timed_out, attempt)

    def _end_timed_out(self, attempt: Attempt) -> None:
        result = api.CONNECT_FAILED
        if attempt.is_waiting and not self.pool.is_dialling(attempt.server):
            result = api.START_EXPIRED
        elif attempt.link is not None and not attempt.link.has_unsent_data:
            result = api.TIMED_OUT
        self._abandon(attempt)
        self._end(attempt, result)

    def _abandon(self, attempt: Attempt) -> None:
        """Close the link of an attempt, as it cannot be reused. A dial continues, and its link is kept."""
        if attempt.is_waiting:
            self.pool.cancel_wait(attempt.server, attempt)
            self._stop_waiting(attempt)
        if attempt.link is not None:
            attempt.link.abandon()

    def _end(self, attempt: Attempt, result: str, reply: Reply | None = None) -> None:
        if attempt.is_done:
            return
        attempt.is_done, attempt.result, attempt.took_s = True, result, time.monotonic() - attempt.sent_at
        attempt.link = None
        attempt.payload, attempt.body = b"", None  # copies of what the request has
        if attempt.timer is not None:
            attempt.timer.cancel()
        # A body of which nothing was sent is still complete and can be sent to another server.
        if attempt.upload is not None and attempt.may_have_sent:
            attempt.upload.close()
        self._owner.on_ended(attempt, result, reply)

    # --- Events of links ----------------------------------------------------------------------------------

    def on_sent(self, attempt: Attempt) -> None:
        """Called when the last byte of an attempt was written. The server's latency is measured from here."""
        attempt.is_sent = True
        if attempt.upload is not None and not attempt.is_streaming:
            attempt.sent_at = time.monotonic()
        self._owner.on_sent(attempt)

    def on_stream_started(
        self, link: Link, attempt: Attempt, reply: Reply, length: int | None
    ) -> Stream | None:
        """Called when a streamed answer begins; from now on no time-out ends the attempt."""
        stream = self._owner.on_stream_started(attempt, reply, length, link)
        if stream is not None:
            attempt.is_streaming = True
            if attempt.timer is not None:  # None while the body is still being received
                attempt.timer.cancel()
        return stream

    def may_repeat(self, attempt: Attempt) -> bool:
        """Whether another server could get the request if this answer broke off, by the decision module."""
        return attempt.upload is None and self._owner.may_repeat(attempt)

    def on_reply(self, attempt: Attempt, reply: Reply) -> None:
        """Called with a complete answer, which ends the attempt."""
        self._end(attempt, _result_of(reply), reply)

    def on_link_lost(self, attempt: Attempt, is_unsent: bool, cause: str) -> None:
        """Called when the link was lost. The request cannot have run unless its last byte was written."""
        attempt.cause = cause
        self._end(attempt, api.CONNECT_FAILED if is_unsent else api.RESET)


def _result_of(reply: Reply) -> str:
    if reply.status == 200:
        return api.OK
    if reply.status in (503, 504) and reply.headers.get(b"x-not-run") == b"1":
        return api.FULL
    return api.ERROR
