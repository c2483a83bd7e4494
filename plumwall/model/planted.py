"""Planted bugs that the model checker must find. Each replaces one part of the program by a faulty one."""

from __future__ import annotations

from plumwall.model.cluster import PlantedBug
from yewstage.holding.group import Group, GroupOutput, encode_entry
from yewstage.raft.core import Replica
from yewstage.raft.messages import MEMBERS, AnyMessage, Members, VoteReply, encode


class _VotesBeforeDurable(Replica):
    # Sends a vote before the write of the vote is durable.

    def _send_when_durable(self, message: AnyMessage) -> None:
        if isinstance(message, VoteReply):
            self._send_now(message)
        else:
            super()._send_when_durable(message)


class _CommitsEarlierTerms(Replica):
    # Commits entries of earlier terms by counting replicas.

    def _maybe_commit(self) -> None:
        index = self._quorum({name: peer.match for name, peer in self.peers.items()}, self._durable_index)
        if index > self.commit_index:
            self._commit_to(index)


class _ReadsWithoutQuorum(Replica):
    # Answers a read without confirming its leadership with a quorum.

    def read(self, now: float, ticket: int) -> None:
        self._require_leadership(now)
        self.out.reads.append((ticket, self.commit_index))


class _ChangesWithoutLimit(Replica):
    # Accepts a member list that differs in several members, or while another change is pending.

    def change_members(self, now: float, members: Members) -> int:
        self._require_leadership(now)
        entry = self._append_entry(MEMBERS, encode(members))
        for member_id in self.peers:
            self._replicate_to(member_id, now)
        self._maybe_commit()
        return entry.index


class _CompactsWithoutLeases(Group):
    # Leaves the leases and the fencing token out of snapshots.

    def compact(self, now: float) -> None:
        if self.applied_index > self.replica.snapshot.index:
            state = {**self.store.snapshot(), "leases": [], "token": 0}
            self.replica.compact(self.applied_index, encode_entry(state))


class _RestoresOldTimes(Group):
    # Restores times as if they were 1,000 s old: after a restart, old leases and windows seem to have ended.

    def _update_leadership(self, now: float, result: GroupOutput) -> None:
        was_follower = self.speculative_store is None
        super()._update_leadership(now, result)
        if was_follower and self.speculative_store is not None:
            self.speculative_store = type(self.store).restored(self.rules, self.store.snapshot(), now - 1e6)


PLANTED: dict[str, PlantedBug] = {
    "vote-not-durable": PlantedBug(_VotesBeforeDurable, scene="candidates"),
    "earlier-term-by-count": PlantedBug(_CommitsEarlierTerms, scene="older-entry"),
    "read-by-a-deposed-leader": PlantedBug(_ReadsWithoutQuorum, scene="unheard"),
    "snapshot-forgets-a-lease": PlantedBug(group=_CompactsWithoutLeases, scene="held"),
    "old-lease-after-a-restart": PlantedBug(group=_RestoresOldTimes, scene="held"),
    "window-begun-before-a-restart": PlantedBug(group=_RestoresOldTimes, scene="claimed"),
    "wiped-member-votes": PlantedBug(reuses_id=True, scene="led"),
    "two-members-at-once": PlantedBug(_ChangesWithoutLimit, scene="alone"),
}
