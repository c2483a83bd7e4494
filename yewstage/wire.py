"""Codec of the line protocol of yewstage.wirehost: lines to events, actions to lines.

It translates only; decisions are in yewstage/policy.py, the batches in yewstage/wirehost.py.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from yewstage import interface as api

RESULTS = {
    "Ok": api.OK,
    "Failed": api.ERROR,
    "QueueFull": api.FULL,
    "TimedOut": api.TIMED_OUT,
    "ConnectError": api.CONNECT_FAILED,
    "ResetByPeer": api.RESET,
    "Canceled": api.CANCELLED,
    "Ignored": api.START_EXPIRED,
}
LIST_KINDS = {"Partial": "changes", "Complete": "full", "Persisted": "kept", "Error": "failed"}
LOAD_REPORT_NAMES = {
    "load_share": "util",
    "concurrent": "inflight",
    "depth": "queue",
}  # protocol name -> interface name
STATUSES = ("up", "draining", "removed")


class WireError(ValueError):
    """A line that does not follow the protocol."""


@dataclass(slots=True)
class Open:
    """Start an instance with a seed and settings."""

    seed: int
    settings: api.Settings


@dataclass(slots=True)
class Close:
    """The instance has been killed."""


@dataclass(slots=True)
class Ignored:
    """A message that the decision module does not use; it is parsed so that a malformed one is reported."""


def parse_number(text: str) -> float:
    """Parse a finite number; '-' stands for an absent one and gives 0."""
    if text == "-":
        return 0.0
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"bad number {text!r}") from None
    if not math.isfinite(value):
        raise WireError(f"bad number {text!r}")
    return value


def parse_integer(text: str) -> int:
    """Parse an integer; '-' gives 0."""
    if text == "-":
        return 0
    try:
        return int(text)
    except ValueError:
        raise WireError(f"bad integer {text!r}") from None


def parse_flag(text: str) -> bool:
    """Parse a flag: 1, 0 or '-' for 0."""
    if text not in ("0", "1", "-"):
        raise WireError(f"bad flag {text!r}")
    return text == "1"


def look_up(table: dict[str, str], text: str) -> str:
    """Translate a word by a table; raises WireError if it is not in it."""
    if text not in table:
        raise WireError(f"unknown word {text!r}")
    return table[text]


def parse_load_report(text: str) -> dict[str, float]:
    """Parse a load report: name:value pairs separated by commas."""
    values = {}
    if text != "-":
        for pair in text.split(","):
            name, colon, value = pair.partition(":")
            if not colon:
                raise WireError(f"bad load report {text!r}")
            values[LOAD_REPORT_NAMES.get(name, name)] = parse_number(value)
    return values


def parse_settings(parts: list[str]) -> api.Settings:
    """Parse the path=value pairs of OPEN_INSTANCE; unknown keys are ignored."""
    pairs: dict[str, str] = {}
    for part in parts:
        key, equals, value = part.partition("=")
        if not equals:
            raise WireError(f"bad setting {part!r}")
        pairs[key] = value

    def number_of(key: str, default: float = 0.0) -> float:
        try:
            return parse_number(pairs[key]) if key in pairs else default
        except WireError as error:
            raise WireError(f"{key}: {error}") from None

    def flag_of(key: str) -> bool:
        return pairs.get(key, "false") in ("true", "1")

    classes = tuple(
        api.RequestClass(
            name=pairs.get(f"grades.{i}.name", ""),
            objective_ms=number_of(f"grades.{i}.objective_ms"),
            deadline_ms=number_of(f"grades.{i}.deadline_ms"),
            worth=number_of(f"grades.{i}.worth", 1.0),
            late_worth=number_of(f"grades.{i}.late_worth"),
            effect=pairs.get(f"grades.{i}.effect", "safe"),
            key_scope=pairs.get(f"grades.{i}.key_scope", "all"),
            window_ms=number_of(f"grades.{i}.window_ms"),
        )
        for i in range(int(number_of("grades.count")))
    )
    plans = tuple(
        api.Plan(
            name=pairs.get(f"packages.{i}.name", ""),
            rate=number_of(f"packages.{i}.refill"),
            burst=number_of(f"packages.{i}.burst"),
            worth=number_of(f"packages.{i}.worth_factor", 1.0),
            over_worth=number_of(f"packages.{i}.over_worth"),
            over_cost=number_of(f"packages.{i}.over_cost"),
            ceiling_rate=number_of(f"packages.{i}.ceiling_rate"),
            ceiling_burst=number_of(f"packages.{i}.hard_burst"),
            parallel=int(number_of(f"packages.{i}.parallel")),
        )
        for i in range(int(number_of("packages.count")))
    )
    return api.Settings(
        classes=classes,
        plans=plans,
        gateway_index=int(number_of("me")),
        fleet_size=int(number_of("fleet_size", 1)),
        try_limit=int(number_of("bounds.try_limit", 1)),
        second_copies=flag_of("bounds.second_copies"),
        cancel=flag_of("bounds.cancel"),
        retry_after=flag_of("bounds.retry_after"),
        max_retry_after_ms=number_of("bounds.max_retry_after_ms"),
        marks_retry=flag_of("clients.marks_retry"),
        server_list_on_request=pairs.get("membership_mode", "pushed") == "on_request",
        counter_enabled=flag_of("family_info.may_count"),
        count_wait_ms=number_of("family_info.count_wait_ms", 50.0),
        tick_ms=number_of("tick_ms", 1.0),
        cold_from=number_of("rules.cold_from", 1.0),
        cold_ms=number_of("rules.cold_ms"),
        fall_multiple=number_of("rules.fall_multiple", 1.0),
        tip_after_ms=number_of("rules.tip_after_ms"),
        handshake=number_of("penalties.handshake"),
        idle_ms=number_of("bounds.conn_idle_ms", 15000.0),
    )


def parse_server(parts: list[str]) -> api.Server:
    """Parse one entry of a list of servers."""
    if len(parts) != 8 or parts[0] != "M":
        raise WireError("a list entry needs M and 7 values")
    if parts[5] not in STATUSES:
        raise WireError(f"unknown status {parts[5]!r}")
    return api.Server(
        parts[1], parts[2], parse_integer(parts[4]), parts[5], parse_number(parts[6]), parse_number(parts[7])
    )


def _parse_open(values: list[str]) -> Open:
    return Open(parse_integer(values[0]), parse_settings(values[1:]))


def _parse_request(values: list[str]) -> api.Request:
    return api.Request(
        values[0],
        values[1],
        values[2],
        values[3],
        parse_number(values[4]),
        parse_number(values[5]),
        parse_integer(values[6]),
        parse_integer(values[7]),
        bool(parse_integer(values[8]) & 2),
    )


def _parse_outcome(values: list[str]) -> api.Outcome:
    parse_number(values[6])  # the customer's use; not used, only checked
    return api.Outcome(
        values[0],
        parse_integer(values[1]),
        values[2],
        look_up(RESULTS, values[3]),
        parse_number(values[4]),
        parse_flag(values[5]),
        parse_number(values[7]),
        parse_load_report(values[8]),
    )


def _parse_peer_message(values: list[str]) -> Ignored:
    try:
        bytes.fromhex("" if values[1] == "-" else values[1])
    except ValueError:
        raise WireError(f"bad bytes {values[1]!r}") from None
    parse_integer(values[0])
    return Ignored()


def _parse_probe(values: list[str]) -> Ignored:
    parse_number(values[0]), look_up(RESULTS, values[2]), parse_load_report(values[3])
    return Ignored()


# Message name -> number of values after the instance (None: at least one), and their parser.
PARSERS: dict[str, tuple[int | None, Callable[[list[str]], object]]] = {
    "OPEN_INSTANCE": (None, _parse_open),
    "REQ": (9, _parse_request),
    "ENDED": (9, _parse_outcome),
    "INBOX": (2, _parse_peer_message),
    "DETACH": (0, lambda values: Close()),
    "PROBE_DONE": (4, _parse_probe),
    "CLIENT_LEFT": (1, lambda values: api.ClientLeft(values[0])),
    "HEAD_RECEIVED": (
        4,
        lambda values: api.StreamStarted(values[0], parse_integer(values[1]), parse_number(values[3])),
    ),
    "TICK_DUE": (1, lambda values: api.TimerDue(values[0])),
    "COUNTER_REPLY": (
        4,
        lambda values: api.CountReply(
            values[3], look_up(RESULTS, values[1]), parse_number(values[0]), parse_number(values[2])
        ),
    ),
}


def parse_event(parts: list[str]) -> object:
    """Parse an event line, split at single spaces, to an event of the interface, Open, Close or Ignored."""
    name = parts[0]
    if name not in PARSERS:
        raise WireError(f"unknown message {name!r}")
    value_count, parser = PARSERS[name]
    values = parts[2:]
    if (
        len(parts) < 2
        or (value_count is None and not values)
        or (value_count is not None and len(values) != value_count)
    ):
        raise WireError(f"{name}: wrong number of values")
    return parser(values)


def format_action(instance: str, action: api.Action) -> str:
    """Format an action as a line, without its line end."""
    match action:
        case api.Send():
            return f"DELIVER {instance} {action.request} {action.timeout_ms:.3f} {action.server}"
        case api.Refuse():
            return f"REFUSE {instance} {action.request} {action.retry_after_ms:.3f}"
        case api.Fail():
            return f"GIVE_UP {instance} {action.request}"
        case api.Cancel():
            return f"UNDO_SEND {instance} {action.request} {action.attempt}"
        case api.Timer():
            return f"AFTER {instance} {action.delay_ms:.3f} {action.name}"
        case api.Count():
            return f"ADD {instance} {action.name} {action.amount:g} {action.ttl_ms:.3f}"
        case api.Subscribe():
            return f"OBSERVE {instance} 1"
        case api.Log():
            return f"NOTE_DOWN {instance} {' '.join(action.text.split())}"
    raise TypeError(f"not an action: {action!r}")
