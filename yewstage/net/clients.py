"""The server side: parses and validates requests, and gives each one exactly one answer."""

from __future__ import annotations

import array
import asyncio
import errno
import fcntl
import logging
import re
import select
import socket
import termios
from collections import Counter, deque
from functools import lru_cache

import httptools

from yewstage import interface as api
from yewstage.log import Event
from yewstage.net.core import ClientRequest, Core
from yewstage.net.http1 import LONGEST_BODY, Upload, limit_socket_buffer
from yewstage.net.pool import Source

log = logging.getLogger(__name__)

BACKLOG = 256
CLIENT_SHARE = 0.5  # of the descriptors
LONGEST_HEAD = 32 * 1024
HEAD_S = 2.2  # how long a head may take to come in, a connection's first one from when it was opened
BODY_S = 0.7  # how far its body may then be behind BODY_RATE
BODY_RATE = 64_000.0  # bytes a second, the slowest that a body may come
FULL_RETRY_MS = 1000.0  # a long body that finds no room may come again after that, at the soonest
DRAIN_S = 5.0  # how long the rest of a body is read whose request is answered already
READ_S = 30.0  # a client that takes nothing of its answer for so long is gone
IDLE_S = 75.0  # how long an idle connection is kept while there is room
AHEAD = 64 * 1024  # bytes of requests that may wait behind others; while we read, a client's end is seen
SPARE_S = 2.0  # a connection idle for longer gives its place to a new client
STALE_S = 0.5  # so does one that has not brought a request yet, once nothing came on it for so long
CROWDED = 0.7  # of the places: from here on no answered client keeps its own
LINGER_S = 1.0  # how long what still comes is read after the last answer, unless the client ends before
SWEEP_S = 0.2
DROPPED_S = 1.2  # how long clients may still use a class after it was dropped
ACCEPT_PAUSE_S = 0.05
TELL_S = 5.0  # spacing of the log's word that there is no room

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
LINES = {status: b"HTTP/1.1 %d %b\r\n" % (status, reason) for status, reason in REASONS.items()}
WANTED = frozenset(
    (
        b"x-request-id",
        b"x-class",
        b"plan",
        b"x-deadline",
        b"quota-info",
        b"x-retry",
        b"idempotency-key",
        b"content-length",
        b"content-type",
        b"expect",
        b"transfer-encoding",
    )
)
WORD = re.compile(rb"[!-~]{1,128}")
ABSOLUTE = re.compile(rb"(?i)^http://[^/?#]*(?=/)")  # a target may name its host, which is us
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
DEADLINE = re.compile(rb"([0-9]{1,12}(?:\.[0-9]{1,6})?)([mu])")
UNITS = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
WHOLE = re.compile(r"[0-9]{1,6}")


class BadRequestError(ValueError):
    """A request that is answered 400."""


class _Message:
    """One request as parsed."""

    __slots__ = (
        "url",
        "headers",
        "body",
        "size",
        "method",
        "keep_alive",
        "twice",
        "head",
        "order",
        "length",
        "upload",
        "headed_at",
        "held_s",
        "whole",
        "expects",
        "version",
    )

    def __init__(self) -> None:
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.size = 0  # of its body, so far
        self.method = b""
        self.version = "1.1"
        self.keep_alive = True
        self.head = 0  # bytes of its headers
        self.twice = False  # a header that we go by came twice
        self.length: int | None = 0  # of its body; None: it comes in chunks
        self.order: ClientRequest | None = None  # what is asked; None: whether we are ready
        self.upload: Upload | None = None  # the body, where it is too long to keep
        self.headed_at = 0.0  # when its head was whole; 0: it is not
        self.held_s = 0.0  # how long we have kept its client from sending
        self.whole = False
        self.expects = False  # its client waits for our word before it sends the body


class ClassAndPlanNames:
    """The classes and plans that a request may name, as they stand in its headers."""

    def __init__(self, settings: api.Settings) -> None:
        self.classes = {c.name.encode(): c for c in settings.classes}
        self.plans = {p.name.encode(): p.name for p in settings.plans}


def order(message: _Message, names: ClassAndPlanNames) -> ClientRequest:
    """A request for `/api/` as a `ClientRequest`; BadRequestErrorError where it breaks the protocol."""
    headers = message.headers
    if message.twice:
        raise BadRequestError("a header came twice")
    path, _, _ = message.url.partition(b"?")
    customer = path.rpartition(b"/")[2]
    if not CUSTOMER.fullmatch(customer) or int(customer, 16) >= 2**33:
        raise BadRequestError("customer")
    cls = names.classes.get(headers.get(b"x-class", b""))
    plan = names.plans.get(headers.get(b"plan", b""))
    if cls is None or plan is None:
        raise BadRequestError("class or plan")
    deadline = DEADLINE.fullmatch(headers.get(b"x-deadline", b""))
    if deadline is None:
        raise BadRequestError("X-Deadline")
    time_left_ms = float(deadline[1]) / (1 if deadline[2] == b"m" else 1000)
    units, width, first = _quota_info(headers.get(b"quota-info", b""))
    return ClientRequest(
        headers.get(b"x-request-id", b"").decode("latin-1"),
        cls,
        plan,
        customer.decode().lower(),
        time_left_ms,
        units,
        width,
        first,
        headers.get(b"x-retry") == b"1",
        _head(message, cls),
        b"",
        key=headers.get(b"idempotency-key", b""),
    )


def _framing(message: _Message) -> bytes:
    """How long its body is, for the host."""
    if message.upload is not None and message.length is None:
        return b"Transfer-Encoding: chunked\r\n"
    if message.method == b"POST":
        return b"Content-Length: %d\r\n" % (message.size if message.upload is None else message.length)
    return b""


@lru_cache(maxsize=1024)  # a few values make up all traffic
def _quota_info(value: bytes) -> tuple[float, int, int]:
    """`units=2,spread=3,first=1`."""
    fields = dict(part.strip().partition("=")[::2] for part in value.decode("latin-1").split(","))
    units, spread, first = (fields.get(name, "") for name in ("units", "spread", "first"))
    if not (UNITS.fullmatch(units) and WHOLE.fullmatch(spread) and WHOLE.fullmatch(first)):
        raise BadRequestError("Quota-Info")
    if float(units) <= 0 or int(spread) < 1:
        raise BadRequestError("Quota-Info")
    return float(units), int(spread), int(first)


def _head(message: _Message, cls: api.RequestClass) -> bytes:
    """The head for the host but for the body's length: method, path, query, id and key unchanged."""
    headers, key = message.headers, message.headers.get(b"idempotency-key")
    rid = headers.get(b"x-request-id", b"")
    if not WORD.fullmatch(rid) or (key is not None and not WORD.fullmatch(key)):
        raise BadRequestError("X-Request-Id or Idempotency-Key")
    # A class that may not simply be repeated must not come as a method that may.
    if message.method != (b"GET" if cls.effect == "safe" else b"POST"):
        raise BadRequestError("method")
    if (cls.effect == "keyed" and key is None) or (cls.effect == "safe" and message.length):
        raise BadRequestError("Idempotency-Key or body")
    lines = [b"%b %b HTTP/1.1\r\nHost: upstream\r\nX-Request-Id: %b\r\n" % (message.method, message.url, rid)]
    if key is not None:
        lines.append(b"Idempotency-Key: %b\r\n" % key)
    if b"content-type" in headers:
        lines.append(b"Content-Type: %b\r\n" % headers[b"content-type"])
    return b"".join(lines)


class ClientConnection(asyncio.Protocol):
    """One connection of a client: requests are taken one at a time, in order."""

    def __init__(self, server: ClientListener) -> None:
        self._server, self._core = server, server.core
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._message: _Message | None = None  # being read
        self._queue: deque[_Message | int] = deque()  # to be taken, or the status of a bad one
        self._taken: _Message | None = None  # the last one taken
        self._open: str | None = None  # id of the request that is owed an answer
        self._busy = False  # a request is owed an answer
        self._source: Source | None = None  # where the answer comes from that is being passed on
        self._chunked = self._framed = self._stays = False  # it goes out in chunks; its end shows; we stay
        self._ending = False
        self._pumping = False
        self._crowded = self._slowed = False  # what must not be read yet: requests behind others, a body
        self._choked = self._draining = False  # by the budget; its answer is whole and not all read yet
        self._held_in = server.core.budget.open_account("requests")
        self._held_out = server.core.budget.open_account("answers")
        self._kept = 0  # of the request that is owed its answer
        self._paused_at: float | None = None  # since when we do not read
        self._blocked_at: float | None = None  # since when the client does not read its answers
        self._head = 0  # bytes of the head being read
        self._resuming = False  # the parser is told again what it has been told
        self.served = 0  # answers given
        self.since = 0.0  # when the connection was opened, became idle, or a later message on it began
        self.heard_at = 0.0  # when bytes last came

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that what is held for it is known to the byte
        self.since = self.heard_at = self._server.now()
        self._server.connections.add(self)
        self._server.use.opened()

    def data_received(self, data: bytes) -> None:
        self.heard_at = self._server.now()
        if not self._ending:
            self._parse(data)
            self._pump()
            self._held_in.set(self._inbound())

    def _inbound(self) -> int:
        """Bytes of requests that are here: being read, waiting, or owed their answer."""
        size = self._kept
        if self._message is None and not self._queue:
            return size
        for item in (self._message, *self._queue):
            if isinstance(item, _Message):
                size += item.head + (0 if item.upload is not None else item.size)
        return size

    def _parse(self, data: bytes) -> None:
        in_body = self._message is not None and self._message.headed_at
        self._head += 0 if in_body else len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            self._parse_on(data[upgrade.args[0] :])
        except httptools.HttpParserError:
            self._spoil(400)
        if self._head > LONGEST_HEAD:
            self._spoil(400)  # guards the memory: a head without an end

    def _parse_on(self, rest: bytes) -> None:
        """Go on behind a request that offers another protocol, where the parser stops: we speak only this."""
        self._parser = httptools.HttpRequestParser(self)
        if self._ending:
            return
        message = self._message
        if message is not None:  # its body is yet to come
            framing = (
                b"Transfer-Encoding: chunked"
                if message.length is None
                else b"Content-Length: %d" % message.length
            )
            self._resuming = True
            self._parser.feed_data(b"POST / HTTP/1.1\r\n%b\r\n\r\n" % framing)
            self._resuming = False
        if rest:
            self._parse(rest)

    def pause_writing(self) -> None:
        # Guards the memory: no further request is taken, no more of an answer read, until it has read this.
        self._blocked_at = self._server.now()
        self._hold_source()

    def resume_writing(self) -> None:
        self._blocked_at = None
        self._held_out.set(self.transport.get_write_buffer_size())
        if self._draining:
            self._draining = False
            self._held_out.finish()
        self._hold_source()
        self._pump()

    def _choke(self, stopped: bool) -> None:
        """The budget's word on the answer that is being passed on."""
        self._choked = stopped
        self._hold_source()

    def _hold_source(self) -> None:
        if self._source is not None:
            self._source.pause(self._blocked_at is not None or self._choked)

    def _evict(self) -> None:
        """Others need the room that this connection holds and does nothing with."""
        self._core.stats.cut_short("no_room")
        self.transport.abort()

    def eof_received(self) -> None:
        """The client has gone away: nothing more is begun for it, and what waits is dropped.

        The transport closes itself once it has written what is left. A long answer is not waited for: who
        takes none of it would keep it here.
        """
        self._ending = True
        self._queue.clear()
        if self._source is not None:
            self.transport.abort()
        else:
            self._leave()

    def has_disconnected(self) -> bool:
        """Whether the client has left while we do not read, where its end is not told."""
        if self._paused_at is None or self.transport.is_closing():
            return self.transport.is_closing()
        look = select.poll()
        look.register(self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        left = bool(look.poll(0))
        if left:
            self.transport.abort()
        return left

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.closed(self)
        self._held_in.end()
        self._held_out.end()
        self._ending = True
        self._queue.clear()
        self._source = None
        self._leave()

    def _leave(self) -> None:
        """Nothing is owed any more."""
        rid, self._open = self._open, None
        if rid is not None:
            self._core.client_disconnected(rid)

    # httptools

    def on_message_begin(self) -> None:
        if self._resuming:
            return
        self._message = _Message()
        if self.served and not self._busy:
            self.since = self._server.now()

    def on_url(self, url: bytes) -> None:
        if not self._resuming:
            self._message.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        message = self._message
        if self._resuming or self._ending:
            return
        name = name.lower()
        message.head += len(name) + len(value)
        if message.head > LONGEST_HEAD:
            self._spoil(400)
        elif name in WANTED and not message.headed_at:  # what comes in a trailer is not gone by
            message.twice |= name in message.headers
            message.headers[name] = value.strip(b" \t")  # white space around a value is no part of it

    def on_headers_complete(self) -> None:
        message = self._message
        if self._resuming or self._ending:
            return
        message.headed_at = self._server.now()
        message.url = ABSOLUTE.sub(b"", message.url, 1)
        message.method = self._parser.get_method()
        message.version = self._parser.get_http_version()
        message.keep_alive = self._parser.should_keep_alive()
        length = message.headers.get(b"content-length", b"0")
        message.length = None if b"transfer-encoding" in message.headers else int(length)
        self._head = 0
        status = self._judge(message)
        if status:
            self._reject(status)
        elif (message.length or 0) > LONGEST_BODY:
            self._upload(message)
        else:
            message.expects = message.headers.get(b"expect", b"").lower() == b"100-continue"
            self._invite()

    def _judge(self, message: _Message) -> int:
        """The status that a request is turned away with at its head; 0 if it may come in."""
        path = message.url.partition(b"?")[0]
        if path == b"/ready" and message.method == b"GET" and message.length == 0:
            return 0
        if not path.startswith(b"/api/"):
            return 404
        if (message.length or 0) > self._server.longest_upload:
            return 413
        try:
            message.order = order(message, self._server.names)
        except BadRequestError:
            return 400
        if (message.length or 0) <= LONGEST_BODY and not self._core.budget.admits(message.length or 0):
            return self._refused(message)
        return 0

    def _refused(self, message: _Message) -> int:
        """There is no room for what would come: refused at once, before a byte of it goes on."""
        self._core.budget.refused += 1
        self._core.stats.ended(message.order.cls.name, 503)
        return 503

    def _invite(self) -> None:
        """Ask for a body that waits for our word, once all before it is answered."""
        message = self._message
        if (
            message is not None
            and message.expects
            and message.upload is None
            and not self._busy
            and not self._queue
        ):
            message.expects = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _upload(self, message: _Message) -> None:
        """Its body is too long to keep: take the request now, pass the body on as it comes."""
        if not self._core.budget.admits_long():
            self._reject(self._refused(message))
            return
        message.upload = Upload(
            message.length, self._slow, self._core.budget.open_account("uploads"), self._evict
        )
        message.expects = message.headers.get(b"expect", b"").lower() == b"100-continue" and not message.size
        limit_socket_buffer(self.transport, socket.SO_RCVBUF)
        if message.body:
            self._core.stats.passed_up += message.size
            message.upload.feed(b"".join(message.body))
            message.body.clear()
        self._queue.append(message)

    def on_body(self, data: bytes) -> None:
        message = self._message
        if self._ending:
            return
        message.size += len(data)
        if message.size > self._server.longest_upload:
            self._spoil(413)
        elif message.method == b"GET":
            self._spoil(400)
        elif message.upload is not None:
            self._core.stats.passed_up += len(data)
            message.upload.feed(data)
        else:
            message.body.append(data)
            if message.size > LONGEST_BODY:
                self._upload(message)

    def on_message_complete(self) -> None:
        message = self._message
        if self._ending:
            self._message = None
            return
        if self._parser.should_upgrade() and message.length != 0:
            return  # the parser leaves the body out: see `_parse_on`
        self._message = None
        self._head = 0
        message.whole = True
        if message.upload is not None:
            message.upload.finish()
            if message is self._taken and not self._busy:
                self._end()  # its answer went out before its end
        else:
            self._queue.append(message)

    # Requests and answers

    def _reject(self, status: int) -> None:
        """Answer what cannot be taken, after all that came before it, and read no more of it."""
        if not self._ending:
            self._ending = True
            self._queue.append(status)

    def _spoil(self, status: int) -> None:
        """What is being read turns out bad: if it is taken already, its request ends here."""
        message = self._message
        if self._ending:
            return
        if message is None or message.upload is None:
            self._reject(status)
        elif message is not self._taken:
            self._queue.remove(message)
            self._reject(status)
        elif self._busy and self._source is None:
            self._leave()
            self._ending = True
            self._answer_and_close(status)
        else:
            self.transport.abort()

    def _slow(self, held: bool) -> None:
        """The host's side of a body: hold its client back, or let it go on."""
        if held != self._slowed:
            self._slowed = held
            self._read_on()

    def _read_on(self) -> None:
        """Read while nothing waits behind others and the host takes what is read."""
        pause = self._crowded or self._slowed
        if pause == (self._paused_at is not None) or self.transport.is_closing():
            return
        now = self._server.now()
        if pause:
            self._paused_at = now
            self.transport.pause_reading()
            return
        if self._message is not None:
            self._message.held_s += now - self._paused_at
        self._paused_at = None
        self.transport.resume_reading()

    def _pump(self) -> None:
        """Take what waits, one request at a time; read on only while nothing waits."""
        if self._pumping or self.transport is None:
            return
        self._pumping = True
        try:
            while self._queue and not self._busy and self._blocked_at is None and self._settled():
                self._take(self._queue.popleft())
        finally:
            self._pumping = False
        self._crowded = bool(self._queue) and self._inbound() > AHEAD
        self._read_on()
        self._invite()

    def _settled(self) -> bool:
        """Whether the last request's body is all read."""
        return self._taken is None or self._taken.whole

    def _take(self, item: _Message | int) -> None:
        self._busy = True
        if isinstance(item, int):
            self._answer_and_close(item)
            return
        self._taken = item
        if item.order is None:
            self._answer_and_close(200 if self._core.ready() else 503)
            return
        wanted = item.order
        wanted.upload = item.upload
        if item.upload is None:
            wanted.body, item.body = b"".join(item.body), []
        wanted.head += _framing(item)
        self._kept = len(wanted.head) + len(wanted.body)
        rid = self._core.request(self, wanted)
        if self._busy:  # else it is answered already
            self._open = rid
            if item.expects:
                item.expects = False
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _answer_and_close(self, status: int) -> None:
        """Answer what is not a client's request, and leave whoever sent it no place."""
        self._ending = True
        self.answer(status, retry_after_ms=FULL_RETRY_MS if status == 503 else 0.0)

    def _keeps(self) -> bool:
        """Whether the connection goes on behind the answer that is due."""
        if self._taken is None or not (self._taken.keep_alive and self._taken.whole):
            return False
        return bool(self._queue) or not (self._ending or self._core.draining or self._server.crowded())

    def _answered(self) -> None:
        self._open, self._busy, self._source, self._kept = None, False, None, 0
        self._held_in.set(self._inbound())
        self.served += 1
        self.since = self._server.now()
        if self._taken is not None and self._taken.upload is not None:
            self._taken.upload.detach()

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """The one answer to the request that is open."""
        self._answered()
        if self.transport.is_closing():
            return
        keep = self._keeps()
        parts = [LINES[status], b"Content-Length: %d\r\n" % len(body)]
        if content_type:
            parts.append(b"Content-Type: %b\r\n" % content_type)
        if retry_after_ms > 0:
            parts.append(b"Retry-After: %.3f\r\n" % (retry_after_ms / 1000))
        parts.append(b"\r\n" if keep else b"Connection: close\r\n\r\n")
        parts.append(body)
        self._write(b"".join(parts))
        if not keep:
            self._end()
        self._pump()

    # A long answer, as it comes

    def begin(self, length: int | None, content_type: bytes, source: Source) -> None:
        """Begin to pass on a long answer to the request that is open."""
        self._source = source
        self._chunked = length is None and self._taken.version == "1.1"
        self._framed = self._chunked or length is not None
        self._stays = self._framed and self._keeps()
        parts = [LINES[200]]
        if length is not None:
            parts.append(b"Content-Length: %d\r\n" % length)
        elif self._chunked:
            parts.append(b"Transfer-Encoding: chunked\r\n")
        if content_type:
            parts.append(b"Content-Type: %b\r\n" % content_type)
        parts.append(b"\r\n" if self._stays else b"Connection: close\r\n\r\n")
        limit_socket_buffer(self.transport, socket.SO_SNDBUF)
        self._held_out.begin(self._choke, self._evict)
        self._write(b"".join(parts))
        self._hold_source()

    def more(self, data: bytes) -> None:
        """Pass on a part of it."""
        self._core.stats.passed_down += len(data)
        self._write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def finish(self) -> None:
        """It is whole."""
        # Danger: its link is free by now, and may be another's: what is left to write must not hold that
        # back.
        self._source = None
        if self._chunked:
            self._write(b"0\r\n\r\n")
        self._draining = self._blocked_at is not None
        if not self._draining:
            self._held_out.finish()
        self._answered()
        if not self._stays:
            self._end()
        self._pump()

    def cut(self) -> None:
        """It will not become whole: end the connection where its framing, or a reset, tells the client."""
        self._answered()
        self._ending = True
        (self.transport.close if self._framed else self.transport.abort)()

    def _write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)
            self._held_out.set(self.transport.get_write_buffer_size())

    def _end(self) -> None:
        """End our sending after the last answer; the client's end, or a while, ends the rest.

        Danger: a close over unread bytes resets the connection, and what is on its way with it. So what the
        client still sends is read.
        """
        message = self._message
        if self.transport.is_closing():
            return
        if self._ending or message is None or message.upload is None or message is not self._taken:
            self._ending = True
            self._queue.clear()
            self.transport.write_eof()
            self._server.loop.call_later(LINGER_S, self.transport.close)
        else:  # the rest of its body is read and dropped, for a while: see `on_message_complete`
            self._server.loop.call_later(DRAIN_S, self._cut_rest, message)

    def _cut_rest(self, message: _Message) -> None:
        if self._message is message and not self.transport.is_closing():
            self._core.stats.cut_short("answered")
            self.transport.abort()

    def state(self) -> str:
        """For the log: what this connection is at."""
        if self._busy:
            return "open"
        if self._ending:
            return "ending"
        return "reading" if self._message is not None else "idle" if self.served else "silent"

    def check(self, now: float) -> None:
        """Close if the client has been idle, or slow to send its request or read its answer, for too long."""
        message = self._message
        if self._blocked_at is not None and now - self._blocked_at > READ_S:
            self.transport.abort()  # guards the descriptors: it does not read its answer
        elif self._ending:
            if not self._busy and now - self.since > IDLE_S:
                self.transport.abort()
        elif message is not None:
            if (
                self._paused_at is None
                and now > self._due(message)
                and (not self._busy or message is self._taken)
            ):
                self._late(message)
        elif not self._busy and now - self.since > (IDLE_S if self.served else HEAD_S) and not self.unread():
            self.transport.abort()  # what it has not read by now it will not read

    def _due(self, message: _Message) -> float:
        """When what has come of a message is too little: a fixed time for its head, a rate for its body."""
        if not message.headed_at:
            return self.since + HEAD_S
        start = max(self.since + HEAD_S, message.headed_at + BODY_S)
        return start + message.size / BODY_RATE + message.held_s

    def _late(self, message: _Message) -> None:
        if self.unread():
            return  # it is we who are late
        if message.headed_at:
            self._spoil(408)
        else:
            self._reject(408)
        self._pump()

    def idle(self) -> bool:
        """Whether no request is owed its answer or is being read."""
        return not self._busy and self._message is None and not self._queue

    def spare(self, now: float) -> bool:
        """Whether another client has a better claim to this place: nobody waits for anything here."""
        if self._busy or self.transport.is_closing():
            return False
        waits = now - self.since >= SPARE_S and self.idle() if self.served else now - self.heard_at >= STALE_S
        return waits and not self.unread()

    def unread(self) -> bool:
        """Whether bytes have come that we have not read: a close now would reset the connection."""
        if self.transport.is_closing():
            return False  # its descriptor may be gone
        count = array.array("i", [0])
        fcntl.ioctl(self.transport.get_extra_info("socket").fileno(), termios.FIONREAD, count)
        return count[0] > 0

    def close_if_idle(self) -> None:
        """Close unless a request is owed its answer, is being read or waits to be read; one that ends already
        is left to that."""
        if self.idle() and not self._ending and not self.unread():
            self.transport.close()


class ClientListener:
    """Accepts clients while there is room for them."""

    def __init__(self, core: Core, loop: asyncio.AbstractEventLoop, sockets: int) -> None:
        self.core, self.loop = core, loop
        self.names = ClassAndPlanNames(core.settings)
        self.connections: set[ClientConnection] = set()
        self.use = core.stats.descriptors.uses["clients"]
        self.longest_upload = core.longest_upload
        self._sockets = sockets
        self._socket: socket.socket | None = None
        self._open = self._accepting = False
        self._pending: set[asyncio.Task] = set()
        self._told_at = -TELL_S

    def retune(self, names: ClassAndPlanNames) -> None:
        """Take the classes and plans of new settings; a dropped class is still taken for a while."""
        late = ClassAndPlanNames(api.Settings(()))
        late.classes = {**self.names.classes, **names.classes}
        late.plans = names.plans
        self.names = late
        self.loop.call_later(DROPPED_S, self._drop, late, names)

    def resize(self, sockets: int, longest_upload: int) -> None:
        """Go by other limits: who is here stays, room is made or found as it comes."""
        self._sockets, self.longest_upload = sockets, longest_upload
        self._resume()

    def _drop(self, late: ClassAndPlanNames, names: ClassAndPlanNames) -> None:
        if self.names is late:  # else they were changed again
            self.names = names

    def now(self) -> float:
        """The loop's time."""
        return self.loop.time()

    def start(self, address: tuple[str, int], fd: int | None = None) -> tuple[str, int]:
        """Listen, on the socket that the platform holds where there is one; nothing is accepted yet.

        Returns the address, with the port that the system chose for 0.
        """
        if fd is not None:
            self._socket = socket.socket(fileno=fd)
        else:
            family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
            self._socket = socket.socket(family, socket.SOCK_STREAM)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.bind(address)
        self._socket.setblocking(False)
        if not self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            self._socket.listen(BACKLOG)
        self.loop.call_later(SWEEP_S, self._sweep)
        return self._socket.getsockname()[:2]

    def accept(self) -> None:
        """Begin to accept."""
        self._open = True
        self._resume()

    def stop_accepting(self, succeeded: bool = False) -> None:
        """Leave the listening socket: what has come to it is accepted first, or left to a next process.

        It is closed here, never shut down: where the platform holds it, others go on with it.
        """
        if self._accepting and not succeeded:
            self._accept()
        self._pause()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def close_idle(self) -> bool:
        """Close the connections that carry nothing; True once none is left."""
        for connection in list(self.connections):
            connection.close_if_idle()
        return not self.connections and not self._pending

    def closed(self, connection: ClientConnection) -> None:
        """A connection is gone; there is room for another."""
        self.connections.discard(connection)
        self.use.closed()
        self._resume()

    def _resume(self) -> None:
        if self._open and self._socket is not None and not self._accepting and self._room():
            self._accepting = True
            self.loop.add_reader(self._socket, self._accept)

    def _pause(self) -> None:
        if self._accepting:
            self._accepting = False
            self.loop.remove_reader(self._socket)

    def _most(self) -> int:
        return int(CLIENT_SHARE * self._sockets) // (2 if self.core.shared else 1)

    def _room(self) -> bool:
        return len(self.connections) + len(self._pending) < self._most()

    def crowded(self) -> bool:
        """Whether places are short: then one that a client might use again is worth less than a free one."""
        return len(self.connections) > CROWDED * self._most()

    def _accept(self) -> None:
        # Guards the descriptors: beyond the bound clients wait in the backlog, and a failing accept is
        # tried again later. Neither may end the listener.
        while self._room():
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.warning(
                    Event(
                        "accept_failed",
                        "accept failed: {error}",
                        error=str(errno.errorcode.get(error.errno, error)),
                    )
                )
                self._pause()
                self.loop.call_later(ACCEPT_PAUSE_S, self._resume)
                return
            accepted.setblocking(False)
            task = self.loop.create_task(
                self.loop.connect_accepted_socket(lambda: ClientConnection(self), accepted)
            )
            self._pending.add(task)
            task.add_done_callback(self._accepted)
        self._pause()
        self._make_room()

    def _make_room(self) -> None:
        """Close the connection that is missed least; its end lets the next client in.

        Guards against clients that leave their connections open and come on new ones, and against peers that
        bring no request, or half of one: connections that nobody uses would hold all the places.
        """
        now = self.now()
        spare = min(
            (c for c in self.connections if c.spare(now)),
            key=lambda c: (not c.served, c.heard_at),
            default=None,
        )
        if spare is not None:
            spare.transport.abort()
        else:
            self._tell_full()

    def _tell_full(self) -> None:
        """Say, now and then, what the connections are at that leave no room for another."""
        if self.now() - self._told_at < TELL_S:
            return
        self._told_at = self.now()
        states = Counter(connection.state() for connection in self.connections)
        log.warning(
            Event(
                "clients_full",
                "no room for more clients: {text}",
                **states,
                text=", ".join(f"{n} {state}" for state, n in states.items()),
            )
        )

    def _accepted(self, task: asyncio.Task) -> None:
        # Until here the connection counted twice, which may have paused the listener with room left.
        self._pending.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.warning(
                Event(
                    "client_gone",
                    "a client was gone before it was taken: {error}",
                    error=str(task.exception()),
                )
            )
        self._resume()

    def _sweep(self) -> None:
        now = self.now()
        for connection in list(self.connections):
            connection.check(now)
        self.core.budget.check()
        if not self._room():
            self._make_room()
        self.loop.call_later(SWEEP_S, self._sweep)
