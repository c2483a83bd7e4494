"""Accepts the connections of clients, within the descriptors, and enforces their time limits."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import time
from collections import Counter

from yewstage import interface as api
from yewstage.log import Event
from yewstage.net.client_request import ClassAndPlanNames
from yewstage.net.clients import ClientConnection
from yewstage.net.core import Core
from yewstage.net.loop_monitor import ReadGap
from yewstage.net.turns import TurnQueue

log = logging.getLogger(__name__)

BACKLOG_CONNECTIONS = 256
CLIENT_DESCRIPTOR_SHARE = 0.5  # share of the descriptors that client connections may use
CROWDED_SHARE = 0.7  # above this share of the maximum each connection is closed after its answer
SWEEP_INTERVAL_S = 0.2
CLASS_REMOVAL_DELAY_S = 1.2  # how long requests of a removed class are still accepted
ACCEPT_RETRY_DELAY_S = 0.05
FULL_LOG_INTERVAL_S = 5.0  # between two clients_full log events


class ClientListener:
    """Accepts client connections up to a share of the descriptors and enforces their time limits.

    `sockets` is the number of descriptors that the process may use for all purposes.
    """

    def __init__(self, core: Core, loop: asyncio.AbstractEventLoop, sockets: int) -> None:
        self.core, self.loop = core, loop
        self.names = ClassAndPlanNames(core.settings)
        self.connections: set[ClientConnection] = set()
        self.descriptor_use = core.stats.descriptors.uses["clients"]
        self.turns = TurnQueue(loop.call_soon)
        self.max_upload_bytes = core.max_upload_bytes
        self._socket_limit = sockets
        self._listening_socket: socket.socket | None = None
        self._is_open = self._is_accepting = False
        self._accept_tasks: set[asyncio.Task] = set()
        self._full_logged_at_s = -FULL_LOG_INTERVAL_S
        self._accept_gap = ReadGap(core.loop_monitor)

    def set_classes_and_plans(self, names: ClassAndPlanNames) -> None:
        """Apply new classes and plans; removed classes stay valid for CLASS_REMOVAL_DELAY_S."""
        merged = ClassAndPlanNames(api.Settings(()))
        merged.classes = {**self.names.classes, **names.classes}
        merged.plans = names.plans
        self.names = merged
        self.loop.call_later(CLASS_REMOVAL_DELAY_S, self._drop_old_classes, merged, names)

    def set_limits(self, sockets: int, max_upload_bytes: int) -> None:
        """Apply new limits; existing connections stay, also above a lower limit."""
        self._socket_limit, self.max_upload_bytes = sockets, max_upload_bytes
        self._resume_accepting()

    def _drop_old_classes(self, merged: ClassAndPlanNames, names: ClassAndPlanNames) -> None:
        if self.names is merged:  # otherwise newer settings have replaced them
            self.names = names

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return self.loop.time()

    def start(self, address: tuple[str, int], fd: int | None = None) -> tuple[str, int]:
        """Open the listening socket, or adopt the inherited descriptor `fd`; accepting begins with `accept`.

        Returns the bound address, with the actual port where 0 was asked for.
        """
        if fd is not None:
            self._listening_socket = socket.socket(fileno=fd)
        else:
            family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
            self._listening_socket = socket.socket(family, socket.SOCK_STREAM)
            self._listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._listening_socket.bind(address)
        self._listening_socket.setblocking(False)
        if not self._listening_socket.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            self._listening_socket.listen(BACKLOG_CONNECTIONS)
        self._accept_gap.pause()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        return self._listening_socket.getsockname()[:2]

    def accept(self) -> None:
        """Begin to accept connections."""
        self._is_open = True
        self._resume_accepting()

    def stop_accepting(self, succeeded: bool = False) -> None:
        """Close the listening socket; with `succeeded`, its backlog is left to the next process.

        Without a successor the backlog is accepted first. The socket is closed and never shut down, as other
        processes may hold it too.
        """
        if self._is_accepting and not succeeded:
            self._accept_waiting()
        self._pause_accepting()
        if self._listening_socket is not None:
            self._listening_socket.close()
            self._listening_socket = None

    def close_idle(self) -> bool:
        """Close all idle connections; returns whether no connection is left."""
        for connection in list(self.connections):
            connection.close_if_idle()
        return not self.connections and not self._accept_tasks

    def closed(self, connection: ClientConnection) -> None:
        """Remove a lost connection and resume accepting."""
        self.connections.discard(connection)
        self.descriptor_use.closed()
        self._resume_accepting()

    def _resume_accepting(self) -> None:
        if (
            self._is_open
            and self._listening_socket is not None
            and not self._is_accepting
            and self._has_room()
        ):
            self._is_accepting = True
            self._accept_gap.resume()
            self.loop.add_reader(self._listening_socket, self._accept_waiting)

    def _pause_accepting(self) -> None:
        if self._is_accepting:
            self._is_accepting = False
            self.loop.remove_reader(self._listening_socket)
            self._accept_gap.pause()

    def _max_connections(self) -> int:
        descriptors = int(CLIENT_DESCRIPTOR_SHARE * self._socket_limit) // (
            2 if self.core.is_sharing_descriptors else 1
        )
        return min(descriptors, self.core.memory.plan.max_client_connections)

    def _has_room(self) -> bool:
        return len(self.connections) + len(self._accept_tasks) < self._max_connections()

    def is_crowded(self) -> bool:
        """Whether connections are short, so that each is closed after its answer instead of kept."""
        return len(self.connections) > CROWDED_SHARE * self._max_connections()

    def _accept_waiting(self) -> None:
        # Above the limit clients wait in the backlog, and a failed accept is retried after a delay: running
        # out of descriptors must not end the listener.
        while self._has_room():
            try:
                accepted, _ = self._listening_socket.accept()
            except BlockingIOError:
                self._accept_gap.end()
                return
            except (InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.warning(
                    Event(
                        "accept_failed",
                        "accept failed: {error}",
                        error=str(errno.errorcode.get(error.errno, error)),
                    )
                )
                self._pause_accepting()
                self.loop.call_later(ACCEPT_RETRY_DELAY_S, self._resume_accepting)
                return
            accepted.setblocking(False)
            connection = ClientConnection(self, self._accept_gap.earliest_arrival_s(time.monotonic()))
            task = self.loop.create_task(
                self.loop.connect_accepted_socket(lambda connection=connection: connection, accepted)
            )
            self._accept_tasks.add(task)
            task.add_done_callback(self._accept_done)
        self._pause_accepting()
        self._evict_connection()

    def _evict_connection(self) -> None:
        """Close one evictable connection; accepting resumes once it is lost.

        Otherwise clients that leave their connections open and connect anew, or peers that send no request or
        an incomplete one, would use up all connections. Connections that have been answered before go first,
        then those without a request; within each group the one that has been silent for longest.
        """
        now = self.now()
        evictable = min(
            (c for c in self.connections if c.is_evictable(now)),
            key=lambda c: (not c.answered_count, c.received_at_s),
            default=None,
        )
        if evictable is not None:
            evictable.transport.abort()
        else:
            self._log_full()

    def _log_full(self) -> None:
        """Log how many connections are in which state, at most once per FULL_LOG_INTERVAL_S."""
        if self.now() - self._full_logged_at_s < FULL_LOG_INTERVAL_S:
            return
        self._full_logged_at_s = self.now()
        states = Counter(connection.state() for connection in self.connections)
        log.warning(
            Event(
                "clients_full",
                "no room for more clients: {text}",
                **states,
                text=", ".join(f"{n} {state}" for state, n in states.items()),
            )
        )

    def _accept_done(self, task: asyncio.Task) -> None:
        # Until now the connection was counted twice, which may have paused accepting below the limit.
        self._accept_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.warning(
                Event(
                    "client_gone",
                    "client disconnected before its connection was set up: {error}",
                    error=str(task.exception()),
                )
            )
        self._resume_accepting()

    def _sweep(self) -> None:
        now = self.now()
        for connection in list(self.connections):
            connection.check_timeouts(now)
        self.core.memory.check()
        self.core.budget.check()
        if not self._has_room():
            self._evict_connection()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
