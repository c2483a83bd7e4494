"""A complete emulator run: start workers and gateways, apply load and faults, stop everything, judge the
records.

This parent process exchanges JSON lines with its workers (see worker.py).
"""

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
from plumwall.emulator.fleet import GatewayProcess, StartError, run_command
from plumwall.emulator.identity import host_of
from plumwall.emulator.listservice import ListService, ReplicatedListService
from plumwall.emulator.metrics import Exporter
from plumwall.emulator.process import PROJECT_ROOT, JsonLinesWorker, raise_descriptor_limit, spawn_module
from plumwall.emulator.tally import Row, Second, Tally
from plumwall.emulator.timing import call_not_before
from plumwall.judge import Judge, Verdict
from plumwall.world.generator import FaultEvent, GeneratedWorld

DEFAULT_DEPLOY_FILE = PROJECT_ROOT / "deploy" / "balancer.toml"
START_DELAY_S = 0.5  # from the start message to the start of the load, so that every worker has it in time
WORKER_REPLY_TIMEOUT_S = 30.0  # time for a worker to generate its world and listen
# After the load and the longest deadline. Clients that have not finished by then fail the run.
CLIENT_GRACE_S = 15.0
REFUSALS_METRIC_PREFIX = 'gateway_refusals_total{reason="'
MAX_LINE_BYTES = 64 * 1024 * 1024


class Options(Struct, kw_only=True):
    """How to run a scenario."""

    scenario: scenarios.Scenario
    seed: int = 1
    folder: Path
    deploy: Path = DEFAULT_DEPLOY_FILE
    log_format: str = "text"  # of the gateways
    client_workers: int = 1
    host_workers: int = 1
    gateways: list[str] = []  # addresses of running gateways; if set, only the load is run


class RunStatus(Struct):
    """The state of a run while it is in progress, for display. `at_s` is the time since the load began."""

    at_s: float
    gateways: dict[str, Second]
    states: dict[str, str]
    metrics: dict[str, dict[str, float]]
    fault: str


class RunOutcome(Struct):
    """The result of a run. Written to outcome.json."""

    verdict: Verdict | None  # None if only the load was run
    rows: list[Row]
    void: str  # why the result is not valid for the gateways; empty if it is
    late_ms: float  # 99th percentile of the delay between due and sent
    tries: int
    offered_per_s: float
    most_offered_in_1s: int
    most_served_in_1s: int
    refusals: dict[str, int]  # by reason, as the gateways count them
    cpu_s: dict[str, float]
    memory_mb: dict[str, float]
    folder: str


class Run:
    """One run of a scenario. Its methods raise StartError if a process of the run does not start or
    answer."""

    def __init__(
        self,
        options: Options,
        report_progress: Callable[[str], None] = lambda text: None,
        report_status: Callable[[RunStatus], None] = lambda status: None,
        exporter: Exporter | None = None,
    ) -> None:
        self.options, self._report_progress, self._report_status = options, report_progress, report_status
        self._exporter = exporter or Exporter()
        self.scenario = options.scenario
        self.world = GeneratedWorld(self.scenario, options.seed)
        self.folder = options.folder
        self.load_start_ms = 0.0
        self._network = (
            f"127.{random.SystemRandom().randint(16, 250)}.{random.SystemRandom().randint(0, 250)}"
        )
        self.tally = Tally(
            [c.name for c in self.scenario.classes],
            [self.world.plans[c.plan].name for c in self.world.customers],
        )
        self._workers: dict[str, JsonLinesWorker] = {}
        self._replies: dict[str, asyncio.Future] = {}
        self.gateways: dict[str, GatewayProcess] = {}
        self.list_service: ListService | ReplicatedListService | None = None
        self._states: dict[str, str] = {}
        self._tasks: set[asyncio.Task] = set()
        self._last_fault = ""
        self._seconds: dict[str, Second] = {}
        # by gateway and incarnation, then by reason
        self._refusals: dict[tuple[str, int], dict[str, float]] = {}
        self._finished_clients = 0
        self._load_done = asyncio.Event()
        self._failure = ""

    async def play(self) -> RunOutcome:
        """Run the scenario and judge it. Every process that was started is stopped, also after an error."""
        try:
            await self.set_up()
            self._report_progress("the load begins")
            await self._run_load()
        finally:
            await self.close()
        if not self.options.gateways:
            self._report_progress("judging the run")
        return self.judge()

    async def serve_until_cancelled(self) -> None:
        """Run the world and its gateways without a load until cancelled."""
        try:
            await self.set_up()
            self._announce_start()
            await asyncio.Event().wait()
        finally:
            await self.close()

    async def set_up(self) -> None:
        """Start workers and gateways; return when the workers listen and the gateways are ready."""
        raise_descriptor_limit()
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "scenario.json").write_text(scenarios.encode(self.scenario), encoding="utf-8")
        self._records_file = (self.folder / "run.jsonl").open("wb")
        self._writer = r.Writer(self._records_file)
        for shard in range(self.options.client_workers):
            await self._start_worker("clients", shard, self.options.client_workers)
        if not self.options.gateways:
            await self._start_fleet()
        for shard in range(self.options.client_workers):
            await self._reply(f"clients-{shard}:clients")

    async def _start_fleet(self) -> None:
        command = run_command(self.options.deploy)
        self._report_progress(
            f"{len(self.world.servers)} servers, {len(self.world.gateways)} gateways, "
            f"{len(self.world.first_tries)} requests, seed {self.options.seed}"
        )
        backing = await self._start_world()
        if self.scenario.listing.source != "agent":
            await self._start_list_service(backing)
        root = self.options.deploy.resolve().parent.parent
        for spec in self.world.gateways:
            gateway = GatewayProcess(
                spec,
                self.world,
                root,
                command,
                self.folder,
                self._address_of(spec.number),
                self._on_gateway_state,
                self.options.log_format,
            )
            gateway.configure(backing[spec.name])
            self.gateways[spec.name] = gateway
        await self._gather_all([gateway.start() for gateway in self.gateways.values()])

    async def close(self) -> None:
        """Stop all child processes: gateways with SIGTERM as the platform does, then list service and
        workers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        try:
            await asyncio.gather(*(gateway.terminate() for gateway in self.gateways.values()))
        finally:
            for gateway in self.gateways.values():
                await gateway.close()
            if self.list_service is not None:
                await self.list_service.close()
            await asyncio.gather(*(worker.stop() for worker in self._workers.values()))
            if hasattr(self, "_records_file"):
                self._writer.flush()
                self._records_file.close()

    def judge(self) -> RunOutcome:
        """Judge the records of all processes; also write the outcome to outcome.json in the run's folder."""
        verdict = None
        if not self.options.gateways:
            files = [*sorted(self.folder.glob("*-[0-9]*.jsonl")), self.folder / "run.jsonl"]
            verdict = Judge(self.world, r.read_records(files)).verdict()
        seconds = max(self.tally.last_offered_ms / 1000, 1e-3)
        outcome = RunOutcome(
            verdict,
            self.tally.rows(),
            self.tally.void_reason(),
            self.tally.lateness_ms(),
            self.tally.offered_count,
            self.tally.offered_count / seconds,
            *self.tally.peaks_per_second(),
            self._refusals_by_reason(),
            {name: gateway.cpu_s() for name, gateway in self.gateways.items()},
            {name: gateway.peak_mb for name, gateway in self.gateways.items()},
            str(self.folder),
        )
        (self.folder / "outcome.json").write_bytes(
            msgspec.json.format(msgspec.json.encode(outcome), indent=1)
        )
        return outcome

    # --- The world ----------------------------------------------------------------------------------------

    def _address_of(self, number: int) -> str:
        return host_of(self._network, number)

    async def _start_world(self) -> dict[str, dict[str, str]]:
        options = self.options
        for shard in range(options.host_workers):
            await self._start_worker("hosts", shard, options.host_workers)
        await self._start_worker("backing", 0, 1)
        servers: dict[str, dict[str, str]] = {g.name: {} for g in self.world.gateways}
        for shard in range(options.host_workers):
            for gateway, addresses in (await self._reply(f"hosts-{shard}:servers")).items():
                servers[gateway] |= addresses
        self._workers["backing-0"].send({"servers": servers})
        return await self._reply("backing-0:backing")

    async def _start_list_service(self, backing: dict[str, dict[str, str]]) -> None:
        """Start the project's list service in place of the agents; servers register before gateways start."""
        service_class = ListService if self.scenario.listing.source == "registry" else ReplicatedListService
        self.list_service = service_class(self.folder, self._address_of(0), self.options.log_format)
        addresses = await self.list_service.start()
        self._report_progress(
            f"the list service is at {','.join(addresses)}: plumwall servers --at {','.join(addresses)}"
        )
        hosts = [name for name in self._workers if name.startswith("hosts")]
        for name in hosts:
            self._workers[name].send({"registry": addresses})
        for name in hosts:
            await self._reply(f"{name}:registered")
        for number, gateway_addresses in enumerate(backing.values()):
            gateway_addresses["discovery"] = addresses[number % len(addresses)]

    async def _start_worker(self, role: str, shard: int, shards: int) -> None:
        process = await spawn_module(
            "plumwall.emulator.worker",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
        )
        name = f"{role}-{shard}"
        worker = JsonLinesWorker(
            process,
            lambda message: self._on_worker_message(name, message),
            lambda code: self._on_worker_exit(name, code),
        )
        self._workers[name] = worker
        worker.send(
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

    def _reply_future(self, key: str) -> asyncio.Future:
        if key not in self._replies:
            self._replies[key] = asyncio.get_running_loop().create_future()
        return self._replies[key]

    async def _reply(self, key: str) -> object:
        """Wait for the value that a worker sends under a key. Raises StartError after the time-out."""
        try:
            async with asyncio.timeout(WORKER_REPLY_TIMEOUT_S):
                return await self._reply_future(key)
        except TimeoutError:
            raise StartError(
                f"{key}: the emulator worker did not answer within {WORKER_REPLY_TIMEOUT_S:g} s"
            ) from None

    def _on_worker_message(self, name: str, message: dict[str, object]) -> None:
        for second in msgspec.convert(message.pop("tick", []), list[Second]):
            self._seconds[second.gateway] = second
            self._exporter.record_second(second)
        if "over" in message:
            self.tally.merge(message.pop("over"))
            self._finished_clients += 1
            if self._finished_clients == self.options.client_workers:
                self._load_done.set()
        for key, value in message.items():
            future = self._reply_future(f"{name}:{key}")
            if not future.done():
                future.set_result(value)

    def _on_worker_exit(self, name: str, code: int) -> None:
        self._failure = f"{name}: the emulator worker exited with status {code}"
        for future in self._replies.values():
            if not future.done():
                future.set_exception(StartError(self._failure))
        self._load_done.set()

    # --- The run ------------------------------------------------------------------------------------------

    def _announce_start(self) -> None:
        """Send the start time of the load to all workers and schedule the faults."""
        self.load_start_ms = (time.monotonic() + START_DELAY_S) * 1000
        addresses = {name: gateway.listen for name, gateway in self.gateways.items()} or {
            spec.name: address
            for spec, address in zip(self.world.gateways, self.options.gateways, strict=True)
        }
        for name, worker in self._workers.items():
            if name.startswith("clients"):
                worker.send({"gateways": addresses})
            worker.send({"go": self.load_start_ms})
        loop = asyncio.get_running_loop()
        for event in self.world.fault_events:
            call_not_before(loop, self.load_start_ms + event.at_ms, self._apply_fault, event)
        self._spawn(self._poll_status())
        if self.list_service is not None:
            self._spawn(self.list_service.start_checkers())

    async def _run_load(self) -> None:
        """Start the load and wait until the last client has finished."""
        self._announce_start()
        longest = max(c.deadline_ms for c in self.scenario.classes) / 1000
        try:
            async with asyncio.timeout(self.scenario.length_s + longest + CLIENT_GRACE_S):
                await self._load_done.wait()
        except TimeoutError:
            self._failure = "the clients did not finish in time"
        if self._failure:
            raise StartError(self._failure)
        await self._poll_metrics()

    def _now_ms(self) -> float:
        return time.monotonic() * 1000 - self.load_start_ms

    def _apply_fault(self, event: FaultEvent) -> None:
        """Record a fault event, and apply it if it concerns a gateway or a replica of the list service."""
        self._writer.write(r.Fault(self._now_ms(), event.kind, event.target, event.size))
        self._exporter.record_fault(event.kind)
        self._last_fault = f"{event.at_ms / 1000:.1f} s {event.kind} {event.target}"
        if event.kind in ("holding_lost", "holding_start"):
            self._spawn(self.list_service.apply_fault(event.kind, event.target))
        gateway = self.gateways.get(event.target)
        if gateway is None:
            return
        if event.kind == "gateway_kill":
            gateway.kill()
        elif event.kind == "gateway_start":
            self._spawn(gateway.start())
        elif event.kind == "gateway_restart":
            self._spawn(gateway.restart())
        elif event.kind == "gateway_move":
            self._spawn(self._move(gateway))

    async def _move(self, gateway: GatewayProcess) -> None:
        """Give the gateway new addresses of its counter and discovery in a configuration reload (SIGHUP)."""
        name = gateway.spec.name
        self._replies.pop(f"backing-0:moved {name}", None)
        self._workers["backing-0"].send({"move": name})
        gateway.move(await self._reply(f"backing-0:moved {name}"))

    async def _gather_all(self, awaitables: list) -> None:
        """Wait until all of them have ended; raise the first error."""
        results = await asyncio.gather(*awaitables, return_exceptions=True)
        for result in results:
            if isinstance(result, BaseException):
                raise result

    def _on_gateway_state(self, name: str, state: str, why: str) -> None:
        self._states[name] = state
        self._exporter.record_state(name, state)
        self._writer.write(r.GatewayIs(self._now_ms() if self.load_start_ms else 0.0, name, state, why))

    async def _poll_status(self) -> None:
        """Report the status of the run once a second."""
        while True:
            await asyncio.sleep(1.0)
            metrics = await self._poll_metrics()
            self._report_status(
                RunStatus(
                    self._now_ms() / 1000,
                    dict(self._seconds),
                    dict(self._states),
                    metrics,
                    self._last_fault,
                )
            )

    async def _poll_metrics(self) -> dict[str, dict[str, float]]:
        """Read the metrics of every gateway. Refusal counts are kept, since they are lost when a process
        ends."""
        results = await asyncio.gather(*(gateway.metrics() for gateway in self.gateways.values()))
        for gateway, metrics in zip(self.gateways.values(), results, strict=True):
            refusals = {
                name.split('"')[1]: value
                for name, value in metrics.items()
                if name.startswith(REFUSALS_METRIC_PREFIX)
            }
            if refusals:
                self._refusals[gateway.spec.name, gateway.incarnation] = refusals
                self._writer.write(
                    r.Figures(
                        self._now_ms(),
                        gateway.spec.name,
                        refusals,
                        metrics.get("gateway_pressure", 0.0),
                        metrics.get("gateway_admitted_share", 1.0),
                    )
                )
        return dict(zip(self.gateways, results, strict=True))

    def _refusals_by_reason(self) -> dict[str, int]:
        """Refusals by reason over all incarnations. Up to a second before a SIGKILL may be missing, because
        metrics are read once a second."""
        sums: dict[str, int] = {}
        for refusals in self._refusals.values():
            for reason, count in refusals.items():
                sums[reason] = sums.get(reason, 0) + int(count)
        return dict(sorted(sums.items(), key=lambda item: -item[1]))

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._failure = str(task.exception())
            self._load_done.set()
