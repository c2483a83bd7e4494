"""Service discovery: keeps the list of servers up to date by long polls to a discovery agent.

The watch is retried after refusals, bad answers, silence and lost connections. The last list is kept
meanwhile.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import logging
import math
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass

from yewstage import interface as api
from yewstage.log import Event
from yewstage.net.http1 import CONNECT_TIMED_OUT, ConnectAttempt, Reply, ReplyProtocol
from yewstage.net.stats import DescriptorUse

log = logging.getLogger(__name__)

LONG_POLL_MS = 20000
FIRST_POLL_MS = 50  # of the first poll with a configured list, whose changes are wanted soon
# After a time-out the loop gets one or two turns to read data that has arrived, before silence counts.
READ_GRACE_S = 0.002
BACKOFF_PER_GATEWAY_S = 0.1  # per gateway of the fleet, as all may be refused at the same time
DEFAULT_MAX_SERVERS = 8192  # in a list that is taken
MAX_LIST_HEAD_BYTES = 16 * 1024  # of an answer with a list
LISTED_SERVER_TEXT_BYTES = 512  # of one server in an answer, also where it is indented
STATUS_BY_LIFECYCLE = {"ready": "up", "draining": "draining", "gone": "removed"}


@dataclass(slots=True, frozen=True)
class WatchTimeouts:
    """Time-out and backoffs of a watch, in seconds."""

    silent_s: float  # how long an answer or a connection may be overdue before the connection is closed
    first_backoff_s: float  # longest backoff after a first failure
    backoff_s: float  # longest backoff after consecutive failures


# Where the settings have the list requested: a change must be known 6 s after discovery had it and was
# reachable. `silent_s` and `backoff_s` leave a second of that. What a silent long poll misses must be known
# 2 s after its end, so the watch is opened again soon after.
ON_REQUEST_TIMEOUTS = WatchTimeouts(silent_s=2.0, first_backoff_s=0.5, backoff_s=3.0)
# Where the list is pushed to an agent on the same machine: the agent answers at once and at no cost, and what
# it has must be known. Both values together are below the second that the settings leave for the last
# requests to a draining server.
PUSHED_TIMEOUTS = WatchTimeouts(silent_s=0.75, first_backoff_s=0.2, backoff_s=0.2)


@dataclass(slots=True, frozen=True)
class ListedServer:
    """One instance of a list of servers; the address is None if it is removed."""

    server: api.Server
    address: tuple[str, int] | None


@dataclass(slots=True, frozen=True)
class Listing:
    """One answer of discovery: a full list of servers or a delta, and the addresses by instance id."""

    generation: int
    is_full: bool
    servers: tuple[api.Server, ...]
    addresses: dict[str, tuple[str, int]]


NO_LISTING = Listing(0, True, (), {})


def parse_listing(raw: object) -> Listing:
    """Convert discovery's JSON to a `Listing`; ValueError if it is malformed."""
    if not isinstance(raw, dict) or not isinstance(raw.get("instances"), list):
        raise ValueError("no list of instances")
    generation = raw.get("generation")
    if not isinstance(generation, int) or isinstance(generation, bool):
        raise ValueError(f"generation {generation!r} is not a whole number")
    listed = [
        entry if isinstance(entry, ListedServer) else _parse_instance(entry) for entry in raw["instances"]
    ]
    addresses = {entry.server.name: entry.address for entry in listed if entry.address is not None}
    return Listing(generation, bool(raw.get("reset")), tuple(entry.server for entry in listed), addresses)


def load_listing(text: bytes, max_servers: int) -> Listing:
    """Parse an answer of discovery; ValueError if it is malformed, or names more servers than that."""
    count = itertools.count(1)

    def convert(raw: dict[str, object]) -> object:
        instance = convert_instance(raw)
        if instance is not raw and next(count) > max_servers:
            raise ValueError(f"instances: more than {max_servers}")
        return instance

    return parse_listing(json.loads(text, object_hook=convert))


def convert_instance(raw: dict[str, object]) -> object:
    """Convert an instance while the JSON around it is parsed, as all of them at once take much memory.

    Other objects, and invalid instances, stay as they are; `parse_listing` tells what is wrong.
    """
    if "instanceId" not in raw:
        return raw
    try:
        return _parse_instance(raw)
    except ValueError:
        return raw


def _parse_instance(entry: object) -> ListedServer:
    if not isinstance(entry, dict) or not isinstance(entry.get("instanceId"), str) or not entry["instanceId"]:
        raise ValueError("an instance has no instanceId")
    name = entry["instanceId"]
    # Later versions of discovery may add states. A server in an unknown state gets no new requests.
    lifecycle = entry.get("lifecycle")
    status = STATUS_BY_LIFECYCLE.get(lifecycle, "draining") if isinstance(lifecycle, str) else "draining"
    host, _, port = str(entry.get("hostPort", "")).rpartition(":")
    if status != "removed" and not (host and port.isascii() and port.isdigit() and int(port) < 65536):
        raise ValueError(f"{name}: hostPort {entry.get('hostPort')!r} is not HOST:PORT")
    try:
        # startedAtMs needs no conversion, as the decision module's clock is Unix time in milliseconds too.
        server = api.Server(
            name,
            sys.intern(str(entry.get("zone", ""))),
            int(entry.get("cell", 0)),
            status,
            float(entry.get("weight", 1.0)),
            float(entry.get("startedAtMs", 0)),
        )
        if not (math.isfinite(server.nominal_capacity) and math.isfinite(server.up_since_ms)):
            raise ValueError
    except (TypeError, ValueError, OverflowError):
        raise ValueError(f"{name}: cell, weight or startedAtMs is not a number") from None
    return ListedServer(server, (host.strip("[]"), int(port)) if status != "removed" else None)


class Discovery:
    """Keeps one watch open and passes each answer to `on_listing`.

    Discovery serves the whole fleet, most of which may start or be refused at the same time. To limit its
    load, a known list is not requested again, and retries are spread at random over the backoff of
    `WatchTimeouts`.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        on_listing: Callable[[Listing], None],
        known_generation: int | None = None,
        fleet_size: int = 1,
        rng: random.Random | None = None,
        descriptor_use: DescriptorUse | None = None,
        timeouts: WatchTimeouts = ON_REQUEST_TIMEOUTS,
        max_servers: int = DEFAULT_MAX_SERVERS,
    ) -> None:
        """A list of more than `max_servers` is refused, and the last one is kept."""
        self._max_servers = max_servers
        self._descriptor_use, self._timeouts = descriptor_use or DescriptorUse(), timeouts
        self._loop, self._address, self._on_listing = loop, address, on_listing
        self._generation = known_generation  # of the known list; None: request the full list
        self._has_answered = False
        self._fleet_size, self._rng = fleet_size, rng or random.Random()
        self._connection: _Watch | None = None
        self._dial: ConnectAttempt | None = None
        self._timer: asyncio.TimerHandle | None = None  # of the time-out, or of a backoff
        self._failures = 0
        self._stopped = False

    def start(self) -> None:
        """Start watching: request deltas to the known list, or first the full list if there is none."""
        self._request_list()

    def stop(self) -> None:
        """Stop watching and close the connection."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._dial is not None:
            self._dial.cancel()
        if self._connection is not None:
            self._connection.abort()

    def max_list_bytes(self) -> int:
        """Return the most bytes that an answer of discovery may have."""
        return self._max_servers * LISTED_SERVER_TEXT_BYTES

    def move(self, address: tuple[str, int]) -> None:
        """Watch at another address, starting with the full list. The current one stays in use until then."""
        self._address, self._generation, self._failures = address, None, 0
        if self._timer is not None:
            self._timer.cancel()
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
        if self._dial is not None:
            self._dial.cancel()  # its callback opens the watch again
        else:
            self._request_list()

    def _request_list(self) -> None:
        if self._stopped:
            return
        if self._connection is not None:
            self._send_request(self._connection)
            return
        self._dial = ConnectAttempt(
            self._loop,
            lambda: _Watch(self),
            self._address,
            self._timeouts.silent_s,
            self._descriptor_use,
            self._dialled,
        )

    def _dialled(self, connection: _Watch | None, cause: str) -> None:
        self._dial = None
        if connection is None:
            if cause == CONNECT_TIMED_OUT:
                log.warning(
                    Event(
                        "discovery_unreachable",
                        "discovery: cannot be reached, asking again; the list is kept",
                    )
                )
            self._retry()
            return
        self._connection = connection
        self._request_list()

    def _send_request(self, connection: _Watch) -> None:
        poll_ms = 0 if self._generation is None else LONG_POLL_MS if self._has_answered else FIRST_POLL_MS
        query = "" if self._generation is None else f"?after={self._generation}&wait_ms={poll_ms}"
        self._start_timeout(poll_ms / 1000 + self._timeouts.silent_s)
        connection.is_waiting = True
        connection.write(f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def _start_timeout(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(seconds, self._on_timeout)

    def _on_timeout(self) -> None:
        # After a stall of the event loop the answer may have arrived but not been read.
        self._timer = self._loop.call_later(READ_GRACE_S, self._close_silent)

    def _close_silent(self) -> None:
        # Otherwise the watch would wait forever on the connection of an agent that stays silent.
        log.warning(Event("discovery_silent", "discovery: no answer, asking again; the list is kept"))
        if self._connection is not None:
            self._connection.abort()

    def replied(self, connection: _Watch, reply: Reply, reusable: bool) -> None:
        """Called with an answer: request the next one at once, then pass this one on."""
        if connection is not self._connection:
            return  # from the address before a move
        if reply.status == 503:
            log.warning(
                Event(
                    "discovery_turned_away",
                    "discovery: turned away, the list is kept",
                )
            )
            connection.abort()
            return
        try:
            if reply.status != 200:
                raise ValueError(f"status {reply.status}")
            listing = load_listing(reply.body, self._max_servers)
            if not listing.is_full and (self._generation is None or listing.generation < self._generation):
                raise ValueError("delta to a list that was not received")
        except (ValueError, RecursionError) as error:
            log.warning(
                Event(
                    "discovery_bad_answer",
                    "discovery: bad answer, the list is kept: {error}",
                    error=str(error),
                )
            )
            self._generation = None  # the full list includes what was missed
            connection.abort()
            return
        self._failures, self._generation, self._has_answered = 0, listing.generation, True
        if not reusable:
            self._connection = None
            connection.abort()
        self._request_list()  # before the list is applied, as discovery takes a late request for a new watch
        self._on_listing(listing)

    def lost(self, connection: _Watch) -> None:
        """Called when the connection is lost."""
        if connection is self._connection:
            self._connection = None
            self._retry()

    def _retry(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._stopped:
            return
        self._failures += 1
        self._timer = self._loop.call_later(self._backoff_s(), self._request_list)

    def _backoff_s(self) -> float:
        """Backoff with full jitter over a span that grows with the fleet size and consecutive failures."""
        span_s = BACKOFF_PER_GATEWAY_S * self._fleet_size * 2 ** min(self._failures - 1, 10)
        max_backoff_s = self._timeouts.first_backoff_s if self._failures == 1 else self._timeouts.backoff_s
        return self._rng.random() * min(span_s, max_backoff_s)


class _Watch(ReplyProtocol):
    """Connection to the agent."""

    def __init__(self, owner: Discovery) -> None:
        super().__init__(owner.max_list_bytes(), MAX_LIST_HEAD_BYTES)
        self._owner = owner
        self.is_waiting = False

    def replied(self, reply: Reply, reusable: bool) -> None:
        if not self.is_waiting:
            self.abort()  # an unsolicited answer
            return
        self.is_waiting = False
        self._owner.replied(self, reply, reusable)

    def lost(self) -> None:
        self._owner.lost(self)
