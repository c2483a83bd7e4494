"""Model of the list of servers as the discovery agent of each gateway holds it.

Agents learn of a change late and in different orders, and may hold an old list after a restart. The model has
no clock: it returns the time at which each agent learns of a change.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

import numpy as np

from plumwall.scenario import Listing, Span
from plumwall.world.generator import ServerSpec, draw_between

READY, DRAINING, GONE = "ready", "draining", "gone"
# The order of the states within one incarnation of a server.
LIFECYCLE_ORDER = {READY: 0, DRAINING: 1, GONE: 2}
MAX_CHANGES = 4096  # bounds the memory of an agent; a client further behind gets the full list


@dataclass(slots=True, frozen=True)
class Entry:
    """State of one server in the list."""

    server: ServerSpec
    lifecycle: str
    started_at_ms: float  # Unix time; 0 for a server that was running before the load began

    def version(self) -> tuple[float, int]:
        """Return a key that is greater for a later state of the server."""
        return self.started_at_ms, LIFECYCLE_ORDER[self.lifecycle]


@dataclass(slots=True)
class Agent:
    """The list that the agent of one gateway holds, with its recent changes."""

    gateway: str
    addresses: Mapping[str, str]  # by server name, as this gateway reaches them
    generation: int = 1
    entries: dict[str, Entry] = field(default_factory=dict)
    changes: list[tuple[int, Entry]] = field(default_factory=list)

    def learn(self, entry: Entry) -> bool:
        """Apply a change; False if a later state of the server is known already."""
        known = self.entries.get(entry.server.name)
        if known is not None and entry.version() <= known.version():
            return False
        self.generation += 1
        self.entries[entry.server.name] = entry
        self.changes = [*self.changes[-MAX_CHANGES:], (self.generation, entry)]
        return True

    def changes_since(self, after: int | None) -> list[Entry] | None:
        """Return the changes after a generation; None if the full list is needed instead."""
        if after is None or after > self.generation or after < self.generation - len(self.changes):
            return None
        return [entry for generation, entry in self.changes if generation > after]

    def listing(self, after: int | None = None) -> dict[str, object]:
        """Return the body of an answer: the changes after a generation if known, else the full list."""
        changes = self.changes_since(after)
        entries = list(self.entries.values()) if changes is None else changes
        if changes is None:
            entries = [entry for entry in entries if entry.lifecycle != GONE]
        return {
            "generation": self.generation,
            "reset": changes is None,
            "instances": [self._row(entry) for entry in entries],
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
    """Draws the time at which each agent learns of a change of a server."""

    def __init__(self, listing: Listing, rng: np.random.Generator) -> None:
        self._rng = rng
        self._detection_delay_s = {
            "drain": draw_between(rng, listing.notice_s),
            "gone": draw_between(rng, listing.notice_s),
            "silent": draw_between(rng, listing.silent_notice_s),
            "start": draw_between(rng, listing.add_s),
        }
        self._spread_ms: Span = listing.spread_ms
        self.delay_factor = 1.0  # factor on the detection delay, set by the fault late_list

    def draw_arrival_times(self, now: float, change_kind: str, agents: int) -> Iterator[float]:
        """Yield the time at which each agent learns; `change_kind` is drain, gone, silent or start."""
        delay_ms = self._detection_delay_s[change_kind] * 1000 * self.delay_factor
        for _ in range(agents):
            yield now + delay_ms + float(self._rng.random()) * draw_between(self._rng, self._spread_ms)
