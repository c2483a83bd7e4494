"""Links to servers: dialled, used for one request at a time, kept while good, closed for a reason."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from functools import partial
from typing import Protocol

from yewstage.net.http1 import GIVEN_UP, LONGEST_BODY, TOO_LATE, Dial, Reply, ReplyProtocol, Upload, narrow
from yewstage.net.stats import Use

IDLE_SHARE = 0.5  # idle links are retired after this part of the server's idle limit
SWEEP_S = 1.0
DIALS = 64  # dials under way at once
HOLD_S = 0.1  # how long an answer of unknown length is held: it may end yet, and be whole
STALL_S = 5.0  # a long body of which nothing moves for so long is not going to
# What dials come to, and why links are closed, as the figures name them.
UP, REFUSED, TIMED_OUT, UNWANTED = "up", "failed", "timed_out", "given_up"
RETIRED, NO_ROOM, UNLISTED, UNUSABLE = "idle_limit", "no_room", "server_gone", "not_reusable"
ABANDONED, DIED_IDLE, BROKE, STALLED, STOPPED = "given_up", "died_idle", "broke", "stalled", "stopped"
DIAL_RESULTS = (UP, REFUSED, TIMED_OUT, UNWANTED)
CLOSE_REASONS = (RETIRED, NO_ROOM, UNLISTED, UNUSABLE, ABANDONED, DIED_IDLE, BROKE, STALLED, STOPPED)


class Stream(Protocol):
    """Who reads a long answer while it comes."""

    def more(self, data: bytes) -> None:
        """A part of its body."""


class Source(Protocol):
    """Where a long answer comes from."""

    def hold(self, held: bool) -> None:
        """Stop reading, or go on."""


class Job(Protocol):
    """What a link carries: one request and its answer."""

    payload: bytes
    upload: Upload | None
    begun_at: float | None


class Ends(Protocol):
    """Who is told what becomes of the jobs on links."""

    def sent(self, job: Job) -> None:
        """Its last byte was written."""

    def streams(self, link: Link, job: Job, reply: Reply, length: int | None) -> Stream | None:
        """A long answer has begun; None if nobody reads it."""

    def replied(self, job: Job, reply: Reply) -> None:
        """Its whole answer has come."""

    def broke(self, job: Job, unsent: bool, cause: str) -> None:
        """Its link is gone, before its last byte was written or after."""


class _Server:
    __slots__ = ("name", "address", "idle")

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name, self.address = name, address
        self.idle: list[Link] = []  # the freshest last


class Pool:
    """All links of this gateway."""

    def __init__(self, loop: asyncio.AbstractEventLoop, most: int, dial_ms: float, idle_ms: float,
                 ends: Ends, use: Use | None = None) -> None:
        self.loop, self.most, self.ends, self._use = loop, most, ends, use or Use()
        self._dial_s, self._idle_s = dial_ms / 1000, IDLE_SHARE * idle_ms / 1000
        self._servers: dict[str, _Server] = {}
        self._links: set[Link] = set()
        self._dialling = 0
        self._stopped = False
        self.reuses = 0
        self.dialled = dict.fromkeys(DIAL_RESULTS, 0)
        self.closed_by = dict.fromkeys(CLOSE_REASONS, 0)

    def start(self) -> None:
        """Begin to retire idle links."""
        self.loop.call_later(SWEEP_S, self._sweep)

    def stop(self) -> None:
        """Close all links."""
        self._stopped = True
        for link in list(self._links):
            link.drop(STOPPED)

    def update(self, addresses: dict[str, tuple[str, int]], gone: set[str]) -> None:
        """Where to dial each server, and which to dial no more. What is out goes on."""
        for name in gone:
            server = self._servers.pop(name, None)
            if server is not None:
                self._close_idle(server)
        for name, address in addresses.items():
            server = self._servers.get(name)
            if server is None or server.address != address:
                if server is not None:
                    self._close_idle(server)
                self._servers[name] = _Server(name, address)

    def names(self) -> set[str]:
        """The servers that can be dialled."""
        return set(self._servers)

    def figures(self) -> dict[str, float]:
        """What operators read of links and dials."""
        idle = sum(len(server.idle) for server in self._servers.values())
        return {"links_open": len(self._links), "links_idle": idle, "links_dialling": self._dialling,
                "link_reuses_total": self.reuses,
                **{f'dials_total{{result="{result}"}}': n for result, n in self.dialled.items()},
                **{f'links_closed_total{{reason="{reason}"}}': n for reason, n in self.closed_by.items()}}

    def dials(self) -> int:
        """Dials that have ended."""
        return sum(self.dialled.values())

    def knows(self, name: str) -> bool:
        """Whether a server can be dialled."""
        return name in self._servers

    def take(self, name: str) -> Link | None:
        """The freshest idle link to a server, if there is one."""
        server = self._servers[name]
        while server.idle:
            link = server.idle.pop()
            if not link.transport.is_closing():
                self.reuses += 1
                return link
        return None

    def dial(self, name: str, ended: Callable[[Link | None, str], None]) -> Dial | None:
        """Open a link; None if there is no room for one."""
        if self._dialling >= DIALS or not self._room():  # guards the descriptors
            return None
        server = self._servers[name]
        self._dialling += 1
        return Dial(self.loop, lambda: Link(self, server), server.address, self._dial_s, self._use,
                    partial(self._dialled, ended))

    def _dialled(self, ended: Callable[[Link | None, str], None], link: Link | None, cause: str) -> None:
        self._dialling -= 1
        result = UP if link is not None else {TOO_LATE: TIMED_OUT, GIVEN_UP: UNWANTED}.get(cause, REFUSED)
        self.dialled[result] += 1
        if link is not None and self._stopped:
            link.drop(STOPPED)
        ended(link, cause)

    def _room(self) -> bool:
        if len(self._links) + self._dialling < self.most:
            return True
        idle = [server for server in self._servers.values() if server.idle]
        if idle:  # the link that has stood idle longest gives way
            min(idle, key=lambda server: server.idle[0].idle_since).idle.pop(0).drop(NO_ROOM)
        return bool(idle)

    # From links

    def opened(self, link: Link) -> None:
        """A link is up."""
        self._links.add(link)

    def closed(self, link: Link) -> None:
        """A link is gone."""
        self._links.discard(link)
        if link in link.server.idle:
            link.server.idle.remove(link)
        job, link.job = link.job, None
        self.closed_by[link.why or (DIED_IDLE if job is None else BROKE)] += 1
        if job is not None:
            self.ends.broke(job, link.unsent, link.ended_by)

    def free(self, link: Link, reusable: bool) -> None:
        """A link has done its job: it waits for the next one, if it is clean."""
        server = link.server
        if not reusable or link.unsent:
            link.drop(UNUSABLE)
        elif self._servers.get(server.name) is not server:
            link.drop(UNLISTED)
        else:
            link.idle_since = self.loop.time()
            server.idle.append(link)

    def _close_idle(self, server: _Server) -> None:
        idle, server.idle = server.idle, []
        for link in idle:
            link.drop(UNLISTED)

    def _sweep(self) -> None:
        # Guards against writing to a link that the server is about to close: that ends as a reset, after
        # which the request may have run.
        if self._stopped:
            return
        before = self.loop.time() - self._idle_s
        for server in self._servers.values():
            while server.idle and server.idle[0].idle_since < before:
                server.idle.pop(0).drop(RETIRED)
        for link in list(self._links):
            link.check(self.loop.time())
        self.loop.call_later(SWEEP_S, self._sweep)


class Link(ReplyProtocol):
    """One connection to a server; carries one job at a time."""

    def __init__(self, pool: Pool, server: _Server) -> None:
        super().__init__()
        self._pool, self.server = pool, server
        self.job: Job | None = None
        self.idle_since = 0.0
        self._answer: tuple[Job, Reply, bool] | None = None
        self._stream: Stream | None = None  # who reads the answer that is coming
        self._held = False  # by a client that reads slowly
        self._hold_timer: asyncio.TimerHandle | None = None
        self._moved, self._moved_at = (0, 0), 0.0  # of a long body: what has moved, and when that was seen
        self._read = 0
        self.why = ""  # we closed it; empty: its server did, or the way there

    def drop(self, why: str = "") -> None:
        """End the link at once."""
        self.why = self.why or why
        super().drop()

    def begin(self, job: Job) -> None:
        """Write a job's request."""
        self.job = job
        self._moved_at = self._pool.loop.time()
        if job.upload is not None:
            self.unsent = True
            job.upload.attach(self, job.payload)
            return
        self.write(job.payload)
        if not self.unsent:
            self._pool.ends.sent(job)

    def flushed(self) -> None:
        """Tell once when the last byte of a request has left."""
        job = self.job
        if not self.unsent or job is None or self.transport.get_write_buffer_size():
            return
        if job.upload is None or job.upload.whole:
            self.unsent = False
            self._pool.ends.sent(job)

    def resume_writing(self) -> None:
        self.flushed()
        if self.job is not None and self.job.upload is not None:
            self.job.upload.drained()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._pool.opened(self)

    def data_received(self, data: bytes) -> None:
        self._read += 1
        super().data_received(data)
        if self._in_body and self._hold_timer is None and self._stream is None and self._length() is None:
            self._hold_timer = self._pool.loop.call_later(HOLD_S, self._held_enough)
        self._hand_on()

    def _hand_on(self) -> None:
        """Hand an answer on once all that came with it is read.

        The module may use the link again at once: what came behind the answer would be taken for the
        next request's answer.
        """
        if self._answer is not None:
            (job, reply, reusable), self._answer = self._answer, None
            clean = not self.begun and not self.transport.is_closing()
            self._pool.free(self, reusable and clean)
            self._pool.ends.replied(job, reply)

    def replied(self, reply: Reply, reusable: bool) -> None:
        job, self.job = self.job, None
        self._stream = None
        self._stop_holding()
        if job is None:
            self.drop(UNUSABLE)  # an answer that nobody asked for
        else:
            self._answer = (job, reply, reusable)

    # Long answers

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        if self.job is not None and self._parser.get_status_code() >= 200:
            self.job.begun_at = time.monotonic()
        if (self._length() or 0) > LONGEST_BODY:
            self._begin_stream()

    def on_body(self, data: bytes) -> None:
        if self._stream is None and self._answer is None and self._size + len(data) > LONGEST_BODY:
            self._begin_stream()
        if self._stream is not None:
            self._stream.more(data)
        elif self._answer is None:  # else its result is known already
            super().on_body(data)

    def _length(self) -> int | None:
        length = self._headers.get(b"content-length")
        return int(length) if length is not None else None

    def _held_enough(self) -> None:
        self._hold_timer = None
        if self._in_body and self._stream is None:
            self._begin_stream()
            self._hand_on()

    def _begin_stream(self) -> None:
        """Pass a good answer on as it comes; of any other one its head is enough."""
        status = self._parser.get_status_code()
        if self.job is None or status < 200:
            self.drop(UNUSABLE)
            return
        if status != 200:
            self._complete(reusable=False)
            return
        body, self._body = b"".join(self._body), []
        narrow(self.transport, socket.SO_RCVBUF)
        reply = Reply(status, self._headers, b"")
        self._stream = self._pool.ends.streams(self, self.job, reply, self._length())
        if self._stream is None:
            self.drop(ABANDONED)  # its client is gone
        elif body:
            self._stream.more(body)

    def hold(self, held: bool) -> None:
        """Stop reading while the client cannot take more."""
        if held == self._held:
            return
        self._held = held
        self._moved_at = self._pool.loop.time()
        (self.transport.pause_reading if held else self.transport.resume_reading)()

    def _stop_holding(self) -> None:
        self.hold(False)
        if self._hold_timer is not None:
            self._hold_timer.cancel()
            self._hold_timer = None

    def check(self, now: float) -> None:
        """End a long body that no longer moves: its server or the way to it is gone."""
        loading = self.unsent and self.job is not None and self.job.upload is not None
        if self._held or not (loading or self._stream is not None):
            return
        moved = (self._read, self.transport.get_write_buffer_size())
        if moved != self._moved or (loading and not moved[1]):
            self._moved, self._moved_at = moved, now
        elif now - self._moved_at > STALL_S:
            self.ended_by = "nothing moves"
            self.drop(STALLED)

    def eof_received(self) -> None:
        super().eof_received()
        self._hand_on()

    def lost(self) -> None:
        self._stop_holding()
        self._pool.closed(self)
