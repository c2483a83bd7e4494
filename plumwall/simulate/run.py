"""A scenario played under virtual time, judged and kept as a run on sockets is."""

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
from plumwall.simulate.clients import Front
from plumwall.simulate.clock import Clock
from plumwall.simulate.gateway import SimGateway
from plumwall.simulate.hosts import Agents, CounterHost, Hosts
from plumwall.world.generator import FaultEvent, GeneratedWorld
from yewstage import interface as api
from yewstage.policy import Gateway

SECOND_MS = 1000.0
LAST_MS = 15_000.0  # beyond the load and the longest deadline


class UnplayableError(ValueError):
    """A scenario that has a part which is not simulated; the text says which."""


class Simulation:
    """One play."""

    def __init__(
        self,
        scenario: scenarios.Scenario,
        seed: int,
        say: Callable[[str], None] = lambda text: None,
        make: Callable[[api.Settings, int], Gateway] = Gateway,
    ) -> None:
        """`make` makes a gateway's module: another one to be compared, or the one in service."""
        if scenario.listing.source != "agent":
            raise UnplayableError(
                f"listing.source: {scenario.listing.source!r} is processes: plumwall up plays them"
            )
        self.scenario, self.seed, self._say = scenario, seed, say
        self.drawn = GeneratedWorld(scenario, seed)
        self.clock = Clock()
        self.records: list[r.Record] = []
        write = self.records.append
        self._hosts = Hosts(self.drawn, self.clock, write)
        self._counter = CounterHost(self.drawn, self.clock, write)
        self._agents = Agents(self.drawn, self.clock, write)
        self.gateways = {
            spec.name: SimGateway(
                spec,
                self.drawn,
                self.clock,
                self._hosts,
                self._counter,
                self._agents.all[spec.name],
                write,
                make,
            )
            for spec in self.drawn.gateways
        }
        overdue = scenario.rules.overdue_ms + scenario.rules.socket_ms
        self._front = Front(self.drawn, self.clock, write, self.gateways, overdue)

    def play(self) -> None:
        """All of it."""
        self._hosts.begin()
        for gateway in self.gateways.values():
            gateway.start(at_once=True)
        self._front.begin()
        for change in self.drawn.changes:
            self.clock.at(change.at_ms, self._change, change)
        self.clock.after(SECOND_MS, self._look, time.monotonic())
        longest = max(c.deadline_ms for c in self.scenario.classes)
        self.clock.run(self.scenario.length_s * 1000 + longest + LAST_MS, lambda: not self._front.left)
        self.records += [gateway.figures() for gateway in self.gateways.values()]

    def _look(self, began: float) -> None:
        took = time.monotonic() - began
        self._say(f"{self.clock.now / 1000:.0f} s of {self.scenario.length_s:g} played in {took:.0f} s")
        self.records += [gateway.figures() for gateway in self.gateways.values()]
        self.clock.after(SECOND_MS, self._look, began)

    def _change(self, change: FaultEvent) -> None:
        self.records.append(r.Fault(self.clock.now, change.kind, change.target, change.size))
        for part in (self._hosts, self._counter, self._agents, self._front):
            part.change(change)
        gateway = self.gateways.get(change.target)
        if gateway is None:
            return
        if change.kind == "gateway_kill":
            gateway.kill()
        elif change.kind == "gateway_start" and not gateway.up:
            gateway.start()
        elif change.kind == "gateway_restart" and gateway.up:
            gateway.restart()

    def outcome(self, folder: Path) -> RunOutcome:
        """Judged; records and outcome are kept in a folder, the same bytes for the same seed."""
        folder.mkdir(parents=True, exist_ok=True)
        self._say("judging the run")
        self.records.sort(key=lambda record: record.at)
        verdict = Judge(self.drawn, self.records).verdict()
        with (folder / "run.jsonl").open("wb") as file:
            writer = r.Writer(file)
            for record in self.records:
                writer.write(record)
            writer.flush()
        tally = self._front.tally
        seconds = max(tally.last_offered_ms / 1000, 1e-3)
        reasons: Counter[str] = Counter()
        for gateway in self.gateways.values():
            reasons.update(gateway.refusals)
        outcome = RunOutcome(
            verdict,
            tally.rows(),
            "",
            0.0,
            tally.offered_count,
            tally.offered_count / seconds,
            *tally.peaks_per_second(),
            dict(reasons.most_common()),
            {name: round(gateway.busy_ms / 1000, 6) for name, gateway in self.gateways.items()},
            {},
            str(folder),
        )
        kept = msgspec.structs.replace(outcome, folder="")
        (folder / "scenario.json").write_text(scenarios.encode(self.scenario), encoding="utf-8")
        (folder / "outcome.json").write_bytes(msgspec.json.format(msgspec.json.encode(kept), indent=1))
        return outcome
