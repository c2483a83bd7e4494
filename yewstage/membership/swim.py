"""Failure detection by SWIM with suspicion and Lifeguard's local health multiplier, as a state machine
without I/O.

The caller passes in datagrams and the current time, and takes out datagrams to send and changed rows
(`Output`). Times are milliseconds of this process's own clock; they are never compared with the clock of
another machine.

In each period one member is probed, first by a ping, then indirectly through other members. A member that
does not answer becomes suspect, and dead if it does not refute that before the suspicion time-out. A member
whose own probes go unanswered, or which is suspected itself, raises its local health multiplier: it probes
more slowly and waits longer for answers. New rows are attached a limited number of times to messages that are
sent anyway; anti-entropy by digests repairs what is lost.

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
    DEAD,
    DIGEST_BUCKETS,
    LEFT,
    MAC_BYTES,
    MAX_DATAGRAM_BYTES,
    SUSPECT,
    Ack,
    Datagram,
    MemberRow,
    Message,
    Nack,
    Page,
    Payload,
    Ping,
    PingRequest,
    Sync,
    encoded_bytes,
)

INDIRECT_PROBE_MEMBERS = 3  # asked to ping a member that has not answered our own ping
MAX_LOCAL_HEALTH = 8  # limit of the local health multiplier; at it periods are nine times as long
RETRANSMIT_FACTOR = 4  # times the logarithm of the number of members: how often a new row is sent
MAX_CONFIRMATIONS = 3  # members that confirm a suspicion, from which on the time-out is the shortest
MAX_SUSPICION_FACTOR = 6.0  # the longest suspicion time-out over the shortest
SERIAL_WINDOW = 1024  # serials below a sender's highest that are still accepted, each once
SYNC_INTERVAL_PERIODS = 5.0  # mean time between two syncs, which also retry dead members and seeds
CATCH_UP_INTERVAL_PERIODS = 0.1  # time to the next sync after one that brought something new
RETENTION_PERIODS = 3600.0  # dead members are kept this long, so that a partition can heal this much later
# bytes beside the encoded datagram without rows: version byte, MAC, and a longer length prefix of the rows
DATAGRAM_OVERHEAD_BYTES = 1 + MAC_BYTES + 4


@dataclass(frozen=True, slots=True)
class Settings:
    """Parameters of the protocol. All members of a cluster must have the same."""

    cluster: str
    period_ms: float = 1000.0
    answer_ms: float = 300.0  # time allowed for the answer to a direct ping
    suspicion: float = 4.0  # the shortest suspicion time-out, in periods per decimal logarithm of the members


@dataclass(slots=True)
class PeerState:
    """What is known of another member."""

    row: MemberRow
    state_since: float  # when it entered its present state
    suspected_by: set[str] = field(default_factory=set)
    highest_serial: int = 0  # of datagrams of its present process
    seen_serials: int = 0  # bit i is set if the serial i below the highest was received


@dataclass(slots=True)
class _Probe:
    number: int
    target: MemberRow
    indirect_at: float  # when indirect probes are sent if there is no answer
    ends_at: float
    ping_requests: int = 0  # members that were asked to ping the target
    nacks: int = 0


@dataclass(slots=True)
class _IndirectProbe:
    """A ping that this member sends for another member."""

    requester_number: int  # the requester's number of the probe
    requester: MemberRow
    ends_at: float


@dataclass(slots=True)
class Output:
    """Everything produced since the last call of `take_output`: datagrams to send, each with the receiver's
    name (empty if unknown) and address, and rows that changed."""

    datagrams: list[tuple[str, str, Datagram]] = field(default_factory=list)
    changes: list[MemberRow] = field(default_factory=list)
    # sender and data of each payload received
    payloads: list[tuple[MemberRow, bytes]] = field(default_factory=list)


class Swim:
    """One member's instance of the protocol."""

    def __init__(
        self, own_row: MemberRow, settings: Settings, seeds: Iterable[str], rng: random.Random, now: float
    ) -> None:
        """`own_row` needs an incarnation of at least 1 and a `start_id` that no earlier process of its name
        has used. `seeds` are addresses of members to join through.
        """
        self.own_row, self.settings, self.seeds, self._rng = own_row, settings, tuple(seeds), rng
        self.peer_states: dict[str, PeerState] = {}
        self.local_health = 0  # the local health multiplier: 0 is healthy, MAX_LOCAL_HEALTH the worst
        self._output = Output()
        self.dropped: Counter[str] = Counter()  # datagrams, by reason
        self.suspicions = self.false_suspicions = self.refuted = 0
        self.name_is_contested = False  # another live process uses our name and takes precedence
        self._conflicts: list[float] = []  # when other live processes were seen to use our name
        self._last_serial = 0
        self._transmissions: dict[str, int] = {}  # by name of each new row: how often it was sent
        self._probe_order: list[str] = []
        self._probe: _Probe | None = None
        self._indirect_probes: dict[int, _IndirectProbe] = {}
        self._last_probe_number = 0
        self._next_probe_at = now + rng.random() * settings.period_ms
        self._next_sync_at = now
        self._last_active_at = now
        self.has_left = False
        self._digests = [0] * DIGEST_BUCKETS
        self._update_digests(None, own_row)

    # --- Reading ------------------------------------------------------------------------------------------

    def rows(self) -> list[MemberRow]:
        """The rows of all known members, this one first."""
        return [self.own_row, *(other.row for other in self.peer_states.values())]

    def alive(self) -> list[MemberRow]:
        """The rows of the other members that are alive or suspect."""
        return [other.row for other in self.peer_states.values() if other.row.state in (ALIVE, SUSPECT)]

    def next_tick_at(self) -> float:
        """The time by which `tick` has to be called."""
        times = [self._next_probe_at, self._next_sync_at]
        if self._probe is not None:
            times.append(self._probe.ends_at if self._probe.ping_requests else self._probe.indirect_at)
        times += [indirect.ends_at for indirect in self._indirect_probes.values()]
        return min(times)

    def take_output(self) -> Output:
        """Take everything produced since the last call; the caller sends the datagrams."""
        output, self._output = self._output, Output()
        return output

    def suspicion_timeout_ms(self, confirmations: int) -> float:
        """How long a suspect has to refute; shorter the more other members confirm the suspicion.

        shortest = suspicion x max(1, log10(members)) x period; longest = MAX_SUSPICION_FACTOR x shortest. The
        time-out falls from the longest to the shortest with the logarithm of the number of confirmations, up
        to MAX_CONFIRMATIONS or to the number of members that can confirm, if that is less.
        """
        members = len(self.alive()) + 1
        shortest = self.settings.suspicion * max(1.0, math.log10(members)) * self.settings.period_ms
        needed = min(MAX_CONFIRMATIONS, max(members - 2, 0))
        if confirmations >= needed:
            return shortest
        share = math.log(confirmations + 1) / math.log(needed + 1)
        return shortest * (MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1) * share)

    # --- Time ---------------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Do all that is due by `now`."""
        self._compensate_pause(now)
        if self.has_left:
            self._next_probe_at = self._next_sync_at = float("inf")
            return
        probe = self._probe
        if probe is not None and not probe.ping_requests and now >= probe.indirect_at:
            self._send_ping_requests(probe)
        if probe is not None and now >= probe.ends_at:
            self._fail_probe(probe, now)
        for number, indirect in list(self._indirect_probes.items()):
            if now >= indirect.ends_at:
                del self._indirect_probes[number]
                self._send(indirect.requester, Nack(indirect.requester_number))
        self._expire_members(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + self._probe_interval_ms()
            self._start_probe(now)
        if now >= self._next_sync_at:
            self._next_sync_at = now + SYNC_INTERVAL_PERIODS * self.settings.period_ms * (
                0.5 + self._rng.random()
            )
            self._send_sync(now)

    def _compensate_pause(self, now: float) -> None:
        """After this process was paused for more than a period, drop its open probes, extend all suspicions
        by the pause and raise the local health multiplier. Otherwise it would declare members dead whose
        answers and refutations it could not receive."""
        paused_ms = now - max(self._last_active_at, self.next_tick_at())
        self._last_active_at = now
        if paused_ms <= self.settings.period_ms:
            return
        self._probe, self._indirect_probes = None, {}
        self.local_health = min(self.local_health + 1, MAX_LOCAL_HEALTH)
        for other in self.peer_states.values():
            other.state_since += paused_ms

    def _probe_interval_ms(self) -> float:
        return self.settings.period_ms * (self.local_health + 1)

    # --- Probes -------------------------------------------------------------------------------------------

    def _start_probe(self, now: float) -> None:
        if self._probe is not None:
            return  # the previous probe is still open, as ticks come late
        while self._probe_order or self.alive():
            if not self._probe_order:  # every member is probed once, in random order, before any is again
                self._probe_order = [row.name for row in self.alive()]
                self._rng.shuffle(self._probe_order)
            other = self.peer_states.get(self._probe_order.pop())
            if other is None or other.row.state not in (ALIVE, SUSPECT):
                continue
            self._last_probe_number += 1
            answer_ms = self.settings.answer_ms * (self.local_health + 1)
            self._probe = _Probe(
                self._last_probe_number, other.row, now + answer_ms, now + self._probe_interval_ms()
            )
            # The ping tells a suspect of the suspicion, so that it can refute.
            rows = (other.row,) if other.row.state == SUSPECT else ()
            self._send(other.row, Ping(self._last_probe_number, other.row.start_id, rows))
            return

    def _send_ping_requests(self, probe: _Probe) -> None:
        candidates = [row for row in self.alive() if row.name != probe.target.name and row.state == ALIVE]
        chosen = self._rng.sample(candidates, min(INDIRECT_PROBE_MEMBERS, len(candidates)))
        probe.ping_requests = len(chosen)
        if not chosen:
            probe.indirect_at = probe.ends_at
        for row in chosen:
            self._send(row, PingRequest(probe.number, probe.target))

    def _fail_probe(self, probe: _Probe, now: float) -> None:
        """Suspect the target of a probe without an answer. Each ping request that brought not even a nack
        raises the local health multiplier by one, as the fault may be our own; so does a probe for which no
        other member could be asked."""
        self._probe = None
        missing_nacks = probe.ping_requests - probe.nacks
        self._adjust_health(missing_nacks if probe.ping_requests else 1)
        other = self.peer_states.get(probe.target.name)
        if other is not None and other.row.rank() == probe.target.rank() and other.row.state == ALIVE:
            self.suspicions += 1
            self._merge_row(structs.replace(other.row, state=SUSPECT, reported_by=self.own_row.name), now)
        elif other is not None and other.row.state == SUSPECT and other.row.start_id == probe.target.start_id:
            self._merge_row(structs.replace(other.row, reported_by=self.own_row.name), now)

    def _adjust_health(self, change: int) -> None:
        self.local_health = min(max(self.local_health + change, 0), MAX_LOCAL_HEALTH)

    def _expire_members(self, now: float) -> None:
        """Declare suspects dead after the suspicion time-out, and remove members that are dead or have left
        after the retention period."""
        for other in list(self.peer_states.values()):
            state, elapsed_ms = other.row.state, now - other.state_since
            if state == SUSPECT and elapsed_ms >= self.suspicion_timeout_ms(len(other.suspected_by) - 1):
                self._merge_row(structs.replace(other.row, state=DEAD, reported_by=self.own_row.name), now)
            elif state in (DEAD, LEFT) and elapsed_ms >= RETENTION_PERIODS * self.settings.period_ms:
                del self.peer_states[other.row.name]
                self._update_digests(other.row, None)
                self._transmissions.pop(other.row.name, None)

    # --- Anti-entropy -------------------------------------------------------------------------------------

    def _send_sync(self, now: float) -> None:
        """Send our digests to a random live member and, at random, also to a dead member or a seed. The
        latter lets two partitions that hold each other dead find each other again."""
        members = self.alive()
        digests = Sync(self.digests())
        if members:
            self._send(self._rng.choice(members), digests)
        dead_addresses = [other.row.address for other in self.peer_states.values() if other.row.state == DEAD]
        live_addresses = {row.address for row in members}
        unreached = [
            at
            for at in (*dead_addresses, *self.seeds)
            if at not in live_addresses and at != self.own_row.address
        ]
        if unreached and (not members or self._rng.random() < 0.5):
            self._send_to_address(self._rng.choice(unreached), digests)

    def digests(self) -> tuple[int, ...]:
        """The digest of each bucket of rows."""
        return tuple(self._digests)

    def _update_digests(self, old: MemberRow | None, new: MemberRow | None) -> None:
        """Replace a row in the digests; `old` is None for an added row, `new` for a removed one."""
        for row in (old, new):
            if row is not None:
                self._digests[_bucket(row.name)] ^= _digest(row)

    def _on_sync(self, sender: MemberRow, sync: Sync) -> None:
        own_digests = self.digests()
        if len(sync.digests) != DIGEST_BUCKETS:
            return
        differing = {i for i in range(DIGEST_BUCKETS) if own_digests[i] != sync.digests[i]}
        rows = [row for row in self.rows() if _bucket(row.name) in differing]
        if rows:
            self._rng.shuffle(rows)
            self._send(sender, Page(tuple(self._rows_that_fit(rows))))

    def _on_page(self, page: Page, now: float) -> None:
        changed = [self._merge_row(row, now) for row in page.rows]
        if any(changed):
            catch_up_at = now + CATCH_UP_INTERVAL_PERIODS * self.settings.period_ms
            self._next_sync_at = min(self._next_sync_at, catch_up_at)

    # --- Datagrams ----------------------------------------------------------------------------------------

    def handle(self, now: float, datagram: Datagram) -> None:
        """Process one datagram. Datagrams may arrive late, repeatedly and in any order."""
        self._compensate_pause(now)
        sender = datagram.sender
        if self.has_left or not self._accept_sender(datagram, now):
            return
        match datagram.message:
            case Ping():
                self._merge_rows(datagram.message.rows, now)
                if datagram.message.start_id == self.own_row.start_id:
                    self._send(sender, Ack(datagram.message.probe_number))
            case Ack():
                self._merge_rows(datagram.message.rows, now)
                self._on_ack(datagram.message, now)
            case PingRequest():
                self._merge_rows(datagram.message.rows, now)
                self._on_ping_request(datagram.message, sender, now)
            case Nack():
                if self._probe is not None and self._probe.number == datagram.message.probe_number:
                    self._probe.nacks += 1
            case Sync():
                self._on_sync(sender, datagram.message)
            case Page():
                self._on_page(datagram.message, now)
            case Payload():
                self._output.payloads.append((sender, datagram.message.data))

    def _accept_sender(self, datagram: Datagram, now: float) -> bool:
        """Merge the sender's row; True if the datagram is no duplicate and its sender is the present process
        of its name. Another process with our own name, or one that a newer process has replaced, is sent the
        row that supersedes its own, and its message is dropped."""
        sender = datagram.sender
        if sender.name == self.own_row.name:
            if sender.start_id != self.own_row.start_id:
                self._merge_row(sender, now)
                # only these are answered: otherwise the two would answer each other's answers without end
                if isinstance(datagram.message, Ping | Sync):
                    self._send_to_address(sender.address, Page((self.own_row,)))
            self.dropped["own name"] += 1
            return False
        known = self.peer_states.get(sender.name)
        if known is not None and known.row.start_id != sender.start_id and known.row.rank() > sender.rank():
            self.dropped["earlier life"] += 1
            if isinstance(datagram.message, Ping | Sync):
                self._send(sender, Page((known.row,)))
            return False
        self._merge_row(sender, now)
        known = self.peer_states.get(sender.name)
        if (
            known is None
            or known.row.start_id != sender.start_id
            or not _is_new_serial(known, datagram.serial)
        ):
            self.dropped["repeated"] += 1
            return False
        not_alive = known.row.state != ALIVE and known.row.incarnation >= sender.incarnation
        if not_alive and sender.state == ALIVE and not isinstance(datagram.message, Page):
            self._send(sender, Page((known.row,)))  # so that it can refute with a higher incarnation
        return True

    def _merge_rows(self, rows: Iterable[MemberRow], now: float) -> None:
        for row in rows:
            self._merge_row(row, now)

    def _on_ack(self, ack: Ack, now: float) -> None:
        indirect = self._indirect_probes.pop(ack.probe_number, None)
        if indirect is not None:
            self._send(indirect.requester, Ack(indirect.requester_number))
        elif self._probe is not None and self._probe.number == ack.probe_number:
            self._probe = None
            self._adjust_health(-1)

    def _on_ping_request(self, request: PingRequest, sender: MemberRow, now: float) -> None:
        """Ping the target under a probe number of our own: the requester's number could equal one of ours."""
        self._last_probe_number += 1
        self._indirect_probes[self._last_probe_number] = _IndirectProbe(
            request.probe_number, sender, now + self.settings.answer_ms
        )
        self._send(request.target, Ping(self._last_probe_number, request.target.start_id))

    # --- Rows ---------------------------------------------------------------------------------------------

    def merge_known_row(self, row: MemberRow, now: float) -> None:
        """Merge a row of another member that was learnt outside the protocol, without disseminating it."""
        if row.name != self.own_row.name and self._merge_row(row, now):
            del self._transmissions[row.name]

    def _merge_row(self, row: MemberRow, now: float) -> bool:
        """Apply a row that a member has reported; True if it changed what is known."""
        if row.name == self.own_row.name:
            return self._merge_own_row(row, now)
        known = self.peer_states.get(row.name)
        if known is None:
            if row.state == DEAD and row.incarnation <= 0:
                return False
            known = self.peer_states[row.name] = PeerState(row, now)
            self._update_digests(None, row)
        else:
            if row.state == SUSPECT and known.row.rank() == row.rank():
                return self._add_confirmation(known, row.reported_by)
            if row.rank() <= known.row.rank():
                return False
            if known.row.state == SUSPECT and row.state == ALIVE and row.start_id == known.row.start_id:
                self.false_suspicions += 1
            if row.start_id != known.row.start_id:
                known.highest_serial = known.seen_serials = 0
            self._update_digests(known.row, row)
            known.row, known.state_since = row, now
            known.suspected_by = set()
        if row.state == SUSPECT:
            known.suspected_by.add(row.reported_by)
        self._transmissions[row.name] = 0
        self._output.changes.append(row)
        return True

    def _add_confirmation(self, known: PeerState, by: str) -> bool:
        """Record that another member suspects it as well, and disseminate that as long as it shortens the
        suspicion time-out."""
        if by in known.suspected_by or len(known.suspected_by) > MAX_CONFIRMATIONS:
            return False
        known.suspected_by.add(by)
        known.row = structs.replace(known.row, reported_by=by)
        self._transmissions[known.row.name] = 0
        return True

    def _merge_own_row(self, row: MemberRow, now: float) -> bool:
        """Apply a row under our own name. A suspicion or a death is refuted with a higher incarnation."""
        if row.start_id == self.own_row.start_id:
            if row.state == ALIVE or row.incarnation < self.own_row.incarnation or self.has_left:
                return False
            self._raise_incarnation(row.incarnation)
            self.refuted += 1
            self._adjust_health(1)
            return True
        if row.rank() <= self.own_row.rank():
            return False
        if row.state == ALIVE:
            self._conflicts = [at for at in self._conflicts if now - at < self._conflict_window_ms()] + [now]
        # A single conflict is usually our own earlier process, which some members still hold alive. After a
        # second one within the window the process with the lower `start_id` gives way, and both conflicts are
        # reported. Otherwise two live processes with one name would raise their incarnations without end.
        if len(self._conflicts) > 1 and row.start_id > self.own_row.start_id:
            self.name_is_contested = True
            return False
        self.name_is_contested = len(self._conflicts) > 1
        self._raise_incarnation(row.incarnation)
        return True

    def _conflict_window_ms(self) -> float:
        return 60 * self.settings.period_ms

    def _raise_incarnation(self, above: int) -> None:
        self._update_digests(self.own_row, new_row := structs.replace(self.own_row, incarnation=above + 1))
        self.own_row = new_row
        self._transmissions[self.own_row.name] = 0

    def send_payload(self, to: MemberRow, data: bytes) -> None:
        """Send data of a protocol on top of membership. It may be lost and is delivered at most once."""
        self._send(to, Payload(data))

    def leave(self, now: float) -> None:
        """Announce to a random sample of members that this one leaves; the others hear it by gossip. Nothing
        is sent afterwards."""
        self.own_row = structs.replace(self.own_row, incarnation=self.own_row.incarnation + 1, state=LEFT)
        members = self.alive()
        for row in self._rng.sample(members, min(len(members), RETRANSMIT_FACTOR * INDIRECT_PROBE_MEMBERS)):
            self._send(row, Page((self.own_row,)))
        self.has_left = True

    # --- Sending ------------------------------------------------------------------------------------------

    def _send(self, to: MemberRow, message: Message) -> None:
        self._send_to_address(to.address, message, to.name)

    def _send_to_address(self, at: str, message: Message, name: str = "") -> None:
        self._last_serial += 1
        if isinstance(message, Ping | Ack | PingRequest):
            rows = (*message.rows, *self._rows_to_disseminate(self._free_bytes(message)))
            message = structs.replace(message, rows=rows)
        self._output.datagrams.append((name, at, self._datagram(message)))

    def _datagram(self, message: Message) -> Datagram:
        return Datagram(self.settings.cluster, self.own_row, self._last_serial, message)

    def _free_bytes(self, message: Message) -> int:
        """Bytes that are left for rows in the datagram of a message."""
        return MAX_DATAGRAM_BYTES - DATAGRAM_OVERHEAD_BYTES - encoded_bytes(self._datagram(message))

    def _rows_to_disseminate(self, free_bytes: int) -> Iterator[MemberRow]:
        """New rows that fit, those sent least often first. A row is dropped from the new ones after
        RETRANSMIT_FACTOR times the logarithm of the members."""
        max_transmissions = RETRANSMIT_FACTOR * math.ceil(math.log10(len(self.peer_states) + 2))
        for name in sorted(self._transmissions, key=lambda n: self._transmissions[n]):
            row = self.own_row if name == self.own_row.name else self.peer_states[name].row
            free_bytes -= encoded_bytes(row)
            if free_bytes < 0:
                return
            self._transmissions[name] += 1
            if self._transmissions[name] >= max_transmissions:
                del self._transmissions[name]
            yield row

    def _rows_that_fit(self, rows: Iterable[MemberRow]) -> Iterator[MemberRow]:
        free_bytes = self._free_bytes(Page(()))
        for row in rows:
            free_bytes -= encoded_bytes(row)
            if free_bytes < 0:
                return
            yield row


def _bucket(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode()) % DIGEST_BUCKETS


def _digest(row: MemberRow) -> int:
    """Hash of a row. A suspect counts as alive: suspicions are short-lived and disseminated on their own."""
    state = ALIVE if row.state == SUSPECT else row.state
    return xxhash.xxh32_intdigest(f"{row.name}/{row.start_id}/{row.incarnation}/{state}".encode())


def _is_new_serial(known: PeerState, serial: int) -> bool:
    """Record a serial of a sender; False if it was received before or is too far below the highest to
    tell."""
    if serial > known.highest_serial:
        ahead = serial - known.highest_serial
        known.seen_serials = (
            ((known.seen_serials << ahead) | 1) & ((1 << SERIAL_WINDOW) - 1) if ahead < SERIAL_WINDOW else 1
        )
        known.highest_serial = serial
        return True
    behind = known.highest_serial - serial
    if behind >= SERIAL_WINDOW or known.seen_serials >> behind & 1:
        return False
    known.seen_serials |= 1 << behind
    return True
