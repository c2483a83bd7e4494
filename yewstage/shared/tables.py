"""Tables that all members hold, each entry written by its origin alone, spread by asking. Pure.

An origin numbers its changes. What another one knows of it is a number up to which it has all of them, and
when that was certain: an age. Now and then a member tells another how far it is with some origins, and is
told what it lacks (Scuttlebutt; van Renesse, Dumitriu, Gough, Thomas, 2008). Two such states merge by the
greater number and the later certainty, in any order and as often as they come.

Ages are counted by one's own clock only: an answer says how old its knowledge was when it was given, and the
time since the question was asked is added to that. So a slow link, a stopped process or a clock that is hours
off makes an age greater than the truth, never less; clocks may run apart by `drift`. What is older than its
table's bound counts as not there. A member that lies can lie about others' entries as well: who reads has to
weigh by origins.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

import msgspec
import xxhash

from yewstage.membership.messages import encode, size

LONGEST_KEY, LONGEST_VALUE = 96, 512  # bytes
ROOM = 1150  # bytes of a message: what a letter leaves beside its sender
PAGES = 3  # messages that answer one question, at the most
NAMED = 95  # origins that one question names: as many as a message has room for
OPEN = 8  # questions whose answers are still taken
NEVER = float("-inf")


class Change(msgspec.Struct, frozen=True, array_like=True):
    """An entry of a table as its origin has it since one of its changes; without a value it is gone."""

    version: int
    table: str
    key: str
    value: bytes | None


class Known(msgspec.Struct, frozen=True, array_like=True):
    """How far somebody is with an origin: all of its changes up to a version, as of so long ago."""

    mark: int
    version: int
    age_ms: int


class Question(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """What have you newer than this?"""

    number: int
    known: tuple[Known, ...]


class Part(msgspec.Struct, frozen=True, array_like=True):
    """Changes of one origin behind `after` up to `version`; `whole`: in place of all that was known."""

    mark: int
    after: int
    version: int
    age_ms: int  # how long ago that was all; under 0: there is more
    changes: tuple[Change, ...] = ()
    whole: bool = False
    floor: int = 0  # changes up to here may be left out: they are gone without a trace


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A page of what is newer: origins that have changed, and those that have not."""

    number: int
    parts: tuple[Part, ...]
    same: tuple[Known, ...] = ()


@dataclass(frozen=True, slots=True)
class Table:
    """A kind of entries: `most` of one origin; older than `bound_ms` counts as not there."""

    name: str
    bound_ms: float
    most: int


@dataclass(frozen=True, slots=True)
class TableEntry:
    """An entry as it is read: what its origin held at some moment no longer than `age_ms` ago."""

    key: str
    origin: str
    value: bytes
    age_ms: float


@dataclass(frozen=True, slots=True)
class Settings:
    """How entries are spread."""

    interval_ms: float = 250.0  # between two questions
    drift: float = 0.01  # by which clocks may run apart


class FullTableError(Exception):
    """An origin has as many entries of a table as it may."""


@dataclass(slots=True)
class Origin:
    """What is known of one."""

    life: int
    version: int = 0  # up to which all changes are known
    fresh_at: float = NEVER  # our own time as of which we know all of its changes
    floor: int = 0
    entries: dict[tuple[str, str], Change] = field(default_factory=dict)

    def behind(self, version: int) -> list[Change]:
        """Changes that come after one, in their order."""
        newer = (change for change in self.entries.values() if change.version > version)
        return sorted(newer, key=lambda change: change.version)


class Tables:
    """One member's copy."""

    def __init__(
        self, me: str, life: int, tables: Iterable[Table], settings: Settings, rng: random.Random, now: float
    ) -> None:
        self.me, self.settings, self._rng = me, settings, rng
        self.tables = {table.name: table for table in tables}
        self.own = Origin(life)
        self.origins: dict[str, Origin] = {me: self.own}
        self._lives: dict[str, int] = {me: life}
        self._marks: dict[str, int] = {me: mark(me, life)}  # by name; of two alike one is left out
        self._names: dict[int, str] = {mark(me, life): me}
        self._asked: dict[int, float] = {}  # when each question was asked
        self._numbers = rng.getrandbits(31)
        self._ring: list[str] = []
        self.ask_at = now + rng.random() * settings.interval_ms
        self.refused = 0  # parts that were beyond what an origin may hold, or made no sense

    # --- Writing ------------------------------------------------------------------------------------------

    def put(self, table: str, key: str, value: bytes) -> None:
        """Set one of our own entries. FullTableError, ValueError where key or value are too long."""
        if len(key.encode()) > LONGEST_KEY or len(value) > LONGEST_VALUE:
            raise ValueError(f"{table}: a key of {LONGEST_KEY} bytes, a value of {LONGEST_VALUE} at the most")
        known = self.own.entries.get((table, key))
        if known is not None and known.value == value:
            return
        if known is None or known.value is None:
            mine = sum(c.table == table and c.value is not None for c in self.own.entries.values())
            if mine >= self.tables[table].most:
                raise FullTableError(f"{table}: {mine} entries of this gateway are the most")
        self._change(table, key, value)

    def drop(self, table: str, key: str) -> None:
        """Take one of our own entries away."""
        known = self.own.entries.get((table, key))
        if known is not None and known.value is not None:
            self._change(table, key, None)
            self._forget_traces()

    def _change(self, table: str, key: str, value: bytes | None) -> None:
        self.own.version += 1
        self.own.entries[table, key] = Change(self.own.version, table, key, value)

    def _forget_traces(self) -> None:
        """Of what is gone as many traces are kept as entries may be; who is behind them is told the whole."""
        traces = [c for c in self.own.behind(0) if c.value is None]
        for old in traces[: max(0, len(traces) - self.most())]:
            del self.own.entries[old.table, old.key]
            self.own.floor = max(self.own.floor, old.version)

    def most(self) -> int:
        """Entries that one origin may have over all tables; as many traces of what is gone beside them."""
        return sum(table.most for table in self.tables.values())

    def bound_bytes(self, members: int) -> int:
        """What this copy may take at the most: members x 2 x entries of one x bytes of one."""
        return members * 2 * self.most() * (LONGEST_KEY + LONGEST_VALUE + 32)

    # --- Reading ------------------------------------------------------------------------------------------

    def read(self, table: str, now: float) -> Iterator[TableEntry]:
        """All entries of a table that are new enough."""
        bound = self.tables[table].bound_ms
        for name, origin in self.origins.items():
            age = self.age_ms(name, now)
            if age > bound:
                continue
            for change in origin.entries.values():
                if change.table == table and change.value is not None:
                    yield TableEntry(change.key, name, change.value, age)

    def age_ms(self, name: str, now: float) -> float:
        """For how long an origin may have changed something that is not known here; a bound."""
        if name == self.me:
            return 0.0
        origin = self.origins.get(name)
        return now - origin.fresh_at if origin is not None else float("inf")

    # --- Who is there -------------------------------------------------------------------------------------

    def members(self, lives: Mapping[str, int], now: float) -> None:
        """Who is there, with the life of each. Another life begins with nothing; who is gone is forgotten
        once all that it said is too old."""
        now_there = {**lives, self.me: self.own.life}
        if now_there != self._lives:
            self._lives = now_there
            self._names = {mark(name, life): name for name, life in sorted(now_there.items())}
            self._marks = {name: number for number, name in self._names.items()}
        longest = max((table.bound_ms for table in self.tables.values()), default=0.0)
        for name, origin in list(self.origins.items()):
            life = self._lives.get(name)
            if life is not None and life != origin.life or life is None and now - origin.fresh_at > longest:
                del self.origins[name]

    # --- Asking -------------------------------------------------------------------------------------------

    def ask(self, now: float) -> Question:
        """The next question, to any member: origins in turn, those that we know nothing of too."""
        self.ask_at = now + self.settings.interval_ms * (0.5 + self._rng.random())
        self._numbers += 1
        self._asked[self._numbers] = now
        while len(self._asked) > OPEN:
            del self._asked[next(iter(self._asked))]
        names: list[str] = []
        while len(names) < min(NAMED, len(self._marks) - 1):
            if not self._ring:
                self._ring = [name for name in self._marks if name != self.me]
                self._rng.shuffle(self._ring)
            name = self._ring.pop()
            if name in self._marks and name not in names:
                names.append(name)
        return Question(self._numbers, tuple(_fitting([self._known(name, now) for name in names])))

    def _known(self, name: str, now: float) -> Known:
        origin = self.origins.get(name) or Origin(self._lives[name])
        return Known(self._marks[name], origin.version, _told_ms(self.age_ms(name, now)))

    def answer(self, question: Question, now: float) -> list[Answer]:
        """What we have newer: changes, our own first, then how fresh the rest is."""
        parts, same = [], []
        for known in question.known:
            name = self._names.get(known.mark, "")
            origin = self.origins.get(name)
            if origin is None:
                continue
            age = self.age_ms(name, now)
            if origin.version > known.version:
                parts.append((name != self.me, age, self._part(known, origin, age)))
            elif origin.version == known.version and self._newer(age, known.age_ms):
                same.append(Known(known.mark, origin.version, _told_ms(age)))
        parts.sort(key=lambda part: part[:2])
        pages = list(_paged(question.number, [piece for *_, part in parts for piece in _pieces(part)]))
        left = list(_fitting(same, size(pages[-1]) if pages else 16))
        if left:
            last = pages.pop() if pages else Answer(question.number, ())
            pages.append(Answer(last.number, last.parts, tuple(left)))
        return pages

    def _newer(self, age: float, theirs_ms: int) -> bool:
        """Whether an age is worth telling."""
        return age < float("inf") if theirs_ms < 0 else age + self.settings.interval_ms < theirs_ms

    def _part(self, known: Known, origin: Origin, age: float) -> Part:
        whole = known.version < origin.floor
        after = 0 if whole else known.version
        changes = tuple(origin.behind(after))
        return Part(known.mark, after, origin.version, _told_ms(age), changes, whole, origin.floor)

    def take(self, answer: Answer, now: float) -> None:
        """Take in a page. It counts from when its question was asked: it cannot have been given before."""
        asked_at = self._asked.get(answer.number)
        if asked_at is None:
            return
        for part in answer.parts:
            name = self._names.get(part.mark, self.me)
            if name != self.me:
                self._take_part(name, part, asked_at)
        for known in answer.same:
            name = self._names.get(known.mark, self.me)
            if name not in self.origins and not known.version:
                self.origins[name] = Origin(self._lives[name])  # it has nothing yet, which is known so
            if name in self.origins and self.origins[name].version >= known.version:
                self._certain(self.origins[name], known.age_ms, asked_at)

    def _certain(self, origin: Origin, age_ms: int, asked_at: float) -> None:
        if age_ms >= 0 and origin is not self.own:
            certain = asked_at - age_ms * (1 + self.settings.drift)
            origin.fresh_at = max(origin.fresh_at, certain)

    def _take_part(self, name: str, part: Part, asked_at: float) -> None:
        origin = self.origins.get(name) or Origin(self._lives[name])
        if not part.whole and part.after > origin.version:
            return  # what lies between did not come
        if part.whole and part.version > origin.version:
            origin.entries, origin.version, origin.fresh_at = {}, 0, NEVER
        entries = dict(origin.entries)
        for change in part.changes:
            if change.table in self.tables and origin.version < change.version <= part.version:
                entries[change.table, change.key] = change
        if len(entries) > 2 * self.most() or not all(map(_sane, part.changes)):
            self.refused += 1
            return
        floor = max(origin.floor, part.floor)
        origin.entries = {k: c for k, c in entries.items() if c.value is not None or c.version > floor}
        origin.floor, origin.version = floor, max(origin.version, part.version)
        self._certain(origin, part.age_ms, asked_at)
        self.origins[name] = origin


def mark(name: str, life: int) -> int:
    """A member's life in 32 bits. Danger: two may have the same, of 1,000 once in 8,600 fleets; then one of
    them is not there in the tables, which only makes others more careful."""
    return xxhash.xxh32_intdigest(f"{name}/{life}".encode())


def _told_ms(age: float) -> int:
    """An age as it is told, never less than it is; -1: none is known."""
    return -1 if age == float("inf") else int(age) + 1


def _paged(number: int, pieces: Iterable[Part]) -> Iterator[Answer]:
    page, room, pages = [], ROOM, 1
    for piece in pieces:
        if size(piece) > room:
            if pages == PAGES:
                break
            yield Answer(number, tuple(page))
            page, room, pages = [], ROOM, pages + 1
        page.append(piece)
        room -= size(piece)
    if page:
        yield Answer(number, tuple(page))


def _pieces(part: Part) -> Iterator[Part]:
    """A part as it is, or in pieces that each fit into a page; only the last one is all."""
    if size(part) <= ROOM:
        yield part
        return
    left = list(part.changes)
    after, whole = part.after, part.whole
    while left:
        piece = list(_fitting(left, 64))
        left = left[len(piece) :]
        last = not left
        version, age_ms = (part.version, part.age_ms) if last else (piece[-1].version, -1)
        yield Part(part.mark, after, version, age_ms, tuple(piece), whole, part.floor)
        after, whole = piece[-1].version, False


def _fitting(values: Iterable, beside: int = 16) -> Iterator:
    """As many of them as a message has room for, beside so many bytes."""
    room = ROOM - beside
    for value in values:
        room -= size(value)
        if room < 0:
            return
        yield value


def _sane(change: Change) -> bool:
    return len(change.key) <= LONGEST_KEY and (change.value is None or len(change.value) <= LONGEST_VALUE)


Message = Question | Answer
__all__ = ["Answer", "Question", "Settings", "Table", "Tables", "TableEntry", "encode", "parse"]
_message = msgspec.msgpack.Decoder(Message)


def parse(data: bytes) -> Message:
    """A message from the wire; ValueError where it is none."""
    try:
        return _message.decode(data)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None
