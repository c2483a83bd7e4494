"""Connects the sockets to the decision module (`yewstage.policy`), which makes every choice.

`Core` owns the decision module, its clock, its timers and the open requests. It translates socket events into
events of the module, and actions of the module into socket calls; it makes no decisions of its own.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import random
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from yewstage import interface as api
from yewstage import wire
from yewstage.log import Event, JoinedList
from yewstage.net.attempts import CLIENT_UNSEEN, Attempt, AttemptRunner
from yewstage.net.config import Config
from yewstage.net.counter import Counter
from yewstage.net.discovery import NO_LISTING, ON_REQUEST_TIMEOUTS, PUSHED_TIMEOUTS, Discovery, Listing
from yewstage.net.http1 import Reply
from yewstage.net.link import Source
from yewstage.net.loop_monitor import LoopMonitor
from yewstage.net.process_memory import ProcessMemory
from yewstage.net.stats import THROTTLED_STATUSES, DescriptorUse, Stats
from yewstage.net.upload import Upload
from yewstage.policy import Gateway
from yewstage.request_ids import RequestIds

if TYPE_CHECKING:
    from yewstage.net.claim_record import ClaimRecord, KeyClaim
    from yewstage.net.holding_client import HoldingClient
    from yewstage.net.shared_ids import SharedRequestIds
    from yewstage.net.shares import Shares

log = logging.getLogger(__name__)

# Part of the descriptors that may be connections to servers: more than the third that clients may hold for
# their requests, so that long answers to all of them leave some to others.
UPSTREAM_SHARE = 0.37
REQUEST_ID_RETENTION_S = 60.0  # an id does not run again: longer than clients wait for an answer
REPEATED_ID_STATUS = 409  # failed: it does not promise that the request has no effect
TRANSIT_MS = 4.0  # allowance for the network time of a request and its answer
GUARD_MARGIN_MS = 8.0  # the deadline guard answers this long before the client's deadline
# The decision module gets a deadline this much earlier, so that it acts before the guard.
MODULE_MARGIN_MS = 20.0
DISCOVERY_WAIT_S = 1.0  # after a start, before serving with the configured list of servers


class Clock:
    """Monotonic clock of the decision module: Unix time in milliseconds, comparable between gateways."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now_ms(self) -> float:
        """Current time in milliseconds since the Unix epoch, as of the start of this process."""
        return (self._offset + time.monotonic()) * 1000


class Client(Protocol):
    """Receives the answer to one request."""

    def has_hung_up(self) -> bool:
        """Whether the client closed its connection or ended its sending, even if that is not read yet."""

    def has_disconnected(self) -> bool:
        """The same; one that has is released: nothing more is begun for it."""

    def may_have_left(self) -> bool:
        """Whether its end may lie behind bytes that are not read yet."""

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Write the final answer, whose body is complete. Called at most once."""

    def begin_stream(self, length: int | None, content_type: bytes, source: Source) -> None:
        """Start a streamed answer. `length` is that of the body in bytes, None if unknown."""

    def write_body(self, data: bytes) -> None:
        """Write a part of the streamed body."""

    def end_stream(self) -> None:
        """End the streamed answer, which is complete."""

    def abort_stream(self) -> None:
        """End the streamed answer so that the client sees that it is truncated."""


@dataclass(slots=True)
class ClientRequest:
    """A valid request of a client: the input of the decision module, and the bytes for the server."""

    client_id: str  # X-Request-Id, which identifies the request in the log
    cls: api.RequestClass  # with the settings in force when the request arrived
    plan_name: str
    customer: str
    time_left_ms: float
    units: float
    gateway_count: int  # gateways that this customer's requests may come through
    first_gateway: int  # index of the first of them
    is_retry: bool  # as marked by the client
    head: bytes  # request line and headers for the server, without X-Deadline
    body: bytes | bytearray
    upload: Upload | None = None  # a body that is streamed, as it is too long to be buffered
    key: bytes = b""  # idempotency key, which a repeat of the request carries too


class _OpenRequest:
    """A request until it is answered and its last attempt has ended."""

    __slots__ = (
        "id",
        "client",
        "client_request",
        "received_at",
        "answer_by",
        "guard_timer",
        "attempts",
        "running_attempts",
        "is_received",
        "streaming_attempt",
        "max_attempts",
        "has_left",
    )

    def __init__(
        self,
        request_id: str,
        client: Client,
        client_request: ClientRequest,
        received_at: float,
        answer_by: float,
        max_attempts: int,
    ) -> None:
        self.max_attempts = max_attempts  # by the settings in force when the request arrived
        self.id, self.client_request, self.received_at, self.answer_by = (
            request_id,
            client_request,
            received_at,
            answer_by,
        )
        self.client: Client | None = client  # None: answered, or disconnected
        self.guard_timer: asyncio.TimerHandle | None = None
        self.attempts: list[Attempt | None] = []  # None: a Send that was not carried out
        self.running_attempts = 0
        self.has_left = False  # its client did, before it had its answer
        self.is_received = False  # the last byte has arrived, so the request counts as open
        self.streaming_attempt: Attempt | None = None  # whose answer is being streamed to the client

    def may_have_run(self) -> bool:
        """Whether an attempt may have run, or may yet."""
        return any(attempt is not None and attempt.may_have_run() for attempt in self.attempts)

    def arrived_at(self) -> float | None:
        """When its last byte arrived, by the monotonic clock; None while it has not."""
        upload = self.client_request.upload
        return self.received_at if upload is None else upload.arrived_at_s


class Core:
    """Feeds socket events to the decision module and carries out its actions."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.stats = Stats(c.name for c in config.settings.classes)
        self._memory_bytes = config.memory_bytes()
        self.memory = ProcessMemory(
            self._memory_bytes,
            config.sockets,
            self.stats,
            loop.time,
            may_be_upgraded=config.listen_fd is not None,
        )
        tables = self.memory.plan.tables
        self._max_customers = tables.max_customers
        self.settings = dataclasses.replace(config.settings, max_customers=self._max_customers)
        self._loop = loop
        self._clock = Clock()
        self._gateway = Gateway(self.settings, config.seed)
        self._sockets = config.sockets
        # During an upgrade two processes have half of the descriptors each.
        self.is_sharing_descriptors = False
        self.budget = self.memory.budget
        self.max_upload_bytes = config.max_upload_bytes
        uses = self.stats.descriptors.uses
        self._attempt_runner = AttemptRunner(
            loop,
            self._max_server_connections(),
            config.dial_timeout_ms,
            config.idle_limit_ms,
            self,
            uses["servers"],
            max_links_to=self._gateway.connection_limit,
            clock_ms=self._clock.now_ms,
            rng=random.Random(config.seed),
            budget=self.budget,
        )
        self._pool = self._attempt_runner.pool
        self.memory.on_plan = lambda: self._pool.set_max_links(self._max_server_connections())
        self._discovery = Discovery(
            loop,
            config.discovery,
            self._on_list,
            config.fallback_listing.generation if config.fallback_listing.servers else None,
            config.settings.fleet_size,
            random.Random(config.seed),
            uses["discovery"],
            ON_REQUEST_TIMEOUTS if config.settings.server_list_on_request else PUSHED_TIMEOUTS,
            tables.max_servers,
        )
        self._counter = (
            Counter(loop, config.counter, config.settings.count_wait_ms, self._post, uses["counter"])
            if config.counter is not None
            else None
        )
        self._config = dataclasses.replace(config, fallback_listing=NO_LISTING)
        self._claim_record = self._create_claim_record() if config.holding else None
        self._shares: Shares | None = None  # created with the first request for a share
        self._initial_listing = config.fallback_listing
        self._requests: dict[str, _OpenRequest] = {}
        self._open_ids: dict[str, _OpenRequest] = {}  # requests with an effect by their clients' ids
        self._request_ids = RequestIds(REQUEST_ID_RETENTION_S, tables.max_request_ids)
        self._shared_ids: SharedRequestIds | None = None  # None: no other process can serve beside this one
        self._claims: dict[str, KeyClaim] = {}  # by request id; empty without a claim record
        self._unanswered = 0  # complete requests without an answer
        self._request_count = 0
        self._event_queue: deque[api.Event] = deque()
        self._is_handling = False
        self.loop_monitor = LoopMonitor(loop)
        self._started_at = 0.0
        self._discovery_answered = False  # since the start of this process
        self.extra_metrics: Callable[[], Mapping[str, float]] = dict  # metrics of other components
        # draining: SIGTERM was received. _is_ending: everything was answered, new requests are refused.
        self.is_draining = self._is_ending = False

    def _create_claim_record(self) -> ClaimRecord:
        from yewstage.net.claim_record import ClaimRecord  # imported only where it is used, to save memory

        return ClaimRecord(self._loop, self._create_holding_client("record"), self._config.name)

    def _create_holding_client(self, use: str) -> HoldingClient:
        from yewstage.net.holding_client import HoldingClient

        descriptor_use = self.stats.descriptors.uses[use] = DescriptorUse(self.stats.descriptors)
        return HoldingClient(self._config.holding, random.Random(self._config.seed), descriptor_use)

    def _acquire_share(self, action: api.Count) -> None:
        """Acquire a share of a customer's quota, which only this gateway may spend."""
        plan = next((plan for plan in self.settings.plans if plan.name == action.plan), None)
        if plan is None or not self._config.holding:  # removed by a reload, or started without a holding
            self._post(api.CountReply(action.name, api.TIMED_OUT, 0.0))
            return
        if self._shares is None:
            from yewstage.net.shares import Shares

            self._shares = Shares(self._loop, self._create_holding_client("shares"), self._config.name)
        self._shares.take(action, plan, self._post)

    # --- Lifecycle ----------------------------------------------------------------------------------------

    def start(self) -> None:
        """Apply the configured list of servers, then connect to discovery and the counter."""
        self._started_at = time.monotonic()
        initial_listing, self._initial_listing = self._initial_listing, NO_LISTING
        self._apply_list(initial_listing, "kept")
        self._pool.start()
        self._discovery.start()
        if self._counter is not None:
            self._counter.start()
        self.loop_monitor.start()

    def reconfigure(self, config: Config) -> None:
        """Apply new settings, including new addresses of discovery and the counter."""
        self.settings = dataclasses.replace(
            config.settings,
            uses_claim_record=self._claim_record is not None,
            max_customers=self._max_customers,
        )
        self.stats.add_classes(c.name for c in config.settings.classes)
        self._pool.set_timeouts(config.dial_timeout_ms, config.idle_limit_ms)
        self._sockets, self._memory_bytes = config.sockets, config.memory_bytes()
        self.max_upload_bytes = config.max_upload_bytes
        self.share_descriptors(self.is_sharing_descriptors)
        self._post(api.Retuned(self.settings))
        self._discovery.move(config.discovery)
        if self._counter is not None and config.counter is not None:
            self._counter.move(config.counter, config.settings.count_wait_ms)

    def share_descriptors(self, shared: bool) -> None:
        """Use half of the descriptors and of the memory if `shared`, else all of them."""
        self.is_sharing_descriptors = shared
        self.memory.set_limits(self._memory_bytes, self._sockets, shared)

    def plan_memory(self) -> None:
        """Divide the memory by what the process holds at rest; called once, before it serves."""
        self.memory.measure_at_rest()
        self.memory.log_plan()

    def _max_server_connections(self) -> int:
        """How many connections to servers the descriptors and the memory allow."""
        descriptors = int(UPSTREAM_SHARE * self._sockets) // (2 if self.is_sharing_descriptors else 1)
        return min(descriptors, self.memory.plan.max_server_connections)

    def share_request_ids(self, shared_ids: SharedRequestIds) -> None:
        """Use this for the request ids that the other process of an upgrade begins."""
        self._shared_ids = shared_ids

    def hand_over(self) -> dict[str, object]:
        """State of the decision module for the next process, which owns it from now on.

        This process goes on with the connections that it has, so both tell each other what they begin.
        """
        if self._shared_ids is not None:
            self._shared_ids.create()
        return {**self._gateway.hand_over(), "request_ids": [*self._request_ids.ids(), *self._open_ids]}

    def take_over(self, state: dict[str, object] | None) -> None:
        """Continue from the state of the previous process; None if it left none."""
        if self._shared_ids is not None and state is not None:
            self._shared_ids.open()
            ids = state.get("request_ids")  # an earlier version has none
            if isinstance(ids, list):
                self._request_ids.keep((i for i in ids if isinstance(i, str)), time.monotonic())
        self._post(api.TakenOver(state))

    def predecessor_exited(self) -> None:
        """Called when the previous process has exited: its descriptors and memory are free."""
        self.share_descriptors(False)
        if self._shared_ids is not None:
            self._shared_ids.close()
        self._post(api.PredecessorGone())

    def stop(self) -> None:
        """Close all connections to servers, discovery, the counter and the holding."""
        self._discovery.stop()
        self._pool.stop()
        if self._counter is not None:
            self._counter.stop()
        for component in (self._claim_record, self._shares):
            if component is not None:
                component.stop()

    def is_ready(self) -> bool:
        """Whether requests can be served: servers are known, and discovery answered or had time to."""
        if self.is_draining or not self._pool.server_names():
            return False
        return self._discovery_answered or time.monotonic() - self._started_at > DISCOVERY_WAIT_S

    def failing(self) -> dict[str, int]:
        """Consecutive failures by server, of the servers that this gateway considers failing."""
        return self._gateway.ejection_counts()

    def metrics(self) -> str:
        """Metrics in the text format of the operators' address."""
        return self.stats.text(
            self._unanswered,
            *self._gateway.rotation_counts(),
            self._pool.metrics(),
            self._body_metrics(),
            self._admission_metrics(),
            self.loop_monitor.metrics(),
            self._attempt_runner.metrics(),
            *(
                component.metrics()
                for component in (self._claim_record, self._shares)
                if component is not None
            ),
            self.extra_metrics(),
        )

    def _admission_metrics(self) -> dict[str, float]:
        """Admission control: estimated pressure on the servers, and the part of new work that is admitted."""
        return {
            "pressure": round(self._gateway.smoothed_occupancy, 4),
            "admitted_share": round(self._gateway.admit_fraction, 4),
        }

    def _body_metrics(self) -> dict[str, float]:
        budget = self.budget
        return {
            **{f'held_bytes{{use="{use}"}}': size for use, size in budget.held_bytes_by_purpose().items()},
            "held_bytes_peak": budget.peak_bytes,
            "held_bytes_limit": budget.limit_bytes,
            "memory_limit_bytes": self.memory.plan.limit_bytes,
            "memory_rest_bytes": self.memory.plan.resident_bytes,
            "sockets_peak": self.stats.descriptors.peak,
            "memory_overshoot_bytes": self.memory.overshoot_bytes,
            "streams_open": budget.stream_count(),
            "streams_stopped_total": budget.pause_count,
            "bodies_refused_total": budget.refused_count,
            'passed_bytes_total{way="up"}': self.stats.uploaded_bytes,
            'passed_bytes_total{way="down"}': self.stats.downloaded_bytes,
            **{
                f'streams_short_total{{cause="{cause}"}}': n
                for cause, n in self.stats.truncated_by_cause.items()
            },
        }

    def summary(self) -> str:
        """Summary of this process for its last line in the log."""
        return self.stats.summary(self._pool.dial_count())

    def fail_all(self) -> None:
        """Answer all open requests with 504 and refuse new ones, as the process is about to exit."""
        self._is_ending = True
        for request in list(self._requests.values()):
            self._answer_timed_out(request)

    # --- Clients ------------------------------------------------------------------------------------------

    def request(self, client: Client, client_request: ClientRequest, arrived_at: float | None = None) -> str:
        """Accept a request. Returns its id, which `client_disconnected` expects.

        `arrived_at` is when its last byte arrived, in seconds of the monotonic clock: the client's time limit
        runs from then, not from when it was read. None means now. Of a streamed body that has not arrived
        whole it is that of the head; `body_arrived` follows.
        """
        self._request_count += 1
        request_id = f"r{self._request_count}"
        now = time.monotonic()
        upload = client_request.upload
        if upload is not None and upload.arrived_at_s is not None:
            arrived_at = upload.arrived_at_s
        arrived_at = now if arrived_at is None else arrived_at
        left_ms = client_request.time_left_ms - TRANSIT_MS - (now - arrived_at) * 1000
        request = _OpenRequest(
            request_id, client, client_request, arrived_at, math.inf, self.settings.try_limit
        )
        self._requests[request_id] = request
        if client_request.cls.effect != "safe" and not self._open_id(request, now):
            self._answer(request, REPEATED_ID_STATUS, why="id runs already")
            return request_id
        if self._is_ending:  # otherwise SIGKILL could come before its answer
            retry_after_ms = self.settings.max_retry_after_ms * self.settings.retry_after
            self._answer(request, 503, retry_after_ms=retry_after_ms, why="ending")
            return request_id
        self._restart_deadline(request)
        self._post(
            api.Request(
                request_id,
                client_request.cls.name,
                client_request.plan_name,
                client_request.customer,
                left_ms - MODULE_MARGIN_MS,
                client_request.units,
                client_request.gateway_count,
                client_request.first_gateway,
                client_request.is_retry,
                upload is None,
                client_request.cls,
            )
        )
        return request_id

    def _open_id(self, request: _OpenRequest, now: float) -> bool:
        """Begin a request by its client's id; False if one may have run for a client that has left."""
        client_id = request.client_request.client_id
        earlier = self._open_ids.get(client_id)
        if earlier is not None and self._runs_without_client(earlier):
            return False
        if not self._request_ids.may_begin(client_id, now):
            return False
        self._open_ids[client_id] = request
        return True

    def _may_send(self, request: _OpenRequest) -> bool:
        """Whether no other process of an upgrade has sent a request with this id; else this one is answered.

        Only what is sent is shared, so that a refused request may come again at the other process.
        """
        if self._shared_ids is None or request.client_request.cls.effect == "safe":
            return True
        if any(attempt is not None for attempt in request.attempts):
            return True  # it was asked before the first attempt
        if self._shared_ids.claim(request.client_request.client_id):
            return True
        self._answer(request, REPEATED_ID_STATUS, why="id runs already")
        return False

    def _runs_without_client(self, request: _OpenRequest) -> bool:
        """Whether a request may run whose client has left, or may have left."""
        client = request.client
        if client is not None and client.has_disconnected():
            self.client_disconnected(request.id, "client left, seen as it came again")
        has_left = request.has_left if request.client is None else client.may_have_left()
        return has_left and request.may_have_run()

    def count_unseen_client(self) -> None:
        """Count an attempt whose last byte is withheld, as its client's end may lie unread."""
        self._attempt_runner.withheld_counts[CLIENT_UNSEEN] += 1

    def body_arrived(self, request_id: str) -> None:
        """Called when it becomes known that the last byte of a streamed body has arrived, or that it has not.

        `Upload.arrived_at_s` has the time. From then on all limits of the request run, whether or not its
        server takes the body.
        """
        request = self._requests.get(request_id)
        if request is None or request.client is None:
            return
        self._restart_deadline(request)
        for attempt in request.attempts:
            if attempt is not None:
                self._attempt_runner.restart_timeout(attempt)

    def _restart_deadline(self, request: _OpenRequest) -> None:
        """Run the time limit of a request from when its last byte arrived; it waits while that has not."""
        if request.guard_timer is not None:
            request.guard_timer.cancel()
        arrived_at = request.arrived_at()
        self._unanswered += (arrived_at is not None) - request.is_received
        request.is_received = arrived_at is not None
        if arrived_at is None or request.streaming_attempt is not None:
            request.answer_by = math.inf
            return
        limit_ms = request.client_request.time_left_ms - TRANSIT_MS - GUARD_MARGIN_MS
        request.answer_by = arrived_at + limit_ms / 1000
        left_s = max(request.answer_by - time.monotonic(), 0.0)
        request.guard_timer = self._loop.call_later(left_s, self._on_deadline, request)

    def client_disconnected(self, request_id: str, why: str = "client left") -> None:
        """Called when the client of a request has disconnected; `why` is the reason in the log."""
        request = self._requests.get(request_id)
        if request is not None and request.client is not None:
            if request.streaming_attempt is not None or request.client_request.upload is not None:
                self.stats.count_truncated_stream("client")
            streamed = [
                a
                for a in request.attempts
                if a is not None and (a is request.streaming_attempt or a.upload is not None)
            ]
            request.has_left = True
            self._close_request(request)
            _log_unserved_request(request, 0, why)
            self._post(api.ClientLeft(request_id))
            for attempt in streamed:  # a stream cannot continue without its client
                self._attempt_runner.cancel(attempt)
            self._remove_claim(request_id)

    def _on_deadline(self, request: _OpenRequest) -> None:
        # Answers in time even if the decision module or a socket fails to.
        log.warning(
            Event(
                "guarded",
                "request without an answer at its deadline: answered 504 by the deadline guard",
                request=request.client_request.client_id,
            )
        )
        self._answer_timed_out(request)

    def _answer_timed_out(self, request: _OpenRequest) -> None:
        if request.client is not None and request.streaming_attempt is None:
            self._answer(request, 504, why="ran out")
            self._post(api.ClientLeft(request.id))
            self._remove_claim(request.id)

    def _answer(
        self,
        request: _OpenRequest | None,
        status: int,
        reply: Reply | None = None,
        retry_after_ms: float = 0.0,
        why: str = "",
    ) -> None:
        """Send the final answer; a second one is dropped."""
        if request is None or request.client is None or request.streaming_attempt is not None:
            return
        client = request.client
        self._close_request(request)
        self.stats.count_answer(request.client_request.cls.name, status)
        if reply is None:
            if status in THROTTLED_STATUSES:
                self.stats.count_refusal(why)
            _log_unserved_request(request, status, why)
            client.answer(status, retry_after_ms=retry_after_ms)
        else:
            client.answer(status, reply.body, reply.headers.get(b"content-type", b""))

    def _close_request(self, request: _OpenRequest) -> None:
        """End the request for its client, before the end of its answer is written."""
        client, request.client = request.client, None
        if request.client_request.cls.effect != "safe":  # afterwards a client that has its answer may close
            request.has_left = request.has_left or client.has_hung_up()
        self._unanswered -= request.is_received
        if request.guard_timer is not None:
            request.guard_timer.cancel()
        for attempt in request.attempts:
            # An attempt that waits for a connection, or whose body is not written whole, runs nowhere. It may
            # be cancelled even where the settings forbid cancelling requests at servers.
            if attempt is not None and (attempt.is_waiting or attempt.is_sending_body()):
                self._attempt_runner.cancel(attempt)
        self._remove_if_ended(request)

    def _remove_if_ended(self, request: _OpenRequest) -> None:
        if request.client is None and not request.running_attempts:
            self._requests.pop(request.id, None)
            self._close_id(request)

    def _close_id(self, request: _OpenRequest) -> None:
        """Keep the id of an ended request that may have run for a client that has left."""
        client_id = request.client_request.client_id
        if self._open_ids.get(client_id) is request:
            del self._open_ids[client_id]
        if request.has_left and request.client_request.cls.effect != "safe" and request.may_have_run():
            self._request_ids.keep((client_id,), time.monotonic())

    # --- Servers ------------------------------------------------------------------------------------------

    def _on_list(self, listing: Listing) -> None:
        self._discovery_answered = True
        self._apply_list(listing, "full" if listing.is_full else "changes")

    def _apply_list(self, listing: Listing, kind: str) -> None:
        removed = {s.name for s in listing.servers if s.status == "removed"}
        if kind != "changes":  # a full list replaces the old one
            removed |= self._pool.server_names() - {s.name for s in listing.servers}
        self._pool.update_servers(
            listing.addresses,
            removed,
            {s.name: s.up_since_ms for s in listing.servers},
            {s.name for s in listing.servers if s.status == "draining"},
        )
        self.memory.set_servers(self._pool.server_count())
        if listing.servers or kind != "changes":
            states = ", ".join(f"{s.name} {s.status}" for s in listing.servers)
            log.info(
                Event(
                    "list",
                    "server list {generation}, {kind}: {states}; {dialled} servers can be connected to",
                    generation=listing.generation,
                    kind=kind,
                    states=states,
                    dialled=len(self._pool.server_names()),
                )
            )
            self._post(api.ServerList(kind, listing.servers))

    def _send(self, action: api.Send) -> None:
        request = self._requests.get(action.request)
        number = len(request.attempts) if request is not None else 0
        now = time.monotonic()
        if (
            request is None
            or request.client is None
            or now >= request.answer_by
            or number >= request.max_attempts
            or not self._may_send(request)
        ):
            if request is not None:
                request.attempts.append(None)
            self._post(
                api.Outcome(
                    action.request,
                    number,
                    action.server,
                    api.START_EXPIRED,
                    0.0,
                    request is None or request.client is None,
                )
            )
            return
        client_request = request.client_request
        # The time limit of a request with a streamed body does not run yet.
        left_s = min(request.answer_by - now, client_request.time_left_ms / 1000)
        wait_s = min(action.timeout_ms / 1000, left_s) if action.timeout_ms else left_s
        attempt = Attempt(
            action.request,
            number,
            action.server,
            client_request.head,
            now,
            client_request.upload,
            client_request.cls.name,
            client_request.body,
        )
        attempt.arrived_at = request.received_at
        request.attempts.append(attempt)
        request.running_attempts += 1
        self._attempt_runner.send(attempt, max(wait_s, 0.0), action.start_deadline_ms / 1000)

    def client_waits_until(self, attempt: Attempt) -> float:
        """Until when the client waits, by the monotonic clock; minus infinity without a client."""
        request = self._requests[attempt.request]
        return request.answer_by if request.client is not None else -math.inf

    def is_client_connected(self, attempt: Attempt) -> bool:
        """Whether the client is still there, by the system. One that has left counts as disconnected at once.

        With `client_waits_until`, this alone decides whether the first byte of an attempt is written. It is
        False, too, where the client's end may lie unread. A long body is an exception: its own rest may lie
        there, and the client is asked for again before its last byte, with which the request begins.
        """
        request = self._requests[attempt.request]
        client = request.client
        if client is None:
            return False
        if client.has_disconnected():
            self.client_disconnected(request.id, "client left, seen before an attempt")
            return False
        return attempt.upload is not None or not client.may_have_left()

    def on_sent(self, attempt: Attempt) -> None:
        """Called when the last byte of an attempt was written."""
        self.stats.relayed_attempts += 1
        request = self._requests[attempt.request]
        has_answer = request.client is None or request.streaming_attempt is not None
        if attempt.upload is not None and not has_answer:
            self._post(api.Uploaded(request.id))

    def on_stream_started(
        self, attempt: Attempt, reply: Reply, length: int | None, source: Source
    ) -> Client | None:
        """Start streaming a long answer to the client. No time-out of the gateway ends it from now on."""
        request = self._requests[attempt.request]
        if request.client is None or request.streaming_attempt is not None:
            return None
        request.streaming_attempt = attempt
        if request.guard_timer is not None:  # None while the body is still being received
            request.guard_timer.cancel()
        request.client.begin_stream(length, reply.headers.get(b"content-type", b""), source)
        self._post(api.StreamStarted(request.id, attempt.number, self._took_ms(attempt)))
        return request.client

    def may_repeat(self, attempt: Attempt) -> bool:
        """Whether the decision module could retry the request if this answer broke off."""
        return self._gateway.may_retry(attempt.request)

    def on_ended(self, attempt: Attempt, result: str, reply: Reply | None) -> None:
        """Called exactly once for each attempt, when it ends."""
        request = self._requests[attempt.request]
        request.running_attempts -= 1
        took_ms = self._took_ms(attempt, reply is not None)
        units = 0.0
        report = _parse_load_report(reply.headers.get(b"x-load", b"")) if reply is not None else {}
        if result == api.OK:
            units = _parse_positive_number(reply.headers.get(b"billed-units"))
            if attempt.request in self._claims:
                self._claim_record.complete(self._claims[attempt.request], reply)
        if attempt is request.streaming_attempt:
            self._end_stream(request, result)
        elif result == api.OK:
            self._answer(request, 200, reply)
        final = request.client is None
        self._remove_if_ended(request)
        self._post(
            api.Outcome(
                attempt.request,
                attempt.number,
                attempt.server,
                result,
                took_ms,
                final,
                billed_units=units,
                load_report=report,
                nothing_sent=not attempt.may_have_sent,
            )
        )
        self._remove_claim(attempt.request)

    def _took_ms(self, attempt: Attempt, answered: bool = True) -> float:
        """Latency of a server up to the head of its answer, as the body may depend on the client's pace.

        The time that an answer lay unread during a stall of the event loop is not counted.
        """
        now = time.monotonic()
        took_ms = ((attempt.head_received_at or now) - attempt.sent_at) * 1000
        return max(took_ms - self.loop_monitor.read_delay_s(now) * 1000, 0.0) if answered else took_ms

    def _end_stream(self, request: _OpenRequest, result: str) -> None:
        client = request.client
        if client is None:
            return
        self._close_request(request)
        if result == api.OK:
            self.stats.count_answer(request.client_request.cls.name, 200)
            client.end_stream()
        else:
            self.stats.count_answer(request.client_request.cls.name, 502)
            self.stats.count_truncated_stream("server")
            _log_unserved_request(request, 200, "cut short")
            client.abort_stream()

    def _claim(self, action: api.Claim) -> None:
        request = self._requests.get(action.request)
        if request is None or request.client is None:
            self._post(api.Claimed(action.request, "silent"))
            return
        client_request = request.client_request
        self._claims[request.id] = self._claim_record.claim(
            client_request.customer,
            client_request.cls.name,
            client_request.key,
            request.id,
            action.window_ms,
            action.wait_ms,
            lambda result: self._claimed(request.id, result),
        )

    def _claimed(self, request_id: str, result: str) -> None:
        self._post(api.Claimed(request_id, result))
        self._remove_claim(request_id)

    def _remove_claim(self, request_id: str) -> None:
        """Drop the claim of a request that has ended. The module has released it by now if it did not run."""
        if request_id not in self._requests:
            self._claims.pop(request_id, None)

    def _release(self, request_id: str) -> None:
        claim = self._claims.get(request_id)
        if claim is not None:
            self._claim_record.release(claim)

    def _cancel(self, action: api.Cancel) -> None:
        request = self._requests.get(action.request)
        if request is not None and action.attempt < len(request.attempts):
            attempt = request.attempts[action.attempt]
            if attempt is not None:
                self._attempt_runner.cancel(attempt)

    # --- Decision module ----------------------------------------------------------------------------------

    def _post(self, event: api.Event) -> None:
        """Pass an event to the module. Events that its own actions cause are queued to keep the order."""
        self._event_queue.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._event_queue:
                self._handle(self._event_queue.popleft())
        finally:
            self._is_handling = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self._gateway.handle(self._clock.now_ms(), event)
        except Exception:
            # An event that the module cannot handle must not affect other requests.
            log.exception(
                Event(
                    "module_failed",
                    "decision module failed on {on}",
                    on=type(event).__name__,
                    request=getattr(event, "request", getattr(event, "id", "")),
                )
            )
            if isinstance(event, api.Request):
                self._answer(self._requests.get(event.id), 500, why="module")
            return
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:
                log.exception(
                    Event(
                        "action_failed",
                        "an action failed: {action}",
                        action=type(action).__name__,
                        request=getattr(action, "request", ""),
                    )
                )

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse():
                self._answer(
                    self._requests.get(action.request),
                    503,
                    retry_after_ms=action.retry_after_ms,
                    why=action.reason,
                )
            case api.Fail():
                self._answer(self._requests.get(action.request), 502, why="failed")
            case api.Claim():
                self._claim(action)
            case api.Release():
                self._release(action.request)
            case api.Recall():
                self._answer(self._requests.get(action.request), 200, self._claims[action.request].answer)
            case api.Cancel():
                self._cancel(action)
            case api.Timer():
                self._loop.call_later(max(action.delay_ms, 0.0) / 1000, self._post, api.TimerDue(action.name))
            case api.Count() if action.plan:
                self._acquire_share(action)
            case api.Count():
                if self._counter is None:
                    self._post(api.CountReply(action.name, api.CONNECT_FAILED, 0.0))
                else:
                    self._counter.call(action)
            case api.Subscribe():
                pass  # the watch on the list of servers is always active
            case api.Log():
                log.info(Event("decision", "{text}", text=action.text))


def _log_unserved_request(request: _OpenRequest, status: int, why: str) -> None:
    """Log a request that was not served: its properties, the reason, and each of its attempts."""
    client_request, took_ms = request.client_request, (time.monotonic() - request.received_at) * 1000
    log.info(
        Event(
            "request",
            "{request} {class} {plan} of {customer} ({units:g} units, {left_ms:.0f} ms left): "
            "{status} {why} after {took_ms:.0f} ms; attempts: {attempts:; }",
            request=client_request.client_id,
            **{"class": client_request.cls.name},
            plan=client_request.plan_name,
            customer=client_request.customer,
            units=client_request.units,
            left_ms=round(client_request.time_left_ms, 3),
            status=status,
            why=why,
            took_ms=round(took_ms, 3),
            attempts=JoinedList("not sent" if a is None else a for a in request.attempts),
        )
    )


def _parse_load_report(text: bytes) -> dict[str, float]:
    """Parse a server's load report; an empty dict if it is malformed."""
    try:
        return wire.parse_load_report(text.decode("ascii").replace(" ", "").replace("=", ":") or "-")
    except ValueError:
        return {}


def _parse_positive_number(text: bytes | None) -> float:
    """Parse a positive number of a header; 0 if it is missing or invalid."""
    try:
        value = float(text or 0)
    except ValueError:
        return 0.0
    return value if 0 < value < 1e9 else 0.0
