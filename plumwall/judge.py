"""Checks the records of a run against its generated world: the five rules, the worth of the service, prices.

The rules and the figures are those of the protocol between gateways, servers and clients. The judge knows
what no gateway can know: every attempt at every server, and the exact state of every customer's token bucket.
It only reads records and the world, so it checks emulated and simulated runs alike.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from msgspec import Struct

from plumwall import records as r
from plumwall.scenario import Class, Scenario
from plumwall.world.generator import FirstTry, GeneratedWorld
from plumwall.world.quota import TokenBucket
from plumwall.world.server import ERROR, NEVER_RAN, SERVED

# Length and step of the windows of Service.worst_window.
SERVICE_WINDOW_MS, SERVICE_WINDOW_STEP_MS = 10_000.0, 1_000.0
MAX_UNANSWERED_SHARE = 1 / 200  # of the tries: those whose new connection may be closed without an answer
BILLED, SENT, ASKED = range(3)  # events of a quota, in the order in which those of one moment count
MAX_FINDINGS_PER_RULE = 50  # findings of one rule that are kept; further ones are only counted
SERVED_STATUS, REFUSED_STATUS = frozenset((200,)), frozenset((429, 503))
REQUESTS, EFFECTS, DRAINS, COLD, CEILINGS, FAULTS = (
    "requests",
    "effects",
    "drains",
    "cold",
    "ceilings",
    "faults",
)


class Finding(Struct, frozen=True):
    """One breach of a rule."""

    rule: str
    at_ms: float
    what: str
    request: str = ""
    server: str = ""
    gateway: str = ""

    def line(self) -> str:
        """The finding as one line of text."""
        where = " ".join(
            f"{name} {value}"
            for name, value in (("request", self.request), ("server", self.server), ("gateway", self.gateway))
            if value
        )
        return f"{self.rule}: at {self.at_ms / 1000:.3f} s {self.what} ({where})"


class Service(Struct, frozen=True):
    """Worth answered in time as a share of the worth asked for within the quotas, and the parts of `figure`.

    `figure` is the weighted sum of `whole`, `worst_window` and `worst_plan` less all prices.
    """

    whole: float
    worst_window: float
    worst_window_from_s: float
    worst_plan: float
    plans: dict[str, float]
    classes: dict[str, float]
    prices: dict[str, float]
    losses: dict[str, float]  # by cause, the share of the worth asked for that was not answered in time
    figure: float


class Verdict(Struct, frozen=True):
    """The result of a run: whether the rules were kept, the service, plain counts."""

    kept: bool
    findings: list[Finding]
    breaches: dict[str, int]  # number by rule, with those that `findings` leaves out
    service: Service
    counts: dict[str, float]


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at a server."""

    arrived: r.Arrived
    ended: r.Ended | None = None

    def in_flight_until_ms(self) -> float:
        """Time at which it ended, ms; infinity if it did not."""
        return float("inf") if self.ended is None else self.ended.at

    def may_have_run(self) -> bool:
        """Whether a server may have run it, as far as its gateway knows: no answer says otherwise."""
        return self.ended is None or not (self.ended.told and self.ended.result in NEVER_RAN)


@dataclass(slots=True)
class Try:
    """One try of a client, to which a gateway must give one final answer."""

    asked: r.Asked
    first: FirstTry
    answered: r.Answered | None = None
    attempts: list[Attempt] = field(default_factory=list)
    within_quota: bool = False  # its quota had room when its first attempt was sent
    had_room: bool = False  # for a try with no attempt: its quota had room when it was asked

    def status(self) -> int:
        """HTTP status of its answer; 0 if it had no complete one."""
        whole = self.answered is not None and self.answered.how == r.COMPLETE
        return self.answered.status if whole else 0

    def served(self) -> bool:
        """Whether it was answered with success."""
        return self.status() in SERVED_STATUS


class Findings:
    """Findings, counted by rule and kept up to a limit."""

    def __init__(self) -> None:
        self.listed: list[Finding] = []
        self.counts: dict[str, int] = defaultdict(int)

    def add(
        self, rule: str, at: float, what: str, request: str = "", server: str = "", gateway: str = ""
    ) -> None:
        """Add a finding at a time in ms."""
        self.counts[rule] += 1
        if self.counts[rule] <= MAX_FINDINGS_PER_RULE:
            self.listed.append(Finding(rule, round(at, 3), what, request, server, gateway))


class Judge:
    """Checks one run: builds its tries and attempts from the records, then applies every rule."""

    def __init__(self, world: GeneratedWorld, records: Sequence[r.Record]) -> None:
        self._world, self._scenario = world, world.scenario
        self._tolerance_ms = world.scenario.rules.socket_ms
        self._records: dict[type, list] = defaultdict(list)
        for record in records:
            self._records[type(record)].append(record)
        self.findings = Findings()
        self.tries: dict[str, Try] = {}
        self._not_accepted: list[r.Answered] = []  # answers to tries that no gateway accepted
        # Sent again because an idle connection closed while the request was written.
        self._resent: list[r.Asked] = []
        self._servers = {server.name: server for server in world.servers}
        self._build_tries()

    def verdict(self) -> Verdict:
        """Apply all rules and compute all figures."""
        for rule in (
            self._check_requests,
            self._check_effects,
            self._check_drains,
            self._check_cold,
            self._check_ceilings,
            self._check_faults,
        ):
            rule()
        service = ServiceScore(
            self._scenario, self._world, self.tries, self._records, self._not_accepted
        ).service()
        found = self.findings
        return Verdict(
            not found.counts,
            sorted(found.listed, key=lambda f: f.at_ms),
            dict(found.counts),
            service,
            self._counts(),
        )

    def _build_tries(self) -> None:
        for asked in self._records[r.Asked]:
            if asked.id in self.tries:
                self._resent.append(asked)
            else:
                self.tries[asked.id] = Try(asked, self._world.first_tries[asked.first])
        for answered in self._records[r.Answered]:
            if answered.id in self.tries:
                self.tries[answered.id].answered = answered
            elif answered.how in (r.REFUSED, r.NOT_SENT):
                self._not_accepted.append(answered)
            elif answered.how == r.EXTRA_BYTES:
                self.findings.add(
                    REQUESTS,
                    answered.at,
                    "said something where nothing was asked",
                    gateway=answered.gateway,
                )
        attempts_at: dict[tuple[str, str], list[Attempt]] = defaultdict(list)
        for record in sorted([*self._records[r.Arrived], *self._records[r.Ended]], key=_record_order):
            if isinstance(record, r.Arrived):
                attempt = Attempt(record)
                attempts_at[record.id, record.server].append(attempt)
                if record.id in self.tries:
                    self.tries[record.id].attempts.append(attempt)
                else:
                    self.findings.add(
                        EFFECTS,
                        record.at,
                        "an attempt whose id no client sent",
                        record.id,
                        record.server,
                        record.gateway,
                    )
            else:
                unended = [a for a in attempts_at[record.id, record.server] if a.ended is None]
                if unended:
                    unended[0].ended = record

    # --- Rules ----------------------------------------------------------------------------------------

    def _check_requests(self) -> None:
        """Each request that a running gateway accepted gets one final answer, in time."""
        kills = GatewayKills(self._records[r.GatewayIs], self._tolerance_ms)
        overdue_ms = self._scenario.rules.overdue_ms + self._tolerance_ms
        for client_try in self.tries.values():
            asked, end = client_try.asked, client_try.answered
            if end is None or end.how in (r.CLIENT_LEFT, r.REFUSED):
                continue
            was_killed = kills.killed_between(asked.gateway, asked.at, end.at)
            late_ms = end.at - asked.at - asked.left_ms
            if end.how == r.COMPLETE:
                if late_ms > overdue_ms:
                    self._add_request_finding(client_try, f"was answered {late_ms:.0f} ms after its time")
            elif end.how == r.WRONG_BODY:
                self._add_request_finding(client_try, "was served with what no server made")
            elif end.how == r.CLOSED and not was_killed and (client_try.attempts or not asked.fresh):
                self._add_request_finding(client_try, "lost its connection with no answer")
            elif end.how == r.TIMED_OUT and not was_killed:
                self._add_request_finding(client_try, f"had no answer {late_ms:.0f} ms after its time")

        for resent in self._resent:
            client_try = self.tries[resent.id]
            was_sent_on = bool(client_try.attempts) and _first_sent_ms(client_try) < resent.at
            if was_sent_on and not kills.killed_between(resent.gateway, client_try.asked.at, resent.at):
                self.findings.add(
                    REQUESTS,
                    resent.at,
                    "lost its connection after it was sent on",
                    resent.id,
                    gateway=resent.gateway,
                )
        unanswered = [
            t
            for t in self.tries.values()
            if t.answered is not None
            and t.answered.how == r.CLOSED
            and not t.attempts
            and not kills.killed_between(t.asked.gateway, t.asked.at, t.answered.at)
        ]
        if len(unanswered) > len(self.tries) * MAX_UNANSWERED_SHARE:
            self._add_request_finding(
                unanswered[-1],
                f"was one of {len(unanswered)} whose new connection was closed with no answer",
            )

    def _add_request_finding(self, client_try: Try, what: str) -> None:
        self.findings.add(
            REQUESTS, client_try.answered.at, what, client_try.asked.id, gateway=client_try.asked.gateway
        )

    def _check_effects(self) -> None:
        """What may have run is repeated only as its class allows, and is not answered as refused."""
        for client_try in self.tries.values():
            cls = self._scenario.classes[client_try.first.cls]
            for i, attempt in enumerate(client_try.attempts):
                self._check_repeat(cls, client_try, client_try.attempts[:i], attempt)
            if len(client_try.attempts) > self._scenario.fleet.max_attempts:
                self._add_effect_finding(
                    client_try.attempts[-1],
                    f"was attempt {len(client_try.attempts)} of a request",
                )
            ran = [a for a in client_try.attempts if a.may_have_run()]
            strict = cls.effect == "unsafe" or (cls.effect == "keyed" and cls.group != "all")
            if client_try.status() in REFUSED_STATUS and strict and ran:
                self._add_effect_finding(ran[0], "may have run, and its request was refused")

    def _check_repeat(self, cls: Class, client_try: Try, before: list[Attempt], attempt: Attempt) -> None:
        now = attempt.arrived.at
        if any(a.in_flight_until_ms() > now + self._tolerance_ms for a in before):
            self._add_effect_finding(attempt, "was sent while another attempt was out")
            return
        ran = [a for a in before if a.may_have_run()]
        if not ran or cls.effect == "safe":
            return
        if cls.effect == "unsafe":
            self._add_effect_finding(attempt, "was sent again after an attempt that may have run")
        elif now - ran[0].arrived.began > cls.window_ms + self._tolerance_ms:
            self._add_effect_finding(attempt, "was sent again after its key was forgotten")
        elif any(not self._share_keys(cls, a.arrived.server, attempt.arrived.server) for a in ran):
            self._add_effect_finding(attempt, "was sent again to where its key is not known")

    def _share_keys(self, cls: Class, server: str, other: str) -> bool:
        a, b = self._servers[server], self._servers[other]
        return cls.group == "all" or (a.zone == b.zone if cls.group == "zone" else a.cell == b.cell)

    def _add_effect_finding(self, attempt: Attempt, what: str) -> None:
        a = attempt.arrived
        self.findings.add(EFFECTS, a.at, what, a.id, a.server, a.gateway)

    def _check_drains(self) -> None:
        """No attempt begins more than drain_ms after its gateway learns that the server drains or is gone."""
        knowledge = LifecycleKnowledge(self._records[r.Told])
        limit_ms = self._scenario.rules.drain_ms + self._tolerance_ms
        for attempt in self._records[r.Arrived]:
            since = knowledge.unavailable_since_ms(attempt.gateway, attempt.server, attempt.began)
            if since is not None and attempt.began - since > limit_ms:
                self.findings.add(
                    DRAINS,
                    attempt.began,
                    f"was sent {attempt.began - since:.0f} ms after its gateway was told",
                    attempt.id,
                    attempt.server,
                    attempt.gateway,
                )

    def _check_cold(self) -> None:
        """No cold server falls over under load from gateways that had been told of its start.

        It is a breach if they sent two thirds or more of the work that arrived in the fall_ms before it.
        """
        knowledge = LifecycleKnowledge(self._records[r.Told])
        sent: dict[str, list[r.Arrived]] = defaultdict(list)
        for arrived in self._records[r.Arrived]:
            sent[arrived.server].append(arrived)
        for fallen in (s for s in self._records[r.ServerIs] if s.state == "fallen"):
            span = [
                a
                for a in sent[fallen.server]
                if fallen.at - self._scenario.rules.fall_ms <= a.at <= fallen.at
            ]
            known_ms = sum(a.work_ms for a in span if knowledge.knows_last_start(a.gateway, a.server, a.at))
            work_ms = sum(a.work_ms for a in span)
            if work_ms and known_ms >= work_ms * 2 / 3:
                busiest = max(
                    {a.gateway for a in span}, key=lambda g: sum(a.work_ms for a in span if a.gateway == g)
                )
                self.findings.add(
                    COLD,
                    fallen.at,
                    f"fell over under {work_ms:.0f} ms of work, {known_ms:.0f} of it by gateways that knew",
                    server=fallen.server,
                    gateway=busiest,
                )

    def _check_ceilings(self) -> None:
        """All gateways together send on for a customer no more than its plan's ceiling and slack."""
        buckets: dict[int, TokenBucket] = {}
        for client_try in sorted((t for t in self.tries.values() if t.attempts), key=_first_sent_ms):
            customer = client_try.first.customer
            plan = self._world.plans[self._world.customers[customer].plan]
            if not plan.ceiling_rate:
                continue
            bucket = buckets.setdefault(customer, TokenBucket.full(plan.ceiling_rate, plan.ceiling_burst))
            now = _first_sent_ms(client_try)
            bucket.charge_difference(now, client_try.first.guess)
            slack = plan.ceiling_slack + plan.ceiling_rate * 3 * self._tolerance_ms / 1000
            if bucket.units < -slack:
                self.findings.add(
                    CEILINGS,
                    now,
                    f"put customer {self._world.customers[customer].id} "
                    f"{-bucket.units:.1f} units past its ceiling, of {slack:.1f} allowed",
                    client_try.asked.id,
                    gateway=client_try.asked.gateway,
                )

    def _check_faults(self) -> None:
        """No gateway crashes, and no server gets a message that it cannot relate to a request."""
        for gateway in self._records[r.GatewayIs]:
            if gateway.state == "crashed":
                self.findings.add(FAULTS, gateway.at, gateway.why or "crashed", gateway=gateway.gateway)
        for unknown in self._records[r.Unknown]:
            self.findings.add(
                EFFECTS, unknown.at, unknown.what, server=unknown.server, gateway=unknown.gateway
            )

    def _counts(self) -> dict[str, float]:
        """Numbers of tries, answers, attempts and calls."""
        tries = list(self.tries.values())
        ends = [t.answered for t in tries if t.answered is not None]
        attempts = sum(len(t.attempts) for t in tries)
        calls = self._records[r.Counted]
        return {
            "first_tries": sum(t.asked.number == 0 for t in tries),
            "tries": len(tries),
            "served": sum(t.served() for t in tries),
            "refused": sum(t.status() in REFUSED_STATUS for t in tries),
            "failed": sum(
                e.how != r.COMPLETE or e.status not in SERVED_STATUS | REFUSED_STATUS for e in ends
            ),
            "attempts": attempts,
            "attempts_per_try": round(attempts / max(1, sum(bool(t.attempts) for t in tries)), 4),
            "dials": len(self._records[r.Dialled]),
            "probes": len(self._records[r.Probed]),
            "counter_calls": len(calls),
            "counter_full": sum(c.result == "full" for c in calls),
            "counter_silent": sum(c.result == "silent" for c in calls),
            "unended": sum(t.answered is None for t in tries),
        }


class GatewayKills:
    """When gateways were killed or crashed: the requests that they held then are not counted as lost."""

    def __init__(self, records: Iterable[r.GatewayIs], tolerance_ms: float) -> None:
        self._tolerance_ms = tolerance_ms
        self._killed: dict[str, list[float]] = defaultdict(list)
        for record in records:
            if record.state in ("killed", "crashed"):  # a crash is already a finding by itself
                self._killed[record.gateway].append(record.at)

    def killed_between(self, gateway: str, asked: float, ended: float) -> bool:
        """Whether a gateway was killed or crashed while it held a request, between two times in ms."""
        return any(
            asked - self._tolerance_ms <= at <= ended + self._tolerance_ms for at in self._killed[gateway]
        )


class LifecycleKnowledge:
    """What each gateway had been told of each server's lifecycle at any time."""

    def __init__(self, records: Iterable[r.Told]) -> None:
        self._told: dict[tuple[str, str], tuple[list[float], list[r.Told]]] = {}
        for record in records:
            times, entries = self._told.setdefault((record.gateway, record.server), ([], []))
            times.append(record.at)
            entries.append(record)

    def _latest(self, gateway: str, server: str, now: float) -> tuple[list[r.Told], int]:
        times, entries = self._told.get((gateway, server), ([], []))
        return entries, bisect.bisect_right(times, now) - 1

    def unavailable_since_ms(self, gateway: str, server: str, now: float) -> float | None:
        """Time in ms since which the gateway knows that the server drains or is gone; None if it does not."""
        entries, at = self._latest(gateway, server, now)
        since = None
        while at >= 0 and entries[at].lifecycle != "ready":
            since, at = entries[at].at, at - 1
        return since

    def knows_last_start(self, gateway: str, server: str, now: float) -> bool:
        """Whether the gateway has been told of the server's last start."""
        entries, at = self._latest(gateway, server, now)
        return at >= 0 and entries[at].lifecycle == "ready" and entries[at].started_at > 0


def _record_order(record: r.Arrived | r.Ended) -> tuple[float, bool]:
    return record.at, isinstance(record, r.Ended)


def _first_sent_ms(client_try: Try) -> float:
    return client_try.attempts[0].arrived.at


@dataclass(slots=True)
class RequestChain:
    """A first try and the retries of its client."""

    first: FirstTry
    tries: list[Try] = field(default_factory=list)
    offered_worth: float = 0.0
    earned_worth: float = 0.0


class ServiceScore:
    """Computes the worth of the service and its prices.

    A first try and its retries count once, and only what the customer's quota admits.
    """

    def __init__(
        self,
        scenario: Scenario,
        world: GeneratedWorld,
        tries: dict[str, Try],
        records: dict[type, list],
        not_accepted: Iterable[r.Answered],
    ) -> None:
        self._scenario, self._world, self._tries, self._records = scenario, world, tries, records
        self._chains: dict[int, RequestChain] = {}
        for client_try in tries.values():
            self._chain_of(client_try.first.index).tries.append(client_try)
        for answered in not_accepted:  # what no gateway accepted counts as asked for, too
            self._chain_of(int(answered.id[:8], 16))

    def _chain_of(self, index: int) -> RequestChain:
        if index not in self._chains:
            self._chains[index] = RequestChain(self._world.first_tries[index])
        return self._chains[index]

    def service(self) -> Service:
        """Compute the figure and its parts."""
        self._mark_tries_within_quota()
        self._compute_offered_worth()
        chains = list(self._chains.values())
        for chain in chains:
            chain.earned_worth = min(self._earned_worth(chain), chain.offered_worth)
        whole = _earned_share(chains)
        worst, worst_from = self._worst_window(chains)
        plans = {
            plan.name: _earned_share([c for c in chains if self._plan_of(c.first) is plan])
            for plan in self._world.plans
        }
        classes = {
            cls.name: _earned_share([c for c in chains if c.first.cls == i])
            for i, cls in enumerate(self._scenario.classes)
        }
        prices = self._prices(chains)
        goal = self._scenario.goal
        figure = (
            goal.whole * whole
            + goal.worst_window * worst
            + goal.worst_plan * min(plans.values())
            - sum(prices.values())
        )
        return Service(
            whole,
            worst,
            worst_from,
            min(plans.values()),
            plans,
            classes,
            prices,
            self._losses(chains),
            figure,
        )

    def _losses(self, chains: list[RequestChain]) -> dict[str, float]:
        """Share of the worth not answered in time, by the cause that came last in the chain."""
        offered = sum(chain.offered_worth for chain in chains) or 1.0
        losses: dict[str, float] = defaultdict(float)
        for chain in chains:
            if chain.offered_worth > chain.earned_worth:
                losses[self._cause(chain)] += (chain.offered_worth - chain.earned_worth) / offered
        return dict(sorted(losses.items(), key=lambda item: -item[1]))

    @staticmethod
    def _cause(chain: RequestChain) -> str:
        served = [t for t in chain.tries if t.served()]
        sent = [t for t in chain.tries if t.attempts]
        if served:
            return "answered late" if any(t.within_quota for t in served) else "sent on beyond its quota"
        if sent:
            return "failed after it was sent on"
        if not chain.tries:
            return "no gateway took it"
        return "refused with room" if any(t.had_room for t in chain.tries) else "refused without room"

    def _plan_of(self, first: FirstTry) -> object:
        return self._world.plans[self._world.customers[first.customer].plan]

    def _worth_of(self, first: FirstTry) -> float:
        return self._scenario.classes[first.cls].worth * self._plan_of(first).price * first.units

    def _mark_tries_within_quota(self) -> None:
        """Mark the tries that were within their quota, over all gateways, when first sent on.

        Of those that were never sent on, mark the ones whose quota had room when they were asked.
        """
        buckets: dict[int, TokenBucket] = {}
        events: list[tuple[float, int, Try]] = []
        for client_try in self._tries.values():
            if client_try.attempts:
                events.append((_first_sent_ms(client_try), SENT, client_try))
                served_ends = [
                    a.ended
                    for a in client_try.attempts
                    if a.ended and a.ended.told and a.ended.result == SERVED
                ]
                if served_ends:
                    events.append((served_ends[0].at, BILLED, client_try))
            else:
                events.append((client_try.asked.at, ASKED, client_try))
        for at, what, client_try in sorted(events, key=lambda e: e[:2]):
            plan = self._plan_of(client_try.first)
            bucket = buckets.setdefault(client_try.first.customer, TokenBucket.full(plan.rate, plan.burst))
            if what == ASKED:
                client_try.had_room = bucket.refill(at) >= client_try.first.guess
            elif what == SENT:
                client_try.within_quota = bucket.take(at, client_try.first.guess)
            elif client_try.within_quota:
                bucket.charge_difference(at, client_try.first.units - client_try.first.guess)

    def _compute_offered_worth(self) -> None:
        """Compute what a gateway that sees all first tries would admit within the quotas."""
        buckets: dict[int, TokenBucket] = {}
        for chain in sorted(self._chains.values(), key=lambda c: c.first.due_ms):
            plan = self._plan_of(chain.first)
            bucket = buckets.setdefault(chain.first.customer, TokenBucket.full(plan.rate, plan.burst))
            if bucket.take(chain.first.due_ms, chain.first.units):
                chain.offered_worth = self._worth_of(chain.first)

    def _earned_worth(self, chain: RequestChain) -> float:
        cls = self._scenario.classes[chain.first.cls]
        served = [t for t in chain.tries if t.served() and t.within_quota]
        if not served:
            return 0.0
        took = min(t.answered.at for t in served) - chain.first.due_ms
        return self._worth_of(chain.first) * (
            1.0 if took <= cls.aim_ms else cls.late_worth if took <= cls.deadline_ms else 0.0
        )

    def _worst_window(self, chains: list[RequestChain]) -> tuple[float, float]:
        length = self._scenario.length_s * 1000
        begins, worst = 0.0, (1.0, 0.0)
        while True:
            in_window = [c for c in chains if begins <= c.first.due_ms < begins + SERVICE_WINDOW_MS]
            if any(c.offered_worth for c in in_window):
                worst = min(worst, (_earned_share(in_window), begins / 1000))
            begins += SERVICE_WINDOW_STEP_MS
            if begins + SERVICE_WINDOW_MS > length:
                return worst

    def _prices(self, chains: list[RequestChain]) -> dict[str, float]:
        goal, chain_count = self._scenario.goal, max(1, len(chains))
        offered = sum(c.offered_worth for c in chains) or 1.0
        zones = {g.name: g.zone for g in self._world.gateways} | {s.name: s.zone for s in self._world.servers}
        attempts = [a for t in self._tries.values() for a in t.attempts]
        crossing = sum(zones[a.arrived.gateway] != zones[a.arrived.server] for a in attempts)
        wanted_ms = sum(c.first.work_ms for c in chains) or 1.0
        served = {t.asked.id for t in self._tries.values() if t.served()}
        wasted = sum(
            a.arrived.work_ms
            for a in attempts
            if a.ended
            and a.ended.began
            and (a.ended.result == ERROR or not a.ended.told or a.arrived.id not in served)
        )
        beyond = sum(
            self._worth_of(t.first) * self._plan_of(t.first).over_cost
            for t in self._tries.values()
            if t.attempts and not t.within_quota
        )
        late = sum(
            c.offered_worth for c in chains if not c.earned_worth and c.offered_worth and self._ended_late(c)
        )
        return {
            "waste": goal.waste * wasted / wanted_ms,
            "late_fail": goal.late_fail * late / offered,
            "over_quota": beyond / offered,
            "cross_zone": goal.cross_zone * crossing / chain_count,
            "probe": goal.probe * len(self._records[r.Probed]) / chain_count,
            "handshake": goal.handshake * len(self._records[r.Dialled]) / chain_count,
            "counter": goal.counter * len(self._records[r.Counted]) / chain_count,
        }

    def _ended_late(self, chain: RequestChain) -> bool:
        ends = [t.answered.at for t in chain.tries if t.answered is not None]
        return bool(ends) and max(ends) - chain.first.due_ms > self._scenario.classes[chain.first.cls].aim_ms


def _earned_share(chains: Iterable[RequestChain]) -> float:
    """Earned worth over offered worth; 1 if none was offered."""
    earned = offered = 0.0
    for chain in chains:
        earned, offered = earned + chain.earned_worth, offered + chain.offered_worth
    return earned / offered if offered else 1.0
