"""A whole run: workers and gateways started, load and faults played, everything ended and judged."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
from msgspec import Struct

from plumwall import records as r
from plumwall import scenario as scenarios
from plumwall.emulator.fleet import Gateway, StartError, run_command
from plumwall.emulator.identity import host_of
from plumwall.emulator.listservice import HeldList, ListService
from plumwall.emulator.metrics import Exporter
from plumwall.emulator.process import ROOT, JsonLinesWorker, raise_descriptors, spawn_module
from plumwall.emulator.tally import Row, Second, Tally
from plumwall.emulator.timing import not_before
from plumwall.judge import Judge, Verdict
from plumwall.world.generator import FaultEvent, GeneratedWorld

DEPLOY = ROOT / "deploy" / "balancer.toml"
LEAD_S = 0.5  # from the last word to all workers to the beginning of the load
WORKER_S = 30.0  # for a worker to draw its day and listen
LAST_S = 15.0  # beyond the load and the longest deadline, after which clients that are not done are given up
REFUSALS = 'gateway_refusals_total{reason="'
LINE = 64 * 1024 * 1024


class Options(Struct, kw_only=True):
    """How a scenario is to be played."""

    scenario: scenarios.Scenario
    seed: int = 1
    folder: Path
    deploy: Path = DEPLOY
    log_format: str = "text"  # of the gateways
    client_workers: int = 1
    host_workers: int = 1
    gateways: list[str] = []  # addresses of gateways that are up already: only the load is played


class RunStatus(Struct):
    """The state of a run, for who watches it."""

    at_s: float
    gateways: dict[str, Second]
    states: dict[str, str]
    metrics: dict[str, dict[str, float]]
    fault: str


class RunOutcome(Struct):
    """What a run came to."""

    verdict: Verdict | None  # none where only the load was ours
    rows: list[Row]
    void: str  # why it says nothing of the gateways; empty: it does
    late_ms: float  # the 99th percentile of how late tries were sent
    tries: int
    offered_per_s: float
    most_offered_in_1s: int
    most_served_in_1s: int
    refusals: dict[str, int]  # by the gateways' own reasons
    cpu_s: dict[str, float]
    memory_mb: dict[str, float]
    folder: str


class Run:
    """One play of a scenario."""

    def __init__(
        self,
        options: Options,
        say: Callable[[str], None] = lambda text: None,
        look: Callable[[RunStatus], None] = lambda seen: None,
        exporter: Exporter | None = None,
    ) -> None:
        self.options, self._say, self._look = options, say, look
        self._exporter = exporter or Exporter()
        self.scenario = options.scenario
        self.drawn = GeneratedWorld(self.scenario, options.seed)
        self.folder = options.folder
        self.t0 = 0.0
        self._network = (
            f"127.{random.SystemRandom().randint(16, 250)}.{random.SystemRandom().randint(0, 250)}"
        )
        self.tally = Tally(
            [c.name for c in self.scenario.classes],
            [self.drawn.plans[c.plan].name for c in self.drawn.customers],
        )
        self._workers: dict[str, JsonLinesWorker] = {}
        self._answers: dict[str, asyncio.Future] = {}
        self.gateways: dict[str, Gateway] = {}
        self.registry: ListService | HeldList | None = None
        self._states: dict[str, str] = {}
        self._tasks: set[asyncio.Task] = set()
        self._last_fault = ""
        self._seconds: dict[str, Second] = {}
        self._refusals: dict[tuple[str, int], dict[str, float]] = {}  # by gateway and life, by reason
        self._over = 0
        self._done = asyncio.Event()
        self._failure = ""

    async def play(self) -> RunOutcome:
        """All of it. Whatever happens, nothing that was started stays."""
        try:
            await self.set_up()
            self._say("the load begins")
            await self._load()
        finally:
            await self.close()
        if not self.options.gateways:
            self._say("judging the run")
        return self.judge()

    async def serve_until_cancelled(self) -> None:
        """The world and its gateways without a load, until cancelled."""
        try:
            await self.set_up()
            self._go()
            await asyncio.Event().wait()
        finally:
            await self.close()

    async def set_up(self) -> None:
        """Workers listen, gateways are ready."""
        raise_descriptors()
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "scenario.json").write_text(scenarios.encode(self.scenario), encoding="utf-8")
        self._file = (self.folder / "run.jsonl").open("wb")
        self._writer = r.Writer(self._file)
        for shard in range(self.options.client_workers):
            await self._start_worker("clients", shard, self.options.client_workers)
        if not self.options.gateways:
            await self._start_fleet()
        for shard in range(self.options.client_workers):
            await self._answer(f"clients-{shard}:clients")

    async def _start_fleet(self) -> None:
        command = run_command(self.options.deploy)
        self._say(
            f"{len(self.drawn.servers)} servers, {len(self.drawn.gateways)} gateways, "
            f"{len(self.drawn.tries)} requests by seed {self.options.seed}"
        )
        backing = await self._start_world()
        if self.scenario.listing.source != "agent":
            await self._start_registry(backing)
        root = self.options.deploy.resolve().parent.parent
        for spec in self.drawn.gateways:
            gateway = Gateway(
                spec,
                self.drawn,
                root,
                command,
                self.folder,
                self._host(spec.number),
                self._became,
                self.options.log_format,
            )
            gateway.configure(backing[spec.name])
            self.gateways[spec.name] = gateway
        await self._together([gateway.start() for gateway in self.gateways.values()])

    async def close(self) -> None:
        """End all children: gateways as the platform does, then the world."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        try:
            await asyncio.gather(*(gateway.terminate() for gateway in self.gateways.values()))
        finally:
            for gateway in self.gateways.values():
                await gateway.close()
            if self.registry is not None:
                await self.registry.close()
            await asyncio.gather(*(worker.stop() for worker in self._workers.values()))
            if hasattr(self, "_file"):
                self._writer.flush()
                self._file.close()

    def judge(self) -> RunOutcome:
        """The verdict, from the records of all processes; also kept in the run's folder."""
        verdict = None
        if not self.options.gateways:
            files = [*sorted(self.folder.glob("*-[0-9]*.jsonl")), self.folder / "run.jsonl"]
            verdict = Judge(self.drawn, r.read_records(files)).verdict()
        seconds = max(self.tally.last_offered_ms / 1000, 1e-3)
        outcome = RunOutcome(
            verdict,
            self.tally.rows(),
            self.tally.void(),
            self.tally.late_ms(),
            self.tally.offered_count,
            self.tally.offered_count / seconds,
            *self.tally.most_in_a_second(),
            self._reasons(),
            {name: gateway.cpu_s() for name, gateway in self.gateways.items()},
            {name: gateway.most_mb for name, gateway in self.gateways.items()},
            str(self.folder),
        )
        (self.folder / "outcome.json").write_bytes(
            msgspec.json.format(msgspec.json.encode(outcome), indent=1)
        )
        return outcome

    # --- The world ----------------------------------------------------------------------------------------

    def _host(self, number: int) -> str:
        return host_of(self._network, number)

    async def _start_world(self) -> dict[str, dict[str, str]]:
        options = self.options
        for shard in range(options.host_workers):
            await self._start_worker("hosts", shard, options.host_workers)
        await self._start_worker("backing", 0, 1)
        servers: dict[str, dict[str, str]] = {g.name: {} for g in self.drawn.gateways}
        for shard in range(options.host_workers):
            for gateway, addresses in (await self._answer(f"hosts-{shard}:servers")).items():
                servers[gateway] |= addresses
        self._workers["backing-0"].tell({"servers": servers})
        return await self._answer("backing-0:backing")

    async def _start_registry(self, backing: dict[str, dict[str, str]]) -> None:
        """The project's own list service in place of the agents; servers register before gateways start."""
        kind = ListService if self.scenario.listing.source == "registry" else HeldList
        self.registry = kind(self.folder, self._host(0), self.options.log_format)
        at = await self.registry.start()
        self._say(f"the list service is at {','.join(at)}: plumwall servers --at {','.join(at)}")
        hosts = [name for name in self._workers if name.startswith("hosts")]
        for name in hosts:
            self._workers[name].tell({"registry": at})
        for name in hosts:
            await self._answer(f"{name}:registered")
        for number, addresses in enumerate(backing.values()):
            addresses["discovery"] = at[number % len(at)]

    async def _start_worker(self, role: str, shard: int, shards: int) -> None:
        process = await spawn_module(
            "plumwall.emulator.worker",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=LINE,
        )
        name = f"{role}-{shard}"
        worker = JsonLinesWorker(
            process, lambda line: self._heard(name, line), lambda code: self._lost(name, code)
        )
        self._workers[name] = worker
        worker.tell(
            {
                "role": role,
                "scenario": scenarios.encode(self.scenario),
                "seed": self.options.seed,
                "folder": str(self.folder.resolve()),
                "network": self._network,
                "shard": shard,
                "shards": shards,
                "bare": bool(self.options.gateways),
            }
        )

    def _waiting(self, key: str) -> asyncio.Future:
        if key not in self._answers:
            self._answers[key] = asyncio.get_running_loop().create_future()
        return self._answers[key]

    async def _answer(self, key: str) -> object:
        """What a worker says to a word of ours."""
        try:
            async with asyncio.timeout(WORKER_S):
                return await self._waiting(key)
        except TimeoutError:
            raise StartError(f"{key}: the emulator's process did not answer within {WORKER_S:g} s") from None

    def _heard(self, name: str, line: dict[str, object]) -> None:
        for second in msgspec.convert(line.pop("tick", []), list[Second]):
            self._seconds[second.gateway] = second
            self._exporter.second(second)
        if "over" in line:
            self.tally.add(line.pop("over"))
            self._over += 1
            if self._over == self.options.client_workers:
                self._done.set()
        for word, value in line.items():
            waiting = self._waiting(f"{name}:{word}")
            if not waiting.done():
                waiting.set_result(value)

    def _lost(self, name: str, code: int) -> None:
        self._failure = f"{name}: the emulator's process ended with status {code}"
        for waiting in self._answers.values():
            if not waiting.done():
                waiting.set_exception(StartError(self._failure))
        self._done.set()

    # --- The play -----------------------------------------------------------------------------------------

    def _go(self) -> None:
        """Say to all when the load begins."""
        self.t0 = (time.monotonic() + LEAD_S) * 1000
        addresses = {name: gateway.listen for name, gateway in self.gateways.items()} or {
            spec.name: address
            for spec, address in zip(self.drawn.gateways, self.options.gateways, strict=True)
        }
        for name, worker in self._workers.items():
            if name.startswith("clients"):
                worker.tell({"gateways": addresses})
            worker.tell({"go": self.t0})
        loop = asyncio.get_running_loop()
        for change in self.drawn.changes:
            not_before(loop, self.t0 + change.at_ms, self._change, change)
        self._spawn(self._watch())
        if self.registry is not None:
            self._spawn(self.registry.start_checkers())

    async def _load(self) -> None:
        """The load, until its last client is done."""
        self._go()
        longest = max(c.deadline_ms for c in self.scenario.classes) / 1000
        try:
            async with asyncio.timeout(self.scenario.length_s + longest + LAST_S):
                await self._done.wait()
        except TimeoutError:
            self._failure = "the clients were not done in time"
        if self._failure:
            raise StartError(self._failure)
        await self._figures()

    def _now(self) -> float:
        return time.monotonic() * 1000 - self.t0

    def _change(self, change: FaultEvent) -> None:
        """Carry out what the fault plan says of gateways, and note all that it says."""
        self._writer.write(r.Fault(self._now(), change.kind, change.target, change.size))
        self._exporter.fault(change.kind)
        self._last_fault = f"{change.at_ms / 1000:.1f} s {change.kind} {change.target}"
        if change.kind in ("holding_lost", "holding_start"):
            self._spawn(self.registry.change(change.kind, change.target))
        gateway = self.gateways.get(change.target)
        if gateway is None:
            return
        if change.kind == "gateway_kill":
            gateway.kill()
        elif change.kind == "gateway_start":
            self._spawn(gateway.start())
        elif change.kind == "gateway_restart":
            self._spawn(gateway.restart())
        elif change.kind == "gateway_move":
            self._spawn(self._move(gateway))

    async def _move(self, gateway: Gateway) -> None:
        """Other addresses for its counter and discovery, told by SIGHUP."""
        name = gateway.spec.name
        self._answers.pop(f"backing-0:moved {name}", None)
        self._workers["backing-0"].tell({"move": name})
        gateway.move(await self._answer(f"backing-0:moved {name}"))

    async def _together(self, parts: list) -> None:
        """All of them, or the first that fails ends the start."""
        done = await asyncio.gather(*parts, return_exceptions=True)
        for result in done:
            if isinstance(result, BaseException):
                raise result

    def _became(self, name: str, state: str, why: str) -> None:
        self._states[name] = state
        self._exporter.state(name, state)
        self._writer.write(r.GatewayIs(self._now() if self.t0 else 0.0, name, state, why))

    async def _watch(self) -> None:
        """Figures for who looks on, once a second."""
        while True:
            await asyncio.sleep(1.0)
            figures = await self._figures()
            self._look(
                RunStatus(
                    self._now() / 1000,
                    dict(self._seconds),
                    dict(self._states),
                    figures,
                    self._last_fault,
                )
            )

    async def _figures(self) -> dict[str, dict[str, float]]:
        """What each gateway's operators' address says; refusals are kept, since they end with its life."""
        told = await asyncio.gather(*(gateway.metrics() for gateway in self.gateways.values()))
        for gateway, figures in zip(self.gateways.values(), told, strict=True):
            refusals = {
                name.split('"')[1]: value for name, value in figures.items() if name.startswith(REFUSALS)
            }
            if refusals:
                self._refusals[gateway.spec.name, gateway.lives] = refusals
                self._writer.write(
                    r.Figures(
                        self._now(),
                        gateway.spec.name,
                        refusals,
                        figures.get("gateway_pressure", 0.0),
                        figures.get("gateway_admitted_share", 1.0),
                    )
                )
        return dict(zip(self.gateways, told, strict=True))

    def _reasons(self) -> dict[str, int]:
        """Refusals by reason, over all lives; of a gateway that was killed, up to a second before."""
        sums: dict[str, int] = {}
        for refusals in self._refusals.values():
            for reason, count in refusals.items():
                sums[reason] = sums.get(reason, 0) + int(count)
        return dict(sorted(sums.items(), key=lambda item: -item[1]))

    def _spawn(self, work: object) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._failure = str(task.exception())
            self._done.set()
