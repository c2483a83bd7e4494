"""Clients of the list service: calls with failover, a watched copy of the list, and a lease that is kept
renewed.

The commands `plumwall servers`, `drain`, `undrain` and `leases` use it as well.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from yewstage import interface as api
from yewstage.log import Event
from yewstage.net.config import Address, ConfigError, address
from yewstage.net.discovery import Listing, parse_listing
from yewstage.net.http1 import MAX_LIST_BYTES, ConnectAttempt, Reply, ReplyProtocol
from yewstage.net.stats import DescriptorUse

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 5.0  # limit for an answer, in addition to the time that the call itself waits
BACKOFF_BASE_S, BACKOFF_MAX_S = 0.1, 10.0
WATCH_WAIT_MS = 20_000


class NoAnswerError(Exception):
    """No valid answer was received; the call may have been carried out all the same."""


@dataclass(slots=True, frozen=True)
class ServiceReply:
    """An answer of the service."""

    status: int
    body: dict[str, object]
    retry_after_s: float = 0.0
    # upper bound on the age of the data when the answer was given; infinite if not reported
    age_ms: float = float("inf")


class ServiceClient:
    """Calls to the service, one at a time, over one connection. After a failure the next address is used.

    If the service is replicated, a write may be answered with the leader's address (421); it is then sent
    there once.
    """

    def __init__(
        self, addresses: Sequence[Address], rng: random.Random | None = None, use: DescriptorUse | None = None
    ) -> None:
        self._addresses, self._rng, self._use = (
            tuple(addresses),
            rng or random.Random(),
            use or DescriptorUse(),
        )
        self._address_index = self._rng.randrange(len(self._addresses))
        self._leader: Address | None = None  # address for writes, as reported by another replica
        self._connection: _Connection | None = None
        self._call_lock = asyncio.Lock()
        self._failures = 0

    async def call(
        self, method: str, path: str, body: dict[str, object] | None = None, wait_s: float = 0.0
    ) -> ServiceReply:
        """Make one call. Raises NoAnswerError if no valid answer is received; the call is not repeated
        here."""
        async with self._call_lock:
            try:
                reply = _parse_reply(await self._exchange(method, path, body, CALL_TIMEOUT_S + wait_s))
                if reply.status == 421:  # not carried out; the answer names the leader
                    self.close()
                    self._leader = address(reply.body, "leader")
                    reply = _parse_reply(await self._exchange(method, path, body, CALL_TIMEOUT_S + wait_s))
            except asyncio.CancelledError:
                self._move_to_next_address()  # otherwise a late answer would be taken for the next call's
                raise
            except (NoAnswerError, ValueError, ConfigError) as error:
                self._move_to_next_address()
                raise NoAnswerError(str(error)) from None
            if reply.status in (421, 503):
                self._move_to_next_address()  # another replica may be able to answer
            else:
                self._failures = 0
            return reply

    def backoff_s(self) -> float:
        """Time to wait before the next attempt, in seconds: exponential backoff with full jitter, so that
        clients that failed together do not return together."""
        span = min(BACKOFF_BASE_S * 2 ** min(max(self._failures - 1, 0), 20), BACKOFF_MAX_S)
        return self._rng.random() * span

    def random_between(self, low: float, high: float) -> float:
        """A random number, for delays that follow no failure."""
        return self._rng.uniform(low, high)

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    def _move_to_next_address(self) -> None:
        self.close()
        self._leader = None
        self._failures += 1
        self._address_index = (self._address_index + 1) % len(self._addresses)

    async def _exchange(
        self, method: str, path: str, body: dict[str, object] | None, timeout_s: float
    ) -> Reply:
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        request = (
            f"{method} {path} HTTP/1.1\r\nHost: registry\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        ).encode() + data
        if self._connection is None or self._connection.is_closed:
            self._connection = await _connect(self._leader or self._addresses[self._address_index], self._use)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._connection.exchange(request)
        except TimeoutError:
            raise NoAnswerError("no answer in time") from None


async def get_once(at: Address, path: str, timeout_s: float) -> dict[str, object]:
    """The body of one address's answer to a GET; empty if no successful answer arrives within `timeout_s`."""
    client = ServiceClient([at])
    try:
        async with asyncio.timeout(timeout_s):
            reply = await client.call("GET", path)
        return reply.body if reply.status == 200 else {}
    except (NoAnswerError, TimeoutError):
        return {}
    finally:
        client.close()


def _parse_reply(reply: Reply) -> ServiceReply:
    """Decode an answer's JSON and headers; raises ValueError if the body is not a JSON object."""
    body = json.loads(reply.body or b"{}")
    if not isinstance(body, dict):
        raise ValueError("the answer is not a JSON object")
    retry = _header_number(reply, b"retry-after", 0.0)
    age = _header_number(reply, b"x-age-ms", float("inf"))
    return ServiceReply(
        reply.status, body, retry if 0 <= retry < 3600 else 0.0, age if age >= 0 else float("inf")
    )


def _header_number(reply: Reply, header: bytes, default: float) -> float:
    try:
        return float(reply.headers.get(header, default))
    except ValueError:
        return default


async def _connect(target: Address, use: DescriptorUse) -> _Connection:
    loop = asyncio.get_running_loop()
    connected: asyncio.Future[_Connection] = loop.create_future()

    def ended(connection: ReplyProtocol | None, cause: str) -> None:
        if connected.done():
            if connection is not None:
                connection.abort()
        elif connection is None:
            connected.set_exception(NoAnswerError(cause))
        else:
            connected.set_result(connection)

    attempt = ConnectAttempt(loop, _Connection, target, CONNECT_TIMEOUT_S, use, ended)
    try:
        return await connected
    finally:
        if not connected.done() or connected.cancelled():
            attempt.cancel()


class _Connection(ReplyProtocol):
    """One connection, used for one call at a time."""

    def __init__(self) -> None:
        super().__init__(MAX_LIST_BYTES)
        self._pending_reply: asyncio.Future[Reply] | None = None
        self.is_closed = False

    async def exchange(self, request: bytes) -> Reply:
        """Send a request and wait for its answer."""
        self._pending_reply = asyncio.get_running_loop().create_future()
        self.write(request)
        return await self._pending_reply

    def replied(self, reply: Reply, reusable: bool) -> None:
        pending_reply, self._pending_reply = self._pending_reply, None
        if pending_reply is None or not reusable:
            self.is_closed = True
            self.abort()
        if pending_reply is not None and not pending_reply.done():
            pending_reply.set_result(reply)

    def lost(self) -> None:
        self.is_closed = True
        if self._pending_reply is not None and not self._pending_reply.done():
            self._pending_reply.set_exception(NoAnswerError(self.close_cause))


class ListWatch:
    """A copy of the list that is kept up to date by watching, and kept unchanged while the service does
    not answer."""

    def __init__(self, client: ServiceClient, now_s: Callable[[], float]) -> None:
        self._client, self._now_s = client, now_s
        self._revision: int | None = None
        self._updated_at: float | None = None
        self.servers: dict[str, api.Server] = {}
        self.addresses: dict[str, Address] = {}
        self.stale_reason = "no answer yet"  # why the list may be outdated; empty: it is current
        self.changed = asyncio.Event()

    def age_s(self) -> float:
        """Time since the last valid answer, in seconds."""
        return self._now_s() - self._updated_at if self._updated_at is not None else float("inf")

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            pause_s = await self.ask()
            if pause_s > 0:
                await asyncio.sleep(pause_s)

    async def ask(self, wait_ms: int = WATCH_WAIT_MS) -> float:
        """Make one call and apply its answer; returns how long to wait before the next, in seconds."""
        has_revision = self._revision is not None
        query = f"?after={self._revision}&wait_ms={wait_ms}" if has_revision else ""
        try:
            reply = await self._client.call(
                "GET", f"/v1/endpoints{query}", None, wait_ms / 1000 * has_revision
            )
            if reply.status != 200:
                return self._mark_stale(
                    f"answered {reply.status}", max(reply.retry_after_s, self._client.backoff_s())
                )
            return self._apply(parse_listing(reply.body))
        except (NoAnswerError, ValueError) as error:
            self._revision = self._revision if isinstance(error, NoAnswerError) else None
            return self._mark_stale(str(error), self._client.backoff_s())

    def _apply(self, listing: Listing) -> float:
        if listing.is_full and self.servers and not listing.servers:
            # A service that lost its files knows no servers. Believing its empty list would stop all traffic.
            self._revision = None
            return self._mark_stale(
                f"an empty list after {len(self.servers)} servers", self._client.random_between(0.5, 1.0)
            )
        if not listing.is_full and (self._revision is None or listing.generation < self._revision):
            raise ValueError("changes without a full list before them")
        if listing.is_full:
            self.servers, self.addresses = {}, {}
        for server in listing.servers:
            if server.status == "removed":
                self.servers.pop(server.name, None)
                self.addresses.pop(server.name, None)
            else:
                self.servers[server.name] = server
        self.addresses.update(listing.addresses)
        self._revision, self._updated_at, self.stale_reason = listing.generation, self._now_s(), ""
        self.changed.set()
        return 0.0

    def _mark_stale(self, why: str, pause_s: float) -> float:
        if why != self.stale_reason:
            log.warning(Event("list_kept", "keeping the last list: {why}", why=why))
        self.stale_reason = why
        return pause_s


class LeaseHolder:
    """Holds a lease, so that one process at a time does a task.

    The lease counts from when the renewal was sent, shortened by `drift`, the error that a clock may have.
    So it ends here before the service may grant it to another process, and a process that was paused
    notices that by its own clock.
    """

    def __init__(
        self,
        client: ServiceClient,
        name: str,
        holder: str,
        ttl_ms: float,
        drift: float,
        now_s: Callable[[], float],
    ) -> None:
        self._client, self.name, self._holder = client, name, holder
        self._ttl_ms, self._drift, self._now_s = ttl_ms, drift, now_s
        self._held_until = float("-inf")
        self.token = 0
        self.grants = 0

    def is_held(self) -> bool:
        """Whether the lease is held at this moment."""
        return self._now_s() < self._held_until

    def fence(self) -> dict[str, object]:
        """The lease and fencing token, to be sent with writes that are made under the lease."""
        return {"lease": self.name, "token": self.token}

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled, then release it."""
        try:
            while True:
                await asyncio.sleep(await self.acquire_or_renew())
        finally:
            if self.is_held():
                await self.release()

    async def acquire_or_renew(self) -> float:
        """Renew or try to acquire the lease; returns how long to wait before the next call, in seconds."""
        sent_at = self._now_s()
        try:
            if self.is_held():
                reply = await self._client.call(
                    "POST", f"/v1/leases/{self.name}/renew", {"holder": self._holder, "token": self.token}
                )
            else:
                reply = await self._client.call(
                    "PUT", f"/v1/leases/{self.name}", {"holder": self._holder, "ttlMs": self._ttl_ms}
                )
        except NoAnswerError:
            return self._client.backoff_s()
        token = reply.body.get("token")
        if reply.status != 200 or not isinstance(token, int):
            if reply.status == 409:
                self._held_until = float("-inf")  # another process holds it
            return max(reply.retry_after_s, self._ttl_ms / 3000 * self._client.random_between(0.5, 1.0))
        if token != self.token:
            self.token, self.grants = token, self.grants + 1
            log.info(Event("duty_held", "acquired lease {duty}, token {token}", duty=self.name, token=token))
        self._held_until = sent_at + self._ttl_ms / 1000 * (1 - self._drift)
        return self._ttl_ms / 3000

    async def release(self) -> None:
        """Release the lease so that another process can acquire it at once. If the call fails, the lease
        expires."""
        self._held_until = float("-inf")
        try:
            await self._client.call(
                "DELETE", f"/v1/leases/{self.name}", {"holder": self._holder, "token": self.token}
            )
        except NoAnswerError as error:
            log.warning(
                Event(
                    "duty_kept",
                    "lease {duty} could not be released: {error}",
                    duty=self.name,
                    error=str(error),
                )
            )
