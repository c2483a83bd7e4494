"""Tables that every member holds a copy of. Each entry is written by its origin alone. No I/O.

An origin numbers its changes; the number is the version of its state. For each origin a member keeps the
version up to which it has all changes, and the time at which that was known to be the latest. At intervals a
member sends another one these versions and ages (a digest), and is answered with the changes it lacks
(deltas). This is Scuttlebutt reconciliation (van Renesse, Dumitriu, Gough, Thomas, 2008). States merge by the
greater version and the later time, in any order and any number of times.

Ages are measured by the reader's own clock only: an answer says how old its knowledge was when it was given,
and the time since the question was asked is added to that. So a slow link, a paused process or a clock that
is hours off makes an age greater than the truth, never less; clocks may run apart in rate by at most `drift`.
Entries older than the staleness bound of their table are not returned. A faulty member can pass on false
entries of other origins too; readers have to allow for that when they count origins.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

import msgspec
import xxhash

from yewstage.membership.messages import encode, encoded_bytes

MAX_KEY_BYTES, MAX_VALUE_BYTES = 96, 512
MAX_MESSAGE_BYTES = 1150  # what a datagram leaves for a payload beside the sender's row
MAX_ANSWER_PAGES = 3  # messages that answer one question
MAX_QUESTION_ORIGINS = 95  # origins that one question names; more do not fit into a message
MAX_OPEN_QUESTIONS = 8  # latest questions whose answers are still accepted
NEVER = float("-inf")


class Change(msgspec.Struct, frozen=True, array_like=True):
    """The latest change of one entry. Without a value it is a tombstone: the entry was deleted."""

    version: int
    table: str
    key: str
    value: bytes | None


class DigestEntry(msgspec.Struct, frozen=True, array_like=True):
    """What the sender knows of one origin: all changes up to `version`, as of `age_ms` ago (-1: unknown)."""

    origin_hash: int
    version: int
    age_ms: int


class Question(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for everything newer than the digest."""

    number: int
    digest: tuple[DigestEntry, ...]


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """Changes of one origin after `base_version` up to `version`. A full delta replaces all that the receiver
    knows of the origin."""

    origin_hash: int
    base_version: int
    version: int
    age_ms: int  # how long ago `version` was the latest; -1 if unknown or if another delta follows
    changes: tuple[Change, ...] = ()
    is_full: bool = False
    floor_version: int = 0  # tombstones up to this version may be missing


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """One page of an answer: deltas, and origins that have no newer changes but whose age here is lower."""

    number: int
    deltas: tuple[Delta, ...]
    unchanged: tuple[DigestEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Table:
    """A kind of entries. Each origin may have at most `max_entries` of them; entries of an origin whose age
    is above `staleness_bound_ms` are not returned."""

    name: str
    staleness_bound_ms: float
    max_entries: int


@dataclass(frozen=True, slots=True)
class TableEntry:
    """An entry as read: its origin held this value at some moment within the last `age_ms`."""

    key: str
    origin: str
    value: bytes
    age_ms: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Parameters of the anti-entropy."""

    interval_ms: float = 250.0  # mean time between two questions
    drift: float = 0.01  # largest difference in rate between two clocks, as a share


class FullTableError(Exception):
    """Raised when this member already has the maximum number of entries in a table."""


@dataclass(slots=True)
class Origin:
    """What is known of one origin."""

    start_id: int
    version: int = 0  # all changes up to this one are known
    fresh_at: float = NEVER  # the latest time, on our own clock, as of which all of its changes are known
    floor_version: int = 0  # tombstones up to this version may be missing
    entries: dict[tuple[str, str], Change] = field(default_factory=dict)

    def changes_after(self, version: int) -> list[Change]:
        """The changes after a version, by version."""
        newer = (change for change in self.entries.values() if change.version > version)
        return sorted(newer, key=lambda change: change.version)


class Tables:
    """One member's copy of all tables."""

    def __init__(
        self,
        own_name: str,
        start_id: int,
        tables: Iterable[Table],
        settings: Settings,
        rng: random.Random,
        now: float,
    ) -> None:
        self.own_name, self.settings, self._rng = own_name, settings, rng
        self.tables = {table.name: table for table in tables}
        self.own_origin = Origin(start_id)
        self.origins: dict[str, Origin] = {own_name: self.own_origin}
        self._start_ids: dict[str, int] = {own_name: start_id}
        # by name; of two members with the same hash one is left out
        self._hashes: dict[str, int] = {own_name: origin_hash(own_name, start_id)}
        self._names: dict[int, str] = {origin_hash(own_name, start_id): own_name}
        self._asked_at: dict[int, float] = {}  # by question number
        self._last_question_number = rng.getrandbits(31)
        self._digest_order: list[str] = []
        self.next_question_at = now + rng.random() * settings.interval_ms
        self.refused_deltas = 0  # deltas dropped for exceeding an origin's limits

    # --- Writing ------------------------------------------------------------------------------------------

    def put(self, table: str, key: str, value: bytes) -> None:
        """Set one of our own entries. Raises FullTableError, and ValueError if the key or value is too
        long."""
        if len(key.encode()) > MAX_KEY_BYTES or len(value) > MAX_VALUE_BYTES:
            raise ValueError(
                f"{table}: a key may have at most {MAX_KEY_BYTES} and a value at most {MAX_VALUE_BYTES} bytes"
            )
        known = self.own_origin.entries.get((table, key))
        if known is not None and known.value == value:
            return
        if known is None or known.value is None:
            count = sum(c.table == table and c.value is not None for c in self.own_origin.entries.values())
            if count >= self.tables[table].max_entries:
                raise FullTableError(f"{table}: {count} entries of this gateway are the maximum")
        self._record_change(table, key, value)

    def drop(self, table: str, key: str) -> None:
        """Delete one of our own entries."""
        known = self.own_origin.entries.get((table, key))
        if known is not None and known.value is not None:
            self._record_change(table, key, None)
            self._remove_old_tombstones()

    def _record_change(self, table: str, key: str, value: bytes | None) -> None:
        self.own_origin.version += 1
        self.own_origin.entries[table, key] = Change(self.own_origin.version, table, key, value)

    def _remove_old_tombstones(self) -> None:
        """Keep as many tombstones as there may be entries. A member whose version is below the removed ones
        is sent a full delta."""
        tombstones = [c for c in self.own_origin.changes_after(0) if c.value is None]
        for old in tombstones[: max(0, len(tombstones) - self.max_entries())]:
            del self.own_origin.entries[old.table, old.key]
            self.own_origin.floor_version = max(self.own_origin.floor_version, old.version)

    def max_entries(self) -> int:
        """How many entries one origin may have over all tables. It may have as many tombstones besides."""
        return sum(table.max_entries for table in self.tables.values())

    def max_bytes(self, members: int) -> int:
        """Upper bound of this copy's size in bytes: for each member, entries and tombstones of the largest
        size with 32 bytes for their other fields."""
        return members * 2 * self.max_entries() * (MAX_KEY_BYTES + MAX_VALUE_BYTES + 32)

    # --- Reading ------------------------------------------------------------------------------------------

    def read(self, table: str, now: float) -> Iterator[TableEntry]:
        """All entries of a table within its staleness bound."""
        staleness_bound_ms = self.tables[table].staleness_bound_ms
        for name, origin in self.origins.items():
            age = self.age_ms(name, now)
            if age > staleness_bound_ms:
                continue
            for change in origin.entries.values():
                if change.table == table and change.value is not None:
                    yield TableEntry(change.key, name, change.value, age)

    def age_ms(self, name: str, now: float) -> float:
        """Upper bound of the time for which changes of an origin can be missing here; infinite if unknown."""
        if name == self.own_name:
            return 0.0
        origin = self.origins.get(name)
        return now - origin.fresh_at if origin is not None else float("inf")

    # --- Membership ---------------------------------------------------------------------------------------

    def members(self, start_ids: Mapping[str, int], now: float) -> None:
        """Set the present members, with the start id of each. A restarted member begins with no entries;
        those of a departed one are removed once they are older than every staleness bound."""
        present = {**start_ids, self.own_name: self.own_origin.start_id}
        if present != self._start_ids:
            self._start_ids = present
            self._names = {origin_hash(name, start_id): name for name, start_id in sorted(present.items())}
            self._hashes = {name: number for number, name in self._names.items()}
        longest_ms = max((table.staleness_bound_ms for table in self.tables.values()), default=0.0)
        for name, origin in list(self.origins.items()):
            start_id = self._start_ids.get(name)
            if (
                start_id is not None
                and start_id != origin.start_id
                or start_id is None
                and now - origin.fresh_at > longest_ms
            ):
                del self.origins[name]

    # --- Questions and answers ----------------------------------------------------------------------------

    def ask(self, now: float) -> Question:
        """The next question, which any member can answer. Its digest covers the origins in turn, also those
        of which nothing is known."""
        self.next_question_at = now + self.settings.interval_ms * (0.5 + self._rng.random())
        self._last_question_number += 1
        self._asked_at[self._last_question_number] = now
        while len(self._asked_at) > MAX_OPEN_QUESTIONS:
            del self._asked_at[next(iter(self._asked_at))]
        names: list[str] = []
        while len(names) < min(MAX_QUESTION_ORIGINS, len(self._hashes) - 1):
            if not self._digest_order:
                self._digest_order = [name for name in self._hashes if name != self.own_name]
                self._rng.shuffle(self._digest_order)
            name = self._digest_order.pop()
            if name in self._hashes and name not in names:
                names.append(name)
        return Question(
            self._last_question_number,
            tuple(_values_that_fit([self._digest_entry(name, now) for name in names])),
        )

    def _digest_entry(self, name: str, now: float) -> DigestEntry:
        origin = self.origins.get(name) or Origin(self._start_ids[name])
        return DigestEntry(self._hashes[name], origin.version, _encoded_age_ms(self.age_ms(name, now)))

    def answer(self, question: Question, now: float) -> list[Answer]:
        """Everything newer than the question's digest: deltas, our own first and then the freshest, and then
        the ages of unchanged origins."""
        deltas, unchanged = [], []
        for theirs in question.digest:
            name = self._names.get(theirs.origin_hash, "")
            origin = self.origins.get(name)
            if origin is None:
                continue
            age = self.age_ms(name, now)
            if origin.version > theirs.version:
                deltas.append((name != self.own_name, age, self._delta(theirs, origin, age)))
            elif origin.version == theirs.version and self._is_fresher(age, theirs.age_ms):
                unchanged.append(DigestEntry(theirs.origin_hash, origin.version, _encoded_age_ms(age)))
        deltas.sort(key=lambda delta: delta[:2])
        pages = list(_paginate(question.number, [piece for *_, delta in deltas for piece in _split(delta)]))
        fitting = list(_values_that_fit(unchanged, encoded_bytes(pages[-1]) if pages else 16))
        if fitting:
            last = pages.pop() if pages else Answer(question.number, ())
            pages.append(Answer(last.number, last.deltas, tuple(fitting)))
        return pages

    def _is_fresher(self, age: float, their_age_ms: int) -> bool:
        """Whether our age of an origin is lower than theirs by more than the interval between questions."""
        return age < float("inf") if their_age_ms < 0 else age + self.settings.interval_ms < their_age_ms

    def _delta(self, theirs: DigestEntry, origin: Origin, age: float) -> Delta:
        is_full = theirs.version < origin.floor_version
        base_version = 0 if is_full else theirs.version
        changes = tuple(origin.changes_after(base_version))
        return Delta(
            theirs.origin_hash,
            base_version,
            origin.version,
            _encoded_age_ms(age),
            changes,
            is_full,
            origin.floor_version,
        )

    def take(self, answer: Answer, now: float) -> None:
        """Merge one page of an answer. Its ages count from the time of the question, as the answer cannot
        have been given earlier."""
        asked_at = self._asked_at.get(answer.number)
        if asked_at is None:
            return
        for delta in answer.deltas:
            name = self._names.get(delta.origin_hash, self.own_name)
            if name != self.own_name:
                self._merge_delta(name, delta, asked_at)
        for known in answer.unchanged:
            name = self._names.get(known.origin_hash, self.own_name)
            if name not in self.origins and not known.version:
                # version 0: the origin is known to have no entries yet
                self.origins[name] = Origin(self._start_ids[name])
            if name in self.origins and self.origins[name].version >= known.version:
                self._update_freshness(self.origins[name], known.age_ms, asked_at)

    def _update_freshness(self, origin: Origin, age_ms: int, asked_at: float) -> None:
        if age_ms >= 0 and origin is not self.own_origin:
            fresh_at = asked_at - age_ms * (1 + self.settings.drift)
            origin.fresh_at = max(origin.fresh_at, fresh_at)

    def _merge_delta(self, name: str, delta: Delta, asked_at: float) -> None:
        origin = self.origins.get(name) or Origin(self._start_ids[name])
        if not delta.is_full and delta.base_version > origin.version:
            return  # the changes between were not received
        if delta.is_full and delta.version > origin.version:
            origin.entries, origin.version, origin.fresh_at = {}, 0, NEVER
        entries = dict(origin.entries)
        for change in delta.changes:
            if change.table in self.tables and origin.version < change.version <= delta.version:
                entries[change.table, change.key] = change
        if len(entries) > 2 * self.max_entries() or not all(map(_is_within_limits, delta.changes)):
            self.refused_deltas += 1
            return
        floor_version = max(origin.floor_version, delta.floor_version)
        origin.entries = {
            k: c for k, c in entries.items() if c.value is not None or c.version > floor_version
        }
        origin.floor_version, origin.version = floor_version, max(origin.version, delta.version)
        self._update_freshness(origin, delta.age_ms, asked_at)
        self.origins[name] = origin


def origin_hash(name: str, start_id: int) -> int:
    """A 32-bit hash that stands for one process of a member in messages. Among 1,000 members two have the
    same hash in one of 8,600 fleets. Then one of the two is missing in the tables, which only makes the
    others more careful."""
    return xxhash.xxh32_intdigest(f"{name}/{start_id}".encode())


def _encoded_age_ms(age: float) -> int:
    """An age in whole milliseconds, rounded up so that it is never too low; -1 if it is unknown."""
    return -1 if age == float("inf") else int(age) + 1


def _paginate(number: int, pieces: Iterable[Delta]) -> Iterator[Answer]:
    page, free_bytes, pages = [], MAX_MESSAGE_BYTES, 1
    for piece in pieces:
        if encoded_bytes(piece) > free_bytes:
            if pages == MAX_ANSWER_PAGES:
                break
            yield Answer(number, tuple(page))
            page, free_bytes, pages = [], MAX_MESSAGE_BYTES, pages + 1
        page.append(piece)
        free_bytes -= encoded_bytes(piece)
    if page:
        yield Answer(number, tuple(page))


def _split(delta: Delta) -> Iterator[Delta]:
    """A delta in pieces that each fit into a page. Only the last piece has the delta's version and age."""
    if encoded_bytes(delta) <= MAX_MESSAGE_BYTES:
        yield delta
        return
    remaining = list(delta.changes)
    base_version, is_full = delta.base_version, delta.is_full
    while remaining:
        piece = list(_values_that_fit(remaining, 64))
        remaining = remaining[len(piece) :]
        is_last = not remaining
        version, age_ms = (delta.version, delta.age_ms) if is_last else (piece[-1].version, -1)
        yield Delta(
            delta.origin_hash, base_version, version, age_ms, tuple(piece), is_full, delta.floor_version
        )
        base_version, is_full = piece[-1].version, False


def _values_that_fit(values: Iterable, reserved_bytes: int = 16) -> Iterator:
    """The first values, as many as fit into a message beside `reserved_bytes`."""
    free_bytes = MAX_MESSAGE_BYTES - reserved_bytes
    for value in values:
        free_bytes -= encoded_bytes(value)
        if free_bytes < 0:
            return
        yield value


def _is_within_limits(change: Change) -> bool:
    return len(change.key) <= MAX_KEY_BYTES and (change.value is None or len(change.value) <= MAX_VALUE_BYTES)


Message = Question | Answer
__all__ = ["Answer", "Question", "Settings", "Table", "Tables", "TableEntry", "encode", "parse"]
_decoder = msgspec.msgpack.Decoder(Message)


def parse(data: bytes) -> Message:
    """Decode a message; raises ValueError if it is invalid."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None
