"""Discovery: a watch on the list of hosts that outlives whatever the agent does."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from yewstage import interface as api
from yewstage.log import Event
from yewstage.net.http1 import LONGEST_LIST, TOO_LATE, ConnectAttempt, Reply, ReplyProtocol
from yewstage.net.stats import DescriptorUse

log = logging.getLogger(__name__)

WAIT_MS = 20000
LOOK_MS = 50  # the first watch of a list that is known: what is new is wanted now
GRACE_S = 0.002  # a turn of the loop or two, in which what has arrived is read before silence counts
BACKOFF_S = 0.1  # for each gateway of the fleet: all may be turned away at one moment
STATES = {"ready": "up", "draining": "draining", "gone": "removed"}


@dataclass(slots=True, frozen=True)
class WatchTimeouts:
    """How long discovery may keep us without word, in seconds."""

    silent_s: float  # how long an answer or a connection may be overdue before it is given up
    first_backoff_s: float  # the longest backoff after a first failure
    backoff_s: float  # and after those that follow


# A change counts as told 6 s after discovery had it and could be reached: `silent_s` and `backoff_s` leave a
# second of that. What a silent watch misses counts as told 2 s after its wait: it is opened anew soon after.
ASKED = WatchTimeouts(silent_s=2.0, first_backoff_s=0.5, backoff_s=3.0)
# An agent on our own machine answers at once and at no cost, and what it has counts as told: both together
# are under the second that the settings leave for the last sends to a server that drains.
PUSHED = WatchTimeouts(silent_s=0.75, first_backoff_s=0.2, backoff_s=0.2)


@dataclass(slots=True, frozen=True)
class Listing:
    """One answer of discovery: hosts by instance id, and where to dial them."""

    generation: int
    is_full: bool
    servers: tuple[api.Server, ...]
    addresses: dict[str, tuple[str, int]]


def parse_listing(raw: object) -> Listing:
    """Discovery's JSON as a `Listing`; ValueError where it is not one."""
    if not isinstance(raw, dict) or not isinstance(raw.get("instances"), list):
        raise ValueError("is no list of instances")
    generation = raw.get("generation")
    if not isinstance(generation, int) or isinstance(generation, bool):
        raise ValueError(f"generation {generation!r} is not a whole number")
    servers, addresses = [], {}
    for entry in raw["instances"]:
        server, address = _instance(entry)
        servers.append(server)
        if address is not None:
            addresses[server.name] = address
    return Listing(generation, bool(raw.get("reset")), tuple(servers), addresses)


def _instance(entry: object) -> tuple[api.Server, tuple[str, int] | None]:
    if not isinstance(entry, dict) or not isinstance(entry.get("instanceId"), str) or not entry["instanceId"]:
        raise ValueError("an instance without instanceId")
    name = entry["instanceId"]
    # Guards against a state that a later discovery may add: what is not known to be ready gets no new work.
    lifecycle = entry.get("lifecycle")
    status = STATES.get(lifecycle, "draining") if isinstance(lifecycle, str) else "draining"
    host, _, port = str(entry.get("hostPort", "")).rpartition(":")
    if status != "removed" and not (host and port.isascii() and port.isdigit() and int(port) < 65536):
        raise ValueError(f"{name}: hostPort {entry.get('hostPort')!r} is not HOST:PORT")
    try:
        # The module's clock is Unix time in milliseconds, so startedAtMs needs no more than reading.
        server = api.Server(
            name,
            str(entry.get("zone", "")),
            int(entry.get("cell", 0)),
            status,
            float(entry.get("weight", 1.0)),
            float(entry.get("startedAtMs", 0)),
        )
        if not (math.isfinite(server.nominal_capacity) and math.isfinite(server.up_since_ms)):
            raise ValueError
    except (TypeError, ValueError, OverflowError):
        raise ValueError(f"{name}: cell, weight or startedAtMs is not a number") from None
    return server, ((host.strip("[]"), int(port)) if status != "removed" else None)


class Discovery:
    """Keeps one watch going and hands on each answer.

    Guards a service that serves the whole fleet, most of which may start or be turned away at one moment:
    what is known is not asked for again, and all come back at times of their own, spread over what
    `WatchTimeouts` allows.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        told: Callable[[Listing], None],
        known: int | None = None,
        fleet_size: int = 1,
        rng: random.Random | None = None,
        use: DescriptorUse | None = None,
        patience: WatchTimeouts = ASKED,
    ) -> None:
        self._use, self._patience = use or DescriptorUse(), patience
        self._loop, self._address, self._told = loop, address, told
        self._generation = known  # of the list that we have; None: the whole list is wanted
        self._heard = False
        self._fleet_size, self._rng = fleet_size, rng or random.Random()
        self._connection: _Watch | None = None
        self._dial: ConnectAttempt | None = None
        self._timer: asyncio.TimerHandle | None = None  # the end of our patience, or of a backoff
        self._failures = 0
        self._stopped = False

    def start(self) -> None:
        """Ask for what changes in the list that is known, or for the whole list and then for what changes."""
        self._ask()

    def stop(self) -> None:
        """End the watch for good."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._dial is not None:
            self._dial.cancel()
        if self._connection is not None:
            self._connection.abort()

    def move(self, address: tuple[str, int]) -> None:
        """Watch at another address from now on, beginning with the whole list; what is known stays."""
        self._address, self._generation, self._failures = address, None, 0
        if self._timer is not None:
            self._timer.cancel()
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
        if self._dial is not None:
            self._dial.cancel()  # its callback asks again
        else:
            self._ask()

    def _ask(self) -> None:
        if self._stopped:
            return
        if self._connection is not None:
            self._write(self._connection)
            return
        self._dial = ConnectAttempt(
            self._loop, lambda: _Watch(self), self._address, self._patience.silent_s, self._use, self._dialled
        )

    def _dialled(self, connection: _Watch | None, cause: str) -> None:
        self._dial = None
        if connection is None:
            if cause == TOO_LATE:
                log.warning(
                    Event(
                        "discovery_unreachable",
                        "discovery: cannot be reached, asking again; the list is kept",
                    )
                )
            self._retry()
            return
        self._connection = connection
        self._ask()

    def _write(self, connection: _Watch) -> None:
        wait_ms = 0 if self._generation is None else WAIT_MS if self._heard else LOOK_MS
        query = "" if self._generation is None else f"?after={self._generation}&wait_ms={wait_ms}"
        self._watch_silence(wait_ms / 1000 + self._patience.silent_s)
        connection.waiting = True
        connection.write(f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def _watch_silence(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(seconds, self._overdue)

    def _overdue(self) -> None:
        # Guards against our own stall: the answer may be here and unread.
        self._timer = self._loop.call_later(GRACE_S, self._given_up)

    def _given_up(self) -> None:
        # Guards against an agent that is silent for good: without this the watch would hang on one socket.
        log.warning(Event("discovery_silent", "discovery: no answer, asking again; the list is kept"))
        if self._connection is not None:
            self._connection.abort()

    def replied(self, connection: _Watch, reply: Reply, reusable: bool) -> None:
        """An answer: hand it on and ask for what comes next at once."""
        if connection is not self._connection:
            return  # from an address that was left
        if reply.status == 503:
            log.warning(Event("discovery_turned_away", "discovery: turned away, the list is kept"))
            connection.abort()
            return
        try:
            if reply.status != 200:
                raise ValueError(f"status {reply.status}")
            listing = parse_listing(json.loads(reply.body))
            if not listing.is_full and (self._generation is None or listing.generation < self._generation):
                raise ValueError("changes to a list that was never sent")
        except (ValueError, RecursionError) as error:
            log.warning(
                Event(
                    "discovery_bad_answer",
                    "discovery: bad answer, the list is kept: {error}",
                    error=str(error),
                )
            )
            self._generation = None  # whatever was missed comes with the whole list
            connection.abort()
            return
        self._failures, self._generation, self._heard = 0, listing.generation, True
        if not reusable:
            self._connection = None
            connection.abort()
        self._ask()  # before the list is acted on: a late watch is a new one
        self._told(listing)

    def lost(self, connection: _Watch) -> None:
        """The agent closed or reset the connection."""
        if connection is self._connection:
            self._connection = None
            self._retry()

    def _retry(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._stopped:
            return
        self._failures += 1
        self._timer = self._loop.call_later(self._backoff_s(), self._ask)

    def _backoff_s(self) -> float:
        """Full jitter over a span that grows with the fleet and with failures, as far as patience allows."""
        span = BACKOFF_S * self._fleet_size * 2 ** min(self._failures - 1, 10)
        longest = self._patience.first_backoff_s if self._failures == 1 else self._patience.backoff_s
        return self._rng.random() * min(span, longest)


class _Watch(ReplyProtocol):
    """The connection to the agent."""

    def __init__(self, owner: Discovery) -> None:
        super().__init__(LONGEST_LIST)
        self._owner = owner
        self.waiting = False

    def replied(self, reply: Reply, reusable: bool) -> None:
        if not self.waiting:
            self.abort()  # an answer that nobody asked for
            return
        self.waiting = False
        self._owner.replied(self, reply, reusable)

    def lost(self) -> None:
        self._owner.lost(self)
