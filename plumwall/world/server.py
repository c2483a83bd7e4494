"""A statement server: cores that share their work, slots and a waiting room, warmth, memory of keys, reports.

Pure: it is told the time in milliseconds, and tells when it wants to be asked again. Work is in milliseconds
of one core at speed 1.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

import numpy as np

from plumwall.world.generator import ServerSpec

LOOK_MS = 100.0  # how long a rate is held constant while a server warms up
FAST_MS = 1.0  # what a request costs a server that fails it or knows its answer
NOTHING_MS = 1e-6  # of work left, below which a request is done
CHANCE = 4.0  # of the largest works sent to a cold server in its window: slack for chance

# What comes of a request at a server.
SERVED, ERROR, FULL, DRAINING, EXPIRED = "served", "error", "full", "draining", "expired"
NEVER_RAN = frozenset((FULL, DRAINING, EXPIRED))


@dataclass(slots=True)
class Job:
    """One attempt at a server."""

    id: str
    work_ms: float
    expires_ms: float  # the client's or gateway's time for it, on the world's clock; inf: none
    key: str = ""  # of what may be sent again
    key_window_ms: float = 0.0
    result: str = SERVED
    begun: bool = False
    left_ms: float = 0.0
    done: object = None  # who is told; the model does not look at it


class DeduplicationGroup:
    """Servers that drop repeats of a key together."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def repeats(self, key: str, window_ms: float, now: float) -> bool:
        """Whether this key's work has been taken here in its window; remembers it if not."""
        if len(self._until) > 10_000:
            self._until = {k: until for k, until in self._until.items() if until > now}
        if self._until.get(key, -math.inf) > now:
            return True
        self._until[key] = now + window_ms
        return False


@dataclass(slots=True)
class Pressure:
    """What a cold server was sent of late, against what it can do: the budget of the fourth rule."""

    sent: deque[tuple[float, float]] = field(default_factory=deque)
    total: float = 0.0

    def add(self, now: float, work_ms: float, span_ms: float) -> float:
        """The work that came within the span, this included."""
        self.sent.append((now, work_ms))
        self.total += work_ms
        while self.sent[0][0] < now - span_ms:
            self.total -= self.sent.popleft()[1]
        return self.total


class Server:
    """One life of a server, from its start to its end."""

    def __init__(
        self,
        spec: ServerSpec,
        pod: DeduplicationGroup,
        rng: np.random.Generator,
        now: float,
        cold: bool,
        fall_multiple: float = 3.0,
        fall_ms: float = 1500.0,
    ) -> None:
        self.spec, self._pod, self._rng = spec, pod, rng
        self._fall_multiple, self._fall_ms = fall_multiple, fall_ms
        self.started_ms, self._cold = now, cold
        self._work_done = 0.0
        self._at = now
        self._running: list[Job] = []
        self._waiting: deque[Job] = deque()
        self._over: list[Job] = []  # ended outside of `advance`
        self._pressure = Pressure()
        self.draining = self.has_collapsed = False
        self.fails = 0.0  # share of requests that it fails at once
        self.slow = 1.0  # how many times as long everything takes
        self._busy_ms, self._report_from = 0.0, now
        self._report = {"util": 0.0, "inflight": 0.0, "queue": 0.0}
        self._next_report, self._report_at = self._report, now
        self._report_due = now + spec.report_period_ms * float(rng.random())

    def warmth(self, now: float) -> float:
        """The part of its capacity that it has: it rises evenly with time, sooner if it is kept busy."""
        if not self._cold:
            return 1.0
        spec = self.spec
        by_time = (now - self.started_ms) / spec.cold_ms
        by_work = self._work_done / (spec.cold_ms * spec.cores * spec.speed * spec.cold_from)
        risen = min(1.0, max(by_time, by_work))
        if risen >= 1.0:
            self._cold = False
        return spec.cold_from + (1 - spec.cold_from) * risen

    def capacity(self, now: float) -> float:
        """Work that it can do in a millisecond at this moment, were it not crowded."""
        return self.spec.cores * self.spec.speed * self.warmth(now)

    def held(self) -> int:
        """Requests that it holds."""
        return len(self._running) + len(self._waiting)

    def offer(self, now: float, job: Job) -> str:
        """Take a request that has arrived whole. What it says at once, or `SERVED` if it was taken in."""
        self._step(now)  # what ends by it is told at the next `advance`
        if self._cold and not self.has_collapsed:
            self._press(now, job.work_ms)
        if self.has_collapsed:
            return FULL
        if self.draining:
            return DRAINING
        spec = self.spec
        job.left_ms = job.work_ms * math.exp(spec.noise * self._rng.standard_normal() - spec.noise**2 / 2)
        if self._rng.random() < (self.fails or spec.error_rate):
            job.result, job.left_ms = ERROR, min(job.left_ms, FAST_MS) if self.fails else job.left_ms
        if len(self._running) < spec.slots:
            self._begin(now, job)
        elif len(self._waiting) < spec.queue:
            self._waiting.append(job)
        else:
            return FULL
        return SERVED

    def due(self) -> float:
        """When to be asked again: something ends by then, if nothing else comes. inf: never."""
        if self._over:
            return self._at
        if not self._running:
            return math.inf
        soonest = self._at + max(0.0, min(job.left_ms for job in self._running) / self._rate(self._at))
        return min(soonest, self._at + LOOK_MS) if self._cold else soonest

    def advance(self, now: float) -> list[Job]:
        """Do what is done by now; the requests that have ended, expired ones among them."""
        self._step(now)
        over, self._over = self._over, []
        return over

    def _step(self, now: float) -> None:
        while self._running and self._at < now:
            rate = self._rate(self._at)
            first = min(job.left_ms for job in self._running)
            until = min(now, self._at + first / rate, self._at + LOOK_MS if self._cold else math.inf)
            self._work(until, (until - self._at) * rate)
            if until >= now and first > NOTHING_MS:
                break
        self._at = max(self._at, now)
        self._reap()

    def drop_all(self) -> list[Job]:
        """The process is gone: what it held, begun or not."""
        held = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        return held

    def report(self, now: float) -> dict[str, float]:
        """Its load as it tells it: made anew now and then, told late, a little wrong."""
        if now >= self._report_due:
            spec = self.spec
            span = max(now - self._report_from, 1e-3)
            noise = 1 + spec.report_noise * self._rng.standard_normal(3)
            true = (
                min(1.0, self._busy_ms / span / spec.cores),
                float(self.held()),
                float(len(self._waiting)),
            )
            told = [max(0.0, value * wrong) for value, wrong in zip(true, noise, strict=True)]
            self._next_report = {
                "util": round(min(1.0, told[0]), 3),
                "inflight": round(told[1]),
                "queue": round(told[2]),
            }
            self._report_at = now + spec.report_delay_ms
            self._report_due = now + spec.report_period_ms
            self._busy_ms, self._report_from = 0.0, now
        if now >= self._report_at:
            self._report = self._next_report
        return self._report

    def _press(self, now: float, work_ms: float) -> None:
        """The fourth rule: sent more than so many times what it can do, for so long, it falls over."""
        total = self._pressure.add(now, work_ms, self._fall_ms)
        mean = total / len(self._pressure.sent)
        budget = self._fall_multiple * self.capacity(now) * self._fall_ms + CHANCE * mean
        if total > budget:
            self.has_collapsed = True

    def _rate(self, now: float) -> float:
        """Work that each request in work gets done in a millisecond. Holding too many costs efficiency."""
        spec = self.spec
        crowd = max(0.0, self.held() / spec.cores - spec.thrash_at)
        speed = spec.speed * self.warmth(now) / (1 + spec.thrash * crowd) / self.slow
        return speed * min(1.0, spec.cores / len(self._running))

    def _work(self, until: float, each_ms: float) -> None:
        for job in self._running:
            job.left_ms -= each_ms
        self._work_done += each_ms * len(self._running)
        self._busy_ms += (until - self._at) * min(len(self._running), self.spec.cores)
        self._at = until
        self._reap()

    def _reap(self) -> None:
        """Let go of what is done, and begin what waits."""
        ended = [job for job in self._running if job.left_ms <= NOTHING_MS]
        if ended:
            self._running = [job for job in self._running if job.left_ms > NOTHING_MS]
            self._over += ended
        while self._waiting and len(self._running) < self.spec.slots:
            job = self._waiting.popleft()
            if self.spec.drops_expired and job.expires_ms <= self._at:
                job.result = EXPIRED
                self._over.append(job)
            else:
                self._begin(self._at, job)

    def _begin(self, now: float, job: Job) -> None:
        job.begun = True
        if job.key and job.result == SERVED and self._pod.repeats(job.key, job.key_window_ms, now):
            job.left_ms = min(job.left_ms, FAST_MS)  # its effect is there: it is told again
        self._running.append(job)
