"""The store: records, revisions and leases. Pure: no clock, no sockets, no files.

A write goes in three steps: `plan_...` says what entry it would make or why it is refused, the caller makes
the entry last, and `apply` brings it about. So nothing is seen that a crash could take back, and a store that
applies its entries again is the same store. Times are milliseconds on a clock that never runs backwards;
deadlines are no part of entries, since no clock outlives its machine: what is loaded is given its whole time
to live anew.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, replace

READY, DRAINING, GONE = "ready", "draining", "gone"
Entry = dict[str, object]
Plan = Callable[["Store", float], Entry | None]  # against which store, at what time on its clock


class RefusedError(Exception):
    """A write that the store does not take; nothing was changed."""

    def __init__(self, status: int, why: str, field: str = "") -> None:
        super().__init__(status, why, field)
        self.status, self.why, self.field = status, why, field

    def __str__(self) -> str:
        return self.why


@dataclass(slots=True, frozen=True)
class Record:
    """One server as it registered, and what was said of it since."""

    id: str
    address: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at_ms: float = 0.0
    ttl_ms: float = 10_000.0
    draining: bool = False
    well: bool = True  # by the checker's word
    registered: int = 0  # revision of its registration: the life that may renew it
    revision: int = 0  # of its last change

    def same_server(self, other: Record) -> bool:
        """Whether a registration says nothing new."""
        ours = (self.address, self.zone, self.kind, self.cell, self.weight, self.started_at_ms, self.ttl_ms)
        return ours == (
            other.address,
            other.zone,
            other.kind,
            other.cell,
            other.weight,
            other.started_at_ms,
            other.ttl_ms,
        )

    def lifecycle(self) -> str:
        """What gateways are told: one that is not well gets nothing new either."""
        return DRAINING if self.draining or not self.well else READY


@dataclass(slots=True, frozen=True)
class Lease:
    """Who holds a duty, and by which token; no holder: nobody does, and the next token is higher."""

    name: str
    holder: str
    token: int
    ttl_ms: float


@dataclass(slots=True, frozen=True)
class Rules:
    """What the store goes by."""

    history: int = 10_000  # changes that are kept for watchers
    # more than this part of the servers silent at one time: the fault is likelier ours
    most_gone: float = 0.5
    most_unwell: float = 0.5  # no more than this part is taken out of service by verdicts
    drift: float = 0.01  # by which a holder's clock may run slower than ours


class Store:
    """All that the service knows."""

    def __init__(self, rules: Rules, first: int = 0) -> None:
        """`first` is the revision that a new store begins at: above all of any earlier life."""
        self.rules = rules
        self.revision = self.floor = first  # the last change; the last one that is not in the history
        self.token = 0
        self.records: dict[str, Record] = {}
        self.leases: dict[str, Lease] = {}
        self.held_back = 0  # records past their time that are kept, since too many are
        self._deadlines: dict[str, float] = {}  # of records
        self._lease_ends: dict[str, float] = {}
        self._history: deque[tuple[int, str]] = deque()  # revision, server
        self._expired: list[float] = []  # until when each server that went of late still counts

    # --- Reading ------------------------------------------------------------------------------------------

    def changes(self, after: int) -> list[tuple[str, Record | None]] | None:
        """What has changed since a revision, each server once; None if that is not known any more or not
        yet."""
        if not self.floor <= after <= self.revision:
            return None
        changed = dict.fromkeys(name for revision, name in self._since(after))
        return [(name, self.records.get(name)) for name in changed]

    def _since(self, after: int) -> Iterable[tuple[int, str]]:
        newer = []
        for revision, name in reversed(self._history):
            if revision <= after:
                break
            newer.append((revision, name))
        return reversed(newer)

    def holder(self, name: str, now: float) -> Lease | None:
        """Who holds a duty now."""
        lease = self.leases.get(name)
        return lease if lease is not None and lease.holder and now < self._lease_ends[name] else None

    # --- Servers ------------------------------------------------------------------------------------------

    def plan_register(self, record: Record, expect: int | None = None) -> Entry | None:
        """A server's record; None if it stands there already. `expect`: its revision now, 0 if there is none.

        What was said of a server holds for its life: to register again does not undo a drain.
        """
        old = self.records.get(record.id)
        if old is not None and record.started_at_ms < old.started_at_ms:
            raise RefusedError(
                409, f"a later life has registered, started at {old.started_at_ms:.0f}", "startedAtMs"
            )
        if old is not None and record.same_server(old):
            return None
        self._expect(record.id, expect)
        same_life = old is not None and record.started_at_ms == old.started_at_ms
        revision = self.revision + 1
        return self._put(
            replace(
                record,
                draining=same_life and old.draining,
                well=not same_life or old.well,
                registered=revision,
                revision=revision,
            )
        )

    def renew(self, name: str, registered: int | None, now: float) -> Record:
        """A server lives on; nothing is written, for a restart gives it its whole time anew."""
        record = self._known(name)
        if registered is not None and registered != record.registered:
            raise RefusedError(409, f"registered anew as {record.registered}", "registered")
        self._deadlines[name] = now + record.ttl_ms
        return record

    def plan_drain(self, name: str, draining: bool, expect: int | None = None) -> Entry | None:
        """Nothing new to a server, or again; None if it is so already."""
        if name not in self.records:
            self._expect(name, expect)
        record = self._known(name)
        if record.draining == draining:
            return None
        self._expect(name, expect)
        return self._put(replace(record, draining=draining, revision=self.revision + 1))

    def plan_verdict(self, name: str, well: bool) -> Entry | None:
        """What a checker found; None if it is known."""
        record = self._known(name)
        if record.well == well:
            return None
        unwell = sum(not r.well for r in self.records.values())
        if not well and unwell + 1 > self.rules.most_unwell * len(self.records):
            raise RefusedError(409, f"{unwell} of {len(self.records)} servers are out by verdicts", "well")
        return self._put(replace(record, well=well, revision=self.revision + 1))

    def plan_deregister(self, name: str, expect: int | None = None) -> Entry | None:
        """A server is gone; None if it was."""
        if name not in self.records:
            return None
        self._expect(name, expect)
        return {"op": "del", "revision": self.revision + 1, "id": name}

    def overdue(self, now: float) -> list[str]:
        """Servers that have not renewed in time, and may go.

        Danger: when most fall silent at one time it is likelier that we do not hear them: a list without them
        would end all service. Those past their time count, and those that went within their own time to live.
        """
        self._expired = [until for until in self._expired if until > now]
        late = [name for name, deadline in self._deadlines.items() if deadline <= now]
        lost, all_of_late = len(late) + len(self._expired), len(self.records) + len(self._expired)
        self.held_back = len(late) if lost > self.rules.most_gone * all_of_late else 0
        return [] if self.held_back else late

    def plan_expire(self, name: str, now: float) -> Entry | None:
        """A server's time is up; None if it has renewed meanwhile or is gone."""
        if name not in self.records or self._deadlines[name] > now:
            return None
        return {"op": "del", "revision": self.revision + 1, "id": name, "expired": True}

    def _known(self, name: str) -> Record:
        record = self.records.get(name)
        if record is None:
            raise RefusedError(404, f"no server {name}", "id")
        return record

    def _expect(self, name: str, expect: int | None) -> None:
        record = self.records.get(name)
        revision = record.revision if record is not None else 0
        if expect is not None and expect != revision:
            raise RefusedError(409, f"its revision is {revision}, not {expect}", "expect")

    @staticmethod
    def _put(record: Record) -> Entry:
        return {"op": "put", "revision": record.revision, "record": asdict(record)}

    # --- Leases -------------------------------------------------------------------------------------------

    def plan_acquire(self, name: str, holder: str, ttl_ms: float, now: float) -> Entry | None:
        """Hold a duty; None if this holder does. The token is higher than any that was granted before."""
        lease = self.holder(name, now)
        if lease is not None and lease.holder != holder:
            raise RefusedError(409, f"held by {lease.holder}", "holder")
        if lease is not None and lease.ttl_ms == ttl_ms:
            return None  # its answer was lost: the same grant, from now on
        token = self.token + 1 if lease is None else lease.token
        return {"op": "lease", **asdict(Lease(name, holder, token, ttl_ms))}

    def renew_lease(self, name: str, holder: str, token: int, now: float) -> Lease:
        """Go on with a duty; nothing is written."""
        lease = self.holder(name, now)
        if lease is None or lease.holder != holder or lease.token != token:
            raise RefusedError(409, "not held" if lease is None else f"held by {lease.holder}", "token")
        self._lease_ends[name] = now + self._lease_ms(lease)
        return lease

    def plan_release(self, name: str, holder: str, token: int) -> Entry | None:
        """Give a duty up; None if it is not held by this grant any more."""
        lease = self.leases.get(name)
        if lease is None or (lease.holder, lease.token) != (holder, token):
            return None
        return {"op": "lease", **asdict(replace(lease, holder=""))}

    def check_token(self, name: str, token: int) -> None:
        """Fencing: a write by a duty's holder is refused once a newer one was granted."""
        lease = self.leases.get(name)
        newest = lease.token if lease is not None else 0
        if token != newest:
            raise RefusedError(409, f"the newest token of {name} is {newest}", "token")

    def lease_ends_ms(self, name: str, now: float) -> float:
        """How long a duty is still held."""
        return max(self._lease_ends.get(name, now) - now, 0.0)

    def _lease_ms(self, lease: Lease) -> float:
        """From when we hear of a renewal: its holder counts from when it sent it, by a clock that may be
        slow."""
        return lease.ttl_ms * (1 + self.rules.drift)

    # --- Entries ------------------------------------------------------------------------------------------

    def apply(self, entry: Entry, now: float) -> None:
        """Bring an entry about, now that it is durable."""
        if entry["op"] == "lease":
            lease = Lease(*(entry[name] for name in ("name", "holder", "token", "ttl_ms")))
            self.leases[lease.name] = lease
            self.token = max(self.token, lease.token)
            self._lease_ends[lease.name] = now + self._lease_ms(lease)
            return
        name = entry["id"] if entry["op"] == "del" else entry["record"]["id"]
        if entry["op"] == "del":
            record = self.records.pop(name)
            del self._deadlines[name]
            if entry.get("expired"):
                self._expired.append(now + record.ttl_ms)
        else:
            record = Record(**entry["record"])
            if name not in self.records or self.records[name].registered != record.registered:
                self._deadlines[name] = now + record.ttl_ms
            self.records[name] = record
        self.revision = entry["revision"]
        self._history.append((self.revision, name))
        while len(self._history) > self.rules.history:
            self.floor = self._history.popleft()[0]

    def snapshot(self) -> Entry:
        """All that entries have brought about, but for the history: who asks for older gets the whole
        list."""
        return {
            "revision": self.revision,
            "token": self.token,
            "records": [asdict(record) for record in self.records.values()],
            "leases": [asdict(lease) for lease in self.leases.values()],
        }

    @classmethod
    def restored(cls, rules: Rules, state: Entry, now: float) -> Store:
        """A store from a snapshot. Everything has its whole time, leases too: an earlier life may have
        renewed
        them in its last moment."""
        store = cls(rules, int(state["revision"]))
        store.token = int(state["token"])
        for raw in state["records"]:
            record = Record(**raw)
            store.records[record.id] = record
        for raw in state["leases"]:
            lease = Lease(**raw)
            store.leases[lease.name] = lease
        store.live_anew(now)
        return store

    def live_anew(self, now: float) -> None:
        """Give everything its whole time from now on: after a start, when nobody could be heard."""
        for name, record in self.records.items():
            self._deadlines[name] = now + record.ttl_ms
        for name, lease in self.leases.items():
            self._lease_ends[name] = now + self._lease_ms(lease)
        self._expired.clear()
