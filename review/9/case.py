"""One in twenty answers of the servers has no length and never ends."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import standins as s

DEADLINE_MS = 3000
SLACK_S = 0.55  # half a second after its time, and 50 ms as for every time limit on sockets
LOAD_S, CLIENTS = 20.0, 12
NEVER_ENDING = 0.05  # part of the answers
rng = random.Random(1)


async def serve(server: s.StatementServer, call: s.Call) -> bool:
    request_id = call.headers["x-request-id"]
    await asyncio.sleep(0.05)
    if s.TROUBLE and rng.random() < NEVER_ENDING:
        server.record.write(f"server {server.name}: answers {request_id} with no length, and never ends it")
        call.writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nstatement of ")
        while call.is_open():
            await asyncio.sleep(0.05)
        server.record.write(f"server {server.name}: the gateway has left {request_id}")
        return False
    call.writer.write(s.response(200, f"answer to {request_id}".encode()))
    return True


async def client(rig: s.Rig, number: int, until: float, breaches: list[str], ends: Counter) -> None:
    """Send one request at a time and wait for its end until it is half a second late; then leave."""
    gateway, choice, sock = rig.gateways[number % len(rig.gateways)], random.Random(number), None
    while time.monotonic() < until:
        sock = sock or await s.connect(gateway.host_port())
        cls = choice.choice(list(s.EFFECTS))
        request_id, data = s.client_request(cls, 100 + number, DEADLINE_MS, "premium", 2)
        rig.record.write(f"client {number}: sends {request_id}, {cls}, to {gateway.name}")
        await asyncio.get_running_loop().sock_sendall(sock, data)
        sent_at = time.monotonic()
        result = await s.read_answer(sock, sent_at + DEADLINE_MS / 1000 + SLACK_S)
        seen = f"{result.status}, {result.body!r} after {time.monotonic() - sent_at:.3f} s, {result.end}"
        rig.record.write(f"client {number}: {request_id} {seen}")
        ends[f"{result.status} {result.end}"] += 1
        if result.end == "gave up":
            breaches.append(
                f"{request_id} ({cls}) with {DEADLINE_MS} ms got neither an end nor a close: {seen}"
            )
        if not result.is_whole or not result.keeps_alive:
            sock.close()
            sock = None
        await asyncio.sleep(choice.uniform(0.2, 0.4))
    if sock is not None:
        sock.close()


async def scenario(rig: s.Rig) -> list[str]:
    breaches: list[str] = []
    ends: Counter = Counter()
    until = time.monotonic() + LOAD_S
    await asyncio.gather(*(client(rig, i, until, breaches, ends) for i in range(CLIENTS)))
    rig.record.tell(f"answers by status and end: {dict(ends)}")
    return breaches


if __name__ == "__main__":
    sys.exit(s.run_case(Path(__file__).parent, scenario, serve))
