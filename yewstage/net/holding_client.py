"""Calls to the holding about a key.

All calls about one key use the same connection, in order, and usually reach the same leader.
"""

from __future__ import annotations

import asyncio
import random

import xxhash

from yewstage.net.config import Address
from yewstage.net.stats import DescriptorUse
from yewstage.registry.client import NoAnswerError, ServiceClient, ServiceReply

CONNECTION_COUNT = 16
ATTEMPT_TIMEOUT_S = 0.5  # per attempt; the next one asks another member
RETRY_DELAY_S = 0.02, 0.08  # bounds of a random delay


class HoldingClient:
    """A fixed set of connections to members of the holding, chosen by a hash of the key."""

    def __init__(self, addresses: tuple[Address, ...], rng: random.Random, use: DescriptorUse) -> None:
        self._rng = rng
        self._clients = [ServiceClient(addresses, rng, use) for _ in range(CONNECTION_COUNT)]

    async def call(
        self, key: str, path: str, body: dict[str, object], timeout_s: float
    ) -> ServiceReply | None:
        """Make one attempt; None without a valid answer in time, although the call may have taken effect."""
        client = self._clients[xxhash.xxh64_intdigest(key.encode()) % CONNECTION_COUNT]
        try:
            async with asyncio.timeout(min(timeout_s, ATTEMPT_TIMEOUT_S)):
                return await client.call("POST", path, body)
        except (NoAnswerError, TimeoutError):
            return None

    async def pause_before_retry(self) -> None:
        """Wait for a short random time before the next attempt."""
        await asyncio.sleep(self._rng.uniform(*RETRY_DELAY_S))

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            client.close()
