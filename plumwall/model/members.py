"""Simulation of a fleet's members in virtual time: the production code of SWIM and of the shared tables, on
links that lose, delay, repeat and cut datagrams.

The same seed gives the same run. Each machine's clock has its own offset, which no other machine knows.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from yewstage.membership.messages import ALIVE, DEAD, LEFT, SUSPECT, Datagram, MemberRow, seal, unseal
from yewstage.membership.swim import Settings, Swim
from yewstage.shared import tables
from yewstage.shared.anti_entropy import SharedTables

KEY = b"k" * 32
HOUR_MS = 3_600_000.0


@dataclass
class SimulatedMachine:
    """One machine: its process, which is None while it is down, and the traffic that it sent."""

    number: int
    swim: Swim | None = None
    shared: SharedTables | None = None
    start_count: int = 0
    stalled_until_ms: float = 0.0  # until then the process runs but handles nothing
    tick_due_ms: float = -1.0  # time of the tick in the queue; -1: none
    bytes_sent: int = 0  # bytes
    datagrams_sent: int = 0


@dataclass
class Links:
    """Faults of the network: loss, delay and repeat of all links, and the directions that are cut."""

    loss: float = 0.0  # probability that a datagram is lost
    delay_ms: tuple[float, float] = (0.1, 2.0)
    repeat: float = 0.0  # probability that a datagram is delivered twice
    cut: set[tuple[int, int]] = field(default_factory=set)


class SimulatedFleet:
    """All machines and the network between them. Times are in ms of true time."""

    def __init__(
        self,
        size: int,
        seed: int,
        settings: Settings | None = None,
        zones: int = 3,
        tables: tuple[tables.Table, ...] = (),
    ) -> None:
        """Create `size` machines that are down. If `tables` are given, each member holds a copy of them."""
        self.tables = tables
        self.settings = settings or Settings("fleet")
        self.rng, self.zones = random.Random(seed), zones
        self.machines = [SimulatedMachine(i) for i in range(size)]
        self.links = Links()
        self.now_ms = 0.0
        self._queue: list[tuple[float, int, int, bytes | None]] = []
        self._event_numbers = itertools.count()
        # time, machine, row of each change a member saw
        self.observed_changes: list[tuple[float, int, MemberRow]] = []
        self.dropped: Counter[str] = Counter()

    def name(self, i: int) -> str:
        """Default member name of a machine."""
        return f"g{i}"

    def start(self, i: int, name: str = "") -> None:
        """Start a process that knows only the addresses of machines 0 and 1."""
        seat = self.machines[i]
        seat.start_count += 1
        zone = f"z{i % self.zones}"
        start_id = self.rng.getrandbits(48)
        me = MemberRow(name or self.name(i), start_id, f"at:{i}", zone, f"r{i % self.zones // 2}", 1)
        seeds = [f"at:{j}" for j in (0, 1) if j != i]
        seat.swim = Swim(me, self.settings, seeds, random.Random(self.rng.random()), self.local_clock_ms(i))
        if self.tables:
            rng = random.Random(self.rng.random())
            seat.shared = SharedTables(seat.swim, self.tables, tables.Settings(), rng, self.local_clock_ms(i))
        self._flush(seat)

    def kill(self, i: int) -> None:
        """End a process without a leave message."""
        self.machines[i].swim = None

    def pause(self, i: int, for_ms: float) -> None:
        """Pause a process for a time; datagrams that arrive meanwhile are delivered afterwards."""
        self.machines[i].stalled_until_ms = self.now_ms + for_ms

    def split(self, *parts: range) -> None:
        """Cut all links between the given parts of the fleet, in both directions."""
        for part, other in itertools.permutations(parts, 2):
            self.links.cut |= set(itertools.product(part, other))

    def local_clock_ms(self, i: int) -> float:
        return self.now_ms + (i - 3) * HOUR_MS

    # --- Time ---------------------------------------------------------------------------------------------

    def run(self, for_ms: float) -> None:
        """Advance virtual time and run all events that fall due."""
        until = self.now_ms + for_ms
        while self._queue and self._queue[0][0] <= until:
            at, _, i, data = heapq.heappop(self._queue)
            self.now_ms = max(self.now_ms, at)
            seat = self.machines[i]
            if seat.swim is None:
                continue
            if self.now_ms < seat.stalled_until_ms:
                self._schedule(seat.stalled_until_ms, i, data)
                continue
            if data is None:
                if at < seat.tick_due_ms:
                    continue  # an earlier tick has been scheduled meanwhile
                seat.tick_due_ms = -1.0
                seat.swim.tick(self.local_clock_ms(i))
                if seat.shared is not None:
                    seat.shared.tick(self.local_clock_ms(i))
            else:
                self._receive(seat, data)
            self._flush(seat)
        self.now_ms = until

    def _receive(self, seat: SimulatedMachine, data: bytes) -> None:
        seat.swim.handle(self.local_clock_ms(seat.number), unseal(data, self.settings.cluster, (KEY,)))

    def _flush(self, seat: SimulatedMachine) -> None:
        output = seat.swim.take_output()
        for sender, data in output.payloads if seat.shared is not None else ():
            seat.shared.handle(self.local_clock_ms(seat.number), sender, data)
        if output.payloads:
            output.datagrams += seat.swim.take_output().datagrams
        self.observed_changes += [(self.now_ms, seat.number, row) for row in output.changes]
        for _, at, datagram in output.datagrams:
            self._send(seat, int(at.partition(":")[2]), datagram)
        due = min(
            seat.swim.next_tick_at(), seat.shared.next_tick_at() if seat.shared is not None else float("inf")
        )
        due += self.now_ms - self.local_clock_ms(seat.number)
        if due != float("inf") and (seat.tick_due_ms < self.now_ms or due < seat.tick_due_ms):
            seat.tick_due_ms = max(due, self.now_ms)
            self._schedule(seat.tick_due_ms, seat.number, None)

    def _send(self, seat: SimulatedMachine, to: int, datagram: Datagram) -> None:
        data = seal(datagram, KEY)
        seat.bytes_sent += len(data)
        seat.datagrams_sent += 1
        if (seat.number, to) in self.links.cut or self.rng.random() < self.links.loss:
            return
        for _ in range(1 + (self.rng.random() < self.links.repeat)):
            self._schedule(self.now_ms + self.rng.uniform(*self.links.delay_ms), to, data)

    def _schedule(self, at: float, i: int, data: bytes | None) -> None:
        heapq.heappush(self._queue, (at, next(self._event_numbers), i, data))

    # --- Observations -------------------------------------------------------------------------------------

    def up(self) -> list[SimulatedMachine]:
        """Machines whose process runs and has not left the fleet."""
        return [seat for seat in self.machines if seat.swim is not None and not seat.swim.has_left]

    def agreed(self) -> bool:
        """Whether each running member sees exactly the running members as alive."""
        running = {seat.swim.own_row.start_id for seat in self.up()}
        return all({r.start_id for r in s.swim.rows() if r.state == ALIVE} == running for s in self.up())

    def until_agreed(self, within_ms: float, step_ms: float = 100.0) -> float:
        """Run until `agreed` and return the time in ms; TimeoutError if it exceeds `within_ms`."""
        started_ms = self.now_ms
        while not self.agreed():
            if self.now_ms - started_ms > within_ms:
                raise TimeoutError(f"members do not agree after {within_ms / 1000:.0f} s")
            self.run(step_ms)
        return self.now_ms - started_ms

    def detection_times_ms(
        self, i: int, states: tuple[int, ...] = (DEAD, LEFT), since: float = 0.0
    ) -> list[float]:
        """Times at which each other member first saw a machine in one of these states, sorted."""
        first_seen: dict[int, float] = {}
        for at, observer, row in self.observed_changes:
            if at >= since and row.name == self.name(i) and row.state in states:
                first_seen.setdefault(observer, at)
        return sorted(first_seen.values())

    def false_detections(self, down: set[int], state: int = DEAD) -> int:
        """Number of times a member saw a machine as dead (or suspect) that is not in `down`."""
        down_names = {self.name(i) for i in down}
        assert state in (DEAD, SUSPECT)
        return sum(row.state == state and row.name not in down_names for _, _, row in self.observed_changes)


def converged_fleet(size: int, seed: int, tables: tuple[tables.Table, ...] = ()) -> SimulatedFleet:
    """A started fleet whose members all know one another, with no changes recorded yet."""
    net = SimulatedFleet(size, seed, tables=tables)
    for i in range(size):
        net.start(i)
    net.until_agreed(120_000.0)
    net.observed_changes.clear()
    return net
