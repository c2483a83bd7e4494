"""Clients that send two requests at once and go; later ordinary clients ask for long answers."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import rig

MEMORY_MB = 64
BAD_CLIENTS, BAD_RATE = 150, 10.0  # in all; a second
BAD_BODY_BYTES = 120_000
QUIET_S = 5.0  # from the last bad client to the first long answer
LONG_REQUESTS, LONG_RATE, LONG_AT_ONCE = 60, 6.0, 5  # in all; a second; at a time
LONG_ANSWER_BYTES = 3_000_000
SHORT_RATE = 10.0  # ordinary short requests, all the time
SERVERS = 3
WORK_S = 0.03, 0.08
DEADLINE_MS = 4000
# A request is lost if it has no final answer half a second after its time; time limits are 50 ms longer.
# Above 64 KiB its first bytes are timed, and it is lost if the rest is held back for 2 s.
LATEST_FIRST_BYTE_S = DEADLINE_MS / 1000 + 0.5 + 0.05
LONGEST_GAP_S = 2.0 + 0.05
SEED = 1


def body_for(request_id: str) -> bytes:
    """The body of a server's answer: long for requests that ask for a long statement."""
    start = f"statement for {request_id}".encode()
    return start.ljust(LONG_ANSWER_BYTES) if request_id.startswith("long") else start


class Servers:
    """Statement servers without any fault: each answers whole, as fast as its reader reads."""

    def __init__(self, record: rig.Record, rng: random.Random) -> None:
        self._record, self._rng = record, rng

    async def handle(
        self, head: rig.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request_id = head.headers["x-request-id"]
        await rig.read_body(reader, head)
        self._record.write(f"a server runs {request_id}")
        await asyncio.sleep(self._rng.uniform(*WORK_S))
        writer.write(rig.answer(body_for(request_id), headers="Billed-Units: 1\r\n"))
        await writer.drain()
        return True


class Clients:
    """Ordinary clients, which wait for their answers and read them at once, and bad ones."""

    def __init__(self, port: int, record: rig.Record, rng: random.Random) -> None:
        self._port, self._record, self._rng = port, record, rng
        self._serial = 0
        self.long_served = self.short_served = self.lost = 0

    def go_after_sending(self, number: int) -> None:
        """A bad client: it sends a short and a long request at once and goes."""
        customer = self._rng.randrange(1, 41)
        name, body = f"gone{number:04d}", b"x" * BAD_BODY_BYTES
        data = rig.request(f"{name}a", "view-statement", customer, DEADLINE_MS)
        data += rig.request(f"{name}b", "post-remittance", customer, DEADLINE_MS, body)
        with socket.create_connection((rig.HOST, self._port)) as connection:
            connection.sendall(data)
        self._record.write(f"{name}: sent, and the client goes")

    async def ask(self, kind: str) -> None:
        """An ordinary request on a new connection."""
        self._serial += 1
        request_id = f"{kind}{self._serial:05d}"
        reader, writer = await asyncio.open_connection(rig.HOST, self._port, limit=2**20)
        customer = self._rng.randrange(1, 41)
        writer.write(rig.request(request_id, "view-statement", customer, DEADLINE_MS))
        sent_at, received, status = time.monotonic(), 0, 0
        limit_s, result = LATEST_FIRST_BYTE_S, ""
        try:
            async with asyncio.timeout(limit_s):
                head = await rig.read_head(reader)
            if head is None:
                raise ConnectionError("closed without an answer")
            status, length = head.status, int(head.headers["content-length"])
            while received < length:
                limit_s = LONGEST_GAP_S
                async with asyncio.timeout(limit_s):
                    data = await reader.read(2**18)
                if not data:
                    raise ConnectionError("the answer ends early")
                received += len(data)
            result = f"{status}, {received} bytes"
        except TimeoutError:
            result = f"BROKEN: after {received} bytes of the answer nothing for {limit_s:g} s"
            self.lost += 1
        except (OSError, asyncio.IncompleteReadError) as error:
            result = f"BROKEN: {error!r} after {received} bytes"
            self.lost += 1
        else:
            self.long_served += status == 200 and kind == "long"
            self.short_served += status == 200 and kind == "short"
        writer.close()
        self._record.write(f"{request_id}: {result} after {time.monotonic() - sent_at:.3f} s")

    async def ask_often(self, kind: str, count: int, rate: float, at_once: int = 1) -> None:
        """`count` requests at random times, `at_once` of them together."""
        async with asyncio.TaskGroup() as group:
            for _ in range(count // at_once):
                for _ in range(at_once):
                    group.create_task(self.ask(kind))
                await asyncio.sleep(self._rng.expovariate(rate / at_once))


async def case(record: rig.Record, has_trouble: bool) -> bool:
    rng = random.Random(SEED)
    servers = Servers(record, random.Random(SEED + 1))
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    async with rig.Rig([servers.handle] * SERVERS, limits) as stage:
        clients = Clients(stage.gateway.port, record, rng)
        bad_s = BAD_CLIENTS / BAD_RATE
        length_s = bad_s + QUIET_S + LONG_REQUESTS / LONG_RATE
        short = asyncio.create_task(clients.ask_often("short", int(length_s * SHORT_RATE), SHORT_RATE))
        await clients.ask_often("long", 10, LONG_RATE, LONG_AT_ONCE)
        before = clients.long_served
        record.write(f"long answers before: {before} of 10")
        for number in range(BAD_CLIENTS):
            if has_trouble:
                clients.go_after_sending(number)
            await asyncio.sleep(1 / BAD_RATE)
        await asyncio.sleep(QUIET_S)
        record.write("the bad clients have been gone for some seconds")
        await clients.ask_often("long", LONG_REQUESTS, LONG_RATE, LONG_AT_ONCE)
        await short
    record.write(
        f"long answers served {clients.long_served - before} of {LONG_REQUESTS}, "
        f"short {clients.short_served}, lost {clients.lost}"
    )
    if before < 8:
        raise rig.CannotRunError("long answers were not served before the disruption")
    return clients.lost == 0


rig.run_case(case, Path(__file__).parent)
