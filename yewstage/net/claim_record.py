"""Client of the holding's record of idempotency keys, which keeps a keyed request from running twice.

A gateway claims a key before it sends the request and settles the claim afterwards, as done or released.
Imported only where `holding` is configured. `yewstage/holding/calls.py` serves the calls, and
`yewstage/policy.py` decides what follows from a claim's result.
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
from yewstage.net.holding_client import ATTEMPT_TIMEOUT_S, HoldingClient
from yewstage.net.http1 import Reply
from yewstage.registry.client import ServiceReply

log = logging.getLogger(__name__)

SETTLE_TIMEOUT_S = 20.0  # a settlement is repeated for so long until it is acknowledged
MAX_PENDING_SETTLEMENTS = 2000  # a further one is dropped: its key stays claimed until its window is over
MAX_STORED_ANSWER_BYTES = 8 * 1024  # of a body; a longer one cannot be returned to a repeated request
RESULTS = ("yours", "done", "held", "silent")


@dataclass(slots=True)
class KeyClaim:
    """One request's claim of an idempotency key."""

    key: str
    claimant: str  # unique to the gateway process and the request
    result: str = ""  # one of RESULTS; empty until known
    is_abandoned: bool = False  # the request no longer needs it
    answer: Reply | None = None  # the stored answer, for the result "done"


class ClaimRecord:
    """Makes and settles the claims of one gateway process.

    Claims carry an id that is unique to the process: a claimant may repeat its own claim, and a restarted
    gateway must not count as the same claimant.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        client: HoldingClient,
        name: str,
    ) -> None:
        self._loop, self._client = loop, client
        self._process_id = f"{name[:40]}.{secrets.token_hex(8)}"
        self._tasks: set[asyncio.Task] = set()
        self.results = dict.fromkeys(RESULTS, 0)
        self.lost_settlements = 0  # settlements dropped or never acknowledged

    def claim(
        self,
        customer: str,
        class_name: str,
        key: bytes,
        request_id: str,
        window_ms: float,
        wait_ms: float,
        on_result: Callable[[str], None],
    ) -> KeyClaim:
        """Claim a key for at most `wait_ms`; `on_result` is called once, with one of RESULTS.

        Keys are separate for each customer and class, so that no customer gets another one's stored answer.
        """
        digest = hashlib.blake2b(b"\0".join((customer.encode(), class_name.encode(), key)), digest_size=20)
        claim = KeyClaim(digest.hexdigest(), f"{self._process_id}/{request_id}")
        self._spawn(self._claim(claim, window_ms, wait_ms, on_result))
        return claim

    def release(self, claim: KeyClaim) -> None:
        """Release the claim of a request that never ran; a pending claim once its result is known."""
        if claim.result:
            self._settle(claim, "release", {})
        claim.is_abandoned = True

    def complete(self, claim: KeyClaim, reply: Reply) -> None:
        """Settle the claim of a request that ran; a body above MAX_STORED_ANSWER_BYTES is not stored."""
        body: dict[str, object] = {"status": reply.status}
        if 0 < len(reply.body) <= MAX_STORED_ANSWER_BYTES:
            content_type = reply.headers.get(b"content-type", b"")
            body["answer"] = base64.b64encode(content_type + b"\n" + reply.body).decode()
        self._settle(claim, "done", body)

    def stop(self) -> None:
        """Cancel all pending claims and settlements."""
        for task in self._tasks:
            task.cancel()
        self._client.close()

    def metrics(self) -> dict[str, float]:
        """Return metric values by name and labels."""
        return {
            **{f'keyed_claims_total{{result="{result}"}}': n for result, n in self.results.items()},
            "keyed_ends_untold_total": self.lost_settlements,
            "keyed_ends_waiting": len(self._tasks),
        }

    async def _claim(
        self, claim: KeyClaim, window_ms: float, wait_ms: float, on_result: Callable[[str], None]
    ) -> None:
        deadline_s = self._loop.time() + wait_ms / 1000
        result = "silent"
        while (left_s := deadline_s - self._loop.time()) > 0 and not claim.is_abandoned:
            body = {"windowMs": window_ms}
            answer = await self._call(claim, "claim", body, left_s)
            if answer is not None and answer.status == 200:
                result = self._interpret_claim(claim, answer.body)
                break
            if answer is not None and answer.status not in (421, 503):
                log.warning(
                    Event(
                        "claim_refused",
                        "claim refused with status {status}: {why}",
                        status=answer.status,
                        why=str(answer.body.get("error", "")),
                    )
                )
                break
            await self._client.pause_before_retry()
        claim.result = result
        self.results[result] += 1
        if result == "silent" or (claim.is_abandoned and result == "yours"):
            self._settle(
                claim, "release", {}
            )  # the claim may have been made, and nothing was sent to a server
        on_result(result)

    @staticmethod
    def _interpret_claim(claim: KeyClaim, body: dict[str, object]) -> str:
        """Return the result for an answer to a claim; one done without a stored answer counts as "held"."""
        state, answer = body.get("state"), body.get("answer")
        if state == "yours":
            return "yours"
        if state == "done" and body.get("status") == 200 and isinstance(answer, str) and answer:
            try:
                content_type, _, data = base64.b64decode(answer, validate=True).partition(b"\n")
            except ValueError:
                return "held"
            claim.answer = Reply(200, {b"content-type": content_type}, data)
            return "done"
        return "held"

    def _settle(self, claim: KeyClaim, verb: str, body: dict[str, object]) -> None:
        if len(self._tasks) >= MAX_PENDING_SETTLEMENTS:
            self.lost_settlements += 1
            return
        self._spawn(self._settle_until_acknowledged(claim, verb, body))

    async def _settle_until_acknowledged(self, claim: KeyClaim, verb: str, body: dict[str, object]) -> None:
        """Repeat a settlement until it is acknowledged; the call is idempotent."""
        deadline_s = self._loop.time() + SETTLE_TIMEOUT_S
        while self._loop.time() < deadline_s:
            answer = await self._call(claim, verb, body, ATTEMPT_TIMEOUT_S)
            if answer is not None and answer.status not in (421, 503):
                return
            await self._client.pause_before_retry()
        self.lost_settlements += 1

    async def _call(
        self, claim: KeyClaim, verb: str, body: dict[str, object], timeout_s: float
    ) -> ServiceReply | None:
        path = f"/v1/keys/{claim.key}/{verb}"
        return await self._client.call(claim.key, path, {"by": claim.claimant, **body}, timeout_s)

    def _spawn(self, coroutine: Coroutine) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
