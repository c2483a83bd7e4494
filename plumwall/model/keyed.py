"""Model of a group that stores request keys: which request was told that it owns a key, and until
when no other request may be told so.

Clients repeat a claim until it is answered, through any replica. A request may end, give its key back, or
never be heard of again. Times are true time in ms, taken when a call is made: the earliest moment from which
its window may count.
"""

from __future__ import annotations

from dataclasses import dataclass

from plumwall.model.cluster import LEASE_TTL_MS, RULES, Cluster, InvariantError, PlantedBug
from yewstage.holding.group import encode_entry
from yewstage.holding.keys import BEGUN, DONE, KeyStore, claim_plan
from yewstage.registry.store import Entry

KEYS = 2
WINDOW_MS = LEASE_TTL_MS  # one of the waits in plans is 2 % longer, so that plans reach the end of a window


@dataclass
class Owner:
    """The request that was told that it owns a key."""

    claimant: str
    since_ms: float  # true time of its last call that starts the window again
    ended: bool = False  # its end is recorded


class KeyedCluster(Cluster):
    """The replicas of one group of keys, with the invariants of claims."""

    store = KeyStore

    def __init__(self, size: int = 3, planted: PlantedBug | None = None) -> None:
        self.pending_claims: dict[tuple[int, int], tuple[str, str, float, dict[str, object]]] = {}
        self.pending_ends: dict[tuple[int, int], tuple[str, str, float]] = {}
        self.unanswered: dict[str, str] = {}  # claimant by key: it repeats its claim
        self.owners: dict[str, Owner] = {}
        self.released: set[str] = set()  # claimants whose late answers are ignored
        self.reported_statuses: dict[str, set[int]] = {}  # statuses that a claimant sent as its end
        super().__init__(size, planted)

    def _initial_state(self) -> bytes:
        return encode_entry(KeyStore(RULES).snapshot())

    def _pending_calls(self) -> tuple[dict[tuple[int, int], object], ...]:
        return *super()._pending_calls(), self.pending_claims, self.pending_ends

    # --- Calls of clients ---------------------------------------------------------------------------------

    def write(self, i: int) -> bool:
        """Claim a key, or repeat its unanswered claim. Returns whether the call was accepted."""
        self.write_serial += 1
        key = f"k{self.write_serial % KEYS}"
        claimant, answer = self.unanswered.setdefault(key, f"r{self.write_serial}"), {}
        plan = claim_plan(key, claimant, WINDOW_MS, answer)
        ticket = self._call(i, lambda group: group.write(self.now(i), plan))
        if ticket:
            self.pending_claims[i, ticket] = key, claimant, self.time_ms, answer
        return self._finish_call(i, ticket)

    def acquire(self, i: int, holder: str) -> bool:
        """End a request that owns a key (holder h1), or give its key back (h2).

        Each holder stands for half of the requests, by the parity of the request's number. Returns whether
        the call was accepted.
        """
        for key, owner in sorted(self.owners.items()):
            if not owner.ended and holder.endswith(str(1 + int(owner.claimant[1:]) % 2)):
                return (
                    self._end(i, key, owner.claimant)
                    if holder == "h1"
                    else self._release(i, key, owner.claimant)
                )
        return False

    def _end(self, i: int, key: str, claimant: str) -> bool:
        status = 200 + int(claimant[1:]) % 100
        self.reported_statuses.setdefault(claimant, set()).add(status)

        def plan(store: KeyStore, now: float) -> Entry | None:
            return store.plan_done(key, claimant, status, "")

        ticket = self._call(i, lambda group: group.write(self.now(i), plan))
        if ticket:
            self.pending_ends[i, ticket] = key, claimant, self.time_ms
        return self._finish_call(i, ticket)

    def _release(self, i: int, key: str, claimant: str) -> bool:
        del self.owners[key]  # from now on another request may own the key
        self.released.add(claimant)

        def plan(store: KeyStore, now: float) -> Entry | None:
            return store.plan_release(key, claimant)

        return self._finish_call(i, self._call(i, lambda group: group.write(self.now(i), plan)))

    def forget(self, i: int) -> bool:
        """Remove the records whose window is over. Returns whether the call was accepted."""

        def plan(store: KeyStore, now: float) -> Entry | None:
            return store.plan_expiry(now)

        return self._finish_call(i, self._call(i, lambda group: group.write(self.now(i), plan)))

    # --- Invariants ---------------------------------------------------------------------------------------

    def _in_window(self, owner: Owner) -> bool:
        return self.time_ms < owner.since_ms + WINDOW_MS

    def _call_completed(self, i: int, ticket: int, error: Exception | None) -> None:
        claim, end = self.pending_claims.pop((i, ticket), None), self.pending_ends.pop((i, ticket), None)
        if claim is not None and error is None:
            self._claim_answered(*claim)
        elif end is not None and error is None:
            key, claimant, asked_at_ms = end
            owner = self.owners.get(key)
            if owner is not None and owner.claimant == claimant:
                owner.ended, owner.since_ms = True, max(owner.since_ms, asked_at_ms)
        else:
            super()._call_completed(i, ticket, error)

    def _claim_answered(self, key: str, claimant: str, asked_at_ms: float, answer: dict[str, object]) -> None:
        if self.unanswered.get(key) == claimant:
            del self.unanswered[key]
        owner, state = self.owners.get(key), answer.get("state", "yours")
        if state == "yours":
            if owner is not None and owner.claimant != claimant and self._in_window(owner):
                raise InvariantError(f"{key} is given to {claimant} while it is {owner.claimant}'s")
            if (owner is None or owner.claimant != claimant) and claimant not in self.released:
                self.owners[key] = Owner(claimant, asked_at_ms)
        elif state == DONE and answer["status"] not in set().union(*self.reported_statuses.values(), ()):
            raise InvariantError(f"{key} is told to have ended with {answer['status']}, which nobody said")
        elif state == BEGUN and self._has_ended(owner, asked_at_ms):
            raise InvariantError(f"{key} has ended, and {claimant} is told that it is under way")

    def _has_ended(self, owner: Owner | None, asked_at_ms: float) -> bool:
        return owner is not None and owner.ended and self._in_window(owner) and asked_at_ms > owner.since_ms

    def _missing_at_leader(self, planned: KeyStore) -> list[str]:
        """Keys within their window whose owner is missing at a leader. A window counts from the call."""
        known = {key: record.claimant for key, record in planned.records.items()}
        owned = {key: owner.claimant for key, owner in self.owners.items() if self._in_window(owner)}
        return sorted(key for key, claimant in owned.items() if known.get(key) != claimant)
