"""Attempts: each sent over a link of the pool, each with its one outcome."""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import Protocol

from yewstage import interface as api
from yewstage.net.http1 import Dial, Reply, Upload
from yewstage.net.pool import ABANDONED, Link, Pool, Source, Stream
from yewstage.net.stats import Use

GRACE_S = 0.002  # a turn of the loop or two, in which what has arrived is read before a time-out counts


class Owner(Protocol):
    """Who is told what becomes of attempts."""

    def sent(self, attempt: Attempt) -> None:
        """Its last byte was written."""

    def started(self, attempt: Attempt, reply: Reply, length: int | None, source: Source) -> Stream | None:
        """A long answer has begun; None if nobody is there to read it."""

    def ended(self, attempt: Attempt, result: str, reply: Reply | None) -> None:
        """Its one end."""


class Attempt:
    """One Send until its one outcome."""

    __slots__ = ("request", "number", "server", "payload", "sent_at", "link", "dial", "timer",
                 "done", "idle_s", "result", "took_s", "cause", "upload", "timeout_s",
                 "begun_at")

    def __init__(self, request: str, number: int, server: str, payload: bytes, sent_at: float,
                 upload: Upload | None = None) -> None:
        self.request, self.number, self.server = request, number, server
        self.payload, self.sent_at, self.upload = payload, sent_at, upload
        self.timeout_s = 0.0
        self.begun_at: float | None = None  # when its answer's head had come
        self.link: Link | None = None
        self.dial: Dial | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.done = False
        # For the log: how long its link had stood idle (None: a new one), and how it ended.
        self.idle_s: float | None = None
        self.result, self.took_s, self.cause = "out", 0.0, ""

    def __str__(self) -> str:
        line = "new connection" if self.idle_s is None else f"idle for {self.idle_s * 1000:.0f} ms"
        cause = f": {self.cause}" if self.cause else ""
        return f"{self.server} {self.result} in {self.took_s * 1000:.0f} ms ({line}{cause})"


class Hosts:
    """Sends attempts and reports how each one ended, exactly once."""

    def __init__(self, loop: asyncio.AbstractEventLoop, most: int, dial_ms: float, idle_ms: float,
                 owner: Owner, use: Use | None = None) -> None:
        self.loop, self._owner = loop, owner
        self.pool = Pool(loop, most, dial_ms, idle_ms, self, use)

    def send(self, attempt: Attempt, timeout_s: float) -> None:
        """Write an attempt to an idle link, or to a new one."""
        if not self.pool.knows(attempt.server):
            self._end(attempt, api.CONNECT_FAILED)
            return
        attempt.timeout_s = timeout_s
        if attempt.upload is None:
            attempt.timer = self.loop.call_later(timeout_s, self._overdue, attempt)
        link = self.pool.take(attempt.server)
        if link is not None:
            attempt.idle_s = self.loop.time() - link.idle_since
            self._begin(attempt, link)
            return
        attempt.dial = self.pool.dial(attempt.server, partial(self._dialled, attempt))
        if attempt.dial is None:  # an attempt beyond the bound was never sent, which says nothing of its host
            attempt.cause = "no room"
            self._end(attempt, api.MOOT)

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up by ending its link."""
        if not attempt.done:
            self._abandon(attempt)
            self._end(attempt, api.CANCELLED)

    def _begin(self, attempt: Attempt, link: Link) -> None:
        attempt.link = link
        link.begin(attempt)

    def _dialled(self, attempt: Attempt, link: Link | None, cause: str) -> None:
        attempt.dial, attempt.cause = None, cause
        if link is None:
            self._end(attempt, api.CONNECT_FAILED)
        elif attempt.done or link.transport.is_closing():
            link.drop(ABANDONED)
        else:
            self._begin(attempt, link)

    def _overdue(self, attempt: Attempt) -> None:
        # Guards against our own stall: the answer may be here and unread. Timers run before sockets are read,
        # so the time-out itself waits for one more turn of the loop.
        attempt.timer = self.loop.call_later(GRACE_S, self._time_out, attempt)

    def _time_out(self, attempt: Attempt) -> None:
        sent = attempt.link is not None and not attempt.link.unsent
        self._abandon(attempt)
        self._end(attempt, api.TIMED_OUT if sent else api.CONNECT_FAILED)

    @staticmethod
    def _abandon(attempt: Attempt) -> None:
        """End the link of an attempt: it is never used again."""
        if attempt.dial is not None:
            attempt.dial.cancel()
        if attempt.link is not None:
            attempt.link.job = None
            attempt.link.drop(ABANDONED)

    def _end(self, attempt: Attempt, result: str, reply: Reply | None = None) -> None:
        if attempt.done:
            return
        attempt.done, attempt.result, attempt.took_s = True, result, time.monotonic() - attempt.sent_at
        attempt.link = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        if attempt.upload is not None:
            attempt.upload.detach()
        self._owner.ended(attempt, result, reply)

    # From links

    def sent(self, attempt: Attempt) -> None:
        """The last byte of an attempt has left; a long body's time runs from here."""
        if attempt.upload is not None:
            attempt.sent_at = time.monotonic()
            attempt.timer = self.loop.call_later(attempt.timeout_s, self._overdue, attempt)
        self._owner.sent(attempt)

    def streams(self, link: Link, attempt: Attempt, reply: Reply, length: int | None) -> Stream | None:
        """A long answer has begun: from here on the client owns the attempt, no time-out ends it."""
        stream = self._owner.started(attempt, reply, length, link)
        if stream is not None:
            attempt.timer.cancel()
        return stream

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
