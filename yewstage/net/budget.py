"""Memory budget for request and answer bytes held in this process, with backpressure on streamed bodies."""

from __future__ import annotations

from collections.abc import Callable

from yewstage.net.receive_buffer import READ_BYTES

# High and low water mark for streams; memory above the high one is reserved for buffered requests.
HIGH_SHARE, LOW_SHARE = 0.8, 0.5
LARGE_SHARE = 0.9  # memory above this part is reserved for requests of up to SMALL_REQUEST_BYTES
SMALL_REQUEST_BYTES = 4 * 1024
# One read of all streams together takes at most the first part of the memory below the high watermark, and
# one read of a single stream the second part of what is left of it: later streams find room, too.
ALL_STREAMS_SHARE = 1 / 2
READ_SHARE = 1 / 8
MIN_READ_BYTES = 4 * 1024  # whatever is left
ADMITTED_STREAM_BYTES = 32 * 1024  # which an upload has to have below the high watermark to be admitted
TURN_TIMEOUT_S = 0.5  # an unused turn passes to the next stream after that
STALL_TIMEOUT_S = 5.0  # a stream without progress for longer may be evicted while others wait
PURPOSES = ("requests", "answers", "uploads")


class PurposeTotal:
    """Bytes held for one purpose by all connections."""

    __slots__ = ("bytes",)

    def __init__(self) -> None:
        self.bytes = 0


class MemoryAccount:
    """Bytes that one connection holds for one purpose.

    After `begin` it is a stream, whose reading the budget may pause; otherwise it is only a count.
    """

    __slots__ = (
        "bytes",
        "has_turn",
        "is_paused",
        "progressed_at_s",
        "pause_reading",
        "evict",
        "_budget",
        "_purpose_total",
    )

    def __init__(self, budget: MemoryBudget, purpose_total: PurposeTotal) -> None:
        self._budget, self._purpose_total = budget, purpose_total
        self.bytes = 0
        self.has_turn = False  # it may make one read, for which memory is reserved
        self.is_paused = False
        self.progressed_at_s = 0.0  # when its receiver last took bytes, or it began
        self.pause_reading: Callable[[bool], None] | None = None  # set while it is a stream
        self.evict: Callable[[], None] | None = None

    def set(self, held_bytes: int) -> None:
        """Set the number of bytes held; the frequent cases are handled here, as every request calls this."""
        change_bytes = held_bytes - self.bytes
        if not change_bytes and not self.has_turn:
            return
        budget = self._budget
        self.bytes = held_bytes
        self._purpose_total.bytes += change_bytes
        budget.held += change_bytes
        if budget.held > budget.peak_bytes:
            budget.peak_bytes = budget.held
        if self.pause_reading is not None or budget.is_under_pressure or budget.held > budget.high_bytes:
            budget.account_changed(self, change_bytes)

    def note_progress(self) -> None:
        """Note that the receiver of the stream takes bytes, whether or not it has taken all that is held."""
        self.progressed_at_s = self._budget.now_s()

    def begin(self, pause_reading: Callable[[bool], None], evict: Callable[[], None]) -> None:
        """Make this a stream: `pause_reading` pauses or resumes it, `evict` ends it if it stalls."""
        self.pause_reading, self.evict = pause_reading, evict
        self._budget.stream_begun(self)

    def finish(self) -> None:
        """End the stream after its last byte was read; the bytes still held remain counted."""
        if self.pause_reading is not None:
            self._budget.stream_finished(self)

    def end(self) -> None:
        """Release all bytes and end the stream."""
        self.set(0)
        self.finish()


class MemoryBudget:
    """Counts all held bytes and applies backpressure to streams.

    Reads get smaller as the memory fills (`read_bytes`), so that many streams have room at once. Above the
    high watermark streams take turns of one read each, as far as the memory below the watermark goes, so that
    the held bytes stay constant for any number of streams. Below the low watermark all resume. A stream that
    holds bytes gets no turn before it has released them, so that a slow reader delays only itself. If streams
    without progress hold all of the memory, the one stalled for longest is evicted.
    """

    def __init__(self, limit_bytes: int, clock_s: Callable[[], float]) -> None:
        self._clock_s = clock_s
        self.held = self.peak_bytes = 0
        self._totals_by_purpose = {purpose: PurposeTotal() for purpose in PURPOSES}
        self.is_under_pressure = False
        self.pause_count = self.evicted = self.refused_count = 0
        self._turn_started_at_s: dict[MemoryAccount, float] = {}  # streams that may make one read
        self._streams: dict[MemoryAccount, None] = {}
        self._paused_streams: dict[MemoryAccount, None] = {}  # in the order of their turns
        self.set_limit(limit_bytes)

    def set_limit(self, limit_bytes: int) -> None:
        """Set the budget in bytes."""
        self.limit_bytes, self.high_bytes, self._low_bytes = (
            limit_bytes,
            int(HIGH_SHARE * limit_bytes),
            int(LOW_SHARE * limit_bytes),
        )

    def open_account(self, purpose: str) -> MemoryAccount:
        """Open the account of one connection for a purpose, one of PURPOSES."""
        return MemoryAccount(self, self._totals_by_purpose[purpose])

    def held_bytes_by_purpose(self) -> dict[str, int]:
        """Return the held bytes by purpose."""
        return {purpose: total.bytes for purpose, total in self._totals_by_purpose.items()}

    def now_s(self) -> float:
        """Return the time of the budget's clock in seconds."""
        return self._clock_s()

    def read_bytes(self) -> int:
        """Return how many bytes a stream may read at once."""
        share_bytes = int(ALL_STREAMS_SHARE * self.high_bytes / max(len(self._streams), 1))
        left_bytes = int(READ_SHARE * (self.high_bytes - self.held))
        return min(READ_BYTES, max(MIN_READ_BYTES, min(share_bytes, left_bytes)))

    def stream_count(self) -> int:
        """Return the number of open streams."""
        return len(self._streams)

    def admits_stream(self) -> bool:
        """Whether another stream may begin: there is room for a read, and for an equal part of the memory."""
        if self.is_under_pressure or self.held + READ_BYTES > self.high_bytes:
            return False
        return (len(self._streams) + 1) * ADMITTED_STREAM_BYTES <= self.high_bytes

    def admits(self, size: int, more_bytes: int | None = None) -> bool:
        """Whether a buffered request of this size fits into the budget.

        `more_bytes` is the part of it that is not held yet; None if nothing is.
        """
        is_small = size <= SMALL_REQUEST_BYTES
        limit_bytes = self.limit_bytes if is_small else int(LARGE_SHARE * self.limit_bytes)
        return self.held + (size if more_bytes is None else more_bytes) <= limit_bytes

    def is_short(self) -> bool:
        """Whether only small requests are admitted, so that nothing is to be received ahead of its turn."""
        return self.held > LARGE_SHARE * self.limit_bytes

    def account_changed(self, account: MemoryAccount, change_bytes: int) -> None:
        """Handle a change of a stream's account, or of any account under memory pressure."""
        if change_bytes < 0:
            account.progressed_at_s = self._clock_s()
        if account.has_turn:
            self._finish_turn(account)
        if self.held > self.high_bytes and not self.is_under_pressure:
            self._pause_all_streams()
        elif self.is_under_pressure:
            self._resume_streams()

    def stream_begun(self, account: MemoryAccount) -> None:
        """Add a stream; under memory pressure it waits for its turn."""
        account.progressed_at_s = self._clock_s()
        self._streams[account] = None
        if self.is_under_pressure:
            self._pause_stream(account)
            self._resume_streams()

    def stream_finished(self, account: MemoryAccount) -> None:
        """Remove a stream. A pause of its reading ends with it, as nobody else would resume it."""
        self._streams.pop(account, None)
        self._paused_streams.pop(account, None)
        self._turn_started_at_s.pop(account, None)
        pause_reading, is_paused = account.pause_reading, account.is_paused
        account.pause_reading = account.evict = None
        account.is_paused = account.has_turn = False
        if is_paused:
            pause_reading(False)
        if self.is_under_pressure:
            self._resume_streams()

    def check(self) -> None:
        """Pass unused turns on; evict the longest stalled stream if others wait and none has a turn."""
        if not self.is_under_pressure:
            return
        now = self._clock_s()
        for account in [
            account
            for account, started_at_s in self._turn_started_at_s.items()
            if now - started_at_s > TURN_TIMEOUT_S
        ]:
            self._finish_turn(account)
        self._resume_streams()
        if self._turn_started_at_s or not any(not account.bytes for account in self._paused_streams):
            return
        account = min((s for s in self._streams if s.bytes), key=lambda s: s.progressed_at_s, default=None)
        if account is not None and now - account.progressed_at_s > STALL_TIMEOUT_S:
            self.evicted += 1
            account.evict()

    def _pause_all_streams(self) -> None:
        self.is_under_pressure = True
        for account in self._streams:
            self._pause_stream(account)

    def _pause_stream(self, account: MemoryAccount) -> None:
        if account.pause_reading is not None and not account.is_paused:
            account.is_paused = True
            self.pause_count += 1
            self._paused_streams[account] = None
            account.pause_reading(True)

    def _finish_turn(self, account: MemoryAccount) -> None:
        """End a turn after its read, or after its time limit."""
        self._turn_started_at_s.pop(account, None)
        account.has_turn = False
        if self.is_under_pressure:
            self._pause_stream(account)

    def _resume_stream(self, account: MemoryAccount) -> None:
        del self._paused_streams[account]
        account.is_paused = False
        account.pause_reading(False)

    def _resume_streams(self) -> None:
        if self.held < self._low_bytes:
            self.is_under_pressure = False
            for account in self._turn_started_at_s:
                account.has_turn = False
            self._turn_started_at_s.clear()
            for account in list(self._paused_streams):
                if account.is_paused:
                    self._resume_stream(account)
            return
        for account in list(self._paused_streams):
            if self.held + (len(self._turn_started_at_s) + 1) * READ_BYTES > self.high_bytes:
                return
            if not account.bytes and account.is_paused:
                account.has_turn = True
                self._turn_started_at_s[account] = self._clock_s()
                self._resume_stream(account)
