"""Many clients that are slow, stop half way or send much that is short; they run in a process of their own.

Usage: python crowding_client.py PORT KINDS CONNECTIONS SECONDS, with commas between several kinds
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import socket
import struct
import sys
import time
from collections.abc import Awaitable, Callable

from conftest import LOOP, message

CHUNKED = "Transfer-Encoding: chunked\r\n"
SHORT_BODY_BYTES = 64 * 1024  # the longest that is buffered whole
SHORT_BODY = b"x" * SHORT_BODY_BYTES
LONG_BODY = b"x" * 2_000_000  # one object, as hundreds of clients send it at once
PACE_S = 0.1
PACED_BYTES = 6400  # at PACE_S: 64 kB/s
FIELDS = 4000
PIPELINED = 300
HEAD_PIECE_BYTES = 2 * 1024
HEAD_PIECES = 15
RESET_AFTER_READS = 3
LONGEST_ID_BYTES = 128
PADDING_BYTES = 100  # of long ids
LEAVE_AFTER_S = 0.02
REGULAR_PACE_S = 0.05
ENDLESS_PIECE = b"v" * 32 * 1024
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

    async def receive(self) -> bytes:
        """Wait for an answer, or for the end of the connection."""
        return await self._loop.sock_recv(self._socket, 2**16)

    async def receive_some(self) -> None:
        """Read once at 64 kB/s."""
        await self._loop.sock_recv(self._socket, PACED_BYTES)
        await asyncio.sleep(PACE_S)

    async def receive_slowly(self) -> None:
        """Read at 64 kB/s until the connection or the time ends."""
        while time.monotonic() < self.until and await self._loop.sock_recv(self._socket, PACED_BYTES):
            await asyncio.sleep(PACE_S)

    def close(self) -> None:
        self._socket.close()

    def reset(self) -> None:
        """Close so that the other side sees a reset."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._socket.close()


def request_id() -> bytes:
    return b"crowd-%d-%d" % (os.getpid(), next(request_numbers))


def put(length: int | None = None, target: str = "", plan: str = "ample") -> bytes:
    """The head of a request whose body has this length, or is chunked."""
    more = CHUNKED if length is None else f"Content-Length: {length}\r\n"
    return message("put", plan=plan, drop="Content-Length", more=more, rid=request_id(), target=target)


def get(more: str = "", target: str = "", answer: str = "") -> bytes:
    if answer:
        target = f"/api/00000000b4d65521?answer={answer}"
    return message(plan="ample", rid=request_id(), more=more, target=target)


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
    await client.send(put(len(LONG_BODY)) + LONG_BODY[: len(LONG_BODY) // 2])
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


async def slow_upload(client: Client) -> None:
    await client.send(put(len(LONG_BODY)))
    await client.send_slowly(LONG_BODY)
    await client.receive()


async def refused_upload(client: Client) -> None:
    """Go on with a long body for seconds though the request was refused at its begin."""
    await client.send(put(len(LONG_BODY), plan="small"))
    await client.send_slowly(LONG_BODY)


async def upload_that_nobody_reads(client: Client) -> None:
    await client.send(put(len(LONG_BODY), target="/api/00000000b4d65521?answer=unread"))
    await client.send(LONG_BODY)
    await client.receive()


async def head_without_end(client: Client) -> None:
    await client.send(get(more="".join(f"{number:x}:\r\n" for number in range(FIELDS)))[:-2])
    await client.receive()


async def slow_head(client: Client) -> None:
    """A head of one long value, which comes in pieces and never ends."""
    await client.send(get()[:-2] + b"X-Long: ")
    for _ in range(HEAD_PIECES):
        await client.send(b"v" * HEAD_PIECE_BYTES)
        await asyncio.sleep(PACE_S)
    await client.receive()


async def endless_trailer(client: Client) -> None:
    """A trailer of one value without end, as fast as it goes."""
    await client.send(put() + b"1\r\nx\r\n0\r\nX-Long: ")
    while time.monotonic() < client.until:
        await client.send(ENDLESS_PIECE)
        await asyncio.sleep(PACE_S)


async def slow_trailer(client: Client) -> None:
    await client.send(put() + b"1\r\nx\r\n0\r\n")
    await client.send_slowly(b"".join(b"%x:\r\n" % number for number in range(10 * FIELDS)))
    await client.receive()


async def reset_within_an_answer(client: Client) -> None:
    await client.send(get(answer="long"))
    for _ in range(RESET_AFTER_READS):
        await client.receive_some()
    client.reset()


def reader(answer: str) -> Callable[[Client], Awaitable[None]]:
    """A client that reads an answer of this kind of the stand-in servers at 64 kB/s."""

    async def read(client: Client) -> None:
        await client.send(get(answer=answer))
        await client.receive_slowly()

    read.__name__ = f"reader_of_{answer}"
    return read


async def many_with_medium_answers_at_once(client: Client) -> None:
    await client.send(b"".join(get(answer="medium") for _ in range(PIPELINED)))
    await client.receive_slowly()


async def many_with_fields_at_once(client: Client) -> None:
    await client.send(b"".join(get(answer="long_fields") for _ in range(PIPELINED)))
    await client.receive_slowly()


async def waiting(client: Client) -> None:
    """Wait for an answer that never comes."""
    await client.send(get(answer="silent"))
    await client.receive()


async def short_body_that_nobody_reads(client: Client) -> None:
    target = "/api/00000000b4d65521?answer=unread"
    await client.send(put(SHORT_BODY_BYTES, target=target) + SHORT_BODY)
    await client.receive()


async def long_body_of_a_long_answer(client: Client) -> None:
    """A long body at 64 kB/s, whose answer is long and is read slowly at the same time."""
    await client.send(put(len(LONG_BODY), target="/api/00000000b4d65521?answer=early"))
    await asyncio.gather(client.send_slowly(LONG_BODY), client.receive_slowly())


async def many_with_medium_answers_unread(client: Client) -> None:
    await client.send(b"".join(get(answer="medium") for _ in range(PIPELINED)))
    await asyncio.sleep(max(client.until - time.monotonic(), 0.0))


async def reader_of_nothing(client: Client) -> None:
    """Ask for a long answer and read none of it."""
    await client.send(get(answer="long"))
    await asyncio.sleep(max(client.until - time.monotonic(), 0.0))


async def new_customers_that_leave(client: Client) -> None:
    """Requests with an effect, each of another customer and with the longest id, whose clients leave."""
    number = next(request_numbers)
    rid = b"%d-%d-" % (os.getpid(), number)
    customer = f"{(os.getpid() << 16 | number) % 2**32:016x}"
    head = message("put", plan="ample", customer=customer, rid=rid.ljust(LONGEST_ID_BYTES, b"i"))
    await client.send(head)
    await asyncio.sleep(LEAVE_AFTER_S)
    client.reset()


async def many_with_effects_at_once(client: Client) -> None:
    """Requests with an effect and the longest ids, most of which are over their quota, without end."""
    while time.monotonic() < client.until:
        requests = (
            message("put", plan="small", rid=b"%d" % next(request_numbers) + b"-" * PADDING_BYTES)
            for _ in range(PIPELINED)
        )
        await client.send(b"".join(requests))
        if not await client.receive():
            return


async def endless_nonsense(client: Client) -> None:
    """Something that is not HTTP, as fast as it goes."""
    while time.monotonic() < client.until:
        await client.send(ENDLESS_PIECE)


async def endless_extension(client: Client) -> None:
    """A chunk whose extension has no end."""
    await client.send(put() + b"1;")
    while time.monotonic() < client.until:
        await client.send(ENDLESS_PIECE)
        await asyncio.sleep(PACE_S)


async def regular(client: Client) -> None:
    """One short request after the other on the same connection, until its end."""
    while time.monotonic() < client.until:
        await client.send(get())
        if not await client.receive():
            return
        await asyncio.sleep(REGULAR_PACE_S)


async def idle(client: Client) -> None:
    await client.receive()


async def reset_at_once(client: Client) -> None:
    client.reset()


async def reset_within_a_head(client: Client) -> None:
    await client.send(get()[:-2])
    client.reset()


async def invalid_head(client: Client) -> None:
    await client.send(get(more="X-Y Z: 1\r\n"))
    await client.receive()


async def half_of_a_line(client: Client) -> None:
    await client.send(b"GET /api/")
    await client.receive()


async def expecting_upload(client: Client) -> None:
    """A long body that waits for 100 Continue."""
    head = put(len(LONG_BODY)).replace(b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n")
    await client.send(head)
    await client.receive()
    await client.send_slowly(LONG_BODY)


# With the simple stand-in servers of `GatewayRig`.
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
# With the stand-in servers of `crowd_servers`.
CROWD_KINDS: dict[str, Callable[[Client], Awaitable[None]]] = {
    **KINDS,
    **{
        kind.__name__: kind
        for kind in (
            slow_upload,
            refused_upload,
            upload_that_nobody_reads,
            head_without_end,
            slow_head,
            slow_trailer,
            endless_trailer,
            reset_within_an_answer,
            many_with_fields_at_once,
            many_with_medium_answers_at_once,
            waiting,
            short_body_that_nobody_reads,
            long_body_of_a_long_answer,
            many_with_medium_answers_unread,
            reader_of_nothing,
            new_customers_that_leave,
            many_with_effects_at_once,
            endless_nonsense,
            endless_extension,
            regular,
            idle,
            half_of_a_line,
            reset_at_once,
            reset_within_a_head,
            invalid_head,
            expecting_upload,
            *map(
                reader,
                (
                    "long",
                    "chunks",
                    "until_close",
                    "short_fields",
                    "long_fields",
                    "slow_fields",
                    "slow_value",
                    "slow_body",
                    "endless_value",
                    "endless_trailer",
                    "interim",
                    "slow_end",
                ),
            ),
        )
    },
}
ALL_KINDS = "all"  # each connection has the next kind, and another one after its end


def kinds_of(text: str) -> list[str]:
    """The kinds that an argument names: one, some with commas between them, or all."""
    return list(CROWD_KINDS) if text == ALL_KINDS else text.split(",")


async def run_again(port: int, kinds: list[str], until: float, number: int) -> None:
    """Do what the kinds do on one connection after the other."""
    for own_kind in itertools.islice(itertools.cycle(kinds), number % len(kinds), None):
        if time.monotonic() >= until:
            return
        client = Client(until)
        with contextlib.suppress(OSError):
            await client.connect(port)
            await CROWD_KINDS[own_kind](client)
        client.close()
        await asyncio.sleep(0)


async def main(port: int, kind: str, connections: int, seconds: float) -> None:
    until = time.monotonic() + seconds
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            kinds = kinds_of(kind)
            await asyncio.gather(*[run_again(port, kinds, until, number) for number in range(connections)])


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4])))
