"""Attempts: each sent over a link of the pool, each with its one outcome."""

from __future__ import annotations

import asyncio
import math
import time
from typing import Protocol

from yewstage import interface as api
from yewstage.net.http1 import Reply, Upload
from yewstage.net.pool import ABANDONED, Link, Pool, Source, Stream
from yewstage.net.stats import DescriptorUse

GRACE_S = 0.002  # a turn of the loop or two, in which what has arrived is read before a time-out counts


class Owner(Protocol):
    """Who is told what becomes of attempts."""

    def wanted(self, attempt: Attempt) -> bool:
        """Whether it may begin: somebody waits for its answer."""

    def sent(self, attempt: Attempt) -> None:
        """Its last byte was written."""

    def started(self, attempt: Attempt, reply: Reply, length: int | None, source: Source) -> Stream | None:
        """A long answer has begun; None if nobody is there to read it."""

    def may_repeat(self, attempt: Attempt) -> bool:
        """Whether the request could be sent again if its answer broke."""

    def ended(self, attempt: Attempt, result: str, reply: Reply | None) -> None:
        """Its one end."""


class Attempt:
    """One Send until its one outcome."""

    __slots__ = (
        "request",
        "number",
        "server",
        "payload",
        "sent_at",
        "link",
        "timer",
        "wait_timer",
        "done",
        "idle_s",
        "result",
        "took_s",
        "cause",
        "upload",
        "timeout_s",
        "begun_at",
        "kind",
        "attempt_runner",
        "waiting",
        "touched",
        "streams",
        "start_by",
        "asked_at",
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
        kind: str = "",
        body: bytes | None = None,
    ) -> None:
        self.request, self.number, self.server, self.kind = request, number, server, kind
        # Where there is a body, `payload` lacks the time that is left: it is told when it is written.
        self.payload, self.body, self.sent_at, self.upload = payload, body, sent_at, upload
        self.timeout_s, self.asked_at = 0.0, 0.0
        self.start_by = math.inf  # not begun by then, it does not begin
        self.begun_at: float | None = None  # when its answer's head had come
        self.attempt_runner: AttemptRunner | None = None
        self.link: Link | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.wait_timer: asyncio.TimerHandle | None = None
        self.waiting = self.touched = False  # for a link; something of it may have left
        self.done = self.streams = False  # its answer is on its way to the client
        # For the log: how long its link had stood idle (None: a new one), and how it ended.
        self.idle_s: float | None = None
        self.result, self.took_s, self.cause = "out", 0.0, ""

    def fields(self) -> dict[str, object]:
        """For the log: `idle_ms` None is a new connection."""
        return {
            "server": self.server,
            "result": self.result,
            "took_ms": round(self.took_s * 1000, 3),
            "idle_ms": None if self.idle_s is None else round(self.idle_s * 1000, 3),
            "cause": self.cause,
        }

    def __str__(self) -> str:
        line = "new connection" if self.idle_s is None else f"idle for {self.idle_s * 1000:.0f} ms"
        cause = f": {self.cause}" if self.cause else ""
        return f"{self.server} {self.result} in {self.took_s * 1000:.0f} ms ({line}{cause})"

    def connection_ready(self, link: Link) -> None:
        """There is a link for it."""
        self.attempt_runner.linked(self, link)

    def tell_time(self, now: float) -> None:
        """Complete the head: how long this attempt will be waited for yet, 1 ms at the least."""
        if self.body is not None:
            waited_s = 0.0 if self.upload is not None else now - self.asked_at  # a long body's starts later
            left_ms = max((self.timeout_s - waited_s) * 1000, 1)
            self.payload = b"%bX-Deadline: %dm\r\n\r\n%b" % (self.payload, left_ms, self.body)
            self.body = None

    def connection_failed(self, result: str, cause: str) -> None:
        """There will be none."""
        self.attempt_runner.unlinked(self, result, cause)


class AttemptRunner:
    """Sends attempts and reports how each one ended, exactly once."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        most: int,
        dial_ms: float,
        idle_ms: float,
        owner: Owner,
        use: DescriptorUse | None = None,
        **how: object,
    ) -> None:
        self.loop, self._owner = loop, owner
        self.pool = Pool(loop, most, dial_ms, idle_ms, self, use, **how)

    def send(self, attempt: Attempt, timeout_s: float, start_s: float = math.inf) -> None:
        """Write an attempt to an idle link, or to the first that is up or free; past `start_s` to none."""
        attempt.attempt_runner, attempt.timeout_s, attempt.waiting = self, timeout_s, True
        attempt.asked_at = self.loop.time()
        attempt.start_by = attempt.asked_at + start_s
        if attempt.upload is None:
            attempt.timer = self.loop.call_later(timeout_s, self._overdue, attempt)
        self.pool.acquire(attempt.server, attempt)
        if attempt.waiting:
            wait_s = min(self.pool.wait_s(), timeout_s) + 2 * GRACE_S  # a dial of its own ends before that
            attempt.wait_timer = self.loop.call_later(min(wait_s, start_s), self._waited_enough, attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up by ending its link."""
        if not attempt.done:
            self._abandon(attempt)
            self._end(attempt, api.CANCELLED)

    def linked(self, attempt: Attempt, link: Link) -> None:
        """Its link is there: write it."""
        now = self.loop.time()
        if now > attempt.start_by or not self._owner.wanted(attempt):
            self.pool.release(link, reusable=True)
            self.unlinked(attempt, api.START_EXPIRED, "too late to begin")
            return
        self._stop_waiting(attempt)
        attempt.link, attempt.touched = link, True
        attempt.idle_s = now - link.idle_since if link.idle_since else None
        attempt.tell_time(now)
        link.begin(attempt)

    def unlinked(self, attempt: Attempt, result: str, cause: str) -> None:
        """It has no link and gets none."""
        self._stop_waiting(attempt)
        attempt.cause = cause
        self._end(attempt, result)

    def _waited_enough(self, attempt: Attempt) -> None:
        # Never sent for want of a free link, which says nothing of its host: another may have one.
        self.pool.forget(attempt.server, attempt)
        self.unlinked(attempt, api.START_EXPIRED, "no free link")

    @staticmethod
    def _stop_waiting(attempt: Attempt) -> None:
        attempt.waiting = False
        if attempt.wait_timer is not None:
            attempt.wait_timer.cancel()

    def _overdue(self, attempt: Attempt) -> None:
        # Guards against our own stall: the answer may be here and unread. Timers run before sockets are read,
        # so the time-out itself waits for one more turn of the loop.
        attempt.timer = self.loop.call_later(GRACE_S, self._time_out, attempt)

    def _time_out(self, attempt: Attempt) -> None:
        result = api.CONNECT_FAILED
        if attempt.waiting and not self.pool.reaching(attempt.server):
            result = api.START_EXPIRED
        elif attempt.link is not None and not attempt.link.has_unsent_data:
            result = api.TIMED_OUT
        self._abandon(attempt)
        self._end(attempt, result)

    def _abandon(self, attempt: Attempt) -> None:
        """End the link of an attempt: it is never used again. A dial goes on, and its link is kept."""
        if attempt.waiting:
            self.pool.forget(attempt.server, attempt)
            self._stop_waiting(attempt)
        if attempt.link is not None:
            attempt.link.job = None
            attempt.link.abort(ABANDONED)

    def _end(self, attempt: Attempt, result: str, reply: Reply | None = None) -> None:
        if attempt.done:
            return
        attempt.done, attempt.result, attempt.took_s = True, result, time.monotonic() - attempt.sent_at
        attempt.link = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        if attempt.upload is not None and attempt.touched:  # else it is whole, and another host may have it
            attempt.upload.detach()
        self._owner.ended(attempt, result, reply)

    # From links

    def sent(self, attempt: Attempt) -> None:
        """The last byte of an attempt has left; a long body's time runs from here."""
        if attempt.upload is not None and not attempt.streams:
            attempt.sent_at = time.monotonic()
            attempt.timer = self.loop.call_later(attempt.timeout_s, self._overdue, attempt)
        self._owner.sent(attempt)

    def streams(self, link: Link, attempt: Attempt, reply: Reply, length: int | None) -> Stream | None:
        """A long answer has begun: from here on the client owns the attempt, no time-out ends it."""
        stream = self._owner.started(attempt, reply, length, link)
        if stream is not None:
            attempt.streams = True
            if attempt.timer is not None:  # else its body is still on its way
                attempt.timer.cancel()
        return stream

    def may_repeat(self, attempt: Attempt) -> bool:
        """Whether another host could have it if this one's answer broke: the module's word."""
        return attempt.upload is None and self._owner.may_repeat(attempt)

    def replied(self, attempt: Attempt, reply: Reply) -> None:
        """A whole answer: the attempt is over."""
        self._end(attempt, _result(reply), reply)

    def broke(self, attempt: Attempt, unsent: bool, cause: str) -> None:
        """Its link is gone: an attempt never ran unless its last byte was written."""
        attempt.cause = cause
        self._end(attempt, api.CONNECT_FAILED if unsent else api.RESET)


def _result(reply: Reply) -> str:
    if reply.status == 200:
        return api.OK
    if reply.status in (503, 504) and reply.headers.get(b"x-not-run") == b"1":
        return api.FULL
    return api.ERROR
