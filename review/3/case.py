"""A statement server hangs while clients send long requests."""

from __future__ import annotations

import asyncio
import fcntl
import random
import signal
import struct
import sys
import termios
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import rig

SERVERS, HANGING = 4, 2
LENGTH_S, HANG_AT_S = 25.0, 5.0
LONG_RATE, SHORT_RATE = 10.0, 4.0  # requests a second
LONG_BYTES = 350_000, 600_000
DEADLINE_MS = 4000
# A request is lost if it has no final answer half a second after its time; time limits are 50 ms longer.
LATEST_ANSWER_S = DEADLINE_MS / 1000 + 0.5 + 0.05
WATCH_S = 12.0  # how long a client waits, to see whether an answer comes at all
SEED = 1


class ServerProcess:
    """A statement server; `hang` stops its process, which then reads and answers nothing."""

    def __init__(self, name: str, seed: int, record: rig.Record) -> None:
        self._name, self._seed, self._record = name, seed, record
        self.address = ""

    async def start(self) -> None:
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(Path(__file__).with_name("server.py")),
            str(self._seed),
            stdout=asyncio.subprocess.PIPE,
        )
        self.address = (await self._process.stdout.readline()).decode().strip()
        self._task = asyncio.create_task(self._read())

    async def _read(self) -> None:
        while line := await self._process.stdout.readline():
            self._record.write(f"{self._name} {line.decode().strip()}")

    def hang(self) -> None:
        self._process.send_signal(signal.SIGSTOP)
        self._record.write(f"{self._name} hangs from now on")

    async def stop(self) -> None:
        if self._process.returncode is None:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()
        await self._task


def unacknowledged_bytes(writer: asyncio.StreamWriter) -> int:
    """Bytes written that the gateway's machine has not accepted yet."""
    raw = fcntl.ioctl(writer.get_extra_info("socket").fileno(), termios.TIOCOUTQ, b"\0" * 4)
    return writer.transport.get_write_buffer_size() + struct.unpack("i", raw)[0]


class Clients:
    """Clients that send whole requests at once and wait for their answers."""

    def __init__(self, port: int, record: rig.Record, rng: random.Random) -> None:
        self._port, self._record, self._rng = port, record, rng
        self._serial = 0
        self.taken = self.served = self.lost = 0

    async def send(self, cls: str, body: bytes | None) -> None:
        self._serial += 1
        request_id = f"{'long' if body else 'short'}{self._serial:05d}"
        reader, writer = await asyncio.open_connection(rig.HOST, self._port)
        started_at = time.monotonic()
        writer.write(rig.request(request_id, cls, self._rng.randrange(1, 41), DEADLINE_MS, body))
        answer = asyncio.create_task(self._answer(reader))
        try:
            while unacknowledged_bytes(writer) and not answer.done():
                if time.monotonic() - started_at > WATCH_S:
                    break
                await asyncio.sleep(0.005)
            is_taken = not unacknowledged_bytes(writer)
            taken_at = time.monotonic()
            await asyncio.wait([answer], timeout=max(WATCH_S - (taken_at - started_at), 0.1))
        finally:
            answer.cancel()
            writer.close()
        took_s = time.monotonic() - taken_at
        result = answer.result() if answer.done() and not answer.cancelled() else "no answer"
        size = len(body or b"")
        text = f"{request_id} {cls} {size} bytes, taken after {taken_at - started_at:.3f} s: {result}"
        if not is_taken:
            self._record.write(f"{text}; its last byte was not taken, so it does not count")
            return
        self.taken += 1
        self.served += result == "200"
        is_lost = not result.isdigit() or took_s > LATEST_ANSWER_S
        self.lost += is_lost
        self._record.write(f"{text} {took_s:.3f} s later{': BROKEN' if is_lost else ''}")

    @staticmethod
    async def _answer(reader: asyncio.StreamReader) -> str:
        try:
            head = await rig.read_head(reader)
            if head is None:
                return "closed without an answer"
            await rig.read_body(reader, head)
        except (OSError, asyncio.IncompleteReadError) as error:
            return f"broken answer: {error!r}"
        return str(head.status)

    async def send_often(self, is_long: bool, rate: float, until: float) -> None:
        async with asyncio.TaskGroup() as group:
            while self._record.now() < until:
                if is_long:
                    cls, body = "post-remittance", b"x" * self._rng.randrange(*LONG_BYTES)
                else:
                    cls, body = "view-statement", None
                group.create_task(self.send(cls, body))
                await asyncio.sleep(self._rng.expovariate(rate))


async def case(record: rig.Record, has_trouble: bool) -> bool:
    servers = [ServerProcess(f"s-{i}", SEED + i, record) for i in range(SERVERS)]
    try:
        for server in servers:
            await server.start()
        async with rig.Rig([server.address for server in servers]) as stage:
            clients = Clients(stage.gateway.port, record, random.Random(SEED))
            until = record.now() + LENGTH_S

            async def trouble() -> None:
                await asyncio.sleep(HANG_AT_S)
                if has_trouble:
                    for server in servers[:HANGING]:
                        server.hang()

            await asyncio.gather(
                clients.send_often(True, LONG_RATE, until),
                clients.send_often(False, SHORT_RATE, until),
                trouble(),
            )
    finally:
        for server in servers:
            await server.stop()
    record.write(f"taken {clients.taken}, served {clients.served}, lost {clients.lost}")
    if clients.served < clients.taken / 2:
        raise rig.CannotRunError("under half of the requests were served")
    return clients.lost == 0


rig.run_case(case, Path(__file__).parent)
