"""A new configuration moves discovery, which answers each call 2.5 s after it was made."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import standins as s

SLOW_S = 2.5  # how long a call waits for its turn at discovery
OLD_ADDRESS_S = 1.5  # the old addresses close their open connections after that
TOLD_S = 4.0  # after the signal, what discovery has to tell counts as told
GRACE_S = 2.05  # `stop_sending_within_ms`, and 50 ms as for every time limit on sockets
LOAD_S, MOVE_AFTER_S, CLIENTS = 20.0, 5.0, 12
DEADLINE_MS = 4000
DRAINING = "s-00"
begun: list[tuple[str, str, float]] = []  # server, request, when it was there whole


async def serve(server: s.StatementServer, call: s.Call) -> bool:
    request_id = call.headers["x-request-id"]
    begun.append((server.name, request_id, time.monotonic()))
    await asyncio.sleep(0.05)
    call.writer.write(s.response(200, f"answer to {request_id}".encode()))
    return True


async def client(rig: s.Rig, number: int, until: float, ends: Counter) -> None:
    gateway, choice, sock = rig.gateways[number % len(rig.gateways)], random.Random(number), None
    while time.monotonic() < until:
        sock = sock or await s.connect(gateway.host_port())
        request_id, data = s.client_request("view-statement", 100 + number, DEADLINE_MS, "premium", 2)
        await asyncio.get_running_loop().sock_sendall(sock, data)
        result = await s.read_answer(sock, time.monotonic() + DEADLINE_MS / 1000 + 1)
        rig.record.write(f"client {number}: {request_id} {result.status}, {result.end}")
        ends[f"{result.status} {result.end}"] += 1
        if not result.is_whole or not result.keeps_alive:
            sock.close()
            sock = None
        await asyncio.sleep(choice.uniform(0.1, 0.3))
    if sock is not None:
        sock.close()


async def move(rig: s.Rig, gateway: s.Gateway, counter: s.CounterStandIn) -> None:
    """Give a gateway new addresses of discovery and the counter, and tell it by SIGHUP."""
    old = gateway.agent
    gateway.agent = s.Agent(f"{gateway.name}-new", rig.record, SLOW_S if s.TROUBLE else 0.0)
    await gateway.agent.start()
    gateway.agent.generation = old.generation
    gateway.agent.learn([server.entry() for server in rig.servers])
    gateway.agent.learn([server.entry("draining") for server in rig.servers if server.name == DRAINING])
    gateway.counter = counter
    gateway.write_config()
    gateway.hang_up()
    old.close_later(OLD_ADDRESS_S)


async def scenario(rig: s.Rig) -> list[str]:
    ends: Counter = Counter()
    until = time.monotonic() + LOAD_S
    tasks = [asyncio.create_task(client(rig, i, until, ends)) for i in range(CLIENTS)]
    await asyncio.sleep(MOVE_AFTER_S)
    counter = s.CounterStandIn()
    await counter.start()
    try:
        for gateway in rig.gateways:
            await move(rig, gateway, counter)
        signalled_at = time.monotonic()
        rig.record.tell(f"a new configuration moves discovery, which lists {DRAINING} as draining")
        rig.counter.close_later(OLD_ADDRESS_S)
        await asyncio.gather(*tasks)
    finally:
        counter.stop()
    rig.record.tell(f"answers by status and end: {dict(ends)}")
    return [
        f"{request_id} was sent to {name}, which drains, {at - signalled_at:.2f} s after the signal"
        for name, request_id, at in begun
        if name == DRAINING and at > signalled_at + TOLD_S + GRACE_S
    ]


if __name__ == "__main__":
    sys.exit(s.run_case(Path(__file__).parent, scenario, serve, membership_mode="on_request"))
