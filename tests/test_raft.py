"""Consensus: the real replica code in a model under virtual time with faults, and its log on disk."""

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
from plumwall.model.explore import search, search_all_orders, shorten
from plumwall.model.places import Decisions
from plumwall.model.planted import PLANTED
from plumwall.model.scenes import SCENES, A, B, C, beat, elect, led, settle, start
from yewstage.holding.member_changes import GroupView, next_change
from yewstage.raft.core import (
    BusyError,
    DurableState,
    NotLeaderError,
    Replica,
    Settings,
    Write,
    initial_state,
)
from yewstage.raft.disk import Disk, DiskError, WriteFailedError
from yewstage.raft.messages import (
    DATA,
    AppendEntries,
    AppendEntriesReply,
    Entry,
    InstallSnapshot,
    InstallSnapshotReply,
    Member,
    PreVoteReply,
    Snapshot,
    VoteReply,
    encode,
)
from yewstage.raft.rate_limiter import CopyRateLimiter

MEMBERS = tuple(Member(f"n{i}.1", f"n{i}", f"z{i}", "", "") for i in range(3))


def test_invariants_hold_for_random_plans_of_message_loss_crashes_wiped_disks_and_member_changes() -> None:
    found = search(range(250), 300)
    assert found.plans == 250 and not found.breach, (found.breach, found.scene, shorten(found))


@pytest.mark.parametrize("scene", ["start", "candidates", "older-entry", "held", "claimed"])
def test_invariants_hold_for_all_event_orders_up_to_a_depth(scene: str) -> None:
    found = search_all_orders(scene, 3)
    assert found.complete and found.depth == 3 and found.states > 100 and not found.breach, found


@pytest.mark.parametrize("name", PLANTED)
def test_planted_bug_is_found(name: str) -> None:
    planted = PLANTED[name]
    found = search(range(4000), 300, planted, (planted.scene,))
    assert found.breach, f"not found in {found.plans} plans"


def test_random_plans_of_machine_loss_and_operator_commands_place_every_copy() -> None:
    found = places.search(range(150), 300)
    assert found.plans == 150 and not found.breach, (found.breach, places.shorten(found))


@pytest.mark.parametrize(
    "mistake", [Decisions(places.remove_before_copied), Decisions(next_table=places.ignore_zones)]
)
def test_planted_placement_bug_is_found(mistake: Decisions) -> None:
    found = places.search(range(100), 300, mistake)
    assert found.breach and places.replay(places.shorten(found, mistake), mistake)[1]


def test_complete_copy_is_kept_while_another_member_may_be_lost() -> None:
    """Guards against removing a complete copy while another member may be lost. m2, which is to leave, has
    been copied to m5 when m0 loses its disk: without m2 only two copies would be left."""

    def view(silent_ms: float) -> GroupView:
        members = tuple(Member(f"{name}.1", name, "", "", "") for name in ("m0", "m2", "m4", "m5"))
        there = (*members[1:], Member("m0.9", "m0", "a", "", ""))
        silent = {"m0.1": silent_ms, "m2.1": 0.0, "m5.1": 0.0}
        caught = frozenset(m.id for m in members[1:])
        return GroupView("m4.1", members, ("m0", "m4", "m5"), silent, there, caught, 4000.0)

    assert next_change(view(100.0)) is None
    # the lost member is removed first
    assert [m.name for m in next_change(view(5000.0))] == ["m2", "m4", "m5"]


# --- Single cases ---------------------------------------------------------------------------------------


def test_disk_that_loses_synced_entries_is_detected_and_refilled() -> None:
    cluster = led(None)
    cluster.cut_links |= {(A, B), (B, A)}  # the next write becomes durable with C's acknowledgement alone
    assert cluster.write(A)
    settle(cluster)
    leader, faulty = cluster.nodes[A].group.replica, cluster.nodes[C]
    last, commit = leader.last_index, leader.commit_index
    cluster.crash(C)
    del faulty.disk.saved.entries[-1:]
    cluster.planted.reuses_id = True  # the model forbids a reported durability loss; here the loss is real
    cluster.restart(C)
    assert faulty.group.replica.last_index == last - 1
    for _ in range(4):
        cluster.wait(SETTINGS.heartbeat_ms)
        cluster.tick(A)
        settle(cluster)
    peer = leader.peers[faulty.member.id]
    assert (leader.durability_losses, peer.durability_losses, peer.match, leader.commit_index) == (
        1,
        1,
        last,
        commit,
    )
    assert faulty.group.replica.last_index == last and cluster.acknowledged <= set(faulty.group.store.records)


def current_leaders(cluster: object) -> list[int]:
    return [i for i, node in enumerate(cluster.nodes) if node.group is not None and node.group.is_leader()]


def test_leader_that_receives_nothing_steps_down_within_the_election_timeout() -> None:
    cluster = led(None)
    cluster.cut_links |= {(B, A), (C, A)}
    assert not cluster.write(B)
    for _ in range(11):
        cluster.wait(100)
        cluster.tick(A)
        settle(cluster)
    assert current_leaders(cluster) == [] and not cluster.write(A)
    elect(cluster, B)
    assert B in current_leaders(cluster) and cluster.write(B)


def test_paused_leader_steps_down_before_it_serves_a_read() -> None:
    cluster = led(None)
    cluster.wait(1100)  # nothing calls tick meanwhile
    assert not cluster.read(A) and current_leaders(cluster) == []


def test_machine_with_a_wiped_disk_has_no_vote_until_it_is_added() -> None:
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
    assert current_leaders(cluster) == []  # one of three old voters is left, and it refuses
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


def test_leadership_transfer_does_not_wait_for_an_election_timeout() -> None:
    cluster = led(None)
    assert cluster.hand_over(A, B)
    assert not cluster.write(A)  # refused during the transfer
    settle(cluster)
    beat(cluster, B)
    assert current_leaders(cluster) == [B]


def test_follower_bounds_its_age_by_its_own_clock() -> None:
    cluster = led(None)
    for _ in range(3):
        beat(cluster, A)
    ages = [node.group.replica.age_ms(cluster.now(i)) for i, node in enumerate(cluster.nodes)]
    assert all(0 <= age <= 200 for age in ages)
    cluster.cut_links |= {(A, C)}
    cluster.wait(700)
    assert cluster.nodes[C].group.replica.age_ms(cluster.now(C)) >= 700


def test_follower_behind_the_log_gets_a_snapshot_in_resumable_parts() -> None:
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
            if isinstance(message, InstallSnapshot):
                parts.append(message.offset)
                if len(parts) == 3:
                    lost += 1
                    cluster.lose(0)
                    continue
            cluster.deliver(0)
            for i, node in enumerate(cluster.nodes):
                if node.disk.pending:
                    cluster.sync(i)
    # only the lost part is sent again
    assert lost == 1 and parts.count(0) == 1 and parts.count(parts[2]) == 2
    assert cluster.nodes[C].group.store.records == cluster.nodes[A].group.store.records


def new_leader(settings: Settings) -> Replica:
    replica = Replica("n0.1", settings, initial_state(MEMBERS, b"x"), random.Random(1), 0.0)
    replica.term, replica._is_real_election = 2, True
    replica._become_leader(0.0)
    replica.commit_index = replica._delivered_index = replica.last_index
    return replica


def test_slow_follower_does_not_exhaust_the_leaders_memory() -> None:
    settings = Settings(window_bytes=5000, window_messages=4, batch_bytes=1000, max_uncommitted_bytes=20000)
    replica = new_leader(settings)
    replica.peers["n1.1"].is_probing = False
    with pytest.raises(BusyError):
        for _ in range(1000):
            replica.propose(1.0, b"d" * 500)
    out = replica.take_output(1.0)
    sent = [m for m in out.messages if isinstance(m, AppendEntries) and m.entries and m.dst == "n1.1"]
    assert 0 < len(sent) <= 4 and sum(e.size() for m in sent for e in m.entries) <= 5000 + 1000
    assert sum(e.size() for e in replica.entries) <= 20000 + 600


def test_follower_refuses_writes_and_names_the_leader() -> None:
    cluster = led(None)
    with pytest.raises(NotLeaderError) as refused:
        cluster.nodes[B].group.write(cluster.now(B), lambda store, now: None)
    assert refused.value.leader == cluster.nodes[A].member.id


# --- The disk -------------------------------------------------------------------------------------------


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


def test_torn_last_record_is_cut_off_at_any_byte(tmp_path: Path) -> None:
    whole = written(tmp_path).read_bytes()
    log = tmp_path / "log-00000001"
    two = whole.index(b"last") - 20
    for end in range(two + 1, len(whole)):
        for tail in (b"", b"\0" * 30):
            log.write_bytes(whole[:end] + tail)
            try:
                disk, saved = loaded(tmp_path)
            except DiskError:
                assert tail  # zeros after half a record may also be damage, so they are refused
                continue
            assert [e.index for e in saved.entries] in ([1, 2], [1, 2, 3]) and saved.term == 3
            disk.write([Write(3, None, (entry(saved.entries[-1].index + 1),))])
            disk.close()


def test_damaged_record_is_refused_with_advice(tmp_path: Path) -> None:
    log = written(tmp_path)
    data = bytearray(log.read_bytes())
    data[data.index(b"data")] ^= 1
    log.write_bytes(bytes(data))
    with pytest.raises(DiskError, match="damaged; give the process an empty folder"):
        Disk(tmp_path).load()


def test_later_format_version_is_refused(tmp_path: Path) -> None:
    log = written(tmp_path)
    log.write_bytes(log.read_bytes().replace(b"raft 1", b"raft 2", 1))
    with pytest.raises(DiskError, match="format 2, this program reads 1"):
        Disk(tmp_path).load()


def test_full_disk_leaves_no_partial_write_and_recovers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk, _ = loaded(tmp_path)
    disk.write([Write(1, (1, ""), (entry(1),))])
    real_write, free_bytes = os.write, [10]

    def write(fd: int, data: bytes) -> int:
        if free_bytes[0] <= 0:
            raise OSError(errno.ENOSPC, "no space left")
        free_bytes[0] -= 10
        return real_write(fd, bytes(data[:10]))

    monkeypatch.setattr(os, "write", write)
    writes = [Write(2, (2, "a"), (entry(2),)), Write(3, None, (entry(3),))]
    with pytest.raises(WriteFailedError):
        disk.write(writes)
    state = b"state"
    with pytest.raises(WriteFailedError):
        disk.write([Write(4, None, (), Snapshot(1, 1, MEMBERS, state, zlib.crc32(state)))])
    assert not list(tmp_path.glob("*.new"))
    monkeypatch.setattr(os, "write", real_write)
    disk.write(writes)
    disk.close()
    _, saved = loaded(tmp_path)
    assert (saved.term, saved.vote, [e.index for e in saved.entries]) == (2, "a", [1, 2, 3])


def test_nothing_is_written_after_a_failed_sync(tmp_path: Path) -> None:
    def sync(fd: int) -> None:
        if failing:
            raise OSError(errno.EIO, "input/output error")

    failing: list[bool] = []
    disk, _ = loaded(tmp_path, sync=sync)
    failing.append(True)
    for _ in range(2):
        with pytest.raises(WriteFailedError, match="sync"):
            disk.write([Write(1, (1, ""), (entry(1),))])
    failing.clear()
    with pytest.raises(WriteFailedError, match="sync"):
        disk.write([Write(1, (1, ""), (entry(1),))])


def test_one_sync_covers_many_writes(tmp_path: Path) -> None:
    disk, _ = loaded(tmp_path)
    before = disk.syncs
    disk.write([Write(i, None, (entry(i),)) for i in range(1, 200)])
    assert disk.syncs == before + 1


def test_messages_round_trip_and_malformed_ones_are_refused() -> None:
    from yewstage.raft.core import parse_message

    message = AppendEntries("a.1", "b.1", 3, 1, 1, (entry(2),), 1, 7, 5.0, 1.0)
    assert parse_message(encode(message)) == message
    for bad in (b"", b"\xc0", encode([99, "a", "b", 1]), encode([5, "a"])):
        with pytest.raises(ValueError):
            parse_message(bad)


def test_every_scene_is_reachable_without_planted_bugs() -> None:
    assert all(scene(None).nodes for scene in SCENES.values()) and start(None).nodes


def test_copying_obeys_its_rate_limit_without_delaying_replication() -> None:
    settings = Settings(batch_bytes=1000)
    copy_limiter = CopyRateLimiter(100_000.0)
    members = tuple(Member(name, name, "z", "", "") for name in ("a", "b"))
    saved = initial_state(members, b"x" * 40_000)
    replica = Replica("a", settings, saved, random.Random(1), 0.0, copy_limiter)
    now = replica.next_tick_at()
    replica.tick(now)
    replica.on_durable(now, 99)
    replica.handle(now, PreVoteReply("b", "a", 2, True))
    replica.on_durable(now, 99)
    replica.handle(now, VoteReply("b", "a", 2, True))
    replica.on_durable(now, 99)
    replica.handle(now, AppendEntriesReply("b", "a", 2, True, replica.last_index, 1, 1))
    replica.change_members(now, (*members, Member("c", "c", "z", "", "", voter=False)))
    replica.handle(now, AppendEntriesReply("c", "a", 2, False, 0, replica.last_index, 1))
    sent: list[tuple[float, int]] = []
    received = writes = 0
    while received < 40_000:
        replica.on_durable(now, 10_000)
        for message in replica.take_output(now).messages:
            if isinstance(message, InstallSnapshot) and message.offset == received:
                sent.append((now, len(message.data)))
                received += len(message.data)
                replica.handle(now, InstallSnapshotReply("c", "a", 2, 1, received, 1))
            elif isinstance(message, AppendEntries) and message.dst == "b":
                end = message.prev_index + len(message.entries)
                reply = AppendEntriesReply("b", "a", 2, True, end, message.prev_index, message.round, now)
                replica.handle(now, reply)
        index = replica.propose(now, b"more")  # a new write is replicated at once
        sent_to_b = [
            m for m in replica.take_output(now).messages if isinstance(m, AppendEntries) and m.dst == "b"
        ]
        writes += any(m.entries for m in sent_to_b)
        replica.on_durable(now, 10_000)
        replica.handle(now, AppendEntriesReply("b", "a", 2, True, index, index - 1, 1, now))
        assert replica.commit_index == index
        now = max(now + 1, min(replica.next_tick_at(), now + 5))
        replica.tick(now)
    assert writes > 50 and copy_limiter.copied_bytes >= 40_000
    for begin, _ in sent:
        for end, _ in sent:
            moved = sum(size for at, size in sent if begin <= at <= end)
            assert moved <= 100 * max(end - begin, 0) + settings.batch_bytes or end < begin
