"""Stand-ins for the cases of the second review: platform, discovery, counter, statement servers, clients.

They behave as the operators' pages say, and use the standard library only. Each address is loopback.
"""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # 0: the same without the disruption
LIMIT_S = 110.0  # for a whole case
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
BACKLOG = 512
SERVER_IDLE_S = 15.0  # a server closes a connection that was idle for so long (the settings' conn_idle_ms)


class CannotRunError(Exception):
    """The case could not be run, so that nothing is known of the rule."""


# --- The record -------------------------------------------------------------------------------------------


class Record:
    """Writes `record.txt` in the folder of the case: what was sent, answered and run, with its time."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():9.3f} {text}\n")

    def tell(self, text: str) -> None:
        """Write a line that is also printed."""
        self.write(text)
        self._file.flush()
        print(text, flush=True)

    def close(self) -> None:
        self._file.close()


# --- Settings of a small deployment -----------------------------------------------------------------------


def request_class(name: str, effect: str, objective_ms: float, deadline_ms: float, worth: float) -> dict:
    return {
        "name": name,
        "effect": effect,
        "key_scope": "cell" if effect == "keyed" else "all",
        "window_ms": 4000.0,
        "objective_ms": objective_ms,
        "deadline_ms": deadline_ms,
        "worth": worth,
        "late_worth": 0.0 if effect == "safe" else 0.2,
        "stream": False,
    }


CLASSES = [
    request_class("view-statement", "safe", 1500.0, 4000.0, 1.0),
    request_class("send-statement", "keyed", 1200.0, 4000.0, 3.0),
    request_class("post-remittance", "unsafe", 1200.0, 4000.0, 3.0),
]
PLANS = [
    {"name": "basic", "refill": 1.9, "burst": 16.0, "worth_factor": 0.8, "over_cost": 0.8},
    {
        "name": "standard",
        "refill": 3.8,
        "burst": 32.0,
        "worth_factor": 1.1,
        "over_cost": 0.6,
        "ceiling_rate": 7.9,
        "hard_burst": 66.0,
        "tolerance": 8.0,
    },
    {"name": "premium", "refill": 13.0, "burst": 34.0, "worth_factor": 1.6, "over_cost": 0.5},
]
EFFECTS = {c["name"]: c["effect"] for c in CLASSES}


def settings(index: int, fleet_size: int, membership_mode: str = "pushed") -> dict:
    """The settings of one gateway, as in the example of the pages."""
    return {
        "me": index,
        "fleet_size": fleet_size,
        "membership_mode": membership_mode,
        "tick_ms": 2.0,
        "zone": "hall-a",
        "zones": ["hall-a", "hall-b"],
        "grades": CLASSES,
        "packages": PLANS,
        "bounds": {
            "cancel": True,
            "conn_idle_ms": SERVER_IDLE_S * 1000,
            "dial_timeout_ms": 250.0,
            "max_retry_after_ms": 2000.0,
            "open_cap": 20000,
            "probing": True,
            "retry_after": True,
            "second_copies": False,
            "try_limit": 6,
        },
        "clients": {"marks_retry": True},
        "family_info": {"may_count": True, "count_wait_ms": 50.0, "most_units": 8, "trued_up": True},
        "rules": {
            "answer_slack_ms": 8.0,
            "cold_from": 0.26,
            "cold_ms": 17000.0,
            "fall_multiple": 3.0,
            "must_ask_in_ms": 10000.0,
            "stop_sending_within_ms": 2000.0,
            "tip_after_ms": 1500.0,
        },
    }


# --- A small HTTP server for the stand-ins ----------------------------------------------------------------


@dataclass
class Call:
    """One request as a stand-in has received it whole."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    connection: int

    def is_open(self) -> bool:
        """Whether the caller has neither closed the connection nor ended its sending."""
        return not (self.writer.transport.is_closing() or self.reader_ended())

    reader_ended: Callable[[], bool] = field(default=lambda: False)

    def reset(self) -> None:
        """Reset the connection, as a machine does whose process has died."""
        linger = struct.pack("ii", 1, 0)
        self.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.writer.transport.abort()


Handle = Callable[[Call], Awaitable[bool]]  # returns whether the connection stays open


def response(status: int, body: bytes = b"", headers: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


class HttpStandIn:
    """Listens on a free loopback port and passes each call to `handle`."""

    def __init__(self, handle: Handle, idle_s: float = 3600.0) -> None:
        self._handle, self._idle_s = handle, idle_s
        self._socket: socket.socket | None = None
        self._accepting: asyncio.Task | None = None
        self._fillers: list[socket.socket] = []  # keep the backlog full while it is cut off
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._connections = 0
        self.address = ""

    def close_later(self, seconds: float) -> None:
        """Refuse new connections and close the open ones after some time, as an address that was left."""
        self.stop_listening()
        asyncio.get_running_loop().call_later(seconds, self.stop)

    async def start(self) -> None:
        self._socket = socket.create_server((LOOPBACK, 0), backlog=BACKLOG)
        self._socket.setblocking(False)
        self.address = f"{LOOPBACK}:{self._socket.getsockname()[1]}"
        self._accepting = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self._socket)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            reader = asyncio.StreamReader()
            protocol = asyncio.StreamReaderProtocol(reader)
            transport, _ = await loop.connect_accepted_socket(lambda protocol=protocol: protocol, accepted)
            writer = asyncio.StreamWriter(transport, protocol, reader, loop)
            task = asyncio.create_task(self._serve(reader, writer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def stop_listening(self) -> None:
        """New connections are refused; open ones go on."""
        if self._socket is not None:
            self._accepting.cancel()
            self._socket.close()
            self._socket = None

    def cut_off(self) -> None:
        """New connections never come up from now on. The open ones are the business of `handle`."""
        self._accepting.cancel()
        self._socket.listen(0)
        host, port = self._socket.getsockname()
        for _ in range(3):  # as many as a full backlog takes, and one that waits before it
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, port))
            self._fillers.append(filler)

    def join(self) -> None:
        """End `cut_off`."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._socket.listen(BACKLOG)
        self._accepting = asyncio.create_task(self._accept())

    def stop(self) -> None:
        self.stop_listening()
        for filler in self._fillers:
            filler.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        self._connections += 1
        number = self._connections
        try:
            while True:
                async with asyncio.timeout(self._idle_s):
                    head = await reader.readuntil(b"\r\n\r\n")
                line, *rest = head.decode("latin-1").split("\r\n")
                headers = {k.lower(): v.strip() for k, _, v in (r.partition(":") for r in rest if r)}
                body = await _read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                call = Call(method, target, headers, body, writer, number)
                call.reader_ended = reader.at_eof
                if not await self._handle(call):
                    return
                await writer.drain()
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if not size:
            await reader.readuntil(b"\r\n")
            return b"".join(parts)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)


# --- Discovery and the counter ----------------------------------------------------------------------------


class Agent:
    """One gateway's agent of discovery. `answer_delay_s` is how long each call waits for its turn."""

    def __init__(self, name: str, record: Record, answer_delay_s: float = 0.0) -> None:
        self.name, self._record, self.answer_delay_s = name, record, answer_delay_s
        self._entries: dict[str, tuple[int, dict]] = {}  # id -> generation of its last change, entry
        self.generation = 0
        self._changed = asyncio.Event()
        self._http = HttpStandIn(self._on_call)

    @property
    def address(self) -> str:
        return self._http.address

    async def start(self) -> None:
        await self._http.start()

    def stop(self) -> None:
        self._http.stop()

    def close_later(self, seconds: float) -> None:
        """Leave this address: see `HttpStandIn`."""
        self._http.close_later(seconds)

    def learn(self, entries: list[dict]) -> None:
        """Take in changes, all at once."""
        self.generation += 1
        for entry in entries:
            self._entries[entry["instanceId"]] = self.generation, entry
        self._changed.set()
        self._changed = asyncio.Event()

    def listing(self, after: int | None = None) -> dict:
        entries = [e for g, e in self._entries.values() if g > (after or 0)]
        if after is None:
            entries = [e for e in entries if e["lifecycle"] != "gone"]
        return {"generation": self.generation, "reset": after is None, "instances": entries}

    async def _on_call(self, call: Call) -> bool:
        path, _, query = call.target.partition("?")
        if path != "/v1/endpoints":
            call.writer.write(response(404))
            return True
        fields = parse_qs(query)
        after = int(fields["after"][0]) if "after" in fields else None
        wait_s = min(int(fields.get("wait_ms", ["0"])[0]), 60_000) / 1000
        if after is not None and not 0 < after <= self.generation:
            after = None  # a version of another time: the whole list
        if after == self.generation and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        if self.answer_delay_s:
            await asyncio.sleep(self.answer_delay_s)
        if not call.is_open():
            self._record.write(f"agent {self.name}: the caller of {call.target} has given up")
            return False
        listing = self.listing(after)
        call.writer.write(response(200, json.dumps(listing).encode()))
        self._record.write(f"agent {self.name}: answered {call.target} with generation {self.generation}")
        return True


class CounterStandIn:
    """The quota counter: adds at once and answers with the total."""

    def __init__(self) -> None:
        self._totals: dict[str, tuple[float, float]] = {}  # name -> total, when it is forgotten
        self._http = HttpStandIn(self._on_call, idle_s=10.0)

    @property
    def address(self) -> str:
        return self._http.address

    async def start(self) -> None:
        await self._http.start()

    def stop(self) -> None:
        self._http.stop()

    def close_later(self, seconds: float) -> None:
        """Leave this address: see `HttpStandIn`."""
        self._http.close_later(seconds)

    async def _on_call(self, call: Call) -> bool:
        path, _, query = call.target.partition("?")
        fields, now = parse_qs(query), time.monotonic()
        name = path.removeprefix("/v1/count/")
        total, until = self._totals.get(name, (0.0, 0.0))
        if now >= until:
            total, until = 0.0, now + min(float(fields["ttl_ms"][0]), 60_000.0) / 1000
        total += float(fields["add"][0])
        self._totals[name] = total, until
        call.writer.write(response(200, b"%.7g" % total))
        return True


# --- Statement servers ------------------------------------------------------------------------------------


class StatementServer:
    """A statement server. `serve` writes the answer to a request that has arrived whole."""

    def __init__(
        self,
        name: str,
        zone: str,
        cell: int,
        record: Record,
        serve: Callable[[StatementServer, Call], Awaitable[bool]],
    ) -> None:
        self.name, self.zone, self.cell, self.record, self._serve = name, zone, cell, record, serve
        self.started_at_ms = 0
        self.http = HttpStandIn(self._on_call, idle_s=SERVER_IDLE_S)

    async def _on_call(self, call: Call) -> bool:
        request_id = call.headers.get("x-request-id")
        if request_id is None:
            call.writer.write(response(404))
            return True
        self.record.write(f"server {self.name}: begins {request_id}, X-Deadline {call.headers['x-deadline']}")
        return await self._serve(self, call)

    def entry(self, lifecycle: str = "ready") -> dict:
        return {
            "instanceId": self.name,
            "hostPort": self.http.address,
            "zone": self.zone,
            "machineType": "std-2core",
            "cell": self.cell,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": self.started_at_ms,
        }


# --- Gateways, as the platform starts them ----------------------------------------------------------------


def free_address() -> str:
    with socket.create_server((LOOPBACK, 0)) as sock:
        return f"{LOOPBACK}:{sock.getsockname()[1]}"


class Gateway:
    """One gateway, started by `run` of the deploy file from the root, with an agent of its own."""

    def __init__(
        self,
        index: int,
        fleet_size: int,
        folder: Path,
        record: Record,
        counter: CounterStandIn,
        *,
        memory_mb: int = 128,
        sockets: int = 512,
        membership_mode: str = "pushed",
    ) -> None:
        self.name, self.record, self.counter = f"n{index}", record, counter
        self._folder = folder / self.name
        self._folder.mkdir()
        (self._folder / "tmp").mkdir()
        self.agent = Agent(self.name, record)
        self._limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self._settings = settings(index, fleet_size, membership_mode)
        self.address, self.ops_address = free_address(), free_address()
        self.process: asyncio.subprocess.Process | None = None
        self._log = None

    def host_port(self) -> tuple[str, int]:
        host, _, port = self.address.rpartition(":")
        return host, int(port)

    def write_config(self) -> None:
        """Write the configuration with the present addresses, in one step."""
        config = {
            "name": self.name,
            "listen": self.address,
            "ops": self.ops_address,
            "discovery": self.agent.address,
            "counter": self.counter.address,
            "seed": secrets.token_hex(8),
            "limits": self._limits,
            "known": self.agent.listing(),
            "settings": self._settings,
        }
        path = self._folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(config))
        path.with_suffix(".new").rename(path)

    async def start(self) -> None:
        self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self._log = (self._folder / "log.txt").open("wb")
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("ROUTER_", "PYTHON"))}
        environment |= {
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": self.address,
            "ROUTER_OPS": self.ops_address,
            "ROUTER_DISCOVERY": self.agent.address,
            "ROUTER_CONFIG": str(self._folder / "config.json"),
            "TMPDIR": str(self._folder / "tmp"),
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )

    async def wait_ready(self) -> None:
        for _ in range(600):
            if self.process.returncode is not None:
                raise CannotRunError(f"gateway {self.name} ended at its start")
            try:
                result = await exchange(
                    self.host_port(), b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", time.monotonic() + 1.0
                )
                if result.status == 200:
                    self.record.tell(f"gateway {self.name} is ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRunError(f"gateway {self.name} was not ready in 30 s")

    async def figures(self) -> dict[str, float]:
        """The figures of the operators' address."""
        host, _, port = self.ops_address.rpartition(":")
        result = await exchange(
            (host, int(port)), b"GET /ops/stats HTTP/1.1\r\nHost: ops\r\n\r\n", time.monotonic() + 2.0
        )
        lines = (line for line in result.body.decode().splitlines() if line and line[0] != "#")
        return {name: float(value) for name, _, value in (line.rpartition(" ") for line in lines)}

    def check_alive(self) -> None:
        if self.process.returncode is not None:
            raise CannotRunError(f"gateway {self.name} has ended with {self.process.returncode}")

    def hang_up(self) -> None:
        """Send SIGHUP, after which the gateway reads its configuration again."""
        self.process.send_signal(signal.SIGHUP)

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(2.0):
                    await self.process.wait()
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        if self._log is not None:
            self._log.close()
        self.agent.stop()

    def log_tail(self, lines: int = 25) -> str:
        text = (self._folder / "log.txt").read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])


# --- Clients ----------------------------------------------------------------------------------------------


@dataclass
class Result:
    """What a client has received for one request."""

    status: int = 0
    body: bytes = b""
    length: int | None = None
    is_whole: bool = False
    end: str = "open"  # whole, closed, reset, or gave up
    first_at: float | None = None  # of the monotonic clock
    last_at: float | None = None
    longest_gap_s: float = 0.0  # between two parts
    keeps_alive: bool = False


def client_request(
    cls: str, customer: int, deadline_ms: int, plan: str, fleet_size: int
) -> tuple[str, bytes]:
    """A request of a class without a body, or with a short one; returns its id and its bytes."""
    request_id = secrets.token_hex(8)
    effect = EFFECTS[cls]
    head = (
        f"{'GET' if effect == 'safe' else 'POST'} /api/{customer:016x} HTTP/1.1\r\n"
        f"Host: origin.svc\r\nX-Request-Id: {request_id}\r\nX-Class: {cls}\r\nPlan: {plan}\r\n"
        f"X-Deadline: {deadline_ms}m\r\nQuota-Info: units=1,spread={fleet_size},first=0\r\n"
    )
    if effect == "safe":
        return request_id, f"{head}\r\n".encode()
    if effect == "keyed":
        head += f"Idempotency-Key: {secrets.token_hex(16)}\r\n"
    body = f"statement of {request_id}".encode()
    return request_id, f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def connect(address: tuple[str, int], receive_buffer: int | None = None) -> socket.socket:
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if receive_buffer is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    try:
        await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    return sock


async def read_answer(
    sock: socket.socket, give_up_at: float, bytes_per_s: float | None = None, piece: int = 65536
) -> Result:
    """Read one answer until its end or `give_up_at`; with `bytes_per_s` no faster than that."""
    loop, result, data, body_at = asyncio.get_running_loop(), Result(), b"", -1
    chunks, is_chunked, body_bytes, began_at = [], False, 0, 0.0
    while True:
        now = time.monotonic()
        try:
            async with asyncio.timeout(max(give_up_at - now, 0.0)):
                if bytes_per_s is not None and body_at >= 0:
                    await asyncio.sleep(max(0.0, began_at + body_bytes / bytes_per_s - now))
                part = await loop.sock_recv(sock, piece)
        except TimeoutError:
            result.end = "gave up"
            break
        except ConnectionError:
            result.end = "reset"
            break
        now = time.monotonic()
        if not part:
            result.end = "closed"
            result.is_whole = body_at >= 0 and result.length is None and not is_chunked
            break
        if result.last_at is not None:
            result.longest_gap_s = max(result.longest_gap_s, now - result.last_at)
        result.first_at, result.last_at = result.first_at or now, now
        if body_at < 0:
            data += part
            body_at = data.find(b"\r\n\r\n")
            if body_at < 0:
                continue
            head, part = data[:body_at].decode("latin-1"), data[body_at + 4 :]
            line, *rest = head.split("\r\n")
            headers = {k.lower(): v.strip() for k, _, v in (r.partition(":") for r in rest)}
            result.status, began_at = int(line.split()[1]), now
            result.keeps_alive = headers.get("connection", "").lower() != "close"
            is_chunked = headers.get("transfer-encoding", "").lower() == "chunked"
            result.length = int(headers["content-length"]) if "content-length" in headers else None
        if part:
            chunks.append(part)
            body_bytes += len(part)
        if result.length is not None and body_bytes >= result.length:
            result.is_whole = True
        elif is_chunked and (chunks and b"".join(chunks[-4:]).endswith(b"0\r\n\r\n")):
            result.is_whole = True
        if result.is_whole:
            result.end = "whole"
            break
    result.body = b"".join(chunks)
    if is_chunked:
        result.body = _decode_chunks(result.body)
    return result


def _decode_chunks(data: bytes) -> bytes:
    parts, at = [], 0
    while (end := data.find(b"\r\n", at)) >= 0:
        size = int(data[at:end].split(b";")[0] or b"0", 16)
        if not size:
            break
        parts.append(data[end + 2 : end + 2 + size])
        at = end + 2 + size + 2
    return b"".join(parts)


async def exchange(address: tuple[str, int], data: bytes, give_up_at: float) -> Result:
    """Send a request on a connection of its own and read its answer."""
    sock = await connect(address)
    try:
        await asyncio.get_running_loop().sock_sendall(sock, data)
        return await read_answer(sock, give_up_at)
    finally:
        sock.close()


# --- Running a case ---------------------------------------------------------------------------------------


@dataclass
class Rig:
    """All parties of a case."""

    record: Record
    counter: CounterStandIn
    gateways: list[Gateway]
    servers: list[StatementServer]


Scenario = Callable[[Rig], Awaitable[list[str]]]  # returns the breaches of the rule that were seen


def run_case(
    folder: Path,
    scenario: Scenario,
    serve: Callable[[StatementServer, Call], Awaitable[bool]],
    *,
    gateways: int = 2,
    servers: int = 8,
    **options: object,
) -> int:
    """Start all parties, play the scenario, end all that was started; returns the exit status."""
    record = Record(folder)

    async def play() -> list[str]:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            counter = CounterStandIn()
            await counter.start()
            parties = [
                StatementServer(f"s-{i:02d}", ("hall-a", "hall-b")[i % 2], i // 4, record, serve)
                for i in range(servers)
            ]
            for party in parties:
                await party.http.start()
            fleet = [
                Gateway(i, gateways, Path(temporary), record, counter, **options) for i in range(gateways)
            ]
            try:
                for gateway in fleet:
                    await gateway.agent.start()
                    gateway.agent.learn([party.entry() for party in parties])
                    await gateway.start()
                for gateway in fleet:
                    await gateway.wait_ready()
                breaches = await scenario(Rig(record, counter, fleet, parties))
                for gateway in fleet:
                    gateway.check_alive()
                return breaches
            finally:
                for gateway in fleet:
                    await gateway.stop()
                    for line in gateway.log_tail().splitlines():
                        record.write(f"log of {gateway.name}: {line}")
                for party in parties:
                    party.http.stop()
                counter.stop()

    async def bounded() -> list[str]:
        async with asyncio.timeout(LIMIT_S):
            return await play()

    try:
        breaches = asyncio.run(bounded())
    except Exception as error:
        record.tell(f"the case could not run: {type(error).__name__}: {error}")
        traceback.print_exc(file=sys.stderr)
        return COULD_NOT_RUN
    for breach in breaches[:20]:
        record.tell(f"broken: {breach}")
    record.tell(f"{len(breaches)} breaches, {'with' if TROUBLE else 'without'} the disruption")
    record.close()
    return BROKEN if breaches else HELD
