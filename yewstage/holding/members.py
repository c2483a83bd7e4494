"""Which member is to be changed next: lost copies are replaced, one at a time. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

import xxhash
from msgspec import structs

from yewstage.raft.messages import Member, Members


@dataclass(slots=True, frozen=True)
class View:
    """What a leader sees."""

    me: str
    group: str
    members: Members
    silent_ms: Mapping[str, float]  # of members, by id: since we last heard of it
    present: tuple[Member, ...]  # processes that say now that they are there, members or not
    caught_up: frozenset[str]  # ids of those who have all but what is under way
    copies: int
    gone_ms: float
    fresh_ms: float  # silence after which a process is not there, though it may come back


def next_change(view: View) -> Members | None:
    """The members after the next change; None: nothing is to be changed.

    A learner is let in first and made a voter once it has all; only then the lost one goes, so that there
    are never fewer copies than before. While one is being let in nothing else is changed; if it is lost
    itself it goes again.
    """
    for learner in (m for m in view.members if not m.voter):
        if _silent(view, learner) > view.fresh_ms:
            return _without(view, learner)
        if learner.id in view.caught_up:
            return tuple(structs.replace(m, voter=True) if m.id == learner.id else m for m in view.members)
        return None
    voters = [m for m in view.members if m.voter]
    lost = [m for m in voters if m.id != view.me and _is_lost(view, m)]
    if lost and len(voters) > view.copies:
        return _without(view, max(lost, key=lambda m: _silent(view, m)))
    if lost or len(voters) < view.copies:
        chosen = _candidate(view, [m for m in voters if m not in lost], lost)
        if chosen is not None:
            return *view.members, structs.replace(chosen, voter=False)
    return None


def to_begin(statuses: list[dict[str, object]]) -> tuple[int, list[dict[str, object]]]:
    """By what processes say of themselves: which one begins a group of all, and the members it is told."""
    members = [{key: told[key] for key in ("id", "name", "zone", "peer", "call")} for told in statuses]
    return min(range(len(members)), key=lambda i: members[i]["id"]), members


def used_twice(view: View) -> list[str]:
    """Names under which two processes are there at once: neither is let in by that name."""
    count = Counter(m.name for m in view.present)
    return sorted(name for name, times in count.items() if times > 1)


def _silent(view: View, member: Member) -> float:
    return view.silent_ms.get(member.id, 0.0)


def _is_lost(view: View, member: Member) -> bool:
    """Silent for too long; or its machine is there with another disk, so that this one never comes back."""
    reborn = any(m.name == member.name and m.id != member.id for m in view.present)
    return _silent(view, member) > (view.fresh_ms if reborn else view.gone_ms)


def _without(view: View, member: Member) -> Members:
    return tuple(m for m in view.members if m.id != member.id)


def _candidate(view: View, kept: list[Member], lost: list[Member]) -> Member | None:
    """Who takes a lost copy's place: in the zone with the fewest copies left, the machine itself where it
    has come back, else the highest by rendezvous hashing."""
    known, twice = {m.id for m in view.members}, used_twice(view)
    taken, zones = {m.name for m in kept}, Counter(m.zone for m in kept)
    names = {m.name for m in lost}
    free = [m for m in view.present if m.id not in known and m.name not in taken and m.name not in twice]
    return min(
        free,
        key=lambda m: (
            zones[m.zone],
            m.name not in names,
            xxhash.xxh64_intdigest(f"{view.group} {m.name}".encode()),
        ),
        default=None,
    )
