"""Rounds of faults on the gateways of a fleet: measures failure detection and checks its invariants.

Invariants, checked all the time: a gateway without a fault sees no other gateway without a fault as dead, and
no gateway reports shared data about a server that is older than the table's limit. After each round all
gateways have to agree again on which members are alive, and on the incarnation (`life`) of each.
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

from plumwall.faults.fleet import POLL_INTERVAL_S, Fleet
from plumwall.faults.gateways import check_weights
from plumwall.faults.machines import HOST
from yewstage.net.peers import SERVERS_TABLE

FAULTS = ("killed", "stopped", "left", "deaf", "mute", "zone_cut", "lossy", "late", "all_killed")
DETECTED_FAULTS = ("killed", "stopped", "mute", "zone_cut")  # the other gateways have to detect these
ROUND_TIMEOUT_S = 90.0  # for the detection of a fault, and again for the agreement after it
FAULT_DURATION_S = 4.0  # of the faults that are not in DETECTED_FAULTS
GOSSIP_KEY = "aa" * 16


class MembersPlan(msgspec.Struct, forbid_unknown_fields=True, tag_field="kind", tag="members"):
    """Plan of rounds on gateways that detect the failures of each other."""

    gateways: Annotated[int, msgspec.Meta(ge=4, le=30)]
    period_ms: Annotated[float, msgspec.Meta(ge=100)]
    loss: Annotated[float, msgspec.Meta(ge=0, lt=1)]  # share of the datagrams dropped, at all times
    faults: dict[str, float]  # weight of each fault

    def check(self) -> None:
        """ValueError names the field."""
        check_weights(self.faults, FAULTS)


@dataclass
class MembersOutcome:
    """Results of all rounds."""

    rounds: int = 0
    # from each fault until the first gateway detects it
    first_detected_s: list[float] = field(default_factory=list)
    # from each fault until the last gateway detects it
    last_detected_s: list[float] = field(default_factory=list)
    agreed_s: list[float] = field(default_factory=list)  # from the end of each fault until all gateways agree
    false_dead: int = 0  # gateways without a fault that were seen as dead
    polls: int = 0  # polls of the whole fleet's status
    max_age_ms: float = 0.0  # greatest age of shared data about a server that a gateway reported
    bytes_per_s: float = 0.0  # sent by one gateway, mean over all rounds
    breach: str = ""


class MembersTorture:
    """Runs the rounds of a plan; a seed determines the faults."""

    def __init__(self, plan: MembersPlan, folder: Path, seed: int, say: Callable[[str], None]) -> None:
        self._plan, self._say = plan, say
        self._rng = np.random.default_rng(np.random.SeedSequence(seed))
        self.fleet = Fleet(folder, plan.gateways, [GOSSIP_KEY], seed, plan.period_ms)
        self.outcome = MembersOutcome()
        self._sent_bytes: dict[tuple[str, str], float] = {}  # bytes, by gateway and incarnation

    async def play(self, rounds: int) -> MembersOutcome:
        """Run all rounds, or up to the first violated invariant."""
        began = time.monotonic()
        async with self.fleet:
            try:
                await self._wait_until_agreed()
                await self._report_failing_server()
                for number in range(1, rounds + 1):
                    await self._round(number)
                    self.outcome.rounds = number
            except TimeoutError:
                self.outcome.breach = (
                    self.outcome.breach or f"no detection or no agreement within {ROUND_TIMEOUT_S:.0f} s"
                )
            except AssertionError as breach:
                self.outcome.breach = str(breach)
            await self._poll_statuses()
        gateway_seconds = (time.monotonic() - began) * self._plan.gateways
        self.outcome.bytes_per_s = sum(self._sent_bytes.values()) / gateway_seconds
        return self.outcome

    async def _round(self, number: int) -> None:
        names, weights = list(self._plan.faults), np.array(list(self._plan.faults.values()))
        fault = str(self._rng.choice(names, p=weights / weights.sum()))
        targets = self._draw_targets(fault)
        self._say(f"round {number}: {fault} {', '.join(sorted(targets))}")
        others = [name for name in self.fleet.names if name not in targets]
        began = time.monotonic()
        await self._inject(fault, targets)
        if fault in DETECTED_FAULTS:
            await self._measure_detection(targets, others, began)
        elif fault != "all_killed":
            await self._poll_for(targets, others, FAULT_DURATION_S)
        await self._repair(fault, targets)
        began = time.monotonic()
        await self._wait_until_agreed()
        self.outcome.agreed_s.append(time.monotonic() - began)

    def _draw_targets(self, fault: str) -> set[str]:
        names = self.fleet.names
        if fault == "all_killed":
            return set(names)
        if fault in ("lossy", "late"):
            return set()
        target = names[int(self._rng.integers(len(names)))]
        if fault == "zone_cut":
            return {name for name in names if self.fleet.zone[name] == self.fleet.zone[target]}
        return {target}

    async def _inject(self, fault: str, targets: set[str]) -> None:
        fleet, others = self.fleet, [name for name in self.fleet.names if name not in targets]
        match fault:
            case "killed" | "all_killed":
                await asyncio.gather(*(fleet.gateways[name].kill() for name in targets))
            case "left":
                await asyncio.gather(*(fleet.gateways[name].terminate() for name in targets))
            case "stopped":
                for name in targets:
                    fleet.gateways[name].pause()
            case "deaf":
                fleet.cut(others, targets)
            case "mute":
                fleet.cut(targets, others)
            case "zone_cut":
                fleet.partition(targets)
            case "lossy":
                fleet.lose(0.2)
            case "late":
                for link in fleet.links.values():
                    link.forward.delay_s = self._plan.period_ms / 2000
                    link.forward.repeated = 0.2

    async def _repair(self, fault: str, targets: set[str]) -> None:
        self.fleet.heal()
        self.fleet.lose(self._plan.loss)
        if fault == "stopped":
            for name in targets:
                self.fleet.gateways[name].resume()
        elif fault in ("killed", "left", "all_killed"):
            await asyncio.gather(*(self.fleet.start(name) for name in targets))

    # --- Invariants ---------------------------------------------------------------------------------------

    async def _poll_statuses(self) -> dict[str, dict[str, object]]:
        """The status of each gateway that answers; checks the age of its data about servers."""
        names = [name for name in self.fleet.names if self.fleet.gateways[name].runs()]
        answers = await asyncio.gather(*map(self.fleet.status, names))
        statuses = {
            name: status for name, status in zip(names, answers, strict=True) if status.get("started")
        }
        for name, status in statuses.items():
            incarnation = next(row["life"] for row in status["members"] if row["name"] == name)
            self._sent_bytes[name, incarnation] = status["sentBytes"]
            for rows in status["servers"].values():
                for row in rows:
                    age = row["ageMs"]
                    self.outcome.max_age_ms = max(self.outcome.max_age_ms, age)
                    assert age <= SERVERS_TABLE.staleness_bound_ms, (
                        f"{name} reports data about a server that is {age} ms old"
                    )
        self.outcome.polls += 1
        return statuses

    def _check_no_false_dead(self, statuses: dict[str, dict[str, object]], targets: set[str]) -> None:
        """Raise AssertionError if a gateway without a fault sees another one without a fault as dead."""
        for name, status in statuses.items():
            dead = {row["name"] for row in status["members"] if row["state"] == "dead"} - targets
            if name not in targets and dead:
                self.outcome.false_dead += len(dead)
                raise AssertionError(f"{name} sees {', '.join(sorted(dead))} as dead, without a fault")

    async def _measure_detection(self, targets: set[str], others: list[str], began: float) -> None:
        """Wait until each other gateway sees all gateways with the fault as dead; record the times."""
        detected_s: dict[str, float] = {}
        async with asyncio.timeout(ROUND_TIMEOUT_S):
            while len(detected_s) < len(others):
                statuses = await self._poll_statuses()
                self._check_no_false_dead(statuses, targets)
                for name in others:
                    states = {row["name"]: row["state"] for row in statuses.get(name, {}).get("members", ())}
                    if name not in detected_s and all(states.get(target) == "dead" for target in targets):
                        detected_s[name] = time.monotonic() - began
                await asyncio.sleep(POLL_INTERVAL_S)
        self.outcome.first_detected_s.append(min(detected_s.values()))
        self.outcome.last_detected_s.append(max(detected_s.values()))

    async def _poll_for(self, targets: set[str], others: list[str], duration_s: float) -> None:
        until = time.monotonic() + duration_s
        while time.monotonic() < until:
            self._check_no_false_dead(await self._poll_statuses(), targets)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _wait_until_agreed(self) -> None:
        """Wait until all gateways see the same members alive, with the same incarnations."""
        async with asyncio.timeout(ROUND_TIMEOUT_S):
            while True:
                statuses = await self._poll_statuses()
                incarnations = {
                    name: next(row["life"] for row in status["members"] if row["name"] == name)
                    for name, status in statuses.items()
                }
                views = [
                    {row["name"]: row["life"] for row in status["members"] if row["state"] == "alive"}
                    for status in statuses.values()
                ]
                if len(incarnations) == len(self.fleet.names) and all(view == incarnations for view in views):
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _report_failing_server(self) -> None:
        """Send a request through one gateway to the server, at whose address nothing listens; wait until all
        gateways report shared data about it."""
        _, writer = await asyncio.open_connection(HOST, self.fleet.gateways[self.fleet.names[0]].listen)
        writer.write(
            b"GET /api/0000000000000001 HTTP/1.1\r\nHost: o\r\nX-Request-Id: r\r\nX-Class: view\r\n"
            b"Plan: open\r\nX-Deadline: 4000m\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n"
        )
        while not all(status["servers"] for status in (await self._poll_statuses()).values()):
            await asyncio.sleep(POLL_INTERVAL_S)
        writer.close()
