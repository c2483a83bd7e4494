"""The core: owns the decision module, its clock, timers and open requests. Translation only."""

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
from yewstage.net.attempts import Attempt, AttemptRunner
from yewstage.net.budget import MemoryBudget
from yewstage.net.config import Config
from yewstage.net.counter import Counter
from yewstage.net.discovery import ASKED, PUSHED, Discovery, Listing
from yewstage.net.http1 import Reply, Upload
from yewstage.net.pool import Source
from yewstage.net.stats import REFUSED, DescriptorUse, Stats
from yewstage.policy import Gateway

if TYPE_CHECKING:
    from yewstage.net.claim_record import ClaimRecord, KeyClaim
    from yewstage.net.holding_client import HoldingClient
    from yewstage.net.shares import Shares

log = logging.getLogger(__name__)

UPSTREAM_SHARE = 0.3  # of the descriptors
BODY_SHARE = 0.2  # of the memory that a fresh process has left: a byte that is held costs three to four
LEAST_ROOM = 2 * 2**20
TRANSIT_MS = 4.0  # what a request may have spent on its way to us and its answer may on its way back
GUARD_MS = 8.0  # the guard answers this long before the client's time is up
MODULE_MS = 20.0  # the module is told of an end this much earlier, so that it comes first
BEAT_S = 0.05  # spacing of the heartbeat that measures our own lag
LAG_MS = 5.0  # a heartbeat later than this is a stall
LIST_WAIT_S = 1.0  # how long a start waits for discovery before it serves with the list it was given


class Clock:
    """The module's clock: Unix time in milliseconds, which all gateways share, but never set back."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now_ms(self) -> float:
        """The time now."""
        return (self._offset + time.monotonic()) * 1000


class Client(Protocol):
    """Who is owed an answer."""

    def has_disconnected(self) -> bool:
        """Whether it has left, though its connection has not told yet."""

    def answer(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Pass the one final answer on."""

    def begin(self, length: int | None, content_type: bytes, source: Source) -> None:
        """Begin a long answer, whose body comes in parts; None: its length is not known."""

    def more(self, data: bytes) -> None:
        """Pass a part of it on."""

    def finish(self) -> None:
        """It is whole."""

    def cut(self) -> None:
        """It will not become whole, and the client must see that."""


@dataclass(slots=True)
class ClientRequest:
    """A valid request of a client: what the module is told, and what goes on to a host."""

    client_id: str  # X-Request-Id, by which the log names it
    cls: api.RequestClass  # as it was when the request came
    plan_name: str
    customer: str
    time_left_ms: float
    units: float
    width: int
    first_gateway: int
    repeat: bool
    head: bytes  # request line and headers for the host, but for X-Deadline
    body: bytes
    upload: Upload | None = None  # a body too long to be kept
    key: bytes = b""  # that a repeat comes with, too


class _Open:
    """A request until it is answered and its last attempt is over."""

    __slots__ = (
        "id",
        "client",
        "order",
        "taken_at",
        "end_at",
        "guard",
        "attempts",
        "out",
        "taken",
        "streaming",
        "most",
    )

    def __init__(
        self, rid: str, client: Client, order: ClientRequest, taken_at: float, end_at: float, most: int
    ) -> None:
        self.most = most  # attempts, as the settings had it when the request came
        self.id, self.order, self.taken_at, self.end_at = rid, order, taken_at, end_at
        self.client: Client | None = client  # None: answered, or gone
        self.guard: asyncio.TimerHandle | None = None
        self.attempts: list[Attempt | None] = []  # None: never sent
        self.out = 0
        self.taken = False  # its last byte has come, and it counts as open
        self.streaming: Attempt | None = None  # whose answer is on its way to the client


class Core:
    """Events of the sockets in, actions of the module out."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.settings = config.settings
        self._loop = loop
        self._clock = Clock()
        self._gateway = Gateway(config.settings, config.seed)
        self.stats = Stats(c.name for c in config.settings.classes)
        self._most = int(UPSTREAM_SHARE * config.sockets)
        own = self.stats.process.memory_bytes()[1]
        self._room = max(int(BODY_SHARE * (config.memory_mb * 2**20 - own)), LEAST_ROOM)
        self.budget = MemoryBudget(self._room, loop.time)
        self.longest_upload = config.longest_upload
        uses = self.stats.descriptors.uses
        self._attempt_runner = AttemptRunner(
            loop,
            self._most,
            config.dial_ms,
            config.idle_ms,
            self,
            uses["servers"],
            bound=self._gateway.links,
            clock_ms=self._clock.now_ms,
            rng=random.Random(config.seed),
            budget=self.budget,
        )
        self._pool = self._attempt_runner.pool
        self._discovery = Discovery(
            loop,
            config.discovery,
            self._listed,
            config.fallback_listing.generation if config.fallback_listing.servers else None,
            config.settings.fleet_size,
            random.Random(config.seed),
            uses["discovery"],
            ASKED if config.settings.server_list_on_request else PUSHED,
        )
        self._counter = (
            Counter(loop, config.counter, config.settings.count_wait_ms, self._post, uses["counter"])
            if config.counter is not None
            else None
        )
        self._config = config
        self._record = self._recorded() if config.holding else None
        self._shares: Shares | None = None  # made when the first one is asked for
        self._known = config.fallback_listing
        self._requests: dict[str, _Open] = {}
        self._claims: dict[str, KeyClaim] = {}  # by request, where there is a record
        self._owed = 0  # requests that are owed their answer
        self._serial = 0
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._lag_ms = 0.0
        self._started = 0.0
        self._beat_due = time.monotonic() + BEAT_S
        self._heard = False  # discovery has answered in this life
        self.more_figures: Callable[[], Mapping[str, float]] = dict  # of parts beside this one
        self.draining = self._over = False  # SIGTERM has come; all is answered, nothing is begun any more
        self.shared = False  # with another process: each has half of the descriptors

    def _recorded(self) -> ClaimRecord:
        from yewstage.net.claim_record import ClaimRecord  # what it needs is paid only where there is one

        return ClaimRecord(self._loop, self._lanes("record"), self._config.name)

    def _lanes(self, use: str) -> HoldingClient:
        from yewstage.net.holding_client import HoldingClient

        held = self.stats.descriptors.uses[use] = DescriptorUse(self.stats.descriptors)
        return HoldingClient(self._config.holding, random.Random(self._config.seed), held)

    def _share(self, act: api.Count) -> None:
        """Units of a customer's quota that this gateway alone may spend."""
        plan = next((plan for plan in self.settings.plans if plan.name == act.plan), None)
        if plan is None or not self._config.holding:  # retuned away, or there was no holding at the start
            self._post(api.CountReply(act.name, api.TIMED_OUT, 0.0))
            return
        if self._shares is None:
            from yewstage.net.shares import Shares

            self._shares = Shares(self._loop, self._lanes("shares"), self._config.name)
        self._shares.take(act, plan, self._post)

    # --- Life ---------------------------------------------------------------------------------------------

    def start(self) -> None:
        """Begin with the known list, then listen to discovery and the counter."""
        self._started = time.monotonic()
        self._apply(self._known, "kept")
        self._pool.start()
        self._discovery.start()
        if self._counter is not None:
            self._counter.start()
        self._beat_due = time.monotonic() + BEAT_S
        self._loop.call_later(BEAT_S, self._beat)

    def reconfigure(self, config: Config) -> None:
        """Go on by the new settings, and with discovery and the counter where they are now."""
        self.settings = dataclasses.replace(config.settings, uses_claim_record=self._record is not None)
        self.stats.know(c.name for c in config.settings.classes)
        self._pool.tune(config.dial_ms, config.idle_ms)
        self._most = int(UPSTREAM_SHARE * config.sockets)
        self.longest_upload = config.longest_upload
        self.share_descriptors(self.shared)
        self._post(api.Retuned(self.settings))
        self._discovery.move(config.discovery)
        if self._counter is not None and config.counter is not None:
            self._counter.move(config.counter, config.settings.count_wait_ms)

    def share_descriptors(self, shared: bool) -> None:
        """Go on with half of the descriptors and of the room for bodies, or with all of them."""
        self.shared = shared
        self._pool.limit(self._most // (2 if shared else 1))
        self.budget.limit(self._room // (2 if shared else 1))

    def hand_over(self) -> dict[str, object]:
        """What the next process must know; from now on that process holds it."""
        return self._gateway.hand_over()

    def take_over(self, state: dict[str, object] | None) -> None:
        """Go on from what the process before us left, if it left anything."""
        self._post(api.TakenOver(state))

    def predecessor_exited(self) -> None:
        """The process before us is gone."""
        self.share_descriptors(False)
        self._post(api.PredecessorGone())

    def stop(self) -> None:
        """Close everything towards the back end."""
        self._discovery.stop()
        self._pool.stop()
        if self._counter is not None:
            self._counter.stop()
        for part in (self._record, self._shares):
            if part is not None:
                part.stop()

    def ready(self) -> bool:
        """Whether requests can be served: hosts are known, by discovery's word if it speaks at all."""
        if self.draining or not self._pool.names():
            return False
        return self._heard or time.monotonic() - self._started > LIST_WAIT_S

    def failing(self) -> dict[str, int]:
        """Servers that this gateway finds failing: how often in a row each has."""
        return self._gateway.failing()

    def metrics(self) -> str:
        """What operators read."""
        return self.stats.text(
            self._owed,
            *self._gateway.rotation(),
            self._pool.metrics(),
            self._body_figures(),
            self._ramp_figures(),
            *(part.metrics() for part in (self._record, self._shares) if part is not None),
            self.more_figures(),
        )

    def _ramp_figures(self) -> dict[str, float]:
        """How pressed the back end looks, and what part of new work is let in by that."""
        return {
            "pressure": round(self._gateway.smoothed_occupancy, 4),
            "admitted_share": round(self._gateway.admit_fraction, 4),
        }

    def _body_figures(self) -> dict[str, float]:
        budget = self.budget
        return {
            **{f'held_bytes{{use="{use}"}}': size for use, size in budget.by_use().items()},
            "held_bytes_peak": budget.peak,
            "held_bytes_limit": budget.most,
            "streams_open": budget.streams(),
            "streams_stopped_total": budget.stops,
            "bodies_refused_total": budget.refused,
            'passed_bytes_total{way="up"}': self.stats.passed_up,
            'passed_bytes_total{way="down"}': self.stats.passed_down,
            **{
                f'streams_short_total{{cause="{cause}"}}': n
                for cause, n in self.stats.truncated_by_cause.items()
            },
        }

    def farewell(self) -> str:
        """What this life came to, for the log."""
        return self.stats.farewell(self._pool.dials())

    def fail_all(self) -> None:
        """Answer all that is open as failed: the process is about to end, and begins nothing more."""
        self._over = True
        for request in list(self._requests.values()):
            self._give_up(request)

    def _beat(self) -> None:
        """Measure how far we run behind: what is read in this turn may have waited for us so long."""
        now = time.monotonic()
        late = (now - self._beat_due) * 1000
        if late > LAG_MS:
            self._lag_ms = late
            self._loop.call_later(0.001, self._caught_up)
        self._beat_due = now + BEAT_S
        self._loop.call_later(BEAT_S, self._beat)

    def _caught_up(self) -> None:
        self._lag_ms = 0.0

    def _behind_ms(self, now: float) -> float:
        """How long what is read now may have waited for us.

        Guards against a stall that is over before the heartbeat could tell: a loop that was stopped in its
        poll reads sockets first and fires timers after.
        """
        late = (now - self._beat_due) * 1000
        return late if late > LAG_MS else self._lag_ms

    # --- Clients ------------------------------------------------------------------------------------------

    def request(self, client: Client, order: ClientRequest) -> str:
        """Take a request; its id tells `left` which one is meant."""
        self._serial += 1
        rid = f"r{self._serial}"
        # The client's time runs from when it sent the request, not from when we came to read it.
        now = time.monotonic()
        left_ms = order.time_left_ms - TRANSIT_MS - self._behind_ms(now)
        request = _Open(rid, client, order, now, math.inf, self.settings.try_limit)
        self._requests[rid] = request
        if self._over:  # danger: SIGKILL would find it unanswered
            retry_after_ms = self.settings.max_retry_after_ms * self.settings.retry_after
            self._answer(request, 503, retry_after_ms=retry_after_ms, why="ending")
            return rid
        if order.upload is None:
            self._take(request, left_ms)
        self._post(
            api.Request(
                rid,
                order.cls.name,
                order.plan_name,
                order.customer,
                left_ms - MODULE_MS,
                order.units,
                order.width,
                order.first_gateway,
                order.repeat,
                order.upload is None,
                order.cls,
            )
        )
        return rid

    def _take(self, request: _Open, left_ms: float) -> None:
        """The last byte of a request has come: its time runs from here."""
        request.taken = True
        self._owed += 1
        request.end_at = time.monotonic() + (left_ms - GUARD_MS) / 1000
        request.guard = self._loop.call_later(max(left_ms - GUARD_MS, 0.0) / 1000, self._guard, request)

    def client_disconnected(self, rid: str) -> None:
        """The client is gone."""
        request = self._requests.get(rid)
        if request is not None and request.client is not None:
            if request.streaming is not None or request.order.upload is not None:
                self.stats.cut_short("client")
            bound = [
                a
                for a in request.attempts
                if a is not None and (a is request.streaming or a.upload is not None)
            ]
            self._close(request)
            _tell_story(request, 0, "client left")
            self._post(api.ClientLeft(rid))
            for attempt in bound:  # nothing of it can go on without its client
                self._attempt_runner.cancel(attempt)
            self._forget_claim(rid)

    def _guard(self, request: _Open) -> None:
        # Guards the first rule: whatever the module or a socket does, the client gets its answer in time.
        log.warning(
            Event(
                "guarded",
                "a request ran to its deadline unanswered: failed by the guard",
                request=request.order.client_id,
            )
        )
        self._give_up(request)

    def _give_up(self, request: _Open) -> None:
        if request.client is not None and request.streaming is None:
            self._answer(request, 504, why="ran out")
            self._post(api.ClientLeft(request.id))
            self._forget_claim(request.id)

    def _answer(
        self,
        request: _Open | None,
        status: int,
        reply: Reply | None = None,
        retry_after_ms: float = 0.0,
        why: str = "",
    ) -> None:
        """The one final answer; a second one is dropped."""
        if request is None or request.client is None or request.streaming is not None:
            return
        client = request.client
        self._close(request)
        self.stats.ended(request.order.cls.name, status)
        if reply is None:
            if status in REFUSED:
                self.stats.refused(why)
            _tell_story(request, status, why)
            client.answer(status, retry_after_ms=retry_after_ms)
        else:
            client.answer(status, reply.body, reply.headers.get(b"content-type", b""))

    def _close(self, request: _Open) -> None:
        request.client = None
        self._owed -= request.taken
        if request.guard is not None:
            request.guard.cancel()
        for attempt in request.attempts:
            # What waits for its link has not begun, so no server need be asked to let go of it: settings that
            # forbid that say nothing of this.
            if attempt is not None and attempt.waiting:
                self._attempt_runner.cancel(attempt)
        self._forget(request)

    def _forget(self, request: _Open) -> None:
        if request.client is None and not request.out:
            self._requests.pop(request.id, None)

    # --- Hosts --------------------------------------------------------------------------------------------

    def _listed(self, listing: Listing) -> None:
        self._heard = True
        self._apply(listing, "full" if listing.is_full else "changes")

    def _apply(self, listing: Listing, kind: str) -> None:
        gone = {s.name for s in listing.servers if s.status == "removed"}
        if kind != "changes":  # a whole list replaces the old one
            gone |= self._pool.names() - {s.name for s in listing.servers}
        self._pool.update(
            listing.addresses,
            gone,
            {s.name: s.up_since_ms for s in listing.servers},
            {s.name for s in listing.servers if s.status == "draining"},
        )
        if listing.servers or kind != "changes":
            states = ", ".join(f"{s.name} {s.status}" for s in listing.servers)
            log.info(
                Event(
                    "list",
                    "list {generation}, {kind}: {states}; {dialled} hosts can be dialled",
                    generation=listing.generation,
                    kind=kind,
                    states=states,
                    dialled=len(self._pool.names()),
                )
            )
            self._post(api.ServerList(kind, listing.servers))

    def _send(self, act: api.Send) -> None:
        request = self._requests.get(act.request)
        number = len(request.attempts) if request is not None else 0
        left_s = request.end_at - time.monotonic() if request is not None else 0.0
        if request is None or request.client is None or left_s <= 0 or number >= request.most:
            if request is not None:
                request.attempts.append(None)
            self._post(
                api.Outcome(
                    act.request,
                    number,
                    act.server,
                    api.START_EXPIRED,
                    0.0,
                    request is None or request.client is None,
                )
            )
            return
        order = request.order
        left_s = min(left_s, order.time_left_ms / 1000)  # of a long body, whose time does not run yet
        wait_s = min(act.timeout_ms / 1000, left_s) if act.timeout_ms else left_s
        attempt = Attempt(
            act.request,
            number,
            act.server,
            order.head,
            time.monotonic(),
            order.upload,
            order.cls.name,
            order.body,
        )
        request.attempts.append(attempt)
        request.out += 1
        self._attempt_runner.send(attempt, max(wait_s, 0.0), act.start_deadline_ms / 1000)

    def wanted(self, attempt: Attempt) -> bool:
        """Whether its client is still there, as it is about to begin."""
        client = self._requests[attempt.request].client
        return client is not None and not client.has_disconnected()

    def sent(self, attempt: Attempt) -> None:
        """An attempt's last byte was written."""
        self.stats.relayed += 1
        request = self._requests[attempt.request]
        if attempt.upload is not None and request.streaming is not None:
            request.taken = True  # its answer is on its way already: no guard
            self._owed += 1
        elif attempt.upload is not None and request.client is not None:
            self._take(request, request.order.time_left_ms - TRANSIT_MS)
            self._post(api.Uploaded(request.id))

    def started(self, attempt: Attempt, reply: Reply, length: int | None, source: Source) -> Client | None:
        """A long answer has begun: it is the client's now, and no time-out of ours ends it."""
        request = self._requests[attempt.request]
        if request.client is None or request.streaming is not None:
            return None
        request.streaming = attempt
        if request.guard is not None:  # else its body is still on its way
            request.guard.cancel()
        request.client.begin(length, reply.headers.get(b"content-type", b""), source)
        self._post(api.StreamStarted(request.id, attempt.number, self._took_ms(attempt)))
        return request.client

    def may_repeat(self, attempt: Attempt) -> bool:
        """Whether the module could send the request again if this answer broke."""
        return self._gateway.may_repeat(attempt.request)

    def ended(self, attempt: Attempt, result: str, reply: Reply | None) -> None:
        """An attempt's one end."""
        request = self._requests[attempt.request]
        request.out -= 1
        took = self._took_ms(attempt, reply is not None)
        units = 0.0
        report = _report(reply.headers.get(b"x-load", b"")) if reply is not None else {}
        if result == api.OK:
            units = _number(reply.headers.get(b"billed-units"))
            if attempt.request in self._claims:
                self._record.complete(self._claims[attempt.request], reply)
        if attempt is request.streaming:
            self._finish_stream(request, result)
        elif result == api.OK:
            self._answer(request, 200, reply)
        final = request.client is None
        self._forget(request)
        self._post(
            api.Outcome(
                attempt.request,
                attempt.number,
                attempt.server,
                result,
                took,
                final,
                billed_units=units,
                load_report=report,
                nothing_sent=not attempt.touched,
            )
        )
        self._forget_claim(attempt.request)

    def _took_ms(self, attempt: Attempt, answered: bool = True) -> float:
        """What a host needed: to the head of its answer, however slowly the rest comes.

        What lay unread while we stalled is not the host's latency.
        """
        now = time.monotonic()
        took = ((attempt.begun_at or now) - attempt.sent_at) * 1000
        return max(took - self._behind_ms(now), 0.0) if answered else took

    def _finish_stream(self, request: _Open, result: str) -> None:
        client = request.client
        if client is None:
            return
        self._close(request)
        if result == api.OK:
            self.stats.ended(request.order.cls.name, 200)
            client.finish()
        else:
            self.stats.ended(request.order.cls.name, 502)
            self.stats.cut_short("server")
            _tell_story(request, 200, "cut short")
            client.cut()

    def _claim(self, act: api.Claim) -> None:
        request = self._requests.get(act.request)
        if request is None or request.client is None:
            self._post(api.Claimed(act.request, "silent"))
            return
        order = request.order
        self._claims[request.id] = self._record.claim(
            order.customer,
            order.cls.name,
            order.key,
            request.id,
            act.window_ms,
            act.wait_ms,
            lambda result: self._claimed(request.id, result),
        )

    def _claimed(self, rid: str, result: str) -> None:
        self._post(api.Claimed(rid, result))
        self._forget_claim(rid)

    def _forget_claim(self, rid: str) -> None:
        """What is over needs its claim no more; the module has said by now whether it may have run."""
        if rid not in self._requests:
            self._claims.pop(rid, None)

    def _release(self, rid: str) -> None:
        claim = self._claims.get(rid)
        if claim is not None:
            self._record.release(claim)

    def _cancel(self, act: api.Cancel) -> None:
        request = self._requests.get(act.request)
        if request is not None and act.attempt < len(request.attempts):
            attempt = request.attempts[act.attempt]
            if attempt is not None:
                self._attempt_runner.cancel(attempt)

    # --- The module ---------------------------------------------------------------------------------------

    def _post(self, event: api.Event) -> None:
        """Hand events to the module in their order, also those that its own actions give rise to."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self._gateway.handle(self._clock.now_ms(), event)
        except Exception:
            # Guards all other requests against one that the module breaks on.
            log.exception(
                Event(
                    "module_failed",
                    "the module failed on {on}",
                    on=type(event).__name__,
                    request=getattr(event, "request", getattr(event, "id", "")),
                )
            )
            if isinstance(event, api.Request):
                self._answer(self._requests.get(event.id), 500, why="module")
            return
        for act in actions:
            try:
                self._act(act)
            except Exception:
                log.exception(
                    Event(
                        "action_failed",
                        "an action failed: {action}",
                        action=type(act).__name__,
                        request=getattr(act, "request", ""),
                    )
                )

    def _act(self, act: api.Action) -> None:
        match act:
            case api.Send():
                self._send(act)
            case api.Refuse():
                self._answer(
                    self._requests.get(act.request), 503, retry_after_ms=act.retry_after_ms, why=act.reason
                )
            case api.Fail():
                self._answer(self._requests.get(act.request), 502, why="failed")
            case api.Claim():
                self._claim(act)
            case api.Release():
                self._release(act.request)
            case api.Recall():
                self._answer(self._requests.get(act.request), 200, self._claims[act.request].answer)
            case api.Cancel():
                self._cancel(act)
            case api.Timer():
                self._loop.call_later(max(act.delay_ms, 0.0) / 1000, self._post, api.TimerDue(act.name))
            case api.Count() if act.plan:
                self._share(act)
            case api.Count():
                if self._counter is None:
                    self._post(api.CountReply(act.name, api.CONNECT_FAILED, 0.0))
                else:
                    self._counter.call(act)
            case api.Subscribe():
                pass  # the watch is always on
            case api.Log():
                log.info(Event("decision", "{text}", text=act.text))


def _tell_story(request: _Open, status: int, why: str) -> None:
    """A badly ended request in one line: what it was, why it ended so, and each attempt on the way."""
    order, took_ms = request.order, (time.monotonic() - request.taken_at) * 1000
    log.info(
        Event(
            "request",
            "{request} {class} {plan} of {customer} ({units:g} units, {left_ms:.0f} ms left): "
            "{status} {why} after {took_ms:.0f} ms; attempts: {attempts:; }",
            request=order.client_id,
            **{"class": order.cls.name},
            plan=order.plan_name,
            customer=order.customer,
            units=order.units,
            left_ms=round(order.time_left_ms, 3),
            status=status,
            why=why,
            took_ms=round(took_ms, 3),
            attempts=JoinedList("not sent" if a is None else a for a in request.attempts),
        )
    )


def _report(text: bytes) -> dict[str, float]:
    """A server's load report; nothing where it makes no sense."""
    try:
        return wire.parse_load_report(text.decode("ascii").replace(" ", "").replace("=", ":") or "-")
    except ValueError:
        return {}


def _number(text: bytes | None) -> float:
    """A header's positive number; 0 where there is none."""
    try:
        value = float(text or 0)
    except ValueError:
        return 0.0
    return value if 0 < value < 1e9 else 0.0
