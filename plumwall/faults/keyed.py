"""Rounds of lost machines under clients that repeat: no effect may happen twice, by the servers' own records.

Each machine has a gateway and a process of the holding; both are lost together, with the disk. Clients send a
keyed request, and repeat it through other gateways as long as they have no good answer, and now and then once
more. Each server stands in a cell of its own and knows only the keys that came to itself, so that what two
gateways send on happens twice.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import msgspec
import numpy as np

from plumwall.faults.gateways import GatewayProcess, Moods, Server
from plumwall.faults.machines import HOST, Machines

Count = Annotated[int, msgspec.Meta(ge=1, le=100)]
DEADLINE_MS, WINDOW_MS = 2000.0, 60_000.0
REST_S = 0.05
ROUND_S = 60.0


class KeyedPlan(msgspec.Struct, forbid_unknown_fields=True, tag_field="kind", tag="keyed"):
    """Machines lost with their gateways under clients that repeat."""

    machines: Annotated[int, msgspec.Meta(ge=3, le=30)]
    servers: Count
    clients: Count
    repeats: Count  # of one request, at the most
    keyed: Count
    gone_ms: float
    spacing_ms: float  # of a client's requests
    record: bool = True  # false: gateways as they are without one, to see that what must not happen does
    slow: float = 0.2
    unheard: float = 0.1
    not_run: float = 0.1


@dataclass
class KeyedOutcome:
    """What came of all rounds."""

    rounds: int = 0
    asked: int = 0
    served: int = 0
    unknown: int = 0  # requests that had no good answer at the end
    tries: int = 0
    statuses: Counter[int] = field(default_factory=Counter)  # 0: no answer
    recalled: int = 0  # good answers to a repeat of what had been answered well
    twice: int = 0
    breach: str = ""
    whole_s: list[float] = field(default_factory=list)


def _settings(machines: int) -> dict[str, object]:
    grade = {
        "name": "send",
        "objective_ms": DEADLINE_MS,
        "deadline_ms": DEADLINE_MS,
        "worth": 1.0,
        "effect": "keyed",
        "key_scope": "cell",
        "window_ms": WINDOW_MS,
    }
    return {
        "grades": [grade],
        "packages": [{"name": "basic"}],
        "fleet_size": machines,
        "tick_ms": 4.0,
        "bounds": {"try_limit": 3, "cancel": True, "retry_after": True, "max_retry_after_ms": 100.0},
    }


class KeyedTorture:
    """Plays rounds."""

    def __init__(self, plan: KeyedPlan, folder: Path, seed: int, say: Callable[[str], None]) -> None:
        self._plan, self._folder, self._say = plan, folder, say
        streams = np.random.SeedSequence(seed).spawn(plan.servers + plan.clients + 1)
        rngs = [np.random.default_rng(stream) for stream in streams]
        moods = Moods(plan.slow, unheard=plan.unheard, not_run=plan.not_run)
        self._servers = [Server(f"s-{i}", moods, rngs[i]) for i in range(plan.servers)]
        self._rngs = rngs[plan.servers :]
        self._gateways: list[GatewayProcess] = []
        self.outcome = KeyedOutcome()
        self._good: dict[str, set[str]] = {}  # answers by key
        self._over = False

    async def play(self, rounds: int) -> KeyedOutcome:
        """All rounds, then a look at what the servers did."""
        plan = self._plan
        for server in self._servers:
            await server.start()
        changes = {"gone_ms": plan.gone_ms}
        async with Machines(self._folder, plan.machines, **changes) as machines:
            await machines.init(machines.all, plan.keyed)
            await machines.wait_until_replicated()
            try:
                await self._start_gateways(machines)
                clients = [asyncio.create_task(self._client(i, rng)) for i, rng in enumerate(self._rngs[1:])]
                try:
                    for number in range(1, rounds + 1):
                        await self._round(number, machines)
                        self.outcome.rounds = number
                finally:
                    self._over = True
                    await asyncio.gather(*clients)
            finally:
                for gateway in self._gateways:
                    await gateway.kill()
                for server in self._servers:
                    server.stop()
        self._check()
        return self.outcome

    async def _start_gateways(self, machines: Machines) -> None:
        for i, machine in enumerate(machines.all):
            near = machines.all[i:] + machines.all[:i]
            raw = {
                "discovery": f"{HOST}:{machine.listen}",
                "seed": f"{i + 1:016x}",
                "limits": {"memory_mb": 192, "sockets": 512},
                "known": {
                    "generation": 1,
                    "reset": True,
                    "instances": [server.listed(n) for n, server in enumerate(self._servers)],
                },
                "settings": _settings(len(machines.all)) | {"me": i},
            }
            if self._plan.record:
                raw["holding"] = [f"{HOST}:{m.listen}" for m in near]
            gateway = GatewayProcess(f"g{i}", machine.folder / "gateway", raw)
            self._gateways.append(gateway)
            await gateway.start()

    async def _round(self, number: int, machines: Machines) -> None:
        at = int(self._rngs[0].integers(len(machines.all)))
        machine, gateway = machines.all[at], self._gateways[at]
        self._say(f"round {number}: lost {machine.name} with its gateway and disk")
        began = time.monotonic()
        served = self.outcome.served
        await asyncio.gather(machine.kill(disk_too=True), gateway.kill())
        while self.outcome.served < served + self._plan.clients:
            await asyncio.sleep(0.01)  # the others go on without it
        await asyncio.gather(machines.start(machine), gateway.start())
        try:
            async with asyncio.timeout(ROUND_S):
                await machines.wait_until_replicated()
        except TimeoutError:
            raise RuntimeError(f"round {number}: not whole after {ROUND_S:.0f} s") from None
        self.outcome.whole_s.append(time.monotonic() - began)

    # --- Clients ------------------------------------------------------------------------------------------

    async def _client(self, number: int, rng: np.random.Generator) -> None:
        serial = 0
        while not self._over:
            serial += 1
            self.outcome.asked += 1
            if await self._ask(f"k{number}-{serial}", f"{number:016x}", rng):
                self.outcome.served += 1
            else:
                self.outcome.unknown += 1
            await asyncio.sleep(self._plan.spacing_ms / 1000 * rng.random())

    async def _ask(self, key: str, customer: str, rng: np.random.Generator) -> bool:
        """One request, repeated through other gateways until it is answered well, or given up."""
        at = int(rng.integers(len(self._gateways)))
        for turn in range(self._plan.repeats + 1):
            self.outcome.tries += 1
            status, answer = await self._try(self._gateways[at], f"{key}-{turn}", key, customer)
            self.outcome.statuses[status] += 1
            if status == 200:
                self.outcome.recalled += key in self._good
                self._good.setdefault(key, set()).add(answer)
                if rng.random() < 0.2:  # the answer is lost on its way: the client asks once more
                    continue
                return True
            await asyncio.sleep(REST_S * rng.random())
            at = (at + 1 + int(rng.integers(len(self._gateways) - 1))) % len(self._gateways)
        return key in self._good

    async def _try(self, gateway: GatewayProcess, rid: str, key: str, customer: str) -> tuple[int, str]:
        request = (
            f"POST /api/{customer} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {rid}\r\nX-Class: send\r\n"
            f"Plan: basic\r\nX-Deadline: {DEADLINE_MS:.0f}m\r\nIdempotency-Key: {key}\r\n"
            f"Quota-Info: units=1,spread={len(self._gateways)},first=0\r\nContent-Length: 0\r\n"
            "Connection: close\r\n\r\n"
        )
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
                reader, writer = await asyncio.open_connection(HOST, gateway.listen)
                try:
                    writer.write(request.encode())
                    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            return 0, ""
        words = head.split()
        return (int(words[1]), body.decode()) if len(words) > 1 else (0, "")

    # --- What must hold -----------------------------------------------------------------------------------

    def _check(self) -> None:
        done: dict[str, list[str]] = {}
        for server in self._servers:
            for key, answer in server.effects:
                done.setdefault(key, []).append(answer)
        twice = {key: answers for key, answers in done.items() if len(answers) > 1}
        self.outcome.twice = len(twice)
        if twice:
            key, answers = min(twice.items())
            self.outcome.breach = f"{key} happened {len(answers)} times: {', '.join(answers)}"
        for key, answers in self._good.items():
            if answers != set(done.get(key, ())) and key not in twice:
                self.outcome.breach = f"{key} was answered {sorted(answers)}, done {done.get(key)}"
