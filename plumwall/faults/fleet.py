"""Gateways that are members of a fleet: real processes, with a stand-in for each direction of each link."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Iterable
from pathlib import Path

from plumwall.faults.gateways import GatewayProcess, listed
from plumwall.faults.links import UdpFaultProxy
from plumwall.faults.machines import HOST, ZONES
from yewstage.registry.client import get_once

LOOK_S = 0.02
STATUS_S = 1.0
SETTINGS = {
    "grades": [{"name": "view", "objective_ms": 1500.0, "deadline_ms": 4000.0, "effect": "safe"}],
    "packages": [{"name": "open"}],
    "bounds": {"try_limit": 3, "cancel": True},
    "me": 0,
}


class Fleet:
    """All of them. What one sends to another goes through that pair's own stand-in."""

    def __init__(
        self, folder: Path, size: int, keys: list[str], seed: int = 1, period_ms: float = 200.0
    ) -> None:
        self.keys, self._period_ms, self._rng = keys, period_ms, random.Random(seed)
        self.names = [f"g{i}" for i in range(size)]
        self.zone = {name: ZONES[i % len(ZONES)] for i, name in enumerate(self.names)}
        self.links: dict[tuple[str, str], UdpFaultProxy] = {}
        settings = SETTINGS | {"fleet_size": size}
        raw = {
            "discovery": f"{HOST}:1",
            "seed": "1",
            "limits": {"memory_mb": 192, "sockets": 512},
            "settings": settings,
            "known": {"generation": 1, "reset": True, "instances": [listed("s0", 1)]},
        }
        self.gateways = {name: GatewayProcess(name, folder / name, raw) for name in self.names}

    async def __aenter__(self) -> Fleet:
        for one in self.names:
            for other in self.names:
                if one != other:
                    link = self.links[one, other] = UdpFaultProxy((HOST, 1), self._rng)
                    await link.start(HOST)
        await asyncio.gather(*(self.start(name) for name in self.names))
        return self

    async def __aexit__(self, *exc: object) -> None:
        for gateway in self.gateways.values():
            if gateway.up():
                gateway.wake()
                await gateway.kill()
        for link in self.links.values():
            link.stop()

    def peers(self, name: str, **changes: object) -> dict[str, object]:
        """One's own part of the configuration."""
        gateway = self.gateways[name]
        reach = {
            other: f"{HOST}:{link.address[1]}" for (one, other), link in self.links.items() if one == name
        }
        return {
            "cluster": "lagos",
            "listen": f"{HOST}:{gateway.members}",
            "zone": self.zone[name],
            "region": "west",
            "keys": self.keys,
            "seeds": list(reach.values())[:2],
            "reach": reach,
            "period_ms": self._period_ms,
            "answer_ms": self._period_ms * 0.3,
        } | changes

    async def start(self, name: str, **changes: object) -> None:
        """Start one, and lead the links to it where it is."""
        gateway = self.gateways[name]
        gateway.set(peers=self.peers(name, **changes))
        await gateway.start()
        for (_, other), link in self.links.items():
            if other == name:
                link.target = (HOST, gateway.members)

    def rekey(self, name: str, keys: list[str]) -> None:
        """Other keys, by SIGHUP where it runs."""
        self.gateways[name].set(peers=self.peers(name, keys=keys))
        if self.gateways[name].up():
            self.gateways[name].process.send_signal(signal.SIGHUP)

    # --- Faults -------------------------------------------------------------------------------------------

    def cut(self, from_: Iterable[str], to: Iterable[str]) -> None:
        """All that these send to those is lost."""
        for one in from_:
            for other in to:
                if one != other:
                    self.links[one, other].forward.lost = 1.0

    def split(self, part: Iterable[str]) -> None:
        """A part hears nothing of the rest, nor the rest of it."""
        inside = set(part)
        outside = set(self.names) - inside
        self.cut(inside, outside)
        self.cut(outside, inside)

    def lose(self, share: float) -> None:
        """Each datagram is lost by itself."""
        for link in self.links.values():
            link.forward.lost = share

    def heal(self) -> None:
        """All links are as new."""
        for link in self.links.values():
            link.heal()

    # --- What is known ------------------------------------------------------------------------------------

    async def status(self, name: str) -> dict[str, object]:
        """What one says; nothing where it does not answer."""
        return await get_once((HOST, self.gateways[name].ops), "/ops/members", STATUS_S)

    async def states(self, name: str) -> dict[str, str]:
        """How one sees each."""
        return {row["name"]: row["state"] for row in (await self.status(name)).get("members", ())}

    async def until(self, seen_by: Iterable[str], states: dict[str, str]) -> None:
        """Wait until each of these sees just that of those."""
        for name in seen_by:
            while True:
                seen = await self.states(name)
                if all(seen.get(one) == state for one, state in states.items()):
                    break
                await asyncio.sleep(LOOK_S)
