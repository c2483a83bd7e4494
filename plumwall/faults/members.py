"""Rounds of faults on real gateways that are members of a fleet: who finds out what when, and what must hold.

All along: whoever is not struck holds nobody dead that is not struck, and no word of a server is shown that
is older than its table's bound. After each round all agree again on who is there, by its life.
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

from plumwall.faults.fleet import LOOK_S, Fleet
from plumwall.faults.gateways import check_weights
from plumwall.faults.machines import HOST
from yewstage.net.peers import SERVERS_TABLE

FAULTS = ("killed", "stopped", "left", "deaf", "mute", "zone_cut", "lossy", "late", "all_killed")
GONE = ("killed", "stopped", "mute", "zone_cut")  # after which the rest must come to miss them
ROUND_S = 90.0  # by when a fault must be found out, and after it all must agree
FAULT_S = 4.0  # how long loss, delay or deafness lasts
KEY = "aa" * 16


class MembersPlan(msgspec.Struct, forbid_unknown_fields=True, tag_field="kind", tag="members"):
    """Gateways that find out who is there."""

    gateways: Annotated[int, msgspec.Meta(ge=4, le=30)]
    period_ms: Annotated[float, msgspec.Meta(ge=100)]
    loss: Annotated[float, msgspec.Meta(ge=0, lt=1)]  # of datagrams, all the time
    faults: dict[str, float]

    def check(self) -> None:
        """ValueError names the field."""
        check_weights(self.faults, FAULTS)


@dataclass
class MembersOutcome:
    """What came of all rounds; times in seconds."""

    rounds: int = 0
    first_s: list[float] = field(default_factory=list)  # from a fault until the first has found it out
    last_s: list[float] = field(default_factory=list)  # and the last
    agreed_s: list[float] = field(default_factory=list)  # from its end until all agree
    false_dead: int = 0
    looks: int = 0
    oldest_ms: float = 0.0  # word of a server that was shown
    bytes_per_s: float = 0.0  # of one gateway, in the mean over all rounds
    breach: str = ""


class MembersTorture:
    """Plays rounds."""

    def __init__(self, plan: MembersPlan, folder: Path, seed: int, say: Callable[[str], None]) -> None:
        self._plan, self._say = plan, say
        self._rng = np.random.default_rng(np.random.SeedSequence(seed))
        self.fleet = Fleet(folder, plan.gateways, [KEY], seed, plan.period_ms)
        self.outcome = MembersOutcome()
        self._sent: dict[tuple[str, str], float] = {}  # bytes by gateway and life

    async def play(self, rounds: int) -> MembersOutcome:
        """All rounds, or up to the first breach."""
        began = time.monotonic()
        async with self.fleet:
            try:
                await self._agree()
                await self._find_server()
                for number in range(1, rounds + 1):
                    await self._round(number)
                    self.outcome.rounds = number
            except TimeoutError:
                self.outcome.breach = self.outcome.breach or f"not agreed after {ROUND_S:.0f} s"
            except AssertionError as breach:
                self.outcome.breach = str(breach)
            await self._statuses()
        span = (time.monotonic() - began) * self._plan.gateways
        self.outcome.bytes_per_s = sum(self._sent.values()) / span
        return self.outcome

    async def _round(self, number: int) -> None:
        names, weights = list(self._plan.faults), np.array(list(self._plan.faults.values()))
        fault = str(self._rng.choice(names, p=weights / weights.sum()))
        hit = self._hit(fault)
        self._say(f"round {number}: {fault} {', '.join(sorted(hit))}")
        rest = [name for name in self.fleet.names if name not in hit]
        began = time.monotonic()
        await self._strike(fault, hit)
        if fault in GONE:
            await self._found_out(hit, rest, began)
        elif fault != "all_killed":
            await self._watch(hit, rest, FAULT_S)
        await self._mend(fault, hit)
        began = time.monotonic()
        await self._agree()
        self.outcome.agreed_s.append(time.monotonic() - began)

    def _hit(self, fault: str) -> set[str]:
        names = self.fleet.names
        if fault == "all_killed":
            return set(names)
        if fault in ("lossy", "late"):
            return set()
        one = names[int(self._rng.integers(len(names)))]
        if fault == "zone_cut":
            return {name for name in names if self.fleet.zone[name] == self.fleet.zone[one]}
        return {one}

    async def _strike(self, fault: str, hit: set[str]) -> None:
        fleet, outside = self.fleet, [name for name in self.fleet.names if name not in hit]
        match fault:
            case "killed" | "all_killed":
                await asyncio.gather(*(fleet.gateways[name].kill() for name in hit))
            case "left":
                await asyncio.gather(*(fleet.gateways[name].end() for name in hit))
            case "stopped":
                for name in hit:
                    fleet.gateways[name].pause()
            case "deaf":
                fleet.cut(outside, hit)
            case "mute":
                fleet.cut(hit, outside)
            case "zone_cut":
                fleet.split(hit)
            case "lossy":
                fleet.lose(0.2)
            case "late":
                for link in fleet.links.values():
                    link.forward.delay_s = self._plan.period_ms / 2000
                    link.forward.repeated = 0.2

    async def _mend(self, fault: str, hit: set[str]) -> None:
        self.fleet.heal()
        self.fleet.lose(self._plan.loss)
        if fault == "stopped":
            for name in hit:
                self.fleet.gateways[name].wake()
        elif fault in ("killed", "left", "all_killed"):
            await asyncio.gather(*(self.fleet.start(name) for name in hit))

    # --- What is seen -------------------------------------------------------------------------------------

    async def _statuses(self) -> dict[str, dict[str, object]]:
        """What each that answers says."""
        names = [name for name in self.fleet.names if self.fleet.gateways[name].runs()]
        told = await asyncio.gather(*map(self.fleet.status, names))
        found = {name: status for name, status in zip(names, told, strict=True) if status.get("started")}
        for name, status in found.items():
            life = next(row["life"] for row in status["members"] if row["name"] == name)
            self._sent[name, life] = status["sentBytes"]
            for rows in status["servers"].values():
                for row in rows:
                    age = row["ageMs"]
                    self.outcome.oldest_ms = max(self.outcome.oldest_ms, age)
                    assert age <= SERVERS_TABLE.staleness_bound_ms, (
                        f"{name} shows a word that is {age} ms old"
                    )
        self.outcome.looks += 1
        return found

    def _no_false_word(self, seen: dict[str, dict[str, object]], hit: set[str]) -> None:
        """Whoever is not hit holds nobody dead that is not."""
        for name, status in seen.items():
            dead = {row["name"] for row in status["members"] if row["state"] == "dead"} - hit
            if name not in hit and dead:
                self.outcome.false_dead += len(dead)
                raise AssertionError(f"{name} holds {', '.join(sorted(dead))} dead")

    async def _found_out(self, hit: set[str], rest: list[str], began: float) -> None:
        """Until each of the rest misses all that are hit."""
        times: dict[str, float] = {}
        async with asyncio.timeout(ROUND_S):
            while len(times) < len(rest):
                seen = await self._statuses()
                self._no_false_word(seen, hit)
                for name in rest:
                    states = {row["name"]: row["state"] for row in seen.get(name, {}).get("members", ())}
                    if name not in times and all(states.get(one) == "dead" for one in hit):
                        times[name] = time.monotonic() - began
                await asyncio.sleep(LOOK_S)
        self.outcome.first_s.append(min(times.values()))
        self.outcome.last_s.append(max(times.values()))

    async def _watch(self, hit: set[str], rest: list[str], for_s: float) -> None:
        until = time.monotonic() + for_s
        while time.monotonic() < until:
            self._no_false_word(await self._statuses(), hit)
            await asyncio.sleep(LOOK_S)

    async def _agree(self) -> None:
        """Until all hold just the same lives to be there."""
        async with asyncio.timeout(ROUND_S):
            while True:
                seen = await self._statuses()
                own = {
                    name: next(row["life"] for row in status["members"] if row["name"] == name)
                    for name, status in seen.items()
                }
                views = [
                    {row["name"]: row["life"] for row in status["members"] if row["state"] == "alive"}
                    for status in seen.values()
                ]
                if len(own) == len(self.fleet.names) and all(view == own for view in views):
                    return
                await asyncio.sleep(LOOK_S)

    async def _find_server(self) -> None:
        """One gateway finds its server failing, for there is nobody at its address."""
        _, writer = await asyncio.open_connection(HOST, self.fleet.gateways[self.fleet.names[0]].listen)
        writer.write(
            b"GET /api/0000000000000001 HTTP/1.1\r\nHost: o\r\nX-Request-Id: r\r\nX-Class: view\r\n"
            b"Plan: open\r\nX-Deadline: 4000m\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n"
        )
        while not all(status["servers"] for status in (await self._statuses()).values()):
            await asyncio.sleep(LOOK_S)
        writer.close()
