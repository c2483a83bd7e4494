"""Runs a scenario in virtual time, and judges and stores it as a run on sockets."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import msgspec

from plumwall import records as r
from plumwall import scenario as scenarios
from plumwall.emulator.run import RunOutcome
from plumwall.judge import Judge
from plumwall.simulate.clients import SimClients
from plumwall.simulate.clock import Clock
from plumwall.simulate.gateway import SimGateway
from plumwall.simulate.hosts import SimAgents, SimCounter, SimServers
from plumwall.world.generator import FaultEvent, GeneratedWorld
from yewstage import interface as api
from yewstage.policy import Gateway

SAMPLE_INTERVAL_MS = 1000.0
MAX_TAIL_MS = 15_000.0  # upper bound of the time after the load and the longest deadline


class NotSimulatedError(ValueError):
    """A scenario with a part that is not simulated; the message names its field."""


class Simulation:
    """One run of a scenario with a seed in virtual time."""

    def __init__(
        self,
        scenario: scenarios.Scenario,
        seed: int,
        report_progress: Callable[[str], None] = lambda text: None,
        make_module: Callable[[api.Settings, int], Gateway] = Gateway,
    ) -> None:
        """`make_module` makes the decision module of a gateway: the real one or one to compare with it."""
        if scenario.listing.source != "agent":
            raise NotSimulatedError(
                f"listing.source: {scenario.listing.source!r} needs processes: use plumwall up"
            )
        self.scenario, self.seed, self._report_progress = scenario, seed, report_progress
        self.world = GeneratedWorld(scenario, seed)
        self.clock = Clock()
        self.records: list[r.Record] = []
        write = self.records.append
        self._servers = SimServers(self.world, self.clock, write)
        self._counter = SimCounter(self.world, self.clock, write)
        self._agents = SimAgents(self.world, self.clock, write)
        self.gateways = {
            spec.name: SimGateway(
                spec,
                self.world,
                self.clock,
                self._servers,
                self._counter,
                self._agents.all[spec.name],
                write,
                make_module,
            )
            for spec in self.world.gateways
        }
        overdue_ms = scenario.rules.overdue_ms + scenario.rules.socket_ms
        self._clients = SimClients(self.world, self.clock, write, self.gateways, overdue_ms)

    def play(self) -> None:
        """Run to the end of the last try, or to the upper bound of time."""
        self._servers.start_initial()
        for gateway in self.gateways.values():
            gateway.start(immediately=True)
        self._clients.start()
        for event in self.world.fault_events:
            self.clock.at(event.at_ms, self._apply, event)
        self.clock.after(SAMPLE_INTERVAL_MS, self._sample, time.monotonic())
        max_deadline_ms = max(cls.deadline_ms for cls in self.scenario.classes)
        self.clock.run(
            self.scenario.length_s * 1000 + max_deadline_ms + MAX_TAIL_MS, lambda: not self._clients.remaining
        )
        self.records += [gateway.figures() for gateway in self.gateways.values()]

    def _sample(self, started_s: float) -> None:
        took_s = time.monotonic() - started_s
        self._report_progress(
            f"{self.clock.now / 1000:.0f} s of {self.scenario.length_s:g} played in {took_s:.0f} s"
        )
        self.records += [gateway.figures() for gateway in self.gateways.values()]
        self.clock.after(SAMPLE_INTERVAL_MS, self._sample, started_s)

    def _apply(self, event: FaultEvent) -> None:
        self.records.append(r.Fault(self.clock.now, event.kind, event.target, event.size))
        for part in (self._servers, self._counter, self._agents, self._clients):
            part.apply(event)
        gateway = self.gateways.get(event.target)
        if gateway is None:
            return
        if event.kind == "gateway_kill":
            gateway.kill()
        elif event.kind == "gateway_start" and not gateway.is_up:
            gateway.start()
        elif event.kind == "gateway_restart" and gateway.is_up:
            gateway.restart()

    def outcome(self, folder: Path) -> RunOutcome:
        """Judge the run and write its files to a folder; they are the same bytes for the same seed."""
        folder.mkdir(parents=True, exist_ok=True)
        self._report_progress("judging the run")
        self.records.sort(key=lambda record: record.at)
        verdict = Judge(self.world, self.records).verdict()
        with (folder / "run.jsonl").open("wb") as file:
            writer = r.Writer(file)
            for record in self.records:
                writer.write(record)
            writer.flush()
        tally = self._clients.tally
        duration_s = max(tally.last_offered_ms / 1000, 1e-3)
        reasons: Counter[str] = Counter()
        for gateway in self.gateways.values():
            reasons.update(gateway.refusals)
        outcome = RunOutcome(
            verdict,
            tally.rows(),
            "",
            0.0,
            tally.offered_count,
            tally.offered_count / duration_s,
            *tally.peaks_per_second(),
            dict(reasons.most_common()),
            {name: round(gateway.busy_ms / 1000, 6) for name, gateway in self.gateways.items()},
            {},
            str(folder),
        )
        stored = msgspec.structs.replace(outcome, folder="")
        (folder / "scenario.json").write_text(scenarios.encode(self.scenario), encoding="utf-8")
        (folder / "outcome.json").write_bytes(msgspec.json.format(msgspec.json.encode(stored), indent=1))
        return outcome
