"""The client side of one HTTP/1.1 connection, shared by hosts, counter and discovery."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from yewstage.net.budget import MemoryAccount
from yewstage.net.stats import DescriptorUse

LONGEST_BODY = 64 * 1024  # kept whole; what is longer is passed on as it comes
BUFFER = 128 * 1024  # of a socket that carries such a body
LONGEST_LIST = 4 * 1024 * 1024
DIAL_GRACE_S = 0.002  # a turn of the loop or two, in which a connection that is up counts before a time-out
# Why a dial came to nothing, where it is not the system that tells.
TOO_LATE, GIVEN_UP, BROKEN = "dial timed out", "dial given up", "broken when dialled"
NO_DESCRIPTOR = "no descriptor left"
SHORT = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))  # we are, not the other side


@dataclass(slots=True)
class Reply:
    """One whole answer."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


def limit_socket_buffer(transport: asyncio.Transport, option: int) -> None:
    """Bound what the system keeps for a socket in one direction: it grows to megabytes by itself."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, option, BUFFER)


class Upload:
    """A body too long to keep, on its way from a client to a host: each end holds the other back."""

    def __init__(
        self, length: int | None, hold: Callable[[bool], None], held: MemoryAccount, evict: Callable[[], None]
    ) -> None:
        self._length, self._hold = length, hold  # no length: sent on in chunks
        self._held, self._full, self._choked = held, False, False  # why its client is held back
        held.begin(self._choke, evict)
        self._waiting: list[bytes] = []  # until there is a connection
        self._size = 0
        self._host: ReplyProtocol | None = None
        self.is_complete = self._over = False  # its last byte has come; nobody wants the rest

    def feed(self, data: bytes) -> None:
        """More of it has come."""
        if self._over:
            return
        if self._length is None:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._pass_on(data)

    def finish(self) -> None:
        """Its last byte has come."""
        self.is_complete = True
        if not self._over:
            self._pass_on(b"0\r\n\r\n" if self._length is None else b"")

    def attach(self, host: ReplyProtocol, head: bytes) -> None:
        """Pass it on here from now on, behind its request's head."""
        self._host = host
        limit_socket_buffer(host.transport, socket.SO_SNDBUF)
        waiting, self._waiting = self._waiting, []
        self._pass_on(b"".join((head, *waiting)))

    def detach(self) -> None:
        """The attempt is over: the rest is read and dropped."""
        self._over, self._host = True, None
        self._waiting.clear()
        self._held.end()
        self._full = self._choked = False
        self._hold(False)

    def drained(self) -> None:
        """All that was passed on has left this process."""
        self._note(0)

    def _choke(self, stopped: bool) -> None:
        """The budget's word."""
        self._choked = stopped
        self._hold(self._full or self._choked)

    def _note(self, size: int, most: int = 0) -> None:
        """So much of it is here; more than `most` holds its client back."""
        self._full = size > most
        self._held.set(size)
        self._hold(self._full or self._choked)

    def _pass_on(self, data: bytes) -> None:
        if self._host is None:
            self._waiting.append(data)
            self._size += len(data)
            self._note(self._size, LONGEST_BODY - 1)
            return
        if self._host.transport.is_closing():
            return  # its loss will be told
        if data:
            self._host.transport.write(data)
        self._note(self._host.transport.get_write_buffer_size())
        self._host.flushed()


class ConnectAttempt:
    """One attempt to connect: bounded in time, its end told once, its descriptor counted from the start.

    A connection may break before its dial's callback runs. Its loss has been told by then and is not told
    again: whoever kept it would write to a dead transport for good.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        make: Callable[[], ReplyProtocol],
        address: tuple[str, int],
        within_s: float,
        use: DescriptorUse,
        ended: Callable[[ReplyProtocol | None, str], None],
    ) -> None:
        self._loop, self._make, self._use = loop, make, use
        self._ended: Callable[[ReplyProtocol | None, str], None] | None = ended
        self._made: ReplyProtocol | None = None
        self._late = False
        use.opened()
        self._task = loop.create_task(loop.create_connection(self._connection, *address))
        self._task.add_done_callback(self._done)
        self._timer = loop.call_later(within_s, self._overdue)

    def cancel(self) -> None:
        """Give it up; its end is told all the same."""
        self._task.cancel()

    def _connection(self) -> ReplyProtocol:
        self._made = self._make()
        self._made.use = self._use
        return self._made

    def _overdue(self) -> None:
        # Guards against our own stall: the connection may be up and the loop may not have looked yet.
        self._late = True
        self._timer = self._loop.call_later(DIAL_GRACE_S, self._task.cancel)

    def _done(self, task: asyncio.Task) -> None:
        self._timer.cancel()
        if self._made is None or self._made.transport is None:
            self._use.closed()  # else its connection gives the descriptor back
        ended, self._ended = self._ended, None  # who is told may hold us
        if task.cancelled():
            ended(None, TOO_LATE if self._late else GIVEN_UP)
        elif (error := task.exception()) is not None:
            ended(None, NO_DESCRIPTOR if getattr(error, "errno", 0) in SHORT else str(error))
        elif task.result()[0].is_closing():
            ended(None, BROKEN)
        else:
            ended(task.result()[1], "")


class ReplyProtocol(asyncio.Protocol):
    """Parses answers; a subclass says what a whole answer and a lost connection mean."""

    def __init__(self, longest: int = LONGEST_BODY) -> None:
        self.transport: asyncio.Transport | None = None
        self.use: DescriptorUse | None = None  # what its descriptor counts as
        self.has_unsent_data = False  # part of what we wrote has not left this process
        self.close_cause = ""  # for the log: why the connection ended
        self._parser = httptools.HttpResponseParser(self)
        self._longest = longest
        self._reset()

    def _reset(self) -> None:
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._size = 0
        self._in_body = self.begun = False

    def replied(self, reply: Reply, reusable: bool) -> None:
        """A whole answer has come."""
        raise NotImplementedError

    def lost(self) -> None:
        """The connection is gone."""
        raise NotImplementedError

    def flushed(self) -> None:
        """A part of an upload was written."""

    def write(self, data: bytes) -> None:
        """Write, and know whether the last byte has left this process."""
        self.transport.write(data)
        self.has_unsent_data = self.transport.get_write_buffer_size() > 0

    def abort(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that resume_writing tells of the last byte

    def resume_writing(self) -> None:
        self.has_unsent_data = False

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.close_cause = f"{error} in {data[:64]!r}"
            self.abort()  # nonsense: whatever is out on it ends as a reset

    def eof_received(self) -> None:
        framed = b"content-length" in self._headers or b"transfer-encoding" in self._headers
        if self._in_body and not framed:  # an answer may also end with its connection
            self._complete(reusable=False)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.use is not None:
            self.use.closed()
        self.close_cause = self.close_cause or str(exc or "closed")
        self.lost()

    # httptools

    def on_message_begin(self) -> None:
        self.begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value
        self._grow(len(name) + len(value))

    def on_headers_complete(self) -> None:
        self._in_body = True

    def on_body(self, data: bytes) -> None:
        self._body.append(data)
        self._grow(len(data))

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() < 200:
            self._reset()  # interim answers are not the answer
            return
        self._complete(self._parser.should_keep_alive())

    def _complete(self, reusable: bool) -> None:
        reply = Reply(self._parser.get_status_code(), self._headers, b"".join(self._body))
        self._reset()
        self.replied(reply, reusable)

    def _grow(self, size: int) -> None:
        self._size += size
        if self._size > self._longest + LONGEST_BODY:
            self.close_cause = "answer too long"
            self.abort()
