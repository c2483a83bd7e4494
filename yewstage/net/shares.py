"""Shares of customers' quotas, as a gateway has them granted by the holding before it spends them.

Loaded only where `shares` is configured. A call that gets no answer is made again under its serial: it is
granted once, and ends the shares before it, of which the module spends no more.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Coroutine

from yewstage import interface as api
from yewstage.net.holding_client import HoldingClient

WAIT_S = 1.0  # after which nobody was heard
RESULTS = ("granted", "empty", "silent")


class Shares:
    """All of one gateway's."""

    def __init__(self, loop: asyncio.AbstractEventLoop, lanes: HoldingClient, name: str) -> None:
        self._loop, self._lanes = loop, lanes
        self._life, self._serial = f"{name[:40] or 'gateway'}.{secrets.token_hex(8)}", 0
        self._tasks: set[asyncio.Task] = set()
        self.results = dict.fromkeys(RESULTS, 0)
        self.units = 0.0

    def take(self, act: api.Count, plan: api.Plan, told: Callable[[api.CountReply], None]) -> None:
        """Have a share granted; `told` is called once."""
        self._spawn(self._take(act, plan, told))

    def stop(self) -> None:
        """Ask no more."""
        for task in self._tasks:
            task.cancel()
        self._lanes.close()

    def metrics(self) -> dict[str, float]:
        """What operators read."""
        results = {f'shares_total{{result="{name}"}}': n for name, n in self.results.items()}
        return {**results, "shares_granted_units_total": round(self.units, 3)}

    async def _take(self, act: api.Count, plan: api.Plan, told: Callable[[api.CountReply], None]) -> None:
        began = self._loop.time()
        self._serial += 1  # what comes late, or twice, is known by it
        body = {
            "by": self._life,
            "serial": self._serial,
            "rate": plan.rate,
            "burst": plan.burst,
            "want": act.amount,
            "least": act.min_units,
            "lifeMs": act.ttl_ms,
        }
        units = None
        while units is None and (left_s := began + WAIT_S - self._loop.time()) > 0:
            answer = await self._lanes.call(act.name, f"/v1/shares/{act.name}/take", body, left_s)
            if answer is not None and answer.status == 200:
                units = _units(answer.body.get("units"), act.amount, act.min_units)
            if units is None:
                await self._lanes.pause_before_retry()
        self.results["silent" if units is None else "granted" if units else "empty"] += 1
        self.units += units or 0.0
        took_ms = (self._loop.time() - began) * 1000
        result = api.TIMED_OUT if units is None else api.OK
        told(api.CountReply(act.name, result, units or 0.0, took_ms))

    def _spawn(self, work: Coroutine) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _units(value: object, want: float, least: float) -> float | None:
    """What was granted; None where that makes no sense."""
    number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return float(value) if number and 0 <= value <= max(want, least) + 1e-6 else None
