"""Rounds of faults on gateways that spend shares of one customer's quota: units over, at every moment.

Clients of all gateways ask for more than the quota gives, one request of one unit at a time each. A server
counts what comes. Marks are set all along; between any two of them no more may come than

    burst + rate x time + clients (a request each that may have been under way) + floors

where floors is 0 in `strict`, and in `bounded` the floor x gateways for each outage within.
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
MARK_S, FAULT_S, ROUND_S = 0.1, 4.0, 60.0
DEADLINE_MS = 2000.0
ASK = (
    f"GET /api/{CUSTOMER} HTTP/1.1\r\nHost: o\r\nX-Request-Id: r\r\nX-Class: view\r\nPlan: {PLAN}\r\n"
    f"X-Deadline: {DEADLINE_MS:.0f}m\r\nQuota-Info: units=1,spread=%d,first=0\r\n\r\n"
)


class SharesPlan(msgspec.Struct, forbid_unknown_fields=True, tag_field="kind", tag="shares"):
    """Gateways, a holding, one customer who wants more than it may have."""

    machines: Annotated[int, msgspec.Meta(ge=3, le=9)]
    gateways: Annotated[int, msgspec.Meta(ge=1, le=24)]
    clients: Annotated[int, msgspec.Meta(ge=1, le=20)]  # of each gateway
    rate: Annotated[float, msgspec.Meta(gt=0)]  # units a second
    burst: Annotated[float, msgspec.Meta(ge=1)]
    mode: Annotated[str, msgspec.Meta(pattern="^(strict|bounded|none)$")]  # none: as without the part
    faults: dict[str, float]
    floor: float = 0.0
    floor_ms: float = 0.0

    def check(self) -> None:
        """ValueError names the field."""
        check_weights(self.faults, FAULTS)
        if (self.mode == "bounded") != (self.floor > 0 and self.floor_ms > 0):
            raise ValueError("floor, floor_ms: must be above 0 in the mode bounded, and only there")


@dataclass
class SharesOutcome:
    """What came of all rounds."""

    rounds: int = 0
    served: int = 0
    refused: int = 0
    over: float = float("-inf")  # units over the bound at the worst moment; under 0: how far it stayed away
    beyond: float = 0.0  # units beyond burst + rate x time + clients at the worst moment: 0 in strict
    floors: float = 0.0  # what the formula allowed for outages, at the end
    used: float = 0.0  # part of what the quota gave over all the time
    quiet: list[float] = field(default_factory=list)  # the same, in rounds without a fault
    breach: str = ""


class _Counting(asyncio.Protocol):
    """A server that counts, and answers at once."""

    def __init__(self, count: list[int]) -> None:
        self._count = count

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        for _ in range(data.count(b"\r\n\r\n")):
            self._count[0] += 1
            self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


class SharesTorture:
    """Plays rounds."""

    def __init__(self, plan: SharesPlan, folder: Path, seed: int, say: Callable[[str], None]) -> None:
        self._plan, self._folder, self._say = plan, folder, say
        self._rng = np.random.default_rng(np.random.SeedSequence(seed))
        self.outcome = SharesOutcome()
        self._count = [0]
        self._marks: list[tuple[float, int, int]] = []  # time, units so far, outages so far
        self._outages = 0
        self._gateways: list[GatewayProcess] = []
        self._ways: list[list[TcpFaultProxy]] = []  # of each gateway, to each machine

    async def play(self, rounds: int) -> SharesOutcome:
        """All rounds, or up to the first breach."""
        server = await asyncio.get_running_loop().create_server(lambda: _Counting(self._count), HOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with Machines(self._folder, self._plan.machines, gone_ms=3000.0) as machines:
            await machines.init(machines.all, 2)
            await machines.wait_until_replicated()
            work: list[asyncio.Task] = []
            try:
                await self._start_gateways(machines, port)
                work = [asyncio.create_task(self._mark())]
                work += [
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
                for task in work:
                    task.cancel()
                await asyncio.gather(*work, return_exceptions=True)
                for gateway in self._gateways:
                    gateway.wake()
                    await gateway.kill()
                for way in [way for ways in self._ways for way in ways]:
                    await way.stop()
                server.close()
        first, last = self._marks[0], self._marks[-1]
        gave = self._plan.burst + self._plan.rate * (last[0] - first[0])
        self.outcome.used, self.outcome.served = self._count[0] / gave, self._count[0]
        self.outcome.floors = self._floors(self._outages)
        return self.outcome

    def _floors(self, outages: int) -> float:
        """What the formula allows beyond the quota for so many outages."""
        return self._plan.floor * self._plan.gateways * outages

    # --- The world ----------------------------------------------------------------------------------------

    async def _start_gateways(self, machines: Machines, port: int) -> None:
        plan = self._plan
        grade = {"name": "view", "objective_ms": 1500.0, "deadline_ms": DEADLINE_MS, "effect": "safe"}
        package = {"name": PLAN, "refill": plan.rate, "burst": plan.burst}
        for number in range(plan.gateways):
            ways = []
            for machine in machines.all:
                ways.append(TcpFaultProxy((HOST, machine.listen)))
                await ways[-1].start(HOST)
            self._ways.append(ways)
            raw: dict[str, object] = {
                "discovery": f"{HOST}:1",
                "seed": f"{number + 1:016x}",
                "limits": {"memory_mb": 192, "sockets": 512},
                "known": {"generation": 1, "reset": True, "instances": [listed("s", port)]},
                "settings": {
                    "grades": [grade],
                    "packages": [package],
                    "fleet_size": plan.gateways,
                    "me": number,
                    "tick_ms": 2.0,
                    "bounds": {"try_limit": 2, "cancel": True},
                },
                "holding": [f"{HOST}:{way.address[1]}" for way in ways],
            }
            if plan.mode != "none":
                floor = {"floor": plan.floor, "floor_ms": plan.floor_ms} if plan.mode == "bounded" else {}
                raw["shares"] = {PLAN: {"mode": plan.mode, **floor}}
            gateway = GatewayProcess(f"g{number}", self._folder / f"g{number}", raw)
            self._gateways.append(gateway)
            await gateway.start()

    async def _client(self, gateway: GatewayProcess) -> None:
        """One request after the other, for ever."""
        ask = (ASK % self._plan.gateways).encode()
        while True:
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000 + 0.5):
                    reader, writer = await asyncio.open_connection(HOST, gateway.listen)
                    try:
                        while True:
                            writer.write(ask)
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
        at = int(self._rng.integers(self._plan.gateways))
        self._say(f"round {number}: {fault} {self._gateways[at].name if fault.startswith('gateway') else ''}")
        self._outages += fault != "quiet"
        began, before = time.monotonic(), self._count[0]
        await self._strike(fault, self._gateways[at], self._ways[at], machines)
        if fault == "quiet":
            gave = self._plan.rate * (time.monotonic() - began)
            self.outcome.quiet.append((self._count[0] - before) / gave)
        async with asyncio.timeout(ROUND_S):
            await machines.wait_until_replicated()
        served = self._count[0]
        async with asyncio.timeout(ROUND_S):
            while self._count[0] < served + self._plan.rate:  # it is served again
                await asyncio.sleep(0.02)
        self._check()

    async def _strike(
        self, fault: str, gateway: GatewayProcess, ways: list[TcpFaultProxy], machines: Machines
    ) -> None:
        match fault:
            case "quiet":
                await asyncio.sleep(2 * FAULT_S)
            case "leader_lost":
                leader = await self._leader(machines)
                await leader.kill(disk_too=True)
                await machines.start(leader)
            case "leader_cut":  # from the other holders, and not from gateways: it must grant nothing more
                machines.isolate(await self._leader(machines))
                await asyncio.sleep(FAULT_S)
                machines.heal()
            case "leader_paused":  # it wakes to find that another one leads
                leader = await self._leader(machines)
                leader.pause()
                await asyncio.sleep(FAULT_S)
                leader.wake()
            case "clock_off":  # started again with a clock that is an hour ahead
                leader = await self._leader(machines)
                await leader.kill()
                leader.clock_s = 3600
                await machines.start(leader)
            case "gateway_killed":
                await gateway.kill()
                await gateway.start()
            case "all_gateways_killed":
                await asyncio.gather(*(one.kill() for one in self._gateways))
                await asyncio.gather(*(one.start() for one in self._gateways))
            case "gateway_stopped":
                gateway.pause()
                await asyncio.sleep(FAULT_S)  # longer than a share lasts
                gateway.wake()
            case "gateway_cut":
                for way in ways:
                    way.cut()
                await asyncio.sleep(FAULT_S)
                for way in ways:
                    way.heal()
            case "holding_slow":
                for way in (way for ways in self._ways for way in ways):
                    way.slow(0.7)  # longer than one try, shorter than all of them
                await asyncio.sleep(FAULT_S)
                for way in (way for ways in self._ways for way in ways):
                    way.heal()
            case "holding_down":  # a majority is not there, and then is
                down = machines.all[: self._plan.machines // 2 + 1]
                await self._restart(down, machines, FAULT_S)
            case "holding_killed":
                await self._restart(machines.all, machines, 0.0)

    @staticmethod
    async def _leader(machines: Machines) -> Machine:
        """Who grants this customer's shares."""
        return await machines.leader(group_of(quota_account_name(PLAN, CUSTOMER), 2))

    @staticmethod
    async def _restart(down: list[Machine], machines: Machines, after_s: float) -> None:
        await asyncio.gather(*(machine.kill() for machine in down))
        await asyncio.sleep(after_s)
        await asyncio.gather(*(machines.start(machine) for machine in down))

    # --- What must hold -----------------------------------------------------------------------------------

    async def _mark(self) -> None:
        while True:
            self._marks.append((time.monotonic(), self._count[0], self._outages))
            await asyncio.sleep(MARK_S)

    def _check(self) -> None:
        """Between any two marks; an outage of an earlier round may reach into the next mark's time."""
        marks = np.array(self._marks)
        under_way = self._plan.clients * self._plan.gateways
        for i in range(len(marks)):
            came = marks[i + 1 :, 1] - marks[i, 1]
            quota = self._plan.burst + self._plan.rate * (marks[i + 1 :, 0] - marks[i, 0]) + under_way
            outages = marks[i + 1 :, 2] - marks[max(i - int(FAULT_S / MARK_S), 0), 2]
            beyond = came - quota
            if len(beyond):
                self.outcome.beyond = max(self.outcome.beyond, float(beyond.max()))
                self.outcome.over = max(self.outcome.over, float((beyond - self._floors(1) * outages).max()))
        if self.outcome.over > 0:
            self.outcome.breach = f"{self.outcome.over:.1f} units over the bound"
