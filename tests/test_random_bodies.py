"""Random clients and servers with long bodies: answers come in time, and nothing is held afterwards.

One seed runs in CI; `PLUMWALL_SEEDS=50 pytest tests/test_random_bodies.py` runs more.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from conftest import GatewayRig, message, reply, run_on_loop
from test_bodies import CHUNKED, body_of, in_chunks
from test_body_deadlines import ANSWER_SLACK_S, StuckServerRig, reset, unacknowledged_bytes
from test_departed_clients import WAYS_TO_LEAVE, connect
from test_released_memory import until_released

LENGTH_S = 6.0
POLL_S = 0.005
CLIENTS_PER_S = 25.0
DEADLINES_S = (0.3, 1.0, 2.0)
CLASSES = ("read", "put", "pay")
LONG_ANSWER_BYTES = 600_000
BODY_BYTES = (10, 60_000, 70_000, 150_000, 300_000, 500_000)
TIME_LIMIT_SLACK_S = 0.05  # every time limit of the rules is this much longer on sockets
# The connection to a server without progress is closed after 5 s, and looked at once a second.
SERVER_GIVEN_UP_S = 6.0
SEEDS = range(1, int(os.environ.get("PLUMWALL_SEEDS", "1")) + 1)
LIMIT_S = 60.0

Serve = Callable[[random.Random, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def serve_well(rng: random.Random, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read each request and answer it, in one of the forms of an answer."""
    while True:
        head = await reader.readuntil(b"\r\n\r\n")
        await body_of(head, reader) if head.startswith(b"POST") else b""
        await asyncio.sleep(rng.uniform(0.0, 0.05))
        body = b"y" * rng.choice((10, 1000, LONG_ANSWER_BYTES))
        if rng.random() < 0.2:
            writer.write(f"HTTP/1.1 200 OK\r\n{CHUNKED}\r\n".encode() + in_chunks(body))
        else:
            writer.write(reply(body))
        await writer.drain()


async def read_nothing(
    rng: random.Random, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    reader._transport.pause_reading()
    await asyncio.sleep(LIMIT_S)


async def read_slowly(rng: random.Random, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while await reader.read(4096):
        await asyncio.sleep(rng.uniform(0.01, 0.2))


async def break_off(rng: random.Random, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Reset, or answer early, within a request."""
    await reader.read(rng.randrange(1, 100_000))
    if rng.random() < 0.5:
        writer.write(reply(b"early", rng.choice((200, 500, 503)), b"X-Not-Run: 1\r\n"))
        await asyncio.sleep(0.05)
    writer.transport.abort()


SERVERS: list[Serve] = [serve_well] * 6 + [read_nothing, read_slowly, break_off]


class RandomServerRig(StuckServerRig):
    """A rig whose only server draws what it does for each connection."""

    def __init__(self, folder: Path, seed: int) -> None:
        rng = random.Random(seed)

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, ValueError):
                await rng.choice(SERVERS)(rng, reader, writer)
            writer.close()

        super().__init__(folder, serve)


class RandomClients:
    """Clients that wait for their answers, and others that leave, stop, or send much at once."""

    def __init__(self, rig: GatewayRig, rng: random.Random) -> None:
        self._rig, self._rng = rig, rng
        self._count = 0
        self.answered = 0
        self.late: list[str] = []

    def _request(self, deadline_s: float) -> tuple[str, bytes]:
        """A random request and its id."""
        self._count += 1
        rng, rid = self._rng, f"random-{self._count}"
        cls = rng.choice(CLASSES)
        common = {"rid": rid.encode(), "deadline": f"{deadline_s * 1000:.0f}m", "key": cls != "pay"}
        if cls == "read":
            return rid, message(cls, **common)
        body = b"x" * rng.choice(BODY_BYTES)
        if rng.random() < 0.5:
            return rid, message(cls, body=body, **common)
        head = message(cls, drop="Content-Length", more=CHUNKED, **common)
        return rid, head + in_chunks(body, rng.randrange(1000, 100_000))

    async def waits(self) -> None:
        """Send one request, at once or in parts, and wait for its answer."""
        deadline_s = self._rng.choice(DEADLINES_S)
        rid, data = self._request(deadline_s)
        reader, writer = await self._rig.connect()
        step = self._rng.choice((len(data), len(data) // 4 + 1))
        for i in range(0, len(data), step):
            writer.write(data[i : i + step])
            await asyncio.sleep(0 if step == len(data) else 0.1)
        answer = asyncio.create_task(reader.read(1))
        while unacknowledged_bytes(writer) and not answer.done():
            await asyncio.sleep(POLL_S)
        taken_at = time.monotonic()
        if not unacknowledged_bytes(writer):  # otherwise its last byte was not taken, and it does not count
            await answer
            took_s = time.monotonic() - taken_at
            self.answered += 1
            if took_s > deadline_s + ANSWER_SLACK_S + TIME_LIMIT_SLACK_S:
                self.late.append(f"{rid}: first byte {took_s:.3f} s after the last, {deadline_s} s to wait")
        reset(writer)

    async def leaves(self) -> None:
        """Send one or more requests, as much as the system takes at once, and leave."""
        rng = self._rng
        data = b"".join(self._request(rng.choice(DEADLINES_S))[1] for _ in range(rng.choice((1, 1, 2, 5))))
        client = connect(self._rig)
        client.setblocking(False)
        client.send(data[: rng.randrange(1, len(data) + 1)] if rng.random() < 0.3 else data)
        if rng.random() < 0.5:
            await asyncio.sleep(rng.uniform(0.0, 0.5))
        rng.choice(WAYS_TO_LEAVE)(client)
        await asyncio.sleep(1.0)
        client.close()

    async def stops(self) -> None:
        """Send a part of a request and stay."""
        _, data = self._request(self._rng.choice(DEADLINES_S))
        reader, writer = await self._rig.connect()
        writer.write(data[: self._rng.randrange(1, len(data))])
        with contextlib.suppress(ConnectionError):
            while await reader.read(65536):
                pass
        reset(writer)

    async def run(self, length_s: float) -> None:
        """Begin clients at random times, and wait until all of them have ended."""
        rng, ends_at = self._rng, time.monotonic() + length_s
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < ends_at:
                group.create_task(rng.choice((self.waits, self.waits, self.leaves, self.stops))())
                await asyncio.sleep(rng.expovariate(CLIENTS_PER_S))


# Guards against: ways into the faults of the review's cases 2 and 3 that nobody has thought of.
@pytest.mark.parametrize("seed", SEEDS)
def test_random_long_bodies_are_answered_in_time_and_hold_nothing_afterwards(
    tmp_path: Path, seed: int
) -> None:
    async def scenario() -> None:
        async with RandomServerRig(tmp_path, seed) as rig:
            clients = RandomClients(rig, random.Random(seed))
            await clients.run(LENGTH_S)
            assert not clients.late and clients.answered > LENGTH_S
            await until_released(rig, "random clients", SERVER_GIVEN_UP_S + 1.0)

    run_on_loop(scenario, LIMIT_S)
