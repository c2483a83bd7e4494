"""Stand-ins around one gateway: discovery, the quota counter, statement servers and clients, on loopback.

Only the standard library is used. A gateway is started with the `run` command of the deploy file, from the
root of the project, with its configuration in a temporary folder.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
READY_TIMEOUT_S = 20.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRunError(RuntimeError):
    """The case could not run; this says nothing about the rule."""


def settings(**changes: object) -> dict:
    """Settings of a small deployment: one gateway, the classes and plans of lagos-head-office."""
    classes = [("view-statement", "safe", 1500.0, 1.0), ("send-statement", "keyed", 1200.0, 3.0)]
    classes.append(("post-remittance", "unsafe", 1200.0, 3.0))
    return {
        "fleet_size": 1,
        "me": 0,
        "tick_ms": 2.0,
        "membership_mode": "pushed",
        "zones": ["hall-a", "hall-b"],
        "zone": "hall-a",
        "grades": [
            {
                "name": name,
                "effect": effect,
                "objective_ms": objective_ms,
                "deadline_ms": 4000.0,
                "worth": worth,
                "late_worth": 0.0 if effect == "safe" else 0.2,
                "key_scope": "cell" if effect == "keyed" else "all",
                "window_ms": 4000.0,
                "stream": False,
            }
            for name, effect, objective_ms, worth in classes
        ],
        "packages": [
            {
                "name": "premium",
                "refill": 22.0,
                "burst": 60.0,
                "worth_factor": 1.6,
                "over_worth": 0.0,
                "over_cost": 0.5,
                "parallel": 0,
                "ceiling_rate": 0.0,
                "hard_burst": 0.0,
                "tolerance": 0.0,
            }
        ],
        "bounds": {
            "cancel": True,
            "conn_idle_ms": 15000.0,
            "dial_timeout_ms": 250.0,
            "max_retry_after_ms": 2000.0,
            "retry_after": True,
            "second_copies": False,
            "try_limit": 6,
        },
        "clients": {"marks_retry": True},
        "family_info": {"may_count": True, "count_wait_ms": 50.0, "most_units": 8, "trued_up": True},
        "rules": {
            "cold_from": 0.26,
            "cold_ms": 17000.0,
            "fall_multiple": 3.0,
            "tip_after_ms": 1500.0,
            "answer_slack_ms": 8.0,
            "stop_sending_within_ms": 2000.0,
            "must_ask_in_ms": 10000.0,
        },
        "penalties": {"handshake": 0.0},
        **changes,
    }


class Record:
    """`record.txt`: what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Message:
    """One parsed HTTP/1.1 message; `start` is its first line."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes = b"") -> None:
        self.start, self.headers, self.body = start, headers, body

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start.split()[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start.split()[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; None if the connection has ended before its first byte."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    start, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(start, headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read a body framed by Content-Length or by chunks; without either a request has none."""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(message.headers.get("content-length", 0)))


def answer(body: bytes, status: str = "200 OK", headers: str = "") -> bytes:
    """An answer whose length is told."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body


Handler = Callable[[Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


class Service:
    """A server on a free port; `handle` gets each head and returns whether the connection goes on."""

    def __init__(self, handle: Handler, receive_buffer: int = 0) -> None:
        self._handle, self._receive_buffer = handle, receive_buffer  # bytes; 0: as the system sizes it
        self._server: asyncio.Server | None = None
        self.address = ""
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen."""
        listening = socket.socket()
        if self._receive_buffer:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer)
        listening.bind((HOST, 0))
        self._server = await asyncio.start_server(self._serve, sock=listening, limit=2**18)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (head := await read_head(reader)) is not None:
                if not await self._handle(head, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


class Discovery(Service):
    """The agent: tells the whole list, and to a watch that nothing has changed."""

    def __init__(self) -> None:
        super().__init__(self._call)
        self.instances: list[dict] = []
        self.generation = 41

    def listing(self, is_full: bool = True) -> dict:
        """The list, or a change without entries."""
        return {
            "generation": self.generation,
            "reset": is_full,
            "instances": self.instances if is_full else [],
        }

    async def _call(self, head: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        query = dict(part.partition("=")[::2] for part in head.target.partition("?")[2].split("&") if part)
        is_full = int(query.get("after", -1)) != self.generation
        if not is_full:
            await asyncio.sleep(min(float(query.get("wait_ms", 0)), 60000.0) / 1000)
        writer.write(answer(json.dumps(self.listing(is_full)).encode()))
        return True


class Counter(Service):
    """The quota counter."""

    def __init__(self) -> None:
        super().__init__(self._call)
        self._names: dict[str, tuple[float, float]] = {}  # total, and when it is forgotten

    async def _call(self, head: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        await read_body(reader, head)
        name, _, raw = head.target.removeprefix("/v1/count/").partition("?")
        query = dict(part.partition("=")[::2] for part in raw.split("&"))
        now = time.monotonic()
        total, until = self._names.get(name, (0.0, 0.0))
        if until <= now:
            total, until = 0.0, now + min(float(query["ttl_ms"]), 60000.0) / 1000
        total += float(query["add"])
        self._names[name] = total, until
        writer.write(answer(b"%.7g" % total))
        return True


class GatewayProcess:
    """One gateway, as the platform starts it."""

    def __init__(self, folder: Path, config: dict) -> None:
        self._folder, self._config = folder, config
        self.process: asyncio.subprocess.Process | None = None
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            self.port = probe.getsockname()[1]
        config["listen"] = f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Start it and wait until it is ready."""
        temporary = self._folder / "tmp"
        temporary.mkdir(exist_ok=True)
        path = self._folder / "config.json"
        path.write_text(json.dumps(self._config))
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
        environment |= {"ROUTER_CONFIG": str(path), "TMPDIR": str(temporary)}
        with (self._folder / "gateway.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        deadline = time.monotonic() + READY_TIMEOUT_S
        while True:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 2)
                writer.close()
                if head is not None and head.status == 200:
                    return
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            if self.process.returncode is not None or time.monotonic() > deadline:
                raise CannotRunError("the gateway is not ready: " + self.log()[-500:])
            await asyncio.sleep(0.05)

    def log(self) -> str:
        """Its log so far."""
        return (self._folder / "gateway.log").read_text(errors="replace")

    async def stop(self) -> None:
        """End it."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Rig:
    """A gateway between a discovery, a counter and statement servers.

    A server is given by the handler of its requests, or by its address if it runs elsewhere.
    """

    def __init__(
        self, servers: list[Handler | str], limits: dict | None = None, changes: dict | None = None
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="plumwall-review-"))
        self.discovery, self.counter = Discovery(), Counter()
        self._services = [Service(server) for server in servers if not isinstance(server, str)]
        self._servers = servers
        self._limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self._changes = changes or {}
        self.gateway: GatewayProcess | None = None

    async def __aenter__(self) -> Rig:
        for service in (self.discovery, self.counter, *self._services):
            await service.start()
        started = iter(self._services)
        addresses = [s if isinstance(s, str) else next(started).address for s in self._servers]
        self.discovery.instances = [
            {
                "instanceId": f"s-{number}",
                "hostPort": address,
                "zone": "hall-a",
                "machineType": "std-2core",
                "cell": 0,
                "lifecycle": "ready",
                "weight": 1.0,
                "startedAtMs": 0,
            }
            for number, address in enumerate(addresses)
        ]
        self.gateway = GatewayProcess(
            self.folder,
            {
                "name": "n0",
                "discovery": self.discovery.address,
                "counter": self.counter.address,
                "seed": "8c1f30d27a5be964",
                "limits": self._limits,
                "known": self.discovery.listing(),
                "settings": settings(**self._changes),
            },
        )
        try:
            await self.gateway.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        if self.gateway is not None:
            await self.gateway.stop()
        for service in (self.discovery, self.counter, *self._services):
            await service.stop()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


METHODS = {"view-statement": "GET", "send-statement": "POST", "post-remittance": "POST"}


def request(
    request_id: str, cls: str, customer: int, deadline_ms: int = 4000, body: bytes | None = None
) -> bytes:
    """A client's request with its body; `body` None: a short one where the method has one."""
    lines = [f"{METHODS[cls]} /api/{customer:016x} HTTP/1.1", "Host: origin.svc"]
    lines += [f"X-Request-Id: {request_id}", f"X-Class: {cls}", "Plan: premium"]
    lines += [f"X-Deadline: {deadline_ms}m", "Quota-Info: units=1,spread=1,first=0"]
    if cls == "send-statement":
        lines.append(f"Idempotency-Key: k-{request_id}")
    if METHODS[cls] == "POST":
        body = f"body of {request_id}".encode() if body is None else body
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


def run_case(case: Callable[[Record, bool], Awaitable[bool]], folder: Path) -> None:
    """Run a case: it returns whether the rule held. Ends the process with the status of the case."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write(f"trouble: {'yes' if has_trouble else 'no'}")
    try:
        held = asyncio.run(asyncio.wait_for(case(record, has_trouble), 110))
    except Exception as error:  # says nothing about the rule
        record.write(f"the case could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    record.write("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
