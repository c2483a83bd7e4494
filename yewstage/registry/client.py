"""The list service's clients: calls that outlive its failures, a list that is kept, a duty held by lease.

By hand: `plumwall servers`, `drain`, `undrain`, `leases`.
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
from yewstage.net.http1 import LONGEST_LIST, ConnectAttempt, Reply, ReplyProtocol
from yewstage.net.stats import DescriptorUse

log = logging.getLogger(__name__)

DIAL_S = 1.0
CALL_S = 5.0  # how long an answer may take, beyond what the call itself waits
BACKOFF_S, BACKOFF_MAX_S = 0.1, 10.0
WAIT_MS = 20_000


class NoAnswerError(Exception):
    """No answer that makes sense; the call may have been done all the same."""


@dataclass(slots=True, frozen=True)
class ServiceReply:
    """An answer."""

    status: int
    body: dict[str, object]
    retry_after_s: float = 0.0
    age_ms: float = float("inf")  # bound on how old it was when it was given; not told: nothing is known


class ServiceClient:
    """Calls to the service, one at a time, over one connection; each failure moves on to the next address.

    Where the service is replicated a write may be told who leads: it is asked there, once.
    """

    def __init__(
        self, addresses: Sequence[Address], rng: random.Random | None = None, use: DescriptorUse | None = None
    ) -> None:
        self._addresses, self._rng, self._use = (
            tuple(addresses),
            rng or random.Random(),
            use or DescriptorUse(),
        )
        self._at = self._rng.randrange(len(self._addresses))
        self._leader: Address | None = None  # where writes go, as one of them told us
        self._line: _Line | None = None
        self._turn = asyncio.Lock()
        self._failures = 0

    async def call(
        self, method: str, path: str, body: dict[str, object] | None = None, wait_s: float = 0.0
    ) -> ServiceReply:
        """One call; NoAnswerError where nothing sensible comes back. It is not repeated here."""
        async with self._turn:
            try:
                told = _told(await self._exchange(method, path, body, CALL_S + wait_s))
                if told.status == 421:  # nothing was done there; it told us who does it
                    self.close()
                    self._leader = address(told.body, "leader")
                    told = _told(await self._exchange(method, path, body, CALL_S + wait_s))
            except asyncio.CancelledError:
                self._leave()  # who asked waits no longer: its answer would be taken for the next one's
                raise
            except (NoAnswerError, ValueError, ConfigError) as error:
                self._leave()
                raise NoAnswerError(str(error)) from None
            if told.status in (421, 503):
                self._leave()  # another one may know better
            else:
                self._failures = 0
            return told

    def backoff_s(self) -> float:
        """Full jitter: how long to rest after failures, so that not all who failed come back at one
        moment."""
        span = min(BACKOFF_S * 2 ** min(max(self._failures - 1, 0), 20), BACKOFF_MAX_S)
        return self._rng.random() * span

    def between(self, least: float, most: float) -> float:
        """A random number, for rests that are no failures."""
        return self._rng.uniform(least, most)

    def close(self) -> None:
        """End the connection."""
        if self._line is not None:
            self._line.abort()
            self._line = None

    def _leave(self) -> None:
        self.close()
        self._leader = None
        self._failures += 1
        self._at = (self._at + 1) % len(self._addresses)

    async def _exchange(
        self, method: str, path: str, body: dict[str, object] | None, within_s: float
    ) -> Reply:
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        request = (
            f"{method} {path} HTTP/1.1\r\nHost: registry\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        ).encode() + data
        if self._line is None or self._line.over:
            self._line = await _dial(self._leader or self._addresses[self._at], self._use)
        try:
            async with asyncio.timeout(within_s):
                return await self._line.exchange(request)
        except TimeoutError:
            raise NoAnswerError("no answer in time") from None


async def get_once(at: Address, path: str, within_s: float) -> dict[str, object]:
    """What one address answers to a question; nothing where no good answer comes in time."""
    client = ServiceClient([at])
    try:
        async with asyncio.timeout(within_s):
            told = await client.call("GET", path)
        return told.body if told.status == 200 else {}
    except (NoAnswerError, TimeoutError):
        return {}
    finally:
        client.close()


def _told(reply: Reply) -> ServiceReply:
    """An answer's JSON; ValueError where it is none."""
    body = json.loads(reply.body or b"{}")
    if not isinstance(body, dict):
        raise ValueError("an answer that is no object")
    retry = _number(reply, b"retry-after", 0.0)
    age = _number(reply, b"x-age-ms", float("inf"))
    return ServiceReply(
        reply.status, body, retry if 0 <= retry < 3600 else 0.0, age if age >= 0 else float("inf")
    )


def _number(reply: Reply, header: bytes, default: float) -> float:
    try:
        return float(reply.headers.get(header, default))
    except ValueError:
        return default


async def _dial(target: Address, use: DescriptorUse) -> _Line:
    loop = asyncio.get_running_loop()
    up: asyncio.Future[_Line] = loop.create_future()

    def ended(line: ReplyProtocol | None, cause: str) -> None:
        if up.done():
            if line is not None:
                line.abort()
        elif line is None:
            up.set_exception(NoAnswerError(cause))
        else:
            up.set_result(line)

    dial = ConnectAttempt(loop, _Line, target, DIAL_S, use, ended)
    try:
        return await up
    finally:
        if not up.done() or up.cancelled():
            dial.cancel()


class _Line(ReplyProtocol):
    """One connection."""

    def __init__(self) -> None:
        super().__init__(LONGEST_LIST)
        self._waiting: asyncio.Future[Reply] | None = None
        self.over = False

    async def exchange(self, request: bytes) -> Reply:
        """Write a call, wait for its answer."""
        self._waiting = asyncio.get_running_loop().create_future()
        self.write(request)
        return await self._waiting

    def replied(self, reply: Reply, reusable: bool) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is None or not reusable:
            self.over = True
            self.abort()
        if waiting is not None and not waiting.done():
            waiting.set_result(reply)

    def lost(self) -> None:
        self.over = True
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_exception(NoAnswerError(self.close_cause))


class ListWatch:
    """The list as last told, kept through whatever happens to the service, and how old it is."""

    def __init__(self, client: ServiceClient, now_s: Callable[[], float]) -> None:
        self._client, self._now_s = client, now_s
        self._revision: int | None = None
        self._heard_at: float | None = None
        self.servers: dict[str, api.Server] = {}
        self.addresses: dict[str, Address] = {}
        self.stale_reason = "nothing heard yet"  # why the list is not what the service says now; empty: it is
        self.changed = asyncio.Event()

    def age_s(self) -> float:
        """Since when nothing was heard that could be believed."""
        return self._now_s() - self._heard_at if self._heard_at is not None else float("inf")

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            rest_s = await self.ask()
            if rest_s > 0:
                await asyncio.sleep(rest_s)

    async def ask(self, wait_ms: int = WAIT_MS) -> float:
        """One question; how long to rest before the next."""
        behind = self._revision is not None
        query = f"?after={self._revision}&wait_ms={wait_ms}" if behind else ""
        try:
            told = await self._client.call("GET", f"/v1/endpoints{query}", None, wait_ms / 1000 * behind)
            if told.status != 200:
                return self._doubt(
                    f"answered {told.status}", max(told.retry_after_s, self._client.backoff_s())
                )
            return self._take(parse_listing(told.body))
        except (NoAnswerError, ValueError) as error:
            self._revision = self._revision if isinstance(error, NoAnswerError) else None
            return self._doubt(str(error), self._client.backoff_s())

    def _take(self, listing: Listing) -> float:
        if listing.is_full and self.servers and not listing.servers:
            # Danger: a service that lost its files knows nobody. To believe it would end all service.
            self._revision = None
            return self._doubt(
                f"an empty list after {len(self.servers)} servers", self._client.between(0.5, 1.0)
            )
        if not listing.is_full and (self._revision is None or listing.generation < self._revision):
            raise ValueError("changes to a list that was never told")
        if listing.is_full:
            self.servers, self.addresses = {}, {}
        for server in listing.servers:
            if server.status == "removed":
                self.servers.pop(server.name, None)
                self.addresses.pop(server.name, None)
            else:
                self.servers[server.name] = server
        self.addresses.update(listing.addresses)
        self._revision, self._heard_at, self.stale_reason = listing.generation, self._now_s(), ""
        self.changed.set()
        return 0.0

    def _doubt(self, why: str, rest_s: float) -> float:
        if why != self.stale_reason:
            log.warning(Event("list_kept", "the list is kept, {why}", why=why))
        self.stale_reason = why
        return rest_s


class LeaseHolder:
    """A duty that one process at a time holds, by a lease.

    Its time counts from when the renewal was sent, by a clock that may run fast or slow by `drift`: so it is
    over here before the service may grant it to another, and who was stopped for a while finds out from his
    own clock.
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
        self._until = float("-inf")
        self.token = 0
        self.grants = 0

    def is_held(self) -> bool:
        """Whether we may act at this moment."""
        return self._now_s() < self._until

    def fence(self) -> dict[str, object]:
        """What a write says of the duty that it is made for."""
        return {"lease": self.name, "token": self.token}

    async def run(self) -> None:
        """Hold it whenever it can be had, until cancelled; then leave it to the next."""
        try:
            while True:
                await asyncio.sleep(await self.acquire_or_renew())
        finally:
            if self.is_held():
                await self.release()

    async def acquire_or_renew(self) -> float:
        """Renew, or try to get it; how long to rest before the next time."""
        sent_at = self._now_s()
        try:
            if self.is_held():
                told = await self._client.call(
                    "POST", f"/v1/leases/{self.name}/renew", {"holder": self._holder, "token": self.token}
                )
            else:
                told = await self._client.call(
                    "PUT", f"/v1/leases/{self.name}", {"holder": self._holder, "ttlMs": self._ttl_ms}
                )
        except NoAnswerError:
            return self._client.backoff_s()
        token = told.body.get("token")
        if told.status != 200 or not isinstance(token, int):
            if told.status == 409:
                self._until = float("-inf")  # it is another's
            return max(told.retry_after_s, self._ttl_ms / 3000 * self._client.between(0.5, 1.0))
        if token != self.token:
            self.token, self.grants = token, self.grants + 1
            log.info(Event("duty_held", "{duty} is ours, token {token}", duty=self.name, token=token))
        self._until = sent_at + self._ttl_ms / 1000 * (1 - self._drift)
        return self._ttl_ms / 3000

    async def release(self) -> None:
        """Leave it to the next at once; if that fails it ends with its time."""
        self._until = float("-inf")
        try:
            await self._client.call(
                "DELETE", f"/v1/leases/{self.name}", {"holder": self._holder, "token": self.token}
            )
        except NoAnswerError as error:
            log.warning(
                Event("duty_kept", "{duty} could not be given up: {error}", duty=self.name, error=str(error))
            )
