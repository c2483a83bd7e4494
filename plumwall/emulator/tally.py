"""What the load tool saw: counts and latencies, by gateway, class, plan and status.

Latency counts from when a try was due, in HdrHistograms of microseconds: a slow generator makes them longer,
it hides nothing.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from plumwall import records as r

LEAST_US, MOST_US, DIGITS = 1, 60_000_000, 2
LATE_MS = 20.0  # of the 99th percentile of lateness, past which a run is void
OFFERED, SERVED, REFUSED, FAILED = "offered", "served", "refused", "failed"
RESULTS = (SERVED, REFUSED, FAILED)


def histogram() -> HdrHistogram:
    """An empty one: 1 us to 60 s, two digits."""
    return HdrHistogram(LEAST_US, MOST_US, DIGITS)


def result_of(how: str, status: int) -> str:
    """What a try came to, for people."""
    if how == r.WHOLE and status == 200:
        return SERVED
    return REFUSED if how == r.WHOLE and status in (429, 503) else FAILED


class Row(Struct, frozen=True):
    """Counts and latencies (milliseconds) of one group of tries."""

    group: str
    name: str
    tries: int
    served: int
    refused: int
    failed: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    max_ms: float


class Second(Struct, frozen=True):
    """What one gateway did since the last look."""

    gateway: str
    tries: int
    served: int
    refused: int
    failed: int
    p50_ms: float
    p99_ms: float


class Tally:
    """Counts as tries are sent and end."""

    def __init__(self, classes: Sequence[str] = (), plans: Sequence[str] = ()) -> None:
        """`classes` are names by number, `plans` the plans of customers by number."""
        self._classes, self._plans = classes, plans
        self.lateness = histogram()
        self.offered_count = 0
        self.last_offered_ms = 0.0
        self._by_second: dict[str, dict[int, int]] = {OFFERED: defaultdict(int), SERVED: defaultdict(int)}
        self._latency: dict[tuple[str, str], HdrHistogram] = defaultdict(histogram)
        self._counts: dict[tuple[str, str], dict[str, int]] = defaultdict(lambda: dict.fromkeys(RESULTS, 0))
        self._now: dict[str, tuple[HdrHistogram, dict[str, int]]] = {}

    def offered(self, due: float, now: float) -> None:
        """A try was due, and is on its way to a gateway's door now: what is later is the gateway's doing."""
        self.offered_count += 1
        self.last_offered_ms = now
        self._by_second[OFFERED][int(now // 1000)] += 1
        self.lateness.record_value(_us(now - due))

    def ended(self, pending: object, how: str, status: int, now: float) -> None:
        """A try is over."""
        result, first = result_of(how, status), pending.first
        took = _us(now - pending.due)
        if result == SERVED:
            self._by_second[SERVED][int(now // 1000)] += 1
        for group in (
            ("gateway", pending.gateway),
            ("class", self._classes[first.cls]),
            ("plan", self._plans[first.customer]),
            ("status", str(status) if how == r.WHOLE else how),
        ):
            self._counts[group][result] += 1
            if result == SERVED or group[0] == "status":
                self._latency[group].record_value(took)
        latency, counts = self._now.setdefault(pending.gateway, (histogram(), dict.fromkeys(RESULTS, 0)))
        counts[result] += 1
        if result == SERVED:
            latency.record_value(took)

    def second(self) -> list[Second]:
        """By gateway, what has ended since the last call."""
        now, self._now = self._now, {}
        return [
            Second(name, sum(counts.values()), *counts.values(), _ms(latency, 50), _ms(latency, 99))
            for name, (latency, counts) in sorted(now.items())
        ]

    def state(self) -> dict[str, object]:
        """All of it, so that several processes' can be put together: histograms in their own encoding."""
        return {
            "lateness": self.lateness.encode().decode(),
            "offered": self.offered_count,
            "last_ms": self.last_offered_ms,
            "seconds": {
                kind: {str(at): n for at, n in counts.items()} for kind, counts in self._by_second.items()
            },
            "groups": [
                [*key, counts, self._latency[key].encode().decode()] for key, counts in self._counts.items()
            ],
        }

    def add(self, state: Mapping[str, object]) -> None:
        """Put another one's in."""
        self.lateness.decode_and_add(state["lateness"])
        self.offered_count += state["offered"]
        self.last_offered_ms = max(self.last_offered_ms, state["last_ms"])
        for kind, seconds in state["seconds"].items():
            for at, count in seconds.items():
                self._by_second[kind][int(at)] += count
        for group, name, counts, encoded in state["groups"]:
            self._latency[group, name].decode_and_add(encoded)
            for result, count in counts.items():
                self._counts[group, name][result] += count

    def late_ms(self, percentile: float = 99.0) -> float:
        """How late tries were sent."""
        return _ms(self.lateness, percentile)

    def most_in_a_second(self) -> tuple[int, int]:
        """The most tries offered, and the most served, in any one second."""
        return tuple(max(self._by_second[kind].values(), default=0) for kind in (OFFERED, SERVED))

    def void(self) -> str:
        """Why the run says nothing of the gateways; empty: it does."""
        if self.late_ms() > LATE_MS:
            return (
                f"the load tool was late: 99 in 100 tries within {self.late_ms():.1f} ms, {LATE_MS:g} wanted"
            )
        return ""

    def rows(self) -> list[Row]:
        """One for each gateway, class, plan and status."""
        order = {"gateway": 0, "class": 1, "plan": 2, "status": 3}
        return [
            self._row(group, name)
            for group, name in sorted(self._counts, key=lambda key: (order[key[0]], key[1]))
        ]

    def _row(self, group: str, name: str) -> Row:
        counts, latency = self._counts[group, name], self._latency[group, name]
        most = latency.get_max_value() / 1000 if latency.get_total_count() else 0.0
        return Row(
            group,
            name,
            sum(counts.values()),
            *counts.values(),
            _ms(latency, 50),
            _ms(latency, 90),
            _ms(latency, 99),
            most,
        )


def _us(ms: float) -> int:
    return min(max(int(ms * 1000), LEAST_US), MOST_US)


def _ms(latency: HdrHistogram, percentile: float) -> float:
    return latency.get_value_at_percentile(percentile) / 1000 if latency.get_total_count() else 0.0
