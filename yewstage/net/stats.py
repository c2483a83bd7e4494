"""Process-wide counters and the metrics text that operators read."""

from __future__ import annotations

import os
import resource
import sys
import time
from collections.abc import Callable, Iterable, Mapping

FULFILLED_STATUSES = frozenset((200,))
THROTTLED_STATUSES = frozenset((429, 503))
# Reasons of the policy's Refuse that are shown from 0 on; others are added when they first occur.
REFUSAL_REASONS = (
    "quota",
    "ceiling",
    "pressed",
    "too late",
    "no host",
    "unservable",
    "customers",
    "gave up",
    "ending",
)
DESCRIPTOR_USES = ("clients", "servers", "counter", "discovery", "ops")
TRUNCATION_CAUSES = ("server", "client", "no_room", "answered")
STATM_PATH = "/proc/self/statm"
OPEN_FILES_PATH = "/proc/self/fd"


class DescriptorUse:
    """Count of the descriptors held for one purpose."""

    __slots__ = ("held", "_totals")

    def __init__(self, totals: Descriptors | None = None) -> None:
        self.held, self._totals = 0, totals

    def opened(self) -> None:
        """Count a descriptor that was opened."""
        self.held += 1
        if self._totals is not None:
            self._totals.add(1)

    def closed(self) -> None:
        """Count a descriptor that was closed."""
        self.held -= 1
        if self._totals is not None:
            self._totals.add(-1)


class Descriptors:
    """Counts of the process's sockets by purpose; the operating system knows only their total."""

    def __init__(self) -> None:
        self.uses = {name: DescriptorUse(self) for name in DESCRIPTOR_USES}
        self.held = self.peak = 0
        self.on_change: Callable[[], None] | None = None  # called after each change of the total

    def add(self, change: int) -> None:
        """Add the change of one purpose to the total."""
        self.held += change
        self.peak = max(self.peak, self.held)
        if self.on_change is not None:
            self.on_change()


class Process:
    """Resource usage of the process under the standard Prometheus names, read from the system on demand."""

    def __init__(self) -> None:
        self._started_at_s, self._cpu_at_start_s = time.time(), self.cpu_s()

    @staticmethod
    def cpu_s() -> float:
        """Return the processor time since the start, in user and kernel mode."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return usage.ru_utime + usage.ru_stime

    def own_cpu_s(self) -> float:
        """Return the processor time since this object was created, without the interpreter's start."""
        return self.cpu_s() - self._cpu_at_start_s

    @staticmethod
    def peak_bytes() -> int:
        """Return the peak of the resident memory."""
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * (1 if sys.platform == "darwin" else 1024)

    @staticmethod
    def memory_bytes() -> tuple[int, int]:
        """Return resident memory and its private part; all gateways of a machine share the libraries.

        Both are the peak resident memory where the system has no /proc.
        """
        try:
            with open(STATM_PATH, "rb") as statm:
                resident, shared = map(int, statm.read().split()[1:3])
            return resident * resource.getpagesize(), (resident - shared) * resource.getpagesize()
        except OSError:
            return Process.peak_bytes(), Process.peak_bytes()

    def metrics(self) -> list[tuple[str, float]]:
        """Return names and values; values that this system does not provide are left out."""
        metrics = [
            ("process_cpu_seconds_total", round(self.cpu_s(), 6)),
            ("process_start_time_seconds", round(self._started_at_s, 3)),
            ("process_max_fds", resource.getrlimit(resource.RLIMIT_NOFILE)[0]),
        ]
        metrics.append(("process_resident_memory_bytes", self.memory_bytes()[0]))
        try:
            # Without the descriptor that the listing itself uses.
            metrics.append(("process_open_fds", len(os.listdir(OPEN_FILES_PATH)) - 1))
        except OSError:
            pass
        return metrics


class Stats:
    """Counts since the start of the process; shown by class, and by reason or cause."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._fulfilled: dict[str, int] = {}
        self._throttled: dict[str, int] = {}
        self._faulted: dict[str, int] = {}
        self._refusals = dict.fromkeys(REFUSAL_REASONS, 0)
        self.relayed_attempts = 0  # attempts whose request was written to its last byte
        self.accepted_configs = self.invalid_configs = 0  # configuration files read at SIGHUP
        self.uploaded_bytes = self.downloaded_bytes = 0  # bytes of streamed bodies, to and from servers
        self.truncated_by_cause = dict.fromkeys(TRUNCATION_CAUSES, 0)  # streamed bodies that ended early
        self.descriptors = Descriptors()
        self.process = Process()
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Show these classes from 0 on; removed classes keep their counts."""
        for name in classes:
            for counts in (self._fulfilled, self._throttled, self._faulted):
                counts.setdefault(name, 0)

    def count_answer(self, class_name: str, status: int) -> None:
        """Count a final answer to a connected client."""
        counts = (
            self._fulfilled
            if status in FULFILLED_STATUSES
            else self._throttled
            if status in THROTTLED_STATUSES
            else self._faulted
        )
        counts[class_name] += 1

    def count_refusal(self, reason: str) -> None:
        """Count a request that the policy refused."""
        self._refusals[reason] = self._refusals.get(reason, 0) + 1

    def count_truncated_stream(self, cause: str) -> None:
        """Count a streamed body that ended early."""
        self.truncated_by_cause[cause] += 1

    def requests(self) -> int:
        """Return the number of final answers, whatever their status."""
        return sum(sum(counts.values()) for counts in (self._fulfilled, self._throttled, self._faulted))

    def text(
        self, open_requests: int, listed_servers: int, avoided_servers: int, *additional: Mapping[str, float]
    ) -> str:
        """Return all metrics in the Prometheus text format.

        The arguments are the values not counted here; `additional` maps names to values.
        """
        lines = [
            f'gateway_{outcome}_total{{priority="{_escaped(name)}"}} {count}'
            for outcome, counts in (
                ("fulfilled", self._fulfilled),
                ("throttled", self._throttled),
                ("faulted", self._faulted),
            )
            for name, count in counts.items()
        ]
        lines += [
            f"gateway_{name} {value}"
            for name, value in (
                ("relayed_total", self.relayed_attempts),
                ("open_requests", open_requests),
                ("registry_entries", listed_servers),
                ("out_of_rotation", avoided_servers),
                ("cfg_accepted_total", self.accepted_configs),
                ("cfg_invalid_total", self.invalid_configs),
                *(pair for metrics in additional for pair in metrics.items()),
            )
        ]
        lines += [
            f'gateway_refusals_total{{reason="{_escaped(reason)}"}} {count}'
            for reason, count in self._refusals.items()
        ]
        lines += [
            f'gateway_descriptors{{use="{name}"}} {use.held}' for name, use in self.descriptors.uses.items()
        ]
        lines += [f"{name} {value}" for name, value in self.process.metrics()]
        return "\n".join(lines) + "\n"

    def summary(self, dials: int) -> str:
        """Return a summary of the process's work for the log."""
        requests = self.requests()
        cpu_us_per_request = self.process.own_cpu_s() / max(requests, 1) * 1e6
        return (
            f"{requests} requests, {cpu_us_per_request:.0f} us CPU for each, at the most "
            f"{self.process.peak_bytes() / 2**20:.1f} MB and {self.descriptors.peak} sockets, "
            f"{dials} dials to servers"
        )


def _escaped(label: str) -> str:
    return label.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
