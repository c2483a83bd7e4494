"""Who is there, as one member sees it: SWIM with suspicion, and Lifeguard's local health. Pure.

Messages and time go in, messages and changes come out. Times are milliseconds of this process's own clock;
no other machine's clock is asked. Each period one member is asked, at first directly, then through others;
who does not answer is suspected, and dead once its time to object is over. Who doubts its own ears (its
questions go unanswered, it is suspected itself) asks more slowly and condemns later. What is new is told on
some times in the messages that are sent anyway; what got lost is mended by comparing digests.

Sources: Das, Gupta, Motivala, SWIM (2002); Dadgar, Phillips, Currey, Lifeguard (2018).
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import xxhash
from msgspec import structs

from yewstage.membership.messages import (
    ALIVE,
    BUCKETS,
    DEAD,
    LEFT,
    LONGEST,
    SEAL,
    SUSPECT,
    Ack,
    Carried,
    Datagram,
    MemberRow,
    Message,
    Nack,
    Page,
    Ping,
    PingRequest,
    Sync,
    size,
)

HELPERS = 3  # who are had to ask in our place
WORST = 8  # of local health: then periods are nine times as long
REPEATS = 4  # times the logarithm of the members: how often what is new is told on
CONFIRMED = 3  # others who suspect as well, after whom a suspect's time is the shortest
SLACK = 6.0  # the longest time of a suspect over its shortest
WINDOW = 1024  # serials of a sender behind its highest that may still come, once each
SYNC_PERIODS = 5.0  # between two comparisons of digests, and between two tries to reach one who is gone
LEARNING = 0.1  # of a period between comparisons, while each brings something new
FORGET_PERIODS = 3600.0  # for which one who is gone is remembered: a lost half may come back so much later
HEAD = 1 + SEAL + 4  # bytes of a datagram beside its letter without rows, and for the count of those


@dataclass(frozen=True, slots=True)
class Settings:
    """What members go by. All of a cluster have the same."""

    cluster: str
    period_ms: float = 1000.0
    answer_ms: float = 300.0  # within which a direct question is answered
    suspicion: float = 4.0  # the shortest time of a suspect, in periods, times the members' decimal logarithm


@dataclass(slots=True)
class PeerState:
    """What is known of another member."""

    row: MemberRow
    since: float  # when it came to be in that state
    suspected_by: set[str] = field(default_factory=set)
    serial: int = 0  # the highest of its life, and which of those behind it came
    came: int = 0


@dataclass(slots=True)
class _Probe:
    number: int
    target: MemberRow
    indirect_at: float
    over_at: float
    asked: int = 0  # helpers
    nacks: int = 0


@dataclass(slots=True)
class _Errand:
    """A question that another one has us ask."""

    number: int  # its own
    for_whom: MemberRow
    until: float


@dataclass(slots=True)
class Output:
    """What came out: letters, each with a name (empty: not known) and an address; rows that changed."""

    letters: list[tuple[str, str, Datagram]] = field(default_factory=list)
    changes: list[MemberRow] = field(default_factory=list)
    # What came for others, with its sender.
    carried: list[tuple[MemberRow, bytes]] = field(default_factory=list)


class Swim:
    """One member."""

    def __init__(
        self, own_row: MemberRow, settings: Settings, seeds: Iterable[str], rng: random.Random, now: float
    ) -> None:
        """`own_row`: incarnation 1 or more; its life has to be another one for each start.
        `seeds`: addresses.
        """
        self.own_row, self.settings, self.seeds, self._rng = own_row, settings, tuple(seeds), rng
        self.peers: dict[str, PeerState] = {}
        self.health = 0  # 0 is well, WORST is worst
        self.out = Output()
        self.dropped: Counter[str] = Counter()  # letters, by reason
        self.suspicions = self.false_suspicions = self.refuted = 0
        self.contested = False  # another process goes by our name, and goes first
        self._claims: list[float] = []  # when others that live went by our name
        self._serial = 0
        self._news: dict[str, int] = {}  # name: how often it was told
        self._ring: list[str] = []
        self._probe: _Probe | None = None
        self._errands: dict[int, _Errand] = {}
        self._probes = 0
        self._period_at = now + rng.random() * settings.period_ms
        self._sync_at = now
        self._looked_at = now
        self.left = False
        self._digests = [0] * BUCKETS
        self._noted(None, own_row)

    # --- Reading ------------------------------------------------------------------------------------------

    def rows(self) -> list[MemberRow]:
        """All that is known, this member too."""
        return [self.own_row, *(other.row for other in self.peers.values())]

    def alive(self) -> list[MemberRow]:
        """Others that are there, suspects too."""
        return [other.row for other in self.peers.values() if other.row.state in (ALIVE, SUSPECT)]

    def next_at(self) -> float:
        """When `tick` is to be called at the latest."""
        times = [self._period_at, self._sync_at]
        if self._probe is not None:
            times.append(self._probe.over_at if self._probe.asked else self._probe.indirect_at)
        times += [errand.until for errand in self._errands.values()]
        return min(times)

    def take(self) -> Output:
        """What came out; the caller sends it."""
        out, self.out = self.out, Output()
        return out

    def suspect_ms(self, confirmed: int) -> float:
        """How long a suspect has to object: the shorter the more others suspect it, too.

        shortest = suspicion x max(1, log10(members)) x period, longest = SLACK x shortest; the time goes from
        one to the other with the logarithm of the others who suspect, of CONFIRMED.
        """
        members = len(self.alive()) + 1
        shortest = self.settings.suspicion * max(1.0, math.log10(members)) * self.settings.period_ms
        wanted = min(CONFIRMED, max(members - 2, 0))
        if confirmed >= wanted:
            return shortest
        share = math.log(confirmed + 1) / math.log(wanted + 1)
        return shortest * (SLACK - (SLACK - 1) * share)

    # --- Time ---------------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Time has passed."""
        self._wake(now)
        if self.left:
            self._period_at = self._sync_at = float("inf")
            return
        probe = self._probe
        if probe is not None and not probe.asked and now >= probe.indirect_at:
            self._ask_others(probe)
        if probe is not None and now >= probe.over_at:
            self._missed(probe, now)
        for number, errand in list(self._errands.items()):
            if now >= errand.until:
                del self._errands[number]
                self._send(errand.for_whom, Nack(errand.number))
        self._judge_suspects(now)
        if now >= self._period_at:
            self._period_at = now + self._span()
            self._begin_probe(now)
        if now >= self._sync_at:
            self._sync_at = now + SYNC_PERIODS * self.settings.period_ms * (0.5 + self._rng.random())
            self._compare(now)

    def _wake(self, now: float) -> None:
        """Danger: one that was stopped wakes to questions without an answer and suspects that did not object.
        It was not there to hear them: they get that time again, and it doubts its own health."""
        slept = now - max(self._looked_at, self.next_at())
        self._looked_at = now
        if slept <= self.settings.period_ms:
            return
        self._probe, self._errands = None, {}
        self.health = min(self.health + 1, WORST)
        for other in self.peers.values():
            other.since += slept

    def _span(self) -> float:
        return self.settings.period_ms * (self.health + 1)

    # --- Questions ----------------------------------------------------------------------------------------

    def _begin_probe(self, now: float) -> None:
        if self._probe is not None:
            return  # it is not over: we are slow
        while self._ring or self.alive():
            if not self._ring:  # all, in an order of our own, before any comes again
                self._ring = [row.name for row in self.alive()]
                self._rng.shuffle(self._ring)
            other = self.peers.get(self._ring.pop())
            if other is None or other.row.state not in (ALIVE, SUSPECT):
                continue
            self._probes += 1
            answer_ms = self.settings.answer_ms * (self.health + 1)
            self._probe = _Probe(self._probes, other.row, now + answer_ms, now + self._span())
            # A suspect is told so first of all, that it may object.
            first = (other.row,) if other.row.state == SUSPECT else ()
            self._send(other.row, Ping(self._probes, other.row.start_id, first))
            return

    def _ask_others(self, probe: _Probe) -> None:
        helpers = [row for row in self.alive() if row.name != probe.target.name and row.state == ALIVE]
        chosen = self._rng.sample(helpers, min(HELPERS, len(helpers)))
        probe.asked = len(chosen)
        if not chosen:
            probe.indirect_at = probe.over_at
        for row in chosen:
            self._send(row, PingRequest(probe.number, probe.target))

    def _missed(self, probe: _Probe, now: float) -> None:
        """Nobody has an answer from it. Helpers that did not even say so leave the doubt with us."""
        self._probe = None
        silent = probe.asked - probe.nacks
        self._feel(silent if probe.asked else 1)
        other = self.peers.get(probe.target.name)
        if other is not None and other.row.rank() == probe.target.rank() and other.row.state == ALIVE:
            self.suspicions += 1
            self._take_row(structs.replace(other.row, state=SUSPECT, by=self.own_row.name), now)
        elif other is not None and other.row.state == SUSPECT and other.row.start_id == probe.target.start_id:
            self._take_row(structs.replace(other.row, by=self.own_row.name), now)

    def _feel(self, worse: int) -> None:
        self.health = min(max(self.health + worse, 0), WORST)

    def _judge_suspects(self, now: float) -> None:
        for other in list(self.peers.values()):
            state, since = other.row.state, now - other.since
            if state == SUSPECT and since >= self.suspect_ms(len(other.suspected_by) - 1):
                self._take_row(structs.replace(other.row, state=DEAD, by=self.own_row.name), now)
            elif state in (DEAD, LEFT) and since >= FORGET_PERIODS * self.settings.period_ms:
                del self.peers[other.row.name]
                self._noted(other.row, None)
                self._news.pop(other.row.name, None)

    # --- Comparison ---------------------------------------------------------------------------------------

    def _compare(self, now: float) -> None:
        """With one that is there, and now and then with one that is gone, or a seed: two halves that were cut
        apart find each other so."""
        there = self.alive()
        digests = Sync(self.digests())
        if there:
            self._send(self._rng.choice(there), digests)
        gone = [other.row.at for other in self.peers.values() if other.row.state == DEAD]
        known = {row.at for row in there}
        far = [at for at in (*gone, *self.seeds) if at not in known and at != self.own_row.at]
        if far and (not there or self._rng.random() < 0.5):
            self._post(self._rng.choice(far), digests)

    def digests(self) -> tuple[int, ...]:
        """Of each bucket of the table."""
        return tuple(self._digests)

    def _noted(self, old: MemberRow | None, new: MemberRow | None) -> None:
        """One row of the table has changed, come or gone."""
        for row in (old, new):
            if row is not None:
                self._digests[_bucket(row.name)] ^= _digest(row)

    def _on_sync(self, sender: MemberRow, m: Sync) -> None:
        mine = self.digests()
        if len(m.digests) != BUCKETS:
            return
        differ = {i for i in range(BUCKETS) if mine[i] != m.digests[i]}
        rows = [row for row in self.rows() if _bucket(row.name) in differ]
        if rows:
            self._rng.shuffle(rows)
            self._send(sender, Page(tuple(self._fitting(rows))))

    def _on_page(self, m: Page, now: float) -> None:
        learnt = [self._take_row(row, now) for row in m.rows]
        if any(learnt):
            soon = now + LEARNING * self.settings.period_ms
            self._sync_at = min(self._sync_at, soon)

    # --- Letters ------------------------------------------------------------------------------------------

    def handle(self, now: float, letter: Datagram) -> None:
        """One letter, whenever it comes."""
        self._wake(now)
        sender = letter.sender
        if self.left or not self._believed(letter, now):
            return
        match letter.message:
            case Ping():
                self._hear(letter.message.rows, now)
                if letter.message.life == self.own_row.start_id:
                    self._send(sender, Ack(letter.message.probe))
            case Ack():
                self._hear(letter.message.rows, now)
                self._on_ack(letter.message, now)
            case PingRequest():
                self._hear(letter.message.rows, now)
                self._run_errand(letter.message, sender, now)
            case Nack():
                if self._probe is not None and self._probe.number == letter.message.probe:
                    self._probe.nacks += 1
            case Sync():
                self._on_sync(sender, letter.message)
            case Page():
                self._on_page(letter.message, now)
            case Carried():
                self.out.carried.append((sender, letter.message.data))

    def _believed(self, letter: Datagram, now: float) -> bool:
        """Whether a letter is no repeat, and of its sender's present life. Who goes by our own name, or by a
        life that another one has followed, is told what is known of that name, and nothing of it is taken."""
        sender = letter.sender
        if sender.name == self.own_row.name:
            if sender.start_id != self.own_row.start_id:
                self._take_row(sender, now)
                if isinstance(letter.message, Ping | Sync):  # danger: answers to answers would never end
                    self._post(sender.at, Page((self.own_row,)))
            self.dropped["own name"] += 1
            return False
        known = self.peers.get(sender.name)
        if known is not None and known.row.start_id != sender.start_id and known.row.rank() > sender.rank():
            self.dropped["earlier life"] += 1
            if isinstance(letter.message, Ping | Sync):
                self._send(sender, Page((known.row,)))
            return False
        self._take_row(sender, now)
        known = self.peers.get(sender.name)
        if known is None or known.row.start_id != sender.start_id or not _fresh(known, letter.serial):
            self.dropped["repeated"] += 1
            return False
        worse = known.row.state != ALIVE and known.row.incarnation >= sender.incarnation
        if worse and sender.state == ALIVE and not isinstance(letter.message, Page):
            self._send(sender, Page((known.row,)))  # it objects by a higher incarnation, if it can
        return True

    def _hear(self, rows: Iterable[MemberRow], now: float) -> None:
        for row in rows:
            self._take_row(row, now)

    def _on_ack(self, m: Ack, now: float) -> None:
        errand = self._errands.pop(m.probe, None)
        if errand is not None:
            self._send(errand.for_whom, Ack(errand.number))
        elif self._probe is not None and self._probe.number == m.probe:
            self._probe = None
            self._feel(-1)

    def _run_errand(self, m: PingRequest, sender: MemberRow, now: float) -> None:
        """Its number is ours, so that its answer is not taken for another one's."""
        self._probes += 1
        self._errands[self._probes] = _Errand(m.probe, sender, now + self.settings.answer_ms)
        self._send(m.target, Ping(self._probes, m.target.start_id))

    # --- What is known ------------------------------------------------------------------------------------

    def know(self, row: MemberRow, now: float) -> None:
        """Take in what is known of another member from elsewhere, as nothing new to tell on."""
        if row.name != self.own_row.name and self._take_row(row, now):
            del self._news[row.name]

    def _take_row(self, row: MemberRow, now: float) -> bool:
        """Take in what is said of a member; whether that was new."""
        if row.name == self.own_row.name:
            return self._of_me(row, now)
        known = self.peers.get(row.name)
        if known is None:
            if row.state == DEAD and row.incarnation <= 0:
                return False
            known = self.peers[row.name] = PeerState(row, now)
            self._noted(None, row)
        else:
            if row.state == SUSPECT and known.row.rank() == row.rank():
                return self._confirmed(known, row.by)
            if row.rank() <= known.row.rank():
                return False
            if known.row.state == SUSPECT and row.state == ALIVE and row.start_id == known.row.start_id:
                self.false_suspicions += 1
            if row.start_id != known.row.start_id:
                known.serial = known.came = 0
            self._noted(known.row, row)
            known.row, known.since = row, now
            known.suspected_by = set()
        if row.state == SUSPECT:
            known.suspected_by.add(row.by)
        self._news[row.name] = 0
        self.out.changes.append(row)
        return True

    def _confirmed(self, known: PeerState, by: str) -> bool:
        """Another one suspects it as well: told on, as far as that shortens anybody's patience."""
        if by in known.suspected_by or len(known.suspected_by) > CONFIRMED:
            return False
        known.suspected_by.add(by)
        known.row = structs.replace(known.row, by=by)
        self._news[known.row.name] = 0
        return True

    def _of_me(self, row: MemberRow, now: float) -> bool:
        """What is said of our own name: an objection is a higher incarnation, ours alone to take."""
        if row.start_id == self.own_row.start_id:
            if row.state == ALIVE or row.incarnation < self.own_row.incarnation or self.left:
                return False
            self._raise(row.incarnation)
            self.refuted += 1
            self._feel(1)
            return True
        if row.rank() <= self.own_row.rank():
            return False
        if row.state == ALIVE:
            self._claims = [at for at in self._claims if now - at < self._contest_ms()] + [now]
        # Once is our own earlier life, of which some have not heard that it is over. Danger: two that go by
        # one name would outbid each other without end; the lower life gives way, and both are told of.
        if len(self._claims) > 1 and row.start_id > self.own_row.start_id:
            self.contested = True
            return False
        self.contested = len(self._claims) > 1
        self._raise(row.incarnation)
        return True

    def _contest_ms(self) -> float:
        return 60 * self.settings.period_ms

    def _raise(self, above: int) -> None:
        self._noted(self.own_row, me := structs.replace(self.own_row, incarnation=above + 1))
        self.own_row = me
        self._news[self.own_row.name] = 0

    def carry(self, to: MemberRow, data: bytes) -> None:
        """Send something of no meaning to membership; it may be lost, and never comes twice."""
        self._send(to, Carried(data))

    def leave(self, now: float) -> None:
        """Say that we go, to as many as hear of things at first hand; nothing is sent after that."""
        self.own_row = structs.replace(self.own_row, incarnation=self.own_row.incarnation + 1, state=LEFT)
        there = self.alive()
        for row in self._rng.sample(there, min(len(there), REPEATS * HELPERS)):
            self._send(row, Page((self.own_row,)))
        self.left = True

    # --- Sending ------------------------------------------------------------------------------------------

    def _send(self, to: MemberRow, message: Message) -> None:
        self._post(to.at, message, to.name)

    def _post(self, at: str, message: Message, name: str = "") -> None:
        self._serial += 1
        if isinstance(message, Ping | Ack | PingRequest):
            rows = (*message.rows, *self._told_on(self._room(message)))
            message = structs.replace(message, rows=rows)
        self.out.letters.append((name, at, self._letter(message)))

    def _letter(self, message: Message) -> Datagram:
        return Datagram(self.settings.cluster, self.own_row, self._serial, message)

    def _room(self, message: Message) -> int:
        """Bytes that rows may take beside a message."""
        return LONGEST - HEAD - size(self._letter(message))

    def _told_on(self, room: int) -> Iterator[MemberRow]:
        """What is new, the least told first, as much as fits; what was told often enough is news no more."""
        most = REPEATS * math.ceil(math.log10(len(self.peers) + 2))
        for name in sorted(self._news, key=lambda n: self._news[n]):
            row = self.own_row if name == self.own_row.name else self.peers[name].row
            room -= size(row)
            if room < 0:
                return
            self._news[name] += 1
            if self._news[name] >= most:
                del self._news[name]
            yield row

    def _fitting(self, rows: Iterable[MemberRow]) -> Iterator[MemberRow]:
        room = self._room(Page(()))
        for row in rows:
            room -= size(row)
            if room < 0:
                return
            yield row


def _bucket(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode()) % BUCKETS


def _digest(row: MemberRow) -> int:
    """A suspicion is none of it: it passes, and is told by itself."""
    state = ALIVE if row.state == SUSPECT else row.state
    return xxhash.xxh32_intdigest(f"{row.name}/{row.start_id}/{row.incarnation}/{state}".encode())


def _fresh(known: PeerState, serial: int) -> bool:
    """Whether a serial is new of its sender: above all so far, or within the window behind and not seen."""
    if serial > known.serial:
        ahead = serial - known.serial
        known.came = ((known.came << ahead) | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
        known.serial = serial
        return True
    behind = known.serial - serial
    if behind >= WINDOW or known.came >> behind & 1:
        return False
    known.came |= 1 << behind
    return True
