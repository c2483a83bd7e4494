"""Keeps the TCP ports of a process that is down, for its next start.

The ports are from the system's ephemeral range: without this, a connection of any program could take one of
them in the meantime.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterable


class HeldPorts:
    """Holds ports of one host by sockets that are bound and do not listen.

    Connections to a held port are refused, as to one of a process that is down. A process that sets
    SO_REUSEADDR, as servers do, can bind it and listen; other binds, and ports of connections, avoid it.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._sockets: list[socket.socket] = []

    def hold(self, ports: Iterable[int]) -> None:
        """Hold ports whose process has ended; 0 stands for none.

        One that another program has taken is left: the next start reports it.
        """
        self.release()
        for port in filter(None, ports):
            held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sockets.append(held)
            with contextlib.suppress(OSError):
                held.bind((self._host, port))

    def release(self) -> None:
        """Release all ports, once the process listens on them."""
        for held in self._sockets:
            held.close()
        self._sockets.clear()
