"""Clients send a short and a long request at once and go, while some requests are reset once begun."""

from __future__ import annotations

import asyncio
import random
import secrets
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import standins as s

DEADLINE_MS = 4000
LOAD_S, ORDINARY, GOERS_PER_S = 20.0, 12, 10.0
LONG_BYTES = 2_000_000
WORK_S = 0.06, 0.15
RESET, RESET_AFTER_S = 0.2, (0.2, 0.4)  # part of the requests, and when after their begin
LATE_S = 0.15  # 0.1 s, and 50 ms as for every time limit on sockets
rng = random.Random(1)
closed_at: dict[str, float] = {}  # requests whose client has gone
begun: list[tuple[str, str, float]] = []  # server, request, when it was there whole


async def serve(server: s.StatementServer, call: s.Call) -> bool:
    request_id = call.headers["x-request-id"]
    begun.append((server.name, request_id, time.monotonic()))
    if s.TROUBLE and rng.random() < RESET:
        await asyncio.sleep(rng.uniform(*RESET_AFTER_S))
        server.record.write(f"server {server.name}: the connection of {request_id} is reset")
        call.reset()
        return False
    await asyncio.sleep(rng.uniform(*WORK_S))
    call.writer.write(s.response(200, f"statement for {request_id}".encode()))
    return True


async def goer(rig: s.Rig, number: int) -> None:
    """Send a GET and a POST with a long body, as much of them as the system takes at once, and close."""
    gateway = rig.gateways[number % len(rig.gateways)]
    sock = await s.connect(gateway.host_port())
    short_id, short = s.client_request("view-statement", 200 + number % 50, DEADLINE_MS, "premium", 2)
    long_id, long = s.client_request("post-remittance", 200 + number % 50, DEADLINE_MS, "premium", 2)
    head = long.partition(b"\r\n\r\n")[0].rpartition(b"Content-Length")[0]
    data = short + head + b"Content-Length: %d\r\n\r\n" % LONG_BYTES + secrets.token_bytes(LONG_BYTES)
    sent = 0
    try:
        while sent < len(data):
            sent += sock.send(data[sent : sent + 262_144])
    except (BlockingIOError, ConnectionError):
        pass
    closed_at[short_id] = closed_at[long_id] = time.monotonic()
    sock.close()
    rig.record.write(
        f"client {number}: sent {short_id} and {long_id}, {sent} bytes, to {gateway.name} and left"
    )


async def goers(rig: s.Rig, until: float) -> None:
    number, tasks = 0, []
    while time.monotonic() < until:
        number += 1
        tasks.append(asyncio.create_task(goer(rig, number)))
        await asyncio.sleep(rng.expovariate(GOERS_PER_S))
    await asyncio.gather(*tasks)


async def client(rig: s.Rig, number: int, until: float, ends: Counter) -> None:
    gateway, choice, sock = rig.gateways[number % len(rig.gateways)], random.Random(number), None
    while time.monotonic() < until:
        sock = sock or await s.connect(gateway.host_port())
        request_id, data = s.client_request("view-statement", 100 + number, DEADLINE_MS, "premium", 2)
        await asyncio.get_running_loop().sock_sendall(sock, data)
        result = await s.read_answer(sock, time.monotonic() + DEADLINE_MS / 1000 + 0.55)
        rig.record.write(f"client {number}: {request_id} {result.status}, {result.end}")
        ends[f"{result.status} {result.end}"] += 1
        if not result.is_whole or not result.keeps_alive:
            sock.close()
            sock = None
        await asyncio.sleep(choice.uniform(0.1, 0.3))
    if sock is not None:
        sock.close()


async def scenario(rig: s.Rig) -> list[str]:
    ends: Counter = Counter()
    until = time.monotonic() + LOAD_S
    tasks = [client(rig, i, until, ends) for i in range(ORDINARY)]
    await asyncio.gather(goers(rig, until), *tasks)
    rig.record.tell(f"answers by status and end: {dict(ends)}; {len(closed_at) // 2} clients have left")
    late = []
    for name, request_id, at in begun:
        after_s = at - closed_at.get(request_id, at)
        rig.record.write(f"server {name}: began {request_id}, {after_s:.3f} s after its client had left")
        if after_s > LATE_S:
            late.append(f"{request_id} began at {name} {after_s:.3f} s after its client had closed")
    return late


if __name__ == "__main__":
    sys.exit(s.run_case(Path(__file__).parent, scenario, serve))
