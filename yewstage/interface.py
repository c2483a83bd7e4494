"""Settings, events and actions of the decision module (yewstage/policy.py); it holds data only.

Times and durations are in milliseconds on the caller's clock, amounts of use in quota units.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

# Results of an attempt. Those of NEVER_RAN prove that the server did not run the request.
OK, ERROR, FULL, TIMED_OUT = "ok", "error", "full", "timed_out"
CONNECT_FAILED, RESET, CANCELLED, START_EXPIRED = "connect_failed", "reset", "cancelled", "moot"
NEVER_RAN = frozenset((FULL, CONNECT_FAILED, START_EXPIRED))


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: its worth, its latency objective and whether an attempt may be repeated."""

    name: str
    objective_ms: float  # an answer later than this is worth only late_worth
    deadline_ms: float  # how long a client waits, its retries included
    worth: float = 1.0
    late_worth: float = 0.0
    effect: str = "safe"  # safe: may be repeated; keyed: within key_scope and window_ms; unsafe: never
    key_scope: str = "all"  # servers that share remembered keys: all, those of one zone, or of one cell
    window_ms: float = 0.0  # how long servers remember an idempotency key


@dataclass(slots=True, frozen=True)
class Plan:
    """A plan: quota, ceiling and worth of its requests. Quota and ceiling are token buckets per customer."""

    name: str
    rate: float = 0.0  # quota, units per second; 0: no quota
    burst: float = 0.0
    worth: float = 1.0
    over_worth: float = 0.0  # worth and cost of a request over quota
    over_cost: float = 0.0
    ceiling_rate: float = 0.0  # hard limit, units per second; 0: no ceiling
    ceiling_burst: float = 0.0
    parallel: int = 0  # limit on concurrent requests; 0: no limit
    uses_quota_shares: bool = False  # quota is spent only from shares, each granted to one gateway
    floor: float = 0.0  # units that a gateway may spend once when nothing answers its share request
    floor_ms: float = 0.0  # how long it may spend them


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a gateway, at its start or by `Retuned`."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...] = ()
    gateway_index: int = 0
    fleet_size: int = 1
    try_limit: int = 1  # attempts per request
    second_copies: bool = False  # an attempt may start while another is open
    cancel: bool = False  # open attempts may be cancelled
    retry_after: bool = False  # refusals may tell the client when to retry
    marks_retry: bool = False  # clients mark their retries, so an unmarked request is a first try
    max_retry_after_ms: float = 0.0
    server_list_on_request: bool = False  # changes to the list of servers come only after Subscribe
    counter_enabled: bool = False  # a counter shared by all gateways can be called
    count_wait_ms: float = 50.0  # time-out of a counter call
    tick_ms: float = 1.0  # resolution of timers
    cold_from: float = 1.0  # part of its capacity that a server has at its start
    cold_ms: float = 0.0  # how long a server takes to reach its full capacity
    fall_multiple: float = 1.0  # a cold server fails at this multiple of its capacity at the time ...
    tip_after_ms: float = 0.0  # ... when that lasts for so long
    handshake: float = 0.0  # cost of a new connection, in first attempts
    idle_ms: float = 15000.0  # servers close connections that are idle for so long
    max_customers: int = 1_000_000  # whose use of their quota is kept; bounds the memory for it
    uses_claim_record: bool = False  # keyed requests are claimed on a shared record before they are sent

    def check(self) -> None:
        """Raises ValueError for invalid settings; the message starts with the field's name."""
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if self.fleet_size < 1:
            raise ValueError("fleet_size: must be 1 or more")
        if not 0 <= self.gateway_index < self.fleet_size:
            raise ValueError("me: must lie in 0 .. fleet_size - 1")
        for c in self.classes:
            if c.objective_ms <= 0 or c.deadline_ms <= 0:
                raise ValueError(f"classes[{c.name}].aim_ms, deadline_ms: must be above 0")
            if c.effect not in ("safe", "keyed", "unsafe"):
                raise ValueError(f"classes[{c.name}].effect: {c.effect!r} is not safe, keyed or unsafe")
            if c.key_scope not in ("all", "zone", "cell"):
                raise ValueError(f"classes[{c.name}].key_scope: {c.key_scope!r} is not all, zone or cell")
        for p in self.plans:
            for name in ("rate", "burst", "ceiling_rate", "ceiling_burst", "parallel"):
                if getattr(p, name) < 0:
                    raise ValueError(f"plans[{p.name}].{name}: must not be negative")
        for name in (
            "cold_ms",
            "fall_multiple",
            "tip_after_ms",
            "tick_ms",
            "try_limit",
            "handshake",
            "idle_ms",
        ):
            if getattr(self, name) < 0:
                raise ValueError(f"{name}: must not be negative")


@dataclass(slots=True, frozen=True)
class Server:
    """One entry of the list of servers."""

    name: str
    zone: str = ""
    cell: int = 0
    status: str = "up"  # up, draining, removed
    nominal_capacity: float = 1.0
    up_since_ms: float = 0.0  # start of the server's process; 0: long ago or not known


# Events


@dataclass(slots=True, frozen=True)
class ServerList:
    """An update of the list of servers.

    kind: 'full' (all servers), 'kept' (all, from a stored copy), 'changes' (some) or 'failed' (none).
    """

    kind: str
    servers: tuple[Server, ...] = ()


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request. It gets exactly one final answer unless the client leaves."""

    id: str
    class_name: str
    plan_name: str
    customer: str
    time_left_ms: float
    units: float = 1.0
    gateway_count: int = 1  # gateways that receive this customer's requests
    first_gateway: int = 0  # index of the first of them
    is_retry: bool = False
    body_is_buffered: bool = True  # else it is passed on once, as it arrives; see `Uploaded`
    cls: RequestClass | None = None  # the class as of the request's arrival; None: the current one


@dataclass(slots=True, frozen=True)
class Outcome:
    """The end of one attempt; `final` is set if the request has had its answer."""

    request: str
    attempt: int
    server: str
    result: str
    took_ms: float
    final: bool
    billed_units: float = 0.0  # 0: not reported
    load_report: dict[str, float] = field(default_factory=dict)  # any of util, inflight, queue
    nothing_sent: bool = False  # no byte was sent, so an unbuffered body is still whole


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """A streamed answer has begun to reach the client: no other attempt can answer the request now."""

    request: str
    attempt: int
    took_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Uploaded:
    """An unbuffered body has been sent whole: the attempt's latency is measured from now on."""

    request: str


@dataclass(slots=True, frozen=True)
class ClientLeft:
    """The client has disconnected; the request needs no answer."""

    request: str


@dataclass(slots=True, frozen=True)
class TimerDue:
    """A timer started by `Timer` has expired."""

    name: str


@dataclass(slots=True, frozen=True)
class CountReply:
    """The result of one `Count`: ok, full, connect_failed or timed_out; `total` counts only with ok."""

    name: str
    result: str
    total: float
    took_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Claimed:
    """The result of one `Claim`.

    result: 'yours' (claimed), 'done' (the record has the key's answer), 'held' (another request has the key
    and its outcome is not known) or 'silent' (the record did not answer in time).
    """

    request: str
    result: str


@dataclass(slots=True, frozen=True)
class Retuned:
    """New settings for requests from now on; open requests keep those that they arrived under."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class TakenOver:
    """This process takes over from another one: the state from its `hand_over`, None if there is none."""

    state: dict[str, object] | None


@dataclass(slots=True, frozen=True)
class PredecessorGone:
    """The process that handed over has exited, so it has no open requests any more."""


# Actions


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt. A request's attempts are numbered from 0 in the order of their Sends."""

    request: str
    server: str
    timeout_ms: float
    start_deadline_ms: float = math.inf  # if not sent by then, it ends as START_EXPIRED


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: not served; the client may retry without harm."""

    request: str
    retry_after_ms: float = 0.0
    reason: str = ""  # logged and counted in the metrics


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed; a server may have run it."""

    request: str


@dataclass(slots=True, frozen=True)
class Claim:
    """Claim a keyed request's key on the shared record, for at least `window_ms`; time-out `wait_ms`."""

    request: str
    window_ms: float
    wait_ms: float


@dataclass(slots=True, frozen=True)
class Release:
    """Free the key of a claimed request that certainly did not run."""

    request: str


@dataclass(slots=True, frozen=True)
class Recall:
    """Final answer: the one that the shared record has for the request's key."""

    request: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel one attempt. Its Outcome still follows."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Timer:
    """Start a timer; `TimerDue` reports its expiry."""

    name: str
    delay_ms: float


@dataclass(slots=True, frozen=True)
class Count:
    """Add to a shared count and read its total. With a plan: request a quota share and read its units."""

    name: str
    amount: float
    ttl_ms: float
    plan: str = ""  # plan of the share
    min_units: float = 0.0  # smallest useful share


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Subscribe to changes of the list of servers."""


@dataclass(slots=True, frozen=True)
class Log:
    """A log line for operators."""

    text: str


Event = (
    ServerList
    | Request
    | Outcome
    | StreamStarted
    | Uploaded
    | ClientLeft
    | TimerDue
    | CountReply
    | Claimed
    | Retuned
    | TakenOver
    | PredecessorGone
)
Action = Send | Refuse | Fail | Claim | Release | Recall | Cancel | Timer | Count | Subscribe | Log
