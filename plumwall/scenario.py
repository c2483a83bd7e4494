"""Scenarios: the environment that gateways are tested in, its load and its faults, as a TOML file.

A field with a unit has it at the end of its name (`_ms`, `_s`, `_per_s`); shares are fractions of 1. Nearly
every field has a default, so a file sets only what it is about. Where a range `[least, most]` is allowed, the
value is drawn from it by the seed. The defaults are those of the deployment at the head office, from its
brief and its protocol.
"""

from __future__ import annotations

import difflib
import math
import re
import tomllib
import typing
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Literal, Self

import msgspec
from msgspec import Meta, Struct

BUILT_IN = Path(__file__).parent / "scenarios"
MAX_NUMBER = 1e9
UNITS = {"ms": "milliseconds", "s": "seconds", "us": "microseconds", "per_s": "a second", "mb": "MiB"}

NonNegative = Annotated[float, Meta(ge=0, le=MAX_NUMBER)]
Positive = Annotated[float, Meta(gt=0, le=MAX_NUMBER)]
Share = Annotated[float, Meta(ge=0, le=1)]
Multiple = Annotated[float, Meta(ge=1, le=1000)]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,31}$")]


class ScenarioError(ValueError):
    """A scenario is not valid; the text begins with the path of the field."""


class Span:
    """A number, or a range from which one is drawn: `3` or `[2, 4]` in the file. None is negative.

    A class that a hook decodes, because a union of a bounded number with a pair of them crashes msgspec 0.23.
    """

    __slots__ = ("least", "most")

    def __init__(self, least: float, most: float) -> None:
        for value in (least, most):
            if not self.allows(value):
                raise ValueError(f"{value:g} is not {self.bounds_text()}")
        if least > most:
            raise ValueError(f"{least:g} is above {most:g}")
        self.least, self.most = float(least), float(most)

    @classmethod
    def from_raw(cls, raw: object) -> Self:
        """Convert a decoded TOML value; ValueError says what is allowed."""
        pair = raw if isinstance(raw, list) and len(raw) == 2 else [raw, raw]
        if any(isinstance(value, bool) or not isinstance(value, (int, float)) for value in pair):
            raise ValueError(f"must be {cls.bounds_text()}, or a range [least, most] of them")
        return cls(float(pair[0]), float(pair[1]))

    @staticmethod
    def allows(value: float) -> bool:
        """Whether a number lies within the bounds."""
        return 0 <= value <= MAX_NUMBER

    @staticmethod
    def bounds_text() -> str:
        """The bounds as text for error messages."""
        return "a number of 0 or more"

    def __str__(self) -> str:
        return f"{self.least:g} to {self.most:g}" if self.least < self.most else f"{self.least:g}"


class PositiveSpan(Span):
    """A span of numbers above 0."""

    __slots__ = ()

    @staticmethod
    def allows(value: float) -> bool:
        return 0 < value <= MAX_NUMBER

    @staticmethod
    def bounds_text() -> str:
        return "a number above 0"


class ShareSpan(Span):
    """A span of shares from 0 to 1."""

    __slots__ = ()

    @staticmethod
    def allows(value: float) -> bool:
        return 0 <= value <= 1

    @staticmethod
    def bounds_text() -> str:
        return "a share from 0 to 1"


def _decode_span(kind: type, raw: object) -> object:
    if isinstance(kind, type) and issubclass(kind, Span):
        return kind.from_raw(raw)
    raise NotImplementedError(kind)


class _Table(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all tables of the file: an unknown key is an error."""


class Fleet(_Table):
    """The gateways."""

    gateways: Annotated[int, Meta(ge=1, le=250, description="number of gateways")] = 3
    zones: Annotated[
        list[Name],
        Meta(
            min_length=1, max_length=8, description="gateways and servers are spread over these zones in turn"
        ),
    ] = msgspec.field(default_factory=lambda: ["hall-a", "hall-b"])
    memory_mb: Annotated[
        Positive, Meta(description="a gateway that uses more is killed, which counts as a crash")
    ] = 192.0
    sockets: Annotated[int, Meta(ge=64, le=65536, description="file descriptors of a gateway")] = 1024
    max_attempts: Annotated[int, Meta(ge=1, le=20, description="attempts allowed for one request")] = 6


class Servers(_Table):
    """The statement servers."""

    count: Annotated[int, Meta(ge=1, le=2000, description="number of servers")] = 9
    cores: Annotated[int, Meta(ge=1, le=256, description="cores of each server")] = 2
    speed: Annotated[PositiveSpan, Meta(description="speed of a core; at 1, a request takes its work_ms")] = (
        PositiveSpan(0.85, 1.1)
    )
    slots_per_core: Annotated[PositiveSpan, Meta(description="requests worked on at once")] = PositiveSpan(
        2, 6
    )
    queue_per_core: Annotated[Span, Meta(description="requests that wait; further ones are turned away")] = (
        Span(8.1, 20)
    )
    thrash: Annotated[Span, Meta(description="efficiency lost for each request per core above thrash_at")] = (
        Span(0.088, 0.3)
    )
    thrash_at: Annotated[Span, Meta(description="requests held per core above which efficiency is lost")] = (
        Span(4.5, 7.9)
    )
    cold_from: Annotated[
        ShareSpan, Meta(description="share of its capacity that a cold server starts with")
    ] = ShareSpan(0.26, 0.48)
    cold_s: Annotated[
        PositiveSpan, Meta(description="time after its start at which a server is warm at the latest")
    ] = PositiveSpan(5.1, 17)
    connections_per_core: Annotated[
        PositiveSpan, Meta(description="connections held at once; on further ones requests are turned away")
    ] = PositiveSpan(400, 900)
    handshake_us: Annotated[Span, Meta(description="work that a new connection costs a server")] = Span(
        220, 1600
    )
    idle_ms: Annotated[Positive, Meta(description="time after which an idle connection is closed")] = 15000.0
    dial_ms: Annotated[
        Positive, Meta(description="time in which a gateway must have its connection established")
    ] = 250.0
    error_rate: Annotated[ShareSpan, Meta(description="share of requests answered 500 without any fault")] = (
        ShareSpan(0, 0.0005)
    )
    attempt_noise: Annotated[
        Span,
        Meta(description="standard deviation of the logarithm of an attempt's work divided by its request's"),
    ] = Span(0.08, 0.34)
    report_period_ms: Annotated[
        PositiveSpan, Meta(description="interval at which a load report is renewed")
    ] = PositiveSpan(100, 810)
    report_delay_ms: Annotated[Span, Meta(description="delay after which a new report is sent")] = Span(
        0.79, 170
    )
    report_noise: Annotated[Span, Meta(description="standard deviation of a report, as a share of it")] = (
        Span(0.076, 0.14)
    )
    cell_size: Annotated[
        PositiveSpan, Meta(description="servers of one cell, which drop repeats of a key together")
    ] = PositiveSpan(3, 5)
    drops_expired: Annotated[
        bool, Meta(description="whether a waiting request past its deadline is dropped")
    ] = True


class Network(_Table):
    """Latency between gateways and servers."""

    same_ms: Annotated[Span, Meta(description="one-way latency inside a zone")] = Span(0.095, 0.34)
    cross_ms: Annotated[Span, Meta(description="one-way latency between zones")] = Span(1.4, 2.6)


class Class(_Table):
    """A class of requests."""

    name: Annotated[Name, Meta(description="name of the class, as in X-Class")]
    share: Annotated[Positive, Meta(description="weight of its requests against those of the other classes")]
    work_ms: Annotated[PositiveSpan, Meta(description="mean work of a request on a core of speed 1")] = (
        PositiveSpan(110, 190)
    )
    spread: Annotated[Span, Meta(description="standard deviation of the work divided by its mean")] = Span(
        0.55, 1.2
    )
    aim_ms: Annotated[Positive, Meta(description="time in which an answer is wanted")] = 1500.0
    deadline_ms: Annotated[
        Positive, Meta(description="time after which an answer is useless to the client")
    ] = 4000.0
    worth: Annotated[NonNegative, Meta(description="worth of one unit answered in time")] = 1.0
    late_worth: Annotated[Share, Meta(description="share of the worth for an answer later than aim_ms")] = 0.0
    effect: Annotated[
        Literal["safe", "keyed", "unsafe"], Meta(description="whether a request may be repeated")
    ] = "safe"
    group: Annotated[
        Literal["all", "zone", "cell"], Meta(description="servers that drop repeats of a key together")
    ] = "cell"
    window_ms: Annotated[NonNegative, Meta(description="time for which these servers remember a key")] = (
        4000.0
    )


class Plan(_Table):
    """A plan and the customers on it."""

    name: Annotated[Name, Meta(description="name of the plan, as in Plan")]
    share: Annotated[
        Positive, Meta(description="weight of its use within quotas against that of the other plans")
    ]
    rate_per_s: Annotated[PositiveSpan, Meta(description="quota of a customer, in units")] = PositiveSpan(
        1.2, 2.1
    )
    burst_s: Annotated[
        PositiveSpan, Meta(description="size of the quota's token bucket, as a time at rate_per_s")
    ] = PositiveSpan(3.5, 5.3)
    price: Annotated[NonNegative, Meta(description="factor by which a unit's worth is multiplied")] = 1.0
    over_cost: Annotated[
        NonNegative, Meta(description="price of what is sent on beyond the quota, as a multiple of its worth")
    ] = 0.6
    ceiling: Annotated[
        Span, Meta(description="hard limit on what is sent on, as a multiple of the quota; 0: none")
    ] = Span(0.0, 0.0)
    spread: Annotated[
        ShareSpan, Meta(description="share of the gateways that a customer's requests come through")
    ] = ShareSpan(0.5, 1)


def _classes() -> list[Class]:
    return [
        Class(name="view-statement", share=0.59, spread=Span(0.56, 1.3)),
        Class(name="send-statement", share=0.21, aim_ms=1200, worth=3, late_worth=0.2, effect="keyed"),
        Class(name="post-remittance", share=0.2, aim_ms=1200, worth=3, late_worth=0.2, effect="unsafe"),
    ]


def _plans() -> list[Plan]:
    return [
        Plan(name="basic", share=0.45, price=0.8, over_cost=0.8),
        Plan(
            name="standard",
            share=0.35,
            rate_per_s=PositiveSpan(3.1, 5.4),
            burst_s=PositiveSpan(3.4, 5.6),
            price=1.1,
            ceiling=Span(1.7, 2.4),
        ),
        Plan(
            name="premium",
            share=0.2,
            rate_per_s=PositiveSpan(12, 22),
            burst_s=PositiveSpan(1.5, 2.8),
            price=1.6,
            over_cost=0.5,
        ),
    ]


class Load(_Table):
    """The load: requests within the quotas, and what some customers ask for beyond theirs."""

    rate_per_s: Annotated[Positive, Meta(description="first tries within the quotas")] = 45.0
    shape: Annotated[
        Literal["steady", "ramp", "burst"], Meta(description="how the rate changes over the run")
    ] = "steady"
    to_per_s: Annotated[NonNegative, Meta(description="rate at the end of a ramp or during a burst")] = 0.0
    burst_at_s: Annotated[NonNegative, Meta(description="time at which a burst begins")] = 0.0
    burst_for_s: Annotated[NonNegative, Meta(description="duration of a burst")] = 0.0
    swing: Annotated[ShareSpan, Meta(description="share of the rate by which it rises and falls")] = (
        ShareSpan(0.067, 0.18)
    )
    most_units: Annotated[int, Meta(ge=1, le=1000, description="most units of one request")] = 8
    guess_spread: Annotated[
        Span, Meta(description="standard deviation of the logarithm of guessed units divided by true ones")
    ] = Span(0.3, 0.7)
    calm_use: Annotated[ShareSpan, Meta(description="share of its quota that an ordinary customer uses")] = (
        ShareSpan(0.16, 0.49)
    )
    full: Annotated[
        ShareSpan, Meta(description="share of the customers that use nearly all of their quota")
    ] = ShareSpan(0.099, 0.19)
    heavy: Annotated[
        ShareSpan, Meta(description="share of the customers that ask beyond their quota all the time")
    ] = ShareSpan(0.06, 0.14)
    heavy_times: Annotated[
        PositiveSpan, Meta(description="rate that heavy customers ask for, as a multiple of the quota")
    ] = PositiveSpan(2.2, 5)
    spiky: Annotated[
        ShareSpan, Meta(description="share of the customers that ask beyond their quota in spikes")
    ] = ShareSpan(0.16, 0.24)
    spike_times: Annotated[
        PositiveSpan,
        Meta(description="rate that spiky customers ask for in a spike, as a multiple of the quota"),
    ] = PositiveSpan(2.9, 6.3)
    spike_s: Annotated[PositiveSpan, Meta(description="duration of a spike")] = PositiveSpan(0.57, 4.9)
    spike_every_s: Annotated[PositiveSpan, Meta(description="time from one spike to the next")] = (
        PositiveSpan(10, 25)
    )
    most_excess: Annotated[
        NonNegative, Meta(description="highest ratio of load beyond the quotas to load within them")
    ] = 0.9
    skew: Annotated[
        Span,
        Meta(description="spread of a customer's requests over gateways: standard deviation divided by mean"),
    ] = Span(0.51, 1.1)
    shift_s: Annotated[
        PositiveSpan, Meta(description="time after which a customer's busiest gateways change")
    ] = PositiveSpan(5.2, 24)


class Clients(_Table):
    """Behaviour of clients, and of the balancer that spreads them over the gateways."""

    retries: Annotated[int, Meta(ge=0, le=20, description="most tries after the first")] = 3
    try_share: Annotated[ShareSpan, Meta(description="share of the deadline that one try is given")] = (
        ShareSpan(0.5, 1)
    )
    backoff_ms: Annotated[
        PositiveSpan, Meta(description="backoff before the first retry; doubled for each further one")
    ] = PositiveSpan(60, 480)
    honour: Annotated[ShareSpan, Meta(description="share of the clients that follow Retry-After")] = (
        ShareSpan(0.41, 0.92)
    )
    impatient: Annotated[ShareSpan, Meta(description="share of the requests whose client leaves early")] = (
        ShareSpan(0, 0.01)
    )
    max_retry_after_ms: Annotated[
        NonNegative, Meta(description="longest Retry-After that a client follows")
    ] = 2000.0
    notice_s: Annotated[Span, Meta(description="time for which clients still connect to a dead gateway")] = (
        Span(2.2, 3.9)
    )


class Counter(_Table):
    """The quota counter."""

    calls_per_s: Annotated[PositiveSpan, Meta(description="calls that the counter answers")] = PositiveSpan(
        410, 550
    )
    parts: Annotated[
        int, Meta(ge=1, le=64, description="partitions over which the names of counters are spread")
    ] = 2
    call_ms: Annotated[Span, Meta(description="time that a call takes besides its wait in the queue")] = Span(
        0.52, 1.5
    )
    queue_ms: Annotated[
        Positive, Meta(description="longest wait in the queue; a call that would wait longer is turned away")
    ] = 80.0
    wait_ms: Annotated[Positive, Meta(description="time after which a gateway may give up a call")] = 50.0


class Listing(_Table):
    """The list of servers, and when gateways learn of its changes."""

    source: Annotated[
        Literal["agent", "registry", "holding"],
        Meta(description="agents beside gateways, the project's own list service, or three replicas of it"),
    ] = "agent"
    notice_s: Annotated[
        Span, Meta(description="time after which a gateway's list shows a drain or a dead process")
    ] = Span(0.8, 3.9)
    silent_notice_s: Annotated[
        Span, Meta(description="time after which the list shows that a server is silent")
    ] = Span(4.9, 10)
    add_s: Annotated[Span, Meta(description="time after which the list shows a new server")] = Span(0.57, 2)
    spread_ms: Annotated[
        Span, Meta(description="longest random delay that a gateway adds to these times")
    ] = Span(170, 370)


class Fault(_Table):
    """A fault that is injected at a given time."""

    kind: Annotated[
        Literal[
            "crash",
            "vanish",
            "fail_fast",
            "slow",
            "cut_off",
            "zone_lost",
            "reset",
            "late_list",
            "list_down",
            "counter_down",
            "gateway_killed",
            "gateway_restarted",
            "holding_lost",
            "reconfigured",
            "release",
            "flood",
        ],
        Meta(description="kind of fault"),
    ]
    at_s: Annotated[NonNegative, Meta(description="time at which the fault begins")]
    for_s: Annotated[Span, Meta(description="duration of the fault")] = Span(0.0, 0.0)
    part: Annotated[
        ShareSpan, Meta(description="share of the servers or gateways that it affects, at least one")
    ] = ShareSpan(0.1, 0.1)
    size: Annotated[
        Span,
        Meta(
            description="fail_fast: share that fails; slow: factor of the work; reset: share "
            "of answers lost; late_list: factor of the delays; flood: extra load "
            "as a share of the whole load"
        ),
    ] = Span(0.5, 0.5)
    zone: Annotated[str, Meta(description="zone that is lost or cut off; drawn by the seed if empty")] = ""
    customers: Annotated[int, Meta(ge=1, le=100, description="number of customers that flood")] = 1


class Rules(_Table):
    """Limits of the rules that the judge checks."""

    drain_ms: Annotated[
        NonNegative, Meta(description="time after which no attempt goes to a server that drains or is gone")
    ] = 2000.0
    fall_multiple: Annotated[
        Multiple, Meta(description="load at which a cold server falls over, as a multiple of its capacity")
    ] = 3.0
    fall_ms: Annotated[Positive, Meta(description="time for which it must be sent that load")] = 1500.0
    ceiling_slack: Annotated[
        Share,
        Meta(description="share of a ceiling's token bucket allowed beyond it, at least one largest request"),
    ] = 0.1
    socket_ms: Annotated[NonNegative, Meta(description="tolerance added to every limit on real sockets")] = (
        50.0
    )
    overdue_ms: Annotated[
        NonNegative,
        Meta(description="time past its deadline after which an unanswered request counts as lost"),
    ] = 500.0


class Goal(_Table):
    """Weights and prices that combine the service into one figure."""

    whole: Annotated[Share, Meta(description="weight of the service over the whole run")] = 0.65
    worst_window: Annotated[Share, Meta(description="weight of the service in the worst 10 s")] = 0.2
    worst_plan: Annotated[Share, Meta(description="weight of the service of the worst-served plan")] = 0.15
    waste: Annotated[NonNegative, Meta(description="price if as much work is wasted as was asked for")] = 0.16
    late_fail: Annotated[
        NonNegative, Meta(description="price if all requests fail, and only after their aim_ms")
    ] = 0.06
    cross_zone: Annotated[NonNegative, Meta(description="price of one attempt across zones per request")] = (
        0.02
    )
    probe: Annotated[NonNegative, Meta(description="price of one probe per request")] = 0.0079
    handshake: Annotated[NonNegative, Meta(description="price of one new connection per request")] = 0.0
    counter: Annotated[NonNegative, Meta(description="price of one call to the counter per request")] = 0.005


class Scenario(_Table):
    """A whole scenario file."""

    name: Annotated[Name, Meta(description="name of the scenario")]
    about: Annotated[str, Meta(description="what it shows, in one line")] = ""
    length_s: Annotated[Positive, Meta(description="duration of the load")] = 30.0
    fleet: Annotated[Fleet, Meta(description="the gateways")] = Fleet()
    servers: Annotated[Servers, Meta(description="the statement servers")] = Servers()
    network: Annotated[Network, Meta(description="latency between gateways and servers")] = Network()
    classes: Annotated[list[Class], Meta(min_length=1, description="classes of requests")] = msgspec.field(
        default_factory=_classes
    )
    plans: Annotated[list[Plan], Meta(min_length=1, description="plans of customers")] = msgspec.field(
        default_factory=_plans
    )
    load: Annotated[Load, Meta(description="the load")] = Load()
    clients: Annotated[Clients, Meta(description="the clients")] = Clients()
    counter: Annotated[Counter, Meta(description="the quota counter")] = Counter()
    listing: Annotated[Listing, Meta(description="the list of servers")] = Listing()
    faults: Annotated[list[Fault], Meta(description="faults that are injected")] = msgspec.field(
        default_factory=list
    )
    rules: Annotated[Rules, Meta(description="limits of the rules")] = Rules()
    goal: Annotated[Goal, Meta(description="weights and prices of the figure")] = Goal()


def built_in() -> list[str]:
    """Names of the scenarios that come with the program."""
    return sorted(path.stem for path in BUILT_IN.glob("*.toml"))


def find_path(name: str) -> Path:
    """Find a scenario by the name of a built-in one or the path of a file; ScenarioError if there is none."""
    path = BUILT_IN / f"{name}.toml"
    if re.fullmatch(r"[a-z0-9-]+", name) and path.is_file():
        return path
    if not Path(name).is_file():
        raise ScenarioError(f"{name}: is no file and no built-in scenario ({', '.join(built_in())})")
    return Path(name)


def load(path: Path) -> Scenario:
    """Read and check a scenario file; ScenarioError begins with the path of the field that is wrong."""
    try:
        return decode(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: cannot be read: {error}") from None


def decode(text: str) -> Scenario:
    """Decode and check the TOML text of a scenario file."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"not TOML: {error}") from None
    return _convert(raw)


def encode(scenario: Scenario) -> str:
    """Encode a scenario as JSON for `decode_json`; scenarios are passed between processes in this form."""
    return msgspec.json.encode(scenario, enc_hook=lambda span: [span.least, span.most]).decode()


def decode_json(text: str) -> Scenario:
    """Decode and check the output of `encode`."""
    try:
        return _convert(msgspec.json.decode(text))
    except msgspec.DecodeError as error:
        raise ScenarioError(f"not JSON: {error}") from None


def _convert(raw: object) -> Scenario:
    try:
        scenario = msgspec.convert(raw, Scenario, dec_hook=_decode_span)
    except msgspec.ValidationError as error:
        raise ScenarioError(_readable_error(str(error))) from None
    check(scenario)
    return scenario


def check(scenario: Scenario) -> None:
    """Check what depends on more than one field; ScenarioError names the field."""
    for path, names in (
        ("classes", [c.name for c in scenario.classes]),
        ("plans", [p.name for p in scenario.plans]),
        ("fleet.zones", scenario.fleet.zones),
    ):
        if len(set(names)) < len(names):
            raise ScenarioError(f"{path}: two have the same name")
    for i, cls in enumerate(scenario.classes):
        if cls.aim_ms > cls.deadline_ms:
            raise ScenarioError(f"classes[{i}].aim_ms: is above deadline_ms")
        if cls.effect == "keyed" and not cls.window_ms:
            raise ScenarioError(f"classes[{i}].window_ms: a keyed class needs a window above 0")
    if scenario.load.shape != "steady" and not scenario.load.to_per_s:
        raise ScenarioError(f"load.to_per_s: a {scenario.load.shape} needs a rate above 0")
    if scenario.load.shape == "burst" and not scenario.load.burst_for_s:
        raise ScenarioError("load.burst_for_s: a burst needs a duration above 0")
    for i, fault in enumerate(scenario.faults):
        _check_fault(f"faults[{i}]", fault, scenario)


def _check_fault(path: str, fault: Fault, scenario: Scenario) -> None:
    if fault.at_s >= scenario.length_s:
        raise ScenarioError(f"{path}.at_s: is not before length_s, {scenario.length_s:g}")
    zones = scenario.fleet.zones
    if fault.zone and fault.zone not in zones:
        raise ScenarioError(f"{path}.zone: {fault.zone!r} is not one of fleet.zones")
    if fault.kind in ("zone_lost", "cut_off") and len(zones) < 2:
        raise ScenarioError(f"{path}.kind: {fault.kind} needs two zones or more")
    if fault.kind in ("cut_off", "late_list", "list_down") and scenario.listing.source != "agent":
        raise ScenarioError(
            f"{path}.kind: {fault.kind} needs listing.source agent, where each gateway has a list of its own"
        )
    if fault.kind == "holding_lost" and scenario.listing.source != "holding":
        raise ScenarioError(f"{path}.kind: holding_lost needs listing.source holding")
    if fault.kind in ("fail_fast", "reset") and fault.size.most > 1:
        raise ScenarioError(f"{path}.size: is a share and must be 1 or less")
    if fault.kind in ("slow", "late_list") and fault.size.least < 1:
        raise ScenarioError(f"{path}.size: is a factor and must be 1 or more")
    if fault.kind not in ("gateway_restarted", "reconfigured", "release") and not fault.for_s.most:
        raise ScenarioError(f"{path}.for_s: {fault.kind} needs a duration above 0")


def _readable_error(text: str) -> str:
    """Message of msgspec with the path in front, and a suggestion where an unknown key resembles a field."""
    text, _, path = text.partition(" - at `$")
    path = path.rstrip("`").lstrip(".").replace("[...]", "[]")
    unknown = re.search(r"unknown field `(.*)`$", text)
    if unknown:
        field = f"{path}.{unknown[1]}" if path else unknown[1]
        return f"{field}: is no field{_suggestion(path, unknown[1])}"
    missing = re.search(r"missing required field `(.*)`$", text)
    if missing:
        return f"{path}.{missing[1]}: is missing" if path else f"{missing[1]}: is missing"
    text = text.replace("`object`", "a table").replace("`array`", "a list")
    return f"{path}: {text[0].lower()}{text[1:]}" if path else text


def _suggestion(path: str, key: str) -> str:
    """Suggest a field for an unknown key: the same word with another unit, or a similar word."""
    part = Scenario
    for step in filter(None, re.split(r"\.|\[\d*\]", path)):
        part = _table_type(typing.get_type_hints(part)[step])
    names = part.__struct_fields__
    stem = re.sub(r"_(ms|us|s|per_s|mb)$", "", key)
    for name in names:
        unit = name.removeprefix(stem + "_")
        if name != unit and unit in UNITS:
            return f"; {name} is, in {UNITS[unit]}"
    close = difflib.get_close_matches(key, names, 1)
    return f"; {close[0]} is" if close else ""


def _table_type(kind: object) -> type[_Table]:
    arguments = typing.get_args(kind)
    return _table_type(arguments[0]) if arguments else kind


class Field(typing.NamedTuple):
    """Description of one field of the file."""

    path: str
    meaning: str
    unit: str
    default: str


def describe_fields(part: type[_Table] = Scenario, path: str = "") -> Iterator[Field]:
    """Describe all fields, in the order of the file."""
    hints = typing.get_type_hints(part, include_extras=True)
    for info in msgspec.structs.fields(part):
        field_path = f"{path}.{info.name}" if path else info.name
        bare = _table_type(typing.get_type_hints(part)[info.name])
        if isinstance(bare, type) and issubclass(bare, _Table):
            is_list = typing.get_origin(_bare_type(hints[info.name])) is list
            yield from describe_fields(bare, f"{field_path}[]" if is_list else field_path)
            continue
        meta = next(item for item in reversed(hints[info.name].__metadata__) if item.description)
        yield Field(field_path, meta.description, _unit(info.name, hints[info.name]), _default(info))


def _bare_type(hint: object) -> object:
    return typing.get_args(hint)[0] if typing.get_origin(hint) is Annotated else hint


def _unit(name: str, hint: object) -> str:
    for suffix in ("per_s", "ms", "us", "mb", "s"):
        if name.endswith("_" + suffix):
            return UNITS[suffix]
    bare = _bare_type(hint)
    if bare is bool:
        return "true or false"
    if typing.get_origin(bare) is Literal:
        return " | ".join(typing.get_args(bare))
    if bare in (str, Name) or typing.get_origin(bare) is list:
        return "text"
    if bare is int:
        return "whole number"
    is_share = bare is ShareSpan or any(item.le == 1 for item in hint.__metadata__)
    return "share" if is_share else "number"


def _default(info: msgspec.structs.FieldInfo) -> str:
    if info.default_factory is not msgspec.NODEFAULT:
        value = info.default_factory()
        return ", ".join(value) if value else "none"
    if info.default is msgspec.NODEFAULT:
        return "must be given"
    if isinstance(info.default, float) and math.isfinite(info.default):
        return f"{info.default:g}"
    return str(info.default) if info.default != "" else "none"
