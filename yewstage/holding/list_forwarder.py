"""Forwarding of list reads from a process without a replica of the list, or with a stale one.

A watch is held open here and forwarded in short parts. The time that a part took is added to the age that the
replica reported, so the list is never older than `X-Age-Ms` says, even if this process was paused meanwhile.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine

import msgspec

from yewstage.net.config import Address
from yewstage.net.http_server import HttpConnection, HttpResponse
from yewstage.registry.client import NoAnswerError, ServiceClient, ServiceReply
from yewstage.registry.server import FORWARDED_PARAMETER

WATCH_PART_MS = 1000  # longest wait of one forwarded part, which bounds how much an answer ages on its way
ANSWER_TIMEOUT_S = 1.0  # for one replica to answer, beyond the wait of the part
MAX_REPLICAS_ASKED = 3  # for one part; all time-outs together are shorter than that of callers
RETRY_DELAY_S = 0.1  # before a watch that no replica answered is forwarded again
MAX_IDLE_CLIENTS = 8  # kept for later calls


class ListForwarder:
    """Forwards list calls to processes with a replica."""

    def __init__(
        self,
        replica_addresses: Callable[[], tuple[Address, ...]],
        unavailable: Callable[[str], HttpResponse],
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        spawn: Callable[[Coroutine], asyncio.Task],
        max_calls: int,
        max_age_ms: float,
    ) -> None:
        """`replica_addresses` gives the addresses of processes with a replica of the list. `unavailable`
        makes the response of a failure from its reason. `max_calls` limits the calls in progress;
        `max_age_ms` is the bound on staleness.
        """
        self._replica_addresses, self._unavailable, self._loop, self._rng, self._spawn = (
            replica_addresses,
            unavailable,
            loop,
            rng,
            spawn,
        )
        self._max_calls, self._max_age_ms = max_calls, max_age_ms
        self._idle: list[tuple[tuple[Address, ...], ServiceClient]] = []
        self.calls_in_flight = self.forwarded = self.failed = 0

    def forward(self, after: int | None, wait_ms: int, caller: HttpConnection) -> bool:
        """Forward a call; False if no process with a replica is known.

        `after` is the revision that a watch follows, None for the whole list; `wait_ms` how long it may wait.
        """
        if not self._replica_addresses():
            return False
        if self.calls_in_flight >= self._max_calls:
            caller.answer(self._unavailable("too many calls for the list are passed on"))
            return True
        task = self._spawn(self._forward(after, wait_ms, caller))
        caller.on_disconnect = task.cancel
        return True

    async def _forward(self, after: int | None, wait_ms: int, caller: HttpConnection) -> None:
        self.calls_in_flight += 1
        try:
            caller.answer(await self._fresh_answer(after, wait_ms))
        finally:
            self.calls_in_flight -= 1

    async def _fresh_answer(self, after: int | None, wait_ms: int) -> HttpResponse:
        """The answer, once there is a change or the caller's time is up.

        A watch survives the loss of replicas: while none answers, it is tried again until its time is up.
        """
        deadline = self._now() + wait_ms
        while True:
            sent_at = self._now()
            reply = await self._ask_replicas(after, max(0, min(WATCH_PART_MS, int(deadline - sent_at))))
            age_ms = reply.age_ms + self._now() - sent_at if reply is not None else float("inf")
            if age_ms <= self._max_age_ms:
                if reply.body.get("reset", True) or reply.body.get("instances") or self._now() >= deadline:
                    self.forwarded += 1
                    age = b"X-Age-Ms: %d\r\n" % age_ms
                    return HttpResponse(200, msgspec.json.encode(reply.body), b"application/json", age)
            elif self._now() >= deadline:
                self.failed += 1
                return self._unavailable("no process that holds the list answers with what is new enough")
            else:
                await asyncio.sleep(RETRY_DELAY_S)

    async def _ask_replicas(self, after: int | None, wait_ms: int) -> ServiceReply | None:
        """The first successful answer of a replica; None if there is none.

        Only the first replica asked may wait for a change; the others answer at once.
        """
        replica_addresses = self._replica_addresses()
        if not replica_addresses:
            return None
        client = self._client(replica_addresses)
        for attempt in range(min(len(replica_addresses), MAX_REPLICAS_ASKED)):
            part_ms = 0 if attempt else wait_ms
            watch_query = "" if after is None else f"&after={after}&wait_ms={part_ms}"
            path = f"/v1/endpoints?{FORWARDED_PARAMETER}=1{watch_query}"
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S + part_ms / 1000):
                    reply = await client.call("GET", path, None, part_ms / 1000)
            except (NoAnswerError, TimeoutError):
                continue
            if reply.status == 200:
                self._idle.append((replica_addresses, client))
                while len(self._idle) > MAX_IDLE_CLIENTS:
                    self._idle.pop(0)[1].close()
                return reply
        client.close()
        return None

    def _now(self) -> float:
        return self._loop.time() * 1000

    def _client(self, replica_addresses: tuple[Address, ...]) -> ServiceClient:
        for position, (client_addresses, client) in enumerate(self._idle):
            if client_addresses == replica_addresses:
                del self._idle[position]
                return client
        return ServiceClient(replica_addresses, self._rng)

    def close(self) -> None:
        """Close the idle connections."""
        for _, client in self._idle:
            client.close()
        self._idle.clear()
