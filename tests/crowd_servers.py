"""Stand-in statement servers for tests of crowds; they run in a process of their own.

Each answers as the query of the request's target says: `?answer=KIND`, one of ANSWERS, or with a short body.

Usage: python crowd_servers.py COUNT; prints the ports on one line.
"""

from __future__ import annotations

import asyncio
import itertools
import re
import sys
from collections.abc import Callable

import uvloop
from conftest import LOOP, reply

LONG_BODY = b"x" * 2_000_000
CHUNK_BYTES = 16
FIELDS = 250
LONG_VALUE = b"v" * 400
HEAD_PIECE_BYTES = 8 * 1024
HEAD_PIECES = 15
HEAD_PACE_S = 0.1
ENDLESS_PIECE = b"v" * 32 * 1024
ENDLESS_PACE_S = 0.05
INTERIM_PIECE = b"HTTP/1.1 102 Processing\r\nX-Step: some\r\n\r\n" * 700
LONG_CHUNK_BYTES = 10**6
MEDIUM_ANSWER = reply(b"x" * 60_000)
ANSWER_PATTERN = re.compile(rb"[?&]answer=(\w+)")
LENGTH_PATTERN = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")
OK = b"HTTP/1.1 200 OK\r\n"


def fields(value: bytes, serials: itertools.count) -> bytes:
    """Many fields of an answer's head, with names that no other answer has."""
    return b"".join(b"%x: %b\r\n" % (next(serials), value) for _ in range(FIELDS))


def with_length(head: bytes, body: bytes) -> bytes:
    return b"%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body)


def long_chunks() -> bytes:
    chunk = b"%x\r\n%b\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
    return OK + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * (len(LONG_BODY) // len(chunk)) + b"0\r\n\r\n"


class Server(asyncio.Protocol):
    """One connection of a stand-in server."""

    serials = itertools.count()
    chunked_answer = long_chunks()

    def __init__(self) -> None:
        self._head = b""
        self._answer = ""
        self._body_bytes_left: int | None = None  # None: its head is incomplete

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if self._body_bytes_left is None:
            self._head += data
            head, end, data = self._head.partition(b"\r\n\r\n")
            if not end:
                return
            self._begin(head)
        if self._body_bytes_left is None:
            return
        self._body_bytes_left -= len(data)
        if self._body_bytes_left <= 0:
            self._head, self._body_bytes_left = b"", None
            ANSWERS.get(self._answer, Server.short)(self)

    def _begin(self, head: bytes) -> None:
        answer = ANSWER_PATTERN.search(head)
        length = LENGTH_PATTERN.search(head)
        self._answer = answer[1].decode() if answer else "short"
        self._body_bytes_left = int(length[1]) if length else 0
        if self._answer == "unread":
            self._transport.pause_reading()
        if self._answer == "early":
            self.long()

    def short(self) -> None:
        self._transport.write(reply(b"served"))

    def long(self) -> None:
        self._transport.write(with_length(OK, LONG_BODY))

    def chunks(self) -> None:
        self._transport.write(self.chunked_answer)

    def until_close(self) -> None:
        self._transport.write(OK + b"\r\n" + LONG_BODY)
        self._transport.close()

    def short_fields(self) -> None:
        self._transport.write(with_length(OK + fields(b"", self.serials), LONG_BODY))

    def long_fields(self) -> None:
        self._transport.write(with_length(OK + fields(LONG_VALUE, self.serials), LONG_BODY))

    def slow_fields(self) -> None:
        """A head of one field after the other, which comes slowly and never ends."""
        self._write_pieces(OK, fields(LONG_VALUE, self.serials))

    def slow_value(self) -> None:
        """A head of one long value, which comes slowly and never ends."""
        self._write_pieces(OK + b"X-Long: ", b"v" * HEAD_PIECE_BYTES * HEAD_PIECES)

    def slow_body(self) -> None:
        """A body of the longest length that is buffered whole, whose last bytes never come."""
        self._write_pieces(OK + b"Content-Length: 65536\r\n\r\n", b"x" * 65_000)

    def medium(self) -> None:
        """An answer of almost the longest length that is buffered whole."""
        self._transport.write(MEDIUM_ANSWER)

    def endless_value(self) -> None:
        """A head of one value without end, as fast as it goes."""
        self._write_on(OK + b"X-Long: ")

    def endless_trailer(self) -> None:
        """A short body in chunks, with a trailer of one value without end, as fast as it goes."""
        self._write_on(OK + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Long: ")

    def silent(self) -> None:
        """No answer."""

    def early(self) -> None:
        """A long answer that begins before the request's body has come."""

    def interim(self) -> None:
        """Interim answers without end, as fast as it goes."""
        self._write_on(b"", INTERIM_PIECE)

    def slow_end(self) -> None:
        """A long answer of unknown length, whose end never comes."""
        self._transport.write(OK + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % LONG_CHUNK_BYTES)
        self._write_pieces(b"", b"x" * LONG_CHUNK_BYTES)

    def _write_on(self, data: bytes, more: bytes = ENDLESS_PIECE) -> None:
        """Write this and then more without end, as long as the other side reads."""
        if not self._transport.is_closing():
            if not self._transport.get_write_buffer_size():
                self._transport.write(data)
            asyncio.get_running_loop().call_later(ENDLESS_PACE_S, self._write_on, more, more)

    def _write_pieces(self, begin: bytes, data: bytes) -> None:
        if self._transport.is_closing():
            return
        self._transport.write(begin + data[:HEAD_PIECE_BYTES])
        if len(data) > HEAD_PIECE_BYTES:
            loop = asyncio.get_running_loop()
            loop.call_later(HEAD_PACE_S, self._write_pieces, b"", data[HEAD_PIECE_BYTES:])


ANSWERS: dict[str, Callable[[Server], None]] = {
    kind.__name__: kind
    for kind in (
        Server.long,
        Server.chunks,
        Server.until_close,
        Server.short_fields,
        Server.long_fields,
        Server.slow_fields,
        Server.slow_value,
        Server.slow_body,
        Server.medium,
        Server.endless_value,
        Server.endless_trailer,
        Server.silent,
        Server.early,
        Server.interim,
        Server.slow_end,
    )
}


async def main(count: int) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Server, LOOP, 0) for _ in range(count)]
    print(*(server.sockets[0].getsockname()[1] for server in servers), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1])))
