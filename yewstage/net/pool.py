"""Connection pool for servers.

A link is dialled on demand and is kept idle for the next request while it is reusable.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Collection, Mapping
from types import MappingProxyType

from yewstage import interface as api
from yewstage.net.budget import MemoryBudget
from yewstage.net.http1 import (
    CONNECT_CANCELLED,
    CONNECT_TIMED_OUT,
    NO_DESCRIPTOR_AVAILABLE,
    ConnectAttempt,
)
from yewstage.net.link import (
    BROKE,
    CHECK_INTERVAL_S,
    CLOSE_REASONS,
    DIED_IDLE,
    IDLE_LIMIT,
    NO_ROOM,
    NOT_REUSABLE,
    SERVER_DRAINS,
    SERVER_GONE,
    SERVER_RESTARTED,
    SERVER_SILENT,
    STOPPED,
    ExchangeObserver,
    Link,
)
from yewstage.net.stats import DescriptorUse
from yewstage.net.turns import TurnQueue
from yewstage.net.waiters import Waiter, WaiterQueue

# An idle link is closed after a random part, in this range, of the server's idle limit.
IDLE_LIMIT_SHARES = 0.5, 0.8
SWEEP_INTERVAL_S = CHECK_INTERVAL_S
MAX_CONCURRENT_DIALS = 64
# Results of dials, as labels of the metrics.
UP, FAILED, TIMED_OUT, DIAL_NO_DESCRIPTOR, CANCELLED = (
    "up",
    "failed",
    "timed_out",
    "no_descriptor",
    "given_up",
)
DIAL_RESULTS = (UP, FAILED, TIMED_OUT, DIAL_NO_DESCRIPTOR, CANCELLED)
NO_START_TIMES: Mapping[str, float] = MappingProxyType({})


class PooledServer:
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
        self._servers: dict[str, PooledServer] = {}
        self._links: set[Link] = set()
        self._underserved: dict[PooledServer, None] = {}  # servers with more waiters than dials, in turn
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
                self._servers[name] = PooledServer(name, address, started)
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

    def _take_idle(self, server: PooledServer) -> Link | None:
        now = self.loop.time()
        while server.idle:
            link = server.idle.pop()
            if link.transport.is_closing():
                continue
            if now < link.close_idle_at:
                return link
            link.abort(IDLE_LIMIT)  # the server may be closing it at this moment
        return None

    def _dial_if_needed(self, server: PooledServer) -> bool:
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

    def _dialled(self, server: PooledServer, dial: ConnectAttempt, link: Link | None, cause: str) -> None:
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

    def _retire_server(self, server: PooledServer) -> None:
        """Close the idle links of a replaced or removed server. Links in use finish their request."""
        self._close_idle(server, SERVER_GONE)
        self._underserved.pop(server, None)

    def _replace_server(self, old: PooledServer, new: PooledServer) -> None:
        """Move the waiters of a server to its new address or its restarted process.

        A process does not know of links that were opened before it started. Requests on them are lost, and
        fail at once rather than by their time-out.
        """
        self._retire_server(old)
        for link in [link for link in old.links if link.opened_at_ms < new.started_ms]:
            link.abort(SERVER_RESTARTED)
        while (waiter := old.waiters.pop()) is not None:
            self.acquire(new.name, waiter)

    def _fail_waiters(self, server: PooledServer, cause: str) -> None:
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

    def _close_idle(self, server: PooledServer, reason: str) -> None:
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
