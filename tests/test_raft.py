"""Consensus: the code that runs, played under virtual time with every fault, and its log on disk."""

from __future__ import annotations

import errno
import os
import random
import zlib
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plumwall.model import places
from plumwall.model.cluster import SETTINGS
from plumwall.model.explore import every, search, shorten
from plumwall.model.places import Decisions
from plumwall.model.planted import PLANTED
from plumwall.model.scenes import SCENES, A, B, C, beat, elect, led, settle, start
from yewstage.holding.member_changes import GroupView, next_change
from yewstage.raft.core import BusyError, DurableState, NotLeaderError, Replica, Settings, Write, first_state
from yewstage.raft.disk import Disk, DiskError, FullError
from yewstage.raft.messages import (
    DATA,
    Append,
    AppendReply,
    Entry,
    Install,
    InstallReply,
    Member,
    PreVoteReply,
    Snapshot,
    VoteReply,
    encode,
)
from yewstage.raft.rate_limiter import CopyRateLimiter

MEMBERS = tuple(Member(f"n{i}.1", f"n{i}", f"z{i}", "", "") for i in range(3))


def test_random_plans_of_losses_crashes_lost_disks_and_changes_of_members_break_nothing() -> None:
    found = search(range(250), 300)
    assert found.plans == 250 and not found.breach, (found.breach, found.scene, shorten(found))


@pytest.mark.parametrize("scene", ["start", "candidates", "older-entry", "held", "claimed"])
def test_all_orders_of_events_to_a_depth_break_nothing(scene: str) -> None:
    found = every(scene, 3)
    assert found.complete and found.depth == 3 and found.states > 100 and not found.breach, found


@pytest.mark.parametrize("name", PLANTED)
def test_a_mistake_planted_on_purpose_is_found_and_its_plan_is_clean_without_it(name: str) -> None:
    planted = PLANTED[name]
    found = search(range(4000), 300, planted, (planted.scene,))
    assert found.breach, f"not found in {found.plans} plans"


def test_random_plans_of_lost_machines_and_operators_words_bring_every_copy_where_it_is_wanted() -> None:
    found = places.search(range(150), 300)
    assert found.plans == 150 and not found.breach, (found.breach, places.shorten(found))


@pytest.mark.parametrize("mistake", [Decisions(places.hasty), Decisions(next_table=places.crowding)])
def test_a_mistake_about_where_copies_are_to_be_is_found(mistake: Decisions) -> None:
    found = places.search(range(100), 300, mistake)
    assert found.breach and places.ending(places.shorten(found, mistake), mistake)[1]


def test_a_whole_copy_stays_until_one_that_may_be_lost_is_there_again() -> None:
    """m2 has been copied to m5, as it is taken out, when m0 loses its disk: without m2 two would be left."""

    def view(silent_ms: float) -> GroupView:
        members = tuple(Member(f"{name}.1", name, "", "", "") for name in ("m0", "m2", "m4", "m5"))
        there = (*members[1:], Member("m0.9", "m0", "a", "", ""))
        silent = {"m0.1": silent_ms, "m2.1": 0.0, "m5.1": 0.0}
        caught = frozenset(m.id for m in members[1:])
        return GroupView("m4.1", members, ("m0", "m4", "m5"), silent, there, caught, 4000.0)

    assert next_change(view(100.0)) is None
    assert [m.name for m in next_change(view(5000.0))] == ["m2", "m4", "m5"]  # the lost one goes first


# --- By name
# -----------------------------------------------------------------------------------------------------


def test_a_disk_that_forgets_what_it_synced_is_found_out_counted_out_and_filled_again() -> None:
    cluster = led(None)
    cluster.cut_links |= {(A, B), (B, A)}  # C's word alone made the next one durable
    assert cluster.write(A)
    settle(cluster)
    leader, forgetful = cluster.nodes[A].group.replica, cluster.nodes[C]
    last, commit = leader.last, leader.commit_index
    cluster.crash(C)
    del forgetful.disk.saved.entries[-1:]
    cluster.planted.keeps_name = True  # the model accuses whoever accuses a disk; this one is guilty
    cluster.restart(C)
    assert forgetful.group.replica.last == last - 1
    for _ in range(4):
        cluster.wait(SETTINGS.heartbeat_ms)
        cluster.tick(A)
        settle(cluster)
    peer = leader.peers[forgetful.member.id]
    assert (leader.durability_losses, peer.durability_losses, peer.match, leader.commit_index) == (
        1,
        1,
        last,
        commit,
    )
    assert forgetful.group.replica.last == last and cluster.acknowledged <= set(forgetful.group.store.records)


def leaders(cluster: object) -> list[int]:
    return [i for i, node in enumerate(cluster.nodes) if node.group is not None and node.group.is_leader()]


def test_a_leader_that_can_send_but_not_hear_gives_way_within_its_election_time() -> None:
    cluster = led(None)
    cluster.cut_links |= {(B, A), (C, A)}
    assert not cluster.write(B)
    for _ in range(11):
        cluster.wait(100)
        cluster.tick(A)
        settle(cluster)
    assert leaders(cluster) == [] and not cluster.write(A)
    elect(cluster, B)
    assert B in leaders(cluster) and cluster.write(B)


def test_one_that_was_paused_leads_no_more_before_it_answers_anybody() -> None:
    cluster = led(None)
    cluster.wait(1100)  # nobody looked at a clock
    assert not cluster.read(A) and leaders(cluster) == []


def test_a_machine_that_comes_back_with_an_empty_disk_has_no_vote_until_it_is_let_in() -> None:
    cluster = led(None)
    old = cluster.nodes[C].member
    cluster.wipe(C)
    new = cluster.nodes[C].member
    assert new.id != old.id
    cluster.crash(A)
    cluster.wait(5000)
    for i in (B, C):
        cluster.tick(i)
        settle(cluster)
    assert leaders(cluster) == []  # one old voter of three is left: it refuses
    cluster.restart(A)
    elect(cluster, A)
    assert cluster.change(
        A, (*cluster.nodes[A].group.replica.members, Member(new.id, "n2", "z2", "", "", False))
    )
    settle(cluster)
    for _ in range(3):
        beat(cluster, A)
    assert cluster.nodes[C].group.store.records == cluster.nodes[A].group.store.records
    assert cluster.nodes[C].group.replica.member(new.id).voter is False


def test_members_are_changed_one_at_a_time() -> None:
    cluster = led(None)
    replica = cluster.nodes[A].group.replica
    now = cluster.now(A)
    with pytest.raises(BusyError):
        replica.change_members(now, replica.members[:1])
    replica.change_members(now, replica.members[:2])
    with pytest.raises(BusyError):
        replica.change_members(now, replica.members[:1])


def test_leadership_is_handed_over_before_a_planned_stop_without_waiting_for_anybodys_patience() -> None:
    cluster = led(None)
    assert cluster.hand_over(A, B)
    assert not cluster.write(A)  # nothing new is taken meanwhile
    settle(cluster)
    beat(cluster, B)
    assert leaders(cluster) == [B]


def test_a_follower_tells_how_old_it_is_by_its_own_clock_alone() -> None:
    cluster = led(None)
    for _ in range(3):
        beat(cluster, A)
    ages = [node.group.replica.age_ms(cluster.now(i)) for i, node in enumerate(cluster.nodes)]
    assert all(0 <= age <= 200 for age in ages)
    cluster.cut_links |= {(A, C)}
    cluster.wait(700)
    assert cluster.nodes[C].group.replica.age_ms(cluster.now(C)) >= 700


def test_a_follower_that_lags_by_more_than_the_log_holds_gets_a_snapshot_in_parts_that_resume() -> None:
    cluster = led(None)
    cluster.cut_links |= {(A, C)}
    for _ in range(12):
        cluster.write(A)
        settle(cluster)
    cluster.compact(A)
    settle(cluster)
    cluster.cut_links.clear()
    cluster.network.clear()
    parts, lost = [], 0
    for _ in range(60):
        cluster.wait(100)
        cluster.tick(A)
        while cluster.network:
            message = cluster.network[0]
            if isinstance(message, Install):
                parts.append(message.offset)
                if len(parts) == 3:
                    lost += 1
                    cluster.lose(0)
                    continue
            cluster.deliver(0)
            for i, node in enumerate(cluster.nodes):
                if node.disk.pending:
                    cluster.sync(i)
    assert lost == 1 and parts.count(0) == 1 and parts.count(parts[2]) == 2  # only the lost one came again
    assert cluster.nodes[C].group.store.records == cluster.nodes[A].group.store.records


def leader(settings: Settings) -> Replica:
    replica = Replica("n0.1", settings, first_state(MEMBERS, b"x"), random.Random(1), 0.0)
    replica.term, replica._real = 2, True
    replica._lead(0.0)
    replica.commit_index = replica._emitted = replica.last
    return replica


def test_a_slow_follower_cannot_fill_the_leaders_memory() -> None:
    settings = Settings(window_bytes=5000, window_messages=4, batch_bytes=1000, proposed_bytes=20000)
    replica = leader(settings)
    replica.peers["n1.1"].probing = False
    with pytest.raises(BusyError):
        for _ in range(1000):
            replica.propose(1.0, b"d" * 500)
    out = replica.take(1.0)
    sent = [m for m in out.messages if isinstance(m, Append) and m.entries and m.dst == "n1.1"]
    assert 0 < len(sent) <= 4 and sum(e.size() for m in sent for e in m.entries) <= 5000 + 1000
    assert sum(e.size() for e in replica.entries) <= 20000 + 600


def test_a_follower_names_the_leader_and_takes_nothing() -> None:
    cluster = led(None)
    with pytest.raises(NotLeaderError) as refused:
        cluster.nodes[B].group.write(cluster.now(B), lambda store, now: None)
    assert refused.value.leader == cluster.nodes[A].member.id


# --- The disk
# ----------------------------------------------------------------------------------------------------


def entry(index: int, term: int = 1, data: bytes = b"data") -> Entry:
    return Entry(index, term, DATA, data)


def loaded(folder: Path, **how: object) -> tuple[Disk, DurableState]:
    disk = Disk(folder, **how)
    return disk, disk.load()


@given(
    st.lists(st.tuples(st.integers(1, 8), st.integers(1, 4), st.booleans()), max_size=25), st.integers(0, 3)
)
def test_what_a_disk_loads_is_what_was_written_however_it_was_cut_into_segments(
    tmp_path_factory: pytest.TempPathFactory, writes: list[tuple[int, int, bool]], small: int
) -> None:
    folder = tmp_path_factory.mktemp("disk")
    disk, saved = loaded(folder, segment_bytes=40 + 60 * small)
    model, term, base, number = {}, 0, 0, 0
    for back, more, compact in writes:
        number, term = number + 1, term + 1
        last = max(model, default=base)
        first = max(last + 1 - back, base + 1)
        model = {i: e for i, e in model.items() if i < first}
        new = tuple(entry(first + i, term) for i in range(more))
        model |= {e.index: e for e in new}
        disk.write([Write(number, (term, "v"), new)])
        if compact:
            base = first
            data = b"state %d" % base
            snapshot = Snapshot(base, model[base].term, MEMBERS, data, zlib.crc32(data))
            model = {i: e for i, e in model.items() if i > base}
            disk.write([Write(number, None, (), snapshot)])
    disk.close()
    again, saved = loaded(folder, segment_bytes=100)
    assert (saved.term, saved.snapshot.index) == (term, base)
    assert saved.entries == [model[i] for i in sorted(model)]
    again.close()


def written(folder: Path) -> Path:
    disk, _ = loaded(folder)
    disk.write([Write(1, (3, "n1.1"), (entry(1), entry(2)))])
    disk.write([Write(2, None, (entry(3, data=b"last"),))])
    disk.close()
    return folder / "log-00000001"


def test_a_torn_last_record_is_cut_off_wherever_it_was_torn(tmp_path: Path) -> None:
    whole = written(tmp_path).read_bytes()
    log = tmp_path / "log-00000001"
    two = whole.index(b"last") - 20
    for end in range(two + 1, len(whole)):
        for tail in (b"", b"\0" * 30):
            log.write_bytes(whole[:end] + tail)
            try:
                disk, saved = loaded(tmp_path)
            except DiskError:
                assert tail  # zeros behind half a record: not known to be torn, so refused
                continue
            assert [e.index for e in saved.entries] in ([1, 2], [1, 2, 3]) and saved.term == 3
            disk.write([Write(3, None, (entry(saved.entries[-1].index + 1),))])
            disk.close()


def test_a_broken_middle_ends_the_start_with_one_line(tmp_path: Path) -> None:
    log = written(tmp_path)
    data = bytearray(log.read_bytes())
    data[data.index(b"data")] ^= 1
    log.write_bytes(bytes(data))
    with pytest.raises(DiskError, match="damaged; give the process an empty folder"):
        Disk(tmp_path).load()


def test_a_later_format_is_refused_with_what_to_do(tmp_path: Path) -> None:
    log = written(tmp_path)
    log.write_bytes(log.read_bytes().replace(b"raft 1", b"raft 2", 1))
    with pytest.raises(DiskError, match="format 2, this program reads 1"):
        Disk(tmp_path).load()


def test_a_full_disk_takes_nothing_half_and_goes_on_when_there_is_room(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk, _ = loaded(tmp_path)
    disk.write([Write(1, (1, ""), (entry(1),))])
    real, room = os.write, [10]

    def write(fd: int, data: bytes) -> int:
        if room[0] <= 0:
            raise OSError(errno.ENOSPC, "no space left")
        room[0] -= 10
        return real(fd, bytes(data[:10]))

    monkeypatch.setattr(os, "write", write)
    writes = [Write(2, (2, "a"), (entry(2),)), Write(3, None, (entry(3),))]
    with pytest.raises(FullError):
        disk.write(writes)
    state = b"state"
    with pytest.raises(FullError):
        disk.write([Write(4, None, (), Snapshot(1, 1, MEMBERS, state, zlib.crc32(state)))])
    assert not list(tmp_path.glob("*.new"))
    monkeypatch.setattr(os, "write", real)
    disk.write(writes)
    disk.close()
    _, saved = loaded(tmp_path)
    assert (saved.term, saved.vote, [e.index for e in saved.entries]) == (2, "a", [1, 2, 3])


def test_after_a_sync_that_failed_nothing_is_promised_any_more(tmp_path: Path) -> None:
    def sync(fd: int) -> None:
        if failing:
            raise OSError(errno.EIO, "input/output error")

    failing: list[bool] = []
    disk, _ = loaded(tmp_path, sync=sync)
    failing.append(True)
    for _ in range(2):
        with pytest.raises(FullError, match="sync"):
            disk.write([Write(1, (1, ""), (entry(1),))])
    failing.clear()
    with pytest.raises(FullError, match="sync"):
        disk.write([Write(1, (1, ""), (entry(1),))])


def test_one_sync_serves_many_writes(tmp_path: Path) -> None:
    disk, _ = loaded(tmp_path)
    before = disk.syncs
    disk.write([Write(i, None, (entry(i),)) for i in range(1, 200)])
    assert disk.syncs == before + 1


def test_messages_survive_the_wire_and_nonsense_is_refused() -> None:
    from yewstage.raft.core import parse

    message = Append("a.1", "b.1", 3, 1, 1, (entry(2),), 1, 7, 5.0, 1.0)
    assert parse(encode(message)) == message
    for bad in (b"", b"\xc0", encode([99, "a", "b", 1]), encode([5, "a"])):
        with pytest.raises(ValueError):
            parse(bad)


def test_every_scene_is_reached_by_the_program_as_it_is() -> None:
    assert all(scene(None).nodes for scene in SCENES.values()) and start(None).nodes


def test_copying_keeps_its_pace_in_any_time_and_holds_nobody_else_up() -> None:
    settings = Settings(batch_bytes=1000)
    pace = CopyRateLimiter(100_000.0)
    members = tuple(Member(name, name, "z", "", "") for name in ("a", "b"))
    saved = first_state(members, b"x" * 40_000)
    replica = Replica("a", settings, saved, random.Random(1), 0.0, pace)
    now = replica.next_at()
    replica.tick(now)
    replica.durable(now, 99)
    replica.handle(now, PreVoteReply("b", "a", 2, True))
    replica.durable(now, 99)
    replica.handle(now, VoteReply("b", "a", 2, True))
    replica.durable(now, 99)
    replica.handle(now, AppendReply("b", "a", 2, True, replica.last, 1, 1))
    replica.change_members(now, (*members, Member("c", "c", "z", "", "", voter=False)))
    replica.handle(now, AppendReply("c", "a", 2, False, 0, replica.last, 1))
    sent: list[tuple[float, int]] = []
    have = writes = 0
    while have < 40_000:
        replica.durable(now, 10_000)
        for message in replica.take(now).messages:
            if isinstance(message, Install) and message.offset == have:
                sent.append((now, len(message.data)))
                have += len(message.data)
                replica.handle(now, InstallReply("c", "a", 2, 1, have, 1))
            elif isinstance(message, Append) and message.dst == "b":
                end = message.prev_index + len(message.entries)
                reply = AppendReply("b", "a", 2, True, end, message.prev_index, message.round, now)
                replica.handle(now, reply)
        index = replica.propose(now, b"more")  # a new write is on its way to the others at once
        told = [m for m in replica.take(now).messages if isinstance(m, Append) and m.dst == "b"]
        writes += any(m.entries for m in told)
        replica.durable(now, 10_000)
        replica.handle(now, AppendReply("b", "a", 2, True, index, index - 1, 1, now))
        assert replica.commit_index == index
        now = max(now + 1, min(replica.next_at(), now + 5))
        replica.tick(now)
    assert writes > 50 and pace.copied >= 40_000
    for begin, _ in sent:
        for end, _ in sent:
            moved = sum(size for at, size in sent if begin <= at <= end)
            assert moved <= 100 * max(end - begin, 0) + settings.batch_bytes or end < begin
