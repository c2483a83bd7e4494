"""A client that sends requests on one connection as fast as it can; runs as a process of its own.

Usage: python flooding_client.py PORT KIND SECONDS
"""

from __future__ import annotations

import itertools
import selectors
import socket
import sys
import time
from collections.abc import Callable, Iterator

from conftest import LOOP, message

REQUESTS_PER_WRITE = 200
READ_BYTES = 2**20
SELECT_TIMEOUT_S = 0.1
KINDS: dict[str, Callable[[int], bytes]] = {
    "readiness": lambda n: b"GET /ready HTTP/1.1\r\n\r\n",
    "one name": lambda n: message(plan="small", rid=b"flood-%d" % n),
    "new names": lambda n: message(customer=f"{n:016x}", rid=b"flood-%d" % n),
    "no time left": lambda n: message(customer=f"{n:016x}", rid=b"flood-%d" % n, deadline="1m"),
    "not HTTP": lambda n: b"nonsense\r\n\r\n",
    "unsound": lambda n: message(cls=f"class-{n}", rid=b"flood-%d" % n),
}


class Flood:
    """One connection at a time, which sends what there is room for and reads what there is."""

    def __init__(self, port: int, requests: Iterator[bytes]) -> None:
        self._port, self._requests = port, requests
        self._socket: socket.socket | None = None
        self._selector = selectors.DefaultSelector()
        self._unsent = b""

    def step(self) -> None:
        """Write and read once."""
        if self._socket is None:
            self._connect()
        for key, events in self._selector.select(SELECT_TIMEOUT_S):
            try:
                self._move(key.fileobj, events)
            except ConnectionError:
                self._selector.unregister(key.fileobj)
                key.fileobj.close()
                self._socket = None

    def _connect(self) -> None:
        self._socket = socket.create_connection((LOOP, self._port))
        self._socket.setblocking(False)
        self._selector.register(self._socket, selectors.EVENT_READ | selectors.EVENT_WRITE)
        self._unsent = b""

    def _move(self, sock: socket.socket, events: int) -> None:
        if events & selectors.EVENT_READ and not sock.recv(READ_BYTES):
            raise ConnectionResetError
        if events & selectors.EVENT_WRITE:
            self._unsent = self._unsent or b"".join(itertools.islice(self._requests, REQUESTS_PER_WRITE))
            self._unsent = self._unsent[sock.send(self._unsent) :]


def main(port: int, kind: str, seconds: float) -> None:
    flood = Flood(port, map(KINDS[kind], itertools.count()))
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        flood.step()


if __name__ == "__main__":
    main(int(sys.argv[1]), sys.argv[2], float(sys.argv[3]))
