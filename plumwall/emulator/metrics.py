"""Metrics of a run in the Prometheus format, served over HTTP while the run is in progress."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, start_http_server

from plumwall.emulator.tally import Second

STATES = ("ready", "stopping", "ended", "killed", "crashed")


class Exporter:
    """Keeps the metrics of a run and serves them."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._tries = Counter(
            "emulator_tries",
            "of clients that have ended",
            ["gateway", "result"],
            registry=self.registry,
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
        """Serve the metrics at an address; return the port, which the system chooses if it is 0 in the
        address."""
        self._server, self._thread = start_http_server(address[1], address[0], self.registry)
        return self._server.server_port

    def record_second(self, second: Second) -> None:
        """Add what one gateway did in a second."""
        for result in ("served", "refused", "failed"):
            self._tries.labels(second.gateway, result).inc(getattr(second, result))
        self._latency.labels(second.gateway, "0.5").set(second.p50_ms / 1000)
        self._latency.labels(second.gateway, "0.99").set(second.p99_ms / 1000)

    def record_state(self, gateway: str, state: str) -> None:
        """Set the state of a gateway."""
        for known_state in STATES:
            self._states.labels(gateway, known_state).set(known_state == state)

    def record_fault(self, kind: str) -> None:
        """Count a fault event that was applied."""
        self._faults.labels(kind).inc()

    def close(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.shutdown()
            self._server.server_close()
            self._thread.join()
