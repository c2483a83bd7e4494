"""A scenario and a seed made definite: every server, customer, first try and fault, the same each time.

Each thing draws from a stream of its own, named by what it is for, so that a change to one leaves the others
as they were.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator, Sequence

import msgspec
import numpy as np
from msgspec import Struct

from plumwall.scenario import Fault, Plan, Scenario, Span

DRAIN_S = 4.0  # from a release's drain of a server to its end: a server finishes what it holds
STEP_S = 0.25  # between two gateways that are restarted in turn
SAMPLES = 20_000  # of work, to learn how many units a request has in the mean
FULL_USE = 0.9, 1.0


class ServerSpec(Struct, frozen=True):
    """One server as it truly is; gateways are not told most of this."""

    name: str
    zone: str
    cell: int
    cores: int
    speed: float
    slots: int
    queue: int
    thrash: float
    thrash_at: float
    cold_from: float
    cold_ms: float
    connections: int
    handshake_ms: float
    error_rate: float
    noise: float
    report_period_ms: float
    report_delay_ms: float
    report_noise: float
    drops_expired: bool
    at_start: bool = True  # False: it comes with a release


class GatewaySpec(Struct, frozen=True):
    """One gateway."""

    name: str
    number: int
    zone: str


class PlanFigures(Struct, frozen=True):
    """A plan's figures on this day, in units and units a second, for each customer."""

    name: str
    rate: float
    burst: float
    price: float
    over_cost: float
    ceiling_rate: float
    ceiling_burst: float
    ceiling_slack: float


class Customer(Struct, frozen=True):
    """A customer: on which plan, through which gateways."""

    id: str
    plan: int
    width: int
    first: int


class FirstTry(Struct, frozen=True):
    """What a customer wants. All that its client will draw on the way is drawn already."""

    index: int
    due_ms: float
    customer: int
    cls: int
    units: int  # the true ones
    guess: int
    work_ms: float
    try_ms: float  # what one try is given
    leaves_ms: float  # after which its client goes away; 0: it stays
    honours: bool  # whether it keeps to Retry-After
    gateway_luck: tuple[float, ...]  # by try, in [0, 1)
    backoff_luck: tuple[float, ...]


class FaultEvent(Struct, frozen=True):
    """One thing that becomes otherwise at a time."""

    at_ms: float
    kind: str
    target: str = ""
    size: float = 0.0


class RandomStreams:
    """Random streams by name."""

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def stream(self, *names: object) -> np.random.Generator:
        """The stream of a name, from its beginning."""
        key = tuple(zlib.crc32(str(name).encode()) for name in names)
        return np.random.default_rng(np.random.SeedSequence(self._seed, spawn_key=key))


def draw_between(rng: np.random.Generator, span: Span) -> float:
    """A number of a span."""
    return float(rng.uniform(span.least, span.most))


class GeneratedWorld:
    """One day of a scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed, self.random_streams = scenario, seed, RandomStreams(seed)
        zones = scenario.fleet.zones
        self.gateways = [
            GatewaySpec(f"n{i}", i, zones[i % len(zones)]) for i in range(scenario.fleet.gateways)
        ]
        self.servers = self._draw_servers()
        self.plans = [self._draw_plan(plan) for plan in scenario.plans]
        self.class_work_ms = [
            draw_between(self.random_streams.stream("work", c.name), c.work_ms) for c in scenario.classes
        ]
        self.changes = tuple(sorted(FaultPlan(self).changes(), key=lambda c: (c.at_ms, c.kind, c.target)))
        market = Market(self)
        self.customers, self.shares = market.customers, market.shares
        self.tries = market.tries
        self.shift_ms = market.shift_ms

    def settings(self, gateway: GatewaySpec) -> dict[str, object]:
        """What a gateway is told, as the protocol has it."""
        s = self.scenario
        return {
            "domain_type": "gate",
            "tick_ms": 2.0,
            "fleet_size": len(self.gateways),
            "me": gateway.number,
            "layer": 0,
            "zone": gateway.zone,
            "zones": s.fleet.zones,
            "kinds": ["std"],
            "tiers": ["statement-fleet"],
            "weights": "nominal",
            "membership_mode": "pushed",
            "grades": [_grade(c) for c in s.classes],
            "packages": [_package(p) for p in self.plans],
            "bounds": {
                "cancel": True,
                "conn_idle_ms": s.servers.idle_ms,
                "dial_timeout_ms": s.servers.dial_ms,
                "max_retry_after_ms": s.clients.max_retry_after_ms,
                "open_cap": 20000,
                "peers": False,
                "probing": True,
                "retry_after": True,
                "second_copies": False,
                "streams_per_conn": 1,
                "try_limit": s.fleet.max_attempts,
                "cpu_us_per_s": 1e6,
                "cpu_us_per_request": 0.0,
            },
            "clients": {"marks_retry": True},
            "family_info": {
                "count_fee": s.goal.counter,
                "count_wait_ms": s.counter.wait_ms,
                "may_count": True,
                "most_units": s.load.most_units,
                "peer_in_per_s": 0.0,
                "trued_up": True,
                "use_period_ms": 0.0,
            },
            "penalties": {
                "cross_zone": s.goal.cross_zone,
                "handshake": s.goal.handshake,
                "late_fail": s.goal.late_fail,
                "probe": s.goal.probe,
                "waste": s.goal.waste,
            },
            "report": {"how": "inline", "names": ["util", "inflight", "queue"]},
            "rules": {
                "answer_slack_ms": s.rules.socket_ms,
                "cold_from": s.servers.cold_from.least,
                "cold_ms": s.servers.cold_s.most * 1000,
                "fall_multiple": s.rules.fall_multiple,
                "must_ask_in_ms": 10000.0,
                "stop_sending_within_ms": s.rules.drain_ms,
                "tip_after_ms": s.rules.fall_ms,
            },
            "score_parts": {
                "whole": s.goal.whole,
                "worst_class": 0.0,
                "worst_tenant": s.goal.worst_plan,
                "worst_window": s.goal.worst_window,
            },
        }

    def lines(self) -> Iterator[bytes]:
        """The day as JSON lines, for people and to be compared byte for byte."""
        for things in (self.servers, self.plans, self.customers, self.changes, self.tries):
            for thing in things:
                yield msgspec.json.encode(thing)

    def gateway_of(self, first: FirstTry, number: int, at_ms: float) -> int:
        """The gateway that a try comes through: the customer's busiest ones change from time to time."""
        customer = self.customers[first.customer]
        epochs = self.shares[first.customer]
        epoch = min(int(at_ms / self.shift_ms[first.customer]), len(epochs) - 1)
        luck = first.gateway_luck[min(number, len(first.gateway_luck) - 1)]
        place = int(np.searchsorted(epochs[epoch], luck, side="right"))
        return (customer.first + min(place, customer.width - 1)) % len(self.gateways)

    def _draw_servers(self) -> list[ServerSpec]:
        s = self.scenario.servers
        rng = self.random_streams.stream("servers")
        replaced = sum(
            _struck(s.count, draw_between(self.random_streams.stream("fault", i), fault.part))
            for i, fault in enumerate(self.scenario.faults)
            if fault.kind == "release"
        )
        size = max(1, round(draw_between(rng, s.cell_size)))
        made = []
        for i in range(s.count + replaced):
            zones = self.scenario.fleet.zones
            speed, cores = draw_between(rng, s.speed), s.cores
            made.append(
                ServerSpec(
                    name=f"s-{int(rng.integers(2**32)):08x}",
                    zone=zones[i % len(zones)],
                    cores=cores,
                    speed=speed,
                    cell=(i // len(zones) // size) * len(zones) + i % len(zones),
                    slots=max(1, round(draw_between(rng, s.slots_per_core) * cores)),
                    queue=round(draw_between(rng, s.queue_per_core) * cores),
                    thrash=draw_between(rng, s.thrash),
                    thrash_at=draw_between(rng, s.thrash_at),
                    cold_from=draw_between(rng, s.cold_from),
                    cold_ms=draw_between(rng, s.cold_s) * 1000,
                    handshake_ms=draw_between(rng, s.handshake_us) / 1000,
                    connections=max(1, round(draw_between(rng, s.connections_per_core) * cores)),
                    error_rate=draw_between(rng, s.error_rate),
                    noise=draw_between(rng, s.attempt_noise),
                    report_period_ms=draw_between(rng, s.report_period_ms),
                    report_delay_ms=draw_between(rng, s.report_delay_ms),
                    report_noise=draw_between(rng, s.report_noise),
                    drops_expired=s.drops_expired,
                    at_start=i < s.count,
                )
            )
        return made

    def _draw_plan(self, plan: Plan) -> PlanFigures:
        rng = self.random_streams.stream("plan", plan.name)
        largest = self.scenario.load.most_units
        rate = draw_between(rng, plan.rate_per_s)
        ceiling = draw_between(rng, plan.ceiling)
        burst = max(rate * draw_between(rng, plan.burst_s), largest * (4.0 if ceiling else 2.0))
        slack = max(self.scenario.rules.ceiling_slack * burst * ceiling, largest) if ceiling else 0.0
        return PlanFigures(
            plan.name, rate, burst, plan.price, plan.over_cost, rate * ceiling, burst * ceiling, slack
        )


def _grade(cls: object) -> dict[str, object]:
    return {
        "name": cls.name,
        "objective_ms": cls.aim_ms,
        "deadline_ms": cls.deadline_ms,
        "worth": cls.worth,
        "late_worth": cls.late_worth,
        "effect": cls.effect,
        "key_scope": cls.group,
        "window_ms": cls.window_ms,
        "stream": False,
    }


def _package(plan: PlanFigures) -> dict[str, object]:
    return {
        "name": plan.name,
        "refill": plan.rate,
        "burst": plan.burst,
        "worth_factor": plan.price,
        "over_worth": 0.0,
        "over_cost": plan.over_cost,
        "ceiling_rate": plan.ceiling_rate,
        "hard_burst": plan.ceiling_burst,
        "tolerance": plan.ceiling_slack,
        "parallel": 0,
    }


def _struck(count: int, part: float) -> int:
    """How many of them a fault strikes: one at least."""
    return min(count, max(1, round(count * part)))


class Market:
    """The customers and what they want."""

    def __init__(self, drawn: GeneratedWorld) -> None:
        self._drawn, self._load = drawn, drawn.scenario.load
        self._length_ms = drawn.scenario.length_s * 1000
        rng = drawn.random_streams.stream("customers")
        self._units = self._mean_units(drawn.random_streams.stream("units"))
        self.customers: list[Customer] = []
        base, spikes = self._draw_customers(rng)
        self.shift_ms = (
            rng.uniform(self._load.shift_s.least, self._load.shift_s.most, len(self.customers)) * 1000
        )
        self.shares = self._draw_shares(rng)
        due, who = self._draw_arrivals(drawn.random_streams.stream("arrivals"), base, spikes)
        self.tries = self._draw_tries(drawn.random_streams.stream("tries"), due, who)

    def _work(self, rng: np.random.Generator, classes: np.ndarray) -> np.ndarray:
        """Milliseconds of a core, by class."""
        spread = np.array(
            [
                draw_between(self._drawn.random_streams.stream("spread", c.name), c.spread)
                for c in self._drawn.scenario.classes
            ]
        )
        mean = np.array(self._drawn.class_work_ms)
        sigma = np.sqrt(np.log1p(spread**2))[classes]
        return mean[classes] * np.exp(rng.standard_normal(len(classes)) * sigma - sigma**2 / 2)

    def _units_of(self, work: np.ndarray, classes: np.ndarray) -> np.ndarray:
        """A request's units go by its size: two for one of its class's mean."""
        mean = np.array(self._drawn.class_work_ms)[classes]
        return np.clip(np.rint(2 * work / mean), 1, self._load.most_units).astype(int)

    def _classes(self, rng: np.random.Generator, count: int) -> np.ndarray:
        shares = np.array([c.share for c in self._drawn.scenario.classes])
        return rng.choice(len(shares), count, p=shares / shares.sum())

    def _mean_units(self, rng: np.random.Generator) -> float:
        classes = self._classes(rng, SAMPLES)
        return float(self._units_of(self._work(rng, classes), classes).mean())

    def _draw_customers(self, rng: np.random.Generator) -> tuple[np.ndarray, list[tuple[int, float]]]:
        """Who there is; for each the requests a second of its own, and of spikes their rate."""
        load = self._load
        shares = np.array([plan.share for plan in self._drawn.scenario.plans])
        shares = shares / shares.sum()
        full, heavy, spiky = (draw_between(rng, span) for span in (load.full, load.heavy, load.spiky))
        calm = (load.calm_use.least + load.calm_use.most) / 2
        rest = max(0.0, 1 - full - heavy - spiky)
        mean_use = (rest + spiky) * calm + full * sum(FULL_USE) / 2 + heavy
        base: list[np.ndarray] = []
        spikes: list[tuple[int, float]] = []
        for number, plan in enumerate(self._drawn.plans):
            wanted = shares[number] * load.rate_per_s * self._units  # units a second inside the quotas
            count = max(2, round(wanted / (plan.rate * mean_use)))
            kind = rng.choice(
                4, count, p=np.array([rest, full, heavy, spiky]) / (rest + full + heavy + spiky)
            )
            use = np.where(
                kind == 1,
                rng.uniform(*FULL_USE, count),
                rng.uniform(load.calm_use.least, load.calm_use.most, count),
            )
            use[kind == 2] = 1.0
            use *= wanted / (plan.rate * use.sum())
            room = load.most_excess * wanted / plan.rate / max(1, int((kind >= 2).sum()))
            beyond = np.where(
                kind == 2,
                np.minimum(rng.uniform(load.heavy_times.least, load.heavy_times.most, count) - 1, room),
                0.0,
            )
            spikes += [
                (len(self.customers) + int(i), plan.rate / self._units) for i in np.flatnonzero(kind == 3)
            ]
            self._add_customers(rng, number, count)
            base.append((use + beyond) * plan.rate / self._units)
        return np.concatenate(base), spikes

    def _add_customers(self, rng: np.random.Generator, plan: int, count: int) -> None:
        fleet = len(self._drawn.gateways)
        figures, spread = self._drawn.plans[plan], self._drawn.scenario.plans[plan].spread
        most = (
            fleet
            if not figures.ceiling_burst
            else max(1, min(fleet, int(figures.ceiling_burst / (2 * self._load.most_units))))
        )
        widths = np.clip(np.rint(rng.uniform(spread.least, spread.most, count) * fleet), min(2, most), most)
        ids = rng.integers(2**33, size=count)
        firsts = rng.integers(fleet, size=count)
        self.customers += [
            Customer(f"{int(i):016x}", plan, int(w), int(f))
            for i, w, f in zip(ids, widths, firsts, strict=True)
        ]

    def _draw_shares(self, rng: np.random.Generator) -> list[np.ndarray]:
        """By customer, an array (epochs, width): what part of its requests comes through which gateways,
        summed up from the first."""
        skew = max(draw_between(rng, self._load.skew), 1e-3)
        shares = []
        for i, customer in enumerate(self.customers):
            epochs = int(self._length_ms / self.shift_ms[i]) + 2
            weights = rng.gamma(1 / skew**2, size=(epochs, customer.width)) + 1e-12
            shares.append(np.cumsum(weights / weights.sum(axis=1, keepdims=True), axis=1))
        return shares

    def _shape(self, at_ms: np.ndarray, swing: float) -> np.ndarray:
        """The rate over the scenario's, at times."""
        load, length = self._load, self._length_ms
        shape = 1 + swing * np.sin(2 * np.pi * at_ms / min(length, 30_000.0))
        if load.shape == "ramp":
            shape *= 1 + (load.to_per_s / load.rate_per_s - 1) * at_ms / length
        elif load.shape == "burst":
            start, end = load.burst_at_s * 1000, (load.burst_at_s + load.burst_for_s) * 1000
            shape *= np.where((at_ms >= start) & (at_ms < end), load.to_per_s / load.rate_per_s, 1.0)
        return shape

    def _draw_arrivals(
        self, rng: np.random.Generator, base: np.ndarray, spikes: list[tuple[int, float]]
    ) -> tuple[np.ndarray, np.ndarray]:
        """When who wants something: times in milliseconds, customers by number, in order of time."""
        load, length = self._load, self._length_ms
        swing = draw_between(rng, load.swing)
        top = (1 + swing) * max(1.0, load.to_per_s / load.rate_per_s if load.shape != "steady" else 1.0)
        count = rng.poisson(base.sum() * length / 1000 * top)
        at = rng.uniform(0, length, count)
        at = at[rng.uniform(0, top, count) < self._shape(at, swing)]
        parts = [(at, rng.choice(len(base), len(at), p=base / base.sum()))]
        for customer, rate in spikes:
            start = rng.uniform(0, load.spike_every_s.most * 1000)
            while start < length:
                lasts = draw_between(rng, load.spike_s) * 1000
                times = draw_between(rng, load.spike_times)
                extra = rng.uniform(start, start + lasts, rng.poisson(rate * times * lasts / 1000))
                parts.append((extra[extra < length], np.full((extra < length).sum(), customer)))
                start += draw_between(rng, load.spike_every_s) * 1000
        parts += self._draw_floods()
        due, who = np.concatenate([p[0] for p in parts]), np.concatenate([p[1] for p in parts])
        order = np.argsort(due, kind="stable")
        return due[order], who[order].astype(int)

    def _draw_floods(self) -> list[tuple[np.ndarray, np.ndarray]]:
        parts = []
        for i, fault in enumerate(self._drawn.scenario.faults):
            if fault.kind != "flood":
                continue
            rng = self._drawn.random_streams.stream("fault", i)
            start, lasts = fault.at_s * 1000, draw_between(rng, fault.for_s) * 1000
            lasts = min(lasts, self._length_ms - start)
            count = rng.poisson(draw_between(rng, fault.size) * self._load.rate_per_s * lasts / 1000)
            chosen = rng.choice(len(self.customers), min(fault.customers, len(self.customers)), replace=False)
            parts.append((rng.uniform(start, start + lasts, count), rng.choice(chosen, count)))
        return parts

    def _draw_tries(self, rng: np.random.Generator, due: np.ndarray, who: np.ndarray) -> list[FirstTry]:
        s, count = self._drawn.scenario, len(due)
        classes = self._classes(rng, count)
        work = self._work(rng, classes)
        units = self._units_of(work, classes)
        guess = units * np.exp(rng.standard_normal(count) * draw_between(rng, s.load.guess_spread))
        guess = np.clip(np.rint(guess), 1, s.load.most_units).astype(int)
        deadlines = np.array([c.deadline_ms for c in s.classes])[classes]
        try_ms = deadlines * rng.uniform(s.clients.try_share.least, s.clients.try_share.most, count)
        leaves = np.where(
            rng.random(count) < draw_between(rng, s.clients.impatient), rng.uniform(20, try_ms), 0.0
        )
        honours = rng.random(count) < draw_between(rng, s.clients.honour)
        lucks = rng.random((count, s.clients.retries + 1, 2))
        return [
            FirstTry(
                i,
                round(float(due[i]), 3),
                int(who[i]),
                int(classes[i]),
                int(units[i]),
                int(guess[i]),
                round(float(work[i]), 3),
                round(float(try_ms[i]), 3),
                round(float(leaves[i]), 3),
                bool(honours[i]),
                tuple(lucks[i, :, 0].tolist()),
                tuple(lucks[i, :, 1].tolist()),
            )
            for i in range(count)
        ]


HOLDING_MACHINES = 3

# Faults that are one change and its end: what they strike, both changes, and the size that is none; no size
# where there is none to tell.
SERVERS, GATEWAYS, HOLDING, ALL = "servers", "gateways", "holding", "all"
SIMPLE = {
    "crash": (SERVERS, "server_crash", "server_start", None),
    "vanish": (SERVERS, "server_silent", "server_start", None),
    "fail_fast": (SERVERS, "server_fails", "server_fails", 0.0),
    "slow": (SERVERS, "server_slow", "server_slow", 1.0),
    "reset": (ALL, "answers_lost", "answers_lost", 0.0),
    "late_list": (ALL, "list_late", "list_late", 1.0),
    "list_down": (ALL, "list_down", "list_up", None),
    "counter_down": (ALL, "counter_down", "counter_up", None),
    "gateway_killed": (GATEWAYS, "gateway_kill", "gateway_start", None),
    "holding_lost": (HOLDING, "holding_lost", "holding_start", None),
}


class FaultPlan:
    """The scenario's faults as changes of single things at times."""

    def __init__(self, drawn: GeneratedWorld) -> None:
        self._drawn = drawn
        self._here = [server for server in drawn.servers if server.at_start]
        self._new = [server for server in drawn.servers if not server.at_start]

    def changes(self) -> Iterator[FaultEvent]:
        """All of them, in the order of the faults."""
        for i, fault in enumerate(self._drawn.scenario.faults):
            if fault.kind == "flood":
                continue  # it is in the load
            rng = self._drawn.random_streams.stream("fault", i)
            part = draw_between(rng, fault.part)
            at, until = fault.at_s * 1000, (fault.at_s + draw_between(rng, fault.for_s)) * 1000
            play = self._simple if fault.kind in SIMPLE else getattr(self, f"_{fault.kind}")
            yield from play(fault, rng, part, at, until)

    def _servers(self, rng: np.random.Generator, part: float) -> list[str]:
        return self._some(rng, [server.name for server in self._here], part)

    def _gateways(self, rng: np.random.Generator, part: float) -> list[str]:
        return self._some(rng, [gateway.name for gateway in self._drawn.gateways], part)

    def _holding(self, rng: np.random.Generator, part: float) -> list[str]:
        return self._some(rng, [f"m{i}" for i in range(HOLDING_MACHINES)], part)

    def _some(self, rng: np.random.Generator, names: Sequence[str], part: float) -> list[str]:
        picked = rng.choice(len(names), _struck(len(names), part), replace=False)
        return [names[i] for i in sorted(picked)]

    def _zone(self, fault: Fault, rng: np.random.Generator) -> str:
        zones = self._drawn.scenario.fleet.zones
        return fault.zone or zones[int(rng.integers(len(zones)))]

    def _simple(
        self, fault: Fault, rng: np.random.Generator, part: float, at: float, until: float
    ) -> Iterator[FaultEvent]:
        strikes, begins, ends, none = SIMPLE[fault.kind]
        struck = {SERVERS: self._servers, GATEWAYS: self._gateways, HOLDING: self._holding}
        names = struck.get(strikes, lambda rng, part: [""])
        for name in names(rng, part):
            size = 0.0 if none is None else draw_between(rng, fault.size)
            yield FaultEvent(at, begins, name, size)
            yield FaultEvent(until, ends, name, none or 0.0)

    def _cut_off(
        self, fault: Fault, rng: np.random.Generator, part: float, at: float, until: float
    ) -> Iterator[FaultEvent]:
        zone = self._zone(fault, rng)
        yield FaultEvent(at, "zone_cut", zone)
        yield FaultEvent(until, "zone_joined", zone)

    def _zone_lost(
        self, fault: Fault, rng: np.random.Generator, part: float, at: float, until: float
    ) -> Iterator[FaultEvent]:
        """All that stands in a zone: its servers, its gateways, and the counter in the first one."""
        zone = self._zone(fault, rng)
        for server in self._here:
            if server.zone == zone:
                yield FaultEvent(at, "server_silent", server.name)
                yield FaultEvent(until, "server_start", server.name)
        for gateway in self._drawn.gateways:
            if gateway.zone == zone:
                yield FaultEvent(at, "gateway_kill", gateway.name)
                yield FaultEvent(until, "gateway_start", gateway.name)
        if zone == self._drawn.scenario.fleet.zones[0]:
            yield FaultEvent(at, "counter_down")
            yield FaultEvent(until, "counter_up")

    def _gateway_restarted(
        self, fault: Fault, rng: np.random.Generator, part: float, at: float, until: float
    ) -> Iterator[FaultEvent]:
        for i, name in enumerate(self._gateways(rng, part)):
            yield FaultEvent(at + i * STEP_S * 1000, "gateway_restart", name)

    def _reconfigured(
        self, fault: Fault, rng: np.random.Generator, part: float, at: float, until: float
    ) -> Iterator[FaultEvent]:
        for gateway in self._drawn.gateways:
            yield FaultEvent(at, "gateway_move", gateway.name)

    def _release(
        self, fault: Fault, rng: np.random.Generator, part: float, at: float, until: float
    ) -> Iterator[FaultEvent]:
        """Servers replaced one after another: the new one comes, the old one drains, then is gone."""
        names = self._servers(rng, part)
        for i, name in enumerate(names):
            then = at + (until - at) * i / len(names)
            yield FaultEvent(then, "server_start", self._new.pop(0).name)
            yield FaultEvent(then, "server_drain", name)
            yield FaultEvent(then + DRAIN_S * 1000, "server_stop", name)
