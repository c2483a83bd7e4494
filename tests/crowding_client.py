"""Many clients that are slow, stop half way or send much that is short; they run in a process of their own.

Usage: python crowding_client.py PORT KIND CONNECTIONS SECONDS
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import sys
import time
from collections.abc import Awaitable, Callable

from conftest import LOOP, message

CHUNKED = "Transfer-Encoding: chunked\r\n"
SHORT_BODY_BYTES = 64 * 1024  # the longest that is buffered whole
LONG_BODY_BYTES = 2_000_000
PACE_S = 0.1
PACED_BYTES = 6400  # at PACE_S: 64 kB/s
FIELDS = 4000
PIPELINED = 300
request_numbers = itertools.count()


class Client:
    """One connection, with which a client does one thing until it ends or the time is over."""

    def __init__(self, until: float) -> None:
        self.until = until
        self._loop = asyncio.get_running_loop()
        self._socket = socket.socket()
        self._socket.setblocking(False)

    async def connect(self, port: int) -> None:
        await self._loop.sock_connect(self._socket, (LOOP, port))

    async def send(self, data: bytes) -> None:
        await self._loop.sock_sendall(self._socket, data)

    async def send_slowly(self, data: bytes) -> None:
        """Send at 64 kB/s."""
        for start in range(0, len(data), PACED_BYTES):
            if time.monotonic() > self.until:
                return
            await self.send(data[start : start + PACED_BYTES])
            await asyncio.sleep(PACE_S)

    async def receive(self) -> None:
        """Wait for an answer, or for the end of the connection."""
        await self._loop.sock_recv(self._socket, 2**16)

    async def receive_slowly(self) -> None:
        """Read at 64 kB/s until the connection or the time ends."""
        while time.monotonic() < self.until and await self._loop.sock_recv(self._socket, PACED_BYTES):
            await asyncio.sleep(PACE_S)

    def close(self) -> None:
        self._socket.close()


def put(length: int | None = None) -> bytes:
    """The head of a request whose body has this length, or is chunked."""
    rid = b"crowd-%d" % next(request_numbers)
    more = CHUNKED if length is None else f"Content-Length: {length}\r\n"
    return message("put", drop="Content-Length", more=more, rid=rid)


def get(more: str = "", target: str = "") -> bytes:
    return message(rid=b"crowd-%d" % next(request_numbers), more=more, target=target)


async def slow_body(client: Client) -> None:
    await client.send(put(SHORT_BODY_BYTES))
    await client.send_slowly(b"x" * SHORT_BODY_BYTES)
    await client.receive()


async def slow_tiny_chunks(client: Client) -> None:
    await client.send(put())
    await client.send_slowly(b"1\r\nx\r\n" * SHORT_BODY_BYTES)


async def half_of_a_short_body(client: Client) -> None:
    await client.send(put(SHORT_BODY_BYTES) + b"x" * (SHORT_BODY_BYTES - 1))
    await client.receive()


async def half_of_a_long_body(client: Client) -> None:
    await client.send(put(LONG_BODY_BYTES) + b"x" * (LONG_BODY_BYTES // 2))
    await client.receive()


async def many_short_fields(client: Client) -> None:
    await client.send(get(more="".join(f"{number:x}:\r\n" for number in range(FIELDS))))
    await client.receive()


async def half_of_a_head(client: Client) -> None:
    await client.send(get(target="/api/00000000b4d65521?" + "q" * 30_000)[:-2])
    await client.receive()


async def slow_reader(client: Client) -> None:
    await client.send(get(target="/api/00000000b4d65521?long"))
    await client.receive_slowly()


async def many_at_once(client: Client) -> None:
    await client.send(b"".join(get() for _ in range(PIPELINED)))
    await asyncio.sleep(max(client.until - time.monotonic(), 0.0))


KINDS: dict[str, Callable[[Client], Awaitable[None]]] = {
    kind.__name__: kind
    for kind in (
        slow_body,
        slow_tiny_chunks,
        half_of_a_short_body,
        half_of_a_long_body,
        many_short_fields,
        half_of_a_head,
        slow_reader,
        many_at_once,
    )
}


async def run_again(port: int, kind: str, until: float) -> None:
    """Do the same on one connection after the other."""
    while time.monotonic() < until:
        client = Client(until)
        with contextlib.suppress(OSError):
            await client.connect(port)
            await KINDS[kind](client)
        client.close()
        await asyncio.sleep(0)


async def main(port: int, kind: str, connections: int, seconds: float) -> None:
    until = time.monotonic() + seconds
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await asyncio.gather(*[run_again(port, kind, until) for _ in range(connections)])


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4])))
