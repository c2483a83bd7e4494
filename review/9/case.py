"""A zone is cut off for just under 6 s while long answers from its servers are on their way."""

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

CUT_ZONE, CUT_S = "hall-b", 5.95  # the pages: 6 s
CUT_AFTER_S, LOAD_S = 6.0, 16.0
DEADLINE_MS = 4000
GATEWAYS, LONG_CLIENTS, SHORT_CLIENTS = 3, 24, 30
PARTS, PART_BYTES, PART_S = 10, 40_000, 0.1  # a long answer takes its server a second
work = random.Random(1)
is_cut = False
joined = asyncio.Event()
left: dict[str, str] = {}  # requests whose server connection the gateway closed before the server was done


def part(request_id: str, number: int) -> bytes:
    """A part of the body that a server makes for a request."""
    block = hashlib.sha256(f"{request_id}/{number}".encode()).hexdigest().encode()
    return (block * (PART_BYTES // len(block) + 1))[:PART_BYTES]


def statement(request_id: str) -> bytes:
    return b"".join(part(request_id, number) for number in range(PARTS))


async def network(server: s.StatementServer) -> None:
    """Wait while the server's zone is cut off: its open connections stay open, and nothing passes."""
    if is_cut and server.zone == CUT_ZONE:
        await joined.wait()


async def serve(server: s.StatementServer, call: s.Call) -> bool:
    request_id = call.headers["x-request-id"]
    await asyncio.sleep(work.uniform(0.05, 0.15))
    await network(server)
    if call.target.endswith("?short"):
        call.writer.write(s.response(200, f"answer to {request_id}".encode()))
        return True
    call.writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {PARTS * PART_BYTES}\r\n\r\n".encode())
    for number in range(PARTS):
        await asyncio.sleep(PART_S)
        await network(server)
        if not call.is_open():
            left[request_id] = f"{server.name} wanted to go on with part {number} of {PARTS}"
            server.record.write(
                f"server {server.name}: {request_id} was left before part {number} of {PARTS}"
            )
            return False
        call.writer.write(part(request_id, number))
        await call.writer.drain()
    server.record.write(f"server {server.name}: has written the answer to {request_id}")
    return True


async def client(rig: s.Rig, number: int, until: float, ends: Counter, seen: dict, is_long: bool) -> None:
    gateway, choice, sock = rig.gateways[number % len(rig.gateways)], random.Random(number), None
    while time.monotonic() < until:
        sock = sock or await s.connect(gateway.host_port())
        request_id, data = s.client_request("view-statement", 100 + number, DEADLINE_MS, "premium", GATEWAYS)
        data = data.replace(b" HTTP/1.1", (b"?long" if is_long else b"?short") + b" HTTP/1.1", 1)
        rig.record.write(f"client {number}: sends {request_id} to {gateway.name}")
        try:
            await asyncio.get_running_loop().sock_sendall(sock, data)
            result = await s.read_answer(sock, time.monotonic() + 15)
        except ConnectionError:
            result = s.Result(end="reset")
        size = len(result.body)
        text = f"{result.status}, {size} bytes, longest gap {result.longest_gap_s:.2f} s, {result.end}"
        rig.record.write(f"client {number}: {request_id} {text}")
        ends[f"{'long' if is_long else 'short'} {result.status} {result.end}"] += 1
        if is_long and result.status == 200:
            seen[request_id] = result
        if not result.is_whole or not result.keeps_alive:
            sock.close()
            sock = None
        await asyncio.sleep(choice.uniform(0.1, 0.5))
    if sock is not None:
        sock.close()


async def scenario(rig: s.Rig) -> list[str]:
    global is_cut
    ends: Counter = Counter()
    seen: dict[str, s.Result] = {}  # long answers that began
    until = time.monotonic() + LOAD_S
    tasks = [
        asyncio.create_task(client(rig, i, until, ends, seen, i < LONG_CLIENTS))
        for i in range(LONG_CLIENTS + SHORT_CLIENTS)
    ]
    await asyncio.sleep(CUT_AFTER_S)
    if s.TROUBLE:
        rig.record.tell(f"zone {CUT_ZONE} is cut off")
        far = [server for server in rig.servers if server.zone == CUT_ZONE]
        is_cut = True
        for server in far:
            server.http.cut_off()
        await asyncio.sleep(CUT_S)
        is_cut = False
        for server in far:
            server.http.join()
        joined.set()
        rig.record.tell(f"zone {CUT_ZONE} is back")
    await asyncio.gather(*tasks)
    await asyncio.sleep(1.0)  # the last answers that servers still write
    rig.record.tell(f"answers by length, status and end: {dict(ends)}")
    breaches = []
    for request_id, result in seen.items():
        size = len(result.body)
        if size and not result.is_whole and request_id in left:
            breaches.append(
                f"{request_id} was cut off at {size} of {PARTS * PART_BYTES} bytes; {left[request_id]}"
            )
        elif result.is_whole and result.body != statement(request_id):
            breaches.append(f"{request_id}: another body than its server wrote")
    return breaches


if __name__ == "__main__":
    sys.exit(s.run_case(Path(__file__).parent, scenario, serve, gateways=GATEWAYS))
