"""The state of the list service: server records with revisions, and leases. No clock, sockets or files.

A write has three steps: a `plan_...` method returns the log entry to write (or refuses it), the caller
makes the entry durable, and `apply` carries it out. So no reader sees a state that a crash could undo, and
applying the same entries again gives the same state. Times are milliseconds of a monotonic clock.
Deadlines are not part of entries, because such a clock does not survive a restart of its machine: after
loading, every registration and lease gets its full TTL again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, replace

READY, DRAINING, GONE = "ready", "draining", "gone"
Entry = dict[str, object]
WritePlan = Callable[["Store", float], Entry | None]  # takes the store and the time on its clock


class RefusedError(Exception):
    """A write that the store refuses; nothing was changed. `status` is the HTTP status, `field` the field
    at fault."""

    def __init__(self, status: int, why: str, field: str = "") -> None:
        super().__init__(status, why, field)
        self.status, self.why, self.field = status, why, field

    def __str__(self) -> str:
        return self.why


@dataclass(slots=True, frozen=True)
class Record:
    """One server as registered, and its current state."""

    id: str
    address: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at_ms: float = 0.0
    ttl_ms: float = 10_000.0
    draining: bool = False
    well: bool = True  # as reported by the checker
    registered: int = 0  # revision of its registration, which identifies the incarnation that may renew it
    revision: int = 0  # of the last change

    def same_registration(self, other: Record) -> bool:
        """Whether `other` registers the same values."""
        own = (self.address, self.zone, self.kind, self.cell, self.weight, self.started_at_ms, self.ttl_ms)
        return own == (
            other.address,
            other.zone,
            other.kind,
            other.cell,
            other.weight,
            other.started_at_ms,
            other.ttl_ms,
        )

    def lifecycle(self) -> str:
        """The state told to gateways. Like a draining server, one that is not well gets no new requests."""
        return DRAINING if self.draining or not self.well else READY


@dataclass(slots=True, frozen=True)
class Lease:
    """A lease: its holder and fencing token. Without a holder it is free, and the next grant gets a higher
    token."""

    name: str
    holder: str
    token: int
    ttl_ms: float


@dataclass(slots=True, frozen=True)
class Rules:
    """Limits of the store."""

    history: int = 10_000  # changes kept for watchers
    # Above this share of servers that are silent at once, none is expired: the fault is more likely on this
    # side.
    max_silent_share: float = 0.5
    max_unhealthy_share: float = 0.5  # at most this share of servers is taken out of service by the checker
    drift: float = 0.01  # by which a holder's clock may run slower than the clock here


class Store:
    """All records and leases, and the history of changes."""

    def __init__(self, rules: Rules, first_revision: int = 0) -> None:
        """`first_revision`: the revision of a new store, above all revisions of an earlier store whose
        files are lost."""
        self.rules = rules
        # Of the last change, and of the last change that is no longer in the history.
        self.revision = self.compacted_revision = first_revision
        self.token = 0
        self.records: dict[str, Record] = {}
        self.leases: dict[str, Lease] = {}
        self.withheld_expiries = 0  # overdue records that are kept because too many are overdue
        self._deadlines: dict[str, float] = {}  # of registrations
        self._lease_deadlines: dict[str, float] = {}
        self._history: deque[tuple[int, str]] = deque()  # revision and server id
        # for each recently expired server, the time until which it counts as silent
        self._recent_expiries: list[float] = []

    # --- Reading ------------------------------------------------------------------------------------------

    def changes(self, after: int) -> list[tuple[str, Record | None]] | None:
        """The changes after a revision, each server once; None if the history does not reach back that far
        or the revision is in the future."""
        if not self.compacted_revision <= after <= self.revision:
            return None
        changed = dict.fromkeys(name for revision, name in self._history_after(after))
        return [(name, self.records.get(name)) for name in changed]

    def _history_after(self, after: int) -> Iterable[tuple[int, str]]:
        newer = []
        for revision, name in reversed(self._history):
            if revision <= after:
                break
            newer.append((revision, name))
        return reversed(newer)

    def active_lease(self, name: str, now: float) -> Lease | None:
        """The lease if it is held now, otherwise None."""
        lease = self.leases.get(name)
        return lease if lease is not None and lease.holder and now < self._lease_deadlines[name] else None

    # --- Servers ------------------------------------------------------------------------------------------

    def plan_register(self, record: Record, expect: int | None = None) -> Entry | None:
        """Register a server; None if the record is already there. `expect` is the current revision that
        the caller assumes, 0 if there is none.

        Draining and health persist for the lifetime of a server process: registering again does not undo a
        drain, but a restarted server (a later `started_at_ms`) begins without them.
        """
        existing = self.records.get(record.id)
        if existing is not None and record.started_at_ms < existing.started_at_ms:
            raise RefusedError(
                409,
                f"a later life has registered, started at {existing.started_at_ms:.0f}",
                "startedAtMs",
            )
        if existing is not None and record.same_registration(existing):
            return None
        self._check_expected_revision(record.id, expect)
        same_incarnation = existing is not None and record.started_at_ms == existing.started_at_ms
        revision = self.revision + 1
        return self._put_entry(
            replace(
                record,
                draining=same_incarnation and existing.draining,
                well=not same_incarnation or existing.well,
                registered=revision,
                revision=revision,
            )
        )

    def renew(self, name: str, registered: int | None, now: float) -> Record:
        """Renew a registration. Nothing is written, since a restart of the service gives every server its
        full TTL."""
        record = self._existing_record(name)
        if registered is not None and registered != record.registered:
            raise RefusedError(409, f"registered anew as {record.registered}", "registered")
        self._deadlines[name] = now + record.ttl_ms
        return record

    def plan_drain(self, name: str, draining: bool, expect: int | None = None) -> Entry | None:
        """Drain a server or undo that; None if nothing changes."""
        if name not in self.records:
            self._check_expected_revision(name, expect)
        record = self._existing_record(name)
        if record.draining == draining:
            return None
        self._check_expected_revision(name, expect)
        return self._put_entry(replace(record, draining=draining, revision=self.revision + 1))

    def plan_verdict(self, name: str, well: bool) -> Entry | None:
        """Record the checker's verdict; None if nothing changes. Refused if too many servers would be
        unhealthy."""
        record = self._existing_record(name)
        if record.well == well:
            return None
        unwell = sum(not r.well for r in self.records.values())
        if not well and unwell + 1 > self.rules.max_unhealthy_share * len(self.records):
            raise RefusedError(409, f"{unwell} of {len(self.records)} servers are out by verdicts", "well")
        return self._put_entry(replace(record, well=well, revision=self.revision + 1))

    def plan_deregister(self, name: str, expect: int | None = None) -> Entry | None:
        """Remove a server; None if it is not registered."""
        if name not in self.records:
            return None
        self._check_expected_revision(name, expect)
        return {"op": "del", "revision": self.revision + 1, "id": name}

    def overdue(self, now: float) -> list[str]:
        """Servers that have not renewed in time and may be expired.

        If more than the allowed share of servers is silent at once, the service itself is more likely cut
        off, and removing them all would stop all traffic: none is returned. Overdue servers count as
        silent, and so do servers that expired less than one TTL ago.
        """
        self._recent_expiries = [
            counted_until for counted_until in self._recent_expiries if counted_until > now
        ]
        overdue = [name for name, deadline in self._deadlines.items() if deadline <= now]
        silent, counted_servers = (
            len(overdue) + len(self._recent_expiries),
            len(self.records) + len(self._recent_expiries),
        )
        self.withheld_expiries = len(overdue) if silent > self.rules.max_silent_share * counted_servers else 0
        return [] if self.withheld_expiries else overdue

    def plan_expire(self, name: str, now: float) -> Entry | None:
        """Remove a server whose TTL has passed; None if it has renewed in the meantime or is gone."""
        if name not in self.records or self._deadlines[name] > now:
            return None
        return {"op": "del", "revision": self.revision + 1, "id": name, "expired": True}

    def _existing_record(self, name: str) -> Record:
        record = self.records.get(name)
        if record is None:
            raise RefusedError(404, f"no server {name}", "id")
        return record

    def _check_expected_revision(self, name: str, expect: int | None) -> None:
        record = self.records.get(name)
        revision = record.revision if record is not None else 0
        if expect is not None and expect != revision:
            raise RefusedError(409, f"its revision is {revision}, not {expect}", "expect")

    @staticmethod
    def _put_entry(record: Record) -> Entry:
        return {"op": "put", "revision": record.revision, "record": asdict(record)}

    # --- Leases -------------------------------------------------------------------------------------------

    def plan_acquire(self, name: str, holder: str, ttl_ms: float, now: float) -> Entry | None:
        """Acquire a lease; None if this holder already has it with this TTL. A new grant gets a token
        higher than all earlier ones."""
        lease = self.active_lease(name, now)
        if lease is not None and lease.holder != holder:
            raise RefusedError(409, f"held by {lease.holder}", "holder")
        if lease is not None and lease.ttl_ms == ttl_ms:
            return None  # a repeated call, for example after a lost answer: same grant, renewed by the caller
        token = self.token + 1 if lease is None else lease.token
        return {"op": "lease", **asdict(Lease(name, holder, token, ttl_ms))}

    def renew_lease(self, name: str, holder: str, token: int, now: float) -> Lease:
        """Renew a lease; nothing is written. Raises RefusedError if it is not held with this token."""
        lease = self.active_lease(name, now)
        if lease is None or lease.holder != holder or lease.token != token:
            raise RefusedError(409, "not held" if lease is None else f"held by {lease.holder}", "token")
        self._lease_deadlines[name] = now + self._lease_duration_ms(lease)
        return lease

    def plan_release(self, name: str, holder: str, token: int) -> Entry | None:
        """Release a lease; None if it is no longer held by this grant."""
        lease = self.leases.get(name)
        if lease is None or (lease.holder, lease.token) != (holder, token):
            return None
        return {"op": "lease", **asdict(replace(lease, holder=""))}

    def check_token(self, name: str, token: int) -> None:
        """Fencing: refuse a write by a former holder once the lease was granted again."""
        lease = self.leases.get(name)
        newest = lease.token if lease is not None else 0
        if token != newest:
            raise RefusedError(409, f"the newest token of {name} is {newest}", "token")

    def lease_remaining_ms(self, name: str, now: float) -> float:
        """Remaining time of a lease, in ms."""
        return max(self._lease_deadlines.get(name, now) - now, 0.0)

    def _lease_duration_ms(self, lease: Lease) -> float:
        """How long a lease is blocked here after a renewal arrives. The holder counts from when it sent
        the renewal, by a clock that may run slow, so the TTL is extended by the drift."""
        return lease.ttl_ms * (1 + self.rules.drift)

    # --- Entries ------------------------------------------------------------------------------------------

    def apply(self, entry: Entry, now: float) -> None:
        """Carry out an entry that is durable."""
        if entry["op"] == "lease":
            lease = Lease(*(entry[name] for name in ("name", "holder", "token", "ttl_ms")))
            self.leases[lease.name] = lease
            self.token = max(self.token, lease.token)
            self._lease_deadlines[lease.name] = now + self._lease_duration_ms(lease)
            return
        name = entry["id"] if entry["op"] == "del" else entry["record"]["id"]
        if entry["op"] == "del":
            record = self.records.pop(name)
            del self._deadlines[name]
            if entry.get("expired"):
                self._recent_expiries.append(now + record.ttl_ms)
        else:
            record = Record(**entry["record"])
            if name not in self.records or self.records[name].registered != record.registered:
                self._deadlines[name] = now + record.ttl_ms
            self.records[name] = record
        self.revision = entry["revision"]
        self._history.append((self.revision, name))
        while len(self._history) > self.rules.history:
            self.compacted_revision = self._history.popleft()[0]

    def snapshot(self) -> Entry:
        """The whole state except the history; watchers that ask for earlier changes get the whole list."""
        return {
            "revision": self.revision,
            "token": self.token,
            "records": [asdict(record) for record in self.records.values()],
            "leases": [asdict(lease) for lease in self.leases.values()],
        }

    @classmethod
    def restored(cls, rules: Rules, state: Entry, now: float) -> Store:
        """A store from a snapshot. Registrations and leases get their full TTL: they may have been renewed
        just before the service stopped."""
        store = cls(rules, int(state["revision"]))
        store.token = int(state["token"])
        for raw in state["records"]:
            record = Record(**raw)
            store.records[record.id] = record
        for raw in state["leases"]:
            lease = Lease(**raw)
            store.leases[lease.name] = lease
        store.restart_deadlines(now)
        return store

    def restart_deadlines(self, now: float) -> None:
        """Give every registration and lease its full TTL from now on, after a start during which no
        renewal could arrive."""
        for name, record in self.records.items():
            self._deadlines[name] = now + record.ttl_ms
        for name, lease in self.leases.items():
            self._lease_deadlines[name] = now + self._lease_duration_ms(lease)
        self._recent_expiries.clear()
