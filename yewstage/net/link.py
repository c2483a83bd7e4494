"""A link: one connection to a server, which carries one exchange of a request and its answer at a time.

Every close has a reason, by which the metrics count it.
"""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING, Protocol

from yewstage.net.budget import MemoryAccount
from yewstage.net.http1 import MAX_BUFFERED_BODY_BYTES, Reply, ReplyProtocol, limit_socket_buffer
from yewstage.net.receive_buffer import CHUNKED_READ_BYTES
from yewstage.net.socket_state import discard_on_close, undelivered_bytes
from yewstage.net.upload import Upload

if TYPE_CHECKING:
    from yewstage.net.pool import Pool, PooledServer

CHECK_INTERVAL_S = 1.0  # between checks of a link's progress
# How long an answer of unknown length is buffered: it may end in this time, and a retry is possible until a
# part of it was passed on.
UNKNOWN_LENGTH_HOLD_S = 0.1
# A streamed answer outlives an outage of the network. The system sends again at doubling intervals, so that a
# connection goes on after at most as long again as the outage took.
LONGEST_OUTAGE_S = 6.0
ANSWER_STALL_S = 2 * LONGEST_OUTAGE_S + 2 * CHECK_INTERVAL_S  # without progress for so long it is given up
# So is a body that its server does not take, and an answer without a length that is short so far: their
# clients wait for an end in their time.
SHORT_STALL_S = 5.0
# Reasons of closes, as labels of the metrics.
IDLE_LIMIT, NO_ROOM, SERVER_GONE, SERVER_RESTARTED = (
    "idle_limit",
    "no_room",
    "server_gone",
    "server_restarted",
)
SERVER_DRAINS, NOT_REUSABLE, ABANDONED, SERVER_SILENT = (
    "server_drains",
    "not_reusable",
    "given_up",
    "server_silent",
)
DIED_IDLE, BROKE, STALLED, STOPPED = "died_idle", "broke", "stalled", "stopped"
NO_MEMORY = "no_memory"
CLOSE_REASONS = (
    IDLE_LIMIT,
    NO_ROOM,
    SERVER_GONE,
    SERVER_RESTARTED,
    SERVER_DRAINS,
    NOT_REUSABLE,
    ABANDONED,
    SERVER_SILENT,
    DIED_IDLE,
    BROKE,
    STALLED,
    STOPPED,
    NO_MEMORY,
)
# Headers of answers that the gateway reads or passes on; their connection's own are the parser's.
ANSWER_HEADERS = frozenset(
    (b"content-length", b"transfer-encoding", b"content-type", b"x-load", b"billed-units", b"x-not-run")
)


class Stream(Protocol):
    """Reader of a streamed answer."""

    def write_body(self, data: bytes) -> None:
        """Called with each part of the body."""


class Source(Protocol):
    """Sender of a streamed answer."""

    def pause(self, paused: bool) -> None:
        """Stop reading from the server if `paused`, else resume."""


class Exchange(Protocol):
    """One request and its answer, as a link carries them."""

    payload: bytes
    upload: Upload | None
    head_received_at: float | None


class ExchangeObserver(Protocol):
    """Receives the events of exchanges."""

    def on_sent(self, exchange: Exchange) -> None:
        """Called when the last byte of the request was written."""

    def on_stream_started(
        self, link: Link, exchange: Exchange, reply: Reply, length: int | None
    ) -> Stream | None:
        """Called when a streamed answer begins. Returns its reader; None if nobody reads it."""

    def may_repeat(self, exchange: Exchange) -> bool:
        """Whether the request could be retried at another server if this answer broke off."""

    def on_reply(self, exchange: Exchange, reply: Reply) -> None:
        """Called with the complete answer."""

    def on_link_lost(self, exchange: Exchange, is_unsent: bool, cause: str) -> None:
        """Called when the link was lost; `is_unsent` if the last byte of the request was not written."""


class Link(ReplyProtocol):
    """One connection to a server, which carries one exchange at a time."""

    kept_headers = ANSWER_HEADERS

    def __init__(self, pool: Pool, server: PooledServer) -> None:
        super().__init__()
        self._pool, self.server = pool, server
        self.exchange: Exchange | None = None
        self.idle_since = self.close_idle_at = 0.0
        self.idle_share = 0.0  # part of the server's idle limit after which the idle link is closed
        self.opened_at_ms = 0.0  # Unix time in milliseconds
        self.local_port = 0  # for the log
        self._memory_account = pool.budget.open_account("answers")  # of the answer that is being buffered
        self._unwritten_account: MemoryAccount | None = None  # of a request that was not written at once
        self._pending_reply: tuple[Exchange, Reply, bool] | None = None
        self._stream: Stream | None = None  # reader of the answer, if it is streamed
        self._unpassed: list[bytes] = []  # parts of the streamed body in the present read
        self._streamed_bytes = 0  # of the streamed body
        self._is_paused = False  # because the client reads slowly
        self._is_waiting_for_turn = False
        self._is_reading = True  # as the transport was told last
        self._max_read_bytes = 0  # of the latest read
        self._hold_timer: asyncio.TimerHandle | None = None
        # Of a streamed body: reads and bytes that the server has not acknowledged, and when either changed.
        self._progress, self._progress_at = (0, 0), 0.0
        self._read_count = 0
        self.close_reason = ""  # why the gateway closed the link; empty if the server or the network did

    def abort(self, reason: str = "") -> None:
        """Close the link at once, for one of CLOSE_REASONS."""
        self.close_reason = self.close_reason or reason
        self._pool.remove(self)
        super().abort()

    def abandon(self) -> None:
        """Close the link of an exchange that nobody wants any more.

        The system would go on sending what it holds of a long body, and the request would begin after all, so
        this is discarded.
        """
        exchange, self.exchange = self.exchange, None
        if exchange is not None and exchange.upload is not None:
            discard_on_close(self.transport)
        self.abort(ABANDONED)

    def begin(self, exchange: Exchange) -> None:
        """Write the request of an exchange."""
        self.exchange = exchange
        self._progress_at = self._pool.loop.time()
        if exchange.upload is not None:
            self.has_unsent_data = True
            self._pool.mark_streaming(self)
            exchange.upload.attach(self, exchange.payload)
            return
        payload, exchange.payload = exchange.payload, b""  # the transport holds it until it is written
        self.write(payload)
        if not self.has_unsent_data:
            self._pool.observer.on_sent(exchange)
            return
        if self._unwritten_account is None:
            self._unwritten_account = self._pool.budget.open_account("requests")
        self._unwritten_account.set(len(payload))

    def flushed(self) -> None:
        """Report once when the last byte of a request was written."""
        exchange = self.exchange
        if not self.has_unsent_data or exchange is None or self.transport.get_write_buffer_size():
            return
        if exchange.upload is None or exchange.upload.is_written:
            self.has_unsent_data = False
            self._release_unwritten()
            self._pool.observer.on_sent(exchange)

    def _release_unwritten(self) -> None:
        """Count nothing of the request any more, as all of it is written or discarded."""
        if self._unwritten_account is not None:
            self._unwritten_account.set(0)

    def resume_writing(self) -> None:
        self.flushed()
        if self.exchange is not None and self.exchange.upload is not None:
            self.exchange.upload.drained()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._pool.on_opened(self)

    def max_read_bytes(self) -> int:
        self._max_read_bytes = self._pool.budget.read_bytes()
        if b"transfer-encoding" in self._headers:
            self._max_read_bytes = min(self._max_read_bytes, CHUNKED_READ_BYTES)
        return self._max_read_bytes

    def data_received(self, data: bytes) -> None:
        """Parse what was read, and pass it on at once if the answer is streamed."""
        if self.exchange is None:
            self.abort(NOT_REUSABLE)  # unsolicited data would be taken for the answer to the next request
            return
        self._read_count += 1
        super().data_received(data)
        self._pass_on()
        if (
            self._in_body
            and self._hold_timer is None
            and self._stream is None
            and self._body_length() is None
        ):
            # Buffering only helps where the request could be retried if this answer broke off.
            hold_s = (
                UNKNOWN_LENGTH_HOLD_S
                if self.exchange is not None and self._pool.observer.may_repeat(self.exchange)
                else 0.0
            )
            self._hold_timer = self._pool.loop.call_later(hold_s, self._on_hold_timeout)
        self._deliver_reply()
        self._update_memory()
        if len(data) == self._max_read_bytes and not self._is_waiting_for_turn:
            self._is_waiting_for_turn = True
            self._pool.turns.add(self)
            self._update_reading()

    def _update_memory(self) -> None:
        """Account for what is held of the answer.

        Without room for it a body is streamed, and a head or a trailer is given up.
        Of a streamed body in very short chunks most is framing, which the parser does not keep.
        """
        if self._stream is not None:
            held_bytes = self._parser_input.held_bytes
        else:
            held_bytes = self.held_bytes() if self.has_begun else 0
        if held_bytes == self._memory_account.bytes:
            return
        is_framing = self._stream is not None and self._parser_input.has_passed_on
        more_bytes = held_bytes - self._memory_account.bytes
        if more_bytes <= 0 or is_framing or self._pool.budget.admits(held_bytes, more_bytes):
            self._memory_account.set(held_bytes)
            return
        self._pool.budget.refused_count += 1
        if self._in_body and self._stream is None:
            self._begin_stream()
            self._deliver_reply()
        else:
            self.close_cause = "no memory for its head or trailer"
            self.abort(NO_MEMORY)

    def take_turn(self) -> None:
        """Read on after all other connections had the chance to."""
        self._is_waiting_for_turn = False
        self._update_reading()

    def _update_reading(self) -> None:
        should_read = not self._is_paused and not self._is_waiting_for_turn
        if should_read != self._is_reading and not self.transport.is_closing():
            self._is_reading = should_read
            (self.transport.resume_reading if should_read else self.transport.pause_reading)()

    def _deliver_reply(self) -> None:
        """Deliver a complete answer after all data that was read together with it is parsed.

        The link may be reused at once, and data that follows the answer would then be taken for the answer to
        the next request.
        """
        if self._pending_reply is not None:
            (exchange, reply, reusable), self._pending_reply = self._pending_reply, None
            is_clean = not self.has_begun and not self.transport.is_closing()
            self._pool.release(self, reusable and is_clean)
            self._pool.observer.on_reply(exchange, reply)

    def replied(self, reply: Reply, reusable: bool) -> None:
        exchange, self.exchange = self.exchange, None
        self._pass_on()
        self._stream = None
        self._cancel_hold()
        if exchange is None:
            self.abort(NOT_REUSABLE)  # a second answer to one request
        else:
            self._pending_reply = (exchange, reply, reusable)

    # --- Streamed answers ---------------------------------------------------------------------------------

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        if self.exchange is not None and self._parser.get_status_code() >= 200:
            self.exchange.head_received_at = time.monotonic()
        if (self._body_length() or 0) > MAX_BUFFERED_BODY_BYTES:
            self._begin_stream()

    def on_body(self, data: bytes) -> None:
        if (
            self._stream is None
            and self._pending_reply is None
            and self._size + len(data) > MAX_BUFFERED_BODY_BYTES
        ):
            self._begin_stream()
        if self._stream is not None:
            self._parser_input.pass_on(len(data))
            self._unpassed.append(data)
        elif self._pending_reply is None:  # otherwise the result is known already
            super().on_body(data)

    def _pass_on(self) -> None:
        """Write the parts of the present read as one, as each by itself takes much more than its bytes."""
        if self._unpassed:
            data, self._unpassed = b"".join(self._unpassed), []
            self._streamed_bytes += len(data)
            self._stream.write_body(data)

    def _body_length(self) -> int | None:
        length = self._headers.get(b"content-length")
        return int(length) if length is not None else None

    def _on_hold_timeout(self) -> None:
        self._hold_timer = None
        if self._in_body and self._stream is None:
            self._begin_stream()
            self._deliver_reply()

    def _begin_stream(self) -> None:
        """Stream an answer of status 200; any other one is complete with its head."""
        status = self._parser.get_status_code()
        if self.exchange is None or status < 200:
            self.abort(NOT_REUSABLE)
            return
        if status != 200:
            self._complete(reusable=False)
            return
        body, self._body = bytes(self._body), bytearray()
        self._streamed_bytes = 0
        limit_socket_buffer(self.transport, socket.SO_RCVBUF)
        self._pool.mark_streaming(self)
        reply = Reply(status, self._headers, b"")
        self._stream = self._pool.observer.on_stream_started(self, self.exchange, reply, self._body_length())
        if self._stream is None:
            self.abort(ABANDONED)  # the client has disconnected
        elif body:
            self._streamed_bytes = len(body)
            self._stream.write_body(body)
        self._memory_account.set(0)  # what was held here is the reader's now

    def pause(self, paused: bool) -> None:
        """Stop reading while the client's buffer is full, or resume."""
        if paused == self._is_paused:
            return
        self._is_paused = paused
        self._progress_at = self._pool.loop.time()
        self._update_reading()

    def _cancel_hold(self) -> None:
        self.pause(False)
        if self._hold_timer is not None:
            self._hold_timer.cancel()
            self._hold_timer = None

    def _is_long_answer(self) -> bool:
        """Whether an answer is streamed that is known to be long."""
        is_long = self._body_length() is not None or self._streamed_bytes > MAX_BUFFERED_BODY_BYTES
        return self._stream is not None and is_long

    def check_progress(self, now: float) -> None:
        """Close the link if its streamed body stalled, as its server is gone or unreachable."""
        is_uploading = self.has_unsent_data and self.exchange is not None and self.exchange.upload is not None
        if self._is_paused or not (is_uploading or self._stream is not None):
            return
        limit_s = ANSWER_STALL_S if self._is_long_answer() else SHORT_STALL_S
        unwritten_bytes = self.transport.get_write_buffer_size()
        progress = (self._read_count, undelivered_bytes(self.transport))
        if progress != self._progress or (is_uploading and not unwritten_bytes):
            self._progress, self._progress_at = progress, now
        elif now - self._progress_at > limit_s:
            self.close_cause = "streamed body stalled"
            self.abort(STALLED)

    def eof_received(self) -> None:
        super().eof_received()
        self._deliver_reply()

    def lost(self) -> None:
        self._cancel_hold()
        self._memory_account.end()
        self._release_unwritten()
        self._pool.on_closed(self)
