"""The figures that operators read: plain counters, each counted where the thing happens."""

from __future__ import annotations

import os
import resource
import sys
import time
from collections.abc import Iterable, Mapping

SERVED = frozenset((200,))
REFUSED = frozenset((429, 503))


# Why the module refuses, in its words; any other is counted as it comes.
REASONS = ("quota", "ceiling", "pressed", "too late", "no host", "unservable", "gave up", "ending")
USES = ("clients", "servers", "counter", "discovery", "ops")
SHORT_CAUSES = ("server", "client", "no_room", "answered")
STATM = "/proc/self/statm"
OPEN_FILES = "/proc/self/fd"


class DescriptorUse:
    """Descriptors held for one purpose."""

    __slots__ = ("held", "_all")

    def __init__(self, all_uses: Descriptors | None = None) -> None:
        self.held, self._all = 0, all_uses

    def opened(self) -> None:
        """One more."""
        self.held += 1
        if self._all is not None:
            self._all.note(1)

    def closed(self) -> None:
        """One given back."""
        self.held -= 1
        if self._all is not None:
            self._all.note(-1)


class Descriptors:
    """What the process's sockets are for, counted as they open and close: the system tells only how many."""

    def __init__(self) -> None:
        self.uses = {name: DescriptorUse(self) for name in USES}
        self.held = self.peak = 0

    def note(self, change: int) -> None:
        """A use has changed."""
        self.held += change
        self.peak = max(self.peak, self.held)


class Process:
    """What the process costs, by the standard names. Read when asked: the system keeps them."""

    def __init__(self) -> None:
        self._started, self._cpu_before_s = time.time(), self.cpu_s()

    @staticmethod
    def cpu_s() -> float:
        """Processor time since the start, in user and kernel mode."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        return used.ru_utime + used.ru_stime

    def own_cpu_s(self) -> float:
        """Processor time since this was made: without what the interpreter took to load."""
        return self.cpu_s() - self._cpu_before_s

    @staticmethod
    def peak_bytes() -> int:
        """The most memory that was resident at one time."""
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * (1 if sys.platform == "darwin" else 1024)

    @staticmethod
    def memory_bytes() -> tuple[int, int]:
        """Resident memory, and the part of it that is this process's own: libraries are shared by all
        gateways
        of a machine. The most so far, where the system tells no more."""
        try:
            with open(STATM, "rb") as statm:
                resident, shared = map(int, statm.read().split()[1:3])
            return resident * resource.getpagesize(), (resident - shared) * resource.getpagesize()
        except OSError:
            return Process.peak_bytes(), Process.peak_bytes()

    def metrics(self) -> list[tuple[str, float]]:
        """Names and values; what this system does not tell is left out, not guessed."""
        figures = [
            ("process_cpu_seconds_total", round(self.cpu_s(), 6)),
            ("process_start_time_seconds", round(self._started, 3)),
            ("process_max_fds", resource.getrlimit(resource.RLIMIT_NOFILE)[0]),
        ]
        figures.append(("process_resident_memory_bytes", self.memory_bytes()[0]))
        try:
            figures.append(("process_open_fds", len(os.listdir(OPEN_FILES)) - 1))  # less the one that lists
        except OSError:
            pass
        return figures


class Stats:
    """Counts since the start of the process."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._fulfilled: dict[str, int] = {}
        self._throttled: dict[str, int] = {}
        self._faulted: dict[str, int] = {}
        self._refusals = dict.fromkeys(REASONS, 0)
        self.relayed = 0  # attempts whose last byte was written
        self.accepted = self.invalid = 0  # configuration files at SIGHUP
        self.passed_up = self.passed_down = 0  # bytes of long bodies
        self.truncated_by_cause = dict.fromkeys(SHORT_CAUSES, 0)  # long bodies that ended before their end
        self.descriptors = Descriptors()
        self.process = Process()
        self.know(classes)

    def know(self, classes: Iterable[str]) -> None:
        """Show these classes from 0 on; a class that is dropped keeps its counts."""
        for name in classes:
            for counts in (self._fulfilled, self._throttled, self._faulted):
                counts.setdefault(name, 0)

    def ended(self, class_name: str, status: int) -> None:
        """A final answer has gone out to a client that was still there."""
        counts = (
            self._fulfilled if status in SERVED else self._throttled if status in REFUSED else self._faulted
        )
        counts[class_name] += 1

    def refused(self, why: str) -> None:
        """The module has refused a request, for a reason."""
        self._refusals[why] = self._refusals.get(why, 0) + 1

    def cut_short(self, cause: str) -> None:
        """A long body has ended before its end."""
        self.truncated_by_cause[cause] += 1

    def requests(self) -> int:
        """Final answers given, of whatever kind."""
        return sum(sum(counts.values()) for counts in (self._fulfilled, self._throttled, self._faulted))

    def text(self, open_requests: int, listed: int, avoided: int, *more: Mapping[str, float]) -> str:
        """All figures in the Prometheus text form; what is no count is given by who knows it."""
        lines = [
            f'gateway_{kind}_total{{priority="{_escaped(name)}"}} {count}'
            for kind, counts in (
                ("fulfilled", self._fulfilled),
                ("throttled", self._throttled),
                ("faulted", self._faulted),
            )
            for name, count in counts.items()
        ]
        lines += [
            f"gateway_{name} {value}"
            for name, value in (
                ("relayed_total", self.relayed),
                ("open_requests", open_requests),
                ("registry_entries", listed),
                ("out_of_rotation", avoided),
                ("cfg_accepted_total", self.accepted),
                ("cfg_invalid_total", self.invalid),
                *(pair for figures in more for pair in figures.items()),
            )
        ]
        lines += [
            f'gateway_refusals_total{{reason="{_escaped(why)}"}} {count}'
            for why, count in self._refusals.items()
        ]
        lines += [
            f'gateway_descriptors{{use="{name}"}} {use.held}' for name, use in self.descriptors.uses.items()
        ]
        lines += [f"{name} {value}" for name, value in self.process.metrics()]
        return "\n".join(lines) + "\n"

    def farewell(self, dials: int) -> str:
        """What the process's life came to, for the log."""
        requests = self.requests()
        each_us = self.process.own_cpu_s() / max(requests, 1) * 1e6
        return (
            f"{requests} requests, {each_us:.0f} us CPU for each, at the most "
            f"{self.process.peak_bytes() / 2**20:.1f} MB and {self.descriptors.peak} sockets, "
            f"{dials} dials to servers"
        )


def _escaped(label: str) -> str:
    return label.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
