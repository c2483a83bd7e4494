"""The figures that operators read: plain counters, each counted where the thing happens."""

from __future__ import annotations

from collections.abc import Iterable

SERVED = frozenset((200,))
REFUSED = frozenset((429, 503))


class Stats:
    """Counts since the start of the process."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._fulfilled: dict[str, int] = {}
        self._throttled: dict[str, int] = {}
        self._faulted: dict[str, int] = {}
        self.relayed = 0  # attempts whose last byte was written
        self.accepted = self.invalid = 0  # configuration files at SIGHUP
        self.know(classes)

    def know(self, classes: Iterable[str]) -> None:
        """Show these classes from 0 on; a class that is dropped keeps its counts."""
        for name in classes:
            for counts in (self._fulfilled, self._throttled, self._faulted):
                counts.setdefault(name, 0)

    def ended(self, class_name: str, status: int) -> None:
        """A final answer has gone out to a client that was still there."""
        counts = (self._fulfilled if status in SERVED
                  else self._throttled if status in REFUSED else self._faulted)
        counts[class_name] += 1

    def text(self, open_requests: int, listed: int, avoided: int) -> str:
        """All figures in the Prometheus text form; what is no count is given by who knows it."""
        lines = [f'gateway_{kind}_total{{priority="{_escaped(name)}"}} {count}'
                 for kind, counts in (("fulfilled", self._fulfilled), ("throttled", self._throttled),
                                      ("faulted", self._faulted))
                 for name, count in counts.items()]
        lines += [f"gateway_{name} {value}" for name, value in (
            ("relayed_total", self.relayed), ("open_requests", open_requests),
            ("registry_entries", listed), ("out_of_rotation", avoided),
            ("cfg_accepted_total", self.accepted), ("cfg_invalid_total", self.invalid))]
        return "\n".join(lines) + "\n"


def _escaped(label: str) -> str:
    return label.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
