"""Idempotency key records of requests whose effect must not happen twice. No clock, no sockets.

A gateway claims the key of a request before it forwards the request, and only one claim succeeds. Another
request with the same key, at any gateway, gets the record of the first one and is not forwarded. The record
of a request that ended has its answer; that of a request whose end was never reported, since its gateway was
lost, stays open. A record expires one window after its last change by the leader's clock, and a new leader
restarts the window of each record. Nothing expires early, and no clock of another machine is used.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yewstage.holding.accounts import Accounts
from yewstage.registry.store import Entry, RefusedError, Rules

BEGUN, DONE = "begun", "done"
MAX_RECORDS = 100_000  # in one group; beyond that new claims are refused
MAX_ANSWER_BYTES = 32 * 1024 * 1024  # in one group; beyond that the end is recorded without its answer
EXPIRY_BATCH = 500  # the most records that one entry removes


class KeyRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record of an idempotency key."""

    claimant: str  # unique to one request in one incarnation of one gateway
    window_ms: float
    state: str = BEGUN
    status: int = 0  # HTTP status of the answer
    answer: str = ""  # base64


def claim_plan(
    key: str, by: str, window_ms: float, found: dict[str, object]
) -> Callable[[KeyStore, float], Entry | None]:
    """The plan of a claim.

    Where another request holds the key, the plan puts its record into `found` and makes no entry. The caller
    may use `found` only after the write has completed, that is, once the record is known to be committed.
    """

    def plan(store: KeyStore, now: float) -> Entry | None:
        found.clear()
        record = store.records.get(key)
        try:
            return store.plan_claim(key, by, window_ms)
        except RefusedError as error:
            if error.status != 409:
                raise
            found.update(state=record.state)
            if record.state == DONE:
                found.update(status=record.status, answer=record.answer)
            return None

    return plan


class KeyStore:
    """The store of a key group: idempotency key records and accounts of customers' quotas."""

    def __init__(self, rules: Rules | None = None) -> None:
        self.accounts = Accounts((rules or Rules()).drift)
        self.records: dict[str, KeyRecord] = {}
        self._expires_at: dict[str, float] = {}  # by key: when its record expires, ms
        self.answer_bytes = 0  # length of all stored answers

    def plan_claim(self, key: str, by: str, window_ms: float) -> Entry | None:
        """Plan a claim; None if this request holds the key already, as when its first answer was lost.

        RefusedError 409 if another request holds the key (its record is in `records`), 503 if the group has
        the most records that are allowed.
        """
        record = self.records.get(key)
        if record is not None and (record.claimant != by or record.state == DONE):
            raise RefusedError(
                409, "is done" if record.state == DONE else "is under way, or its end was lost"
            )
        if record is not None:
            return None
        if len(self.records) >= MAX_RECORDS:
            raise RefusedError(503, f"{MAX_RECORDS} keys are held already")
        return {"op": "put", "key": key, "record": msgspec.to_builtins(KeyRecord(by, window_ms))}

    def plan_done(self, key: str, by: str, status: int, answer: str) -> Entry | None:
        """Plan the record of a request's end; None if it is recorded already.

        RefusedError 409 if the request does not hold the key.
        """
        record = self._record_held_by(key, by)
        if record.state == DONE:
            return None
        answer = answer if self.answer_bytes + len(answer) <= MAX_ANSWER_BYTES else ""
        ended = KeyRecord(by, record.window_ms, DONE, status, answer)
        return {"op": "put", "key": key, "record": msgspec.to_builtins(ended)}

    def plan_release(self, key: str, by: str) -> Entry | None:
        """Plan the release of a key whose request was not forwarded or certainly did not run.

        None if the request does not hold the key. RefusedError 409 if its end is recorded.
        """
        record = self.records.get(key)
        if record is None or record.claimant != by:
            return None
        if record.state == DONE:
            raise RefusedError(409, "is done")
        return {"op": "forget", "keys": [key]}

    def plan_expiry(self, now: float) -> Entry | None:
        """Plan the removal of expired records and unused accounts; None if there are none."""
        expired = [key for key, end in self._expires_at.items() if end <= now][:EXPIRY_BATCH]
        accounts = self.accounts.plan_expiry(now)
        return {"op": "forget", "keys": expired, "accounts": accounts} if expired or accounts else None

    def _record_held_by(self, key: str, by: str) -> KeyRecord:
        record = self.records.get(key)
        if record is None or record.claimant != by:
            raise RefusedError(409, "is not held by this request")
        return record

    def apply(self, entry: Entry, now: float) -> None:
        """Apply an entry; windows and lifetimes in it count from `now`, in ms."""
        if entry["op"] == "take":
            self.accounts.apply_grant(entry, now)
            return
        if entry["op"] == "forget":
            for key in entry["keys"]:
                self._remove(key)
            self.accounts.remove(entry.get("accounts", []))
            return
        self._remove(entry["key"])
        self._put(entry["key"], KeyRecord(*entry["record"]), now)

    def _put(self, key: str, record: KeyRecord, now: float) -> None:
        self.records[key] = record
        self._expires_at[key] = now + record.window_ms
        self.answer_bytes += len(record.answer)

    def _remove(self, key: str) -> None:
        record = self.records.pop(key, None)
        if record is not None:
            del self._expires_at[key]
            self.answer_bytes -= len(record.answer)

    def snapshot(self) -> Entry:
        """The whole state. Records are not converted, since there may be many; the encoder takes them."""
        return {"keys": dict(self.records), "accounts": self.accounts.snapshot()}

    @classmethod
    def restored(cls, rules: Rules, state: Entry, now: float) -> KeyStore:
        """A store from a snapshot, each record with its full window."""
        store = cls(rules)
        for key, raw in state["keys"].items():
            store._put(key, raw if isinstance(raw, KeyRecord) else KeyRecord(*raw), now)
        store.accounts.restore(state.get("accounts", {}), now)  # snapshots of earlier versions have none
        return store
