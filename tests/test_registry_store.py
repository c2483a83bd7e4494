"""The list service's store and its log: durable entries in order, and at most one holder of a lease."""

from __future__ import annotations

import errno
import json
import os
import random
from dataclasses import dataclass
from pathlib import Path

import pytest

from yewstage.registry.log import FILE_HEADER, Log, LogError, WriteFailedError
from yewstage.registry.store import DRAINING, READY, Entry, Record, RefusedError, Rules, Store

TTL = 1000.0


def record(name: str = "s1", **changes: object) -> Record:
    return Record(**{"id": name, "address": "h:1", "ttl_ms": TTL, **changes})


class Driver:
    """A store and its clock. Entries pass through JSON, as they do in the log."""

    def __init__(self, **rules: object) -> None:
        self.rules, self.now = Rules(**rules), 5000.0
        self.store = Store(self.rules, 100)
        self.entries: list[Entry] = []

    def apply(self, entry: Entry | None) -> bool:
        if entry is None:
            return False
        entry = json.loads(json.dumps(entry))
        self.entries.append(entry)
        self.store.apply(entry, self.now)
        return True

    def register(self, *names: str, **changes: object) -> None:
        for name in names:
            if not self.apply(self.store.plan_register(record(name, **changes))):
                self.store.renew(name, None, self.now)

    def acquire(self, holder: str, name: str = "duty") -> int:
        if not self.apply(self.store.plan_acquire(name, holder, TTL, self.now)):
            self.store.renew_lease(name, holder, self.store.leases[name].token, self.now)
        return self.store.leases[name].token

    def expire(self) -> list[str]:
        return [
            name
            for name in self.store.overdue(self.now)
            if self.apply(self.store.plan_expire(name, self.now))
        ]

    def restart(self, now: float) -> None:
        """Restore the store from a snapshot, on a clock that started anew."""
        self.now = now
        state = json.loads(json.dumps(self.store.snapshot()))
        self.store = Store.restored(self.rules, state, self.now)


def refused_field(status: int, call: object, *args: object) -> str:
    with pytest.raises(RefusedError) as caught:
        call(*args)
    assert caught.value.status == status
    return caught.value.field


# --- Servers ----------------------------------------------------------------------------------------------


def test_repeated_registration_changes_nothing_and_a_later_start_is_a_new_incarnation() -> None:
    driver = Driver()
    driver.register("s1")
    first = driver.store.records["s1"]
    driver.register("s1")
    assert driver.store.records["s1"] == first and driver.store.revision == 101
    driver.register("s1", started_at_ms=7.0)
    assert driver.store.records["s1"].registered == 102
    assert refused_field(409, driver.store.renew, "s1", first.registered, driver.now) == "registered"
    assert refused_field(409, driver.store.plan_register, record("s1", started_at_ms=6.0)) == "startedAtMs"


def test_registering_again_keeps_a_drain_but_a_restart_ends_it() -> None:
    driver = Driver()
    driver.register("s1")
    driver.apply(driver.store.plan_drain("s1", True))
    driver.register("s1")  # repeated, for example because the answer was lost
    driver.register("s1", weight=2.0)
    assert driver.store.records["s1"].lifecycle() == DRAINING
    driver.register("s1", weight=2.0, started_at_ms=9.0)
    assert driver.store.records["s1"].lifecycle() == READY


def test_expected_revision_detects_concurrent_writers() -> None:
    driver = Driver()
    driver.register("s1")
    seen = driver.store.records["s1"].revision
    driver.apply(driver.store.plan_drain("s1", True, seen))
    assert refused_field(409, driver.store.plan_deregister, "s1", seen) == "expect"
    assert refused_field(409, driver.store.plan_register, record("s1", weight=3.0), 0) == "expect"
    driver.apply(driver.store.plan_deregister("s1", seen + 1))
    assert driver.store.plan_deregister("s1") is None and not driver.store.records
    assert refused_field(404, driver.store.plan_drain, "s1", True) == "id"


def test_renewal_before_expiry_keeps_a_server_and_one_after_it_is_refused() -> None:
    driver = Driver()
    driver.register(*"abcde")
    registered = driver.store.records["a"].registered
    driver.now += TTL / 2
    for name in "bcde":
        driver.store.renew(name, None, driver.now)
    driver.now += TTL / 2
    # Overdue, but it renews before it is expired.
    assert driver.store.overdue(driver.now) == ["a"]
    driver.store.renew("a", registered, driver.now)
    assert driver.store.plan_expire("a", driver.now) is None
    driver.now += TTL
    for name in "bcde":
        driver.store.renew(name, None, driver.now)
    assert driver.expire() == ["a"]
    assert refused_field(404, driver.store.renew, "a", registered, driver.now) == "id"


def test_no_server_expires_when_most_are_silent_at_once() -> None:
    driver = Driver(max_silent_share=0.5)
    driver.register(*"abcdef")
    driver.now += TTL
    assert driver.expire() == [] and driver.store.withheld_expiries == 6
    for name in "abcd":  # four of six servers are heard again: the others may expire
        driver.store.renew(name, None, driver.now)
    assert sorted(driver.expire()) == ["e", "f"] and driver.store.withheld_expiries == 0


def test_recent_expiries_count_as_silent() -> None:
    driver = Driver(max_silent_share=0.5)
    for name in "abcdef":
        driver.register(name)
        driver.now += TTL / 20
    gone = []
    for _ in range(200):
        driver.now += TTL / 20
        gone += driver.expire()
    assert gone == ["a", "b", "c"] and driver.store.withheld_expiries == 3  # the rest never expire


def test_last_server_is_kept_until_it_deregisters() -> None:
    driver = Driver()
    driver.register("a")
    driver.now += 50 * TTL
    assert (
        driver.expire() == [] and driver.apply(driver.store.plan_deregister("a")) and not driver.store.records
    )


def test_verdicts_take_out_a_limited_share() -> None:
    driver = Driver(max_unhealthy_share=0.5)
    driver.register(*"abcd")
    driver.apply(driver.store.plan_verdict("a", False))
    driver.apply(driver.store.plan_verdict("b", False))
    assert refused_field(409, driver.store.plan_verdict, "c", False) == "well"
    assert driver.store.plan_verdict("a", False) is None
    assert [driver.store.records[name].lifecycle() for name in "abcd"] == [DRAINING, DRAINING, READY, READY]
    driver.register("a", started_at_ms=5.0)  # a new incarnation, whose health is not known yet
    assert driver.store.records["a"].lifecycle() == READY


def test_unknown_or_compacted_revision_gets_no_partial_changes() -> None:
    driver = Driver(history=3)
    driver.register(*"abcde")
    assert (
        driver.store.changes(101) is None
        and driver.store.changes(106) is None
        and driver.store.changes(0) is None
    )
    assert [name for name, _ in driver.store.changes(102)] == ["c", "d", "e"]
    driver.restart(0.0)
    assert driver.store.changes(104) is None and driver.store.changes(105) == []


# --- Leases -----------------------------------------------------------------------------------------------


def test_lease_has_one_holder_and_a_rising_token() -> None:
    driver = Driver(drift=0.1)
    first = driver.acquire("x")
    assert driver.acquire("x") == first  # repeated, for example because the answer was lost
    assert refused_field(409, driver.store.plan_acquire, "duty", "y", TTL, driver.now) == "holder"
    driver.now += 1.05 * TTL  # over for a holder with a correct clock, but its clock may be slow
    assert refused_field(409, driver.store.plan_acquire, "duty", "y", TTL, driver.now) == "holder"
    driver.now += 0.05 * TTL
    second = driver.acquire("y")
    assert (
        second > first
        and refused_field(409, driver.store.renew_lease, "duty", "x", first, driver.now) == "token"
    )
    assert refused_field(409, driver.store.check_token, "duty", first) == "token"
    driver.store.check_token("duty", second)


def test_release_frees_a_lease_at_once_and_a_late_one_has_no_effect() -> None:
    driver = Driver()
    first = driver.acquire("x")
    driver.apply(driver.store.plan_release("duty", "x", first))
    second = driver.acquire("y")
    assert second > first and driver.store.plan_release("duty", "x", first) is None
    assert driver.store.active_lease("duty", driver.now).holder == "y"


def test_lease_renewed_before_a_restart_is_not_granted_to_another_after_it() -> None:
    driver = Driver()
    first = driver.acquire("x")
    driver.now += 0.9 * TTL
    driver.store.renew_lease("duty", "x", first, driver.now)  # not in the log
    driver.restart(now=3.0)
    driver.now += 0.9 * TTL
    assert refused_field(409, driver.store.plan_acquire, "duty", "y", TTL, driver.now) == "holder"
    driver.store.renew_lease("duty", "x", first, driver.now)
    driver.now += 1.01 * TTL
    assert driver.acquire("y") > first


def test_tokens_rise_across_a_restart_while_the_lease_is_free() -> None:
    driver = Driver()
    first = driver.acquire("x")
    driver.apply(driver.store.plan_release("duty", "x", first))
    driver.restart(0.0)
    assert driver.acquire("y") > first


# --- Random lives -----------------------------------------------------------------------------------------


@dataclass
class Holder:
    """A process that believes it holds the lease until a time on its own clock, which runs fast or slow."""

    name: str
    rate: float  # speed of its clock relative to true time
    believes_until: float = -1.0  # true time until which it believes so
    token: int = 0


DRIFT = 0.05


@pytest.mark.parametrize("seed", range(25))
def test_invariants_hold_for_random_calls_restarts_and_clock_steps(seed: int) -> None:
    rng = random.Random(seed)
    driver = Driver(history=12, drift=DRIFT, max_silent_share=0.6)
    names, true_ms = [f"s{n}" for n in range(6)], 0.0
    holders = [Holder(f"h{n}", rng.uniform(1 / (1 + DRIFT), 1.0)) for n in range(3)]
    watcher: tuple[int, dict[str, Record]] = (0, {})
    last_revision, last_token = driver.store.revision, 0
    for _ in range(400):
        step = rng.choice((0.0, 1.0, 50.0, 300.0, 1200.0))
        true_ms, driver.now = true_ms + step, driver.now + step
        name, action = rng.choice(names), rng.randrange(12)
        try:
            if action <= 2:
                driver.register(
                    name, started_at_ms=float(rng.randrange(3)), weight=float(rng.randrange(1, 3))
                )
            elif action == 3:
                driver.store.renew(name, rng.choice((None, driver.store.revision)), driver.now)
            elif action == 4:
                driver.apply(
                    driver.store.plan_drain(
                        name, rng.random() < 0.7, rng.choice((None, driver.store.revision))
                    )
                )
            elif action == 5:
                driver.apply(driver.store.plan_deregister(name))
            elif action == 6:
                driver.apply(driver.store.plan_verdict(name, rng.random() < 0.5))
            elif action == 7:
                driver.restart(rng.uniform(0, 1e6))  # the new clock may start anywhere
            elif action <= 10:
                holder = rng.choice(holders)
                sent, delay_ms = true_ms, rng.choice((0.0, 5.0, 200.0))
                # time until the service receives the call
                true_ms, driver.now = true_ms + delay_ms, driver.now + delay_ms
                token = driver.acquire(holder.name)
                if rng.random() < 0.8:  # otherwise the answer is lost
                    holder.token = token
                    # Its clock reaches (1 - drift) x TTL after that time divided by its rate.
                    holder.believes_until = sent + TTL * (1 - DRIFT) / holder.rate
            else:
                holder = rng.choice(holders)
                holder.believes_until = -1.0  # it stops before it releases the lease
                driver.apply(driver.store.plan_release("duty", holder.name, holder.token))
        except RefusedError:
            pass
        driver.expire()
        believers = [h for h in holders if true_ms < h.believes_until]
        assert len(believers) <= 1
        for h in believers:
            driver.store.check_token("duty", h.token)  # its writes would be accepted
        assert driver.store.revision >= last_revision and driver.store.token >= last_token
        last_revision, last_token = driver.store.revision, driver.store.token
        if rng.random() < 0.3:
            after, known = watcher
            changes = driver.store.changes(after)
            if changes is None:
                known = dict(driver.store.records)
            for changed, now in changes or ():
                known.pop(changed, None)
                if now is not None:
                    known[changed] = now
            assert known == driver.store.records
            watcher = (driver.store.revision, known)


def test_applying_the_entries_again_gives_the_same_state() -> None:
    driver = Driver()
    driver.register(*"abc")
    driver.acquire("x")
    driver.apply(driver.store.plan_drain("b", True))
    driver.apply(driver.store.plan_deregister("c"))
    again = Store(driver.rules, 100)
    for entry in driver.entries:
        again.apply(entry, 0.0)
    assert again.snapshot() == driver.store.snapshot()


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


def test_appended_entries_are_read_back(tmp_path: Path) -> None:
    written(tmp_path)
    assert read(tmp_path) == (None, entries(3))


def test_log_truncated_at_any_byte_of_its_last_entry_keeps_the_earlier_ones(tmp_path: Path) -> None:
    whole = written(tmp_path)
    start = whole[:-1].rindex(b"\n") + 1
    for end in range(start, len(whole)):
        (tmp_path / "log").write_bytes(whole[:end])
        files = Log(tmp_path)
        assert files.load() == (None, entries(2)) and files.torn_bytes == end - start
        files.append(entries(3)[2])  # appending continues after the cut
        files.close()
        assert (tmp_path / "log").read_bytes() == whole


def test_last_entry_with_an_unwritten_start_is_cut_off(tmp_path: Path) -> None:
    whole = written(tmp_path)
    start = whole[:-1].rindex(b"\n") + 1
    (tmp_path / "log").write_bytes(whole[:start] + b"\0" * 20 + whole[start + 20 :])
    assert read(tmp_path) == (None, entries(2))


def test_damage_before_the_last_entry_stops_the_start(tmp_path: Path) -> None:
    whole = written(tmp_path)
    ends = [at for at, byte in enumerate(whole[:-1]) if byte == 10]
    for at in sorted({*range(len(FILE_HEADER), ends[-1], 5), *ends[1:]}):
        (tmp_path / "log").write_bytes(whole[:at] + bytes([whole[at] ^ 0x10]) + whole[at + 1 :])
        with pytest.raises(LogError) as caught:
            read(tmp_path)
        assert "log" in str(caught.value) and "\n" not in str(caught.value)


@pytest.mark.parametrize("damage", ["no head", "line missing", "log missing", "snapshot damaged"])
def test_inconsistent_files_stop_the_start(tmp_path: Path, damage: str) -> None:
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


def test_snapshot_replaces_the_entries_before_it(tmp_path: Path) -> None:
    files = Log(tmp_path)
    files.load()
    for entry in entries(3):
        files.append(entry)
    files.compact({"revision": 3})
    files.append({"op": "put", "revision": 4})
    files.close()
    assert read(tmp_path) == ({"revision": 3}, [{"op": "put", "revision": 4}])


def test_crash_between_snapshot_and_new_log_applies_no_entry_twice(tmp_path: Path) -> None:
    whole = written(tmp_path)
    files = Log(tmp_path)
    files.load()
    files.compact({"revision": 3})
    files.close()
    (tmp_path / "log").write_bytes(whole)
    assert read(tmp_path) == ({"revision": 3}, [])


class FileOnFullDisk:
    """A file on a disk with a limited number of free bytes."""

    def __init__(self, file: object, free_bytes: int) -> None:
        self._file, self.free_bytes = file, free_bytes

    def __getattr__(self, name: str) -> object:
        return getattr(self._file, name)

    def write(self, data: memoryview) -> int:
        if not self.free_bytes:
            raise OSError(errno.ENOSPC, "No space left on device")
        part = data[: self.free_bytes]
        self.free_bytes -= len(part)
        return self._file.write(part)


def test_full_disk_refuses_the_write_and_leaves_the_log_intact(tmp_path: Path) -> None:
    files = Log(tmp_path)
    files.load()
    files.append(entries(1)[0])
    files._file = full = FileOnFullDisk(files._file, 10)
    with pytest.raises(WriteFailedError, match="No space"):
        files.append(entries(2)[1])
    full.free_bytes = 10**6  # space was freed
    files.append(entries(2)[1])
    files.close()
    assert read(tmp_path) == (None, entries(2))


def test_nothing_is_acknowledged_after_a_failed_sync(tmp_path: Path) -> None:
    fails = []

    def sync(fd: int) -> None:
        if fails:
            raise OSError(errno.EIO, "Input/output error")
        os.fsync(fd)

    files = Log(tmp_path, sync)
    files.load()
    fails.append(True)
    for _ in range(2):
        with pytest.raises(WriteFailedError, match="sync"):
            files.append(entries(1)[0])
    fails.clear()
    with pytest.raises(WriteFailedError):
        files.append(entries(1)[0])
    files.close()


def test_folder_is_locked_by_one_process(tmp_path: Path) -> None:
    files = Log(tmp_path)
    with pytest.raises(LogError, match="another process"):
        Log(tmp_path)
    files.close()
    Log(tmp_path).close()
