"""Links to servers: dialled, used for one request at a time, kept while good, closed for a reason."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections.abc import Callable, Collection, Mapping
from types import MappingProxyType
from typing import Protocol

from yewstage import interface as api
from yewstage.net.budget import MemoryBudget
from yewstage.net.http1 import (
    GIVEN_UP,
    LONGEST_BODY,
    NO_DESCRIPTOR,
    TOO_LATE,
    ConnectAttempt,
    Reply,
    ReplyProtocol,
    Upload,
    limit_socket_buffer,
)
from yewstage.net.stats import DescriptorUse

IDLE_SHARES = 0.5, 0.8  # idle links are retired between these parts of the server's idle limit
SWEEP_S = 1.0
DIALS = 64  # dials under way at once
HOLD_S = 0.1  # how long an answer of unknown length is held: it may end yet, and be whole
STALL_S = 5.0  # a long body of which nothing moves for so long is not going to
# What dials come to, and why links are closed, as the figures name them.
UP, FAILED, TIMED_OUT, NO_FILES, UNWANTED = "up", "failed", "timed_out", "no_descriptor", "given_up"
RETIRED, NO_ROOM, UNLISTED, OUTLIVED = "idle_limit", "no_room", "server_gone", "server_restarted"
DRAINED, UNUSABLE, ABANDONED, SILENT = "server_drains", "not_reusable", "given_up", "server_silent"
DIED_IDLE, BROKE, STALLED, STOPPED = "died_idle", "broke", "stalled", "stopped"
DIAL_RESULTS = (UP, FAILED, TIMED_OUT, NO_FILES, UNWANTED)
CLOSE_REASONS = (
    RETIRED,
    NO_ROOM,
    UNLISTED,
    OUTLIVED,
    DRAINED,
    UNUSABLE,
    ABANDONED,
    SILENT,
    DIED_IDLE,
    BROKE,
    STALLED,
    STOPPED,
)
NONE: Mapping[str, float] = MappingProxyType({})


class Stream(Protocol):
    """Who reads a long answer while it comes."""

    def more(self, data: bytes) -> None:
        """A part of its body."""


class Source(Protocol):
    """Where a long answer comes from."""

    def pause(self, held: bool) -> None:
        """Stop reading, or go on."""


class Exchange(Protocol):
    """What a link carries: one request and its answer."""

    payload: bytes
    upload: Upload | None
    begun_at: float | None


class Ends(Protocol):
    """Who is told what becomes of the jobs on links."""

    def sent(self, job: Exchange) -> None:
        """Its last byte was written."""

    def streams(self, link: Link, job: Exchange, reply: Reply, length: int | None) -> Stream | None:
        """A long answer has begun; None if nobody reads it."""

    def may_repeat(self, job: Exchange) -> bool:
        """Whether another server could have it if this answer broke."""

    def replied(self, job: Exchange, reply: Reply) -> None:
        """Its whole answer has come."""

    def broke(self, job: Exchange, unsent: bool, cause: str) -> None:
        """Its link is gone, before its last byte was written or after."""


class Waiter(Protocol):
    """Who wants a link."""

    kind: str  # waiters of different kinds take turns

    def connection_ready(self, link: Link) -> None:
        """Here it is."""

    def connection_failed(self, result: str, cause: str) -> None:
        """There is none to be had: the server could not be reached, or there was no room."""


class WaiterQueue:
    """Waiters for one server: in the order in which they came, the kinds by turns."""

    def __init__(self) -> None:
        self._lines: dict[str, dict[Waiter, None]] = {}  # the kind whose turn is next comes first
        self.count = 0

    def add(self, waiter: Waiter) -> None:
        """At the end of its kind's line."""
        self.count += 1
        self._lines.setdefault(waiter.kind, {})[waiter] = None

    def discard(self, waiter: Waiter) -> bool:
        """Take one out wherever it stands; False if it does not wait here."""
        line = self._lines.get(waiter.kind, {})
        if waiter not in line:
            return False
        del line[waiter]
        self.count -= 1
        if not line:
            del self._lines[waiter.kind]
        return True

    def next(self) -> Waiter | None:
        """Take out the one whose turn it is."""
        if not self._lines:
            return None
        kind, line = next(iter(self._lines.items()))
        waiter = next(iter(line))
        self.discard(waiter)
        if kind in self._lines:  # the other kinds come first now
            self._lines[kind] = self._lines.pop(kind)
        return waiter

    def oldest(self) -> Waiter | None:
        """Take out the one whose kind has the longest line."""
        if not self._lines:
            return None
        waiter = next(iter(max(self._lines.values(), key=len)))
        self.discard(waiter)
        return waiter


class _Server:
    """One life of one server at one address."""

    __slots__ = ("name", "address", "born_ms", "idle", "links", "long", "dialling", "lines", "leaving")

    def __init__(self, name: str, address: tuple[str, int], born_ms: float) -> None:
        self.name, self.address, self.born_ms = name, address, born_ms
        self.idle: list[Link] = []  # the freshest last
        self.links: set[Link] = set()
        self.long: set[Link] = set()  # those that carry a long body, at its client's pace
        self.dialling = 0
        self.lines = WaiterQueue()
        self.leaving = False  # it drains: what it holds goes on, nothing is kept for later


class Pool:
    """All links of this gateway.

    Who wants a link gets the freshest idle one. If there is none a dial begins, as long as the server's bound
    and our descriptors allow; whoever is first in line gets the link that comes up or is given back first. A
    dial belongs to nobody: a link that comes up when nobody waits any more is kept.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        most: int,
        dial_ms: float,
        idle_ms: float,
        ends: Ends,
        use: DescriptorUse | None = None,
        bound: Callable[[str], int] | None = None,
        clock_ms: Callable[[], float] = lambda: time.time() * 1000,
        rng: random.Random | None = None,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.loop, self.ends, self.clock_ms = loop, ends, clock_ms
        self.budget = budget or MemoryBudget(2**30, loop.time)
        self._use, self._rng = use or DescriptorUse(), rng or random.Random()
        self._bound = bound or (lambda name: most)  # links to one server, dials included
        self._most = most
        self._servers: dict[str, _Server] = {}
        self._links: set[Link] = set()
        self._thirsty: dict[_Server, None] = {}  # servers for which more wait than are dialled, in turn
        self._dials: set[ConnectAttempt] = set()
        self._stopped = False
        self.reuses = self.waits = 0
        self.dialled = dict.fromkeys(DIAL_RESULTS, 0)
        self.closed_by = dict.fromkeys(CLOSE_REASONS, 0)
        self.tune(dial_ms, idle_ms)

    def start(self) -> None:
        """Begin to retire idle links."""
        self.loop.call_later(SWEEP_S, self._sweep)

    def stop(self) -> None:
        """Close all links, end all dials."""
        self._stopped = True
        for dial in list(self._dials):
            dial.cancel()
        for link in list(self._links):
            link.abort(STOPPED)

    def tune(self, dial_ms: float, idle_ms: float) -> None:
        """Go by other limits from now on."""
        self._dial_s, self._idle_s = dial_ms / 1000, idle_ms / 1000

    def limit(self, most: int) -> None:
        """Hold so many links at the most, of all servers together; idle ones beyond that go at once."""
        self._most = most
        while len(self._links) + len(self._dials) > most and self._give_way():
            pass
        self._go_on()

    def wait_s(self) -> float:
        """How long a link is worth waiting for: as long as a dial may take."""
        return self._dial_s

    def update(
        self,
        addresses: dict[str, tuple[str, int]],
        gone: set[str],
        born_ms: Mapping[str, float] = NONE,
        leaving: Collection[str] = (),
    ) -> None:
        """Where to dial each server, since when it runs, which drain, and which to dial no more."""
        for name in gone:
            server = self._servers.pop(name, None)
            if server is not None:
                self._leave(server)
                self._turn_away(server, "server gone")
        for name, address in addresses.items():
            old, born = self._servers.get(name), born_ms.get(name, 0.0)
            if old is None or old.address != address or born > old.born_ms:
                self._servers[name] = _Server(name, address, born)
                if old is not None:
                    self._move(old, self._servers[name])
            self._servers[name].leaving = name in leaving
            if name in leaving:
                self._close_idle(self._servers[name], DRAINED)

    def names(self) -> set[str]:
        """The servers that can be dialled."""
        return set(self._servers)

    def metrics(self) -> dict[str, float]:
        """What operators read of links and dials."""
        idle = sum(len(server.idle) for server in self._servers.values())
        return {
            "links_open": len(self._links),
            "links_idle": idle,
            "links_dialling": len(self._dials),
            "links_awaited": sum(server.lines.count for server in self._servers.values()),
            "link_reuses_total": self.reuses,
            "link_waits_total": self.waits,
            **{f'dials_total{{result="{result}"}}': n for result, n in self.dialled.items()},
            **{f'links_closed_total{{reason="{reason}"}}': n for reason, n in self.closed_by.items()},
        }

    def dials(self) -> int:
        """Dials that have ended."""
        return sum(self.dialled.values())

    def acquire(self, name: str, waiter: Waiter) -> None:
        """Get a link to a server: at once, or when one is up or free."""
        server = self._servers.get(name)
        if server is None:
            waiter.connection_failed(api.CONNECT_FAILED, "not listed")
            return
        link = self._freshest(server)
        if link is not None:
            self.reuses += 1
            waiter.connection_ready(link)
            return
        server.lines.add(waiter)
        if not self._grow(server):
            self.waits += 1
            self._thirsty[server] = None

    def forget(self, name: str, waiter: Waiter) -> bool:
        """Wait no longer. What is being dialled goes on: its link is kept. False if it was not waiting."""
        server = self._servers.get(name)
        return server is not None and server.lines.discard(waiter)

    def reaching(self, name: str) -> bool:
        """Whether a dial to a server is under way."""
        server = self._servers.get(name)
        return server is not None and server.dialling > 0

    def _freshest(self, server: _Server) -> Link | None:
        now = self.loop.time()
        while server.idle:
            link = server.idle.pop()
            if link.transport.is_closing():
                continue
            if now < link.retires_at:
                return link
            link.abort(RETIRED)  # danger: its server may be closing it at this moment
        return None

    def _grow(self, server: _Server) -> bool:
        """Dial for whoever waits, if anybody does for whom no dial is under way, and there is room."""
        if server.lines.count <= server.dialling or self._stopped:
            return False
        if len(server.links) - len(server.long) + server.dialling >= max(1, self._bound(server.name)):
            return False
        if len(self._dials) >= DIALS or not self._room():  # guards the descriptors
            return False
        server.dialling += 1
        dial = ConnectAttempt(
            self.loop,
            lambda: Link(self, server),
            server.address,
            self._dial_s,
            self._use,
            lambda link, cause: self._dialled(server, dial, link, cause),
        )
        self._dials.add(dial)
        return True

    def _dialled(self, server: _Server, dial: ConnectAttempt, link: Link | None, cause: str) -> None:
        server.dialling -= 1
        self._dials.discard(dial)
        result = (
            UP
            if link is not None
            else {TOO_LATE: TIMED_OUT, GIVEN_UP: UNWANTED, NO_DESCRIPTOR: NO_FILES}.get(cause, FAILED)
        )
        self.dialled[result] += 1
        if link is not None:
            self._offer(link)
            return
        if result == TIMED_OUT:
            # Danger: a machine that is cut off leaves its links open and silent: a request would find out.
            self._close_idle(server, SILENT)
        if self._servers.get(server.name) is server and server.lines.count > server.dialling:
            waiter = server.lines.oldest()
            waiter.connection_failed(api.START_EXPIRED if result == NO_FILES else api.CONNECT_FAILED, cause)
        self._go_on()

    def _offer(self, link: Link) -> None:
        """A link is free: for who is first in line, else for later."""
        server = link.server
        if self._stopped:
            link.abort(STOPPED)
        elif self._servers.get(server.name) is not server:
            link.abort(UNLISTED)
        elif len(self._links) + len(self._dials) > self._most:
            link.abort(NO_ROOM)
        else:
            waiter = server.lines.next()
            if waiter is not None:
                waiter.connection_ready(link)
            elif server.leaving:
                link.abort(DRAINED)
            else:
                link.idle_since = self.loop.time()
                link.retires_at = link.idle_since + self._idle_s * link.share
                server.idle.append(link)
        if server.lines.count > server.dialling:
            self._thirsty[server] = None  # the link that was on its way could not be had
        if self._thirsty:
            self._go_on()

    def _go_on(self) -> None:
        """Dial for those who wait, as far as there is room now; the servers by turns."""
        for server in list(self._thirsty):
            grown = self._grow(server)
            if grown or server.lines.count <= server.dialling:
                del self._thirsty[server]
            if server.lines.count > server.dialling:
                self._thirsty[server] = None  # at the end: the others come first

    def _room(self) -> bool:
        return len(self._links) + len(self._dials) < self._most or self._give_way()

    def _give_way(self) -> bool:
        """Close the link that has stood idle longest."""
        idle = [server for server in self._servers.values() if server.idle]
        if idle:
            min(idle, key=lambda server: server.idle[0].idle_since).idle.pop(0).abort(NO_ROOM)
        return bool(idle)

    def _leave(self, server: _Server) -> None:
        """A server's entry is replaced or gone: nothing new goes over its links."""
        self._close_idle(server, UNLISTED)
        self._thirsty.pop(server, None)

    def _move(self, old: _Server, new: _Server) -> None:
        """The same instance elsewhere, or in its next life: what waits goes on there.

        A process that has started since a link was opened does not know of it: what is out on such a link is
        lost, and is better told now than by its time-out.
        """
        self._leave(old)
        for link in [link for link in old.links if link.opened_ms < new.born_ms]:
            link.abort(OUTLIVED)
        while (waiter := old.lines.next()) is not None:
            self.acquire(new.name, waiter)

    def _turn_away(self, server: _Server, cause: str) -> None:
        while (waiter := server.lines.next()) is not None:
            waiter.connection_failed(api.CONNECT_FAILED, cause)

    # From links

    def opened(self, link: Link) -> None:
        """A link is up."""
        link.opened_ms = self.clock_ms()
        # Danger: links that went idle together, over a whole fleet, would be dialled anew together.
        link.share = self._rng.uniform(*IDLE_SHARES)
        self._links.add(link)
        link.server.links.add(link)

    def lengthy(self, link: Link) -> None:
        """A link carries a long body: that is no work of its server's, so another link may take its place."""
        link.server.long.add(link)
        self._go_on()

    def dropped(self, link: Link) -> None:
        """A link has no place here any more; its loss is told in a moment."""
        self._links.discard(link)
        link.server.links.discard(link)
        link.server.long.discard(link)

    def closed(self, link: Link) -> None:
        """A link is gone."""
        self.dropped(link)
        if link in link.server.idle:
            link.server.idle.remove(link)
        job, link.job = link.job, None
        self.closed_by[link.why or (DIED_IDLE if job is None else BROKE)] += 1
        if job is not None:
            self.ends.broke(job, link.has_unsent_data, link.close_cause)
        if self._thirsty:
            self._go_on()

    def release(self, link: Link, reusable: bool) -> None:
        """A link has done its job: it is the next one's, if it is clean."""
        link.server.long.discard(link)
        if reusable and not link.has_unsent_data:
            self._offer(link)
        else:
            link.abort(UNUSABLE)

    def _close_idle(self, server: _Server, why: str) -> None:
        idle, server.idle = server.idle, []
        for link in idle:
            link.abort(why)

    def _sweep(self) -> None:
        # Guards against writing to a link that the server is about to close: that ends as a reset, after
        # which the request may have run.
        if self._stopped:
            return
        now = self.loop.time()
        for server in self._servers.values():
            for link in [link for link in server.idle if link.retires_at <= now]:
                server.idle.remove(link)
                link.abort(RETIRED)
        for link in list(self._links):
            link.check(now)
        self.loop.call_later(SWEEP_S, self._sweep)


class Link(ReplyProtocol):
    """One connection to a server; carries one job at a time."""

    def __init__(self, pool: Pool, server: _Server) -> None:
        super().__init__()
        self._pool, self.server = pool, server
        self.job: Exchange | None = None
        self.idle_since = self.retires_at = 0.0
        self.share = 0.0  # of the server's idle limit, after which we retire it
        self.opened_ms = 0.0  # by the clock that all machines share
        self._kept = pool.budget.open_account("answers")  # what has come of an answer that is kept whole
        self._answer: tuple[Exchange, Reply, bool] | None = None
        self._stream: Stream | None = None  # who reads the answer that is coming
        self._held = False  # by a client that reads slowly
        self._hold_timer: asyncio.TimerHandle | None = None
        self._moved, self._moved_at = (0, 0), 0.0  # of a long body: what has moved, and when that was seen
        self._read = 0
        self.why = ""  # we closed it; empty: its server did, or the way there

    def abort(self, why: str = "") -> None:
        """End the link at once."""
        self.why = self.why or why
        self._pool.dropped(self)
        super().abort()

    def begin(self, job: Exchange) -> None:
        """Write a job's request."""
        self.job = job
        self._moved_at = self._pool.loop.time()
        if job.upload is not None:
            self.has_unsent_data = True
            self._pool.lengthy(self)
            job.upload.attach(self, job.payload)
            return
        self.write(job.payload)
        job.payload = b""  # held by the transport, as far as it is not gone
        if not self.has_unsent_data:
            self._pool.ends.sent(job)

    def flushed(self) -> None:
        """Tell once when the last byte of a request has left."""
        job = self.job
        if not self.has_unsent_data or job is None or self.transport.get_write_buffer_size():
            return
        if job.upload is None or job.upload.is_complete:
            self.has_unsent_data = False
            self._pool.ends.sent(job)

    def resume_writing(self) -> None:
        self.flushed()
        if self.job is not None and self.job.upload is not None:
            self.job.upload.drained()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._pool.opened(self)

    def data_received(self, data: bytes) -> None:
        if self.job is None:
            self.abort(UNUSABLE)  # nobody asked: it would be taken for the next request's answer
            return
        self._read += 1
        super().data_received(data)
        if self._in_body and self._hold_timer is None and self._stream is None and self._length() is None:
            # To hold it back helps only where another server could have the request if this one broke.
            hold_s = HOLD_S if self.job is not None and self._pool.ends.may_repeat(self.job) else 0.0
            self._hold_timer = self._pool.loop.call_later(hold_s, self._held_enough)
        self._hand_on()
        self._kept.set(0 if self._stream is not None else self._size)

    def _hand_on(self) -> None:
        """Hand an answer on once all that came with it is read.

        The module may use the link again at once: what came behind the answer would be taken for the
        next request's answer.
        """
        if self._answer is not None:
            (job, reply, reusable), self._answer = self._answer, None
            clean = not self.begun and not self.transport.is_closing()
            self._pool.release(self, reusable and clean)
            self._pool.ends.replied(job, reply)

    def replied(self, reply: Reply, reusable: bool) -> None:
        job, self.job = self.job, None
        self._stream = None
        self._stop_holding()
        if job is None:
            self.abort(UNUSABLE)  # a second answer to one request
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
            self.abort(UNUSABLE)
            return
        if status != 200:
            self._complete(reusable=False)
            return
        body, self._body = b"".join(self._body), []
        limit_socket_buffer(self.transport, socket.SO_RCVBUF)
        self._pool.lengthy(self)
        reply = Reply(status, self._headers, b"")
        self._stream = self._pool.ends.streams(self, self.job, reply, self._length())
        if self._stream is None:
            self.abort(ABANDONED)  # its client is gone
        elif body:
            self._stream.more(body)

    def pause(self, held: bool) -> None:
        """Stop reading while the client cannot take more."""
        if held == self._held:
            return
        self._held = held
        self._moved_at = self._pool.loop.time()
        (self.transport.pause_reading if held else self.transport.resume_reading)()

    def _stop_holding(self) -> None:
        self.pause(False)
        if self._hold_timer is not None:
            self._hold_timer.cancel()
            self._hold_timer = None

    def check(self, now: float) -> None:
        """End a long body that no longer moves: its server or the way to it is gone."""
        loading = self.has_unsent_data and self.job is not None and self.job.upload is not None
        if self._held or not (loading or self._stream is not None):
            return
        moved = (self._read, self.transport.get_write_buffer_size())
        if moved != self._moved or (loading and not moved[1]):
            self._moved, self._moved_at = moved, now
        elif now - self._moved_at > STALL_S:
            self.close_cause = "nothing moves"
            self.abort(STALLED)

    def eof_received(self) -> None:
        super().eof_received()
        self._hand_on()

    def lost(self) -> None:
        self._stop_holding()
        self._kept.end()
        self._pool.closed(self)
