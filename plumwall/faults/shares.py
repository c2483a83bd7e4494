"""Rounds of faults on gateways that spend shares of one customer's quota: the quota must never be exceeded.

Clients of all gateways ask for more than the quota allows, each with one request of one unit at a time. A
server counts the requests it receives, and the count is sampled all the time. Between any two samples the
server may receive at most

    burst + rate x time + clients (each may have had one request under way) + floors

where floors is 0 in the mode `strict`, and floor x gateways for each outage in between in `bounded`.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import msgspec
import numpy as np

from plumwall.faults.gateways import GatewayProcess, check_weights, listed
from plumwall.faults.links import TcpFaultProxy
from plumwall.faults.machines import HOST, Machine, Machines
from yewstage.holding.group_names import group_of
from yewstage.policy import quota_account_name

FAULTS = (
    "quiet",
    "leader_lost",
    "leader_cut",
    "leader_paused",
    "clock_off",
    "gateway_killed",
    "all_gateways_killed",
    "gateway_stopped",
    "gateway_cut",
    "holding_down",
    "holding_slow",
    "holding_killed",
)
CUSTOMER, PLAN = "00000000000000aa", "basic"
SAMPLE_INTERVAL_S, FAULT_DURATION_S, ROUND_TIMEOUT_S = 0.1, 4.0, 60.0
DEADLINE_MS = 2000.0
ASK = (
    f"GET /api/{CUSTOMER} HTTP/1.1\r\nHost: o\r\nX-Request-Id: r\r\nX-Class: view\r\nPlan: {PLAN}\r\n"
    f"X-Deadline: {DEADLINE_MS:.0f}m\r\nQuota-Info: units=1,spread=%d,first=0\r\n\r\n"
)


class SharesPlan(msgspec.Struct, forbid_unknown_fields=True, tag_field="kind", tag="shares"):
    """Plan of rounds on gateways that share the quota of one customer, who asks for more than the quota."""

    machines: Annotated[int, msgspec.Meta(ge=3, le=9)]
    gateways: Annotated[int, msgspec.Meta(ge=1, le=24)]
    clients: Annotated[int, msgspec.Meta(ge=1, le=20)]  # of each gateway
    rate: Annotated[float, msgspec.Meta(gt=0)]  # units a second
    burst: Annotated[float, msgspec.Meta(ge=1)]
    mode: Annotated[str, msgspec.Meta(pattern="^(strict|bounded|none)$")]  # none: gateways without shares
    faults: dict[str, float]  # weight of each fault
    floor: float = 0.0  # units that a gateway may spend in an outage of the holding
    floor_ms: float = 0.0  # time within which it may spend them

    def check(self) -> None:
        """Check the fields against each other; ValueError names the field."""
        check_weights(self.faults, FAULTS)
        if (self.mode == "bounded") != (self.floor > 0 and self.floor_ms > 0):
            raise ValueError("floor, floor_ms: must be above 0 in the mode bounded, and 0 in the other modes")


@dataclass
class SharesOutcome:
    """Results of all rounds."""

    rounds: int = 0
    served: int = 0
    refused: int = 0
    # Largest excess over the bound, in units; below 0: the smallest distance from it.
    max_excess: float = float("-inf")
    max_beyond_quota: float = 0.0  # largest excess over burst + rate x time + clients, in units; 0 in strict
    allowed_floors: float = 0.0  # units that the formula allowed for all outages
    used_share: float = 0.0  # share of the quota that was used, over all rounds
    # share that was used, in each round without a fault
    quiet_used_shares: list[float] = field(default_factory=list)
    breach: str = ""


class _CountingServer(asyncio.Protocol):
    """A server that counts requests and answers them at once."""

    def __init__(self, count: list[int]) -> None:
        self._count = count

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        for _ in range(data.count(b"\r\n\r\n")):
            self._count[0] += 1
            self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


class SharesTorture:
    """Runs the rounds of a plan; a seed determines the faults."""

    def __init__(self, plan: SharesPlan, folder: Path, seed: int, say: Callable[[str], None]) -> None:
        self._plan, self._folder, self._say = plan, folder, say
        self._rng = np.random.default_rng(np.random.SeedSequence(seed))
        self.outcome = SharesOutcome()
        self._count = [0]
        self._samples: list[tuple[float, int, int]] = []  # time, units and outages up to then
        self._outages = 0
        self._gateways: list[GatewayProcess] = []
        self._links: list[list[TcpFaultProxy]] = []  # of each gateway: its links to the machines

    async def play(self, rounds: int) -> SharesOutcome:
        """Run all rounds, or up to the first violation of the bound."""
        server = await asyncio.get_running_loop().create_server(lambda: _CountingServer(self._count), HOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with Machines(self._folder, self._plan.machines, gone_ms=3000.0) as machines:
            await machines.init(machines.all, 2)
            await machines.wait_until_replicated()
            tasks: list[asyncio.Task] = []
            try:
                await self._start_gateways(machines, port)
                tasks = [asyncio.create_task(self._sample())]
                tasks += [
                    asyncio.create_task(self._client(gateway))
                    for gateway in self._gateways
                    for _ in range(self._plan.clients)
                ]
                for number in range(1, rounds + 1):
                    await self._round(number, machines)
                    self.outcome.rounds = number
                    if self.outcome.breach:
                        break
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                for gateway in self._gateways:
                    gateway.resume()
                    await gateway.kill()
                for link in [link for links in self._links for link in links]:
                    await link.stop()
                server.close()
        first, last = self._samples[0], self._samples[-1]
        quota_units = self._plan.burst + self._plan.rate * (last[0] - first[0])
        self.outcome.used_share, self.outcome.served = self._count[0] / quota_units, self._count[0]
        self.outcome.allowed_floors = self._allowed_floors(self._outages)
        return self.outcome

    def _allowed_floors(self, outages: int) -> float:
        """Units that the formula allows beyond the quota for this number of outages."""
        return self._plan.floor * self._plan.gateways * outages

    # --- Set-up -------------------------------------------------------------------------------------------

    async def _start_gateways(self, machines: Machines, port: int) -> None:
        plan = self._plan
        request_class = {"name": "view", "objective_ms": 1500.0, "deadline_ms": DEADLINE_MS, "effect": "safe"}
        quota_plan = {"name": PLAN, "refill": plan.rate, "burst": plan.burst}
        for number in range(plan.gateways):
            links = []
            for machine in machines.all:
                links.append(TcpFaultProxy((HOST, machine.listen)))
                await links[-1].start(HOST)
            self._links.append(links)
            config: dict[str, object] = {
                "discovery": f"{HOST}:1",
                "seed": f"{number + 1:016x}",
                "limits": {"memory_mb": 192, "sockets": 512},
                "known": {"generation": 1, "reset": True, "instances": [listed("s", port)]},
                "settings": {
                    "grades": [request_class],
                    "packages": [quota_plan],
                    "fleet_size": plan.gateways,
                    "me": number,
                    "tick_ms": 2.0,
                    "bounds": {"try_limit": 2, "cancel": True},
                },
                "holding": [f"{HOST}:{link.address[1]}" for link in links],
            }
            if plan.mode != "none":
                floor = {"floor": plan.floor, "floor_ms": plan.floor_ms} if plan.mode == "bounded" else {}
                config["shares"] = {PLAN: {"mode": plan.mode, **floor}}
            gateway = GatewayProcess(f"g{number}", self._folder / f"g{number}", config)
            self._gateways.append(gateway)
            await gateway.start()

    async def _client(self, gateway: GatewayProcess) -> None:
        """Send requests through a gateway, one at a time, until cancelled."""
        request = (ASK % self._plan.gateways).encode()
        while True:
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000 + 0.5):
                    reader, writer = await asyncio.open_connection(HOST, gateway.listen)
                    try:
                        while True:
                            writer.write(request)
                            head = await reader.readuntil(b"\r\n\r\n")
                            if head.startswith(b"HTTP/1.1 200"):
                                await reader.readexactly(2)
                            else:
                                self.outcome.refused += 1
                                break
                    finally:
                        writer.transport.abort()
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)

    # --- Rounds -------------------------------------------------------------------------------------------

    async def _round(self, number: int, machines: Machines) -> None:
        names, weights = list(self._plan.faults), np.array(list(self._plan.faults.values()))
        fault = str(self._rng.choice(names, p=weights / weights.sum()))
        target = int(self._rng.integers(self._plan.gateways))
        self._say(
            f"round {number}: {fault} {self._gateways[target].name if fault.startswith('gateway') else ''}"
        )
        self._outages += fault != "quiet"
        began, before = time.monotonic(), self._count[0]
        await self._inject(fault, self._gateways[target], self._links[target], machines)
        if fault == "quiet":
            quota_units = self._plan.rate * (time.monotonic() - began)
            self.outcome.quiet_used_shares.append((self._count[0] - before) / quota_units)
        async with asyncio.timeout(ROUND_TIMEOUT_S):
            await machines.wait_until_replicated()
        served = self._count[0]
        async with asyncio.timeout(ROUND_TIMEOUT_S):
            while self._count[0] < served + self._plan.rate:  # until requests are served again
                await asyncio.sleep(0.02)
        self._check()

    async def _inject(
        self, fault: str, gateway: GatewayProcess, links: list[TcpFaultProxy], machines: Machines
    ) -> None:
        match fault:
            case "quiet":
                await asyncio.sleep(2 * FAULT_DURATION_S)
            case "leader_lost":
                leader = await self._leader(machines)
                await leader.kill(delete_state=True)
                await machines.start(leader)
            case "leader_cut":  # from the other machines, not from the gateways: it must grant no more
                machines.isolate(await self._leader(machines))
                await asyncio.sleep(FAULT_DURATION_S)
                machines.heal()
            case "leader_paused":  # when it resumes, another machine leads
                leader = await self._leader(machines)
                leader.pause()
                await asyncio.sleep(FAULT_DURATION_S)
                leader.resume()
            case "clock_off":  # restarted with a wall clock that is an hour ahead
                leader = await self._leader(machines)
                await leader.kill()
                leader.clock_s = 3600
                await machines.start(leader)
            case "gateway_killed":
                await gateway.kill()
                await gateway.start()
            case "all_gateways_killed":
                await asyncio.gather(*(each.kill() for each in self._gateways))
                await asyncio.gather(*(each.start() for each in self._gateways))
            case "gateway_stopped":
                gateway.pause()
                await asyncio.sleep(FAULT_DURATION_S)  # longer than a share is valid
                gateway.resume()
            case "gateway_cut":
                for link in links:
                    link.cut()
                await asyncio.sleep(FAULT_DURATION_S)
                for link in links:
                    link.heal()
            case "holding_slow":
                for link in (link for links in self._links for link in links):
                    link.slow(0.7)  # longer than one attempt, shorter than all attempts of a call
                await asyncio.sleep(FAULT_DURATION_S)
                for link in (link for links in self._links for link in links):
                    link.heal()
            case "holding_down":  # a majority is down for a time
                down = machines.all[: self._plan.machines // 2 + 1]
                await self._restart(down, machines, FAULT_DURATION_S)
            case "holding_killed":
                await self._restart(machines.all, machines, 0.0)

    @staticmethod
    async def _leader(machines: Machines) -> Machine:
        """The machine that grants this customer's shares: the leader of the account's group."""
        return await machines.leader(group_of(quota_account_name(PLAN, CUSTOMER), 2))

    @staticmethod
    async def _restart(down: list[Machine], machines: Machines, downtime_s: float) -> None:
        await asyncio.gather(*(machine.kill() for machine in down))
        await asyncio.sleep(downtime_s)
        await asyncio.gather(*(machines.start(machine) for machine in down))

    # --- Invariant ----------------------------------------------------------------------------------------

    async def _sample(self) -> None:
        while True:
            self._samples.append((time.monotonic(), self._count[0], self._outages))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _check(self) -> None:
        """Check the bound between any two samples.

        An outage that began up to `FAULT_DURATION_S` before the first sample counts too, since its floors
        may be spent after it.
        """
        samples = np.array(self._samples)
        in_flight = self._plan.clients * self._plan.gateways
        for i in range(len(samples)):
            received = samples[i + 1 :, 1] - samples[i, 1]
            quota = self._plan.burst + self._plan.rate * (samples[i + 1 :, 0] - samples[i, 0]) + in_flight
            outages = samples[i + 1 :, 2] - samples[max(i - int(FAULT_DURATION_S / SAMPLE_INTERVAL_S), 0), 2]
            beyond = received - quota
            if len(beyond):
                self.outcome.max_beyond_quota = max(self.outcome.max_beyond_quota, float(beyond.max()))
                self.outcome.max_excess = max(
                    self.outcome.max_excess, float((beyond - self._allowed_floors(1) * outages).max())
                )
        if self.outcome.max_excess > 0:
            self.outcome.breach = f"{self.outcome.max_excess:.1f} units over the bound"
