"""A fleet of real gateway processes that gossip, with a UDP fault proxy for each pair and direction."""

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

POLL_INTERVAL_S = 0.02
STATUS_TIMEOUT_S = 1.0
SETTINGS = {
    "grades": [{"name": "view", "objective_ms": 1500.0, "deadline_ms": 4000.0, "effect": "safe"}],
    "packages": [{"name": "open"}],
    "bounds": {"try_limit": 3, "cancel": True},
    "me": 0,
}


class Fleet:
    """All gateways of the fleet. `links` has the proxy for what one gateway sends to another, by (from, to).

    The configuration of each gateway has the proxies as the addresses of its peers.
    """

    def __init__(
        self, folder: Path, size: int, keys: list[str], seed: int = 1, period_ms: float = 200.0
    ) -> None:
        self.keys, self._probe_period_ms, self._rng = keys, period_ms, random.Random(seed)
        self.names = [f"g{i}" for i in range(size)]
        self.zone = {name: ZONES[i % len(ZONES)] for i, name in enumerate(self.names)}
        self.links: dict[tuple[str, str], UdpFaultProxy] = {}
        settings = SETTINGS | {"fleet_size": size}
        config = {
            "discovery": f"{HOST}:1",
            "seed": "1",
            "limits": {"memory_mb": 192, "sockets": 512},
            "settings": settings,
            "known": {"generation": 1, "reset": True, "instances": [listed("s0", 1)]},
        }
        self.gateways = {name: GatewayProcess(name, folder / name, config) for name in self.names}

    async def __aenter__(self) -> Fleet:
        for sender in self.names:
            for receiver in self.names:
                if sender != receiver:
                    link = self.links[sender, receiver] = UdpFaultProxy((HOST, 1), self._rng)
                    await link.start(HOST)
        await asyncio.gather(*(self.start(name) for name in self.names))
        return self

    async def __aexit__(self, *exc: object) -> None:
        for gateway in self.gateways.values():
            if gateway.is_up():
                gateway.resume()
                await gateway.kill()
        for link in self.links.values():
            link.stop()

    def peers(self, name: str, **changes: object) -> dict[str, object]:
        """The field `peers` of a gateway's configuration."""
        gateway = self.gateways[name]
        proxy_addresses = {
            receiver: f"{HOST}:{link.address[1]}"
            for (sender, receiver), link in self.links.items()
            if sender == name
        }
        return {
            "cluster": "lagos",
            "listen": f"{HOST}:{gateway.members}",
            "zone": self.zone[name],
            "region": "west",
            "keys": self.keys,
            "seeds": list(proxy_addresses.values())[:2],
            "reach": proxy_addresses,
            "period_ms": self._probe_period_ms,
            "answer_ms": self._probe_period_ms * 0.3,
        } | changes

    async def start(self, name: str, **changes: object) -> None:
        """Start a gateway and point the links to it at its port."""
        gateway = self.gateways[name]
        gateway.set(peers=self.peers(name, **changes))
        await gateway.start()
        for (_, receiver), link in self.links.items():
            if receiver == name:
                link.target = (HOST, gateway.members)

    def set_keys(self, name: str, keys: list[str]) -> None:
        """Change a gateway's keys; by SIGHUP if it is up, else from its next start on."""
        self.gateways[name].set(peers=self.peers(name, keys=keys))
        if self.gateways[name].is_up():
            self.gateways[name].process.send_signal(signal.SIGHUP)

    # --- Faults -------------------------------------------------------------------------------------------

    def cut(self, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """Drop all datagrams from the first set of gateways to the second."""
        for sender in senders:
            for receiver in receivers:
                if sender != receiver:
                    self.links[sender, receiver].forward.lost = 1.0

    def partition(self, members: Iterable[str]) -> None:
        """Partition the fleet: drop all datagrams between these gateways and the rest."""
        inside = set(members)
        outside = set(self.names) - inside
        self.cut(inside, outside)
        self.cut(outside, inside)

    def lose(self, share: float) -> None:
        """Drop this share of the datagrams on all links, at random."""
        for link in self.links.values():
            link.forward.lost = share

    def heal(self) -> None:
        """Remove the faults of all links."""
        for link in self.links.values():
            link.heal()

    # --- Status -------------------------------------------------------------------------------------------

    async def status(self, name: str) -> dict[str, object]:
        """A gateway's page /ops/members; empty if it does not answer."""
        return await get_once((HOST, self.gateways[name].ops), "/ops/members", STATUS_TIMEOUT_S)

    async def states(self, name: str) -> dict[str, str]:
        """The state of each member, as this gateway sees it."""
        return {row["name"]: row["state"] for row in (await self.status(name)).get("members", ())}

    async def wait_for_states(self, seen_by: Iterable[str], states: dict[str, str]) -> None:
        """Wait until each gateway of `seen_by` sees these states; other members may have any state."""
        for name in seen_by:
            while True:
                seen = await self.states(name)
                if all(seen.get(member) == state for member, state in states.items()):
                    break
                await asyncio.sleep(POLL_INTERVAL_S)
