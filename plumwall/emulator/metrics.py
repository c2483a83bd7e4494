"""Figures of a run in the form that Prometheus reads, at an address while the run goes on."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, start_http_server

from plumwall.emulator.tally import Second

STATES = ("ready", "stopping", "ended", "killed", "crashed")


class Exporter:
    """Keeps what a run tells second by second, and answers who asks."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._tries = Counter(
            "emulator_tries", "of clients that have ended", ["gateway", "result"], registry=self.registry
        )
        self._latency = Gauge(
            "emulator_latency_seconds",
            "of what was served in the last second, since due",
            ["gateway", "quantile"],
            registry=self.registry,
        )
        self._states = Gauge(
            "emulator_gateway_state",
            "1 for the state that a gateway is in",
            ["gateway", "state"],
            registry=self.registry,
        )
        self._faults = Counter("emulator_faults", "carried out", ["kind"], registry=self.registry)
        self._server = None

    def serve(self, address: tuple[str, int]) -> int:
        """Answer at an address; the port, where 0 was asked for."""
        self._server, self._thread = start_http_server(address[1], address[0], self.registry)
        return self._server.server_port

    def second(self, second: Second) -> None:
        """What one gateway did in a second."""
        for result in ("served", "refused", "failed"):
            self._tries.labels(second.gateway, result).inc(getattr(second, result))
        self._latency.labels(second.gateway, "0.5").set(second.p50_ms / 1000)
        self._latency.labels(second.gateway, "0.99").set(second.p99_ms / 1000)

    def state(self, gateway: str, state: str) -> None:
        """A gateway has become something."""
        for one in STATES:
            self._states.labels(gateway, one).set(one == state)

    def fault(self, kind: str) -> None:
        """A change of the fault plan was carried out."""
        self._faults.labels(kind).inc()

    def close(self) -> None:
        """Answer nobody any more."""
        if self._server is not None:
            self._server.shutdown()
            self._server.server_close()
            self._thread.join()
