"""Holds a run against the true state of its world: the five rules, service by worth, prices.

The rules and the figures are those of the protocol, the brief and the wire's contract. The judge sees what no
gateway can: every attempt at every server, every store as it is. It knows nothing of how the run was played.
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

WINDOW_MS, STRIDE_MS = 10_000.0, 1_000.0
MOST_SHUT = 1 / 200  # of the tries may be closed at the door with no answer
SETTLED, SENT, ASKED = range(3)  # what becomes of a quota, in the order of one moment
MOST_FINDINGS = 50  # of one rule that are kept word for word
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
        """For people."""
        where = " ".join(
            f"{name} {value}"
            for name, value in (("request", self.request), ("server", self.server), ("gateway", self.gateway))
            if value
        )
        return f"{self.rule}: at {self.at_ms / 1000:.3f} s {self.what} ({where})"


class Service(Struct, frozen=True):
    """Worth answered in time over worth asked for inside the quotas, and the parts of the one figure."""

    whole: float
    worst_window: float
    worst_window_from_s: float
    worst_plan: float
    plans: dict[str, float]
    classes: dict[str, float]
    prices: dict[str, float]
    losses: dict[str, float]  # by cause, the part of the worth asked for that was not answered in time
    figure: float


class Verdict(Struct, frozen=True):
    """What a run came to."""

    kept: bool
    findings: list[Finding]
    breaches: dict[str, int]  # by rule, those not kept word for word, too
    service: Service
    counts: dict[str, float]


@dataclass(slots=True)
class Attempt:
    """One attempt of a request."""

    arrived: r.Arrived
    ended: r.Ended | None = None

    def out_until(self) -> float:
        return float("inf") if self.ended is None else self.ended.at

    def may_have_run(self) -> bool:
        """Whether its gateway has no proof that it never ran."""
        return self.ended is None or not (self.ended.told and self.ended.result in NEVER_RAN)


@dataclass(slots=True)
class Try:
    """One try of a client, which a gateway owes one final answer."""

    asked: r.Asked
    first: FirstTry
    answered: r.Answered | None = None
    attempts: list[Attempt] = field(default_factory=list)
    inside: bool = False  # its quota had room when it was first sent on
    room: bool = False  # the same when it was asked, for one that was never sent on

    def status(self) -> int:
        whole = self.answered is not None and self.answered.how == r.WHOLE
        return self.answered.status if whole else 0

    def served(self) -> bool:
        return self.status() in SERVED_STATUS


class Findings:
    """Breaches, counted by rule and kept up to a bound."""

    def __init__(self) -> None:
        self.kept: list[Finding] = []
        self.counts: dict[str, int] = defaultdict(int)

    def add(
        self, rule: str, at: float, what: str, request: str = "", server: str = "", gateway: str = ""
    ) -> None:
        """One more."""
        self.counts[rule] += 1
        if self.counts[rule] <= MOST_FINDINGS:
            self.kept.append(Finding(rule, round(at, 3), what, request, server, gateway))


class Judge:
    """One run."""

    def __init__(self, drawn: GeneratedWorld, records: Sequence[r.Record]) -> None:
        self._drawn, self._scenario = drawn, drawn.scenario
        self._slack = drawn.scenario.rules.socket_ms
        self._of: dict[type, list] = defaultdict(list)
        for record in records:
            self._of[type(record)].append(record)
        self.findings = Findings()
        self.tries: dict[str, Try] = {}
        self._unasked: list[r.Answered] = []  # tries that no gateway accepted
        self._again: list[r.Asked] = []  # sent once more, since a kept connection closed as they were written
        self._servers = {server.name: server for server in drawn.servers}
        self._collect()

    def verdict(self) -> Verdict:
        """All rules and figures."""
        for rule in (self._requests, self._effects, self._drains, self._cold, self._ceilings, self._faults):
            rule()
        service = Accounts(self._scenario, self._drawn, self.tries, self._of, self._unasked).service()
        found = self.findings
        return Verdict(
            not found.counts,
            sorted(found.kept, key=lambda f: f.at_ms),
            dict(found.counts),
            service,
            self._counts(),
        )

    def _collect(self) -> None:
        for asked in self._of[r.Asked]:
            if asked.id in self.tries:
                self._again.append(asked)
            else:
                self.tries[asked.id] = Try(asked, self._drawn.tries[asked.first])
        for answered in self._of[r.Answered]:
            if answered.id in self.tries:
                self.tries[answered.id].answered = answered
            elif answered.how in (r.REFUSED, r.NOT_SENT):
                self._unasked.append(answered)
            elif answered.how == r.DOUBLE:
                self.findings.add(
                    REQUESTS, answered.at, "said something where nothing was asked", gateway=answered.gateway
                )
        out: dict[tuple[str, str], list[Attempt]] = defaultdict(list)
        for record in sorted([*self._of[r.Arrived], *self._of[r.Ended]], key=_in_turn):
            if isinstance(record, r.Arrived):
                attempt = Attempt(record)
                out[record.id, record.server].append(attempt)
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
                waiting = [a for a in out[record.id, record.server] if a.ended is None]
                if waiting:
                    waiting[0].ended = record

    # --- The rules ----------------------------------------------------------------------------------------

    def _requests(self) -> None:
        """Each request that a running gateway took gets one final answer, in time."""
        lives = Lives(self._of[r.GatewayIs], self._slack)
        overdue = self._scenario.rules.overdue_ms + self._slack
        for one in self.tries.values():
            asked, end = one.asked, one.answered
            if end is None or end.how in (r.LEFT, r.REFUSED):
                continue
            gone = lives.gone(asked.gateway, asked.at, end.at)
            late = end.at - asked.at - asked.left_ms
            if end.how == r.WHOLE:
                if late > overdue:
                    self._lost(one, f"was answered {late:.0f} ms after its time")
            elif end.how == r.WRONG:
                self._lost(one, "was served with what no server made")
            elif end.how == r.CLOSED and not gone and (one.attempts or not asked.fresh):
                self._lost(one, "lost its connection with no answer")
            elif end.how == r.TIMED_OUT and not gone:
                self._lost(one, f"had no answer {late:.0f} ms after its time")

        for again in self._again:
            one = self.tries[again.id]
            read = bool(one.attempts) and _sent_at(one) < again.at
            if read and not lives.gone(again.gateway, one.asked.at, again.at):
                self.findings.add(
                    REQUESTS,
                    again.at,
                    "lost its connection after it was sent on",
                    again.id,
                    gateway=again.gateway,
                )
        shut = [
            t
            for t in self.tries.values()
            if t.answered is not None
            and t.answered.how == r.CLOSED
            and not t.attempts
            and not lives.gone(t.asked.gateway, t.asked.at, t.answered.at)
        ]
        if len(shut) > len(self.tries) * MOST_SHUT:
            self._lost(shut[-1], f"was one of {len(shut)} whose new connection was closed with no answer")

    def _lost(self, one: Try, what: str) -> None:
        self.findings.add(REQUESTS, one.answered.at, what, one.asked.id, gateway=one.asked.gateway)

    def _effects(self) -> None:
        """Nothing that may have run is sent again beyond what its class allows, nor called refused."""
        for one in self.tries.values():
            cls = self._scenario.classes[one.first.cls]
            for i, attempt in enumerate(one.attempts):
                self._repeat(cls, one, one.attempts[:i], attempt)
            if len(one.attempts) > self._scenario.fleet.max_attempts:
                self._effect(one.attempts[-1], f"was attempt {len(one.attempts)} of a request")
            ran = [a for a in one.attempts if a.may_have_run()]
            strict = cls.effect == "unsafe" or (cls.effect == "keyed" and cls.group != "all")
            if one.status() in REFUSED_STATUS and strict and ran:
                self._effect(ran[0], "may have run, and its request was refused")

    def _repeat(self, cls: Class, one: Try, before: list[Attempt], attempt: Attempt) -> None:
        now = attempt.arrived.at
        if any(a.out_until() > now + self._slack for a in before):
            self._effect(attempt, "was sent while another attempt was out")
            return
        ran = [a for a in before if a.may_have_run()]
        if not ran or cls.effect == "safe":
            return
        if cls.effect == "unsafe":
            self._effect(attempt, "was sent again after an attempt that may have run")
        elif now - ran[0].arrived.began > cls.window_ms + self._slack:
            self._effect(attempt, "was sent again after its key was forgotten")
        elif any(not self._together(cls, a.arrived.server, attempt.arrived.server) for a in ran):
            self._effect(attempt, "was sent again to where its key is not known")

    def _together(self, cls: Class, one: str, other: str) -> bool:
        a, b = self._servers[one], self._servers[other]
        return cls.group == "all" or (a.zone == b.zone if cls.group == "zone" else a.cell == b.cell)

    def _effect(self, attempt: Attempt, what: str) -> None:
        a = attempt.arrived
        self.findings.add(EFFECTS, a.at, what, a.id, a.server, a.gateway)

    def _drains(self) -> None:
        """Nothing new begins at a server long after its gateway was told that it drains or is gone."""
        told = TellTale(self._of[r.Told])
        within = self._scenario.rules.drain_ms + self._slack
        for attempt in self._of[r.Arrived]:
            since = told.out_since(attempt.gateway, attempt.server, attempt.began)
            if since is not None and attempt.began - since > within:
                self.findings.add(
                    DRAINS,
                    attempt.began,
                    f"was sent {attempt.began - since:.0f} ms after its gateway was told",
                    attempt.id,
                    attempt.server,
                    attempt.gateway,
                )

    def _cold(self) -> None:
        """No cold server falls over under what gateways that were told of its start have sent."""
        told = TellTale(self._of[r.Told])
        sent: dict[str, list[r.Arrived]] = defaultdict(list)
        for arrived in self._of[r.Arrived]:
            sent[arrived.server].append(arrived)
        for fallen in (s for s in self._of[r.ServerIs] if s.state == "fallen"):
            span = [
                a
                for a in sent[fallen.server]
                if fallen.at - self._scenario.rules.fall_ms <= a.at <= fallen.at
            ]
            known = sum(a.work_ms for a in span if told.knows(a.gateway, a.server, a.at))
            work = sum(a.work_ms for a in span)
            if work and known >= work * 2 / 3:
                most = max(
                    {a.gateway for a in span}, key=lambda g: sum(a.work_ms for a in span if a.gateway == g)
                )
                self.findings.add(
                    COLD,
                    fallen.at,
                    f"fell over under {work:.0f} ms of work, {known:.0f} of it by gateways that knew",
                    server=fallen.server,
                    gateway=most,
                )

    def _ceilings(self) -> None:
        """What all gateways send on for a customer stays under its plan's ceiling."""
        stores: dict[int, TokenBucket] = {}
        for one in sorted((t for t in self.tries.values() if t.attempts), key=_sent_at):
            customer = one.first.customer
            plan = self._drawn.plans[self._drawn.customers[customer].plan]
            if not plan.ceiling_rate:
                continue
            store = stores.setdefault(customer, TokenBucket.full(plan.ceiling_rate, plan.ceiling_burst))
            now = _sent_at(one)
            store.adjust(now, one.first.guess)
            slack = plan.ceiling_slack + plan.ceiling_rate * 3 * self._slack / 1000
            if store.units < -slack:
                self.findings.add(
                    CEILINGS,
                    now,
                    f"put customer {self._drawn.customers[customer].id} "
                    f"{-store.units:.1f} units past its ceiling, of {slack:.1f} allowed",
                    one.asked.id,
                    gateway=one.asked.gateway,
                )

    def _faults(self) -> None:
        for gateway in self._of[r.GatewayIs]:
            if gateway.state == "crashed":
                self.findings.add(FAULTS, gateway.at, gateway.why or "crashed", gateway=gateway.gateway)
        for unknown in self._of[r.Unknown]:
            self.findings.add(
                EFFECTS, unknown.at, unknown.what, server=unknown.server, gateway=unknown.gateway
            )

    def _counts(self) -> dict[str, float]:
        """Plain figures of the run."""
        tries = list(self.tries.values())
        ends = [t.answered for t in tries if t.answered is not None]
        attempts = sum(len(t.attempts) for t in tries)
        calls = self._of[r.Counted]
        return {
            "first_tries": sum(t.asked.number == 0 for t in tries),
            "tries": len(tries),
            "served": sum(t.served() for t in tries),
            "refused": sum(t.status() in REFUSED_STATUS for t in tries),
            "failed": sum(e.how != r.WHOLE or e.status not in SERVED_STATUS | REFUSED_STATUS for e in ends),
            "attempts": attempts,
            "attempts_per_try": round(attempts / max(1, sum(bool(t.attempts) for t in tries)), 4),
            "dials": len(self._of[r.Dialled]),
            "probes": len(self._of[r.Probed]),
            "counter_calls": len(calls),
            "counter_full": sum(c.result == "full" for c in calls),
            "counter_silent": sum(c.result == "silent" for c in calls),
            "unended": sum(t.answered is None for t in tries),
        }


class Lives:
    """When gateways were killed by the run: what they held then is nobody's fault."""

    def __init__(self, records: Iterable[r.GatewayIs], slack_ms: float) -> None:
        self._slack = slack_ms
        self._killed: dict[str, list[float]] = defaultdict(list)
        for record in records:
            if record.state in ("killed", "crashed"):  # a crash is a finding of its own
                self._killed[record.gateway].append(record.at)

    def gone(self, gateway: str, asked: float, ended: float) -> bool:
        """Whether a gateway was killed while it held a request."""
        return any(asked - self._slack <= at <= ended + self._slack for at in self._killed[gateway])


class TellTale:
    """What each gateway had been told of each server at any time."""

    def __init__(self, records: Iterable[r.Told]) -> None:
        self._told: dict[tuple[str, str], tuple[list[float], list[r.Told]]] = {}
        for record in records:
            times, tales = self._told.setdefault((record.gateway, record.server), ([], []))
            times.append(record.at)
            tales.append(record)

    def _last(self, gateway: str, server: str, now: float) -> tuple[list[r.Told], int]:
        times, tales = self._told.get((gateway, server), ([], []))
        return tales, bisect.bisect_right(times, now) - 1

    def out_since(self, gateway: str, server: str, now: float) -> float | None:
        """Since when it has known that the server drains or is gone; None: it does not."""
        tales, at = self._last(gateway, server, now)
        since = None
        while at >= 0 and tales[at].lifecycle != "ready":
            since, at = tales[at].at, at - 1
        return since

    def knows(self, gateway: str, server: str, now: float) -> bool:
        """Whether it has been told of the server's last start."""
        tales, at = self._last(gateway, server, now)
        return at >= 0 and tales[at].lifecycle == "ready" and tales[at].started_at > 0


def _in_turn(record: r.Arrived | r.Ended) -> tuple[float, bool]:
    return record.at, isinstance(record, r.Ended)


def _sent_at(one: Try) -> float:
    return one.attempts[0].arrived.at


@dataclass(slots=True)
class Chain:
    """A first try and its client's retries."""

    first: FirstTry
    tries: list[Try] = field(default_factory=list)
    offered: float = 0.0
    earned: float = 0.0


class Accounts:
    """Worth and prices."""

    def __init__(
        self,
        scenario: Scenario,
        drawn: GeneratedWorld,
        tries: dict[str, Try],
        of: dict[type, list],
        unasked: Iterable[r.Answered],
    ) -> None:
        self._scenario, self._drawn, self._tries, self._of = scenario, drawn, tries, of
        self._chains: dict[int, Chain] = {}
        for one in tries.values():
            self._chain(one.first.index).tries.append(one)
        for answered in unasked:  # asked for all the same
            self._chain(int(answered.id[:8], 16))

    def _chain(self, index: int) -> Chain:
        if index not in self._chains:
            self._chains[index] = Chain(self._drawn.tries[index])
        return self._chains[index]

    def service(self) -> Service:
        """One figure, and what it is made of."""
        self._settle()
        self._offer()
        chains = list(self._chains.values())
        for chain in chains:
            chain.earned = min(self._earned(chain), chain.offered)
        whole = _share(chains)
        worst, worst_from = self._worst_window(chains)
        plans = {
            plan.name: _share([c for c in chains if self._plan(c.first) is plan])
            for plan in self._drawn.plans
        }
        classes = {
            cls.name: _share([c for c in chains if c.first.cls == i])
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

    def _losses(self, chains: list[Chain]) -> dict[str, float]:
        """What was not answered in time, by its cause: the last thing that went wrong with it."""
        offered = sum(chain.offered for chain in chains) or 1.0
        losses: dict[str, float] = defaultdict(float)
        for chain in chains:
            if chain.offered > chain.earned:
                losses[self._cause(chain)] += (chain.offered - chain.earned) / offered
        return dict(sorted(losses.items(), key=lambda item: -item[1]))

    @staticmethod
    def _cause(chain: Chain) -> str:
        served = [t for t in chain.tries if t.served()]
        sent = [t for t in chain.tries if t.attempts]
        if served:
            return "answered late" if any(t.inside for t in served) else "sent on beyond its quota"
        if sent:
            return "failed after it was sent on"
        if not chain.tries:
            return "no gateway took it"
        return "refused with room" if any(t.room for t in chain.tries) else "refused without room"

    def _plan(self, first: FirstTry) -> object:
        return self._drawn.plans[self._drawn.customers[first.customer].plan]

    def _worth(self, first: FirstTry) -> float:
        return self._scenario.classes[first.cls].worth * self._plan(first).price * first.units

    def _settle(self) -> None:
        """Which tries were inside their quota when first sent on, all gateways together, and which of
        those that were refused could have been."""
        stores: dict[int, TokenBucket] = {}
        events: list[tuple[float, int, Try]] = []
        for one in self._tries.values():
            if one.attempts:
                events.append((_sent_at(one), SENT, one))
                good = [
                    a.ended for a in one.attempts if a.ended and a.ended.told and a.ended.result == SERVED
                ]
                if good:
                    events.append((good[0].at, SETTLED, one))
            else:
                events.append((one.asked.at, ASKED, one))
        for at, what, one in sorted(events, key=lambda e: e[:2]):
            plan = self._plan(one.first)
            store = stores.setdefault(one.first.customer, TokenBucket.full(plan.rate, plan.burst))
            if what == ASKED:
                one.room = store.refill(at) >= one.first.guess
            elif what == SENT:
                one.inside = store.take(at, one.first.guess)
            elif one.inside:
                store.adjust(at, one.first.units - one.first.guess)

    def _offer(self) -> None:
        """What a gateway that saw all first tries would let in."""
        stores: dict[int, TokenBucket] = {}
        for chain in sorted(self._chains.values(), key=lambda c: c.first.due_ms):
            plan = self._plan(chain.first)
            store = stores.setdefault(chain.first.customer, TokenBucket.full(plan.rate, plan.burst))
            if store.take(chain.first.due_ms, chain.first.units):
                chain.offered = self._worth(chain.first)

    def _earned(self, chain: Chain) -> float:
        cls = self._scenario.classes[chain.first.cls]
        served = [t for t in chain.tries if t.served() and t.inside]
        if not served:
            return 0.0
        took = min(t.answered.at for t in served) - chain.first.due_ms
        return self._worth(chain.first) * (
            1.0 if took <= cls.aim_ms else cls.late_worth if took <= cls.deadline_ms else 0.0
        )

    def _worst_window(self, chains: list[Chain]) -> tuple[float, float]:
        length = self._scenario.length_s * 1000
        begins, worst = 0.0, (1.0, 0.0)
        while True:
            inside = [c for c in chains if begins <= c.first.due_ms < begins + WINDOW_MS]
            if any(c.offered for c in inside):
                worst = min(worst, (_share(inside), begins / 1000))
            begins += STRIDE_MS
            if begins + WINDOW_MS > length:
                return worst

    def _prices(self, chains: list[Chain]) -> dict[str, float]:
        goal, first = self._scenario.goal, max(1, len(chains))
        offered = sum(c.offered for c in chains) or 1.0
        zones = {g.name: g.zone for g in self._drawn.gateways} | {s.name: s.zone for s in self._drawn.servers}
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
            self._worth(t.first) * self._plan(t.first).over_cost
            for t in self._tries.values()
            if t.attempts and not t.inside
        )
        late = sum(c.offered for c in chains if not c.earned and c.offered and self._ended_late(c))
        return {
            "waste": goal.waste * wasted / wanted_ms,
            "late_fail": goal.late_fail * late / offered,
            "over_quota": beyond / offered,
            "cross_zone": goal.cross_zone * crossing / first,
            "probe": goal.probe * len(self._of[r.Probed]) / first,
            "handshake": goal.handshake * len(self._of[r.Dialled]) / first,
            "counter": goal.counter * len(self._of[r.Counted]) / first,
        }

    def _ended_late(self, chain: Chain) -> bool:
        ends = [t.answered.at for t in chain.tries if t.answered is not None]
        return bool(ends) and max(ends) - chain.first.due_ms > self._scenario.classes[chain.first.cls].aim_ms


def _share(chains: Iterable[Chain]) -> float:
    """Earned over offered; 1 where nothing was."""
    earned = offered = 0.0
    for chain in chains:
        earned, offered = earned + chain.earned, offered + chain.offered
    return earned / offered if offered else 1.0
