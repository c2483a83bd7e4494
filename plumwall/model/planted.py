"""Mistakes that a checker has to find: each replaces one part of the program by one that does it wrongly."""

from __future__ import annotations

from plumwall.model.cluster import PlantedBug
from yewstage.holding.group import Group, GroupOutput, encode_entry
from yewstage.raft.core import Replica
from yewstage.raft.messages import MEMBERS, AnyMessage, Members, VoteReply, encode


class _HastyVoter(Replica):
    def _send_when_durable(self, message: AnyMessage) -> None:
        if isinstance(message, VoteReply):
            self._send_now(message)
        else:
            super()._send_when_durable(message)


class _CountsOldTerms(Replica):
    def _maybe_commit(self) -> None:
        index = self._quorum({name: peer.match for name, peer in self.peers.items()}, self._durable_index)
        if index > self.commit_index:
            self._commit_to(index)


class _ReadsAtOnce(Replica):
    def read(self, now: float, ticket: int) -> None:
        self._require_leadership(now)
        self.out.reads.append((ticket, self.commit_index))


class _ChangesAtOnce(Replica):
    def change_members(self, now: float, members: Members) -> int:
        self._require_leadership(now)
        entry = self._append_entry(MEMBERS, encode(members))
        for name in self.peers:
            self._replicate_to(name, now)
        self._maybe_commit()
        return entry.index


class _ForgetsLeases(Group):
    def compact(self, now: float) -> None:
        if self.applied > self.replica.snapshot.index:
            state = {**self.store.snapshot(), "leases": [], "token": 0}
            self.replica.compact(self.applied, encode_entry(state))


class _TrustsOldTimes(Group):
    def _update_leadership(self, now: float, result: GroupOutput) -> None:
        fresh = self.speculative_store is None
        super()._update_leadership(now, result)
        if fresh and self.speculative_store is not None:
            self.speculative_store = type(self.store).restored(self.rules, self.store.snapshot(), now - 1e6)


PLANTED: dict[str, PlantedBug] = {
    "vote-not-durable": PlantedBug(_HastyVoter, scene="candidates"),
    "earlier-term-by-count": PlantedBug(_CountsOldTerms, scene="older-entry"),
    "read-by-a-deposed-leader": PlantedBug(_ReadsAtOnce, scene="unheard"),
    "snapshot-forgets-a-lease": PlantedBug(group=_ForgetsLeases, scene="held"),
    "old-lease-after-a-restart": PlantedBug(group=_TrustsOldTimes, scene="held"),
    "window-begun-before-a-restart": PlantedBug(group=_TrustsOldTimes, scene="claimed"),
    "wiped-member-votes": PlantedBug(keeps_name=True, scene="led"),
    "two-members-at-once": PlantedBug(_ChangesAtOnce, scene="alone"),
}
