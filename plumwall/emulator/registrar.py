"""Registration of the emulated servers with the project's list service: register, renew, drain and leave."""

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
RENEW_INTERVAL_S = TTL_MS / 3000  # a third of the TTL
# After this time what the service holds is recorded as told to the gateways, fetched or not.
TOLD_AFTER_MS = 6000.0


class Registrar:
    """The calls of one process's servers to the list service, one at a time."""

    def __init__(
        self,
        addresses: list[Address],
        gateways: list[str],
        write: Callable[[r.Record], None],
        now: Callable[[], float],
    ) -> None:
        self._client, self._gateways, self._write, self._now = ServiceClient(addresses), gateways, write, now
        # by server: spec, address, start time
        self._registered: dict[str, tuple[ServerSpec, str, float]] = {}
        self._change_counts: dict[str, int] = {}  # by server
        self._tasks: set[asyncio.Task] = set()
        self._renew_task: asyncio.Task | None = None
        self.unanswered_calls = 0

    async def register_all(self, servers: list[tuple[ServerSpec, str]]) -> None:
        """Register the initial servers, and renew all registrations from now on."""
        for spec, address in servers:
            self._registered[spec.name] = spec, address, 0.0
            await self._register(spec.name)
        self._renew_task = asyncio.get_running_loop().create_task(self._renew())

    def server_started(self, spec: ServerSpec, address: str) -> None:
        """Register a new incarnation of a server."""
        self._registered[spec.name] = spec, address, round(time.time() * 1000, 3)
        self._spawn(self._register(spec.name))

    def server_died(self, name: str) -> None:
        """Stop renewing a server that died. The service is not told: the registration expires."""
        if self._registered.pop(name, None) is not None:
            self._schedule_told(name, GONE, TTL_MS + TOLD_AFTER_MS)

    def server_draining(self, name: str) -> None:
        """Tell the service that a server drains."""
        self._spawn(self._call("POST", f"/v1/endpoints/{name}/drain", {"draining": True}))
        self._schedule_told(name, DRAINING, TOLD_AFTER_MS)

    def server_left(self, name: str) -> None:
        """Remove the registration of a server that stops in order."""
        if self._registered.pop(name, None) is not None:
            self._spawn(self._call("DELETE", f"/v1/endpoints/{name}", {}))
            self._schedule_told(name, GONE, TOLD_AFTER_MS)

    def close(self) -> None:
        """Cancel all calls."""
        for task in [*self._tasks, *([self._renew_task] if self._renew_task is not None else [])]:
            task.cancel()
        self._client.close()

    def _schedule_told(self, name: str, lifecycle: str, after_ms: float, started_at_ms: float = 0.0) -> None:
        """Record a change as told to all gateways after a time, unless a newer change of the server comes
        first.

        When each gateway hears of it is known to the service alone, so the longest time is assumed.
        """
        self._change_counts[name] = change_count = self._change_counts.get(name, 0) + 1
        asyncio.get_running_loop().call_later(
            after_ms / 1000, self._record_if_current, name, lifecycle, started_at_ms, change_count
        )

    def _record_if_current(self, name: str, lifecycle: str, started_at_ms: float, change_count: int) -> None:
        if self._change_counts[name] == change_count:
            for gateway in self._gateways:
                self._write(r.Told(self._now(), gateway, name, lifecycle, started_at_ms))

    async def _register(self, name: str) -> None:
        spec, address, started_at_ms = self._registered[name]
        succeeded = await self._call(
            "PUT",
            f"/v1/endpoints/{name}",
            {
                "hostPort": address,
                "ttlMs": TTL_MS,
                "zone": spec.zone,
                "machineType": "std",
                "cell": spec.cell,
                "weight": 1.0,
                "startedAtMs": started_at_ms,
            },
        )
        if succeeded and started_at_ms:
            self._schedule_told(name, READY, TOLD_AFTER_MS, started_at_ms)

    async def _renew(self) -> None:
        """Renew all registrations periodically. A server whose renewal fails registers again."""
        while True:
            began_s = time.monotonic()
            for name in list(self._registered):
                if name in self._registered and not await self._call(
                    "POST", f"/v1/endpoints/{name}/renew", {}
                ):
                    if name in self._registered:
                        await self._register(name)
            await asyncio.sleep(max(0.05, RENEW_INTERVAL_S - (time.monotonic() - began_s)))

    async def _call(self, method: str, path: str, body: dict[str, object]) -> bool:
        """Make a call; return whether it succeeded. After a call without an answer the next renewal tries
        again."""
        try:
            answer = await self._client.call(method, path, body)
        except NoAnswerError:
            self.unanswered_calls += 1
            return False
        return answer.status == 200

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
