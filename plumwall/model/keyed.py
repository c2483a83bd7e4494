"""A group that holds keys of requests, as a value: whoever was told that a key is its own, and for how long
nobody else may be.

Clients repeat a claim until it is answered, through any replica; a request may end, be given back, or never
be heard of again. Times are true time, from when a call was made: the earliest from which a window may count.
"""

from __future__ import annotations

from dataclasses import dataclass

from plumwall.model.cluster import RULES, TTL_MS, BreachError, Cluster, PlantedBug
from yewstage.holding.group import encode_entry
from yewstage.holding.keys import BEGUN, DONE, KeyStore, claim_plan
from yewstage.registry.store import Entry

KEYS = 2
WINDOW_MS = TTL_MS  # as a wait of the plans is a little longer than


@dataclass
class Owner:
    """Who was told that a key is its own."""

    by: str
    since: float  # when it last asked for something that begins a window anew
    done: bool = False  # its end was taken down


class KeyedCluster(Cluster):
    """Replicas of one group of keys."""

    store = KeyStore

    def __init__(self, size: int = 3, planted: PlantedBug | None = None) -> None:
        self.claims: dict[tuple[int, int], tuple[str, str, float, dict[str, object]]] = {}
        self.ends: dict[tuple[int, int], tuple[str, str, float]] = {}
        self.open: dict[str, str] = {}  # claims that were not answered yet, by key: they are repeated
        self.owners: dict[str, Owner] = {}
        self.over: set[str] = set()  # gave their key back: no late answer gives it to them again
        self.statuses: dict[str, set[int]] = {}  # that a request said it ended with
        super().__init__(size, planted)

    def _first(self) -> bytes:
        return encode_entry(KeyStore(RULES).snapshot())

    def _calls(self) -> tuple[dict[tuple[int, int], object], ...]:
        return *super()._calls(), self.claims, self.ends

    # --- What clients do ----------------------------------------------------------------------------------

    def write(self, i: int) -> bool:
        """A request claims its key, or repeats a claim that was not answered."""
        self.serial += 1
        key = f"k{self.serial % KEYS}"
        by, told = self.open.setdefault(key, f"r{self.serial}"), {}
        plan = claim_plan(key, by, WINDOW_MS, told)
        ticket = self._ask(i, lambda group: group.write(self.now(i), plan))
        if ticket:
            self.claims[i, ticket] = key, by, self.time, told
        return self._asked(i, ticket)

    def acquire(self, i: int, holder: str) -> bool:
        """A request that has a key ends, or gives it back."""
        for key, owner in sorted(self.owners.items()):
            if not owner.done and holder.endswith(str(1 + int(owner.by[1:]) % 2)):
                return self._end(i, key, owner.by) if holder == "h1" else self._release(i, key, owner.by)
        return False

    def _end(self, i: int, key: str, by: str) -> bool:
        status = 200 + int(by[1:]) % 100
        self.statuses.setdefault(by, set()).add(status)

        def plan(store: KeyStore, now: float) -> Entry | None:
            return store.plan_done(key, by, status, "")

        ticket = self._ask(i, lambda group: group.write(self.now(i), plan))
        if ticket:
            self.ends[i, ticket] = key, by, self.time
        return self._asked(i, ticket)

    def _release(self, i: int, key: str, by: str) -> bool:
        del self.owners[key]  # from now on another one may have it
        self.over.add(by)

        def plan(store: KeyStore, now: float) -> Entry | None:
            return store.plan_release(key, by)

        return self._asked(i, self._ask(i, lambda group: group.write(self.now(i), plan)))

    def forget(self, i: int) -> bool:
        """A leader lets go what is past its window."""

        def plan(store: KeyStore, now: float) -> Entry | None:
            return store.plan_expiry(now)

        return self._asked(i, self._ask(i, lambda group: group.write(self.now(i), plan)))

    # --- What must hold -----------------------------------------------------------------------------------

    def _holds(self, owner: Owner) -> bool:
        return self.time < owner.since + WINDOW_MS

    def _done(self, i: int, ticket: int, error: Exception | None) -> None:
        claim, end = self.claims.pop((i, ticket), None), self.ends.pop((i, ticket), None)
        if claim is not None and error is None:
            self._claimed(*claim)
        elif end is not None and error is None:
            key, by, since = end
            owner = self.owners.get(key)
            if owner is not None and owner.by == by:
                owner.done, owner.since = True, max(owner.since, since)
        else:
            super()._done(i, ticket, error)

    def _claimed(self, key: str, by: str, since: float, told: dict[str, object]) -> None:
        if self.open.get(key) == by:
            del self.open[key]
        owner, state = self.owners.get(key), told.get("state", "yours")
        if state == "yours":
            if owner is not None and owner.by != by and self._holds(owner):
                raise BreachError(f"{key} is given to {by} while it is {owner.by}'s")
            if (owner is None or owner.by != by) and by not in self.over:
                self.owners[key] = Owner(by, since)
        elif state == DONE and told["status"] not in set().union(*self.statuses.values(), ()):
            raise BreachError(f"{key} is told to have ended with {told['status']}, which nobody said")
        elif state == BEGUN and self._has_ended(owner, since):
            raise BreachError(f"{key} has ended, and {by} is told that it is under way")

    def _has_ended(self, owner: Owner | None, before: float) -> bool:
        return owner is not None and owner.done and self._holds(owner) and before > owner.since

    def _missing(self, planned: KeyStore) -> list[str]:
        """Keys whose owner a leader does not know. Its claim counts from when it was asked for."""
        known = {key: record.claimant for key, record in planned.records.items()}
        held = {key: owner.by for key, owner in self.owners.items() if self._holds(owner)}
        return sorted(key for key, by in held.items() if known.get(key) != by)
