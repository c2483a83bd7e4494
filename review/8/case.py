"""Many long answers at a time, most of them to clients that read at 64 kB/s."""

from __future__ import annotations

import asyncio
import hashlib
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import standins as s

READ_BYTES_PER_S = 64_000  # the slowest that the pages allow
SLOW, PROMPT = 60, 6  # clients; together under a third of the descriptors
MEMORY_MB, SOCKETS = 64, 256
ANSWER_BYTES = 2_000_000
DEADLINE_MS = 4000
SLOW_AFTER_S, LOAD_S = 3.0, 25.0
HELD_BACK_S = 2.05  # 2 s, and 50 ms as for every time limit on sockets
FIGURES = ("held_bytes", "streams_open", "streams_short_total", "resident_memory")


def statement(request_id: str) -> bytes:
    """The body that a server makes for a request."""
    block = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (block * (ANSWER_BYTES // len(block) + 1))[:ANSWER_BYTES]


async def serve(server: s.StatementServer, call: s.Call) -> bool:
    request_id = call.headers["x-request-id"]
    await asyncio.sleep(0.05)
    call.writer.write(s.response(200, statement(request_id)))
    try:
        await call.writer.drain()
    except ConnectionError:
        server.record.write(f"server {server.name}: the gateway has closed the connection of {request_id}")
        raise
    server.record.write(f"server {server.name}: has passed on the answer to {request_id}")
    return True


async def ask(
    rig: s.Rig, name: str, bytes_per_s: float | None, give_up_at: float, breaches: list[str], ends: Counter
) -> None:
    """One request on a connection of its own, whose client stays until its answer ends or the load does."""
    request_id, data = s.client_request("view-statement", 100 + hash(name) % 500, DEADLINE_MS, "premium", 2)
    sock = await s.connect(rig.gateways[0].host_port(), receive_buffer=65536)
    try:
        rig.record.write(f"client {name}: sends {request_id}")
        await asyncio.get_running_loop().sock_sendall(sock, data)
        result = await s.read_answer(sock, give_up_at, bytes_per_s, piece=16384 if bytes_per_s else 65536)
    finally:
        sock.close()
    seen = (
        f"{len(result.body)} of {ANSWER_BYTES} bytes, longest gap {result.longest_gap_s:.2f} s, {result.end}"
    )
    rig.record.write(f"client {name}: {request_id} {result.status}, {seen}")
    ends[f"{result.status} {result.end}"] += 1
    if result.status == 200 and result.end in ("closed", "reset"):
        breaches.append(f"{request_id} to client {name}: the gateway cut it off: {seen}")
    elif result.status == 200 and result.longest_gap_s > HELD_BACK_S:
        breaches.append(f"{request_id} to client {name}: the rest was held back: {seen}")
    elif result.is_whole and result.status == 200 and result.body != statement(request_id):
        breaches.append(f"{request_id}: another body than its server wrote")


async def prompt_client(rig: s.Rig, number: int, until: float, breaches: list[str], ends: Counter) -> None:
    while time.monotonic() < until:
        await ask(rig, f"prompt-{number}", None, until + 30, breaches, ends)
        await asyncio.sleep(0.5)


async def scenario(rig: s.Rig) -> list[str]:
    breaches: list[str] = []
    ends: Counter = Counter()
    until = time.monotonic() + LOAD_S
    tasks = [asyncio.create_task(prompt_client(rig, i, until, breaches, ends)) for i in range(PROMPT)]
    await asyncio.sleep(SLOW_AFTER_S)
    pace = READ_BYTES_PER_S if s.TROUBLE else None
    rig.record.tell(f"{SLOW} more clients ask at a time, and read {'slowly' if pace else 'at once'}")
    tasks += [asyncio.create_task(ask(rig, f"slow-{i}", pace, until, breaches, ends)) for i in range(SLOW)]
    while time.monotonic() < until - 4:
        await asyncio.sleep(4)
        figures = await rig.gateways[0].figures()
        rig.record.write(str({k: v for k, v in figures.items() if any(name in k for name in FIGURES)}))
    await asyncio.gather(*tasks)
    rig.record.tell(f"answers by status and end: {dict(ends)}")
    return breaches


if __name__ == "__main__":
    sys.exit(s.run_case(Path(__file__).parent, scenario, serve, sockets=SOCKETS, memory_mb=MEMORY_MB))
