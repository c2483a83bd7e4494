"""Long answers to clients that read at 64 kB/s, while idle connections use up the places for clients."""

from __future__ import annotations

import asyncio
import hashlib
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import standins as s

READ_BYTES_PER_S = 64_000  # the slowest that the pages allow
READERS = 40  # under a third of the descriptors
SOCKETS, IDLE_PEERS = 256, 200
MIN_BYTES, MAX_BYTES = 100_000, 700_000
DEADLINE_MS = 4000
CROWD_AFTER_S, LOAD_S = 5.0, 30.0
written: set[str] = set()  # requests whose answer was written whole by its server


def statement(request_id: str, size: int) -> bytes:
    """The body that a server makes for a request."""
    block = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (block * (size // len(block) + 1))[:size]


async def serve(server: s.StatementServer, call: s.Call) -> bool:
    request_id, size = call.headers["x-request-id"], int(call.target.partition("size=")[2])
    await asyncio.sleep(0.05)
    call.writer.write(s.response(200, statement(request_id, size)))
    await call.writer.drain()
    written.add(request_id)
    server.record.write(f"server {server.name}: has written the {size} bytes for {request_id}")
    return True


class Reader:
    """A client that keeps its connection and reads its answers at 64 kB/s."""

    def __init__(self, rig: s.Rig, number: int, breaches: list[str], ends: Counter) -> None:
        self._record, self._address = rig.record, rig.gateways[0].host_port()
        self._number, self._breaches, self._ends = number, breaches, ends
        self._rng = random.Random(number)

    async def run(self, until: float) -> None:
        await asyncio.sleep(self._rng.random() * 2)
        sock = None
        try:
            while time.monotonic() < until:
                sock = sock or await s.connect(self._address, receive_buffer=65536)
                if not await self._ask(sock):
                    sock.close()
                    sock = None
                await asyncio.sleep(0.2)
        finally:
            if sock is not None:
                sock.close()

    async def _ask(self, sock: s.socket.socket) -> bool:
        """One request; returns whether the connection is kept.

        A connection that ends before its answer begins may have crossed the request, and is no breach.
        """
        size = self._rng.randrange(MIN_BYTES, MAX_BYTES)
        request_id, data = s.client_request("view-statement", 100 + self._number, DEADLINE_MS, "premium", 2)
        data = data.replace(b" HTTP/1.1", b"?size=%d HTTP/1.1" % size, 1)
        self._record.write(f"client {self._number}: sends {request_id} for {size} bytes")
        try:
            await asyncio.get_running_loop().sock_sendall(sock, data)
        except ConnectionError:
            return False
        result = await s.read_answer(sock, time.monotonic() + 30, READ_BYTES_PER_S, piece=8192)
        seen = f"{len(result.body)} of {size} bytes"
        self._record.write(f"client {self._number}: {request_id} {result.status}, {seen}, {result.end}")
        self._ends[f"{result.status} {result.end}"] += 1
        if result.status == 200 and result.end in ("closed", "reset") and request_id in written:
            self._breaches.append(
                f"{request_id}: {seen}, then the connection was closed; its server had written them all"
            )
        if result.status == 200 and result.is_whole and result.body != statement(request_id, size):
            self._breaches.append(f"{request_id}: another body than its server wrote")
        return result.is_whole and result.keeps_alive


async def idle_peer(rig: s.Rig, until: float) -> None:
    """Connect, send nothing, and connect again when the gateway closes."""
    loop = asyncio.get_running_loop()
    while time.monotonic() < until:
        try:
            sock = await s.connect(rig.gateways[0].host_port())
        except OSError:
            await asyncio.sleep(0.1)
            continue
        try:
            async with asyncio.timeout(max(0.0, until - time.monotonic())):
                await loop.sock_recv(sock, 100)
        except (TimeoutError, OSError):
            pass
        finally:
            sock.close()


async def scenario(rig: s.Rig) -> list[str]:
    breaches: list[str] = []
    ends: Counter = Counter()
    until = time.monotonic() + LOAD_S
    tasks = [asyncio.create_task(Reader(rig, i, breaches, ends).run(until)) for i in range(READERS)]
    await asyncio.sleep(CROWD_AFTER_S)
    if s.TROUBLE:
        rig.record.tell(f"{IDLE_PEERS} idle connections arrive")
        tasks += [asyncio.create_task(idle_peer(rig, until)) for _ in range(IDLE_PEERS)]
    await asyncio.gather(*tasks)
    rig.record.tell(f"answers by status and end: {dict(ends)}")
    return breaches


if __name__ == "__main__":
    sys.exit(s.run_case(Path(__file__).parent, scenario, serve, sockets=SOCKETS))
