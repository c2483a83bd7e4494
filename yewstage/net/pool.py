"""Connection pool for servers.

A link is a connection to a server. It is dialled on demand, carries one request at a time, and is kept idle
for the next one while it is reusable. Every close has a reason, by which the metrics count it.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections.abc import Callable, Collection, Mapping
from types import MappingProxyType
from typing import Protocol

from yewstage import interface as api
from yewstage.net.budget import MemoryAccount, MemoryBudget
from yewstage.net.http1 import (
    CONNECT_CANCELLED,
    CONNECT_TIMED_OUT,
    MAX_BUFFERED_BODY_BYTES,
    NO_DESCRIPTOR_AVAILABLE,
    ConnectAttempt,
    Reply,
    ReplyProtocol,
    limit_socket_buffer,
)
from yewstage.net.receive_buffer import CHUNKED_READ_BYTES
from yewstage.net.socket_state import discard_on_close, undelivered_bytes
from yewstage.net.stats import DescriptorUse
from yewstage.net.turns import TurnQueue
from yewstage.net.upload import Upload

# An idle link is closed after a random part, in this range, of the server's idle limit.
IDLE_LIMIT_SHARES = 0.5, 0.8
SWEEP_INTERVAL_S = 1.0
MAX_CONCURRENT_DIALS = 64
# How long an answer of unknown length is buffered: it may end in this time, and a retry is possible until a
# part of it was passed on.
UNKNOWN_LENGTH_HOLD_S = 0.1
# A streamed answer outlives an outage of the network. The system sends again at doubling intervals, so that a
# connection goes on after at most as long again as the outage took.
LONGEST_OUTAGE_S = 6.0
ANSWER_STALL_S = 2 * LONGEST_OUTAGE_S + 2 * SWEEP_INTERVAL_S  # without progress for so long it is given up
# So is a body that its server does not take, and an answer without a length that is short so far: their
# clients wait for an end in their time.
SHORT_STALL_S = 5.0
# Results of dials and reasons of closes, as labels of the metrics.
UP, FAILED, TIMED_OUT, DIAL_NO_DESCRIPTOR, CANCELLED = (
    "up",
    "failed",
    "timed_out",
    "no_descriptor",
    "given_up",
)
IDLE_LIMIT, NO_ROOM, SERVER_GONE, SERVER_RESTARTED = (
    "idle_limit",
    "no_room",
    "server_gone",
    "server_restarted",
)
SERVER_DRAINS, NOT_REUSABLE, ABANDONED, SERVER_SILENT = (
    "server_drains",
    "not_reusable",
    "given_up",
    "server_silent",
)
DIED_IDLE, BROKE, STALLED, STOPPED = "died_idle", "broke", "stalled", "stopped"
NO_MEMORY = "no_memory"
DIAL_RESULTS = (UP, FAILED, TIMED_OUT, DIAL_NO_DESCRIPTOR, CANCELLED)
CLOSE_REASONS = (
    IDLE_LIMIT,
    NO_ROOM,
    SERVER_GONE,
    SERVER_RESTARTED,
    SERVER_DRAINS,
    NOT_REUSABLE,
    ABANDONED,
    SERVER_SILENT,
    DIED_IDLE,
    BROKE,
    STALLED,
    STOPPED,
    NO_MEMORY,
)
# Headers of answers that the gateway reads or passes on; their connection's own are the parser's.
ANSWER_HEADERS = frozenset(
    (b"content-length", b"transfer-encoding", b"content-type", b"x-load", b"billed-units", b"x-not-run")
)
NO_START_TIMES: Mapping[str, float] = MappingProxyType({})


class Stream(Protocol):
    """Reader of a streamed answer."""

    def write_body(self, data: bytes) -> None:
        """Called with each part of the body."""


class Source(Protocol):
    """Sender of a streamed answer."""

    def pause(self, paused: bool) -> None:
        """Stop reading from the server if `paused`, else resume."""


class Exchange(Protocol):
    """One request and its answer, as a link carries them."""

    payload: bytes
    upload: Upload | None
    head_received_at: float | None


class ExchangeObserver(Protocol):
    """Receives the events of exchanges."""

    def on_sent(self, exchange: Exchange) -> None:
        """Called when the last byte of the request was written."""

    def on_stream_started(
        self, link: Link, exchange: Exchange, reply: Reply, length: int | None
    ) -> Stream | None:
        """Called when a streamed answer begins. Returns its reader; None if nobody reads it."""

    def may_repeat(self, exchange: Exchange) -> bool:
        """Whether the request could be retried at another server if this answer broke off."""

    def on_reply(self, exchange: Exchange, reply: Reply) -> None:
        """Called with the complete answer."""

    def on_link_lost(self, exchange: Exchange, is_unsent: bool, cause: str) -> None:
        """Called when the link was lost; `is_unsent` if the last byte of the request was not written."""


class Waiter(Protocol):
    """Waits for a link."""

    class_name: str  # waiters of different classes take turns

    def connection_ready(self, link: Link) -> None:
        """Called with a link, which now belongs to the waiter."""

    def connection_failed(self, result: str, cause: str) -> None:
        """Called when the server could not be reached, or no descriptor was left."""


class WaiterQueue:
    """Waiters for links to one server: first in, first out within a class, the classes in turn."""

    __slots__ = ("_queues", "count")

    def __init__(self) -> None:
        self._queues: dict[str, dict[Waiter, None]] = {}  # by class; the class whose turn is next comes first
        self.count = 0

    def add(self, waiter: Waiter) -> None:
        """Append a waiter to the queue of its class."""
        self.count += 1
        self._queues.setdefault(waiter.class_name, {})[waiter] = None

    def discard(self, waiter: Waiter) -> bool:
        """Remove a waiter; False if it is not queued here."""
        queue = self._queues.get(waiter.class_name, {})
        if waiter not in queue:
            return False
        del queue[waiter]
        self.count -= 1
        if not queue:
            del self._queues[waiter.class_name]
        return True

    def pop(self) -> Waiter | None:
        """Remove and return the next waiter; None if there is none."""
        if not self._queues:
            return None
        class_name, queue = next(iter(self._queues.items()))
        waiter = next(iter(queue))
        self.discard(waiter)
        if class_name in self._queues:  # move the class behind the others
            self._queues[class_name] = self._queues.pop(class_name)
        return waiter

    def pop_of_longest(self) -> Waiter | None:
        """Remove and return the first waiter of the class with the longest queue; None if there is none."""
        if not self._queues:
            return None
        waiter = next(iter(max(self._queues.values(), key=len)))
        self.discard(waiter)
        return waiter


class _Server:
    """One process of a server at one address. A restart or an address change creates a new one."""

    __slots__ = (
        "name",
        "address",
        "started_ms",
        "idle",
        "links",
        "streaming",
        "dialling",
        "waiters",
        "is_draining",
    )

    def __init__(self, name: str, address: tuple[str, int], started_ms: float) -> None:
        self.name, self.address, self.started_ms = name, address, started_ms
        self.idle: list[Link] = []  # the most recently used last
        # Dictionaries, as empty sets of thousands of servers take much more.
        self.links: dict[Link, None] = {}
        self.streaming: dict[Link, None] = {}  # links that carry a streamed body at the client's pace
        self.dialling = 0
        self.waiters = WaiterQueue()
        self.is_draining = False  # links in use continue, none is kept idle


class Pool:
    """All connections of this gateway to servers.

    `acquire` hands out the most recently used idle link. If there is none it dials, as far as the server's
    limit and the descriptors allow; the first waiter gets the link that is connected or released first.
    Dials are not tied to a waiter: a link that is connected when nobody waits any more is kept idle.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        max_links: int,
        dial_timeout_ms: float,
        idle_limit_ms: float,
        observer: ExchangeObserver,
        descriptor_use: DescriptorUse | None = None,
        max_links_to: Callable[[str], int] | None = None,
        clock_ms: Callable[[], float] = lambda: time.time() * 1000,
        rng: random.Random | None = None,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.loop, self.observer, self.clock_ms = loop, observer, clock_ms
        self.budget = budget or MemoryBudget(2**30, loop.time)
        self.turns = TurnQueue(loop.call_soon)  # of links that have more to read
        self._descriptor_use, self._rng = descriptor_use or DescriptorUse(), rng or random.Random()
        # Limit on links and dials of one server.
        self._max_links_to = max_links_to or (lambda name: max_links)
        self._max_links = max_links
        self._servers: dict[str, _Server] = {}
        self._links: set[Link] = set()
        self._underserved: dict[_Server, None] = {}  # servers with more waiters than dials, in turn
        self._dials: set[ConnectAttempt] = set()
        self._stopped = False
        self.reuses = self.waits = 0
        self.dial_counts = dict.fromkeys(DIAL_RESULTS, 0)
        self.close_counts = dict.fromkeys(CLOSE_REASONS, 0)
        self.set_timeouts(dial_timeout_ms, idle_limit_ms)

    def start(self) -> None:
        """Start the periodic check of idle and stalled links."""
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def stop(self) -> None:
        """Close all links and cancel all dials."""
        self._stopped = True
        for dial in list(self._dials):
            dial.cancel()
        for link in list(self._links):
            link.abort(STOPPED)

    def set_timeouts(self, dial_timeout_ms: float, idle_limit_ms: float) -> None:
        """Set the time-out of dials and the idle limit of servers, in milliseconds, for links from now on."""
        self._dial_timeout_s, self._idle_limit_s = dial_timeout_ms / 1000, idle_limit_ms / 1000

    def set_max_links(self, max_links: int) -> None:
        """Set the limit on links and dials of all servers; idle links beyond it are closed at once."""
        self._max_links = max_links
        while len(self._links) + len(self._dials) > max_links and self._evict_idle():
            pass
        self._dial_for_waiters()

    def max_wait_s(self) -> float:
        """Longest useful wait for a link, in seconds: the time-out of a dial."""
        return self._dial_timeout_s

    def update_servers(
        self,
        addresses: dict[str, tuple[str, int]],
        removed: set[str],
        started_ms: Mapping[str, float] = NO_START_TIMES,
        draining: Collection[str] = (),
    ) -> None:
        """Apply changes of the list of servers.

        `addresses` and `started_ms` (Unix time) are by server name. Links that are older than their server's
        process are closed. Waiters of `removed` servers fail.
        """
        for name in removed:
            server = self._servers.pop(name, None)
            if server is not None:
                self._retire_server(server)
                self._fail_waiters(server, "server removed from the list")
        for name, address in addresses.items():
            old, started = self._servers.get(name), started_ms.get(name, 0.0)
            if old is None or old.address != address or started > old.started_ms:
                self._servers[name] = _Server(name, address, started)
                if old is not None:
                    self._replace_server(old, self._servers[name])
            self._servers[name].is_draining = name in draining
            if name in draining:
                self._close_idle(self._servers[name], SERVER_DRAINS)

    def server_names(self) -> set[str]:
        """Names of the servers that can be dialled."""
        return set(self._servers)

    def server_count(self) -> int:
        """Number of servers that can be dialled."""
        return len(self._servers)

    def metrics(self) -> dict[str, float]:
        """Metrics of links and dials by name."""
        idle = sum(len(server.idle) for server in self._servers.values())
        return {
            "links_open": len(self._links),
            "links_idle": idle,
            "links_dialling": len(self._dials),
            "links_awaited": sum(server.waiters.count for server in self._servers.values()),
            "link_reuses_total": self.reuses,
            "link_waits_total": self.waits,
            **{f'dials_total{{result="{result}"}}': n for result, n in self.dial_counts.items()},
            **{f'links_closed_total{{reason="{reason}"}}': n for reason, n in self.close_counts.items()},
        }

    def dial_count(self) -> int:
        """Number of dials that have ended."""
        return sum(self.dial_counts.values())

    def acquire(self, name: str, waiter: Waiter) -> None:
        """Call the waiter with a link to a server, at once or when one is connected or released."""
        server = self._servers.get(name)
        if server is None:
            waiter.connection_failed(api.CONNECT_FAILED, "server not in the list")
            return
        link = self._take_idle(server)
        if link is not None:
            self.reuses += 1
            waiter.connection_ready(link)
            return
        server.waiters.add(waiter)
        if not self._dial_if_needed(server):
            self.waits += 1
            self._underserved[server] = None

    def cancel_wait(self, name: str, waiter: Waiter) -> bool:
        """Remove a waiter; False if it did not wait. Dials continue, and their links are kept."""
        server = self._servers.get(name)
        return server is not None and server.waiters.discard(waiter)

    def is_dialling(self, name: str) -> bool:
        """Whether a dial to a server is in progress."""
        server = self._servers.get(name)
        return server is not None and server.dialling > 0

    def _take_idle(self, server: _Server) -> Link | None:
        now = self.loop.time()
        while server.idle:
            link = server.idle.pop()
            if link.transport.is_closing():
                continue
            if now < link.close_idle_at:
                return link
            link.abort(IDLE_LIMIT)  # the server may be closing it at this moment
        return None

    def _dial_if_needed(self, server: _Server) -> bool:
        """Dial if there are more waiters than dials and the limits allow it; returns whether it did."""
        if server.waiters.count <= server.dialling or self._stopped:
            return False
        if len(server.links) - len(server.streaming) + server.dialling >= max(
            1, self._max_links_to(server.name)
        ):
            return False
        if len(self._dials) >= MAX_CONCURRENT_DIALS or not self._has_room():  # limits the use of descriptors
            return False
        server.dialling += 1
        dial = ConnectAttempt(
            self.loop,
            lambda: Link(self, server),
            server.address,
            self._dial_timeout_s,
            self._descriptor_use,
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
            else {
                CONNECT_TIMED_OUT: TIMED_OUT,
                CONNECT_CANCELLED: CANCELLED,
                NO_DESCRIPTOR_AVAILABLE: DIAL_NO_DESCRIPTOR,
            }.get(cause, FAILED)
        )
        self.dial_counts[result] += 1
        if link is not None:
            self._hand_out(link)
            return
        if result == TIMED_OUT:
            # The idle links to an unreachable machine stay open but silent. A request would time out on each.
            self._close_idle(server, SERVER_SILENT)
        if self._servers.get(server.name) is server and server.waiters.count > server.dialling:
            waiter = server.waiters.pop_of_longest()
            waiter.connection_failed(
                api.START_EXPIRED if result == DIAL_NO_DESCRIPTOR else api.CONNECT_FAILED, cause
            )
        self._dial_for_waiters()

    def _hand_out(self, link: Link) -> None:
        """Pass a free link to the next waiter, or keep it idle, or close it if it must not be kept."""
        server = link.server
        if self._stopped:
            link.abort(STOPPED)
        elif self._servers.get(server.name) is not server:
            link.abort(SERVER_GONE)
        elif len(self._links) + len(self._dials) > self._max_links:
            link.abort(NO_ROOM)
        else:
            waiter = server.waiters.pop()
            if waiter is not None:
                waiter.connection_ready(link)
            elif server.is_draining:
                link.abort(SERVER_DRAINS)
            else:
                link.idle_since = self.loop.time()
                link.close_idle_at = link.idle_since + self._idle_limit_s * link.idle_share
                server.idle.append(link)
        if server.waiters.count > server.dialling:
            self._underserved[server] = None  # a dial failed or its link was closed, so another may be needed
        if self._underserved:
            self._dial_for_waiters()

    def _dial_for_waiters(self) -> None:
        """Start dials for waiters as far as the limits allow, the servers in turn."""
        for server in list(self._underserved):
            has_dialled = self._dial_if_needed(server)
            if has_dialled or server.waiters.count <= server.dialling:
                del self._underserved[server]
            if server.waiters.count > server.dialling:
                self._underserved[server] = None  # moved to the end, behind the other servers

    def _has_room(self) -> bool:
        return len(self._links) + len(self._dials) < self._max_links or self._evict_idle()

    def _evict_idle(self) -> bool:
        """Close the link that has been idle longest; returns whether there was one."""
        idle = [server for server in self._servers.values() if server.idle]
        if idle:
            min(idle, key=lambda server: server.idle[0].idle_since).idle.pop(0).abort(NO_ROOM)
        return bool(idle)

    def _retire_server(self, server: _Server) -> None:
        """Close the idle links of a replaced or removed server. Links in use finish their request."""
        self._close_idle(server, SERVER_GONE)
        self._underserved.pop(server, None)

    def _replace_server(self, old: _Server, new: _Server) -> None:
        """Move the waiters of a server to its new address or its restarted process.

        A process does not know of links that were opened before it started. Requests on them are lost, and
        fail at once rather than by their time-out.
        """
        self._retire_server(old)
        for link in [link for link in old.links if link.opened_at_ms < new.started_ms]:
            link.abort(SERVER_RESTARTED)
        while (waiter := old.waiters.pop()) is not None:
            self.acquire(new.name, waiter)

    def _fail_waiters(self, server: _Server, cause: str) -> None:
        while (waiter := server.waiters.pop()) is not None:
            waiter.connection_failed(api.CONNECT_FAILED, cause)

    # --- Events of links ----------------------------------------------------------------------------------

    def on_opened(self, link: Link) -> None:
        """Called when a link is connected."""
        link.opened_at_ms = self.clock_ms()
        link.local_port = (link.transport.get_extra_info("sockname") or ("", 0))[1]
        # Random, as links that became idle together in a whole fleet would otherwise be redialled together.
        link.idle_share = self._rng.uniform(*IDLE_LIMIT_SHARES)
        self._links.add(link)
        link.server.links[link] = None

    def mark_streaming(self, link: Link) -> None:
        """Exclude a link with a streamed body from its server's limit, as it is no work for the server."""
        link.server.streaming[link] = None
        self._dial_for_waiters()

    def remove(self, link: Link) -> None:
        """Stop counting a link that is about to close; `on_closed` follows."""
        self._links.discard(link)
        link.server.links.pop(link, None)
        link.server.streaming.pop(link, None)

    def on_closed(self, link: Link) -> None:
        """Called when a link is closed."""
        self.remove(link)
        if link in link.server.idle:
            link.server.idle.remove(link)
        exchange, link.exchange = link.exchange, None
        self.close_counts[link.close_reason or (DIED_IDLE if exchange is None else BROKE)] += 1
        if exchange is not None:
            self.observer.on_link_lost(exchange, link.has_unsent_data, link.close_cause)
        if self._underserved:
            self._dial_for_waiters()

    def release(self, link: Link, reusable: bool) -> None:
        """Return a link to the pool. It is closed unless it is reusable and everything was written."""
        link.server.streaming.pop(link, None)
        if reusable and not link.has_unsent_data:
            self._hand_out(link)
        else:
            link.abort(NOT_REUSABLE)

    def _close_idle(self, server: _Server, reason: str) -> None:
        idle, server.idle = server.idle, []
        for link in idle:
            link.abort(reason)

    def _sweep(self) -> None:
        # Idle links are closed before their server closes them: a request written at that moment would be
        # reset, and it would be unknown whether it ran.
        if self._stopped:
            return
        now = self.loop.time()
        for server in self._servers.values():
            for link in [link for link in server.idle if link.close_idle_at <= now]:
                server.idle.remove(link)
                link.abort(IDLE_LIMIT)
        for link in list(self._links):
            link.check_progress(now)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)


class Link(ReplyProtocol):
    """One connection to a server, which carries one exchange at a time."""

    kept_headers = ANSWER_HEADERS

    def __init__(self, pool: Pool, server: _Server) -> None:
        super().__init__()
        self._pool, self.server = pool, server
        self.exchange: Exchange | None = None
        self.idle_since = self.close_idle_at = 0.0
        self.idle_share = 0.0  # part of the server's idle limit after which the idle link is closed
        self.opened_at_ms = 0.0  # Unix time in milliseconds
        self.local_port = 0  # for the log
        self._memory_account = pool.budget.open_account("answers")  # of the answer that is being buffered
        self._unwritten_account: MemoryAccount | None = None  # of a request that was not written at once
        self._pending_reply: tuple[Exchange, Reply, bool] | None = None
        self._stream: Stream | None = None  # reader of the answer, if it is streamed
        self._unpassed: list[bytes] = []  # parts of the streamed body in the present read
        self._streamed_bytes = 0  # of the streamed body
        self._is_paused = False  # because the client reads slowly
        self._is_waiting_for_turn = False
        self._is_reading = True  # as the transport was told last
        self._max_read_bytes = 0  # of the latest read
        self._hold_timer: asyncio.TimerHandle | None = None
        # Of a streamed body: reads and bytes that the server has not acknowledged, and when either changed.
        self._progress, self._progress_at = (0, 0), 0.0
        self._read_count = 0
        self.close_reason = ""  # why the gateway closed the link; empty if the server or the network did

    def abort(self, reason: str = "") -> None:
        """Close the link at once, for one of CLOSE_REASONS."""
        self.close_reason = self.close_reason or reason
        self._pool.remove(self)
        super().abort()

    def abandon(self) -> None:
        """Close the link of an exchange that nobody wants any more.

        The system would go on sending what it holds of a long body, and the request would begin after all, so
        this is discarded.
        """
        exchange, self.exchange = self.exchange, None
        if exchange is not None and exchange.upload is not None:
            discard_on_close(self.transport)
        self.abort(ABANDONED)

    def begin(self, exchange: Exchange) -> None:
        """Write the request of an exchange."""
        self.exchange = exchange
        self._progress_at = self._pool.loop.time()
        if exchange.upload is not None:
            self.has_unsent_data = True
            self._pool.mark_streaming(self)
            exchange.upload.attach(self, exchange.payload)
            return
        payload, exchange.payload = exchange.payload, b""  # the transport holds it until it is written
        self.write(payload)
        if not self.has_unsent_data:
            self._pool.observer.on_sent(exchange)
            return
        if self._unwritten_account is None:
            self._unwritten_account = self._pool.budget.open_account("requests")
        self._unwritten_account.set(len(payload))

    def flushed(self) -> None:
        """Report once when the last byte of a request was written."""
        exchange = self.exchange
        if not self.has_unsent_data or exchange is None or self.transport.get_write_buffer_size():
            return
        if exchange.upload is None or exchange.upload.is_written:
            self.has_unsent_data = False
            self._release_unwritten()
            self._pool.observer.on_sent(exchange)

    def _release_unwritten(self) -> None:
        """Count nothing of the request any more, as all of it is written or discarded."""
        if self._unwritten_account is not None:
            self._unwritten_account.set(0)

    def resume_writing(self) -> None:
        self.flushed()
        if self.exchange is not None and self.exchange.upload is not None:
            self.exchange.upload.drained()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._pool.on_opened(self)

    def max_read_bytes(self) -> int:
        self._max_read_bytes = self._pool.budget.read_bytes()
        if b"transfer-encoding" in self._headers:
            self._max_read_bytes = min(self._max_read_bytes, CHUNKED_READ_BYTES)
        return self._max_read_bytes

    def data_received(self, data: bytes) -> None:
        """Parse what was read, and pass it on at once if the answer is streamed."""
        if self.exchange is None:
            self.abort(NOT_REUSABLE)  # unsolicited data would be taken for the answer to the next request
            return
        self._read_count += 1
        super().data_received(data)
        self._pass_on()
        if (
            self._in_body
            and self._hold_timer is None
            and self._stream is None
            and self._body_length() is None
        ):
            # Buffering only helps where the request could be retried if this answer broke off.
            hold_s = (
                UNKNOWN_LENGTH_HOLD_S
                if self.exchange is not None and self._pool.observer.may_repeat(self.exchange)
                else 0.0
            )
            self._hold_timer = self._pool.loop.call_later(hold_s, self._on_hold_timeout)
        self._deliver_reply()
        self._update_memory()
        if len(data) == self._max_read_bytes and not self._is_waiting_for_turn:
            self._is_waiting_for_turn = True
            self._pool.turns.add(self)
            self._update_reading()

    def _update_memory(self) -> None:
        """Account for what is held of the answer.

        Without room for it a body is streamed, and a head or a trailer is given up.
        Of a streamed body in very short chunks most is framing, which the parser does not keep.
        """
        if self._stream is not None:
            held_bytes = self._parser_input.bytes
        else:
            held_bytes = self.held_bytes() if self.has_begun else 0
        if held_bytes == self._memory_account.bytes:
            return
        is_framing = self._stream is not None and self._parser_input.has_passed_on
        more_bytes = held_bytes - self._memory_account.bytes
        if more_bytes <= 0 or is_framing or self._pool.budget.admits(held_bytes, more_bytes):
            self._memory_account.set(held_bytes)
            return
        self._pool.budget.refused_count += 1
        if self._in_body and self._stream is None:
            self._begin_stream()
            self._deliver_reply()
        else:
            self.close_cause = "no memory for its head or trailer"
            self.abort(NO_MEMORY)

    def take_turn(self) -> None:
        """Read on after all other connections had the chance to."""
        self._is_waiting_for_turn = False
        self._update_reading()

    def _update_reading(self) -> None:
        should_read = not self._is_paused and not self._is_waiting_for_turn
        if should_read != self._is_reading and not self.transport.is_closing():
            self._is_reading = should_read
            (self.transport.resume_reading if should_read else self.transport.pause_reading)()

    def _deliver_reply(self) -> None:
        """Deliver a complete answer after all data that was read together with it is parsed.

        The link may be reused at once, and data that follows the answer would then be taken for the answer to
        the next request.
        """
        if self._pending_reply is not None:
            (exchange, reply, reusable), self._pending_reply = self._pending_reply, None
            is_clean = not self.has_begun and not self.transport.is_closing()
            self._pool.release(self, reusable and is_clean)
            self._pool.observer.on_reply(exchange, reply)

    def replied(self, reply: Reply, reusable: bool) -> None:
        exchange, self.exchange = self.exchange, None
        self._pass_on()
        self._stream = None
        self._cancel_hold()
        if exchange is None:
            self.abort(NOT_REUSABLE)  # a second answer to one request
        else:
            self._pending_reply = (exchange, reply, reusable)

    # --- Streamed answers ---------------------------------------------------------------------------------

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        if self.exchange is not None and self._parser.get_status_code() >= 200:
            self.exchange.head_received_at = time.monotonic()
        if (self._body_length() or 0) > MAX_BUFFERED_BODY_BYTES:
            self._begin_stream()

    def on_body(self, data: bytes) -> None:
        if (
            self._stream is None
            and self._pending_reply is None
            and self._size + len(data) > MAX_BUFFERED_BODY_BYTES
        ):
            self._begin_stream()
        if self._stream is not None:
            self._parser_input.pass_on(len(data))
            self._unpassed.append(data)
        elif self._pending_reply is None:  # otherwise the result is known already
            super().on_body(data)

    def _pass_on(self) -> None:
        """Write the parts of the present read as one, as each by itself takes much more than its bytes."""
        if self._unpassed:
            data, self._unpassed = b"".join(self._unpassed), []
            self._streamed_bytes += len(data)
            self._stream.write_body(data)

    def _body_length(self) -> int | None:
        length = self._headers.get(b"content-length")
        return int(length) if length is not None else None

    def _on_hold_timeout(self) -> None:
        self._hold_timer = None
        if self._in_body and self._stream is None:
            self._begin_stream()
            self._deliver_reply()

    def _begin_stream(self) -> None:
        """Stream an answer of status 200; any other one is complete with its head."""
        status = self._parser.get_status_code()
        if self.exchange is None or status < 200:
            self.abort(NOT_REUSABLE)
            return
        if status != 200:
            self._complete(reusable=False)
            return
        body, self._body = bytes(self._body), bytearray()
        self._streamed_bytes = 0
        limit_socket_buffer(self.transport, socket.SO_RCVBUF)
        self._pool.mark_streaming(self)
        reply = Reply(status, self._headers, b"")
        self._stream = self._pool.observer.on_stream_started(self, self.exchange, reply, self._body_length())
        if self._stream is None:
            self.abort(ABANDONED)  # the client has disconnected
        elif body:
            self._streamed_bytes = len(body)
            self._stream.write_body(body)
        self._memory_account.set(0)  # what was held here is the reader's now

    def pause(self, paused: bool) -> None:
        """Stop reading while the client's buffer is full, or resume."""
        if paused == self._is_paused:
            return
        self._is_paused = paused
        self._progress_at = self._pool.loop.time()
        self._update_reading()

    def _cancel_hold(self) -> None:
        self.pause(False)
        if self._hold_timer is not None:
            self._hold_timer.cancel()
            self._hold_timer = None

    def _is_long_answer(self) -> bool:
        """Whether an answer is streamed that is known to be long."""
        is_long = self._body_length() is not None or self._streamed_bytes > MAX_BUFFERED_BODY_BYTES
        return self._stream is not None and is_long

    def check_progress(self, now: float) -> None:
        """Close the link if its streamed body stalled, as its server is gone or unreachable."""
        is_uploading = self.has_unsent_data and self.exchange is not None and self.exchange.upload is not None
        if self._is_paused or not (is_uploading or self._stream is not None):
            return
        limit_s = ANSWER_STALL_S if self._is_long_answer() else SHORT_STALL_S
        unwritten_bytes = self.transport.get_write_buffer_size()
        progress = (self._read_count, undelivered_bytes(self.transport))
        if progress != self._progress or (is_uploading and not unwritten_bytes):
            self._progress, self._progress_at = progress, now
        elif now - self._progress_at > limit_s:
            self.close_cause = "streamed body stalled"
            self.abort(STALLED)

    def eof_received(self) -> None:
        super().eof_received()
        self._deliver_reply()

    def lost(self) -> None:
        self._cancel_hold()
        self._memory_account.end()
        self._release_unwritten()
        self._pool.on_closed(self)
