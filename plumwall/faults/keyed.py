"""Rounds of lost machines under clients that retry: no request with an idempotency key may run twice.

Each machine has a gateway and a process of the holding; both are killed together, and their disk is lost.
Clients send requests with an idempotency key. They retry through other gateways until they get a 200 answer,
and at times once more after it. Each server has a cell of its own and knows only the keys that were sent to
it, so a request that the gateways forward to two servers runs twice, and the servers' records show it.
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

from plumwall.faults.gateways import GatewayProcess, Server, ServerFaults
from plumwall.faults.machines import HOST, Machines

Count = Annotated[int, msgspec.Meta(ge=1, le=100)]
DEADLINE_MS, KEY_WINDOW_MS = 2000.0, 60_000.0
MAX_RETRY_DELAY_S = 0.05
ROUND_TIMEOUT_S = 60.0


class KeyedPlan(msgspec.Struct, forbid_unknown_fields=True, tag_field="kind", tag="keyed"):
    """Plan of rounds in which a machine is lost with its gateway, under clients that retry."""

    machines: Annotated[int, msgspec.Meta(ge=3, le=30)]
    servers: Count
    clients: Count
    repeats: Count  # most retries of one request
    keyed: Count  # groups of keys
    gone_ms: float  # of the holding: silence after which a member of a group is replaced
    spacing_ms: float  # longest random pause between two requests of a client
    record: bool = True  # false: gateways without the holding, to show that requests then run twice
    # Shares of the requests with a fault of the server; see ServerFaults.
    slow: float = 0.2
    unheard: float = 0.1
    not_run: float = 0.1


@dataclass
class KeyedOutcome:
    """Results of all rounds."""

    rounds: int = 0
    asked: int = 0
    served: int = 0
    unknown: int = 0  # requests without a 200 answer after all retries
    tries: int = 0
    statuses: Counter[int] = field(default_factory=Counter)  # 0: no answer
    repeated_answers: int = 0  # 200 answers to a retry after a 200 answer
    twice: int = 0  # keys that ran more than once
    breach: str = ""
    replicated_s: list[float] = field(default_factory=list)  # from each loss until fully replicated again


def _settings(machines: int) -> dict[str, object]:
    grade = {
        "name": "send",
        "objective_ms": DEADLINE_MS,
        "deadline_ms": DEADLINE_MS,
        "worth": 1.0,
        "effect": "keyed",
        "key_scope": "cell",
        "window_ms": KEY_WINDOW_MS,
    }
    return {
        "grades": [grade],
        "packages": [{"name": "basic"}],
        "fleet_size": machines,
        "tick_ms": 4.0,
        "bounds": {"try_limit": 3, "cancel": True, "retry_after": True, "max_retry_after_ms": 100.0},
    }


class KeyedTorture:
    """Runs the rounds of a plan; a seed determines the faults and the clients' requests."""

    def __init__(self, plan: KeyedPlan, folder: Path, seed: int, say: Callable[[str], None]) -> None:
        self._plan, self._folder, self._say = plan, folder, say
        streams = np.random.SeedSequence(seed).spawn(plan.servers + plan.clients + 1)
        rngs = [np.random.default_rng(stream) for stream in streams]
        faults = ServerFaults(plan.slow, unheard=plan.unheard, not_run=plan.not_run)
        self._servers = [Server(f"s-{i}", faults, rngs[i]) for i in range(plan.servers)]
        self._rngs = rngs[plan.servers :]
        self._gateways: list[GatewayProcess] = []
        self.outcome = KeyedOutcome()
        self._answers: dict[str, set[str]] = {}  # bodies of the 200 answers, by key
        self._stopping = False

    async def play(self, rounds: int) -> KeyedOutcome:
        """Run all rounds, then check the records of the servers."""
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
                    self._stopping = True
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
            local_first = machines.all[i:] + machines.all[:i]
            config = {
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
                config["holding"] = [f"{HOST}:{m.listen}" for m in local_first]
            gateway = GatewayProcess(f"g{i}", machine.folder / "gateway", config)
            self._gateways.append(gateway)
            await gateway.start()

    async def _round(self, number: int, machines: Machines) -> None:
        target = int(self._rngs[0].integers(len(machines.all)))
        machine, gateway = machines.all[target], self._gateways[target]
        self._say(f"round {number}: lost {machine.name} with its gateway and disk")
        began = time.monotonic()
        served = self.outcome.served
        await asyncio.gather(machine.kill(delete_state=True), gateway.kill())
        while self.outcome.served < served + self._plan.clients:
            await asyncio.sleep(0.01)  # requests are served by the other machines meanwhile
        await asyncio.gather(machines.start(machine), gateway.start())
        try:
            async with asyncio.timeout(ROUND_TIMEOUT_S):
                await machines.wait_until_replicated()
        except TimeoutError:
            raise RuntimeError(
                f"round {number}: not fully replicated after {ROUND_TIMEOUT_S:.0f} s"
            ) from None
        self.outcome.replicated_s.append(time.monotonic() - began)

    # --- Clients ------------------------------------------------------------------------------------------

    async def _client(self, number: int, rng: np.random.Generator) -> None:
        serial = 0
        while not self._stopping:
            serial += 1
            self.outcome.asked += 1
            if await self._request(f"k{number}-{serial}", f"{number:016x}", rng):
                self.outcome.served += 1
            else:
                self.outcome.unknown += 1
            await asyncio.sleep(self._plan.spacing_ms / 1000 * rng.random())

    async def _request(self, key: str, customer: str, rng: np.random.Generator) -> bool:
        """Send one request, with retries through other gateways; returns whether it got a 200 answer."""
        target = int(rng.integers(len(self._gateways)))
        for attempt in range(self._plan.repeats + 1):
            self.outcome.tries += 1
            status, answer = await self._attempt(self._gateways[target], f"{key}-{attempt}", key, customer)
            self.outcome.statuses[status] += 1
            if status == 200:
                self.outcome.repeated_answers += key in self._answers
                self._answers.setdefault(key, set()).add(answer)
                if rng.random() < 0.2:  # as if the answer were lost: the client retries
                    continue
                return True
            await asyncio.sleep(MAX_RETRY_DELAY_S * rng.random())
            target = (target + 1 + int(rng.integers(len(self._gateways) - 1))) % len(self._gateways)
        return key in self._answers

    async def _attempt(self, gateway: GatewayProcess, id_: str, key: str, customer: str) -> tuple[int, str]:
        request = (
            f"POST /api/{customer} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id_}\r\nX-Class: send\r\n"
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
        fields = head.split()
        return (int(fields[1]), body.decode()) if len(fields) > 1 else (0, "")

    # --- Invariants ---------------------------------------------------------------------------------------

    def _check(self) -> None:
        runs: dict[str, list[str]] = {}
        for server in self._servers:
            for key, answer in server.effects:
                runs.setdefault(key, []).append(answer)
        twice = {key: answers for key, answers in runs.items() if len(answers) > 1}
        self.outcome.twice = len(twice)
        if twice:
            key, answers = min(twice.items())
            self.outcome.breach = (
                f"{key} happened {len(answers)} times, with the answers {', '.join(answers)}"
            )
        for key, answers in self._answers.items():
            if answers != set(runs.get(key, ())) and key not in twice:
                self.outcome.breach = (
                    f"{key} was answered {sorted(answers)}, but the servers ran {runs.get(key)}"
                )
