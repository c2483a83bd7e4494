"""The list service's store and its log: what is written stays, in order, and nothing is held twice."""

from __future__ import annotations

import errno
import json
import os
import random
from dataclasses import dataclass
from pathlib import Path

import pytest

from yewstage.registry.log import FIRST, FullError, Log, LogError
from yewstage.registry.store import DRAINING, READY, Entry, Record, RefusedError, Rules, Store

TTL = 1000.0


def record(name: str = "s1", **changes: object) -> Record:
    return Record(**{"id": name, "address": "h:1", "ttl_ms": TTL, **changes})


class Driver:
    """A store and its time; entries go through JSON, as through the log."""

    def __init__(self, **rules: object) -> None:
        self.rules, self.now = Rules(**rules), 5000.0
        self.store = Store(self.rules, 100)
        self.entries: list[Entry] = []

    def do(self, entry: Entry | None) -> bool:
        if entry is None:
            return False
        entry = json.loads(json.dumps(entry))
        self.entries.append(entry)
        self.store.apply(entry, self.now)
        return True

    def register(self, *names: str, **changes: object) -> None:
        for name in names:
            if not self.do(self.store.plan_register(record(name, **changes))):
                self.store.renew(name, None, self.now)

    def acquire(self, holder: str, name: str = "duty") -> int:
        if not self.do(self.store.plan_acquire(name, holder, TTL, self.now)):
            self.store.renew_lease(name, holder, self.store.leases[name].token, self.now)
        return self.store.leases[name].token

    def expire(self) -> list[str]:
        return [
            name for name in self.store.overdue(self.now) if self.do(self.store.plan_expire(name, self.now))
        ]

    def restart(self, now: float) -> None:
        """The same files, on a clock that began anew."""
        self.now = now
        state = json.loads(json.dumps(self.store.snapshot()))
        self.store = Store.restored(self.rules, state, self.now)


def refused(status: int, call: object, *args: object) -> str:
    with pytest.raises(RefusedError) as caught:
        call(*args)
    assert caught.value.status == status
    return caught.value.field


# --- Servers ----------------------------------------------------------------------------------------------


def test_a_repeated_registration_is_harmless_and_a_new_one_is_a_new_life() -> None:
    d = Driver()
    d.register("s1")
    first = d.store.records["s1"]
    d.register("s1")
    assert d.store.records["s1"] == first and d.store.revision == 101
    d.register("s1", started_at_ms=7.0)
    assert d.store.records["s1"].registered == 102
    assert refused(409, d.store.renew, "s1", first.registered, d.now) == "registered"
    assert refused(409, d.store.plan_register, record("s1", started_at_ms=6.0)) == "startedAtMs"


def test_a_late_registration_does_not_undo_a_drain_but_a_restart_does() -> None:
    d = Driver()
    d.register("s1")
    d.do(d.store.plan_drain("s1", True))
    d.register("s1")  # its answer was lost, it says so again
    d.register("s1", weight=2.0)
    assert d.store.records["s1"].lifecycle() == DRAINING
    d.register("s1", weight=2.0, started_at_ms=9.0)
    assert d.store.records["s1"].lifecycle() == READY


def test_two_writers_that_race_are_told_apart_by_the_records_revision() -> None:
    d = Driver()
    d.register("s1")
    seen = d.store.records["s1"].revision
    d.do(d.store.plan_drain("s1", True, seen))
    assert refused(409, d.store.plan_deregister, "s1", seen) == "expect"
    assert refused(409, d.store.plan_register, record("s1", weight=3.0), 0) == "expect"
    d.do(d.store.plan_deregister("s1", seen + 1))
    assert d.store.plan_deregister("s1") is None and not d.store.records
    assert refused(404, d.store.plan_drain, "s1", True) == "id"


def test_a_renewal_that_crosses_an_expiry_is_told_to_register_anew() -> None:
    d = Driver()
    d.register(*"abcde")
    registered = d.store.records["a"].registered
    d.now += TTL / 2
    for name in "bcde":
        d.store.renew(name, None, d.now)
    d.now += TTL / 2
    assert d.store.overdue(d.now) == ["a"]  # seen to be late; its renewal arrives before it is let go
    d.store.renew("a", registered, d.now)
    assert d.store.plan_expire("a", d.now) is None
    d.now += TTL
    for name in "bcde":
        d.store.renew(name, None, d.now)
    assert d.expire() == ["a"]
    assert refused(404, d.store.renew, "a", registered, d.now) == "id"


def test_when_most_servers_fall_silent_at_once_the_list_is_kept() -> None:
    d = Driver(most_gone=0.5)
    d.register(*"abcdef")
    d.now += TTL
    assert d.expire() == [] and d.store.held_back == 6
    for name in "abcd":  # most are heard again: the others may go
        d.store.renew(name, None, d.now)
    assert sorted(d.expire()) == ["e", "f"] and d.store.held_back == 0


def test_servers_that_fall_silent_one_by_one_count_together() -> None:
    d = Driver(most_gone=0.5)
    for name in "abcdef":
        d.register(name)
        d.now += TTL / 20
    gone = []
    for _ in range(200):
        d.now += TTL / 20
        gone += d.expire()
    assert gone == ["a", "b", "c"] and d.store.held_back == 3  # and never the rest


def test_the_last_server_is_kept_until_it_says_that_it_goes() -> None:
    d = Driver()
    d.register("a")
    d.now += 50 * TTL
    assert d.expire() == [] and d.do(d.store.plan_deregister("a")) and not d.store.records


def test_verdicts_take_out_no_more_than_a_part() -> None:
    d = Driver(most_unwell=0.5)
    d.register(*"abcd")
    d.do(d.store.plan_verdict("a", False))
    d.do(d.store.plan_verdict("b", False))
    assert refused(409, d.store.plan_verdict, "c", False) == "well"
    assert d.store.plan_verdict("a", False) is None
    assert [d.store.records[name].lifecycle() for name in "abcd"] == [DRAINING, DRAINING, READY, READY]
    d.register("a", started_at_ms=5.0)  # another life, of which nothing is known yet
    assert d.store.records["a"].lifecycle() == READY


def test_a_revision_from_another_life_or_before_the_history_gets_no_gap() -> None:
    d = Driver(history=3)
    d.register(*"abcde")
    assert d.store.changes(101) is None and d.store.changes(106) is None and d.store.changes(0) is None
    assert [name for name, _ in d.store.changes(102)] == ["c", "d", "e"]
    d.restart(0.0)
    assert d.store.changes(104) is None and d.store.changes(105) == []


# --- Leases -----------------------------------------------------------------------------------------------


def test_a_lease_has_one_holder_and_its_token_rises_with_every_grant() -> None:
    d = Driver(drift=0.1)
    first = d.acquire("x")
    assert d.acquire("x") == first  # its answer was lost
    assert refused(409, d.store.plan_acquire, "duty", "y", TTL, d.now) == "holder"
    d.now += 1.05 * TTL  # over by its own word, but its clock may be slow
    assert refused(409, d.store.plan_acquire, "duty", "y", TTL, d.now) == "holder"
    d.now += 0.05 * TTL
    second = d.acquire("y")
    assert second > first and refused(409, d.store.renew_lease, "duty", "x", first, d.now) == "token"
    assert refused(409, d.store.check_token, "duty", first) == "token"
    d.store.check_token("duty", second)


def test_a_release_hands_over_at_once_and_a_late_one_takes_nothing() -> None:
    d = Driver()
    first = d.acquire("x")
    d.do(d.store.plan_release("duty", "x", first))
    second = d.acquire("y")
    assert second > first and d.store.plan_release("duty", "x", first) is None
    assert d.store.holder("duty", d.now).holder == "y"


def test_after_a_restart_nothing_is_granted_that_an_earlier_life_may_still_have_out() -> None:
    d = Driver()
    first = d.acquire("x")
    d.now += 0.9 * TTL
    d.store.renew_lease("duty", "x", first, d.now)  # of which the log tells nothing
    d.restart(now=3.0)
    d.now += 0.9 * TTL
    assert refused(409, d.store.plan_acquire, "duty", "y", TTL, d.now) == "holder"
    d.store.renew_lease("duty", "x", first, d.now)
    d.now += 1.01 * TTL
    assert d.acquire("y") > first


def test_tokens_rise_over_a_restart_with_nobody_holding() -> None:
    d = Driver()
    first = d.acquire("x")
    d.do(d.store.plan_release("duty", "x", first))
    d.restart(0.0)
    assert d.acquire("y") > first


# --- Random lives -----------------------------------------------------------------------------------------


@dataclass
class Holder:
    """One that believes to hold the duty until a time of its own clock, which runs fast or slow."""

    name: str
    rate: float  # its clock against true time
    until: float = -1.0  # true time at which it stops believing
    token: int = 0


DRIFT = 0.05


@pytest.mark.parametrize("seed", range(25))
def test_random_calls_restarts_and_clock_steps_keep_the_promises(seed: int) -> None:
    r = random.Random(seed)
    d = Driver(history=12, drift=DRIFT, most_gone=0.6)
    names, true = [f"s{n}" for n in range(6)], 0.0
    holders = [Holder(f"h{n}", r.uniform(1 / (1 + DRIFT), 1.0)) for n in range(3)]
    watcher: tuple[int, dict[str, Record]] = (0, {})
    last_revision, last_token = d.store.revision, 0
    for _ in range(400):
        step = r.choice((0.0, 1.0, 50.0, 300.0, 1200.0))
        true, d.now = true + step, d.now + step
        name, what = r.choice(names), r.randrange(12)
        try:
            if what <= 2:
                d.register(name, started_at_ms=float(r.randrange(3)), weight=float(r.randrange(1, 3)))
            elif what == 3:
                d.store.renew(name, r.choice((None, d.store.revision)), d.now)
            elif what == 4:
                d.do(d.store.plan_drain(name, r.random() < 0.7, r.choice((None, d.store.revision))))
            elif what == 5:
                d.do(d.store.plan_deregister(name))
            elif what == 6:
                d.do(d.store.plan_verdict(name, r.random() < 0.5))
            elif what == 7:
                d.restart(r.uniform(0, 1e6))  # any clock: it began with its machine
            elif what <= 10:
                holder = r.choice(holders)
                sent, late = true, r.choice((0.0, 5.0, 200.0))
                true, d.now = true + late, d.now + late  # on its way
                token = d.acquire(holder.name)
                if r.random() < 0.8:  # else the answer is lost
                    holder.token = token
                    # Its clock shows (1 - drift) x ttl when true time shows that over its rate.
                    holder.until = sent + TTL * (1 - DRIFT) / holder.rate
            else:
                holder = r.choice(holders)
                holder.until = -1.0  # it stops before it says so
                d.do(d.store.plan_release("duty", holder.name, holder.token))
        except RefusedError:
            pass
        d.expire()
        believers = [h for h in holders if true < h.until]
        assert len(believers) <= 1
        for h in believers:
            d.store.check_token("duty", h.token)  # and it would be believed
        assert d.store.revision >= last_revision and d.store.token >= last_token
        last_revision, last_token = d.store.revision, d.store.token
        if r.random() < 0.3:
            after, known = watcher
            changes = d.store.changes(after)
            if changes is None:
                known = dict(d.store.records)
            for changed, now in changes or ():
                known.pop(changed, None)
                if now is not None:
                    known[changed] = now
            assert known == d.store.records
            watcher = (d.store.revision, known)


def test_a_store_that_applies_its_entries_again_is_the_same_store() -> None:
    d = Driver()
    d.register(*"abc")
    d.acquire("x")
    d.do(d.store.plan_drain("b", True))
    d.do(d.store.plan_deregister("c"))
    again = Store(d.rules, 100)
    for entry in d.entries:
        again.apply(entry, 0.0)
    assert again.snapshot() == d.store.snapshot()


# --- The log ----------------------------------------------------------------------------------------------


def entries(n: int) -> list[Entry]:
    return [{"op": "put", "revision": i, "text": "é" * i} for i in range(1, n + 1)]


def written(folder: Path, n: int = 3) -> bytes:
    files = Log(folder)
    files.load()
    for entry in entries(n):
        files.append(entry)
    files.close()
    return (folder / "log").read_bytes()


def read(folder: Path) -> tuple[Entry | None, list[Entry]]:
    files = Log(folder)
    try:
        return files.load()
    finally:
        files.close()


def test_what_was_appended_is_read_again(tmp_path: Path) -> None:
    written(tmp_path)
    assert read(tmp_path) == (None, entries(3))


def test_a_log_cut_at_every_byte_of_its_last_entry_keeps_all_before_it(tmp_path: Path) -> None:
    whole = written(tmp_path)
    start = whole[:-1].rindex(b"\n") + 1
    for end in range(start, len(whole)):
        (tmp_path / "log").write_bytes(whole[:end])
        files = Log(tmp_path)
        assert files.load() == (None, entries(2)) and files.cut == end - start
        files.append(entries(3)[2])  # and it can go on
        files.close()
        assert (tmp_path / "log").read_bytes() == whole


def test_a_last_entry_of_which_only_the_end_was_written_is_cut_off(tmp_path: Path) -> None:
    whole = written(tmp_path)
    start = whole[:-1].rindex(b"\n") + 1
    (tmp_path / "log").write_bytes(whole[:start] + b"\0" * 20 + whole[start + 20 :])
    assert read(tmp_path) == (None, entries(2))


def test_damage_further_up_stops_the_start_with_one_plain_line(tmp_path: Path) -> None:
    whole = written(tmp_path)
    ends = [at for at, byte in enumerate(whole[:-1]) if byte == 10]
    for at in sorted({*range(len(FIRST), ends[-1], 5), *ends[1:]}):
        (tmp_path / "log").write_bytes(whole[:at] + bytes([whole[at] ^ 0x10]) + whole[at + 1 :])
        with pytest.raises(LogError) as caught:
            read(tmp_path)
        assert "log" in str(caught.value) and "\n" not in str(caught.value)


@pytest.mark.parametrize("damage", ["no head", "line missing", "log missing", "snapshot damaged"])
def test_files_that_do_not_fit_together_stop_the_start(tmp_path: Path, damage: str) -> None:
    whole = written(tmp_path)
    files = Log(tmp_path)
    files.load()
    if damage == "no head":
        (tmp_path / "log").write_bytes(whole[1:])
    elif damage == "line missing":
        lines = whole.splitlines(keepends=True)
        (tmp_path / "log").write_bytes(b"".join(lines[:2] + lines[3:]))
    else:
        files.compact({"revision": 3})
        victim = tmp_path / damage.split()[0]
        victim.unlink() if "missing" in damage else victim.write_bytes(victim.read_bytes()[:-4])
    files.close()
    with pytest.raises(LogError):
        read(tmp_path)


def test_a_snapshot_takes_the_place_of_the_entries_before_it(tmp_path: Path) -> None:
    files = Log(tmp_path)
    files.load()
    for entry in entries(3):
        files.append(entry)
    files.compact({"revision": 3})
    files.append({"op": "put", "revision": 4})
    files.close()
    assert read(tmp_path) == ({"revision": 3}, [{"op": "put", "revision": 4}])


def test_a_crash_between_snapshot_and_new_log_applies_nothing_twice(tmp_path: Path) -> None:
    whole = written(tmp_path)
    files = Log(tmp_path)
    files.load()
    files.compact({"revision": 3})
    files.close()
    (tmp_path / "log").write_bytes(whole)
    assert read(tmp_path) == ({"revision": 3}, [])


class FullFile:
    """A file on a disk that takes only so many more bytes."""

    def __init__(self, file: object, room: int) -> None:
        self._file, self.room = file, room

    def __getattr__(self, name: str) -> object:
        return getattr(self._file, name)

    def write(self, data: memoryview) -> int:
        if not self.room:
            raise OSError(errno.ENOSPC, "No space left on device")
        part = data[: self.room]
        self.room -= len(part)
        return self._file.write(part)


def test_a_full_disk_refuses_the_write_and_leaves_the_log_whole(tmp_path: Path) -> None:
    files = Log(tmp_path)
    files.load()
    files.append(entries(1)[0])
    files._file = full = FullFile(files._file, 10)
    with pytest.raises(FullError, match="No space"):
        files.append(entries(2)[1])
    full.room = 10**6  # somebody made room
    files.append(entries(2)[1])
    files.close()
    assert read(tmp_path) == (None, entries(2))


def test_after_a_sync_that_failed_nothing_more_is_acknowledged(tmp_path: Path) -> None:
    fails = []

    def sync(fd: int) -> None:
        if fails:
            raise OSError(errno.EIO, "Input/output error")
        os.fsync(fd)

    files = Log(tmp_path, sync)
    files.load()
    fails.append(True)
    for _ in range(2):
        with pytest.raises(FullError, match="sync"):
            files.append(entries(1)[0])
    fails.clear()
    with pytest.raises(FullError):
        files.append(entries(1)[0])
    files.close()


def test_two_processes_do_not_share_a_folder(tmp_path: Path) -> None:
    files = Log(tmp_path)
    with pytest.raises(LogError, match="another process"):
        Log(tmp_path)
    files.close()
    Log(tmp_path).close()
