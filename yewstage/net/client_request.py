"""Requests of clients: what is received of one, and its validation against the settings in force."""

from __future__ import annotations

import re
from functools import lru_cache

from yewstage import interface as api
from yewstage.net.core import ClientRequest
from yewstage.net.upload import Upload

PARSED_HEADERS = frozenset(
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
TOKEN_PATTERN = re.compile(rb"[!-~]{1,128}")
ABSOLUTE_FORM_PREFIX = re.compile(rb"(?i)^http://[^/?#]*(?=/)")  # of a request target in absolute-form
CUSTOMER_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
DEADLINE_PATTERN = re.compile(rb"([0-9]{1,12}(?:\.[0-9]{1,6})?)([mu])")
UNITS_PATTERN = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
INTEGER_PATTERN = re.compile(r"[0-9]{1,6}")


class BadRequestError(ValueError):
    """A request violates the protocol and is answered 400; the message names the field."""


class RequestMessage:
    """One request while it is parsed and until its answer is complete."""

    __slots__ = (
        "url",
        "headers",
        "body",
        "body_bytes",
        "reserved_bytes",
        "method",
        "keep_alive",
        "has_duplicate_header",
        "head_bytes",
        "client_request",
        "content_length",
        "upload",
        "head_complete_at_s",
        "paused_s",
        "is_complete",
        "awaits_continue",
        "http_version",
        "arrived_at_s",
    )

    def __init__(self) -> None:
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()  # of a streamed body what is not forwarded yet
        self.body_bytes = 0  # received so far
        self.reserved_bytes = 0  # of memory for its body, until it is streamed
        self.method = b""
        self.http_version = "1.1"
        self.keep_alive = True
        self.head_bytes = 0  # sum of the lengths of header names and values
        self.has_duplicate_header = False  # one of PARSED_HEADERS occurs more than once
        self.content_length: int | None = 0  # None: chunked transfer coding
        self.client_request: ClientRequest | None = None  # None: a readiness check
        self.upload: Upload | None = None  # set for a body that is too long to buffer
        self.head_complete_at_s = 0.0  # 0: the head is incomplete
        self.paused_s = 0.0  # total time for which reading was paused during the body
        self.is_complete = False
        self.awaits_continue = False  # "Expect: 100-continue" is unanswered
        # When its last byte (of an upload, its head) arrived at this machine; of the monotonic clock.
        self.arrived_at_s = 0.0

    def forget(self) -> None:
        """Release what is not needed once the request is answered or rejected."""
        self.url, self.headers, self.body, self.client_request = b"", {}, bytearray(), None
        self.head_bytes = self.reserved_bytes = 0

    def add_header(self, name: bytes, value: bytes) -> None:
        """Note a header field by its name in lower case; the fields of a trailer are ignored."""
        self.head_bytes += len(name) + len(value)
        if name in PARSED_HEADERS and not self.head_complete_at_s:
            self.has_duplicate_header |= name in self.headers
            self.headers[name] = value.strip(b" \t")  # optional white space (RFC 9112, 5.1)

    def set_request_line(self, method: bytes, http_version: str) -> None:
        """Note the end of the head: the request's method and version, and how its body is framed."""
        self.method, self.http_version = method, http_version
        self.url = ABSOLUTE_FORM_PREFIX.sub(b"", self.url, 1)
        length = self.headers.get(b"content-length", b"0")
        self.content_length = None if b"transfer-encoding" in self.headers else int(length)


class ClassAndPlanNames:
    """Classes and plans that a request may name, keyed by the bytes of the header value."""

    def __init__(self, settings: api.Settings) -> None:
        self.classes = {c.name.encode(): c for c in settings.classes}
        self.plans = {p.name.encode(): p.name for p in settings.plans}


def parse_client_request(message: RequestMessage, names: ClassAndPlanNames) -> ClientRequest:
    """Build the ClientRequest for a target below `/api/`; raises BadRequestError for an invalid one."""
    headers = message.headers
    if message.has_duplicate_header:
        raise BadRequestError("duplicate header")
    path, _, _ = message.url.partition(b"?")
    customer = path.rpartition(b"/")[2]
    if not CUSTOMER_PATTERN.fullmatch(customer) or int(customer, 16) >= 2**33:
        raise BadRequestError("customer")
    cls = names.classes.get(headers.get(b"x-class", b""))
    plan = names.plans.get(headers.get(b"plan", b""))
    if cls is None or plan is None:
        raise BadRequestError("class or plan")
    deadline = DEADLINE_PATTERN.fullmatch(headers.get(b"x-deadline", b""))
    if deadline is None:
        raise BadRequestError("X-Deadline")
    time_left_ms = float(deadline[1]) / (1 if deadline[2] == b"m" else 1000)
    units, gateway_count, first_gateway = _parse_quota_info(headers.get(b"quota-info", b""))
    return ClientRequest(
        headers.get(b"x-request-id", b"").decode("latin-1"),
        cls,
        plan,
        customer.decode().lower(),
        time_left_ms,
        units,
        gateway_count,
        first_gateway,
        headers.get(b"x-retry") == b"1",
        _upstream_head(message, cls),
        b"",
        key=headers.get(b"idempotency-key", b""),
    )


def framing_header(message: RequestMessage) -> bytes:
    """Return the header line that frames the body towards the server."""
    if message.upload is not None and message.content_length is None:
        return b"Transfer-Encoding: chunked\r\n"
    if message.method == b"POST":
        return b"Content-Length: %d\r\n" % (
            message.body_bytes if message.upload is None else message.content_length
        )
    return b""


@lru_cache(maxsize=1024)  # traffic repeats few distinct values
def _parse_quota_info(value: bytes) -> tuple[float, int, int]:
    """Parse `units=2,spread=3,first=1`; raises BadRequestError."""
    fields = dict(part.strip().partition("=")[::2] for part in value.decode("latin-1").split(","))
    units, spread, first = (fields.get(name, "") for name in ("units", "spread", "first"))
    if not (
        UNITS_PATTERN.fullmatch(units)
        and INTEGER_PATTERN.fullmatch(spread)
        and INTEGER_PATTERN.fullmatch(first)
    ):
        raise BadRequestError("Quota-Info")
    if float(units) <= 0 or int(spread) < 1:
        raise BadRequestError("Quota-Info")
    return float(units), int(spread), int(first)


def _upstream_head(message: RequestMessage, cls: api.RequestClass) -> bytes:
    """Build the head sent to the server, without the body's framing.

    Method, target, request id and idempotency key are passed on unchanged. Raises BadRequestError.
    """
    headers, key = message.headers, message.headers.get(b"idempotency-key")
    request_id = headers.get(b"x-request-id", b"")
    if not TOKEN_PATTERN.fullmatch(request_id) or (key is not None and not TOKEN_PATTERN.fullmatch(key)):
        raise BadRequestError("X-Request-Id or Idempotency-Key")
    # A request that is not safe to repeat must not use GET, which intermediaries may repeat.
    if message.method != (b"GET" if cls.effect == "safe" else b"POST"):
        raise BadRequestError("method")
    if (cls.effect == "keyed" and key is None) or (cls.effect == "safe" and message.content_length):
        raise BadRequestError("Idempotency-Key or body")
    lines = [
        b"%b %b HTTP/1.1\r\nHost: upstream\r\nX-Request-Id: %b\r\n"
        % (message.method, message.url, request_id)
    ]
    if key is not None:
        lines.append(b"Idempotency-Key: %b\r\n" % key)
    if b"content-type" in headers:
        lines.append(b"Content-Type: %b\r\n" % headers[b"content-type"])
    return b"".join(lines)
