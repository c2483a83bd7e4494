"""Members of a fleet under virtual time: the protocol's own code, with links that lose, delay and are cut.

One seed plays the same play. Each machine's clock is off by its own amount, and none ever hears of another's.
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
class Seat:
    """One machine: its process, if it runs, and what its links do."""

    number: int
    swim: Swim | None = None
    shared: SharedTables | None = None
    lives: int = 0
    stalled_until: float = 0.0  # it runs, and does nothing
    due: float = -1.0  # of the look that is in the queue
    sent: int = 0  # bytes
    letters: int = 0


@dataclass
class Links:
    """What every link does, and which directions are cut."""

    loss: float = 0.0
    delay_ms: tuple[float, float] = (0.1, 2.0)
    repeat: float = 0.0
    cut: set[tuple[int, int]] = field(default_factory=set)


class Net:
    """All of them."""

    def __init__(
        self,
        size: int,
        seed: int,
        settings: Settings | None = None,
        zones: int = 3,
        tables: tuple[tables.Table, ...] = (),
    ) -> None:
        """With tables each member holds them."""
        self.tables = tables
        self.settings = settings or Settings("fleet")
        self.rng, self.zones = random.Random(seed), zones
        self.seats = [Seat(i) for i in range(size)]
        self.links = Links()
        self.now = 0.0
        self._queue: list[tuple[float, int, int, bytes | None]] = []
        self._order = itertools.count()
        self.found: list[tuple[float, int, MemberRow]] = []  # when which member came to know what
        self.dropped: Counter[str] = Counter()

    def name(self, i: int) -> str:
        """Of a machine's member."""
        return f"g{i}"

    def start(self, i: int, name: str = "") -> None:
        """A process starts, and knows nothing but two seeds."""
        seat = self.seats[i]
        seat.lives += 1
        zone = f"z{i % self.zones}"
        life = self.rng.getrandbits(48)
        me = MemberRow(name or self.name(i), life, f"at:{i}", zone, f"r{i % self.zones // 2}", 1)
        seeds = [f"at:{j}" for j in (0, 1) if j != i]
        seat.swim = Swim(me, self.settings, seeds, random.Random(self.rng.random()), self._clock(i))
        if self.tables:
            rng = random.Random(self.rng.random())
            seat.shared = SharedTables(seat.swim, self.tables, tables.Settings(), rng, self._clock(i))
        self._look(seat)

    def kill(self, i: int) -> None:
        """A process is gone without a word."""
        self.seats[i].swim = None

    def stall(self, i: int, for_ms: float) -> None:
        """A process is stopped for a while; what comes meanwhile waits for it."""
        self.seats[i].stalled_until = self.now + for_ms

    def split(self, *parts: range) -> None:
        """Parts that hear nothing of one another."""
        for one, other in itertools.permutations(parts, 2):
            self.links.cut |= set(itertools.product(one, other))

    def _clock(self, i: int) -> float:
        return self.now + (i - 3) * HOUR_MS

    # --- Time ---------------------------------------------------------------------------------------------

    def run(self, for_ms: float) -> None:
        """Play so much time."""
        until = self.now + for_ms
        while self._queue and self._queue[0][0] <= until:
            at, _, i, data = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            seat = self.seats[i]
            if seat.swim is None:
                continue
            if self.now < seat.stalled_until:
                self._put(seat.stalled_until, i, data)
                continue
            if data is None:
                if at < seat.due:
                    continue  # another look was set meanwhile
                seat.due = -1.0
                seat.swim.tick(self._clock(i))
                if seat.shared is not None:
                    seat.shared.tick(self._clock(i))
            else:
                self._came(seat, data)
            self._look(seat)
        self.now = until

    def _came(self, seat: Seat, data: bytes) -> None:
        seat.swim.handle(self._clock(seat.number), unseal(data, self.settings.cluster, (KEY,)))

    def _look(self, seat: Seat) -> None:
        out = seat.swim.take()
        for sender, data in out.carried if seat.shared is not None else ():
            seat.shared.handle(self._clock(seat.number), sender, data)
        if out.carried:
            out.letters += seat.swim.take().letters
        self.found += [(self.now, seat.number, row) for row in out.changes]
        for _, at, letter in out.letters:
            self._send(seat, int(at.partition(":")[2]), letter)
        due = min(seat.swim.next_at(), seat.shared.next_at() if seat.shared is not None else float("inf"))
        due += self.now - self._clock(seat.number)
        if due != float("inf") and (seat.due < self.now or due < seat.due):
            seat.due = max(due, self.now)
            self._put(seat.due, seat.number, None)

    def _send(self, seat: Seat, to: int, letter: Datagram) -> None:
        data = seal(letter, KEY)
        seat.sent += len(data)
        seat.letters += 1
        if (seat.number, to) in self.links.cut or self.rng.random() < self.links.loss:
            return
        for _ in range(1 + (self.rng.random() < self.links.repeat)):
            self._put(self.now + self.rng.uniform(*self.links.delay_ms), to, data)

    def _put(self, at: float, i: int, data: bytes | None) -> None:
        heapq.heappush(self._queue, (at, next(self._order), i, data))

    # --- What is known ------------------------------------------------------------------------------------

    def up(self) -> list[Seat]:
        """Those that run."""
        return [seat for seat in self.seats if seat.swim is not None and not seat.swim.left]

    def agreed(self) -> bool:
        """Whether all that run hold just all that run to be there."""
        lives = {seat.swim.own_row.start_id for seat in self.up()}
        return all({r.start_id for r in s.swim.rows() if r.state == ALIVE} == lives for s in self.up())

    def until_agreed(self, within_ms: float, step_ms: float = 100.0) -> float:
        """How long that takes, ms; TimeoutError if it does not come to be."""
        began = self.now
        while not self.agreed():
            if self.now - began > within_ms:
                raise TimeoutError(f"not agreed after {within_ms / 1000:.0f} s")
            self.run(step_ms)
        return self.now - began

    def told(self, i: int, states: tuple[int, ...] = (DEAD, LEFT), since: float = 0.0) -> list[float]:
        """When each of the others first held a machine to be in one of these states."""
        first: dict[int, float] = {}
        for at, who, row in self.found:
            if at >= since and row.name == self.name(i) and row.state in states:
                first.setdefault(who, at)
        return sorted(first.values())

    def false(self, down: set[int], state: int = DEAD) -> int:
        """How often somebody came to hold a machine to be dead (or suspect) that was there."""
        gone = {self.name(i) for i in down}
        assert state in (DEAD, SUSPECT)
        return sum(row.state == state and row.name not in gone for _, _, row in self.found)


def fleet(size: int, seed: int, tables: tuple[tables.Table, ...] = ()) -> Net:
    """One whose members all know one another."""
    net = Net(size, seed, tables=tables)
    for i in range(size):
        net.start(i)
    net.until_agreed(120_000.0)
    net.found.clear()
    return net
