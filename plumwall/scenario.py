"""A scenario: the world that gateways are tried in, its load and its faults, as a TOML file.

Every field has its unit in its name (`_ms`, `_s`, `_per_s`; shares are parts of one) and a default, so that a
file says only what it is about. Where two numbers are allowed, `[least, most]`, one is drawn between them by
the seed. The defaults are those of the deployment at the head office, from its brief and its protocol.
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
LARGEST = 1e9
UNITS = {"ms": "milliseconds", "s": "seconds", "us": "microseconds", "per_s": "a second", "mb": "MiB"}

NonNegative = Annotated[float, Meta(ge=0, le=LARGEST)]
Positive = Annotated[float, Meta(gt=0, le=LARGEST)]
Share = Annotated[float, Meta(ge=0, le=1)]
Multiple = Annotated[float, Meta(ge=1, le=1000)]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,31}$")]


class ScenarioError(ValueError):
    """A scenario that cannot be played; the text begins with the path of the field."""


class Span:
    """A number of the scenario that may be drawn between two: `3` or `[2, 4]` in the file. None is below 0.

    A type of its own, read by a hook: a union of a bounded number with a pair of them crashes msgspec 0.23.
    """

    __slots__ = ("least", "most")

    def __init__(self, least: float, most: float) -> None:
        for value in (least, most):
            if not self.allows(value):
                raise ValueError(f"{value:g} is not {self.wanted()}")
        if least > most:
            raise ValueError(f"{least:g} is above {most:g}")
        self.least, self.most = float(least), float(most)

    @classmethod
    def of(cls, raw: object) -> Self:
        """From the file; ValueError says what is wanted."""
        pair = raw if isinstance(raw, list) and len(raw) == 2 else [raw, raw]
        if any(isinstance(value, bool) or not isinstance(value, (int, float)) for value in pair):
            raise ValueError(f"must be {cls.wanted()}, or [least, most] of such")
        return cls(float(pair[0]), float(pair[1]))

    @staticmethod
    def allows(value: float) -> bool:
        """Whether a number lies in bounds."""
        return 0 <= value <= LARGEST

    @staticmethod
    def wanted() -> str:
        """The bounds in words."""
        return "a number of 0 or more"

    def __str__(self) -> str:
        return f"{self.least:g} to {self.most:g}" if self.least < self.most else f"{self.least:g}"


class PositiveSpan(Span):
    """One above 0."""

    __slots__ = ()

    @staticmethod
    def allows(value: float) -> bool:
        return 0 < value <= LARGEST

    @staticmethod
    def wanted() -> str:
        return "a number above 0"


class ShareSpan(Span):
    """One from 0 to 1."""

    __slots__ = ()

    @staticmethod
    def allows(value: float) -> bool:
        return 0 <= value <= 1

    @staticmethod
    def wanted() -> str:
        return "a share from 0 to 1"


def _read(kind: type, raw: object) -> object:
    if isinstance(kind, type) and issubclass(kind, Span):
        return kind.of(raw)
    raise NotImplementedError(kind)


class _Part(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What all tables of the file share: an unknown key is an error."""


class Fleet(_Part):
    """The gateways."""

    gateways: Annotated[int, Meta(ge=1, le=250, description="how many")] = 3
    zones: Annotated[
        list[Name],
        Meta(min_length=1, max_length=8, description="gateways and servers are spread over these in turn"),
    ] = msgspec.field(default_factory=lambda: ["hall-a", "hall-b"])
    memory_mb: Annotated[Positive, Meta(description="a gateway over this is killed, which is a crash")] = (
        192.0
    )
    sockets: Annotated[int, Meta(ge=64, le=65536, description="descriptors of a gateway")] = 1024
    max_attempts: Annotated[int, Meta(ge=1, le=20, description="attempts for one request")] = 6


class Servers(_Part):
    """The statement servers."""

    count: Annotated[int, Meta(ge=1, le=2000, description="how many")] = 9
    cores: Annotated[int, Meta(ge=1, le=256, description="of each")] = 2
    speed: Annotated[PositiveSpan, Meta(description="of a core; 1 does a class's work in its time")] = (
        PositiveSpan(0.85, 1.1)
    )
    slots_per_core: Annotated[PositiveSpan, Meta(description="requests in work at once")] = PositiveSpan(2, 6)
    queue_per_core: Annotated[
        Span, Meta(description="requests that wait; past that they are turned away")
    ] = Span(8.1, 20)
    thrash: Annotated[Span, Meta(description="efficiency lost for each request a core beyond thrash_at")] = (
        Span(0.088, 0.3)
    )
    thrash_at: Annotated[Span, Meta(description="requests held for each core, from which on it loses")] = (
        Span(4.5, 7.9)
    )
    cold_from: Annotated[ShareSpan, Meta(description="of its capacity that a server starts with")] = (
        ShareSpan(0.26, 0.48)
    )
    cold_s: Annotated[PositiveSpan, Meta(description="after which it is warm at the latest")] = PositiveSpan(
        5.1, 17
    )
    connections_per_core: Annotated[
        PositiveSpan, Meta(description="held at once; past that requests are turned away")
    ] = PositiveSpan(400, 900)
    handshake_us: Annotated[Span, Meta(description="work that a new connection costs a server")] = Span(
        220, 1600
    )
    idle_ms: Annotated[Positive, Meta(description="after which an idle connection is closed")] = 15000.0
    dial_ms: Annotated[Positive, Meta(description="within which a gateway's connection must be up")] = 250.0
    error_rate: Annotated[ShareSpan, Meta(description="of requests that end in 500 on a good day")] = (
        ShareSpan(0, 0.0005)
    )
    attempt_noise: Annotated[
        Span,
        Meta(
            description="spread of an attempt's work round its request's, as the deviation of its logarithm"
        ),
    ] = Span(0.08, 0.34)
    report_period_ms: Annotated[PositiveSpan, Meta(description="after which a load report is made anew")] = (
        PositiveSpan(100, 810)
    )
    report_delay_ms: Annotated[Span, Meta(description="after which a new report is told")] = Span(0.79, 170)
    report_noise: Annotated[Span, Meta(description="deviation of a report, as a share")] = Span(0.076, 0.14)
    cell_size: Annotated[
        PositiveSpan, Meta(description="servers of one pod, which drop repeats together")
    ] = PositiveSpan(3, 5)
    drops_expired: Annotated[bool, Meta(description="a waiting request past its time is never begun")] = True


class Network(_Part):
    """What lies between gateways and servers."""

    same_ms: Annotated[Span, Meta(description="one way inside a zone")] = Span(0.095, 0.34)
    cross_ms: Annotated[Span, Meta(description="one way between zones")] = Span(1.4, 2.6)


class Class(_Part):
    """A class of requests."""

    name: Annotated[Name, Meta(description="as in X-Class")]
    share: Annotated[Positive, Meta(description="of the requests, against the other classes'")]
    work_ms: Annotated[PositiveSpan, Meta(description="of a core, in the mean")] = PositiveSpan(110, 190)
    spread: Annotated[Span, Meta(description="of the work: its deviation over its mean")] = Span(0.55, 1.2)
    aim_ms: Annotated[Positive, Meta(description="within which an answer is wanted")] = 1500.0
    deadline_ms: Annotated[Positive, Meta(description="after which the client has no use for one")] = 4000.0
    worth: Annotated[NonNegative, Meta(description="of one unit answered in time")] = 1.0
    late_worth: Annotated[Share, Meta(description="of the worth, for an answer past the aim")] = 0.0
    effect: Annotated[Literal["safe", "keyed", "unsafe"], Meta(description="whether it may be repeated")] = (
        "safe"
    )
    group: Annotated[
        Literal["all", "zone", "cell"], Meta(description="servers that drop repeats of a key together")
    ] = "cell"
    window_ms: Annotated[NonNegative, Meta(description="for which they remember a key")] = 4000.0


class Plan(_Part):
    """A plan and the customers on it."""

    name: Annotated[Name, Meta(description="as in Plan")]
    share: Annotated[Positive, Meta(description="of the use inside quotas, against the other plans'")]
    rate_per_s: Annotated[PositiveSpan, Meta(description="units that a customer may use")] = PositiveSpan(
        1.2, 2.1
    )
    burst_s: Annotated[PositiveSpan, Meta(description="of the rate that may be used at once")] = PositiveSpan(
        3.5, 5.3
    )
    price: Annotated[NonNegative, Meta(description="by which a unit's worth is multiplied")] = 1.0
    over_cost: Annotated[
        NonNegative, Meta(description="of its worth, for what is sent on beyond the quota")
    ] = 0.6
    ceiling: Annotated[Span, Meta(description="hard limit on what is sent on, times the quota; 0: none")] = (
        Span(0.0, 0.0)
    )
    spread: Annotated[
        ShareSpan, Meta(description="of the gateways that a customer's requests come through")
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


class Load(_Part):
    """What customers ask inside their quotas; what some ask beyond comes on top."""

    rate_per_s: Annotated[Positive, Meta(description="first tries a second inside the quotas")] = 45.0
    shape: Annotated[Literal["steady", "ramp", "burst"], Meta(description="how the rate moves")] = "steady"
    to_per_s: Annotated[NonNegative, Meta(description="what a ramp ends at, or a burst rises to")] = 0.0
    burst_at_s: Annotated[NonNegative, Meta(description="when a burst begins")] = 0.0
    burst_for_s: Annotated[NonNegative, Meta(description="how long it lasts")] = 0.0
    swing: Annotated[ShareSpan, Meta(description="of the rate, by which it rises and falls")] = ShareSpan(
        0.067, 0.18
    )
    most_units: Annotated[int, Meta(ge=1, le=1000, description="of one request")] = 8
    guess_spread: Annotated[
        Span, Meta(description="of the guess round the true units, as the deviation of its logarithm")
    ] = Span(0.3, 0.7)
    calm_use: Annotated[ShareSpan, Meta(description="of its quota that an ordinary customer uses")] = (
        ShareSpan(0.16, 0.49)
    )
    full: Annotated[ShareSpan, Meta(description="of the customers that use nearly all of it")] = ShareSpan(
        0.099, 0.19
    )
    heavy: Annotated[ShareSpan, Meta(description="of the customers that ask beyond it throughout")] = (
        ShareSpan(0.06, 0.14)
    )
    heavy_times: Annotated[PositiveSpan, Meta(description="the quota that these ask for")] = PositiveSpan(
        2.2, 5
    )
    spiky: Annotated[ShareSpan, Meta(description="of the customers that ask beyond it now and then")] = (
        ShareSpan(0.16, 0.24)
    )
    spike_times: Annotated[PositiveSpan, Meta(description="the quota that these ask for")] = PositiveSpan(
        2.9, 6.3
    )
    spike_s: Annotated[PositiveSpan, Meta(description="how long a spike lasts")] = PositiveSpan(0.57, 4.9)
    spike_every_s: Annotated[PositiveSpan, Meta(description="from one spike to the next")] = PositiveSpan(
        10, 25
    )
    most_excess: Annotated[
        NonNegative, Meta(description="asked beyond quotas over asked inside, at most")
    ] = 0.9
    skew: Annotated[
        Span, Meta(description="of a customer's requests over its gateways: deviation over mean")
    ] = Span(0.51, 1.1)
    shift_s: Annotated[PositiveSpan, Meta(description="after which its busiest gateways change")] = (
        PositiveSpan(5.2, 24)
    )


class Clients(_Part):
    """What clients do by themselves, and the front that spreads them."""

    retries: Annotated[int, Meta(ge=0, le=20, description="tries after the first")] = 3
    try_share: Annotated[ShareSpan, Meta(description="of the deadline that one try is given")] = ShareSpan(
        0.5, 1
    )
    backoff_ms: Annotated[
        PositiveSpan, Meta(description="before the first retry; doubled for each further one")
    ] = PositiveSpan(60, 480)
    honour: Annotated[ShareSpan, Meta(description="of the clients that keep to Retry-After")] = ShareSpan(
        0.41, 0.92
    )
    impatient: Annotated[ShareSpan, Meta(description="of the requests whose client leaves early")] = (
        ShareSpan(0, 0.01)
    )
    max_retry_after_ms: Annotated[NonNegative, Meta(description="that a client keeps to at most")] = 2000.0
    notice_s: Annotated[Span, Meta(description="for which requests go on coming to a dead gateway")] = Span(
        2.2, 3.9
    )


class Counter(_Part):
    """The quota counter."""

    calls_per_s: Annotated[PositiveSpan, Meta(description="that it answers in all")] = PositiveSpan(410, 550)
    parts: Annotated[int, Meta(ge=1, le=64, description="that names are split over")] = 2
    call_ms: Annotated[Span, Meta(description="that a call takes beside its turn")] = Span(0.52, 1.5)
    queue_ms: Annotated[Positive, Meta(description="of waiting, past which a call is turned away")] = 80.0
    wait_ms: Annotated[Positive, Meta(description="after which a gateway may give a call up")] = 50.0


class Listing(_Part):
    """The list of servers."""

    source: Annotated[
        Literal["agent", "registry", "holding"],
        Meta(description="agents beside gateways, the project's own list service, or three replicas of it"),
    ] = "agent"
    notice_s: Annotated[
        Span, Meta(description="after which a gateway's list knows of a drain or a dead process")
    ] = Span(0.8, 3.9)
    silent_notice_s: Annotated[Span, Meta(description="after which it knows of a silent one")] = Span(4.9, 10)
    add_s: Annotated[Span, Meta(description="after which it knows of a new one")] = Span(0.57, 2)
    spread_ms: Annotated[Span, Meta(description="by which this differs between gateways")] = Span(170, 370)


class Fault(_Part):
    """Something that goes wrong, at a time."""

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
        Meta(description="what"),
    ]
    at_s: Annotated[NonNegative, Meta(description="when it begins")]
    for_s: Annotated[Span, Meta(description="how long it lasts")] = Span(0.0, 0.0)
    part: Annotated[
        ShareSpan, Meta(description="of the servers or gateways that it strikes, at least one")
    ] = ShareSpan(0.1, 0.1)
    size: Annotated[
        Span,
        Meta(
            description="fail_fast: share that fails; slow: times as slow; reset: share "
            "of answers lost; late_list: times as late; flood: of the whole load, on "
            "top"
        ),
    ] = Span(0.5, 0.5)
    zone: Annotated[str, Meta(description="the zone that is lost or cut off; else one is drawn")] = ""
    customers: Annotated[int, Meta(ge=1, le=100, description="that flood")] = 1


class Rules(_Part):
    """The rules in figures."""

    drain_ms: Annotated[
        NonNegative, Meta(description="after which nothing new goes to a server that drains or is gone")
    ] = 2000.0
    fall_multiple: Annotated[
        Multiple, Meta(description="of what a cold server can do, that makes it fall over")
    ] = 3.0
    fall_ms: Annotated[Positive, Meta(description="for which it must be sent that much")] = 1500.0
    ceiling_slack: Annotated[
        Share, Meta(description="of a ceiling's store, or one of the largest requests")
    ] = 0.1
    socket_ms: Annotated[NonNegative, Meta(description="by which every limit is longer on real sockets")] = (
        50.0
    )
    overdue_ms: Annotated[
        NonNegative, Meta(description="past its time, after which a request with no answer is lost")
    ] = 500.0


class Goal(_Part):
    """How service and prices make one figure."""

    whole: Annotated[Share, Meta(description="weight of the whole run")] = 0.65
    worst_window: Annotated[Share, Meta(description="weight of the worst 10 s")] = 0.2
    worst_plan: Annotated[Share, Meta(description="weight of the worst-served plan")] = 0.15
    waste: Annotated[NonNegative, Meta(description="price of work wasted, as much as was asked for")] = 0.16
    late_fail: Annotated[NonNegative, Meta(description="price of all failing only after their aim")] = 0.06
    cross_zone: Annotated[NonNegative, Meta(description="price of each request crossing zones once")] = 0.02
    probe: Annotated[NonNegative, Meta(description="price of one probe a request")] = 0.0079
    handshake: Annotated[NonNegative, Meta(description="price of one new connection a request")] = 0.0
    counter: Annotated[NonNegative, Meta(description="price of one call to the counter a request")] = 0.005


class Scenario(_Part):
    """The whole file."""

    name: Annotated[Name, Meta(description="by which it is known")]
    about: Annotated[str, Meta(description="what it shows, in a line")] = ""
    length_s: Annotated[Positive, Meta(description="of the load")] = 30.0
    fleet: Annotated[Fleet, Meta(description="the gateways")] = Fleet()
    servers: Annotated[Servers, Meta(description="the statement servers")] = Servers()
    network: Annotated[Network, Meta(description="between them")] = Network()
    classes: Annotated[list[Class], Meta(min_length=1, description="of requests")] = msgspec.field(
        default_factory=_classes
    )
    plans: Annotated[list[Plan], Meta(min_length=1, description="of customers")] = msgspec.field(
        default_factory=_plans
    )
    load: Annotated[Load, Meta(description="what is asked")] = Load()
    clients: Annotated[Clients, Meta(description="who asks")] = Clients()
    counter: Annotated[Counter, Meta(description="of quotas")] = Counter()
    listing: Annotated[Listing, Meta(description="the list of servers")] = Listing()
    faults: Annotated[list[Fault], Meta(description="what goes wrong")] = msgspec.field(default_factory=list)
    rules: Annotated[Rules, Meta(description="what must hold")] = Rules()
    goal: Annotated[Goal, Meta(description="what counts")] = Goal()


def built_in() -> list[str]:
    """The scenarios that come with the program."""
    return sorted(path.stem for path in BUILT_IN.glob("*.toml"))


def find(name: str) -> Path:
    """A built-in scenario by its name, or a file."""
    path = BUILT_IN / f"{name}.toml"
    if re.fullmatch(r"[a-z0-9-]+", name) and path.is_file():
        return path
    if not Path(name).is_file():
        raise ScenarioError(f"{name}: is no file, and no built-in scenario ({', '.join(built_in())})")
    return Path(name)


def load(path: Path) -> Scenario:
    """Read a file; ScenarioError begins with the path of the field that is wrong."""
    try:
        return decode(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: cannot be read: {error}") from None


def decode(text: str) -> Scenario:
    """A scenario from the text of its file."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"not TOML: {error}") from None
    return _made(raw)


def encode(scenario: Scenario) -> str:
    """A scenario as JSON, which `decode_json` reads: how it passes from process to process."""
    return msgspec.json.encode(scenario, enc_hook=lambda span: [span.least, span.most]).decode()


def decode_json(text: str) -> Scenario:
    """A scenario from `encode`."""
    try:
        return _made(msgspec.json.decode(text))
    except msgspec.DecodeError as error:
        raise ScenarioError(f"not JSON: {error}") from None


def _made(raw: object) -> Scenario:
    try:
        made = msgspec.convert(raw, Scenario, dec_hook=_read)
    except msgspec.ValidationError as error:
        raise ScenarioError(_plain(str(error))) from None
    check(made)
    return made


def check(scenario: Scenario) -> None:
    """What no single field shows."""
    for path, names in (
        ("classes", [c.name for c in scenario.classes]),
        ("plans", [p.name for p in scenario.plans]),
        ("fleet.zones", scenario.fleet.zones),
    ):
        if len(set(names)) < len(names):
            raise ScenarioError(f"{path}: two have one name")
    for i, cls in enumerate(scenario.classes):
        if cls.aim_ms > cls.deadline_ms:
            raise ScenarioError(f"classes[{i}].aim_ms: is above deadline_ms")
        if cls.effect == "keyed" and not cls.window_ms:
            raise ScenarioError(f"classes[{i}].window_ms: a keyed class needs one above 0")
    if scenario.load.shape != "steady" and not scenario.load.to_per_s:
        raise ScenarioError(f"load.to_per_s: a {scenario.load.shape} needs one above 0")
    if scenario.load.shape == "burst" and not scenario.load.burst_for_s:
        raise ScenarioError("load.burst_for_s: a burst needs one above 0")
    for i, fault in enumerate(scenario.faults):
        _check_fault(f"faults[{i}]", fault, scenario)


def _check_fault(path: str, fault: Fault, scenario: Scenario) -> None:
    if fault.at_s >= scenario.length_s:
        raise ScenarioError(f"{path}.at_s: is not before length_s, {scenario.length_s:g}")
    zones = scenario.fleet.zones
    if fault.zone and fault.zone not in zones:
        raise ScenarioError(f"{path}.zone: {fault.zone!r} is none of fleet.zones")
    if fault.kind in ("zone_lost", "cut_off") and len(zones) < 2:
        raise ScenarioError(f"{path}.kind: {fault.kind} needs two zones or more")
    if fault.kind in ("cut_off", "late_list", "list_down") and scenario.listing.source != "agent":
        raise ScenarioError(
            f"{path}.kind: {fault.kind} needs listing.source agent, which keeps gateways apart"
        )
    if fault.kind == "holding_lost" and scenario.listing.source != "holding":
        raise ScenarioError(f"{path}.kind: holding_lost needs listing.source holding")
    if fault.kind in ("fail_fast", "reset") and fault.size.most > 1:
        raise ScenarioError(f"{path}.size: is a share, 1 at most")
    if fault.kind in ("slow", "late_list") and fault.size.least < 1:
        raise ScenarioError(f"{path}.size: is a multiple, 1 at least")
    if fault.kind not in ("gateway_restarted", "reconfigured", "release") and not fault.for_s.most:
        raise ScenarioError(f"{path}.for_s: {fault.kind} needs one above 0")


def _plain(text: str) -> str:
    """msgspec's words with the path in front, and a hint where a key is nearly one that there is."""
    text, _, path = text.partition(" - at `$")
    path = path.rstrip("`").lstrip(".").replace("[...]", "[]")
    unknown = re.search(r"unknown field `(.*)`$", text)
    if unknown:
        field = f"{path}.{unknown[1]}" if path else unknown[1]
        return f"{field}: is no field{_meant(path, unknown[1])}"
    missing = re.search(r"missing required field `(.*)`$", text)
    if missing:
        return f"{path}.{missing[1]}: is missing" if path else f"{missing[1]}: is missing"
    text = text.replace("`object`", "a table").replace("`array`", "a list")
    return f"{path}: {text[0].lower()}{text[1:]}" if path else text


def _meant(path: str, key: str) -> str:
    """What the key was likely meant to be: the same in another unit, or nearly the same word."""
    part = Scenario
    for step in filter(None, re.split(r"\.|\[\d*\]", path)):
        part = _struct(typing.get_type_hints(part)[step])
    names = part.__struct_fields__
    stem = re.sub(r"_(ms|us|s|per_s|mb)$", "", key)
    for name in names:
        unit = name.removeprefix(stem + "_")
        if name != unit and unit in UNITS:
            return f"; {name} is, in {UNITS[unit]}"
    close = difflib.get_close_matches(key, names, 1)
    return f"; {close[0]} is" if close else ""


def _struct(kind: object) -> type[_Part]:
    arguments = typing.get_args(kind)
    return _struct(arguments[0]) if arguments else kind


class Field(typing.NamedTuple):
    """One field of the file, for people."""

    path: str
    meaning: str
    unit: str
    default: str


def describe(part: type[_Part] = Scenario, path: str = "") -> Iterator[Field]:
    """All fields, in the order of the file."""
    hints = typing.get_type_hints(part, include_extras=True)
    for info in msgspec.structs.fields(part):
        here = f"{path}.{info.name}" if path else info.name
        bare = _struct(typing.get_type_hints(part)[info.name])
        if isinstance(bare, type) and issubclass(bare, _Part):
            many = typing.get_origin(_without_meta(hints[info.name])) is list
            yield from describe(bare, f"{here}[]" if many else here)
            continue
        meta = next(item for item in reversed(hints[info.name].__metadata__) if item.description)
        yield Field(here, meta.description, _unit(info.name, hints[info.name]), _default(info))


def _without_meta(hint: object) -> object:
    return typing.get_args(hint)[0] if typing.get_origin(hint) is Annotated else hint


def _unit(name: str, hint: object) -> str:
    for suffix in ("per_s", "ms", "us", "mb", "s"):
        if name.endswith("_" + suffix):
            return UNITS[suffix]
    bare = _without_meta(hint)
    if bare is bool:
        return "true or false"
    if typing.get_origin(bare) is Literal:
        return " | ".join(typing.get_args(bare))
    if bare in (str, Name) or typing.get_origin(bare) is list:
        return "text"
    if bare is int:
        return "whole number"
    shares = bare is ShareSpan or any(item.le == 1 for item in hint.__metadata__)
    return "share" if shares else "number"


def _default(info: msgspec.structs.FieldInfo) -> str:
    if info.default_factory is not msgspec.NODEFAULT:
        value = info.default_factory()
        return ", ".join(value) if value else "none"
    if info.default is msgspec.NODEFAULT:
        return "must be given"
    if isinstance(info.default, float) and math.isfinite(info.default):
        return f"{info.default:g}"
    return str(info.default) if info.default != "" else "none"
