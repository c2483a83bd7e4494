"""The decisions of a gateway: admission, quotas, load balancing, retries and the final answers.

Reads no clock and does no I/O: events go in and actions come out (yewstage/interface.py). Times and durations
are in milliseconds, quotas and ceilings in units, work in milliseconds of expected server time.

The life of a request: quota and ceiling, admission by SiRED, choice of a server, attempts, one final answer.
SiRED's symbols: q is the smoothed occupancy (the part of a class's objective that answers take), f the
fraction of new requests that is admitted, r the accumulator that spreads the admitted ones evenly.
"""

from __future__ import annotations

import hashlib
import itertools
import math
import random
from collections import deque

from yewstage import interface as api

# --- Constants -------------------------------------------------------------------------------------------
SWEEP_MS = 100.0  # interval of housekeeping and of q updates: a tenth of the fastest overload to react to
INTERVAL_OUTCOMES = 125  # this many outcomes close a q interval early
OCCUPANCY_WEIGHT = 0.3  # EWMA weight in q: a time constant of about 0.3 s, below every objective in use
MIN_OUTCOMES = 5.0  # a mean of fewer outcomes gets less weight, however long its interval is
Q_MIN, Q_MAX, F_MIN = 0.2, 0.45, 0.05  # an idle back end takes 0.1 to 0.15 of an objective, its tail more
STALL_INTERVALS = 2.0  # a sweep that is this many intervals late shows that this process has stalled
RATE_EWMA_MS = 1000.0  # time constant of observed rates (completions, work sent to warm servers)
EWMA_WEIGHT = 0.2  # weight of one outcome in a server's latency ratio; a quarter of it in a class's latency
BACKOFF_MS, BACKOFF_MAX_MS = 500.0, 4000.0  # ejection time, doubled on each consecutive ejection
EJECTION_FAILURES = 3  # consecutive failures after which a server is ejected
MIN_GATEWAYS, MIN_SERVERS = 10, 12  # subset: gateways for each server, healthy servers for each gateway
SCORE_JITTER = 0.2  # random part of a score; also the penalty of a new connection where it has a cost
IDLE_CONN_SHARE = 0.5  # part of the servers' idle limit for which an idle connection counts as usable
OUTSIDE_FACTOR = 4.0  # load factor of a server outside the subset
OUTLIER_RATIO = 2.5  # an outlier has this many times the median latency: no q samples, time-outs eject
COLD_BUDGET_SHARE = 0.5  # part of the cold budget in use: capacity is estimated, others may exceed their part
LOW_UTILIZATION, REPORT_MAX_AGE_MS = 0.7, 2000.0  # a cold server that reports less may take more work
RETRY_RATIO, RETRY_BUDGET_MAX = 0.2, 10.0  # retries earned by each admitted request; most retries saved up
EARLY_TIMEOUT, MAX_LOST_SHARE = 2.5, 0.06  # early time-out in usual latencies, above this lost share
TRY_SAMPLES = 64  # recent requests of a class that show the usual time left
OVER_QUOTA_PART = 0.5  # requests over quota are admitted only while q is under this part of Q_MIN
COUNT_WINDOW_BURSTS = 2.0  # length of a count's window, in burst / rate; bounds what idle time carries over
SPLIT_FACTOR = 1.5  # factor on the even split without a counter, at f = 1: use is uneven, peers may be down
OTHERS_EWMA_MS = 1000.0  # time constant of the other gateways' rate of use
COUNTER_WEIGHT, THINNING_POWER = 0.35, 4  # EWMA weight of a reply; chance of a call: answer_share**power
MIN_FOUND_SHARE = 0.5  # below it a gateway asks for the total without reserving
PROBE_MS = 1000.0  # one counter call per interval is always made, to notice its recovery
FORGET_CANDIDATES = 8  # customers that are looked at to drop one of them for a new one
FORGET_AFTER_WINDOWS = 6.0  # a customer without requests for this many windows is dropped
COUNT_TTL_MAX_MS = 60000.0
SHARE_TTL_MS, SHARE_SPAN_MS = 3000.0, 1000.0  # life of a quota share; it is sized for the use in this span
# State that the next process takes over. The keys of HANDOVER_FIELDS and the order of the two lists are the
# format: processes of other versions read and write it, so an attribute's name may change but not its key.
HANDOVER_FIELDS = {
    "born": "started_at",
    "q": "smoothed_occupancy",
    "f": "admit_fraction",
    "q_seen": "samples_seen",
    "ok_q": "ok_occupancy",
    "lost": "lost_share",
    "mid": "median_ratio",
    "done_rate": "completion_rate",
    "warm_rate": "warm_rate",
    "bank": "retry_budget",
    "heard": "answer_share",
}
HANDOVER_SERVER_FIELDS = (
    "started_at", "latency_ratio", "failures", "ejections", "ejected_until", "maybe_restarted",
    "cold_from_ms", "cold_tokens", "cold_tokens_at",
)  # fmt: skip
HANDOVER_QUOTA_FIELDS = (
    "gateway_count", "used", "reported", "total_reported", "total_at", "total_used", "total_bound",
    "max_remaining", "remaining", "remaining_at", "others_rate", "seen_at", "ceiling_tokens",
    "ceiling_at", "found_share",
)  # fmt: skip


def _finite_number(value: object) -> float:
    """Check a value read from another process; raises ValueError unless it is a finite number."""
    if not isinstance(value, (int, float)) or not math.isfinite(value):
        raise ValueError(f"{value!r} is not a finite number")
    return value


def quota_account_name(plan: str, customer: str) -> str:
    """The name of the account that grants a customer's quota shares; hashed, so it does not identify them."""
    return hashlib.blake2s(f"{plan}/{customer}".encode(), digest_size=16).hexdigest()


def admission_ramp(q: float) -> float:
    """The fraction f of new requests that SiRED admits at smoothed occupancy q."""
    return max(F_MIN, min((Q_MAX - q) / (Q_MAX - Q_MIN), 1.0))


class _ServerState:
    """Health, load and budget of one server, as this gateway sees them."""

    __slots__ = (
        "name", "zone", "cell", "capacity", "is_up", "started_at", "cold_from_ms", "in_flight",
        "latency_ratio", "failures", "ejections", "ejected_until", "maybe_restarted", "cold_tokens",
        "cold_tokens_at", "rank", "utilization", "utilization_at", "idle_conns", "idle_until",
    )  # fmt: skip

    def __init__(self, server: api.Server, rank: int) -> None:
        self.name, self.rank = server.name, rank
        self.utilization, self.utilization_at = 1.0, 0.0  # last reported
        self.idle_conns, self.idle_until = 0, 0.0  # estimated from the answers received
        self.in_flight = 0
        self.latency_ratio = 1.0  # EWMA of latency / the class's usual latency
        self.failures = self.ejections = 0  # both consecutive; ejections is 0 while in rotation
        self.ejected_until = 0.0
        self.maybe_restarted = False  # set by failed connections: the next answer may be of a new process
        self.started_at = self.cold_from_ms = 0.0
        self.cold_tokens = self.cold_tokens_at = 0.0  # work that may be sent to it while cold
        self.update(server)

    def update(self, server: api.Server) -> None:
        self.zone, self.cell, self.capacity = server.zone, server.cell, max(server.nominal_capacity, 1e-6)
        self.is_up = server.status == "up"
        if server.up_since_ms > self.started_at:
            self.started_at = self.cold_from_ms = server.up_since_ms
            self.failures = self.ejections = self.idle_conns = 0
            self.ejected_until, self.maybe_restarted, self.latency_ratio = 0.0, False, 1.0


class _Attempt:
    """One attempt of a request, at one server."""

    __slots__ = ("server", "sent_at", "is_open", "may_have_run", "is_running", "may_have_sent")

    def __init__(self, server: _ServerState) -> None:
        self.server = server
        self.sent_at = math.inf  # infinite until its whole body is sent
        self.is_open = self.may_have_run = True  # until an outcome proves otherwise
        self.is_running = False  # counted in the server's in_flight
        self.may_have_sent = True  # at least one byte of it

    def start(self, now: float) -> None:
        self.sent_at, self.is_running = now, True
        self.server.in_flight += 1

    def stop(self) -> None:
        self.server.in_flight -= self.is_running
        self.is_running = False


class _PendingRequest:
    """A request that has no final answer yet, or has open attempts."""

    __slots__ = (
        "request", "cls", "quota", "objective_at", "deadline_at", "attempts", "is_answered",
        "is_streaming", "work", "is_uploading", "attempt_limit", "claim_state",
    )  # fmt: skip

    def __init__(
        self,
        request: api.Request,
        cls: api.RequestClass,
        quota: _CustomerQuota,
        objective_at: float,
        deadline_at: float,
        work: float,
        limit: int,
    ) -> None:
        self.request, self.cls, self.quota, self.work, self.attempt_limit = request, cls, quota, work, limit
        self.objective_at, self.deadline_at = objective_at, deadline_at
        self.attempts: list[_Attempt] = []
        self.is_answered = self.is_streaming = False
        self.is_uploading = not request.body_is_buffered
        self.claim_state = ""  # "asked" or "yours" where the claim record is used


class _CustomerQuota:
    """One customer's use in this window, and this gateway's part of the quota and of the ceiling."""

    __slots__ = (
        "plan", "gateway_count", "window", "counter_name", "used", "reported", "total",
        "total_reported", "total_at", "total_used", "total_bound", "max_remaining", "remaining",
        "remaining_at", "others_rate", "is_calling", "in_call", "call_at", "waiting", "open_requests",
        "predecessor_requests", "seen_at", "ceiling_tokens", "ceiling_at", "found_share", "uploading",
        "share", "share_until", "next_share_at", "share_spent", "floor_used",
    )  # fmt: skip

    def __init__(self, plan: api.Plan, gateway_count: int, now: float, age: float) -> None:
        self.plan, self.gateway_count, self.seen_at = plan, gateway_count, now
        self.window, self.counter_name = -1, ""
        self.used = self.reported = self.in_call = 0.0  # in this window; of it reported; in the open call
        self.is_calling, self.call_at = False, 0.0
        self.total: float | None = None  # last total read; None: none since this process started
        self.total_reported = self.total_used = self.total_at = 0.0  # reported, used and time at that total
        self.max_remaining = self.total_bound = plan.burst  # remaining if the others use nothing; at total
        self.others_rate = plan.rate / 1000 * (1 - 1 / gateway_count)  # estimated, units per ms
        # A restarted gateway does not know what it spent before: its part fills from empty.
        self.remaining, self.remaining_at = min(plan.burst, plan.rate * age / 1000) / gateway_count, now
        # Requests that wait for a total: request, class, time of the objective, time of the deadline.
        self.waiting: list[tuple[api.Request, api.RequestClass, float, float]] = []
        self.open_requests = self.predecessor_requests = 0  # here; at the process that handed over
        self.ceiling_tokens = self.ceiling_at = 0.0
        self.uploading = 0.0  # units of requests whose body is still being sent
        self.found_share = 1.0  # EWMA: part of the waits that found enough quota left
        self.share = self.share_spent = 0.0  # units left of it; spent since it was requested
        self.share_until = self.next_share_at = 0.0  # expiry; earliest time of the next request
        self.floor_used = False  # the floor for an unreachable account has been granted


class _AdmissionGroup:
    """Admission state of the requests of one class and plan: worth per work, recent work, SiRED's f and r."""

    __slots__ = ("worth_per_ms", "work", "admit_fraction", "accumulator")

    def __init__(self) -> None:
        self.worth_per_ms = self.work = self.accumulator = 0.0
        self.admit_fraction = 1.0


class Gateway:
    """Makes the decisions of one gateway; `seed` fixes its random draws."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        settings.check()
        self.settings = settings
        self.rng = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.min_objective_ms = min(c.objective_ms for c in settings.classes)
        self.plans = {p.name: p for p in settings.plans}
        self.actions: list[api.Action] = []
        self.servers: dict[str, _ServerState] = {}
        self.open_requests: dict[str, _PendingRequest] = {}
        self.customer_quotas: dict[str, _CustomerQuota] = {}
        self.customer_by_counter: dict[str, str] = {}  # name of a counter or account -> customer
        self.waiting_requests: dict[str, str] = {}  # id of a request that waits for a total -> customer
        self.groups: dict[tuple[str, str], _AdmissionGroup] = {}
        self.unit_latency = {c.name: c.objective_ms / 10 for c in settings.classes}  # EWMA by class
        self.times_left: dict[str, deque[float]] = {}  # of recent requests, by class
        self.now = 0.0
        self.started_at: float | None = None
        self.sweep_due = 0.0
        self.stalled_at = -1.0
        self.smoothed_occupancy, self.admit_fraction = 0.0, 1.0
        self.occupancy_sum, self.occupancy_samples, self.samples_seen = 0.0, 0, 0
        self.ok_occupancy = self.lost_share = 0.0  # EWMA of successes' occupancy, of lost answers
        self.server_gateways = settings.fleet_size  # gateways whose subset has a given server
        self.median_ratio, self.most_ejected = 1.0, False  # of all servers
        self.completions = self.completion_rate = 0.0  # successes since the last sweep, and per ms
        self.subset_capacity = 1.0  # total of the servers in the subset
        self.warm_work = self.warm_rate = 0.0  # since the last sweep; per ms and warm server
        self.retry_budget = RETRY_BUDGET_MAX
        self.answer_share, self.called_at = 1.0, 0.0  # EWMA of answered calls; last call
        self.logged_at: dict[str, float] = {}
        self.handed_over = False  # the next process spends quotas, ceilings and cold budgets

    # --- Events -------------------------------------------------------------------------------------------

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Process one event and return the actions to take; an earlier `now_ms` counts as the latest one."""
        self.now = max(self.now, now_ms)
        self.actions = []
        if self.started_at is None:
            self.started_at, self.sweep_due = self.now, self.now + SWEEP_MS
            self.actions.append(api.Timer("sweep", SWEEP_MS))
            if self.settings.server_list_on_request:
                self.actions.append(api.Subscribe())
        if self.now > self.sweep_due + STALL_INTERVALS * SWEEP_MS:
            # A stall of this process, a paused machine or a stuck network card looks like a slow back end,
            # so attempts sent before now give no q samples. A real overload is then noticed later.
            self.stalled_at = self.now
        match event:
            case api.Request():
                self._on_request(event)
            case api.Outcome():
                self._on_outcome(event)
            case api.TimerDue(name="sweep"):
                self._on_sweep()
            case api.TimerDue(name="subscribe"):
                self.actions.append(api.Subscribe())
            case api.CountReply():
                self._on_count_reply(event)
            case api.ServerList():
                self._on_server_list(event)
            case api.StreamStarted():
                self._on_stream_started(event)
            case api.Uploaded():
                self._on_uploaded(self.open_requests.get(event.request))
            case api.Claimed():
                self._on_claimed(event)
            case api.ClientLeft():
                self.waiting_requests.pop(event.request, None)
                self._finish(self.open_requests.get(event.request))
            case api.Retuned():
                self._on_retuned(event.settings)
            case api.TakenOver():
                self._on_taken_over(event.state)
            case api.PredecessorGone():
                for quota in self.customer_quotas.values():
                    quota.predecessor_requests = 0
            case api.TimerDue():
                pass
            case _:
                raise TypeError(f"not an event of yewstage.interface: {event!r}")
        return self.actions

    def _on_server_list(self, event: api.ServerList) -> None:
        if event.kind == "failed":
            self.actions.append(api.Timer("subscribe", BACKOFF_MS * (1 + self.rng.random())))
            return
        if event.kind != "changes":
            named = {s.name for s in event.servers}
            self.servers = {n: s for n, s in self.servers.items() if n in named}
        for server in event.servers:
            if server.status == "removed":
                self.servers.pop(server.name, None)
            elif server.name in self.servers:
                self.servers[server.name].update(server)
            else:
                self.servers[server.name] = _ServerState(server, self._rank(server.name))
        self._choose_subset()

    def _choose_subset(self) -> None:
        """Choose how many gateways connect to each server (subsetting).

        If every gateway connected to every server, each connection would be rarely used and each server's
        state known from one answer in many seconds. A gateway with too few healthy servers, by chance or
        after a loss, would overload them, so more gateways per server are allowed until it has enough. In a
        small fleet the subset is all servers.
        """
        ranks = sorted(s.rank for s in self.servers.values() if s.is_up and not s.ejections)
        enough = ranks[min(MIN_SERVERS, len(ranks)) - 1] + 1 if ranks else 0
        self.server_gateways = min(self.settings.fleet_size, max(MIN_GATEWAYS, enough))

    def _rank(self, name: str) -> int:
        """This gateway's place in the server's random order of gateways, which all gateways compute alike."""
        order = list(range(self.settings.fleet_size))
        random.Random(name).shuffle(order)
        return order.index(self.settings.gateway_index)

    def _in_subset(self, server: _ServerState) -> bool:
        """Whether this server is in this gateway's subset."""
        return server.rank < self.server_gateways

    def connection_limit(self, name: str) -> int:
        """The limit on connections to a server: what it answers for this gateway in the shortest objective.

        That is this gateway's completion rate there, with a margin of one standard deviation for random
        variation. The limits of all gateways add up to what the server answers in that time. Requests on
        connections beyond it would be late already, and would take the place of other gateways' requests.
        """
        server = self.servers.get(name)
        if server is None:
            return 1
        if self.samples_seen < MIN_OUTCOMES:  # no rate yet: an even part of its capacity
            mean = (
                server.capacity
                * self.min_objective_ms
                / max(self.unit_latency.values())
                / self.server_gateways
            )
        else:
            mean = self.completion_rate * self.min_objective_ms * server.capacity / self.subset_capacity
        return max(1, math.ceil(mean + mean**0.5))

    def may_retry(self, request: str) -> bool:
        """Whether a request could be retried if the answer that is arriving broke off.

        While it could, an answer is better buffered than streamed: bytes passed on cannot be taken back.
        """
        pending = self.open_requests.get(request)
        return (
            pending is not None
            and pending.request.body_is_buffered
            and not pending.is_answered
            and pending.cls.effect == "safe"
            and len(pending.attempts) < pending.attempt_limit
            and self.retry_budget >= 1
        )

    def rotation_counts(self) -> tuple[int, int]:
        """The number of listed servers, and of those that are draining or ejected."""
        return len(self.servers), sum(1 for s in self.servers.values() if not s.is_up or s.ejections)

    def ejection_counts(self) -> dict[str, int]:
        """Listed servers that are ejected or on trial, with their number of consecutive ejections."""
        return {s.name: s.ejections for s in self.servers.values() if s.is_up and s.ejections}

    # --- Settings changes ------------------------------------------------------------------------------

    def _on_retuned(self, settings: api.Settings) -> None:
        """Apply new settings; the state of customers, servers and admission is kept."""
        classes = {c.name: c for c in settings.classes}
        unchanged = {name for name, cls in classes.items() if self.classes.get(name) == cls}
        waiting = {cls.name for quota in self.customer_quotas.values() for _, cls, _, _ in quota.waiting}
        known = {*classes, *waiting, *(pending.cls.name for pending in self.open_requests.values())}
        moved = (settings.gateway_index, settings.fleet_size) != (
            self.settings.gateway_index,
            self.settings.fleet_size,
        )
        self.settings, self.classes = settings, classes
        for server in self.servers.values() if moved else ():
            server.rank = self._rank(server.name)
        self.min_objective_ms = min(c.objective_ms for c in settings.classes)
        # An unchanged plan keeps its object: a customer's quota is matched to its plan by identity.
        self.plans = {
            p.name: self.plans[p.name] if self.plans.get(p.name) == p else p for p in settings.plans
        }
        self.unit_latency = {name: value for name, value in self.unit_latency.items() if name in known}
        self.times_left = {name: recent for name, recent in self.times_left.items() if name in unchanged}
        self.groups = {key: group for key, group in self.groups.items() if key[0] in classes}
        self._choose_subset()

    # --- Upgrades ------------------------------------------------------------------------------------------

    def hand_over(self) -> dict[str, object]:
        """The state for the process that takes over; this one stops spending quotas, ceilings and budgets."""
        self.handed_over = True
        for quota in self.customer_quotas.values():
            self._refill(quota)
        state = {
            "own": {key: getattr(self, attribute) for key, attribute in HANDOVER_FIELDS.items()},
            "latency": dict(self.unit_latency),
            "hosts": {
                s.name: [getattr(s, name) for name in HANDOVER_SERVER_FIELDS] for s in self.servers.values()
            },
            "uses": {
                customer: [
                    quota.plan.name,
                    quota.window,
                    quota.counter_name,
                    quota.total,
                    quota.open_requests + quota.predecessor_requests,
                    *(getattr(quota, name) for name in HANDOVER_QUOTA_FIELDS),
                ]
                for customer, quota in self.customer_quotas.items()
            },
        }
        for quota in self.customer_quotas.values():
            quota.reported = quota.used  # the next process reports the rest
        return state

    def _on_taken_over(self, state: dict[str, object] | None) -> None:
        """Continue from another process's state, or from none if it is absent or invalid.

        Without it, this gateway's parts of quotas and ceilings fill from empty as after a restart: from now,
        not from this process's start, because the other process spent them until now.
        """
        self.started_at = self.now
        if state is None:
            return
        try:
            own = {attribute: _finite_number(state["own"][key]) for key, attribute in HANDOVER_FIELDS.items()}
            latency = {
                name: _finite_number(v) for name, v in state["latency"].items() if name in self.classes
            }
            servers = {
                name: [_finite_number(v) for v in values]
                for name, values in state["hosts"].items()
                if len(values) == len(HANDOVER_SERVER_FIELDS)
            }
            quotas = {
                customer: self._restore_quota(values)
                for customer, values in state["uses"].items()
                if values[0] in self.plans
            }
        except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
            self.actions.append(api.Log(f"ignoring invalid state from the previous process: {error!r}"))
            return
        for name, value in own.items():
            setattr(self, name, value)
        self.unit_latency.update(latency)
        for name, values in servers.items():
            server = self.servers.get(name)
            if server is not None and values[0] >= server.started_at:  # otherwise it has restarted since
                for field, value in zip(HANDOVER_SERVER_FIELDS, values, strict=True):
                    setattr(server, field, type(getattr(server, field))(value))
        self.customer_quotas = quotas

    def _restore_quota(self, values: list) -> _CustomerQuota:
        plan, window, name, total, open_requests, *rest = values
        quota = _CustomerQuota(self.plans[plan], 1, self.now, 0.0)
        quota.window, quota.counter_name = int(_finite_number(window)), str(name)
        quota.total = None if total is None else _finite_number(total)
        quota.predecessor_requests = int(_finite_number(open_requests))
        for field, value in zip(HANDOVER_QUOTA_FIELDS, rest, strict=True):
            setattr(quota, field, _finite_number(value))
        quota.gateway_count = max(1, int(quota.gateway_count))
        return quota

    # --- Admission (SiRED) ------------------------------------------------------------------------------

    def _on_request(self, request: api.Request) -> None:
        cls, plan = request.cls or self.classes.get(request.class_name), self.plans.get(request.plan_name)
        if request.id in self.open_requests or request.id in self.waiting_requests:
            return
        if cls is None or plan is None or request.time_left_ms <= 0 or not self.servers:
            reason = "unservable" if self.servers else "no host"
            self.actions.append(api.Refuse(request.id, reason=reason))
            return
        self.unit_latency.setdefault(cls.name, cls.objective_ms / 10)
        deadline_at = self.now + request.time_left_ms
        objective_at = (
            deadline_at
            if cls.late_worth > 0
            else min(self.now + cls.objective_ms - self._time_spent_ms(request, cls), deadline_at)
        )
        if objective_at <= self.now:  # any work would be wasted
            self.actions.append(api.Refuse(request.id, reason="too late"))
            return
        if request.customer not in self.customer_quotas and not self._make_room_for_customer():
            self.actions.append(api.Refuse(request.id, reason="customers"))
            return
        quota = self._quota_of(request, plan)
        # A request with little time left is decided at once: waiting for a total could outlast its deadline.
        if objective_at - self.now > self.settings.count_wait_ms + 2 * SWEEP_MS and self._needs_total(
            quota, request.units
        ):
            if not self._admit(cls, plan, request.units):  # a call would only load the counter
                self._refuse(request, quota, "pressed")
                return
            # The total that settles it arrives within a few milliseconds, so it is not refused at once.
            self.waiting_requests[request.id] = request.customer
            quota.waiting.append((request, cls, objective_at, deadline_at))
            # A reservation counts in everyone's total until it is returned. For a customer whom the fleet
            # mostly refuses, reservations alone would use up the quota, so the total is read without one.
            self._report(
                quota,
                request.customer,
                request.units * (quota.found_share >= MIN_FOUND_SHARE or plan.uses_quota_shares),
                True,
            )
        else:
            self._decide(request, cls, quota, objective_at, deadline_at, False)

    def _time_spent_ms(self, request: api.Request, cls: api.RequestClass) -> float:
        """Time that the client has spent on earlier tries, inferred from its time left.

        Late retries take quota and capacity from requests that can still be in time. First tries share one
        time left; a shorter one is what the class's deadline leaves a retry. A client with a shorter timeout
        of its own looks the same, so this applies only while a third of recent requests agree on one value.
        """
        recent = self.times_left.setdefault(cls.name, deque(maxlen=TRY_SAMPLES))
        recent.append(request.time_left_ms)
        usual = sorted(recent)[len(recent) * 7 // 10]
        if self.settings.marks_retry and not request.is_retry:
            return 0.0  # a first try, with a short timeout of the client's own
        agree = sum(1 for time_left in recent if abs(time_left - usual) <= 0.01 * usual)
        if len(recent) < TRY_SAMPLES // 2 or 3 * agree < len(recent) or request.time_left_ms > 0.99 * usual:
            return 0.0
        return max(cls.deadline_ms - request.time_left_ms, 0.0)

    def _decide(
        self,
        request: api.Request,
        cls: api.RequestClass,
        quota: _CustomerQuota,
        objective_at: float,
        deadline_at: float,
        admitted: bool,
    ) -> None:
        """Send the request or refuse it."""
        plan = quota.plan
        over_quota = not self._quota_allows(quota, request.units)
        if over_quota:
            fits = plan.over_worth > plan.over_cost and self.smoothed_occupancy < OVER_QUOTA_PART * Q_MIN
        else:
            fits = admitted or self._admit(cls, plan, request.units)
        if not fits or not self._ceiling_allows(quota, request.units):
            self._refuse(request, quota, "quota" if over_quota else "ceiling" if fits else "pressed")
            return
        pending = _PendingRequest(
            request,
            cls,
            quota,
            objective_at,
            deadline_at,
            self.unit_latency[cls.name] * max(request.units, 0.0),
            self.settings.try_limit,
        )
        server = self._pick_server(pending) if pending.objective_at > self.now else None
        if server is None:
            self._refuse(request, quota, "quota" if over_quota else "no host")
            return
        self.open_requests[request.id] = pending
        self.retry_budget = min(self.retry_budget + RETRY_RATIO, RETRY_BUDGET_MAX)
        quota.ceiling_tokens -= request.units
        quota.uploading += request.units * pending.is_uploading
        quota.open_requests += 1
        if not over_quota:
            self._spend(quota, request.units)
        self._report(quota, request.customer)
        if self.settings.uses_claim_record and cls.effect == "keyed":
            pending.claim_state = "asked"
            time_left = pending.objective_at - self.now
            wait_ms = max(time_left - self._usual_latency(pending), time_left / 2)
            # The key must outlast any retry by the client; servers count its window from the first send.
            self.actions.append(api.Claim(request.id, cls.window_ms + cls.deadline_ms, wait_ms))
        else:
            self._send(pending, server)

    def _on_claimed(self, event: api.Claimed) -> None:
        """Send the request if it got the key; otherwise answer with what the record knows of the key.

        A key held by another request may have run: that is answered by Fail, as Refuse promises it did not.
        """
        pending = self.open_requests.get(event.request)
        if pending is None or pending.claim_state != "asked" or pending.is_answered:
            return
        pending.claim_state = event.result if event.result == "yours" else ""
        server = (
            self._pick_server(pending) if pending.claim_state and pending.objective_at > self.now else None
        )
        if server is not None:
            self._send(pending, server)
            return
        if event.result != "done":
            self._spend(pending.quota, -pending.request.units)
        self.actions.append(
            api.Recall(pending.request.id)
            if event.result == "done"
            else api.Fail(pending.request.id)
            if event.result == "held"
            else api.Refuse(pending.request.id, reason="no record" if event.result == "silent" else "gave up")
        )
        self._finish(pending)

    def _admit(self, cls: api.RequestClass, plan: api.Plan, units: float) -> bool:
        """SiRED's accumulator: r += f; at 1 or more, subtract 1 and admit."""
        group = self.groups.setdefault((cls.name, plan.name), _AdmissionGroup())
        group.worth_per_ms = cls.worth * plan.worth / max(self.unit_latency[cls.name], 1e-6)
        group.work += self.unit_latency[cls.name] * max(units, 0.0)
        group.accumulator += group.admit_fraction
        if group.accumulator < 1.0 - 1e-9:  # tolerance for rounding in the shares
            return False
        group.accumulator -= 1.0
        return True

    def _refuse(self, request: api.Request, quota: _CustomerQuota, reason: str) -> None:
        over_quota = reason == "quota" and quota.plan.rate > 0
        wait_ms = 1000 * request.units / quota.plan.rate if over_quota else SWEEP_MS / self.admit_fraction
        self.actions.append(
            api.Refuse(
                request.id, min(wait_ms, self.settings.max_retry_after_ms * self.settings.retry_after), reason
            )
        )

    def _sample_occupancy(self, pending: _PendingRequest, attempt: _Attempt, event: api.Outcome) -> None:
        """Add an outcome's occupancy: the part of the objective that it took, or a new request would take."""
        if attempt.sent_at < self.stalled_at or event.result in (
            api.CONNECT_FAILED,
            api.RESET,
            api.CANCELLED,
        ):
            return
        if self._is_outlier(attempt.server):
            return  # left to outlier ejection: a few bad servers must not lower f for all
        q = 1.0
        if event.result in (api.OK, api.ERROR):
            self.ok_occupancy += (
                min(event.took_ms / pending.cls.objective_ms, 1.0) - self.ok_occupancy
            ) / MIN_OUTCOMES
            self.lost_share -= self.lost_share / (4 * MIN_OUTCOMES)
            # A prediction from two or three completions is mostly noise, so it gets little weight.
            predicted_ms = sum(s.in_flight for s in self.servers.values() if not s.ejections) / max(
                self.completion_rate, 1e-9
            )
            weight = 0.5 * min(self.completion_rate * (self.now - self.started_at) / (3 * MIN_OUTCOMES), 1.0)
            q = min((event.took_ms + weight * (predicted_ms - event.took_ms)) / pending.cls.objective_ms, 1.0)
        elif event.result == api.TIMED_OUT and self.ok_occupancy < Q_MIN:
            # Lost answers and single stuck servers look like an overload, but while other answers are fast
            # nothing queues. A real overload is then noticed some answers later.
            self.lost_share += (1 - self.lost_share) / (4 * MIN_OUTCOMES)
            return
        self.occupancy_sum += q
        self.occupancy_samples += 1
        if self.occupancy_samples >= INTERVAL_OUTCOMES:
            self._update_f()

    def _update_f(self) -> None:
        if self.occupancy_samples:
            self.samples_seen += self.occupancy_samples
            weight = (
                min(OCCUPANCY_WEIGHT, self.occupancy_samples / MIN_OUTCOMES)
                if self.samples_seen > MIN_OUTCOMES
                else self.occupancy_samples / self.samples_seen
            )
            self.smoothed_occupancy = (
                1 - weight
            ) * self.smoothed_occupancy + weight * self.occupancy_sum / self.occupancy_samples
            self.occupancy_sum, self.occupancy_samples = 0.0, 0
        elif not self.open_requests:
            # Near F_MIN a gateway with two requests a second has one outcome in ten seconds. Without decay
            # q would stay high long after an overload; with it, a long overload gets more than F_MIN.
            self.smoothed_occupancy *= 1 - SWEEP_MS / max(c.objective_ms for c in self.settings.classes)
        late_attempts = 0
        if self.samples_seen < MIN_OUTCOMES:
            # Outcomes show an overload one objective late, and a new gateway would add to it until then. So
            # attempts open for over Q_MAX of their objective count as occupancy 1, lost answers included.
            late_attempts = sum(
                a.is_running and self.now - a.sent_at > Q_MAX * pending.cls.objective_ms
                for pending in self.open_requests.values()
                for a in pending.attempts
            )
        self.admit_fraction = admission_ramp(
            (MIN_OUTCOMES * self.smoothed_occupancy + late_attempts) / (MIN_OUTCOMES + late_attempts)
        )
        # Groups of low worth per work are shed first; the fractions, weighted by work, add up to f.
        total, share_above = sum(c.work for c in self.groups.values()), 0.0
        for group in sorted(self.groups.values(), key=lambda c: -c.worth_per_ms):
            share = group.work / total if total > 0 else 1.0
            group.admit_fraction = (
                max(F_MIN, min((self.admit_fraction - share_above) / share, 1.0))
                if share > 0
                else self.admit_fraction
            )
            share_above += share
        if self.admit_fraction < 0.9:
            self._log_limited(
                "pressed",
                f"back end overloaded: q {self.smoothed_occupancy:.2f}, admitting {self.admit_fraction:.0%}",
            )

    # --- Quotas and ceiling -----------------------------------------------------------------------------

    def _quota_of(self, request: api.Request, plan: api.Plan) -> _CustomerQuota:
        quota = self.customer_quotas.get(request.customer)
        gateway_count = max(1, min(request.gateway_count, self.settings.fleet_size))
        if quota is not None and quota.plan is not plan and quota.plan.name == plan.name:
            quota.plan = plan  # changed settings: what the customer has used still counts
        if quota is None or quota.plan is not plan:
            if quota is not None:
                self._decide_waiting(quota)
            quota = _CustomerQuota(plan, gateway_count, self.now, self.now - (self.started_at or 0.0))
            quota.ceiling_at = self.started_at or 0.0
        self.customer_quotas.pop(request.customer, None)  # so that they are in the order of their last use
        self.customer_quotas[request.customer] = quota
        quota.gateway_count, quota.seen_at = max(quota.gateway_count, gateway_count), self.now
        if plan.uses_quota_shares:
            quota.counter_name = quota_account_name(plan.name, request.customer)
        elif plan.rate > 0:  # windows start at a phase per customer, to spread the calls
            digest, length = hashlib.blake2s(request.customer.encode(), digest_size=8), self._window_ms(plan)
            window = self.now / length + int.from_bytes(digest.digest()[:2], "big") / 65536
            if int(window) != quota.window:
                name = f"{digest.hexdigest()}.{int(window)}"
                self._start_window(quota, int(window), name, self.now - window % 1 * length)
        return quota

    @staticmethod
    def _window_ms(plan: api.Plan) -> float:
        return min(max(COUNT_WINDOW_BURSTS * 1000.0 * plan.burst / plan.rate, 1.0), COUNT_TTL_MAX_MS / 2)

    def _start_window(self, quota: _CustomerQuota, window: int, name: str, start: float) -> None:
        """Start a new window with a new count; the unused quota is carried over, up to the burst.

        A gateway that rarely sees a customer starts the window late. Its total includes what others used
        since the window began, so what remains is computed as of that time too.
        """
        self.customer_by_counter.pop(quota.counter_name, None)
        self._decide_waiting(quota)
        quota.window, quota.counter_name = window, name
        self._refill(quota, start)
        bound = quota.max_remaining if quota.total is None else max(quota.remaining, 0.0)
        # A count covers its window from the start, so without an earlier total the span starts there too.
        quota.total_at, quota.total_bound = (
            start if quota.total is None else max(start, quota.remaining_at),
            bound,
        )
        quota.used = quota.total_used = quota.used - quota.reported  # the rest is reported in this window
        quota.reported = quota.total_reported = 0.0
        quota.is_calling = False
        quota.total = None if quota.total is None else 0.0

    def _refill(self, quota: _CustomerQuota, at: float | None = None) -> float:
        """Refill and return the remaining quota: rate x time less the other gateways' estimated use."""
        span = max((self.now if at is None else at) - quota.remaining_at, 0.0)
        burst, rate = quota.plan.burst, quota.plan.rate / 1000
        part = min(1.0, (SPLIT_FACTOR if self.admit_fraction >= 1 else 1.0) / quota.gateway_count)
        quota.max_remaining = min(burst, quota.max_remaining + rate * span)
        gain, limit = (0.0, burst * part) if quota.total is None else (rate - quota.others_rate, burst)
        if quota.total is None or self.answer_share < 0.5:  # others' use is unknown: at least an even split
            gain = max(gain, rate * part)
        # Refused requests use nothing, so the others' estimated use never takes it below 0.
        quota.remaining = max(min(limit, quota.remaining + gain * span), min(quota.remaining, 0.0))
        quota.remaining_at += span
        return quota.remaining

    def _needs_total(self, quota: _CustomerQuota, units: float) -> bool:
        """Whether to ask for a total: none was read, or only the estimate may refuse, not the last total."""
        if quota.plan.uses_quota_shares:
            return self.now >= quota.next_share_at and not self._share_allows(quota, units)
        if not self.settings.counter_enabled or quota.plan.rate <= 0 or not self._may_call():
            return False
        deviation = (max(quota.others_rate, 0.0) * (self.now - quota.total_at)) ** 0.5  # of the others' use
        may_fit = self._refill(quota) - deviation < units <= quota.max_remaining
        return quota.total is None or (
            may_fit and self.rng.random() < max(quota.found_share, self.answer_share**THINNING_POWER)
        )

    def _may_call(self) -> bool:
        """Whether to call the counter now: at random, less often the more calls go unanswered.

        The load on the counter comes from the gateways, and calling less helps whether it is slow, silent or
        small. Use that is not reported yet is reported later, and totals get older.
        """
        return self.rng.random() < self.answer_share**THINNING_POWER or self.now > self.called_at + PROBE_MS

    @staticmethod
    def _spend(quota: _CustomerQuota, units: float) -> None:
        quota.share, quota.share_spent = quota.share - units, quota.share_spent + units
        quota.used += units
        quota.remaining -= units
        quota.max_remaining -= units

    def _quota_allows(self, quota: _CustomerQuota, units: float) -> bool:
        plan = quota.plan
        if plan.parallel and (
            self.handed_over
            or quota.open_requests + quota.predecessor_requests
            >= max(1, plan.parallel // quota.gateway_count)
        ):
            return False
        if plan.rate <= 0:
            return True
        if plan.uses_quota_shares:
            return self._share_allows(quota, units)
        if quota.total is None and quota.used == 0:
            return True  # a first request costs little, and its report returns the total
        self._refill(quota)
        if quota.total is None or self.answer_share < 0.5:
            quota.remaining = self._round_randomly(quota.remaining, units)  # a part may be under one unit
        return quota.remaining >= units - 1e-9

    def _share_allows(self, quota: _CustomerQuota, units: float) -> bool:
        """Whether the share granted to this gateway covers the units.

        Invariant: the account debits a share before granting it, and its life starts when it is requested, so
        it expires here before the account grants the unused part to others.
        """
        return self.now < quota.share_until and quota.share >= units - 1e-9 and not self.handed_over

    def _ceiling_allows(self, quota: _CustomerQuota, units: float) -> bool:
        """Whether this gateway's part of the ceiling covers the units: a token bucket, empty at start.

        Invariant: the parts of all gateways (1 / gateway_count of rate and burst) never sum to more than the
        customer's ceiling, whatever happens to messages, counters and clocks: they fill no faster, hold no
        more, and a restart only loses tokens.
        """
        plan = quota.plan
        if plan.ceiling_rate <= 0:
            return True
        if self.handed_over:
            return False
        limit = plan.ceiling_burst / quota.gateway_count - quota.uploading
        gained = (self.now - quota.ceiling_at) * plan.ceiling_rate / 1000 / quota.gateway_count
        quota.ceiling_tokens = min(limit, quota.ceiling_tokens + gained)
        quota.ceiling_at = self.now
        return units <= quota.ceiling_tokens + 1e-9

    def _report(self, quota: _CustomerQuota, customer: str, reserve: float = 0.0, ask: bool = False) -> None:
        """Report use to the counter, in batches that shrink as the customer nears its limit."""
        if quota.plan.uses_quota_shares:
            if ask and not quota.is_calling:
                used = quota.share_spent / max(self.now - quota.call_at, SWEEP_MS) * SHARE_SPAN_MS
                quota.is_calling, quota.call_at, quota.share_spent = True, self.now, 0.0
                quota.share = min(quota.share, 0.0)  # a new request gives up the rest of the last share
                self.customer_by_counter[quota.counter_name] = customer
                wanted = min(reserve + used, quota.plan.burst)
                self.actions.append(
                    api.Count(quota.counter_name, wanted, SHARE_TTL_MS, quota.plan.name, reserve)
                )
            return
        amount = quota.used - quota.reported + reserve  # a reservation that is not used is returned later
        if not self.settings.counter_enabled or quota.plan.rate <= 0 or quota.is_calling:
            return
        if not ask and (
            not amount or 0 < amount * quota.gateway_count < self._refill(quota) or not self._may_call()
        ):
            return
        quota.is_calling, quota.call_at, self.called_at = True, self.now, self.now
        quota.reported += amount
        quota.in_call = amount
        self.customer_by_counter[quota.counter_name] = customer
        self.actions.append(
            api.Count(quota.counter_name, amount, min(2 * self._window_ms(quota.plan), COUNT_TTL_MAX_MS))
        )

    def _on_count_reply(self, reply: api.CountReply) -> None:
        customer = self.customer_by_counter.get(reply.name)
        ok = reply.result == api.OK
        if customer in self.customer_quotas and self.customer_quotas[customer].plan.uses_quota_shares:
            return self._on_share_reply(self.customer_quotas[customer], reply, ok)
        self.answer_share += COUNTER_WEIGHT * (ok - self.answer_share)
        if self.answer_share < 0.5:
            self._log_limited(
                "counter", "counter silent or crowded: calling less, quotas go by our estimates"
            )
        quota = self.customer_quotas.get(customer) if customer is not None else None
        if quota is None or quota.counter_name != reply.name or not quota.is_calling:
            return
        quota.is_calling = False
        if ok:
            self._apply_total(quota, reply.total)
        elif reply.result != api.TIMED_OUT:
            quota.reported -= quota.in_call  # a timed-out call may have counted, so it is not repeated
        self._decide_waiting(quota)
        if ok:
            self._report(quota, customer)

    def _on_share_reply(self, quota: _CustomerQuota, reply: api.CountReply, ok: bool) -> None:
        """Take a granted share; without an answer, the floor that an unreachable account allows once."""
        if not quota.is_calling or quota.counter_name != reply.name:
            return
        quota.is_calling = False  # a negative share is debt: answers that cost more than estimated
        if ok:
            quota.share, quota.share_until = quota.share + reply.total, quota.call_at + SHARE_TTL_MS
        elif not quota.floor_used:
            quota.share, quota.share_until = quota.share + quota.plan.floor, self.now + quota.plan.floor_ms
        quota.floor_used = not ok
        if not ok or reply.total <= 0:  # none granted: wait until one unit has refilled
            quota.next_share_at = self.now + max(SWEEP_MS, 1000 / quota.plan.rate)
        self._decide_waiting(quota)

    def _decide_waiting(self, quota: _CustomerQuota) -> None:
        """Decide the requests that waited for a total or a share."""
        waiting, quota.waiting = quota.waiting, []
        if waiting:  # limits calls for a customer over quota, whom all gateways would ask for
            found = quota.remaining >= waiting[0][0].units
            quota.found_share = max(
                quota.found_share + COUNTER_WEIGHT * (found - quota.found_share), 1 / quota.gateway_count
            )
        for request, cls, objective_at, deadline_at in waiting:
            if self.waiting_requests.pop(request.id, None) is not None:
                self._decide(request, cls, quota, objective_at, deadline_at, True)

    def _apply_total(self, quota: _CustomerQuota, total: float) -> None:
        """Apply a counter total: deduct what the others used since the last one."""
        span = max(self.now - quota.total_at, 1.0)
        others = total - (quota.total or 0.0) - (quota.reported - quota.total_reported)
        self._refill(quota)
        if total >= quota.reported - 1e-6 and others >= -1e-6:
            gain = quota.plan.rate * span / 1000
            estimate = quota.total_bound + gain - others - (quota.used - quota.total_used)
            if quota.total is None:
                # How full the quota was at the start of the window is unknown. If the others used all that it
                # gained since, it was probably empty; a longer window makes that more certain.
                certainty = min(gain / quota.plan.burst, 1.0) if quota.plan.burst > 0 else 1.0
                estimate += certainty * (quota.plan.burst * max(1 - others / gain, 0.0) - estimate)
            # Use beyond the quota took nothing from it, so it must not become a debt.
            quota.remaining = quota.max_remaining = max(min(estimate, quota.max_remaining), 0.0)
            keep = OTHERS_EWMA_MS / (OTHERS_EWMA_MS + span)
            quota.others_rate = keep * quota.others_rate + (1 - keep) * others / span
        # Otherwise the counter lost its counts: the estimate stays, and counting continues from this total.
        quota.total, quota.total_reported, quota.total_used = total, quota.reported, quota.used
        quota.total_bound, quota.total_at = quota.max_remaining, self.now

    # --- Server choice and health ------------------------------------------------------------------------

    def _warm_fraction(self, server: _ServerState) -> float:
        """Slow start: the smallest part of its capacity that a server may have at its age, 1.0 once warm."""
        age_ms = self.now - server.cold_from_ms
        if not server.cold_from_ms or age_ms >= self.settings.cold_ms or self.settings.cold_ms <= 0:
            return 1.0
        return (
            self.settings.cold_from + (1 - self.settings.cold_from) * max(age_ms, 0.0) / self.settings.cold_ms
        )

    def _cold_budget_allows(self, server: _ServerState, warm_fraction: float, work: float) -> bool:
        """Whether this gateway's part of a cold server's budget covers `work`.

        The part is what this gateway sends to a warm server, times the warm fraction, so all parts add up to
        what the fleet may send. Parts under one request are rounded at random: rounded up they would overload
        the server, rounded down leave it idle. A gateway without a rate yet sends single requests only.
        """
        if self.handed_over:
            return False
        if self.warm_rate <= 0:
            return server.in_flight == 0 and self.rng.random() * self.server_gateways < 1
        multiple, is_recent = (
            COLD_BUDGET_SHARE * self.settings.fall_multiple,
            self.now - REPORT_MAX_AGE_MS < server.utilization_at,
        )
        is_idle = (
            is_recent and server.utilization_at > server.cold_from_ms and server.utilization < LOW_UTILIZATION
        )
        rate = (multiple if is_idle else min(multiple, 1.0)) * warm_fraction * self.warm_rate
        span = self.now - max(server.cold_tokens_at, server.cold_from_ms)
        server.cold_tokens = min(server.cold_tokens + rate * span, rate * self.settings.tip_after_ms / 2)
        server.cold_tokens_at = self.now
        server.cold_tokens = self._round_randomly(server.cold_tokens, work)
        return server.cold_tokens >= work

    def _round_randomly(self, part: float, whole: float) -> float:
        """Round a part under `whole` to 0 or `whole` at random, which keeps the mean over all gateways."""
        if part >= whole or part <= 0:
            return part
        return whole if self.rng.random() * whole < part else 0.0

    def _pick_server(self, pending: _PendingRequest) -> _ServerState | None:
        """Choose a server: a cold one within budget, else the least loaded; ejected ones get lone trials."""
        if not self._may_send(pending):
            return None
        best, best_score, ejected, costly = None, 0.0, [], self.settings.handshake > 0
        tried = [a.server for a in pending.attempts]
        may_have_run = [a for a in pending.attempts if a.may_have_run] if pending.cls.effect != "safe" else []
        for server in self.servers.values():
            if not server.is_up or (may_have_run and not self._may_repeat_on(pending, may_have_run, server)):
                continue
            warm_fraction = self._warm_fraction(server) if server.cold_from_ms else 1.0
            in_subset = server.rank < self.server_gateways
            if not in_subset and (warm_fraction < 1 or server.ejections):
                continue  # trials and cold budgets belong to the gateways of its subset
            if warm_fraction < 1 and (
                pending.is_uploading or not self._cold_budget_allows(server, warm_fraction, pending.work)
            ):
                continue  # its work would come at a later time than budgeted
            if server.ejections:
                if server in tried:
                    continue
                if server.in_flight or self.now < server.ejected_until:
                    ejected.append(server)
                    continue
                if pending.cls.effect != "safe":
                    continue
                return server  # ejection time is over: one safe request tries it
            if warm_fraction < 1:
                return server
            # Latency mostly reflects what other gateways send; in full weight it would draw all of them to
            # one server. No zone is preferred: uneven traffic would overload the servers of one zone.
            score = (server.in_flight + 1) * server.latency_ratio**0.5 / server.capacity
            score *= (1 + SCORE_JITTER * self.rng.random()) * (1 if in_subset else OUTSIDE_FACTOR)
            if costly and not (server.idle_conns and self.now < server.idle_until):
                # Among equal servers each choice would open a connection, at the server's cost. The factor
                # is small enough that a difference of one open request outweighs it.
                score *= 1 + SCORE_JITTER
            if server in tried:
                score *= 4
            if best is None or score < best_score:
                best, best_score = server, score
        return best if best is not None else min(ejected, key=lambda s: s.ejected_until, default=None)

    def _is_outlier(self, server: _ServerState) -> bool:
        """Whether a server is worse than the others; if most are slow or ejected, admission acts instead."""
        return server.latency_ratio > OUTLIER_RATIO * self.median_ratio or (
            server.ejections > 0 and not self.most_ejected
        )

    def _update_health(self, pending: _PendingRequest, server: _ServerState, event: api.Outcome) -> None:
        """Update a server's health and latency by an outcome."""
        usual = self._usual_latency(pending)
        if "util" in event.load_report:
            server.utilization, server.utilization_at = event.load_report["util"], self.now
        if event.result == api.OK:
            if server.maybe_restarted:
                # A restarted server is cold, and the list of servers says so only much later.
                server.cold_from_ms, server.maybe_restarted = max(server.cold_from_ms, self.now), False
            server.failures = server.ejections = 0
            server.latency_ratio += EWMA_WEIGHT * (min(event.took_ms / usual, 20.0) - server.latency_ratio)
            units = max(event.billed_units or pending.request.units, 1e-6)
            self.unit_latency[pending.cls.name] += (
                EWMA_WEIGHT / 4 * (event.took_ms / units - self.unit_latency[pending.cls.name])
            )
            self.completions += 1
        elif event.result == api.CONNECT_FAILED and pending.is_uploading and not event.nothing_sent:
            self._count_failure(server)  # a long upload may break without a fault of the server
        elif event.result == api.CONNECT_FAILED:
            # A connection may also fail in the network; a restart is assumed if the next trial fails too.
            server.maybe_restarted = server.maybe_restarted or (
                server.ejections > 0 and self.now >= server.ejected_until
            )
            self._eject(server)
        elif event.result == api.RESET:
            # One connection may break in the network. A server that crashed breaks all of its connections
            # and accepts no new ones, which reaches the limit of consecutive failures.
            self._count_failure(server)
        elif event.result in (api.ERROR, api.TIMED_OUT, api.FULL):
            server.latency_ratio += EWMA_WEIGHT * (
                min(max(pending.cls.objective_ms / usual, 2.0), 20.0) - server.latency_ratio
            )
            is_failure = event.result == api.TIMED_OUT and self._is_outlier(server)
            self._count_failure(server, is_failure or event.result == api.ERROR)

    def _count_failure(self, server: _ServerState, is_counted: bool = True) -> None:
        server.failures += is_counted
        if server.ejections or server.failures >= EJECTION_FAILURES:
            self._eject(server)

    def _eject(self, server: _ServerState) -> None:
        if server.ejections and self.now < server.ejected_until:
            return
        server.ejected_until = self.now + min(BACKOFF_MS * 2**server.ejections, BACKOFF_MAX_MS)
        server.ejections = min(server.ejections + 1, 10)
        self._log_limited("host", f"{server.name} is failing: ejecting it")

    # --- Attempts and final answers -----------------------------------------------------------------------

    def _may_send(self, pending: _PendingRequest) -> bool:
        """Whether one more attempt is allowed, at whatever server."""
        if len(pending.attempts) >= pending.attempt_limit or pending.is_answered or pending.is_streaming:
            return False
        if not self.settings.second_copies and any(a.is_open for a in pending.attempts):
            return False
        # A body that is not buffered cannot be sent again.
        return pending.request.body_is_buffered or not any(a.may_have_sent for a in pending.attempts)

    def _may_repeat_on(
        self, pending: _PendingRequest, may_have_run: list[_Attempt], server: _ServerState
    ) -> bool:
        """Whether a request that may have run elsewhere may be repeated here, by its class's effect."""
        if pending.cls.effect == "unsafe":
            return False
        if self._key_time_left(pending) < 0:
            return False
        scope = pending.cls.key_scope
        return scope == "all" or all(
            a.server.zone == server.zone and (scope == "zone" or a.server.cell == server.cell)
            for a in may_have_run
        )

    def _key_time_left(self, pending: _PendingRequest) -> float:
        """How long servers still remember the request's key, from the first attempt that may have run.

        The caller passes it on as the start deadline: a repeat may wait for a connection past the window.
        """
        if pending.cls.effect != "keyed":
            return math.inf
        sent_at = next((a.sent_at for a in pending.attempts if a.may_have_run), math.inf)
        return pending.cls.window_ms - 2 * self.settings.tick_ms - (self.now - sent_at)

    def _send(self, pending: _PendingRequest, server: _ServerState) -> None:
        """Start an attempt that times out when it is late, or earlier when a retry is more promising.

        An answer that never arrives, for a lost packet or a stuck server, costs the whole objective. While
        answers get lost beside fast ones, repeatable requests time out early, at the expense of long jobs.
        """
        timeout_ms = max(
            pending.objective_at - self.now - self.settings.tick_ms, min(1.0, pending.deadline_at - self.now)
        )
        early_ms = max(timeout_ms / 2, EARLY_TIMEOUT * self._usual_latency(pending))
        if (
            self.lost_share > MAX_LOST_SHARE
            and pending.request.body_is_buffered
            and pending.cls.effect != "unsafe"
            and self.retry_budget >= 1
            and len(pending.attempts) + 1 < pending.attempt_limit
            and early_ms + self._usual_latency(pending) < timeout_ms
        ):
            timeout_ms = early_ms
        self.actions.append(
            api.Send(pending.request.id, server.name, timeout_ms, self._key_time_left(pending))
        )
        attempt = _Attempt(server)
        server.idle_conns = max(server.idle_conns - 1, 0) if self.now < server.idle_until else 0
        pending.attempts.append(attempt)
        if not pending.is_uploading:
            attempt.start(self.now)
        if self._warm_fraction(server) < 1:
            server.cold_tokens -= pending.work
        else:
            self.warm_work += pending.work

    def _give_up(self, pending: _PendingRequest) -> None:
        """Give the final answer to a request that will not be served."""
        may_have_run = any(a.may_have_run for a in pending.attempts)  # Refuse promises that it did not run
        self.actions.append(
            api.Fail(pending.request.id) if may_have_run else api.Refuse(pending.request.id, reason="gave up")
        )
        self._finish(pending)

    def _finish(self, pending: _PendingRequest | None) -> None:
        """Send no more attempts, cancel the open ones, and drop the request once all have ended."""
        if pending is None:
            return
        open_attempts = [i for i, a in enumerate(pending.attempts) if a.is_open]
        if self.settings.cancel and not pending.is_streaming and not pending.is_answered:
            self.actions.extend(api.Cancel(pending.request.id, i) for i in open_attempts)
        pending.is_answered = True
        if not open_attempts:
            self._end_upload(pending)
        if not open_attempts and self.open_requests.pop(pending.request.id, None) is not None:
            pending.quota.open_requests -= 1
            if pending.claim_state and not any(a.may_have_run for a in pending.attempts):
                self.actions.append(api.Release(pending.request.id))

    def _find_open(self, event: api.Outcome | api.StreamStarted) -> tuple[_PendingRequest, _Attempt] | None:
        """The request and attempt of an event; None if that attempt has ended or never existed."""
        pending = self.open_requests.get(event.request)
        if pending is None or not 0 <= event.attempt < len(pending.attempts):
            return None
        attempt = pending.attempts[event.attempt]
        return (pending, attempt) if attempt.is_open else None

    def _on_stream_started(self, event: api.StreamStarted) -> None:
        found = self._find_open(event)
        if found is None or found[0].is_streaming:
            return
        pending, attempt = found
        pending.is_streaming = True
        # From here on the time depends on how fast the client reads, not on the server's load.
        attempt.stop()
        self._record_result(
            pending,
            attempt,
            api.Outcome(event.request, event.attempt, attempt.server.name, api.OK, event.took_ms, False),
        )
        if self.settings.cancel:
            self.actions.extend(
                api.Cancel(pending.request.id, i)
                for i, a in enumerate(pending.attempts)
                if a.is_open and i != event.attempt
            )

    def _on_uploaded(self, pending: _PendingRequest | None) -> None:
        if pending is not None and pending.is_uploading:
            self._end_upload(pending)
            pending.attempts[-1].start(self.now)

    @staticmethod
    def _end_upload(pending: _PendingRequest) -> None:
        pending.quota.uploading -= pending.request.units * pending.is_uploading
        pending.is_uploading = False

    def _on_outcome(self, event: api.Outcome) -> None:
        found = self._find_open(event)
        if found is None:
            return
        pending, attempt = found
        attempt.is_open = False
        attempt.stop()
        attempt.may_have_run = event.result not in api.NEVER_RAN
        attempt.may_have_sent = not event.nothing_sent
        if event.result in (api.OK, api.ERROR, api.FULL):  # the connection is idle again
            attempt.server.idle_conns += 1
            attempt.server.idle_until = self.now + IDLE_CONN_SHARE * self.settings.idle_ms
        elif event.result == api.CONNECT_FAILED:
            attempt.server.idle_conns = 0
        if event.result != api.START_EXPIRED and not (pending.is_streaming and event.result == api.OK):
            self._record_result(pending, attempt, event)
        if attempt.may_have_sent:
            self._end_upload(pending)
        if event.result == api.OK and event.billed_units > 0 and pending.quota.plan.rate > 0:
            self._spend(pending.quota, event.billed_units - pending.request.units)
            self._report(pending.quota, pending.request.customer)
        if event.final or event.result == api.OK or pending.is_answered:
            self._finish(pending)
        elif not any(a.is_open for a in pending.attempts) and not self._retry(pending, event.result):
            self._give_up(pending)

    def _record_result(self, pending: _PendingRequest, attempt: _Attempt, event: api.Outcome) -> None:
        """Update admission and the server's health by the end of its work."""
        self._sample_occupancy(pending, attempt, event)
        self._update_health(pending, attempt.server, event)

    def _usual_latency(self, pending: _PendingRequest) -> float:
        return self.unit_latency[pending.cls.name] * max(pending.request.units, 1e-6)

    def _retry(self, pending: _PendingRequest, result: str) -> bool:
        """Start another attempt if it can still be in time and the retry budget allows it.

        Retries of attempts that reached no server are free: with most servers gone, failed connections would
        use up the budget, and requests that the next server could take would be given up.
        """
        cost = result not in (api.CONNECT_FAILED, api.START_EXPIRED)
        if self.retry_budget < cost or pending.objective_at - self.now <= max(
            self._usual_latency(pending), 2 * self.settings.tick_ms
        ):
            return False
        server = self._pick_server(pending)
        if server is not None:
            self.retry_budget -= cost
            self._send(pending, server)
        return server is not None

    # --- Timers -------------------------------------------------------------------------------------------

    def _on_sweep(self) -> None:
        span = max(self.now - self.sweep_due + SWEEP_MS, 1.0)
        # A low rate needs a longer time constant, so that it covers several outcomes.
        time_constant = max(RATE_EWMA_MS, 3 * MIN_OUTCOMES / max(self.completion_rate, 1e-9))
        time_constant = min(time_constant, self.now - self.started_at)
        keep = time_constant / (time_constant + span)
        self.completion_rate = keep * self.completion_rate + (1 - keep) * self.completions / span
        self._choose_subset()
        subset = [s for s in self.servers.values() if s.is_up and not s.ejections and self._in_subset(s)]
        self.subset_capacity = max(sum(s.capacity for s in subset), 1e-6)
        ratios = sorted(s.latency_ratio for s in self.servers.values() if s.is_up)
        self.median_ratio = max(ratios[len(ratios) // 2], 1.0) if ratios else 1.0
        self.most_ejected = 2 * sum(1 for s in self.servers.values() if s.is_up and s.ejections) > len(ratios)
        warm_servers = sum(1 for s in subset if self._warm_fraction(s) >= 1)
        if warm_servers:
            self.warm_rate = keep * self.warm_rate + (1 - keep) * self.warm_work / span / warm_servers
        self.completions = self.warm_work = 0.0
        for group in self.groups.values():
            group.work *= keep
        self._update_f()
        for quota in [u for u in self.customer_quotas.values() if u.waiting]:
            if self.now - quota.call_at > self.settings.count_wait_ms + SWEEP_MS:  # the reply is lost
                quota.is_calling = quota.plan.uses_quota_shares  # a late share is still usable
                self._decide_waiting(quota)
        for customer in [c for c, u in self.customer_quotas.items() if self._can_forget(u)]:
            self.customer_by_counter.pop(self.customer_quotas.pop(customer).counter_name, None)
        self.sweep_due = self.now + SWEEP_MS
        self.actions.append(api.Timer("sweep", SWEEP_MS))

    def _can_forget(self, quota: _CustomerQuota, windows: float = FORGET_AFTER_WINDOWS) -> bool:
        idle_ms, plan = self.now - quota.seen_at, quota.plan
        window_ms = self._window_ms(plan) if plan.rate > 0 else RATE_EWMA_MS
        if quota.open_requests or quota.waiting or idle_ms < windows * window_ms:
            return False
        # A dropped ceiling part would fill again from this process's start: only a full one is dropped.
        return plan.ceiling_rate <= 0 or idle_ms * plan.ceiling_rate >= 1000 * plan.ceiling_burst

    def _make_room_for_customer(self) -> bool:
        """Drop a customer that was idle for long if there are too many; False if none can be dropped."""
        if len(self.customer_quotas) < self.settings.max_customers:
            return True
        for customer in list(itertools.islice(self.customer_quotas, FORGET_CANDIDATES)):
            if self._can_forget(self.customer_quotas[customer], windows=0.0):
                self.customer_by_counter.pop(self.customer_quotas.pop(customer).counter_name, None)
                return True
        return False

    def _log_limited(self, cause: str, text: str) -> None:
        if self.now - self.logged_at.get(cause, -1e9) >= 5000:
            self.logged_at[cause] = self.now
            self.actions.append(api.Log(text))
