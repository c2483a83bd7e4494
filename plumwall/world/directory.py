"""The list of servers as each gateway's agent holds it: late, in no common order, old after a restart.

Pure: news is told with the time at which each agent learns of it.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

import numpy as np

from plumwall.scenario import Listing, Span
from plumwall.world.generator import ServerSpec, draw_between

READY, DRAINING, GONE = "ready", "draining", "gone"
ORDER = {READY: 0, DRAINING: 1, GONE: 2}  # of one life
HISTORY = 4096  # changes that an agent keeps


@dataclass(slots=True, frozen=True)
class Entry:
    """What is told of one server."""

    server: ServerSpec
    lifecycle: str
    started_at_ms: float  # Unix time; 0: long ago

    def age(self) -> tuple[float, int]:
        """What is later in a server's lives is greater."""
        return self.started_at_ms, ORDER[self.lifecycle]


@dataclass(slots=True)
class Agent:
    """What one gateway's agent knows."""

    gateway: str
    addresses: Mapping[str, str]  # of servers, as this gateway reaches them
    generation: int = 1
    entries: dict[str, Entry] = field(default_factory=dict)
    changes: list[tuple[int, Entry]] = field(default_factory=list)

    def learn(self, entry: Entry) -> bool:
        """Take news in; False if it is older than what is known, as late news may be."""
        known = self.entries.get(entry.server.name)
        if known is not None and entry.age() <= known.age():
            return False
        self.generation += 1
        self.entries[entry.server.name] = entry
        self.changes = [*self.changes[-HISTORY:], (self.generation, entry)]
        return True

    def changes_since(self, after: int | None) -> list[Entry] | None:
        """What has come since a generation; None: nobody can tell, the whole list is wanted."""
        if after is None or after > self.generation or after < self.generation - len(self.changes):
            return None
        return [entry for generation, entry in self.changes if generation > after]

    def listing(self, after: int | None = None) -> dict[str, object]:
        """The list or its changes, as the protocol has it."""
        news = self.changes_since(after)
        told = list(self.entries.values()) if news is None else news
        if news is None:
            told = [entry for entry in told if entry.lifecycle != GONE]
        return {
            "generation": self.generation,
            "reset": news is None,
            "instances": [self._row(e) for e in told],
        }

    def _row(self, entry: Entry) -> dict[str, object]:
        server = entry.server
        return {
            "instanceId": server.name,
            "hostPort": self.addresses[server.name],
            "zone": server.zone,
            "machineType": "std",
            "cell": server.cell,
            "lifecycle": entry.lifecycle,
            "weight": 1.0,
            "startedAtMs": entry.started_at_ms,
        }


class Directory:
    """When each agent learns of what happens to a server."""

    def __init__(self, listing: Listing, rng: np.random.Generator) -> None:
        self._rng = rng
        self._notice = {
            "drain": draw_between(rng, listing.notice_s),
            "gone": draw_between(rng, listing.notice_s),
            "silent": draw_between(rng, listing.silent_notice_s),
            "start": draw_between(rng, listing.add_s),
        }
        self._spread: Span = listing.spread_ms
        self.late = 1.0  # times as late as usual

    def arrivals(self, now: float, news: str, agents: int) -> Iterator[float]:
        """For each agent the time at which it learns; `news` is one of drain, gone, silent, start."""
        base = self._notice[news] * 1000 * self.late
        for _ in range(agents):
            yield now + base + float(self._rng.random()) * draw_between(self._rng, self._spread)
