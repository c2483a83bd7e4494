"""The bytes that this process holds for others, counted in one place and kept within one budget."""

from __future__ import annotations

from collections.abc import Callable

HIGH, LOW = 0.8, 0.5  # watermarks of long bodies; what is above the high one is kept for small requests
READ = 256 * 1024  # the most that one read of a socket brings
TURN_S = 0.5  # a turn that is not used by then goes to the next
STALL_S = 5.0  # who takes nothing for so long, while others wait for the room, is not going to
USES = ("requests", "answers", "uploads")


class Share:
    """What is held for one purpose, by all."""

    __slots__ = ("bytes",)

    def __init__(self) -> None:
        self.bytes = 0


class MemoryAccount:
    """What one connection holds for one purpose, and how its reading is stopped; without that it is a count
    only."""

    __slots__ = ("bytes", "turn", "stopped", "moved_at", "pause_reading", "evict", "_budget", "_share")

    def __init__(self, budget: MemoryBudget, share: Share) -> None:
        self._budget, self._share = budget, share
        self.bytes = 0
        self.turn = False  # it may make one read, for which room is kept
        self.stopped = False
        self.moved_at = 0.0  # when it last gave bytes back, or began
        self.pause_reading: Callable[[bool], None] | None = None  # while it is a stream
        self.evict: Callable[[], None] | None = None

    def set(self, size: int) -> None:
        """It holds so much now. On every request's way: what is usual is done here, and quickly."""
        grown = size - self.bytes
        if not grown and not self.turn:
            return
        budget = self._budget
        self.bytes = size
        self._share.bytes += grown
        budget.held += grown
        if budget.held > budget.peak:
            budget.peak = budget.held
        if self.pause_reading is not None or budget.tight or budget.held > budget.high:
            budget.changed(self, grown)

    def begin(self, stop: Callable[[bool], None], evict: Callable[[], None]) -> None:
        """A long body: from now on its reading may be stopped, and it may be ended if it stalls."""
        self.pause_reading, self.evict = stop, evict
        self._budget.begun(self)

    def finish(self) -> None:
        """Its body is whole: it is no stream any more, what is left of it is still held."""
        if self.pause_reading is not None:
            self._budget.finished(self)

    def end(self) -> None:
        """It is over: all is given back."""
        self.set(0)
        self.finish()


class MemoryBudget:
    """All that is held.

    Above the high watermark no long body is read freely: they take turns, each for one read, as far as the
    room below the watermark goes, so that what is held stays flat however many there are. Below the low
    watermark all go on. A body that holds something is not read before it has given that back, so who reads
    slowly keeps none but itself waiting. If those who do not read at all have taken all the room, the one
    that has done so for longest is ended.
    """

    def __init__(self, most: int, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self.held = self.peak = 0
        self.uses = {use: Share() for use in USES}
        self.tight = False
        self.stops = self.evicted = self.refused = 0
        self._turns: dict[MemoryAccount, float] = {}  # who may make one read, and since when
        self._streams: dict[MemoryAccount, None] = {}
        self._line: dict[MemoryAccount, None] = {}  # streams that are stopped, in the order of their turns
        self.limit(most)

    def limit(self, most: int) -> None:
        """Hold so much at the most."""
        self.most, self.high, self._low = most, int(HIGH * most), int(LOW * most)

    def open_account(self, use: str) -> MemoryAccount:
        """A count of its own for one connection's purpose."""
        return MemoryAccount(self, self.uses[use])

    def by_use(self) -> dict[str, int]:
        """What is held, by purpose."""
        return {use: share.bytes for use, share in self.uses.items()}

    def streams(self) -> int:
        """Long bodies that are on their way."""
        return len(self._streams)

    def admits_long(self) -> bool:
        """Whether another long body may begin."""
        return not self.tight and self.held + READ <= self.high

    def admits(self, size: int) -> bool:
        """Whether a small request of this size may come in: long bodies leave a part of the budget to
        these."""
        return self.held + size <= self.most

    def changed(self, holder: MemoryAccount, grown: int) -> None:
        """A holder holds so much more or less: a stream's does, or room is short."""
        if grown < 0:
            holder.moved_at = self._now_s()
        if holder.turn:
            self._end_turn(holder)
        if self.held > self.high and not self.tight:
            self._tighten()
        elif self.tight:
            self._go_on()

    def begun(self, holder: MemoryAccount) -> None:
        """A long body begins; while room is short it waits for its turn."""
        holder.moved_at = self._now_s()
        self._streams[holder] = None
        if self.tight:
            self._stop(holder)
            self._go_on()

    def finished(self, holder: MemoryAccount) -> None:
        """A long body is whole."""
        self._streams.pop(holder, None)
        self._line.pop(holder, None)
        self._turns.pop(holder, None)
        holder.pause_reading = holder.evict = None
        holder.stopped = holder.turn = False
        if self.tight:
            self._go_on()

    def check(self) -> None:
        """Pass unused turns on; end the one that has stalled for longest, if nobody can go on for want of
        room."""
        if not self.tight:
            return
        now = self._now_s()
        for holder in [holder for holder, since in self._turns.items() if now - since > TURN_S]:
            self._end_turn(holder)
        self._go_on()
        if self._turns or not any(not holder.bytes for holder in self._line):
            return
        holder = min((h for h in self._streams if h.bytes), key=lambda h: h.moved_at, default=None)
        if holder is not None and now - holder.moved_at > STALL_S:
            self.evicted += 1
            holder.evict()

    def _tighten(self) -> None:
        self.tight = True
        for holder in self._streams:
            self._stop(holder)

    def _stop(self, holder: MemoryAccount) -> None:
        if holder.pause_reading is not None and not holder.stopped:
            holder.stopped = True
            self.stops += 1
            self._line[holder] = None
            holder.pause_reading(True)

    def _end_turn(self, holder: MemoryAccount) -> None:
        """Its read was made, or did not come: it is the next one's turn."""
        self._turns.pop(holder, None)
        holder.turn = False
        if self.tight:
            self._stop(holder)

    def _release(self, holder: MemoryAccount) -> None:
        del self._line[holder]
        holder.stopped = False
        holder.pause_reading(False)

    def _go_on(self) -> None:
        if self.held < self._low:
            self.tight = False
            for holder in self._turns:
                holder.turn = False
            self._turns.clear()
            for holder in list(self._line):
                if holder.stopped:
                    self._release(holder)
            return
        for holder in list(self._line):
            if self.held + (len(self._turns) + 1) * READ > self.high:
                return
            if not holder.bytes and holder.stopped:
                holder.turn = True
                self._turns[holder] = self._now_s()
                self._release(holder)
