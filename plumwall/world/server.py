"""Model of a statement server: shared cores, slots, a queue, warm-up, deduplication of keys and load reports.

The model has no clock: it is passed the time in milliseconds and returns when it must be advanced next.
Work is in milliseconds of one core at speed 1.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

import numpy as np

from plumwall.world.generator import ServerSpec

WARMUP_STEP_MS = 100.0  # the rate is taken as constant for this long while a server warms up
TRIVIAL_WORK_MS = 1.0  # work of a request that is failed at once or answered as a repeat
WORK_EPSILON_MS = 1e-6  # remaining work below this counts as none: rounding of floats
COLLAPSE_SLACK_REQUESTS = 4.0  # of mean work, added to the budget because arrivals bunch by chance

# Results of a request at a server.
SERVED, ERROR, FULL, DRAINING, EXPIRED = "served", "error", "full", "draining", "expired"
NEVER_RAN = frozenset((FULL, DRAINING, EXPIRED))


@dataclass(slots=True)
class Job:
    """One attempt at a server."""

    id: str
    work_ms: float
    expires_ms: float  # deadline of the client or gateway, in the time of the model; inf: none
    key: str = ""  # deduplication key of a request that may be repeated; empty: none
    key_window_ms: float = 0.0
    result: str = SERVED
    was_started: bool = False
    left_ms: float = 0.0
    completion_handle: object = None  # the caller's handle for the completion; the model does not use it


class DeduplicationGroup:
    """Keys seen by a group of servers, which together run the work of a key once per window."""

    def __init__(self) -> None:
        self._expires_ms: dict[str, float] = {}

    def is_repeat(self, key: str, window_ms: float, now: float) -> bool:
        """Return whether the key was seen within its window; otherwise record it."""
        if len(self._expires_ms) > 10_000:
            self._expires_ms = {
                other: expires_ms for other, expires_ms in self._expires_ms.items() if expires_ms > now
            }
        if self._expires_ms.get(key, -math.inf) > now:
            return True
        self._expires_ms[key] = now + window_ms
        return False


@dataclass(slots=True)
class OfferedWork:
    """Work offered to a cold server within a sliding window; too much of it makes the server collapse."""

    requests: deque[tuple[float, float]] = field(default_factory=deque)
    total_ms: float = 0.0

    def add(self, now: float, work_ms: float, window_ms: float) -> float:
        """Add a request and return the work offered within the last `window_ms`, this request included."""
        self.requests.append((now, work_ms))
        self.total_ms += work_ms
        while self.requests[0][0] < now - window_ms:
            self.total_ms -= self.requests.popleft()[1]
        return self.total_ms


class Server:
    """One incarnation of a server, from its start to its end."""

    def __init__(
        self,
        spec: ServerSpec,
        deduplication: DeduplicationGroup,
        rng: np.random.Generator,
        now: float,
        cold: bool,
        fall_multiple: float = 3.0,
        fall_ms: float = 1500.0,
    ) -> None:
        self.spec, self._deduplication, self._rng = spec, deduplication, rng
        self._collapse_multiple, self._collapse_window_ms = fall_multiple, fall_ms
        self.started_ms, self._cold = now, cold
        self._work_done_ms = 0.0
        self._now_ms = now
        self._running: list[Job] = []
        self._waiting: deque[Job] = deque()
        self._ended: list[Job] = []  # ended but not yet returned by `advance`
        self._offered_work = OfferedWork()
        self.is_draining = self.has_collapsed = False
        self.failure_rate = 0.0  # fraction of requests that it fails at once
        self.slowdown = 1.0  # factor on the duration of all work
        self._busy_ms, self._report_from_ms = 0.0, now
        self._report = {"util": 0.0, "inflight": 0.0, "queue": 0.0}
        self._pending_report, self._report_visible_ms = self._report, now
        self._report_due_ms = now + spec.report_period_ms * float(rng.random())

    def warmth(self, now: float) -> float:
        """Return the fraction of its capacity that it has: linear in time, or faster under load."""
        if not self._cold:
            return 1.0
        spec = self.spec
        by_time = (now - self.started_ms) / spec.cold_ms
        by_work = self._work_done_ms / (spec.cold_ms * spec.cores * spec.speed * spec.cold_from)
        progress = min(1.0, max(by_time, by_work))
        if progress >= 1.0:
            self._cold = False
        return spec.cold_from + (1 - spec.cold_from) * progress

    def capacity(self, now: float) -> float:
        """Return the work it can do per millisecond, without the efficiency loss of crowding."""
        return self.spec.cores * self.spec.speed * self.warmth(now)

    def request_count(self) -> int:
        """Return the number of requests that run or wait."""
        return len(self._running) + len(self._waiting)

    def offer(self, now: float, job: Job) -> str:
        """Offer a completely received request; `SERVED` if it was accepted, else the immediate result."""
        self._advance_to(now)  # requests that end here are returned by the next `advance`
        if self._cold and not self.has_collapsed:
            self._check_collapse(now, job.work_ms)
        if self.has_collapsed:
            return FULL
        if self.is_draining:
            return DRAINING
        spec = self.spec
        job.left_ms = job.work_ms * math.exp(spec.noise * self._rng.standard_normal() - spec.noise**2 / 2)
        if self._rng.random() < (self.failure_rate or spec.error_rate):
            job.result, job.left_ms = (
                ERROR,
                min(job.left_ms, TRIVIAL_WORK_MS) if self.failure_rate else job.left_ms,
            )
        if len(self._running) < spec.slots:
            self._start(now, job)
        elif len(self._waiting) < spec.queue:
            self._waiting.append(job)
        else:
            return FULL
        return SERVED

    def due(self) -> float:
        """Return when to `advance` next unless a request arrives before; inf if the server is idle."""
        if self._ended:
            return self._now_ms
        if not self._running:
            return math.inf
        soonest = self._now_ms + max(
            0.0, min(job.left_ms for job in self._running) / self._rate(self._now_ms)
        )
        return min(soonest, self._now_ms + WARMUP_STEP_MS) if self._cold else soonest

    def advance(self, now: float) -> list[Job]:
        """Advance to `now` and return the requests that have ended, including expired ones."""
        self._advance_to(now)
        ended, self._ended = self._ended, []
        return ended

    def _advance_to(self, now: float) -> None:
        while self._running and self._now_ms < now:
            rate = self._rate(self._now_ms)
            least_left_ms = min(job.left_ms for job in self._running)
            until_ms = min(
                now,
                self._now_ms + least_left_ms / rate,
                self._now_ms + WARMUP_STEP_MS if self._cold else math.inf,
            )
            self._do_work(until_ms, (until_ms - self._now_ms) * rate)
            if until_ms >= now and least_left_ms > WORK_EPSILON_MS:
                break
        self._now_ms = max(self._now_ms, now)
        self._remove_ended()

    def drop_all(self) -> list[Job]:
        """Drop all requests, as when the process ends, and return them, running and waiting."""
        dropped = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        return dropped

    def report(self, now: float) -> dict[str, float]:
        """Return the load report in effect: measured periodically, visible after a delay, with noise."""
        if now >= self._report_due_ms:
            spec = self.spec
            span_ms = max(now - self._report_from_ms, 1e-3)
            noise = 1 + spec.report_noise * self._rng.standard_normal(3)
            measured = (
                min(1.0, self._busy_ms / span_ms / spec.cores),
                float(self.request_count()),
                float(len(self._waiting)),
            )
            reported = [max(0.0, value * factor) for value, factor in zip(measured, noise, strict=True)]
            self._pending_report = {
                "util": round(min(1.0, reported[0]), 3),
                "inflight": round(reported[1]),
                "queue": round(reported[2]),
            }
            self._report_visible_ms = now + spec.report_delay_ms
            self._report_due_ms = now + spec.report_period_ms
            self._busy_ms, self._report_from_ms = 0.0, now
        if now >= self._report_visible_ms:
            self._report = self._pending_report
        return self._report

    def _check_collapse(self, now: float, work_ms: float) -> None:
        """Collapse if the work offered within the window exceeds the budget of a cold server.

        The budget is `fall_multiple` times what it can do in that time, plus slack for a few requests.
        """
        total_ms = self._offered_work.add(now, work_ms, self._collapse_window_ms)
        mean_ms = total_ms / len(self._offered_work.requests)
        budget_ms = (
            self._collapse_multiple * self.capacity(now) * self._collapse_window_ms
            + COLLAPSE_SLACK_REQUESTS * mean_ms
        )
        if total_ms > budget_ms:
            self.has_collapsed = True

    def _rate(self, now: float) -> float:
        """Return the work done per millisecond for each running request; too many held requests reduce it."""
        spec = self.spec
        excess_per_core = max(0.0, self.request_count() / spec.cores - spec.thrash_at)
        speed = spec.speed * self.warmth(now) / (1 + spec.thrash * excess_per_core) / self.slowdown
        return speed * min(1.0, spec.cores / len(self._running))

    def _do_work(self, until_ms: float, each_ms: float) -> None:
        for job in self._running:
            job.left_ms -= each_ms
        self._work_done_ms += each_ms * len(self._running)
        self._busy_ms += (until_ms - self._now_ms) * min(len(self._running), self.spec.cores)
        self._now_ms = until_ms
        self._remove_ended()

    def _remove_ended(self) -> None:
        """Remove completed requests and start waiting ones, or expire those past their deadline."""
        ended = [job for job in self._running if job.left_ms <= WORK_EPSILON_MS]
        if ended:
            self._running = [job for job in self._running if job.left_ms > WORK_EPSILON_MS]
            self._ended += ended
        while self._waiting and len(self._running) < self.spec.slots:
            job = self._waiting.popleft()
            if self.spec.drops_expired and job.expires_ms <= self._now_ms:
                job.result = EXPIRED
                self._ended.append(job)
            else:
                self._start(self._now_ms, job)

    def _start(self, now: float, job: Job) -> None:
        job.was_started = True
        if (
            job.key
            and job.result == SERVED
            and self._deduplication.is_repeat(job.key, job.key_window_ms, now)
        ):
            # The work of the key was taken before: only its answer is repeated.
            job.left_ms = min(job.left_ms, TRIVIAL_WORK_MS)
        self._running.append(job)
