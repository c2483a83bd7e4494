"""Mistakes that a checker has to find: each replaces one part of the program by one that does it wrongly."""

from __future__ import annotations

from plumwall.model.cluster import Planted
from yewstage.holding.group import Group, Result, encode_entry
from yewstage.raft.core import Replica
from yewstage.raft.messages import MEMBERS, AnyMessage, Members, VoteReply, encode


class _HastyVoter(Replica):
    def _send(self, message: AnyMessage) -> None:
        if isinstance(message, VoteReply):
            self._emit(message)
        else:
            super()._send(message)


class _CountsOldTerms(Replica):
    def _may_commit(self) -> None:
        index = self._quorum({name: peer.match for name, peer in self.peers.items()}, self._stable)
        if index > self.commit:
            self._committed(index)


class _ReadsAtOnce(Replica):
    def read(self, now: float, ticket: int) -> None:
        self._must_lead(now)
        self.out.reads.append((ticket, self.commit))


class _ChangesAtOnce(Replica):
    def change(self, now: float, members: Members) -> int:
        self._must_lead(now)
        entry = self._append(MEMBERS, encode(members))
        for name in self.peers:
            self._tell(name, now)
        self._may_commit()
        return entry.index


class _ForgetsLeases(Group):
    def compact(self, now: float) -> None:
        if self.applied > self.replica.snapshot.index:
            state = {**self.store.snapshot(), "leases": [], "token": 0}
            self.replica.compact(self.applied, encode_entry(state))


class _TrustsOldTimes(Group):
    def _lead_or_not(self, now: float, result: Result) -> None:
        fresh = self.planned is None
        super()._lead_or_not(now, result)
        if fresh and self.planned is not None:
            self.planned = type(self.store).restored(self.rules, self.store.snapshot(), now - 1e6)


PLANTED: dict[str, Planted] = {
    "vote-not-durable": Planted(_HastyVoter, scene="candidates"),
    "earlier-term-by-count": Planted(_CountsOldTerms, scene="older-entry"),
    "read-by-a-deposed-leader": Planted(_ReadsAtOnce, scene="unheard"),
    "snapshot-forgets-a-lease": Planted(group=_ForgetsLeases, scene="held"),
    "old-lease-after-a-restart": Planted(group=_TrustsOldTimes, scene="held"),
    "window-begun-before-a-restart": Planted(group=_TrustsOldTimes, scene="claimed"),
    "wiped-member-votes": Planted(keeps_name=True, scene="led"),
    "two-members-at-once": Planted(_ChangesAtOnce, scene="alone"),
}
