"""HTTP/1.1 server for clients: parses and validates requests and writes exactly one answer to each."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import httptools

from yewstage.net.budget import SMALL_REQUEST_BYTES
from yewstage.net.client_request import BadRequestError, RequestMessage, framing_header, parse_client_request
from yewstage.net.delivery import Delivery
from yewstage.net.http1 import MAX_BUFFERED_BODY_BYTES, limit_socket_buffer
from yewstage.net.link import Source
from yewstage.net.loop_monitor import STALL_THRESHOLD_S, ReadGap
from yewstage.net.parser_input import ParserInput
from yewstage.net.receive_buffer import CHUNKED_READ_BYTES, READ_BYTES, receive_buffer, received_bytes
from yewstage.net.request_queue import REQUEST_OVERHEAD_BYTES, RequestQueue, buffered_bytes
from yewstage.net.socket_state import (
    has_hung_up,
    seconds_since_last_data,
    undelivered_bytes,
    unread_bytes,
)
from yewstage.net.upload import Upload
from yewstage.net.write_buffer import WriteBuffer

if TYPE_CHECKING:
    from yewstage.net.client_listener import ClientListener

MAX_HEAD_BYTES = 32 * 1024  # of one request; the same holds for its trailer
HEAD_TIMEOUT_S = 2.2  # for a complete head; a connection's first one counts from its opening
BODY_GRACE_S = 0.7  # how far a body may fall behind MIN_BODY_BYTES_PER_S
MIN_BODY_BYTES_PER_S = 64_000.0
MAX_BODY_SILENCE_S = 2.2  # between two parts of a body, however far it is ahead of that rate
RETRY_AFTER_MS = 1000.0  # Retry-After of a request refused for want of memory, and of a readiness check
BODY_DRAIN_TIMEOUT_S = 5.0  # for reading the rest of a body whose request is already answered
ANSWER_READ_TIMEOUT_S = 30.0  # a client that reads nothing of its answer for longer is disconnected
IDLE_TIMEOUT_S = 75.0  # for an idle connection while there is room for others
HEAD_READ_BYTES = 8 * 1024  # one read while heads are received, as each field takes time to parse
REQUESTS_PER_TURN = 8  # begun at once; the further ones of a connection wait for its next turn
# Heads and bodies, and requests, that are queued before reading pauses; a client's end is seen while reading.
MAX_PIPELINED_BYTES = 64 * 1024
MAX_PIPELINED_REQUESTS = 256
SPARE_IDLE_TIMEOUT_S = 2.0  # a connection idle for longer is closed when a new client needs room
SILENT_TIMEOUT_S = 0.5  # so is one without a request yet, once it has received nothing for so long
# How long a client that was seen counts as there while its end may lie behind more unread bytes than these;
# with fewer, the system has room for it. Attempts that begin 0.1 s after a client's close are too late.
PRESENCE_VALID_S = 0.08
MAX_UNREAD_BEFORE_END_BYTES = 4 * 1024
SEND_GAP_S = 0.1  # input after so long without any did not wait at the client's machine: the client sent it
LINGER_TIMEOUT_S = 1.0  # for reading on after the last answer is delivered, unless the client closes first

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
STATUS_LINES = {status: b"HTTP/1.1 %d %b\r\n" % (status, reason) for status, reason in REASON_PHRASES.items()}


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection. Pipelined requests are processed one at a time, in order."""

    __slots__ = (
        "_listener",
        "_core",
        "_read_gap",
        "_read_arrived_at_s",
        "_max_read_bytes",
        "_is_waiting_for_turn",
        "_is_reading",
        "_seen_at_s",
        "_descriptor",
        "transport",
        "_parser",
        "_message",
        "_pending_requests",
        "_current_request",
        "_open_request_id",
        "_is_answer_due",
        "_answer_source",
        "_is_chunked",
        "_is_self_delimited",
        "_keeps_alive",
        "_is_closing",
        "_is_processing_queue",
        "_is_queue_full",
        "_open_uploads",
        "_is_budget_paused",
        "_is_flushing",
        "_close_timer",
        "_delivery",
        "_request_account",
        "_answer_account",
        "_write_buffer",
        "_open_request_bytes",
        "_read_paused_at_s",
        "_write_blocked_at_s",
        "_parser_input",
        "_is_replaying_head",
        "answered_count",
        "phase_started_at_s",
        "received_at_s",
    )

    def __init__(self, listener: ClientListener, unread_since_s: float | None = None) -> None:
        """`unread_since_s` is since when it may have been in the backlog, by the monotonic clock."""
        self._listener, self._core = listener, listener.core
        self._read_gap = ReadGap(listener.core.loop_monitor, unread_since_s)
        self._read_arrived_at_s = 0.0  # the earliest that the latest bytes read may have arrived
        self._max_read_bytes = READ_BYTES  # of the latest read
        self._is_waiting_for_turn = False
        self._is_reading = True  # as the transport was told last
        # When the client was there for certain, by the monotonic clock. Its machine goes on sending what it
        # has taken, and then its end, after the client has closed, so most input is no sign of it.
        self._seen_at_s = time.monotonic() if unread_since_s is None else unread_since_s
        self._descriptor = -1  # of the transport's socket; -1 until it is needed
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._message: RequestMessage | None = None  # the one being received
        self._pending_requests = RequestQueue()  # requests to process
        self._current_request: RequestMessage | None = None  # the last one whose processing began
        self._open_request_id: str | None = None  # id of the request that awaits its answer
        self._is_answer_due = False  # a request is being processed
        self._answer_source: Source | None = None  # server connection of a streamed answer
        # Of a streamed answer: chunked coding, a visible end, and whether the connection outlives it.
        self._is_chunked = self._is_self_delimited = self._keeps_alive = False
        self._is_closing = False
        self._is_processing_queue = False
        self._is_queue_full = False  # pauses reading, as do uploads that are held back
        self._open_uploads: tuple[Upload, ...] = ()  # closed with the connection at the latest
        # The memory budget pauses the streamed answer; a complete answer is not yet written in full.
        self._is_budget_paused = self._is_flushing = False
        self._close_timer: asyncio.TimerHandle | None = None  # after the last answer
        self._delivery = Delivery()
        self._request_account = listener.core.budget.open_account("requests")
        self._answer_account = listener.core.budget.open_account("answers")
        self._write_buffer = WriteBuffer()
        self._open_request_bytes = 0  # head and body of the request being processed
        self._read_paused_at_s: float | None = None  # None: reading
        self._write_blocked_at_s: float | None = None  # None: the write buffer is empty
        self._parser_input = ParserInput(MAX_HEAD_BYTES)
        self._is_replaying_head = False  # a new parser is fed a head it must not report
        self.answered_count = 0
        # When the connection was opened, became idle, or began to receive its latest message.
        self.phase_started_at_s = 0.0
        self.received_at_s = 0.0  # when bytes were last received

    # asyncio.BufferedProtocol

    def get_buffer(self, sizehint: int) -> memoryview:
        self._max_read_bytes = self._next_read_bytes()
        return receive_buffer(self._max_read_bytes)

    def _next_read_bytes(self) -> int:
        """Return how much to read at once, so that parsing it takes little time and a body holds little."""
        message = self._message
        if message is None or not message.head_complete_at_s:
            return HEAD_READ_BYTES
        limit_bytes = READ_BYTES if message.content_length is not None else CHUNKED_READ_BYTES
        return min(limit_bytes, self._core.budget.read_bytes()) if self._open_uploads else limit_bytes

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(received_bytes(nbytes))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that any unsent byte calls pause_writing
        self.phase_started_at_s = self.received_at_s = self._listener.now()
        self._read_gap.resume()
        self._listener.connections.add(self)
        self._listener.descriptor_use.opened()

    def data_received(self, data: bytes) -> None:
        """Parse what was read, and begin the requests that it completes."""
        is_all_read = len(data) != self._max_read_bytes  # else the buffer was full
        if self._is_input_new():
            now = time.monotonic()
            self._seen_at_s = now - self._core.loop_monitor.read_delay_s(now)
        self.received_at_s = self._listener.now()
        if not self._is_closing:
            self._take(data, is_all_read)
        if not is_all_read:
            self._wait_for_turn()

    def _take(self, data: bytes, is_all_read: bool) -> None:
        """Parse what was read, and begin requests."""
        now = time.monotonic()
        self._read_arrived_at_s = loop_arrival_s = now - self._core.loop_monitor.read_delay_s(now)
        if self._read_gap.is_open():
            self._read_arrived_at_s = self._read_gap.earliest_arrival_s(now)
            if is_all_read:
                self._read_gap.end()
        message = self._message
        self._feed_parser(data)
        if self._open_uploads:
            self._forward_body()
        if loop_arrival_s - self._read_arrived_at_s > STALL_THRESHOLD_S:
            self._refine_arrival(message, now, loop_arrival_s)
        if self._open_uploads:
            self._withdraw_arrival()
        self._process_queue()
        self._request_account.set(self._buffered_request_bytes())
        if self._parser_input.held_bytes and not self._is_closing:
            self._check_parser_memory()

    def _check_parser_memory(self) -> None:
        """Refuse a request whose incomplete head, or trailer, is too much for the memory left.

        Of a streamed body in very short chunks most is framing, which the parser does not keep.
        """
        if self._open_uploads and self._parser_input.has_passed_on:
            return
        if not self._core.budget.admits(self._parser_input.held_bytes, more_bytes=0):
            self._core.budget.refused_count += 1
            self._fail_message(503)
            self._process_queue()

    def _wait_for_turn(self) -> None:
        """Read and begin nothing more until all other connections had the chance to."""
        if not self._is_waiting_for_turn and not self.transport.is_closing():
            self._is_waiting_for_turn = True
            self._read_gap.pause()
            self._listener.turns.add(self)
            self._update_reading()

    def take_turn(self) -> None:
        """Go on with what was left for this turn."""
        self._is_waiting_for_turn = False
        self._read_gap.resume()
        self._process_queue()
        self._update_reading()

    def _refine_arrival(self, continued: RequestMessage | None, now: float, loop_arrival_s: float) -> None:
        """Ask the system when the last byte of a request arrived that may have come while nothing was read.

        It knows of the last bytes only, so this applies where they were the end of one request: the only one
        in the queue, or the `continued` one, whose body ended with them. The delay of the event loop stays a
        bound.
        """
        if self._message is not None:
            return
        if not self._pending_requests.count and continued is not None and continued is self._current_request:
            request = continued
        elif not self._is_answer_due:
            request = self._pending_requests.only()
        else:
            return
        since_s = seconds_since_last_data(self.transport.get_extra_info("socket"))
        if since_s is not None and isinstance(request, RequestMessage):
            request.arrived_at_s = max(request.arrived_at_s, min(loop_arrival_s, now - since_s))
            if request.upload is not None:
                self._set_body_arrival(request, request.arrived_at_s)

    def _set_body_arrival(self, message: RequestMessage, arrived_at_s: float | None) -> None:
        """Note when the last byte of a streamed body arrived; None if it turns out that it has not."""
        message.upload.arrived_at_s = arrived_at_s
        if message is self._current_request and self._open_request_id is not None:
            self._core.body_arrived(self._open_request_id)

    def _note_unread_end(self) -> None:
        """Start the time of a streamed body whose last byte may have been sent while reading is paused.

        It lies in the socket, or behind bytes for which there is no room. The length of a chunked body is
        unknown, so any unread bytes may hold its end. If the body goes on, `_withdraw_arrival` corrects this.
        """
        message = self._message
        if message is None or message.upload is None or message.upload.arrived_at_s is not None:
            return
        unread_bytes = self._unread_bytes()
        missing_bytes = 1 if message.content_length is None else message.content_length - message.body_bytes
        if unread_bytes < min(missing_bytes, MAX_UNREAD_BEFORE_END_BYTES + 1):
            return
        now = time.monotonic()
        since_s = seconds_since_last_data(self.transport.get_extra_info("socket")) or 0.0
        self._set_body_arrival(message, now - since_s)

    def _withdraw_arrival(self) -> None:
        """Correct the arrival of a body that has turned out to go on."""
        message = self._message
        if message is None or message.upload is None:
            return
        if message.upload.arrived_at_s is not None:
            self._set_body_arrival(message, None)

    def _buffered_request_bytes(self) -> int:
        """Bytes of requests in memory: being received, queued, or awaiting their answer."""
        size = self._open_request_bytes + self._pending_requests.bytes + self._parser_input.held_bytes
        if self._message is None or self._message.upload is not None or self._is_closing:
            return size  # what is streamed is either queued or open
        return size + buffered_bytes(self._message)

    def _feed_parser(self, data: bytes) -> None:
        self._parser_input.feed(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._resume_parsing(data[upgrade.args[0] :])
        except httptools.HttpParserError:
            self._fail_message(400)
        message = self._message
        if message is None or (message.head_complete_at_s and message.content_length is not None):
            self._parser_input.clear()
        elif self._parser_input.is_too_long():
            self._fail_message(400)  # otherwise an endless head or trailer fills the memory

    def _stop_parsing(self) -> None:
        """Take no further request on this connection, and release what is held of the one being received."""
        self._is_closing = True
        self._parser = None  # with what it holds; one that is being fed lives until then
        self._parser_input.clear()
        if self._message is not None:
            self._message.forget()

    def _resume_parsing(self, rest: bytes) -> None:
        """Continue after a request with an Upgrade header, at which httptools stops parsing.

        The gateway ignores Upgrade. A new parser reads the body; a replayed head tells it the framing.
        """
        if self._is_closing:
            return
        self._parser = httptools.HttpRequestParser(self)
        self._parser_input.clear()
        message = self._message
        if message is not None:  # its body follows
            framing = (
                b"Transfer-Encoding: chunked"
                if message.content_length is None
                else b"Content-Length: %d" % message.content_length
            )
            self._is_replaying_head = True
            self._parser.feed_data(b"POST / HTTP/1.1\r\n%b\r\n\r\n" % framing)
            self._is_replaying_head = False
        if rest:
            self._feed_parser(rest)

    def pause_writing(self) -> None:
        # Bounds the memory: until the client has read this, no further request is processed and no more of
        # a streamed answer is read from the server.
        self._write_blocked_at_s = self._listener.now()
        self._update_source_flow()

    def resume_writing(self) -> None:
        self._write_blocked_at_s = None
        self._write_buffer.emptied()
        self._answer_account.set(0)
        if self._is_flushing:
            self._is_flushing = False
            self._answer_account.finish()
        self._update_source_flow()
        self._process_queue()

    def _pause_for_budget(self, is_paused: bool) -> None:
        """Pause or resume the streamed answer on behalf of the memory budget."""
        self._is_budget_paused = is_paused
        self._update_source_flow()

    def _update_source_flow(self) -> None:
        if self._answer_source is not None:
            self._answer_source.pause(self._write_blocked_at_s is not None or self._is_budget_paused)

    def _evict(self) -> None:
        """Abort the connection: its stalled stream holds memory that others wait for."""
        self._core.stats.count_truncated_stream("no_room")
        self.transport.abort()

    def eof_received(self) -> None:
        """Treat the end of the client's sending as a disconnect: cancel its requests and drop queued ones.

        The transport closes itself once its buffer is written. A streamed answer is aborted, since a client
        that does not read would keep it in memory.
        """
        self._release_requests()
        if self._answer_source is not None:
            self.transport.abort()
        else:
            self._release_open_request()

    def has_hung_up(self) -> bool:
        """Whether the client has closed the connection or ended its sending, by asking the system."""
        return self.transport.is_closing() or has_hung_up(self._fileno())

    def has_disconnected(self) -> bool:
        """Whether the client has closed the connection or ended its sending, by asking the system.

        The event loop reads the end of the connection in a later turn than the request before it, and not at
        all while reading is paused. A client that has left is owed nothing, so its requests are released and
        the connection is read to its end.
        """
        if self.transport.is_closing():
            return True
        is_hung_up = self.has_hung_up()
        if is_hung_up:
            self._release_requests()
        return is_hung_up

    def may_have_left(self) -> bool:
        """Whether the end of a client that has not hung up may lie behind bytes that have no room yet."""
        now = time.monotonic()
        if self._is_input_new():
            self._seen_at_s = now - self._core.loop_monitor.read_delay_s(now)
        if now - self._seen_at_s <= PRESENCE_VALID_S:
            return False
        if self._unread_bytes() > MAX_UNREAD_BEFORE_END_BYTES:
            return True
        self._seen_at_s = now
        return False

    def _is_input_new(self) -> bool:
        """Whether unread input, if there is any, was sent since the last turn of the event loop."""
        quiet_s = self._listener.now() - self.received_at_s
        return self._is_reading and not self._read_gap.is_open() and quiet_s >= SEND_GAP_S

    def _may_complete_upload(self) -> bool:
        """Whether the last byte of the present request's body may be written; else the request has ended."""
        if self.has_disconnected():
            self._release_open_request()
            return False
        if not self._is_answer_due or self._answer_source is not None:
            return True  # its answer has begun, so its server does not wait for the last byte
        if not self.may_have_left():
            return True
        self._core.count_unseen_client()
        self._end_open_request(503)
        return False

    def _fileno(self) -> int:
        """Return the descriptor of the socket; the transport must not be closing."""
        if self._descriptor < 0:
            self._descriptor = self.transport.get_extra_info("socket").fileno()
        return self._descriptor

    def _release_requests(self) -> None:
        """Drop the queued requests and what is held of bodies: nothing more is begun for this client."""
        self._stop_parsing()
        self._drop_queued_requests()
        for upload in self._open_uploads:
            upload.close()
        self._update_reading()

    def _drop_queued_requests(self) -> None:
        """Drop the requests whose processing has not begun, with what is held of their bodies."""
        for item in self._pending_requests.drain():
            if isinstance(item, RequestMessage) and item.upload is not None:
                item.upload.close()
        self._is_queue_full = False
        self._request_account.set(self._buffered_request_bytes())

    def _discard_upload(self, upload: Upload) -> None:
        self._open_uploads = tuple(other for other in self._open_uploads if other is not upload)
        if self._message is not None and self._message.upload is upload:
            self._message.body.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._close_timer is not None:
            self._close_timer.cancel()
        self._listener.closed(self)
        self._answer_source = None
        self._release_requests()
        self._request_account.end()
        self._answer_account.end()
        self._release_open_request()
        # These refer to the connection, and would keep it in memory until the next collection of cycles.
        self._message = self._current_request = None

    def _release_open_request(self) -> None:
        """Cancel the open request, if there is one, as abandoned by its client."""
        request_id, self._open_request_id = self._open_request_id, None
        if request_id is not None:
            self._core.client_disconnected(request_id)

    # httptools

    def on_message_begin(self) -> None:
        if self._is_replaying_head:
            return
        self._message = RequestMessage()
        if self.answered_count and not self._is_answer_due:
            self.phase_started_at_s = self._listener.now()

    def on_url(self, url: bytes) -> None:
        if not self._is_replaying_head and not self._is_closing:
            self._message.url += url
            self._message.head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        message = self._message
        if self._is_replaying_head or self._is_closing:
            return
        message.add_header(name.lower(), value)
        if message.head_bytes > MAX_HEAD_BYTES:
            self._fail_message(400)

    def on_headers_complete(self) -> None:
        message = self._message
        if self._is_replaying_head or self._is_closing:
            return
        message.head_complete_at_s = self._listener.now()
        message.set_request_line(self._parser.get_method(), self._parser.get_http_version())
        message.keep_alive = self._parser.should_keep_alive()
        self._parser_input.pass_on()
        status = self._validate_head(message)
        if status:
            self._reject(status)
        elif (message.content_length or 0) > MAX_BUFFERED_BODY_BYTES:
            self._start_upload(message)
        else:
            message.awaits_continue = message.headers.get(b"expect", b"").lower() == b"100-continue"
            self._send_continue()

    def _validate_head(self, message: RequestMessage) -> int:
        """Return the status with which the head is rejected; 0 if the request is accepted."""
        path = message.url.partition(b"?")[0]
        if path == b"/ready" and message.method == b"GET" and message.content_length == 0:
            return 0
        if not path.startswith(b"/api/"):
            return 404
        if (message.content_length or 0) > self._listener.max_upload_bytes:
            return 413
        try:
            message.client_request = parse_client_request(message, self._listener.names)
        except BadRequestError:
            return 400
        length = message.content_length or 0
        if length <= MAX_BUFFERED_BODY_BYTES and not self._reserve(message, length):
            return self._count_refusal(message)
        return 0

    def _reserve(self, message: RequestMessage, body_bytes: int) -> bool:
        """Reserve memory for a buffered body of this length; False if there is too little.

        What is admitted can be received whole: memory that others have meanwhile taken is not counted twice.
        """
        more_bytes = REQUEST_OVERHEAD_BYTES + body_bytes - message.reserved_bytes
        if not self._core.budget.admits(message.head_bytes + body_bytes, more_bytes):
            return False
        message.reserved_bytes = body_bytes
        if body_bytes or self._pending_requests.count:  # else it is counted at the end of the read
            self._request_account.set(self._buffered_request_bytes())
        return True

    def _reserve_chunked(self, message: RequestMessage) -> bool:
        """Reserve memory for what has come of a body of unknown length, and as much again."""
        if message.body_bytes <= message.reserved_bytes:
            return True
        size = max(2 * message.body_bytes, SMALL_REQUEST_BYTES)
        return self._reserve(message, min(size, MAX_BUFFERED_BODY_BYTES))

    def _count_refusal(self, message: RequestMessage) -> int:
        """Count a refusal for want of memory, before any byte is sent to a server; returns the status."""
        self._core.budget.refused_count += 1
        self._core.stats.count_answer(message.client_request.cls.name, 503)
        return 503

    def _send_continue(self) -> None:
        """Send 100 Continue for a buffered body once all earlier requests are answered."""
        message = self._message
        if (
            message is not None
            and message.awaits_continue
            and message.upload is None
            and not self._is_answer_due
            and not self._pending_requests.count
        ):
            message.awaits_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _start_upload(self, message: RequestMessage) -> None:
        """Queue the request before its body is complete; the body is streamed to the server."""
        if not self._core.budget.admits_stream():
            self._reject(self._count_refusal(message))
            return
        message.arrived_at_s = self._read_arrived_at_s
        message.upload = Upload(
            message.content_length,
            self._core.budget.open_account("uploads"),
            self._update_reading,
            self._discard_upload,
            self._evict,
            self._may_complete_upload,
        )
        self._open_uploads += (message.upload,)
        message.awaits_continue = (
            message.headers.get(b"expect", b"").lower() == b"100-continue" and not message.body_bytes
        )
        limit_socket_buffer(self.transport, socket.SO_RCVBUF)
        self._pending_requests.append(message)

    def on_body(self, data: bytes) -> None:
        message = self._message
        if self._is_closing:
            return
        self._parser_input.pass_on(len(data))
        message.body_bytes += len(data)
        if message.body_bytes > self._listener.max_upload_bytes:
            self._fail_message(413)
        elif message.method == b"GET":
            self._fail_message(400)
        else:
            if message.upload is not None:
                if not message.upload.is_closed:  # else the rest of the body is discarded
                    message.body += data
                return
            message.body += data
            if message.body_bytes > MAX_BUFFERED_BODY_BYTES:
                self._start_upload(message)
            elif not self._reserve_chunked(message):
                self._fail_message(self._count_refusal(message))

    def _take_streamed_body(self, message: RequestMessage) -> bytes:
        """Return what was received of a streamed body and is not forwarded yet.

        Parts that came with one read go on as one, as each by itself takes much more than its bytes.
        """
        data = bytes(message.body)
        message.body.clear()
        self._core.stats.uploaded_bytes += len(data)
        return data

    def _forward_body(self) -> None:
        """Forward what the present read has brought of a streamed body."""
        message = self._message
        if message is not None and message.upload is not None and message.body:
            message.upload.feed(self._take_streamed_body(message))

    def on_message_complete(self) -> None:
        message = self._message
        if self._is_closing:
            self._message = None
            return
        if self._parser.should_upgrade() and message.content_length != 0:
            return  # the parser skips the body: see `_resume_parsing`
        self._message = None
        self._parser_input.pass_on()
        message.is_complete = True
        message.arrived_at_s = self._read_arrived_at_s
        if message.upload is not None:
            self._set_body_arrival(message, max(message.arrived_at_s, message.upload.arrived_at_s or 0.0))
            message.upload.finish(self._take_streamed_body(message))
            if message is self._current_request and not self._is_answer_due:
                self._close_gracefully()  # it was answered before its body was complete
        else:
            self._pending_requests.append(message)

    # Requests and answers

    def _reject(self, status: int) -> None:
        """Queue an error answer behind the earlier requests and stop parsing."""
        if not self._is_closing:
            self._stop_parsing()
            self._pending_requests.append(status)
            self._request_account.set(self._buffered_request_bytes())

    def _fail_message(self, status: int) -> None:
        """Reject the message being received; if it is already being processed, end its request."""
        message = self._message
        if self._is_closing:
            return
        if message is None or message.upload is None:
            self._reject(status)
        elif message is not self._current_request:
            self._pending_requests.discard(message)
            message.upload.close()
            self._reject(status)
        elif self._is_answer_due and self._answer_source is None:
            self._end_open_request(status)
        else:
            self.transport.abort()

    def _end_open_request(self, status: int) -> None:
        """Cancel the open request, whose body was not sent whole, and answer it as the last one."""
        self._release_open_request()
        self._stop_parsing()
        self._answer_and_close(status)

    def _update_reading(self) -> None:
        """Pause reading while the queue is full or an upload is held back, else resume it."""
        should_pause = self._is_queue_full
        for upload in self._open_uploads:  # none but where a long request is in progress
            should_pause = should_pause or upload.is_held_back
        if self.transport.is_closing():
            return
        if should_pause != (self._read_paused_at_s is not None):
            self._note_pause(should_pause)
        should_read = not should_pause and not self._is_waiting_for_turn
        if should_read != self._is_reading:
            self._is_reading = should_read
            (self.transport.resume_reading if should_read else self.transport.pause_reading)()

    def _note_pause(self, is_paused: bool) -> None:
        """Note that the client is held back from now on, or not any more."""
        now = self._listener.now()
        if is_paused:
            self._read_paused_at_s = now
            self._read_gap.pause()
            return
        if self._message is not None:
            self._message.paused_s += now - self._read_paused_at_s
        self._read_paused_at_s = None
        self._read_gap.resume()

    def _process_queue(self) -> None:
        """Start queued requests, one at a time, then update the flow control of reading."""
        if self._is_processing_queue or self.transport is None:
            return
        self._is_processing_queue = True
        begun = 0
        try:
            while self._can_begin_request():
                if begun == REQUESTS_PER_TURN:
                    self._wait_for_turn()
                    break
                begun += 1
                self._start_request(self._pending_requests.popleft())
        finally:
            self._is_processing_queue = False
        self._is_queue_full = self._has_read_ahead_enough()
        self._update_reading()
        self._send_continue()

    def _has_read_ahead_enough(self) -> bool:
        """Whether no further request is to be received before those that wait."""
        count = self._pending_requests.count
        if not count:
            return False
        if count >= MAX_PIPELINED_REQUESTS or self._core.budget.is_short():
            return True
        return self._buffered_request_bytes() - REQUEST_OVERHEAD_BYTES * count > MAX_PIPELINED_BYTES

    def _can_begin_request(self) -> bool:
        """Whether a request waits, and nothing before it is in its way."""
        return (
            self._pending_requests.count > 0
            and not self._is_answer_due
            and not self._is_waiting_for_turn
            and self._write_blocked_at_s is None
            and self._is_body_read()
        )

    def _is_body_read(self) -> bool:
        """Whether the current request's body has been received to its end."""
        return self._current_request is None or self._current_request.is_complete

    def _start_request(self, item: RequestMessage | int) -> None:
        self._is_answer_due = True
        if isinstance(item, int):
            self._answer_and_close(item)
            return
        self._current_request = item
        if item.client_request is None:
            self._answer_and_close(200 if self._core.is_ready() else 503)
            return
        client_request = item.client_request
        client_request.upload = item.upload
        if item.upload is None:
            client_request.body, item.body = item.body, bytearray()
        client_request.head += framing_header(item)
        self._open_request_bytes = len(client_request.head) + len(client_request.body)
        request_id = self._core.request(self, client_request, item.arrived_at_s)
        if self._is_answer_due:  # otherwise it has already been answered
            self._open_request_id = request_id
            if item.awaits_continue:
                item.awaits_continue = False
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _answer_and_close(self, status: int) -> None:
        """Answer a readiness check or an invalid request; close if nothing follows it, to make room."""
        if self._message is None and not self._pending_requests.count:
            self._stop_parsing()
        self.answer(status, retry_after_ms=RETRY_AFTER_MS if status == 503 else 0.0)

    def _should_keep_alive(self) -> bool:
        """Whether the connection stays open after the answer to the current request."""
        if self._current_request is None or not (
            self._current_request.keep_alive and self._current_request.is_complete
        ):
            return False
        return self._pending_requests.count > 0 or not (
            self._is_closing or self._core.is_draining or self._listener.is_crowded()
        )

    def _finish_request(self) -> None:
        self._open_request_id, self._is_answer_due, self._answer_source, self._open_request_bytes = (
            None,
            False,
            None,
            0,
        )
        self._request_account.set(self._buffered_request_bytes())
        self.answered_count += 1
        now = self._listener.now()
        self._delivery.begin(now)
        self.phase_started_at_s = now
        if self._current_request is not None:
            self._current_request.forget()
            if self._current_request.upload is not None:
                self._current_request.upload.close()

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Write the only answer to the open request."""
        self._finish_request()
        if self.transport.is_closing():
            return
        keep = self._should_keep_alive()
        parts = [STATUS_LINES[status], b"Content-Length: %d\r\n" % len(body)]
        if content_type:
            parts.append(b"Content-Type: %b\r\n" % content_type)
        if retry_after_ms > 0:
            parts.append(b"Retry-After: %.3f\r\n" % (retry_after_ms / 1000))
        parts.append(b"\r\n" if keep else b"Connection: close\r\n\r\n")
        parts.append(body)
        self._write(b"".join(parts))
        if not keep:
            self._close_gracefully()
        self._process_queue()

    # Streamed answers

    def begin_stream(self, length: int | None, content_type: bytes, source: Source) -> None:
        """Write the head of a streamed 200 answer; `length` None means that its length is unknown.

        `source` is paused while the client does not read. HTTP/1.0 clients get an answer without a length up
        to the end of the connection.
        """
        self._answer_source = source
        self._is_chunked = length is None and self._current_request.http_version == "1.1"
        self._is_self_delimited = self._is_chunked or length is not None
        self._keeps_alive = self._is_self_delimited and self._should_keep_alive()
        parts = [STATUS_LINES[200]]
        if length is not None:
            parts.append(b"Content-Length: %d\r\n" % length)
        elif self._is_chunked:
            parts.append(b"Transfer-Encoding: chunked\r\n")
        if content_type:
            parts.append(b"Content-Type: %b\r\n" % content_type)
        parts.append(b"\r\n" if self._keeps_alive else b"Connection: close\r\n\r\n")
        limit_socket_buffer(self.transport, socket.SO_SNDBUF)
        self._delivery.begin(self._listener.now())
        self._answer_account.begin(self._pause_for_budget, self._evict)
        self._write(b"".join(parts))
        self._update_source_flow()

    def write_body(self, data: bytes) -> None:
        """Write a part of the streamed body."""
        self._core.stats.downloaded_bytes += len(data)
        self._write(b"%x\r\n%b\r\n" % (len(data), data) if self._is_chunked else data)

    def end_stream(self) -> None:
        """Complete the streamed answer."""
        # The server connection may already carry another request, so that the bytes still to be written here
        # must not pause it.
        self._answer_source = None
        if self._is_chunked:
            self._write(b"0\r\n\r\n")
        self._is_flushing = self._write_blocked_at_s is not None
        if not self._is_flushing:
            self._answer_account.finish()
        self._finish_request()
        if not self._keeps_alive:
            self._close_gracefully()
        self._process_queue()

    def abort_stream(self) -> None:
        """Close the connection within a streamed answer.

        The missing end shows the client that the answer is incomplete; without any framing only a reset does.
        """
        self._finish_request()
        self._stop_parsing()
        (self.transport.close if self._is_self_delimited else self.transport.abort)()

    def _write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self._write_buffer.write(self.transport, data)
            self._answer_account.set(self._write_buffer.held_bytes)

    def _close_gracefully(self) -> None:
        """Shut down sending after the last answer and close when the client does, or after a time limit.

        Closing with unread bytes in the socket would reset the connection and could destroy the answer on its
        way, so reading goes on until then.
        """
        message = self._message
        if self.transport.is_closing():
            return
        if (
            self._is_closing
            or message is None
            or message.upload is None
            or message is not self._current_request
        ):
            self._stop_parsing()
            self._drop_queued_requests()
            self.transport.write_eof()
            self._linger()
        else:  # reads and discards the rest of its body: see `on_message_complete`
            self._call_later(BODY_DRAIN_TIMEOUT_S, self._abort_body_drain, message)

    def _call_later(self, delay_s: float, callback: Callable[..., None], *args: object) -> None:
        """Set the only timer of the connection; a lost connection would stay in memory until it fires."""
        if self._close_timer is not None:
            self._close_timer.cancel()
        self._close_timer = self._listener.loop.call_later(delay_s, callback, *args)

    def _linger(self) -> None:
        """Read on for a while after the last answer; until it is delivered, the time begins anew."""
        self._call_later(LINGER_TIMEOUT_S, self._finish_linger)

    def _finish_linger(self) -> None:
        if self._is_still_delivering():
            self._linger()
        else:
            self.transport.close()

    def _abort_body_drain(self, message: RequestMessage) -> None:
        if self._message is not message or self.transport.is_closing():
            return
        if self._is_still_delivering():
            self._call_later(LINGER_TIMEOUT_S, self._abort_body_drain, message)
            return
        self._core.stats.count_truncated_stream("answered")
        self.transport.abort()

    def _is_still_delivering(self) -> bool:
        """Whether the last answer goes on to the client, and closing may wait for that."""
        if self.transport.is_closing() or self._core.is_draining:
            return False
        return self._update_delivery()

    def _update_delivery(self) -> bool:
        """Whether the client's machine lacks a part of an answer, which it goes on taking.

        An exchange ends with the last byte of its answer at the client, so the time for which the connection
        is idle counts from then.
        """
        if not self._delivery.is_under_way or self.transport.is_closing():
            return False
        now = self._listener.now()
        is_complete = self._answer_source is None
        if self._delivery.update(undelivered_bytes(self.transport), is_complete, now):
            self._answer_account.note_progress()
        if not self._delivery.goes_on(now):
            return False
        if self._message is None:
            self.phase_started_at_s = now
        return True

    def state(self) -> str:
        """Return the connection's state for the log."""
        if self._is_answer_due:
            return "open"
        if self._is_closing:
            return "ending"
        return "reading" if self._message is not None else "idle" if self.answered_count else "silent"

    def check_timeouts(self, now: float) -> None:
        """Enforce the time limits for idling, for sending a request and for reading an answer."""
        message = self._message
        if self._read_paused_at_s is not None and not self.has_disconnected():
            self._note_unread_end()
        self._update_delivery()
        for upload in self._open_uploads:
            upload.check_progress()
        if self._write_blocked_at_s is not None and now - self._write_blocked_at_s > ANSWER_READ_TIMEOUT_S:
            self.transport.abort()  # otherwise clients that do not read would hold descriptors
        elif self._is_closing:
            if not self._is_answer_due and now - self.phase_started_at_s > IDLE_TIMEOUT_S:
                self.transport.abort()
        elif message is not None:
            if now > self._read_deadline_s(message) and (
                not self._is_answer_due or message is self._current_request
            ):
                self._handle_read_timeout(message)
        elif (
            not self._is_answer_due
            and now - self.phase_started_at_s > (IDLE_TIMEOUT_S if self.answered_count else HEAD_TIMEOUT_S)
            and not self.has_unread_bytes()
        ):
            self.transport.abort()  # idle, or without a first head in time

    def _read_deadline_s(self, message: RequestMessage) -> float:
        """Return when the message times out.

        Its head has a fixed limit, its body a minimum rate, and a client that stops within it a limit of its
        own: the part that came fast buys it no time.
        """
        if not message.head_complete_at_s:
            return self.phase_started_at_s + HEAD_TIMEOUT_S
        deadline_s = max(self.phase_started_at_s + HEAD_TIMEOUT_S, message.head_complete_at_s + BODY_GRACE_S)
        deadline_s += message.body_bytes / MIN_BODY_BYTES_PER_S + message.paused_s
        return min(deadline_s, self.received_at_s + MAX_BODY_SILENCE_S)

    def _handle_read_timeout(self, message: RequestMessage) -> None:
        if self.has_unread_bytes():
            return  # the delay is in this process, or it holds the client back
        if message.head_complete_at_s:
            self._fail_message(408)
        else:
            self._reject(408)
        self._process_queue()

    def is_idle(self) -> bool:
        """Whether no request is being received, queued or processed."""
        return not self._is_answer_due and self._message is None and not self._pending_requests.count

    def is_evictable(self, now: float) -> bool:
        """Whether the connection may be closed for a new client: idle, or without a request for too long."""
        if self._is_answer_due or self.transport.is_closing() or self._update_delivery():
            return False
        is_unused = (
            now - self.phase_started_at_s >= SPARE_IDLE_TIMEOUT_S and self.is_idle()
            if self.answered_count
            else now - self.received_at_s >= SILENT_TIMEOUT_S
        )
        return is_unused and not self.has_unread_bytes()

    def has_unread_bytes(self) -> bool:
        """Whether the socket holds unread bytes; closing it now would reset the connection."""
        return self._unread_bytes() > 0

    def _unread_bytes(self) -> int:
        """Bytes that lie in the socket; 0 if it is being closed."""
        if self.transport.is_closing():
            return 0  # the descriptor may be closed
        return unread_bytes(self._fileno())

    def close_if_idle(self) -> None:
        """Close unless the connection carries a request, has unread bytes, or is closing already."""
        if self.is_idle() and not self._is_closing and not self.has_unread_bytes():
            self.transport.close()
