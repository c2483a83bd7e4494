"""What other processes of the cluster last reported of themselves, and when. Times are in ms of one clock.

Reports may be late, outdated or missing. They decide where replicas are placed, never what counts as
committed.
"""

from __future__ import annotations

from collections.abc import Mapping

from yewstage.holding.placement import ClusterView, LeaderReport, PlacementTable
from yewstage.raft.messages import Member

PRESENCE_TIMEOUT_MS = 4000.0  # four times the interval between two hellos of a process
RETENTION_MS = 60_000.0


class PeerReports:
    """The reports that one process received."""

    def __init__(self) -> None:
        # By member id, with the time of the last hello.
        self.last_hellos: dict[str, tuple[Member, float]] = {}
        # By group, with its leader and the time.
        self.leader_reports: dict[str, tuple[LeaderReport, Member, float]] = {}

    def record_hello(self, member: Member, leads: tuple[LeaderReport, ...], now: float) -> None:
        """Record a process's hello and its reports on the groups that it leads."""
        if member.id not in self.last_hellos:  # drop disks that are long gone
            self.last_hellos = {
                k: entry for k, entry in self.last_hellos.items() if now - entry[1] < RETENTION_MS
            }
        self.last_hellos[member.id] = member, now
        for report in leads:
            previous = self.leader_reports.get(report.group)
            if previous is None or previous[0].term <= report.term:
                self.leader_reports[report.group] = report, member, now

    def present_members(self, me: Member, now: float) -> tuple[Member, ...]:
        """Processes heard of within the presence timeout, and this one."""
        return me, *(
            m for m, at in self.last_hellos.values() if now - at <= PRESENCE_TIMEOUT_MS and m.id != me.id
        )

    def cluster_view(
        self,
        table: PlacementTable,
        led: Mapping[str, LeaderReport],
        me: Member,
        now: float,
        since: float,
        gone_ms: float,
        copies: int,
    ) -> ClusterView:
        """The cluster as the leader of the placement group sees it.

        `led` has the reports of the groups led by this process. Silence counts from `since`, the start of its
        leadership of the placement group, at the earliest.
        """
        heard_at: dict[str, float] = {}
        for member, at in self.last_hellos.values():
            heard_at[member.name] = max(heard_at.get(member.name, 0.0), at)
        names = {name for placed in table.placements for name in placed.machine_names}
        reports = {
            g: entry[0] for g, entry in self.leader_reports.items() if now - entry[2] <= PRESENCE_TIMEOUT_MS
        }
        present_by_name: dict[str, Member] = {m.name: m for m in self.present_members(me, now)}
        return ClusterView(
            table,
            {**reports, **led},
            tuple(present_by_name.values()),
            {name: now - max(heard_at.get(name, 0.0), since) for name in names},
            gone_ms,
            copies,
        )
