"""The results of the load tool: counts and latencies by gateway, class, plan and status.

Latency is counted from the time a try was due, so a slow generator makes latencies longer instead of hiding
delay. Histograms are HdrHistograms of microseconds.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from plumwall import records as r

MIN_US, MAX_US, SIGNIFICANT_DIGITS = 1, 60_000_000, 2
MAX_LATENESS_MS = 20.0  # limit on the 99th percentile of lateness; a later run is void
OFFERED, SERVED, REFUSED, FAILED = "offered", "served", "refused", "failed"
RESULTS = (SERVED, REFUSED, FAILED)


def histogram() -> HdrHistogram:
    """An empty histogram: 1 us to 60 s, two significant digits."""
    return HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)


def result_of(how: str, status: int) -> str:
    """The result of a try as it is reported."""
    if how == r.COMPLETE and status == 200:
        return SERVED
    return REFUSED if how == r.COMPLETE and status in (429, 503) else FAILED


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
    """What one gateway did since the last report, usually one second ago. Latencies are in milliseconds."""

    gateway: str
    tries: int
    served: int
    refused: int
    failed: int
    p50_ms: float
    p99_ms: float


class Tally:
    """Counts tries as they are sent and as they end. Times are milliseconds since the load began."""

    def __init__(self, classes: Sequence[str] = (), plans: Sequence[str] = ()) -> None:
        """`classes` has the names of classes by index, `plans` the plan names of customers by index."""
        self._classes, self._plans = classes, plans
        self.lateness = histogram()
        self.offered_count = 0
        self.last_offered_ms = 0.0
        self._by_second: dict[str, dict[int, int]] = {OFFERED: defaultdict(int), SERVED: defaultdict(int)}
        self._latency: dict[tuple[str, str], HdrHistogram] = defaultdict(histogram)
        self._counts: dict[tuple[str, str], dict[str, int]] = defaultdict(lambda: dict.fromkeys(RESULTS, 0))
        self._since_last_report: dict[str, tuple[HdrHistogram, dict[str, int]]] = {}

    def record_offered(self, due: float, now: float) -> None:
        """Count a try that is handed to a connection now. Later delay is the gateway's, not the
        generator's."""
        self.offered_count += 1
        self.last_offered_ms = now
        self._by_second[OFFERED][int(now // 1000)] += 1
        self.lateness.record_value(_to_us(now - due))

    def record_end(self, pending: object, how: str, status: int, now: float) -> None:
        """Count the end of a try. `pending` has its `first` try, `gateway` and `due_ms`."""
        result, first = result_of(how, status), pending.first
        latency_us = _to_us(now - pending.due_ms)
        if result == SERVED:
            self._by_second[SERVED][int(now // 1000)] += 1
        for group in (
            ("gateway", pending.gateway),
            ("class", self._classes[first.cls]),
            ("plan", self._plans[first.customer]),
            ("status", str(status) if how == r.COMPLETE else how),
        ):
            self._counts[group][result] += 1
            if result == SERVED or group[0] == "status":
                self._latency[group].record_value(latency_us)
        latency, counts = self._since_last_report.setdefault(
            pending.gateway, (histogram(), dict.fromkeys(RESULTS, 0))
        )
        counts[result] += 1
        if result == SERVED:
            latency.record_value(latency_us)

    def take_seconds(self) -> list[Second]:
        """What has ended since the last call, one entry for each gateway."""
        report, self._since_last_report = self._since_last_report, {}
        return [
            Second(
                name,
                sum(counts.values()),
                *counts.values(),
                _percentile_ms(latency, 50),
                _percentile_ms(latency, 99),
            )
            for name, (latency, counts) in sorted(report.items())
        ]

    def encoded_state(self) -> dict[str, object]:
        """The complete state for JSON, so that the tallies of several processes can be merged."""
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

    def merge(self, state: Mapping[str, object]) -> None:
        """Add the encoded state of another tally."""
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

    def lateness_ms(self, percentile: float = 99.0) -> float:
        """A percentile of how late tries were sent."""
        return _percentile_ms(self.lateness, percentile)

    def peaks_per_second(self) -> tuple[int, int]:
        """The largest numbers of tries offered and of tries served in any one second."""
        return tuple(max(self._by_second[kind].values(), default=0) for kind in (OFFERED, SERVED))

    def void_reason(self) -> str:
        """Why the run is not valid for the gateways; empty if it is."""
        if self.lateness_ms() > MAX_LATENESS_MS:
            return (
                f"the load tool was late: 99 in 100 tries within {self.lateness_ms():.1f} ms, "
                f"{MAX_LATENESS_MS:g} wanted"
            )
        return ""

    def rows(self) -> list[Row]:
        """One row for each gateway, class, plan and status."""
        order = {"gateway": 0, "class": 1, "plan": 2, "status": 3}
        return [
            self._row(group, name)
            for group, name in sorted(self._counts, key=lambda key: (order[key[0]], key[1]))
        ]

    def _row(self, group: str, name: str) -> Row:
        counts, latency = self._counts[group, name], self._latency[group, name]
        longest_ms = latency.get_max_value() / 1000 if latency.get_total_count() else 0.0
        return Row(
            group,
            name,
            sum(counts.values()),
            *counts.values(),
            _percentile_ms(latency, 50),
            _percentile_ms(latency, 90),
            _percentile_ms(latency, 99),
            longest_ms,
        )


def _to_us(ms: float) -> int:
    return min(max(int(ms * 1000), MIN_US), MAX_US)


def _percentile_ms(latency: HdrHistogram, percentile: float) -> float:
    return latency.get_value_at_percentile(percentile) / 1000 if latency.get_total_count() else 0.0
