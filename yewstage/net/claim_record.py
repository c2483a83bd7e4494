"""The record of keyed requests, as a gateway asks it: a claim before anything is sent, its end after.

Loaded only where `holding` is configured. Calls are the holding's (`yewstage/holding/calls.py`); the decision
what to do with a claim's result is the module's.
"""

from __future__ import annotations

import asyncio
import base64
import hashlib
import logging
import secrets
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

from yewstage.log import Event
from yewstage.net.holding_client import TRY_S, HoldingClient
from yewstage.net.http1 import Reply
from yewstage.registry.client import ServiceReply

log = logging.getLogger(__name__)

SETTLE_S = 20.0  # for how long an end is told again until it is heard
MOST_TOLD = 2000  # ends that wait to be heard; past that a key stays claimed until its window is over
LONGEST_KEPT = 8 * 1024  # an answer's body, to be given again
RESULTS = ("yours", "done", "held", "silent")


@dataclass(slots=True)
class KeyClaim:
    """One request's claim."""

    key: str
    by: str
    result: str = ""  # empty: not known yet
    left: bool = False  # wanted no more
    answer: Reply | None = None  # as the record has it


class ClaimRecord:
    """All claims of one gateway's life."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        lanes: HoldingClient,
        name: str,
    ) -> None:
        self._loop, self._lanes = loop, lanes
        self._life = f"{name[:40]}.{secrets.token_hex(8)}"
        self._tasks: set[asyncio.Task] = set()
        self.results = dict.fromkeys(RESULTS, 0)
        self.untold = 0  # ends that were given up

    def claim(
        self,
        customer: str,
        class_name: str,
        key: bytes,
        rid: str,
        window_ms: float,
        wait_ms: float,
        told: Callable[[str], None],
    ) -> KeyClaim:
        """Claim a key; `told` is called once, with a result. A key is one customer's, of one class: nobody
        learns by it what another was answered."""
        name = hashlib.blake2b(b"\0".join((customer.encode(), class_name.encode(), key)), digest_size=20)
        held = KeyClaim(name.hexdigest(), f"{self._life}/{rid}")
        self._spawn(self._claim(held, window_ms, wait_ms, told))
        return held

    def release(self, held: KeyClaim) -> None:
        """It never ran. A claim that is still being asked for is given up as soon as that is known."""
        if held.result:
            self._settle(held, "release", {})
        held.left = True

    def complete(self, held: KeyClaim, reply: Reply) -> None:
        """It ran, and this is what came of it. An answer that is long is known as done only."""
        body: dict[str, object] = {"status": reply.status}
        if 0 < len(reply.body) <= LONGEST_KEPT:
            kind = reply.headers.get(b"content-type", b"")
            body["answer"] = base64.b64encode(kind + b"\n" + reply.body).decode()
        self._settle(held, "done", body)

    def stop(self) -> None:
        """Ask no more."""
        for task in self._tasks:
            task.cancel()
        self._lanes.close()

    def metrics(self) -> dict[str, float]:
        """What operators read."""
        return {
            **{f'keyed_claims_total{{result="{name}"}}': n for name, n in self.results.items()},
            "keyed_ends_untold_total": self.untold,
            "keyed_ends_waiting": len(self._tasks),
        }

    async def _claim(
        self, held: KeyClaim, window_ms: float, wait_ms: float, told: Callable[[str], None]
    ) -> None:
        until = self._loop.time() + wait_ms / 1000
        result = "silent"
        while (left_s := until - self._loop.time()) > 0 and not held.left:
            body = {"windowMs": window_ms}
            answer = await self._call(held, "claim", body, left_s)
            if answer is not None and answer.status == 200:
                result = self._understood(held, answer.body)
                break
            if answer is not None and answer.status not in (421, 503):
                log.warning(
                    Event(
                        "claim_refused",
                        "a claim was answered {status}: {why}",
                        status=answer.status,
                        why=str(answer.body.get("error", "")),
                    )
                )
                break
            await self._lanes.pause_before_retry()
        held.result = result
        self.results[result] += 1
        if result == "silent" or (held.left and result == "yours"):
            self._settle(held, "release", {})  # it may have been taken, and nothing was sent
        told(result)

    @staticmethod
    def _understood(held: KeyClaim, body: dict[str, object]) -> str:
        """What an answer to a claim means. A done one whose answer is not there is like one that is held."""
        state, answer = body.get("state"), body.get("answer")
        if state == "yours":
            return "yours"
        if state == "done" and body.get("status") == 200 and isinstance(answer, str) and answer:
            try:
                kind, _, data = base64.b64decode(answer, validate=True).partition(b"\n")
            except ValueError:
                return "held"
            held.answer = Reply(200, {b"content-type": kind}, data)
            return "done"
        return "held"

    def _settle(self, held: KeyClaim, verb: str, body: dict[str, object]) -> None:
        if len(self._tasks) >= MOST_TOLD:
            self.untold += 1
            return
        self._spawn(self._tell(held, verb, body))

    async def _tell(self, held: KeyClaim, verb: str, body: dict[str, object]) -> None:
        """Tell an end until it is heard; repeating it is harmless."""
        until = self._loop.time() + SETTLE_S
        while self._loop.time() < until:
            answer = await self._call(held, verb, body, TRY_S)
            if answer is not None and answer.status not in (421, 503):
                return
            await self._lanes.pause_before_retry()
        self.untold += 1

    async def _call(
        self, held: KeyClaim, verb: str, body: dict[str, object], within_s: float
    ) -> ServiceReply | None:
        path = f"/v1/keys/{held.key}/{verb}"
        return await self._lanes.call(held.key, path, {"by": held.by, **body}, within_s)

    def _spawn(self, work: Coroutine) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
