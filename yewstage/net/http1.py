"""Client side of HTTP/1.1 connections, used for servers, the counter, discovery and the services."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable, Collection
from dataclasses import dataclass

import httptools

from yewstage.net.parser_input import ParserInput
from yewstage.net.receive_buffer import READ_BYTES, receive_buffer, received_bytes
from yewstage.net.stats import DescriptorUse

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # bytes buffered whole; longer bodies are streamed
MAX_ANSWER_HEAD_BYTES = 128 * 1024  # of one answer; the same holds for its trailer
MAX_KEPT_HEAD_BYTES = 64 * 1024  # of the fields of a head that are kept
SOCKET_BUFFER_BYTES = 128 * 1024  # kernel buffer of a socket that carries a streamed body, per direction
MAX_HEADER_FIELDS = 256  # of one message, as each field takes memory beside its text
MAX_LIST_BYTES = 4 * 1024 * 1024  # bytes of an answer with a list of servers
CONNECT_GRACE_S = 0.002  # after the time-out, for a connection that is up but not yet seen by the event loop
# Causes of a failed attempt to connect that have no error of the operating system.
CONNECT_TIMED_OUT, CONNECT_CANCELLED, CONNECTION_LOST = (
    "connect timed out",
    "connect cancelled",
    "connection lost while connecting",
)
NO_DESCRIPTOR_AVAILABLE = "no file descriptor available"
# Errors of this machine, not of the peer.
OUT_OF_RESOURCES_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


@dataclass(slots=True)
class Reply:
    """One complete answer; header names are lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


def limit_socket_buffer(transport: asyncio.Transport, option: int) -> None:
    """Limit the kernel buffer of a socket in one direction (`option`); by default it grows to megabytes."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)


class ConnectAttempt:
    """One attempt to connect with a time limit; its descriptor is counted from the start.

    `on_end` is called once, with the protocol or with None and the cause. A connection may be lost before the
    callback of its attempt runs. That counts as a failure: connection_lost is not called again, so that a
    caller that kept the connection would write to a dead transport for good.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        protocol_factory: Callable[[], ReplyProtocol],
        address: tuple[str, int],
        timeout_s: float,
        use: DescriptorUse,
        on_end: Callable[[ReplyProtocol | None, str], None],
    ) -> None:
        self._loop, self._protocol_factory, self._descriptor_use = loop, protocol_factory, use
        self._on_end: Callable[[ReplyProtocol | None, str], None] | None = on_end
        self._protocol: ReplyProtocol | None = None
        self._is_timed_out = False
        use.opened()
        self._task = loop.create_task(loop.create_connection(self._create_protocol, *address))
        self._task.add_done_callback(self._finish)
        self._timer = loop.call_later(timeout_s, self._handle_timeout)

    def cancel(self) -> None:
        """Cancel the attempt; `on_end` is still called."""
        self._task.cancel()

    def _create_protocol(self) -> ReplyProtocol:
        self._protocol = self._protocol_factory()
        self._protocol.use = self._descriptor_use
        return self._protocol

    def _handle_timeout(self) -> None:
        # After a stall of this process the connection may be up and the event loop may not have seen it yet.
        self._is_timed_out = True
        self._timer = self._loop.call_later(CONNECT_GRACE_S, self._task.cancel)

    def _finish(self, task: asyncio.Task) -> None:
        self._timer.cancel()
        if self._protocol is None or self._protocol.transport is None:
            # Otherwise connection_lost does both.
            self._descriptor_use.closed()
            if self._protocol is not None:
                self._protocol.release_parser()
        on_end, self._on_end = self._on_end, None  # breaks the reference cycle with the callee
        if task.cancelled():
            on_end(None, CONNECT_TIMED_OUT if self._is_timed_out else CONNECT_CANCELLED)
        elif (error := task.exception()) is not None:
            on_end(
                None,
                NO_DESCRIPTOR_AVAILABLE
                if getattr(error, "errno", 0) in OUT_OF_RESOURCES_ERRNOS
                else str(error),
            )
        elif task.result()[0].is_closing():
            on_end(None, CONNECTION_LOST)
        else:
            on_end(task.result()[1], "")


class ReplyProtocol(asyncio.BufferedProtocol):
    """Parses answers; subclasses implement `replied` and `lost`.

    An answer that exceeds `max_body_bytes` and the allowance for its head, `max_head_bytes`, aborts the
    connection; so does a head or a trailer that exceeds the latter.
    """

    kept_headers: Collection[bytes] | None = None  # names in lower case of those to keep; None: all

    def __init__(
        self, max_body_bytes: int = MAX_BUFFERED_BODY_BYTES, max_head_bytes: int = MAX_ANSWER_HEAD_BYTES
    ) -> None:
        self.transport: asyncio.Transport | None = None
        self.use: DescriptorUse | None = None  # the count that includes its descriptor
        self.has_unsent_data = False  # the write buffer is not empty
        self.close_cause = ""  # for the log
        self._parser = httptools.HttpResponseParser(self)
        self._parser_input = ParserInput(max_head_bytes)
        self._max_kept_bytes = max_body_bytes + min(max_head_bytes, MAX_KEPT_HEAD_BYTES)
        self._reset()

    def _reset(self) -> None:
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._size = self._kept_header_bytes = 0
        self._in_body = self.has_begun = False

    def replied(self, reply: Reply, reusable: bool) -> None:
        """Handle a complete answer; `reusable` tells whether the connection may carry another request."""
        raise NotImplementedError

    def lost(self) -> None:
        """Handle the loss of the connection."""
        raise NotImplementedError

    def flushed(self) -> None:
        """Called after a part of an upload was written to the transport."""

    def write(self, data: bytes) -> None:
        """Write and update `has_unsent_data`."""
        self.transport.write(data)
        self.has_unsent_data = self.transport.get_write_buffer_size() > 0

    def abort(self) -> None:
        """Abort the connection, if there is one."""
        if self.transport is not None:
            self.transport.abort()

    def held_bytes(self) -> int:
        """Return the bytes of the present answer in memory, whether they are parsed or not."""
        return self._parser_input.held_bytes + self._kept_header_bytes + len(self._body)

    def max_read_bytes(self) -> int:
        """Return how many bytes to read at once."""
        return READ_BYTES

    # asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that resume_writing means an empty buffer

    def get_buffer(self, sizehint: int) -> memoryview:
        return receive_buffer(self.max_read_bytes())

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(received_bytes(nbytes))

    def resume_writing(self) -> None:
        self.has_unsent_data = False

    def data_received(self, data: bytes) -> None:
        """Parse what was read."""
        self._parser_input.feed(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.close_cause = f"{error} in {data[:64]!r}"
            self.abort()  # not HTTP/1.1: the open request ends as a reset
        if not self.has_begun or (self._in_body and b"content-length" in self._headers):
            self._parser_input.clear()
        elif self._parser_input.is_too_long():
            self.close_cause = self.close_cause or "head or trailer too long"
            self.abort()  # otherwise one without end fills the memory

    def eof_received(self) -> None:
        framed = b"content-length" in self._headers or b"transfer-encoding" in self._headers
        if self._in_body and not framed:  # without framing the body ends with the connection
            self._complete(reusable=False)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.use is not None:
            self.use.closed()
        self.close_cause = self.close_cause or str(exc or "closed")
        self.lost()
        self.release_parser()

    def release_parser(self) -> None:
        """Drop the parser, which refers to the connection and would keep it until a collection of cycles."""
        self._parser = None

    # httptools

    def on_message_begin(self) -> None:
        self.has_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_body:
            return  # of a trailer
        name = name.lower()
        if self.kept_headers is not None and name not in self.kept_headers:
            return
        self._headers[name] = value
        self._kept_header_bytes += len(name) + len(value)
        if len(self._headers) > MAX_HEADER_FIELDS:
            self.close_cause = "too many header fields"
            self.abort()
        self._count_received_bytes(len(name) + len(value))

    def on_headers_complete(self) -> None:
        self._in_body = True
        self._parser_input.pass_on()

    def on_body(self, data: bytes) -> None:
        self._parser_input.pass_on(len(data))
        self._body += data
        self._count_received_bytes(len(data))

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() < 200:
            self._reset()  # an interim (1xx) answer
            return
        self._complete(self._parser.should_keep_alive())

    def _complete(self, reusable: bool) -> None:
        reply = Reply(self._parser.get_status_code(), self._headers, bytes(self._body))
        self._reset()
        self.replied(reply, reusable)

    def _count_received_bytes(self, size: int) -> None:
        self._size += size
        if self._size > self._max_kept_bytes:
            self.close_cause = "answer too long"
            self.abort()
