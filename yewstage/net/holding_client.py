"""Calls to the holding that belong to a key: those of one key one after another, as a rule at one leader."""

from __future__ import annotations

import asyncio
import random

import xxhash

from yewstage.net.config import Address
from yewstage.net.stats import DescriptorUse
from yewstage.registry.client import NoAnswerError, ServiceClient, ServiceReply

LANES = 16  # connections
TRY_S = 0.5  # after which another member is asked
REST_S = 0.02, 0.08


class HoldingClient:
    """Connections to members of the holding."""

    def __init__(self, addresses: tuple[Address, ...], rng: random.Random, use: DescriptorUse) -> None:
        self._rng = rng
        self._clients = [ServiceClient(addresses, rng, use) for _ in range(LANES)]

    async def call(
        self, key: str, path: str, body: dict[str, object], within_s: float
    ) -> ServiceReply | None:
        """One try; None where nothing sensible came in time. It may have been done all the same."""
        client = self._clients[xxhash.xxh64_intdigest(key.encode()) % LANES]
        try:
            async with asyncio.timeout(min(within_s, TRY_S)):
                return await client.call("POST", path, body)
        except (NoAnswerError, TimeoutError):
            return None

    async def pause_before_retry(self) -> None:
        """Between two tries."""
        await asyncio.sleep(self._rng.uniform(*REST_S))

    def close(self) -> None:
        """End them."""
        for client in self._clients:
            client.close()
