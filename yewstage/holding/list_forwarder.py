"""Calls for the list at a process that holds no copy of it, or too old a one: passed on to one that does.

A watch is held here and asked for in short parts there, so that what is told is never older than its
`X-Age-Ms` says: a process that was stopped meanwhile finds out by its own clock, and adds that time.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine

import msgspec

from yewstage.net.config import Address
from yewstage.net.http_server import HttpConnection, HttpResponse
from yewstage.registry.client import NoAnswerError, ServiceClient, ServiceReply
from yewstage.registry.server import PASSED

PART_MS = 1000  # of a watch, asked for at one time: what an answer may age on its way
ANSWER_S = 1.0  # within which one that holds the list answers, beyond its wait,
TRIES = 3  # and how many are asked: all of that is less than callers wait
REST_S = 0.1  # before a watch that nobody answers is asked for again
IDLE = 8  # connections kept for the next call


class Passing:
    """All calls that are passed on."""

    def __init__(
        self,
        homes: Callable[[], tuple[Address, ...]],
        later: Callable[[str], HttpResponse],
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        spawn: Callable[[Coroutine], asyncio.Task],
        most: int,
        most_age_ms: float,
    ) -> None:
        """`homes`: where processes that hold the list are called; `most`: calls at one time."""
        self._homes, self._later, self._loop, self._rng, self._spawn = homes, later, loop, rng, spawn
        self._most, self._most_age_ms = most, most_age_ms
        self._idle: list[tuple[tuple[Address, ...], ServiceClient]] = []
        self.under_way = self.passed = self.failed = 0

    def list(self, after: int | None, wait_ms: int, caller: HttpConnection) -> bool:
        """Pass a call on; False where nobody is known who could answer it."""
        if not self._homes():
            return False
        if self.under_way >= self._most:
            caller.answer(self._later("too many calls for the list are passed on"))
            return True
        task = self._spawn(self._list(after, wait_ms, caller))
        caller.on_disconnect = task.cancel
        return True

    async def _list(self, after: int | None, wait_ms: int, caller: HttpConnection) -> None:
        self.under_way += 1
        try:
            caller.answer(await self._asked(after, wait_ms))
        finally:
            self.under_way -= 1

    async def _asked(self, after: int | None, wait_ms: int) -> HttpResponse:
        """The answer, once there is something to tell or the caller's time is up. A watch outlives those that
        it was held by: while nobody answers it waits on, as far as its time goes."""
        until = self._now() + wait_ms
        while True:
            sent_at = self._now()
            told = await self._told(after, max(0, min(PART_MS, int(until - sent_at))))
            age_ms = told.age_ms + self._now() - sent_at if told is not None else float("inf")
            if age_ms <= self._most_age_ms:
                if told.body.get("reset", True) or told.body.get("instances") or self._now() >= until:
                    self.passed += 1
                    age = b"X-Age-Ms: %d\r\n" % age_ms
                    return HttpResponse(200, msgspec.json.encode(told.body), b"application/json", age)
            elif self._now() >= until:
                self.failed += 1
                return self._later("no process that holds the list answers with what is new enough")
            else:
                await asyncio.sleep(REST_S)

    async def _told(self, after: int | None, wait_ms: int) -> ServiceReply | None:
        """What the first says that can say anything; only the first is given time to wait."""
        homes = self._homes()
        if not homes:
            return None
        client = self._client(homes)
        for turn in range(min(len(homes), TRIES)):
            part_ms = 0 if turn else wait_ms
            behind = "" if after is None else f"&after={after}&wait_ms={part_ms}"
            path = f"/v1/endpoints?{PASSED}=1{behind}"
            try:
                async with asyncio.timeout(ANSWER_S + part_ms / 1000):
                    told = await client.call("GET", path, None, part_ms / 1000)
            except (NoAnswerError, TimeoutError):
                continue
            if told.status == 200:
                self._idle.append((homes, client))
                while len(self._idle) > IDLE:
                    self._idle.pop(0)[1].close()
                return told
        client.close()
        return None

    def _now(self) -> float:
        return self._loop.time() * 1000

    def _client(self, homes: tuple[Address, ...]) -> ServiceClient:
        for at, (known, client) in enumerate(self._idle):
            if known == homes:
                del self._idle[at]
                return client
        return ServiceClient(homes, self._rng)

    def close(self) -> None:
        """End the connections that are kept."""
        for _, client in self._idle:
            client.close()
        self._idle.clear()
