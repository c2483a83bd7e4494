"""Servers that register themselves with the project's own list service, renew, drain and leave."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from plumwall import records as r
from plumwall.world.directory import DRAINING, GONE, READY
from plumwall.world.generator import ServerSpec
from yewstage.net.config import Address
from yewstage.registry.client import NoAnswerError, ServiceClient

TTL_MS = 3000.0
RENEW_S = TTL_MS / 3000
TOLD_MS = 6000.0  # after which what the service holds counts as told, fetched or not


class Registrar:
    """What one process's servers say to the list service, one call at a time."""

    def __init__(
        self,
        at: list[Address],
        gateways: list[str],
        write: Callable[[r.Record], None],
        now: Callable[[], float],
    ) -> None:
        self._client, self._gateways, self._write, self._now = ServiceClient(at), gateways, write, now
        self._here: dict[str, tuple[ServerSpec, str, float]] = {}  # spec, address, start
        self._news: dict[str, int] = {}  # by server, how much has become of it
        self._tasks: set[asyncio.Task] = set()
        self._renewing: asyncio.Task | None = None
        self.failures = 0  # calls that nobody answered

    async def register_all(self, servers: list[tuple[ServerSpec, str]]) -> None:
        """Those that are there at the start; from here on all are kept alive."""
        for spec, address in servers:
            self._here[spec.name] = spec, address, 0.0
            await self._register(spec.name)
        self._renewing = asyncio.get_running_loop().create_task(self._renew())

    def started(self, spec: ServerSpec, address: str) -> None:
        """A life begins."""
        self._here[spec.name] = spec, address, round(time.time() * 1000, 3)
        self._later(self._register(spec.name))

    def died(self, name: str) -> None:
        """It renews no more, and says nothing: the service finds out."""
        if self._here.pop(name, None) is not None:
            self._tell(name, GONE, TTL_MS + TOLD_MS)

    def drains(self, name: str) -> None:
        """It wants nothing new."""
        self._later(self._call("POST", f"/v1/endpoints/{name}/drain", {"draining": True}))
        self._tell(name, DRAINING, TOLD_MS)

    def left(self, name: str) -> None:
        """It ends in words."""
        if self._here.pop(name, None) is not None:
            self._later(self._call("DELETE", f"/v1/endpoints/{name}", {}))
            self._tell(name, GONE, TOLD_MS)

    def close(self) -> None:
        """Say nothing more."""
        for task in [*self._tasks, *([self._renewing] if self._renewing is not None else [])]:
            task.cancel()
        self._client.close()

    def _tell(self, name: str, lifecycle: str, after_ms: float, started: float = 0.0) -> None:
        """Which gateway was told when is the service's to know: all count as told after the longest time, if
        nothing newer has become of the server by then."""
        self._news[name] = news = self._news.get(name, 0) + 1
        asyncio.get_running_loop().call_later(
            after_ms / 1000, self._count_as_told, name, lifecycle, started, news
        )

    def _count_as_told(self, name: str, lifecycle: str, started: float, news: int) -> None:
        if self._news[name] == news:
            for gateway in self._gateways:
                self._write(r.Told(self._now(), gateway, name, lifecycle, started))

    async def _register(self, name: str) -> None:
        spec, address, started = self._here[name]
        done = await self._call(
            "PUT",
            f"/v1/endpoints/{name}",
            {
                "hostPort": address,
                "ttlMs": TTL_MS,
                "zone": spec.zone,
                "machineType": "std",
                "cell": spec.cell,
                "weight": 1.0,
                "startedAtMs": started,
            },
        )
        if done and started:
            self._tell(name, READY, TOLD_MS, started)

    async def _renew(self) -> None:
        """Every server, over and over; one that the service does not know registers anew."""
        while True:
            begun = time.monotonic()
            for name in list(self._here):
                if name in self._here and not await self._call("POST", f"/v1/endpoints/{name}/renew", {}):
                    if name in self._here:
                        await self._register(name)
            await asyncio.sleep(max(0.05, RENEW_S - (time.monotonic() - begun)))

    async def _call(self, method: str, path: str, body: dict[str, object]) -> bool:
        """One call; whether it was done. A service that is silent is asked again at the next renewal."""
        try:
            told = await self._client.call(method, path, body)
        except NoAnswerError:
            self.failures += 1
            return False
        return told.status == 200

    def _later(self, work: object) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
