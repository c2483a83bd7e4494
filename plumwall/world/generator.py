"""Generates the concrete world of a scenario from a seed: servers, customers, first tries and fault events.

The same scenario and seed give the same world. Each part draws from a random stream of its own, named by its
purpose, so that a change to one part leaves the draws of the others unchanged.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator, Sequence

import msgspec
import numpy as np
from msgspec import Struct

from plumwall.scenario import Fault, Plan, Scenario, Span

DRAIN_DURATION_S = 4.0  # from the drain of a replaced server to its stop, in which it finishes its requests
RESTART_INTERVAL_S = 0.25  # between the restarts of two gateways
MEAN_UNITS_SAMPLES = 20_000  # requests drawn to estimate the mean units of a request
NEAR_QUOTA_USE = 0.9, 1.0  # range of the used share of a quota, for customers near their quota


class ServerSpec(Struct, frozen=True):
    """Actual properties of one server, most of which gateways do not know."""

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
    at_start: bool = True  # False: it is started by a release


class GatewaySpec(Struct, frozen=True):
    """Name, index and zone of one gateway."""

    name: str
    number: int
    zone: str


class PlanFigures(Struct, frozen=True):
    """Quota and ceiling of each customer of a plan, in units and units per second, as drawn."""

    name: str
    rate: float
    burst: float
    price: float
    over_cost: float
    ceiling_rate: float
    ceiling_burst: float
    ceiling_slack: float


class Customer(Struct, frozen=True):
    """A customer with the index of its plan and its set of `width` gateways from the index `first` on."""

    id: str
    plan: int
    width: int
    first: int


class FirstTry(Struct, frozen=True):
    """The first try of a request, with every random draw that its client needs for the retries."""

    index: int
    due_ms: float
    customer: int
    cls: int
    units: int  # actual units; gateways learn them from the answer
    guess: int  # units that the client declares in the request
    work_ms: float
    try_ms: float  # timeout of one try
    leaves_ms: float  # the client disconnects after this; 0: never
    honours: bool  # whether the client obeys Retry-After
    gateway_luck: tuple[float, ...]  # by try, in [0, 1)
    backoff_luck: tuple[float, ...]


class FaultEvent(Struct, frozen=True):
    """One change of state injected into one target at a time."""

    at_ms: float
    kind: str
    target: str = ""
    size: float = 0.0


class RandomStreams:
    """Independent random streams of one seed, by name."""

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def stream(self, *names: object) -> np.random.Generator:
        """Return a new generator at the start of the stream of this name."""
        key = tuple(zlib.crc32(str(name).encode()) for name in names)
        return np.random.default_rng(np.random.SeedSequence(self._seed, spawn_key=key))


def draw_between(rng: np.random.Generator, span: Span) -> float:
    """Draw uniformly from a span."""
    return float(rng.uniform(span.least, span.most))


class GeneratedWorld:
    """The world that a scenario and a seed generate."""

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
        self.fault_events = tuple(
            sorted(FaultPlan(self).fault_events(), key=lambda c: (c.at_ms, c.kind, c.target))
        )
        workload = Workload(self)
        self.customers, self.cumulative_shares = workload.customers, workload.cumulative_shares
        self.first_tries = workload.tries
        self.shift_period_ms = workload.shift_period_ms

    def settings(self, gateway: GatewaySpec) -> dict[str, object]:
        """Return the settings of a gateway, in the format of its settings file."""
        scenario = self.scenario
        return {
            "domain_type": "gate",
            "tick_ms": 2.0,
            "fleet_size": len(self.gateways),
            "me": gateway.number,
            "layer": 0,
            "zone": gateway.zone,
            "zones": scenario.fleet.zones,
            "kinds": ["std"],
            "tiers": ["statement-fleet"],
            "weights": "nominal",
            "membership_mode": "pushed",
            "grades": [_class_settings(cls) for cls in scenario.classes],
            "packages": [_plan_settings(plan) for plan in self.plans],
            "bounds": {
                "cancel": True,
                "conn_idle_ms": scenario.servers.idle_ms,
                "dial_timeout_ms": scenario.servers.dial_ms,
                "max_retry_after_ms": scenario.clients.max_retry_after_ms,
                "open_cap": 20000,
                "peers": False,
                "probing": True,
                "retry_after": True,
                "second_copies": False,
                "streams_per_conn": 1,
                "try_limit": scenario.fleet.max_attempts,
                "cpu_us_per_s": 1e6,
                "cpu_us_per_request": 0.0,
            },
            "clients": {"marks_retry": True},
            "family_info": {
                "count_fee": scenario.goal.counter,
                "count_wait_ms": scenario.counter.wait_ms,
                "may_count": True,
                "most_units": scenario.load.most_units,
                "peer_in_per_s": 0.0,
                "trued_up": True,
                "use_period_ms": 0.0,
            },
            "penalties": {
                "cross_zone": scenario.goal.cross_zone,
                "handshake": scenario.goal.handshake,
                "late_fail": scenario.goal.late_fail,
                "probe": scenario.goal.probe,
                "waste": scenario.goal.waste,
            },
            "report": {"how": "inline", "names": ["util", "inflight", "queue"]},
            "rules": {
                "answer_slack_ms": scenario.rules.socket_ms,
                "cold_from": scenario.servers.cold_from.least,
                "cold_ms": scenario.servers.cold_s.most * 1000,
                "fall_multiple": scenario.rules.fall_multiple,
                "must_ask_in_ms": 10000.0,
                "stop_sending_within_ms": scenario.rules.drain_ms,
                "tip_after_ms": scenario.rules.fall_ms,
            },
            "score_parts": {
                "whole": scenario.goal.whole,
                "worst_class": 0.0,
                "worst_tenant": scenario.goal.worst_plan,
                "worst_window": scenario.goal.worst_window,
            },
        }

    def lines(self) -> Iterator[bytes]:
        """Yield the world as JSON lines, equal byte for byte for equal worlds."""
        for records in (self.servers, self.plans, self.customers, self.fault_events, self.first_tries):
            for record in records:
                yield msgspec.json.encode(record)

    def gateway_of(self, first: FirstTry, number: int, at_ms: float) -> int:
        """Return the index of the gateway of a try; the shares of a customer's gateways change over time."""
        customer = self.customers[first.customer]
        epoch_shares = self.cumulative_shares[first.customer]
        epoch = min(int(at_ms / self.shift_period_ms[first.customer]), len(epoch_shares) - 1)
        draw = first.gateway_luck[min(number, len(first.gateway_luck) - 1)]
        position = int(np.searchsorted(epoch_shares[epoch], draw, side="right"))
        return (customer.first + min(position, customer.width - 1)) % len(self.gateways)

    def _draw_servers(self) -> list[ServerSpec]:
        parameters = self.scenario.servers
        rng = self.random_streams.stream("servers")
        replaced = sum(
            _affected_count(
                parameters.count, draw_between(self.random_streams.stream("fault", i), fault.part)
            )
            for i, fault in enumerate(self.scenario.faults)
            if fault.kind == "release"
        )
        cell_size = max(1, round(draw_between(rng, parameters.cell_size)))
        servers = []
        for i in range(parameters.count + replaced):
            zones = self.scenario.fleet.zones
            speed, cores = draw_between(rng, parameters.speed), parameters.cores
            servers.append(
                ServerSpec(
                    name=f"s-{int(rng.integers(2**32)):08x}",
                    zone=zones[i % len(zones)],
                    cores=cores,
                    speed=speed,
                    cell=(i // len(zones) // cell_size) * len(zones) + i % len(zones),
                    slots=max(1, round(draw_between(rng, parameters.slots_per_core) * cores)),
                    queue=round(draw_between(rng, parameters.queue_per_core) * cores),
                    thrash=draw_between(rng, parameters.thrash),
                    thrash_at=draw_between(rng, parameters.thrash_at),
                    cold_from=draw_between(rng, parameters.cold_from),
                    cold_ms=draw_between(rng, parameters.cold_s) * 1000,
                    handshake_ms=draw_between(rng, parameters.handshake_us) / 1000,
                    connections=max(1, round(draw_between(rng, parameters.connections_per_core) * cores)),
                    error_rate=draw_between(rng, parameters.error_rate),
                    noise=draw_between(rng, parameters.attempt_noise),
                    report_period_ms=draw_between(rng, parameters.report_period_ms),
                    report_delay_ms=draw_between(rng, parameters.report_delay_ms),
                    report_noise=draw_between(rng, parameters.report_noise),
                    drops_expired=parameters.drops_expired,
                    at_start=i < parameters.count,
                )
            )
        return servers

    def _draw_plan(self, plan: Plan) -> PlanFigures:
        rng = self.random_streams.stream("plan", plan.name)
        max_units = self.scenario.load.most_units
        rate = draw_between(rng, plan.rate_per_s)
        ceiling = draw_between(rng, plan.ceiling)
        burst = max(rate * draw_between(rng, plan.burst_s), max_units * (4.0 if ceiling else 2.0))
        slack = max(self.scenario.rules.ceiling_slack * burst * ceiling, max_units) if ceiling else 0.0
        return PlanFigures(
            plan.name, rate, burst, plan.price, plan.over_cost, rate * ceiling, burst * ceiling, slack
        )


def _class_settings(cls: object) -> dict[str, object]:
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


def _plan_settings(plan: PlanFigures) -> dict[str, object]:
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


def _affected_count(count: int, part: float) -> int:
    """Return how many targets a fault affects: at least one."""
    return min(count, max(1, round(count * part)))


class Workload:
    """The customers and their requests."""

    def __init__(self, world: GeneratedWorld) -> None:
        self._world, self._load = world, world.scenario.load
        self._length_ms = world.scenario.length_s * 1000
        rng = world.random_streams.stream("customers")
        self._mean_units = self._estimate_mean_units(world.random_streams.stream("units"))
        self.customers: list[Customer] = []
        base_rates, spikes = self._draw_customers(rng)
        self.shift_period_ms = (
            rng.uniform(self._load.shift_s.least, self._load.shift_s.most, len(self.customers)) * 1000
        )
        self.cumulative_shares = self._draw_shares(rng)
        due_ms, customer_indices = self._draw_arrivals(
            world.random_streams.stream("arrivals"), base_rates, spikes
        )
        self.tries = self._draw_tries(world.random_streams.stream("tries"), due_ms, customer_indices)

    def _draw_work(self, rng: np.random.Generator, classes: np.ndarray) -> np.ndarray:
        """Draw the work of requests of these classes, log-normally, in ms of one core."""
        spread = np.array(
            [
                draw_between(self._world.random_streams.stream("spread", cls.name), cls.spread)
                for cls in self._world.scenario.classes
            ]
        )
        mean = np.array(self._world.class_work_ms)
        sigma = np.sqrt(np.log1p(spread**2))[classes]
        return mean[classes] * np.exp(rng.standard_normal(len(classes)) * sigma - sigma**2 / 2)

    def _units_for_work(self, work_ms: np.ndarray, classes: np.ndarray) -> np.ndarray:
        """Return units in proportion to the work: two for the mean work of the class."""
        mean_ms = np.array(self._world.class_work_ms)[classes]
        return np.clip(np.rint(2 * work_ms / mean_ms), 1, self._load.most_units).astype(int)

    def _draw_classes(self, rng: np.random.Generator, count: int) -> np.ndarray:
        shares = np.array([cls.share for cls in self._world.scenario.classes])
        return rng.choice(len(shares), count, p=shares / shares.sum())

    def _estimate_mean_units(self, rng: np.random.Generator) -> float:
        classes = self._draw_classes(rng, MEAN_UNITS_SAMPLES)
        return float(self._units_for_work(self._draw_work(rng, classes), classes).mean())

    def _draw_customers(self, rng: np.random.Generator) -> tuple[np.ndarray, list[tuple[int, float]]]:
        """Add the customers; return their steady rates per second, and base rates of spikes by customer."""
        load = self._load
        shares = np.array([plan.share for plan in self._world.scenario.plans])
        shares = shares / shares.sum()
        near_quota, heavy, spiky = (draw_between(rng, span) for span in (load.full, load.heavy, load.spiky))
        mean_calm_use = (load.calm_use.least + load.calm_use.most) / 2
        calm = max(0.0, 1 - near_quota - heavy - spiky)
        mean_use = (calm + spiky) * mean_calm_use + near_quota * sum(NEAR_QUOTA_USE) / 2 + heavy
        base_rates: list[np.ndarray] = []
        spikes: list[tuple[int, float]] = []
        for plan_index, plan in enumerate(self._world.plans):
            # Units per second that the customers of the plan ask for within their quotas.
            plan_units_per_s = shares[plan_index] * load.rate_per_s * self._mean_units
            count = max(2, round(plan_units_per_s / (plan.rate * mean_use)))
            behaviour = rng.choice(
                4, count, p=np.array([calm, near_quota, heavy, spiky]) / (calm + near_quota + heavy + spiky)
            )
            use = np.where(
                behaviour == 1,
                rng.uniform(*NEAR_QUOTA_USE, count),
                rng.uniform(load.calm_use.least, load.calm_use.most, count),
            )
            use[behaviour == 2] = 1.0
            use *= plan_units_per_s / (plan.rate * use.sum())
            max_excess = load.most_excess * plan_units_per_s / plan.rate / max(1, int((behaviour >= 2).sum()))
            excess = np.where(
                behaviour == 2,
                np.minimum(rng.uniform(load.heavy_times.least, load.heavy_times.most, count) - 1, max_excess),
                0.0,
            )
            spikes += [
                (len(self.customers) + int(index), plan.rate / self._mean_units)
                for index in np.flatnonzero(behaviour == 3)
            ]
            self._add_customers(rng, plan_index, count)
            base_rates.append((use + excess) * plan.rate / self._mean_units)
        return np.concatenate(base_rates), spikes

    def _add_customers(self, rng: np.random.Generator, plan: int, count: int) -> None:
        fleet_size = len(self._world.gateways)
        figures, spread = self._world.plans[plan], self._world.scenario.plans[plan].spread
        max_width = (
            fleet_size
            if not figures.ceiling_burst
            else max(1, min(fleet_size, int(figures.ceiling_burst / (2 * self._load.most_units))))
        )
        widths = np.clip(
            np.rint(rng.uniform(spread.least, spread.most, count) * fleet_size), min(2, max_width), max_width
        )
        ids = rng.integers(2**33, size=count)
        firsts = rng.integers(fleet_size, size=count)
        self.customers += [
            Customer(f"{int(i):016x}", plan, int(w), int(f))
            for i, w, f in zip(ids, widths, firsts, strict=True)
        ]

    def _draw_shares(self, rng: np.random.Generator) -> list[np.ndarray]:
        """Return by customer an array (epochs, width): the cumulative shares of its requests by gateway."""
        skew = max(draw_between(rng, self._load.skew), 1e-3)
        shares = []
        for i, customer in enumerate(self.customers):
            epochs = int(self._length_ms / self.shift_period_ms[i]) + 2
            weights = rng.gamma(1 / skew**2, size=(epochs, customer.width)) + 1e-12
            shares.append(np.cumsum(weights / weights.sum(axis=1, keepdims=True), axis=1))
        return shares

    def _rate_factor(self, at_ms: np.ndarray, swing: float) -> np.ndarray:
        """Return the factor on the base rate of the scenario at these times."""
        load, length_ms = self._load, self._length_ms
        factor = 1 + swing * np.sin(2 * np.pi * at_ms / min(length_ms, 30_000.0))
        if load.shape == "ramp":
            factor *= 1 + (load.to_per_s / load.rate_per_s - 1) * at_ms / length_ms
        elif load.shape == "burst":
            start_ms, end_ms = load.burst_at_s * 1000, (load.burst_at_s + load.burst_for_s) * 1000
            factor *= np.where((at_ms >= start_ms) & (at_ms < end_ms), load.to_per_s / load.rate_per_s, 1.0)
        return factor

    def _draw_arrivals(
        self, rng: np.random.Generator, base_rates: np.ndarray, spikes: list[tuple[int, float]]
    ) -> tuple[np.ndarray, np.ndarray]:
        """Draw the arrivals: times in ms and indices of customers, ordered by time."""
        load, length_ms = self._load, self._length_ms
        swing = draw_between(rng, load.swing)
        max_factor = (1 + swing) * max(
            1.0, load.to_per_s / load.rate_per_s if load.shape != "steady" else 1.0
        )
        count = rng.poisson(base_rates.sum() * length_ms / 1000 * max_factor)
        at_ms = rng.uniform(0, length_ms, count)
        at_ms = at_ms[rng.uniform(0, max_factor, count) < self._rate_factor(at_ms, swing)]
        parts = [(at_ms, rng.choice(len(base_rates), len(at_ms), p=base_rates / base_rates.sum()))]
        for customer, rate in spikes:
            start_ms = rng.uniform(0, load.spike_every_s.most * 1000)
            while start_ms < length_ms:
                duration_ms = draw_between(rng, load.spike_s) * 1000
                multiple = draw_between(rng, load.spike_times)
                spike_at_ms = rng.uniform(
                    start_ms, start_ms + duration_ms, rng.poisson(rate * multiple * duration_ms / 1000)
                )
                parts.append(
                    (spike_at_ms[spike_at_ms < length_ms], np.full((spike_at_ms < length_ms).sum(), customer))
                )
                start_ms += draw_between(rng, load.spike_every_s) * 1000
        parts += self._draw_floods()
        due_ms, customer_indices = (
            np.concatenate([part[0] for part in parts]),
            np.concatenate([part[1] for part in parts]),
        )
        order = np.argsort(due_ms, kind="stable")
        return due_ms[order], customer_indices[order].astype(int)

    def _draw_floods(self) -> list[tuple[np.ndarray, np.ndarray]]:
        parts = []
        for i, fault in enumerate(self._world.scenario.faults):
            if fault.kind != "flood":
                continue
            rng = self._world.random_streams.stream("fault", i)
            start_ms, duration_ms = fault.at_s * 1000, draw_between(rng, fault.for_s) * 1000
            duration_ms = min(duration_ms, self._length_ms - start_ms)
            count = rng.poisson(draw_between(rng, fault.size) * self._load.rate_per_s * duration_ms / 1000)
            chosen = rng.choice(len(self.customers), min(fault.customers, len(self.customers)), replace=False)
            parts.append((rng.uniform(start_ms, start_ms + duration_ms, count), rng.choice(chosen, count)))
        return parts

    def _draw_tries(
        self, rng: np.random.Generator, due_ms: np.ndarray, customer_indices: np.ndarray
    ) -> list[FirstTry]:
        scenario, count = self._world.scenario, len(due_ms)
        classes = self._draw_classes(rng, count)
        work_ms = self._draw_work(rng, classes)
        units = self._units_for_work(work_ms, classes)
        guess = units * np.exp(rng.standard_normal(count) * draw_between(rng, scenario.load.guess_spread))
        guess = np.clip(np.rint(guess), 1, scenario.load.most_units).astype(int)
        deadlines_ms = np.array([cls.deadline_ms for cls in scenario.classes])[classes]
        try_ms = deadlines_ms * rng.uniform(
            scenario.clients.try_share.least, scenario.clients.try_share.most, count
        )
        leaves_ms = np.where(
            rng.random(count) < draw_between(rng, scenario.clients.impatient), rng.uniform(20, try_ms), 0.0
        )
        honours = rng.random(count) < draw_between(rng, scenario.clients.honour)
        draws = rng.random((count, scenario.clients.retries + 1, 2))
        return [
            FirstTry(
                i,
                round(float(due_ms[i]), 3),
                int(customer_indices[i]),
                int(classes[i]),
                int(units[i]),
                int(guess[i]),
                round(float(work_ms[i]), 3),
                round(float(try_ms[i]), 3),
                round(float(leaves_ms[i]), 3),
                bool(honours[i]),
                tuple(draws[i, :, 0].tolist()),
                tuple(draws[i, :, 1].tolist()),
            )
            for i in range(count)
        ]


HOLDING_MACHINES = 3

# Faults that consist of one change and its reversal: the kind of target, the kinds of both events, and the
# size that restores the normal state; None for faults without a size.
SERVERS, GATEWAYS, HOLDING, ALL = "servers", "gateways", "holding", "all"
REVERSIBLE_FAULTS = {
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
    """Expands the faults of a scenario into timed changes of single targets."""

    def __init__(self, world: GeneratedWorld) -> None:
        self._world = world
        self._initial_servers = [server for server in world.servers if server.at_start]
        self._release_servers = [server for server in world.servers if not server.at_start]

    def fault_events(self) -> Iterator[FaultEvent]:
        """Yield the events in the order of the faults in the scenario."""
        for i, fault in enumerate(self._world.scenario.faults):
            if fault.kind == "flood":
                continue  # part of the arrivals: Workload
            rng = self._world.random_streams.stream("fault", i)
            part = draw_between(rng, fault.part)
            at_ms, until_ms = fault.at_s * 1000, (fault.at_s + draw_between(rng, fault.for_s)) * 1000
            generate = (
                self._change_and_reverse
                if fault.kind in REVERSIBLE_FAULTS
                else getattr(self, f"_{fault.kind}")
            )
            yield from generate(fault, rng, part, at_ms, until_ms)

    def _choose_servers(self, rng: np.random.Generator, part: float) -> list[str]:
        return self._choose(rng, [server.name for server in self._initial_servers], part)

    def _choose_gateways(self, rng: np.random.Generator, part: float) -> list[str]:
        return self._choose(rng, [gateway.name for gateway in self._world.gateways], part)

    def _choose_holding_machines(self, rng: np.random.Generator, part: float) -> list[str]:
        return self._choose(rng, [f"m{i}" for i in range(HOLDING_MACHINES)], part)

    def _choose(self, rng: np.random.Generator, names: Sequence[str], part: float) -> list[str]:
        chosen = rng.choice(len(names), _affected_count(len(names), part), replace=False)
        return [names[i] for i in sorted(chosen)]

    def _choose_zone(self, fault: Fault, rng: np.random.Generator) -> str:
        zones = self._world.scenario.fleet.zones
        return fault.zone or zones[int(rng.integers(len(zones)))]

    def _change_and_reverse(
        self, fault: Fault, rng: np.random.Generator, part: float, at_ms: float, until_ms: float
    ) -> Iterator[FaultEvent]:
        target_kind, start_kind, end_kind, normal_size = REVERSIBLE_FAULTS[fault.kind]
        choose_by_kind = {
            SERVERS: self._choose_servers,
            GATEWAYS: self._choose_gateways,
            HOLDING: self._choose_holding_machines,
        }
        choose = choose_by_kind.get(target_kind, lambda rng, part: [""])
        for name in choose(rng, part):
            size = 0.0 if normal_size is None else draw_between(rng, fault.size)
            yield FaultEvent(at_ms, start_kind, name, size)
            yield FaultEvent(until_ms, end_kind, name, normal_size or 0.0)

    def _cut_off(
        self, fault: Fault, rng: np.random.Generator, part: float, at_ms: float, until_ms: float
    ) -> Iterator[FaultEvent]:
        zone = self._choose_zone(fault, rng)
        yield FaultEvent(at_ms, "zone_cut", zone)
        yield FaultEvent(until_ms, "zone_joined", zone)

    def _zone_lost(
        self, fault: Fault, rng: np.random.Generator, part: float, at_ms: float, until_ms: float
    ) -> Iterator[FaultEvent]:
        """Lose a whole zone: its servers, its gateways, and the counter if it is the first zone."""
        zone = self._choose_zone(fault, rng)
        for server in self._initial_servers:
            if server.zone == zone:
                yield FaultEvent(at_ms, "server_silent", server.name)
                yield FaultEvent(until_ms, "server_start", server.name)
        for gateway in self._world.gateways:
            if gateway.zone == zone:
                yield FaultEvent(at_ms, "gateway_kill", gateway.name)
                yield FaultEvent(until_ms, "gateway_start", gateway.name)
        if zone == self._world.scenario.fleet.zones[0]:
            yield FaultEvent(at_ms, "counter_down")
            yield FaultEvent(until_ms, "counter_up")

    def _gateway_restarted(
        self, fault: Fault, rng: np.random.Generator, part: float, at_ms: float, until_ms: float
    ) -> Iterator[FaultEvent]:
        for i, name in enumerate(self._choose_gateways(rng, part)):
            yield FaultEvent(at_ms + i * RESTART_INTERVAL_S * 1000, "gateway_restart", name)

    def _reconfigured(
        self, fault: Fault, rng: np.random.Generator, part: float, at_ms: float, until_ms: float
    ) -> Iterator[FaultEvent]:
        for gateway in self._world.gateways:
            yield FaultEvent(at_ms, "gateway_move", gateway.name)

    def _release(
        self, fault: Fault, rng: np.random.Generator, part: float, at_ms: float, until_ms: float
    ) -> Iterator[FaultEvent]:
        """Replace servers in turn: each time a new one starts, the old one drains and later stops."""
        names = self._choose_servers(rng, part)
        for i, name in enumerate(names):
            replaced_at_ms = at_ms + (until_ms - at_ms) * i / len(names)
            yield FaultEvent(replaced_at_ms, "server_start", self._release_servers.pop(0).name)
            yield FaultEvent(replaced_at_ms, "server_drain", name)
            yield FaultEvent(replaced_at_ms + DRAIN_DURATION_S * 1000, "server_stop", name)
