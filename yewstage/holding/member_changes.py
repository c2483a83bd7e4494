"""Which member of a group is to be changed next, so that copies come to be where they are wanted. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from msgspec import structs

from yewstage.holding.placement import ideal
from yewstage.raft.messages import Member, Members


@dataclass(slots=True, frozen=True)
class GroupView:
    """What a group's leader sees."""

    me: str
    members: Members
    machine_names: tuple[str, ...]  # names of the machines that are to hold it; empty: not known
    silent_ms: Mapping[str, float]  # of members, by id: since we last heard of it
    present: tuple[Member, ...]  # processes that say now that they are there, members or not
    caught_up: frozenset[str]  # ids of those who have all but what is under way
    fresh_ms: float  # silence after which a process is not there, though it may come back
    may_copy: bool = True  # whether a copy may be begun now


def next_change(view: GroupView) -> Members | None:
    """The members after the next change; None: nothing is to be changed.

    A learner is let in first and made a voter once it has all; only then another one goes, so that there
    are never fewer copies than before. While one is being let in nothing else is changed; if it is lost
    itself, or wanted no more, it goes again.
    """
    for learner in (m for m in view.members if not m.voter):
        wanted = learner.name in view.machine_names and not _reborn(view, learner)
        if not wanted or _silent(view, learner) > view.fresh_ms:
            return _without(view, learner)
        if learner.id in view.caught_up:
            return tuple(structs.replace(m, voter=True) if m.id == learner.id else m for m in view.members)
        return None
    if not view.machine_names:
        return None
    leaving = [m for m in view.members if _leaves(view, m)]
    if leaving and len(view.members) > len(view.machine_names):
        goes = max(leaving, key=lambda m: (_missing(view, m), m.id != view.me, _silent(view, m)))
        if not _missing(view, goes) and any(_missing(view, m) for m in view.members if m not in leaving):
            return None  # a whole copy is not given up while one that is to stay may be lost
        return _without(view, goes)
    stay = {m.name for m in view.members if m not in leaving}
    twice = used_twice(view.present)
    coming = [
        m for m in view.present if m.name in view.machine_names and m.name not in stay and m.name not in twice
    ]
    if coming and view.may_copy:
        chosen = min(coming, key=lambda m: view.machine_names.index(m.name))
        return *view.members, structs.replace(chosen, voter=False)
    return None


def lost(view: GroupView, gone_ms: float) -> tuple[str, ...]:
    """Ids of members that are silent for too long, or whose machine is there with another disk, so that they
    never come back."""
    return tuple(
        m.id
        for m in view.members
        if m.id != view.me
        and _silent(view, m) > (min(view.fresh_ms, gone_ms) if _reborn(view, m) else gone_ms)
    )


def founder_and_members(statuses: list[dict[str, object]], group: str) -> tuple[int, list[dict[str, object]]]:
    """By what processes say of themselves: which one begins, and the members it is told."""
    members = [{key: told[key] for key in ("id", "name", "zone", "peer", "call")} for told in statuses]
    first = beginner(tuple(Member(**m) for m in members), group, int(statuses[0]["copies"]))
    return next(i for i, m in enumerate(members) if m["id"] == first.id), members


def beginner(members: Members, group: str, copies: int) -> Member:
    """Who begins a group, so that two operators at once cannot begin two: the least id of its homes."""
    homes = ideal(group, members, copies)
    return min((m for m in members if m.name in homes), key=lambda m: m.id)


def used_twice(present: Iterable[Member]) -> list[str]:
    """Names under which two processes are there at once: neither is let in by that name."""
    count = Counter(m.name for m in present)
    return sorted(name for name, times in count.items() if times > 1)


def _silent(view: GroupView, member: Member) -> float:
    return view.silent_ms.get(member.id, 0.0)


def _missing(view: GroupView, member: Member) -> bool:
    """Whether a copy may be lost: its machine is not heard of, or is there with another disk."""
    return member.id != view.me and (_reborn(view, member) or _silent(view, member) > view.fresh_ms)


def _reborn(view: GroupView, member: Member) -> bool:
    """Whether the machine is there with another disk."""
    return any(m.name == member.name and m.id != member.id for m in view.present)


def _leaves(view: GroupView, member: Member) -> bool:
    """Whether a voter is to go, once another one has come in its place."""
    if member.name not in view.machine_names:
        return True
    return member.id != view.me and _reborn(view, member) and _silent(view, member) > view.fresh_ms


def _without(view: GroupView, member: Member) -> Members:
    return tuple(m for m in view.members if m.id != member.id)
