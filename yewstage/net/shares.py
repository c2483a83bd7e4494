"""Shares of customers' quotas, which the holding grants to a gateway before it spends them.

Loaded only where `shares` is configured. A call without an answer is repeated with the same serial number, so
that the holding grants it once. A grant ends the earlier shares, which the decision module spends no more.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Coroutine

from yewstage import interface as api
from yewstage.net.holding_client import HoldingClient

TIMEOUT_S = 1.0  # of a request for a share, with its retries
RESULTS = ("granted", "empty", "silent")


class Shares:
    """Requests the shares of one gateway from the holding."""

    def __init__(self, loop: asyncio.AbstractEventLoop, holding: HoldingClient, name: str) -> None:
        self._loop, self._holding = loop, holding
        self._start_id, self._serial = f"{name[:40] or 'gateway'}.{secrets.token_hex(8)}", 0
        self._tasks: set[asyncio.Task] = set()
        self.results = dict.fromkeys(RESULTS, 0)
        self.granted_units = 0.0

    def take(self, action: api.Count, plan: api.Plan, on_reply: Callable[[api.CountReply], None]) -> None:
        """Request a share; `on_reply` is called once, with 0 units if none was granted."""
        self._spawn(self._request(action, plan, on_reply))

    def stop(self) -> None:
        """Cancel all requests and close the connections."""
        for task in self._tasks:
            task.cancel()
        self._holding.close()

    def metrics(self) -> dict[str, float]:
        """Metrics by name."""
        results = {f'shares_total{{result="{name}"}}': n for name, n in self.results.items()}
        return {**results, "shares_granted_units_total": round(self.granted_units, 3)}

    async def _request(
        self, action: api.Count, plan: api.Plan, on_reply: Callable[[api.CountReply], None]
    ) -> None:
        started_at = self._loop.time()
        self._serial += 1  # identifies late and repeated calls
        body = {
            "by": self._start_id,
            "serial": self._serial,
            "rate": plan.rate,
            "burst": plan.burst,
            "want": action.amount,
            "least": action.min_units,
            "lifeMs": action.ttl_ms,
        }
        units = None
        while units is None and (left_s := started_at + TIMEOUT_S - self._loop.time()) > 0:
            answer = await self._holding.call(action.name, f"/v1/shares/{action.name}/take", body, left_s)
            if answer is not None and answer.status == 200:
                units = _parse_units(answer.body.get("units"), action.amount, action.min_units)
            if units is None:
                await self._holding.pause_before_retry()
        self.results["silent" if units is None else "granted" if units else "empty"] += 1
        self.granted_units += units or 0.0
        took_ms = (self._loop.time() - started_at) * 1000
        result = api.TIMED_OUT if units is None else api.OK
        on_reply(api.CountReply(action.name, result, units or 0.0, took_ms))

    def _spawn(self, coroutine: Coroutine) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _parse_units(value: object, wanted: float, minimum: float) -> float | None:
    """The granted units; None if the value is invalid."""
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return float(value) if is_number and 0 <= value <= max(wanted, minimum) + 1e-6 else None
