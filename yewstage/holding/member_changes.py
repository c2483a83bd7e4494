"""The next membership change of a group towards the machines of the placement table. Pure functions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from msgspec import structs

from yewstage.holding.placement import ideal_homes
from yewstage.raft.messages import Member, Members


@dataclass(slots=True, frozen=True)
class GroupView:
    """A group as its leader sees it."""

    me: str  # member id of the leader
    members: Members
    machine_names: tuple[str, ...]  # machines that should hold the group; empty if not known
    silent_ms: Mapping[str, float]  # by member id, since it was last heard of
    present: tuple[Member, ...]  # processes heard of within the presence timeout, members or not
    caught_up: frozenset[str]  # ids of members that have all committed entries
    presence_timeout_ms: float  # silence after which a process counts as absent; it may still return
    may_copy: bool = True  # whether a learner may be added now


def next_change(view: GroupView) -> Members | None:
    """The members after the next change; None if no change is due.

    A replacement joins as a learner and becomes a voter once it has caught up. Only then is the replaced
    member removed, so there are never fewer full replicas than before. Nothing else changes during catch-up.
    A learner that is lost, or no longer wanted, is removed.
    """
    for learner in (m for m in view.members if not m.voter):
        wanted = learner.name in view.machine_names and not _has_new_disk(view, learner)
        if not wanted or _silence_ms(view, learner) > view.presence_timeout_ms:
            return _without(view, learner)
        if learner.id in view.caught_up:
            return tuple(structs.replace(m, voter=True) if m.id == learner.id else m for m in view.members)
        return None
    if not view.machine_names:
        return None
    leaving = [m for m in view.members if _is_to_leave(view, m)]
    if leaving and len(view.members) > len(view.machine_names):
        leaver = max(leaving, key=lambda m: (_may_be_lost(view, m), m.id != view.me, _silence_ms(view, m)))
        if not _may_be_lost(view, leaver) and any(
            _may_be_lost(view, m) for m in view.members if m not in leaving
        ):
            return None  # keep a full replica while one that is to stay may be lost
        return _without(view, leaver)
    staying = {m.name for m in view.members if m not in leaving}
    duplicates = duplicate_names(view.present)
    candidates = [
        m
        for m in view.present
        if m.name in view.machine_names and m.name not in staying and m.name not in duplicates
    ]
    if candidates and view.may_copy:
        chosen = min(candidates, key=lambda m: view.machine_names.index(m.name))
        return *view.members, structs.replace(chosen, voter=False)
    return None


def lost_members(view: GroupView, gone_ms: float) -> tuple[str, ...]:
    """Ids of members that were silent for longer than `gone_ms`.

    The presence timeout suffices if the machine reports another disk, since the old disk never returns then.
    """
    return tuple(
        m.id
        for m in view.members
        if m.id != view.me
        and _silence_ms(view, m)
        > (min(view.presence_timeout_ms, gone_ms) if _has_new_disk(view, m) else gone_ms)
    )


def founder_and_members(statuses: list[dict[str, object]], group: str) -> tuple[int, list[dict[str, object]]]:
    """From the status answers of processes: the index of the founder, and the members for its init call."""
    members = [{key: status[key] for key in ("id", "name", "zone", "peer", "call")} for status in statuses]
    founder_member = founder(tuple(Member(**m) for m in members), group, int(statuses[0]["copies"]))
    return next(i for i, m in enumerate(members) if m["id"] == founder_member.id), members


def founder(members: Members, group: str, copies: int) -> Member:
    """The only member that accepts the init of a group, so that two operators cannot initialise it twice: the
    least id of its initial members."""
    homes = ideal_homes(group, members, copies)
    return min((m for m in members if m.name in homes), key=lambda m: m.id)


def duplicate_names(present: Iterable[Member]) -> list[str]:
    """Machine names that two running processes report at once; neither of them is added as a member."""
    count = Counter(m.name for m in present)
    return sorted(name for name, times in count.items() if times > 1)


def _silence_ms(view: GroupView, member: Member) -> float:
    return view.silent_ms.get(member.id, 0.0)


def _may_be_lost(view: GroupView, member: Member) -> bool:
    """Whether a replica may be lost: its machine is silent, or reports another disk."""
    return member.id != view.me and (
        _has_new_disk(view, member) or _silence_ms(view, member) > view.presence_timeout_ms
    )


def _has_new_disk(view: GroupView, member: Member) -> bool:
    """Whether a running process of the same machine reports another disk."""
    return any(m.name == member.name and m.id != member.id for m in view.present)


def _is_to_leave(view: GroupView, member: Member) -> bool:
    """Whether a voter is to be removed, once its replacement is a voter."""
    if member.name not in view.machine_names:
        return True
    return (
        member.id != view.me
        and _has_new_disk(view, member)
        and _silence_ms(view, member) > view.presence_timeout_ms
    )


def _without(view: GroupView, member: Member) -> Members:
    return tuple(m for m in view.members if m.id != member.id)
