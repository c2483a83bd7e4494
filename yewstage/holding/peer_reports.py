"""What processes of a cluster say of themselves, and when each last did. Pure; times in ms of one clock.

What is heard decides where copies are made, never what was promised: it may be late, old or missing.
"""

from __future__ import annotations

from collections.abc import Mapping

from yewstage.holding.placement import ClusterView, LeaderReport, PlacementTable
from yewstage.raft.messages import Member

PRESENCE_TIMEOUT_MS = 4000.0  # a process that was heard of within this is there: four of its signs of life
FORGET_MS = 60_000.0


class PeerReports:
    """All of it, at one process."""

    def __init__(self) -> None:
        self.present: dict[str, tuple[Member, float]] = {}  # by id
        self.reports: dict[str, tuple[LeaderReport, Member, float]] = {}  # by group: its leader's

    def hear(self, member: Member, leads: tuple[LeaderReport, ...], now: float) -> None:
        """A process says that it is there, and what it leads."""
        if member.id not in self.present:  # disks that are long gone are forgotten
            self.present = {k: told for k, told in self.present.items() if now - told[1] < FORGET_MS}
        self.present[member.id] = member, now
        for report in leads:
            known = self.reports.get(report.group)
            if known is None or known[0].term <= report.term:
                self.reports[report.group] = report, member, now

    def present_members(self, me: Member, now: float) -> tuple[Member, ...]:
        """Processes that are there, this one too."""
        return me, *(
            m for m, at in self.present.values() if now - at <= PRESENCE_TIMEOUT_MS and m.id != me.id
        )

    def sight(
        self,
        table: PlacementTable,
        led: Mapping[str, LeaderReport],
        me: Member,
        now: float,
        since: float,
        gone_ms: float,
        copies: int,
    ) -> ClusterView:
        """What the leader of the places' group sees of all groups; `led`: reports of those led here, `since`:
        when it began to lead, for silence counts from then on."""
        heard: dict[str, float] = {}
        for member, at in self.present.values():
            heard[member.name] = max(heard.get(member.name, 0.0), at)
        names = {name for placed in table.placed for name in placed.machine_names}
        reports = {g: told[0] for g, told in self.reports.items() if now - told[2] <= PRESENCE_TIMEOUT_MS}
        once: dict[str, Member] = {m.name: m for m in self.present_members(me, now)}
        return ClusterView(
            table,
            {**reports, **led},
            tuple(once.values()),
            {name: now - max(heard.get(name, 0.0), since) for name in names},
            gone_ms,
            copies,
        )
