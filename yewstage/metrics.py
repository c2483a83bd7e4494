"""Metrics of the list service, the holding service and the checker, by the Prometheus client library.

The gateway does not use it: the library adds a fifth to a gateway's start-up time and memory, and a fleet has
two hundred gateways.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

LabelledValues = Mapping[str, float]  # by the value of one label


def gauge(name: str, meaning: str, value: float) -> Metric:
    """A metric that can rise and fall."""
    return GaugeMetricFamily(name, meaning, value=value)


def labelled_gauge(name: str, meaning: str, label: str, values: LabelledValues) -> Metric:
    """A gauge with one sample for each value of a label."""
    return _labelled(GaugeMetricFamily(name, meaning, labels=[label]), values)


def counter(name: str, meaning: str, value: float) -> Metric:
    """A metric that only rises while the process lives. `_total` is appended to its name."""
    return CounterMetricFamily(name, meaning, value=value)


def labelled_counter(name: str, meaning: str, label: str, values: LabelledValues) -> Metric:
    """A counter with one sample for each value of a label. `_total` is appended to its name."""
    return _labelled(CounterMetricFamily(name, meaning, labels=[label]), values)


class MetricsPage:
    """The metrics page of a program: its own metrics and those of its process (CPU time, memory)."""

    def __init__(self, collect: Callable[[], Iterable[Metric]]) -> None:
        self._registry = CollectorRegistry()
        self._registry.register(_OnDemandCollector(collect))
        ProcessCollector(registry=self._registry)

    def text(self) -> str:
        """The page in the Prometheus text format."""
        return generate_latest(self._registry).decode()


class _OnDemandCollector(Collector):
    """Calls `collect` for each request of the page, so that no second copy of the values is kept."""

    def __init__(self, collect: Callable[[], Iterable[Metric]]) -> None:
        self._collect = collect

    def describe(self) -> list[Metric]:
        """No metrics: otherwise the registry would call `collect` when the collector is registered."""
        return []

    def collect(self) -> Iterable[Metric]:
        return self._collect()


def _labelled(family: CounterMetricFamily | GaugeMetricFamily, values: LabelledValues) -> Metric:
    for label, value in values.items():
        family.add_metric([label], value)
    return family
