"""Shared helpers: a gateway driven event by event, and the real program between fakes on loopback sockets."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import re
import resource
import socket
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path

import hypothesis
import uvloop

from yewstage import interface as api
from yewstage.policy import Gateway

# The same examples in each run and no time limit for one: results do not depend on the machine.
hypothesis.settings.register_profile("steady", derandomize=True, deadline=None)
hypothesis.settings.load_profile("steady")

SAFE = api.RequestClass("read", objective_ms=1000, deadline_ms=4000, worth=3)
KEYED = api.RequestClass(
    "put", objective_ms=1000, deadline_ms=4000, worth=5, effect="keyed", key_scope="zone", window_ms=3000
)
UNSAFE = api.RequestClass("pay", objective_ms=1000, deadline_ms=4000, worth=5, effect="unsafe")
PLAN = api.Plan("basic", rate=2, burst=6)
CAPPED = api.Plan("capped", rate=5, burst=10, worth=1.4, over_worth=0.2, ceiling_rate=10, ceiling_burst=20)
OPEN = api.Plan("open")


def settings(**changes: object) -> api.Settings:
    base = api.Settings(
        classes=(SAFE, KEYED, UNSAFE),
        plans=(PLAN, CAPPED, OPEN),
        fleet_size=3,
        try_limit=4,
        cancel=True,
        retry_after=True,
        max_retry_after_ms=2000,
        counter_enabled=True,
        tick_ms=2,
        cold_from=0.2,
        cold_ms=10000,
        fall_multiple=3,
        tip_after_ms=2000,
    )
    return dataclasses.replace(base, **changes)


class Driver:
    """A gateway with a simulated clock; it numbers the requests and logs all actions."""

    def __init__(self, servers: int = 4, seed: int = 1, now: float = 1e6, **changes: object) -> None:
        self.gateway = Gateway(settings(**changes), seed)
        self.now = now
        self.serial = 0
        self.totals: dict[str, float] = {}  # totals of a simulated counter; calls it has answered
        self.answered = 0
        self.log: list[tuple[float, api.Action]] = []
        self.give(api.ServerList("kept", tuple(server(i) for i in range(servers))))

    def give(self, event: api.Event, after: float = 0.0) -> list[api.Action]:
        self.now += after
        out = self.gateway.handle(self.now, event)
        self.log += [(self.now, act) for act in out]
        return out

    def ask(
        self,
        cls: str = "read",
        plan: str = "open",
        customer: str = "c",
        left: float = 4000,
        units: float = 1,
        after: float = 0.0,
        width: int = 3,
    ) -> tuple[str, list[api.Action]]:
        self.serial += 1
        rid = f"r{self.serial}"
        return rid, self.give(api.Request(rid, cls, plan, customer, left, units, width, 0), after)

    def end(
        self,
        rid: str,
        result: str = api.OK,
        took: float = 50,
        attempt: int | None = None,
        true_units: float = 0.0,
        after: float = 0.0,
    ) -> list[api.Action]:
        sends = [a for _, a in self.log if isinstance(a, api.Send) and a.request == rid]
        n = len(sends) - 1 if attempt is None else attempt
        return self.give(
            api.Outcome(rid, n, sends[n].server, result, took, result == api.OK, billed_units=true_units),
            after,
        )

    def sweep(self, times: int = 1, every: float = 100) -> None:
        for _ in range(times):
            self.give(api.TimerDue("sweep"), every)


def server(i: int, **changes: object) -> api.Server:
    return dataclasses.replace(api.Server(f"h{i}", "ab"[i % 2], i % 2), **changes)


def actions_of(out: list[api.Action], kind: type) -> list:
    return [a for a in out if isinstance(a, kind)]


# --- The real program over loopback sockets ---------------------------------------------------------------

ROOT = Path(__file__).parent.parent
LOOP = "127.0.0.1"
RID = b"9b1f03aa5c7e2d41"
GRADES = [
    {"name": "read", "objective_ms": 3000.0, "deadline_ms": 6000.0, "worth": 3.0, "effect": "safe"},
    {
        "name": "put",
        "objective_ms": 5500.0,
        "deadline_ms": 6000.0,
        "worth": 2.0,
        "effect": "keyed",
        "key_scope": "all",
        "window_ms": 4000.0,
    },
    {"name": "pay", "objective_ms": 3000.0, "deadline_ms": 6000.0, "worth": 2.0, "effect": "unsafe"},
]
PACKAGES = [
    {"name": "team", "refill": 500.0, "burst": 1000.0, "worth_factor": 1.0},
    {"name": "small", "refill": 1.0, "burst": 4.0, "worth_factor": 1.0, "over_cost": 1.0},
    {"name": "ample", "refill": 1e6, "burst": 1e6, "worth_factor": 1.0},
]
Behave = Callable[["SeenMessage"], bytes | None]


def reply(body: bytes = b"ok", status: int = 200, headers: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (status, headers, len(body), body)


def message(
    cls: str = "read",
    *,
    customer: str = "00000000b4d65521",
    plan: str = "team",
    body: bytes = b"",
    deadline: str = "6000m",
    rid: bytes = RID,
    method: str = "",
    drop: str = "",
    more: str = "",
    key: bool = True,
    target: str = "",
) -> bytes:
    """A client's request as bytes; `drop` omits a header, `more` adds header lines."""
    method = method or ("GET" if cls == "read" else "POST")
    lines = {
        "Host": "origin.svc",
        "X-Request-Id": rid.decode(),
        "X-Class": cls,
        "Plan": plan,
        "X-Deadline": deadline,
        "Quota-Info": "units=2,spread=1,first=0",
    }
    if method == "POST":
        lines["Content-Length"] = str(len(body))
        if key:
            lines["Idempotency-Key"] = "5c0f6e1a"
    lines.pop(drop, None)
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"{method} {target or '/api/' + customer} HTTP/1.1\r\n{head}{more}\r\n".encode() + body


@dataclasses.dataclass
class SeenMessage:
    """A message that a fake has read, with its connection."""

    line: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter


def serve(seen: SeenMessage) -> bytes:
    """Behaviour of a server that answers at once."""
    return reply(b"served")


def silent(seen: SeenMessage) -> None:
    """Behaviour of a server that does not answer."""


async def read_message(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> SeenMessage:
    """Read one whole request or answer."""
    line, *rest = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {k.lower(): v for k, _, v in (r.partition(": ") for r in rest if r)}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return SeenMessage(line, headers, body, writer)


class FakeHttpServer:
    """A scripted HTTP server. `behave` returns the answer to a request, None for none, b"" for a reset."""

    def __init__(self, behave: Behave) -> None:
        self.behave = behave
        self.seen: list[SeenMessage] = []
        self.closed = 0  # connections closed by the other side
        self.changed = asyncio.Event()

    async def start(self) -> FakeHttpServer:
        self.server = await asyncio.start_server(self._serve, LOOP, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                seen = await read_message(reader, writer)
                self.seen.append(seen)
                self.changed.set()
                answer = self.behave(seen)
                if answer == b"":
                    writer.transport.abort()
                    return
                if answer is not None:
                    writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
            self.changed.set()
        finally:
            writer.close()

    async def wait_until(self, ready: Callable[[FakeHttpServer], bool]) -> None:
        """Wait for a condition on what the fake has seen; the test's own limit bounds the wait."""
        while not ready(self):
            self.changed.clear()
            await self.changed.wait()

    def stop(self) -> None:
        self.server.close()


def counter_reply(seen: SeenMessage, totals: dict[str, float]) -> bytes:
    """Behaviour of the counter: add, and answer with the total."""
    name, query = seen.line.split()[1].removeprefix("/v1/count/").split("?")
    totals[name] = totals.get(name, 0.0) + float(query.split("&")[0].removeprefix("add="))
    return reply(f"{totals[name]:g}".encode())


class FakeDiscovery:
    """A fake discovery service: lists at once, and holds each watch until `tell`."""

    def __init__(self, instances: list[dict]) -> None:
        self.generation, self.instances = 1, instances
        self.waiting: list[SeenMessage] = []
        self.fake = FakeHttpServer(self._behave)

    def _behave(self, seen: SeenMessage) -> bytes | None:
        if "after=" not in seen.line or "after=0&" in seen.line:  # to the generation before the first one
            return self.listing(self.instances, True)
        self.waiting.append(seen)
        return None

    def listing(self, instances: list[dict], whole: bool) -> bytes:
        raw = {"generation": self.generation, "reset": whole, "instances": instances}
        return reply(json.dumps(raw).encode())

    async def tell(self, instances: list[dict], whole: bool = False) -> None:
        """Answer the open watch and wait for the next one."""
        await self.answer_watch(lambda: self.listing(instances, whole))

    async def answer_watch(self, data: Callable[[], bytes]) -> None:
        await self.fake.wait_until(lambda fake: bool(self.waiting))
        self.generation += 1
        count = len(self.fake.seen)
        self.waiting.pop().writer.write(data())
        await self.fake.wait_until(lambda fake: len(fake.seen) > count)


def instance(name: str, port: int, lifecycle: str = "ready") -> dict:
    return {
        "instanceId": name,
        "hostPort": f"{LOOP}:{port}",
        "zone": "a",
        "machineType": "m",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }


def port_in(line: str) -> int:
    """The port in the address at the end of a log line, as text or as JSON."""
    return int(re.search(r":(\d+)\D*$", line)[1])


class GatewayRig:
    """The real program with fake servers, a fake counter and a fake discovery service."""

    def __init__(self, folder: Path, *behaves: Behave, **limits: int) -> None:
        self.folder, self.limits = folder, limits
        self.hosts = [FakeHttpServer(b) for b in behaves]
        self.totals: dict[str, float] = {}
        self.counter = FakeHttpServer(lambda seen: counter_reply(seen, self.totals))
        self.held: socket.socket | None = None  # the clients' listening socket if the platform holds it
        self.process: asyncio.subprocess.Process | None = None
        self.processes: list[asyncio.subprocess.Process] = []
        self.reading: list[asyncio.Task] = []
        self.port = self.ops_port = 0
        self.environment: dict[str, str] = {}  # further variables of the process
        self.log: list[str] = []

    async def __aenter__(self) -> GatewayRig:
        for host in self.hosts:
            await host.start()
        await self.counter.start()
        self.directory = FakeDiscovery(self.instances())
        await self.directory.fake.start()
        await self.launch()
        return self

    def instances(self) -> list[dict]:
        """The list of servers that discovery answers with."""
        return [instance(f"s-{i}", h.port) for i, h in enumerate(self.hosts)]

    def known_instances(self) -> list[dict]:
        """The list of servers in the configuration."""
        return []

    async def launch(self) -> None:
        """Start the program, on the same port if it has run before, and wait until it is ready."""
        self.config = {
            "name": "n0",
            "listen": f"{LOOP}:{self.port}",
            "discovery": f"{LOOP}:{self.directory.fake.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **self.limits},
            "counter": f"{LOOP}:{self.counter.port}",
            "ops": f"{LOOP}:0",
            "known": {"generation": 0, "reset": True, "instances": self.known_instances()},
            "settings": {
                "grades": GRADES,
                "packages": PACKAGES,
                "fleet_size": 1,
                "me": 0,
                "zone": "a",
                "tick_ms": 4.0,
                "bounds": {
                    "try_limit": 3,
                    "cancel": True,
                    "retry_after": True,
                    "max_retry_after_ms": 1000.0,
                    "dial_timeout_ms": 250.0,
                    "conn_idle_ms": 30000.0,
                },
                "family_info": {"may_count": True, "count_wait_ms": 30.0, "trued_up": True},
            },
        }
        self.path = self.folder / "config.json"
        self.path.write_text(json.dumps(self.config))
        await self.spawn()
        while (await self.ask(b"GET /ready HTTP/1.1\r\n\r\n")).line.split()[1] != "200":
            await asyncio.sleep(0.02)

    async def spawn(self) -> None:
        """Start a process of the program; later calls go to it."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "yewstage",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            pass_fds=() if self.held is None else (self.held.fileno(),),
            env={
                **os.environ,
                "ROUTER_CONFIG": str(self.path),
                "TMPDIR": str(self.folder),
                "ROUTER_DISCOVERY": self.config["discovery"],
                **({} if self.held is None else {"ROUTER_LISTEN_FD": str(self.held.fileno())}),
                **self.environment,
            },
        )
        while "listening on" not in (line := (await self.process.stderr.readline()).decode()):
            assert line, "the program exited at its start"
            if "operators' address" in line:
                self.ops_port = port_in(line)
        self.port = port_in(line)
        if "sockets" in self.limits:
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (self.limits["sockets"],) * 2)
        self.processes.append(self.process)
        self.reading.append(asyncio.create_task(self._read_log(self.process)))

    def hold(self) -> GatewayRig:
        """Open the clients' listening socket as the platform does, for every process to inherit."""
        self.held = socket.create_server((LOOP, 0))
        return self

    async def wait_for_log(self, text: str) -> str:
        """Wait for a log line that contains a text, and return it."""
        while not (lines := [line for line in self.log if text in line]):
            await asyncio.sleep(0.01)
        return lines[0]

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        while line := (await process.stderr.readline()).decode():
            self.log.append(line)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(LOOP, self.port)

    async def ask(self, data: bytes) -> SeenMessage:
        """Send one request on a connection of its own and return the answer."""
        reader, writer = await self.connect()
        writer.write(data)
        try:
            return await read_message(reader, writer)
        finally:
            writer.close()

    async def ops(self, path: str) -> SeenMessage:
        """One call to the operators' address."""
        reader, writer = await asyncio.open_connection(LOOP, self.ops_port)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
        try:
            return await read_message(reader, writer)
        finally:
            writer.close()

    async def metrics(self) -> dict[str, float]:
        """The metrics by name, labels included."""
        lines = (await self.ops("/ops/stats")).body.decode().splitlines()
        return {name: float(value) for name, _, value in (line.rpartition(" ") for line in lines)}

    async def status(self, data: bytes) -> int:
        return int((await self.ask(data)).line.split()[1])

    async def __aexit__(self, *exc: object) -> None:
        for process, reading in zip(self.processes, self.reading, strict=True):
            if process.returncode is None:
                process.kill()
                await process.wait()
            reading.cancel()
        if self.held is not None:
            self.held.close()
        for fake in (*self.hosts, self.counter, self.directory.fake):
            fake.stop()


def run_on_loop(scenario: Callable[[], Coroutine], limit_s: float = 30.0) -> None:
    """Run a scenario on an event loop; it fails if it takes longer than `limit_s`."""

    async def bounded() -> None:
        async with asyncio.timeout(limit_s):
            await scenario()

    uvloop.run(bounded())  # as the program does: uvloop fires timers before it reads sockets
