"""The record of requests whose effect must not happen twice. Pure.

A claim is made before a request is sent on, and made once: whoever asks again under the same key, through
whichever gateway, is told what is known of it, and sends nothing. A claim that ended is kept with its answer;
one whose end nobody told (its gateway is lost) stays open. Both are forgotten a window after they last
changed, by the leader's own clock; a new leader gives each its whole window anew. So nothing is forgotten
early, and no clock of another machine is asked.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yewstage.holding.accounts import Accounts
from yewstage.registry.store import Entry, RefusedError, Rules

BEGUN, DONE = "begun", "done"
MOST = 100_000  # records of one group; past that new claims are refused
MOST_KEPT = 32 * 1024 * 1024  # bytes of answers in one group; past that what is done is known as done only
BATCH = 500  # forgotten by one entry


class KeyRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a key."""

    claimant: str  # the request that holds it: unique to one request in one life of one gateway
    window_ms: float
    state: str = BEGUN
    status: int = 0
    answer: str = ""  # base64


def claim_plan(
    key: str, by: str, window_ms: float, told: dict[str, object]
) -> Callable[[KeyStore, float], Entry | None]:
    """The plan of a claim that puts into `told` what is known where another request has the key: an answer
    as any other, that may only be given once it rests on what a majority has."""

    def plan(store: KeyStore, now: float) -> Entry | None:
        told.clear()
        known = store.records.get(key)
        try:
            return store.plan_claim(key, by, window_ms)
        except RefusedError as error:
            if error.status != 409:
                raise
            told.update(state=known.state)
            if known.state == DONE:
                told.update(status=known.status, answer=known.answer)
            return None

    return plan


class KeyStore:
    """The store of a group that holds keys, and accounts of customers' quotas."""

    def __init__(self, rules: Rules | None = None) -> None:
        self.accounts = Accounts((rules or Rules()).drift)
        self.records: dict[str, KeyRecord] = {}
        self._ends: dict[str, float] = {}  # when each may be forgotten
        self.kept = 0  # bytes of answers

    def plan_claim(self, key: str, by: str, window_ms: float) -> Entry | None:
        """Claim a key; None where this request holds it already, since its answer was lost.

        RefusedError 409 where another one has it: look at `records`.
        """
        known = self.records.get(key)
        if known is not None and (known.claimant != by or known.state == DONE):
            raise RefusedError(409, "is done" if known.state == DONE else "is under way, or its end was lost")
        if known is not None:
            return None
        if len(self.records) >= MOST:
            raise RefusedError(503, f"{MOST} keys are held already")
        return {"op": "put", "key": key, "record": msgspec.to_builtins(KeyRecord(by, window_ms))}

    def plan_done(self, key: str, by: str, status: int, answer: str) -> Entry | None:
        """How it ended; None if that is known."""
        known = self._held(key, by)
        if known.state == DONE:
            return None
        answer = answer if self.kept + len(answer) <= MOST_KEPT else ""
        ended = KeyRecord(by, known.window_ms, DONE, status, answer)
        return {"op": "put", "key": key, "record": msgspec.to_builtins(ended)}

    def plan_release(self, key: str, by: str) -> Entry | None:
        """It was never sent on, or is sure not to have run: the key is free again."""
        known = self.records.get(key)
        if known is None or known.claimant != by:
            return None
        if known.state == DONE:
            raise RefusedError(409, "is done")
        return {"op": "forget", "keys": [key]}

    def plan_forget(self, now: float) -> Entry | None:
        """Let go what is past its window."""
        late = [key for key, end in self._ends.items() if end <= now][:BATCH]
        accounts = self.accounts.plan_forget(now)
        return {"op": "forget", "keys": late, "accounts": accounts} if late or accounts else None

    def _held(self, key: str, by: str) -> KeyRecord:
        known = self.records.get(key)
        if known is None or known.claimant != by:
            raise RefusedError(409, "is not held by this request")
        return known

    def apply(self, entry: Entry, now: float) -> None:
        """Bring an entry about."""
        if entry["op"] == "take":
            self.accounts.take(entry, now)
            return
        if entry["op"] == "forget":
            for key in entry["keys"]:
                self._drop(key)
            self.accounts.forget(entry.get("accounts", []))
            return
        self._drop(entry["key"])
        self._put(entry["key"], KeyRecord(*entry["record"]), now)

    def _put(self, key: str, record: KeyRecord, now: float) -> None:
        self.records[key] = record
        self._ends[key] = now + record.window_ms
        self.kept += len(record.answer)

    def _drop(self, key: str) -> None:
        known = self.records.pop(key, None)
        if known is not None:
            del self._ends[key]
            self.kept -= len(known.answer)

    def snapshot(self) -> Entry:
        """All of it; records are encoded as they are, for there may be many."""
        return {"keys": dict(self.records), "accounts": self.accounts.snapshot()}

    @classmethod
    def restored(cls, rules: Rules, state: Entry, now: float) -> KeyStore:
        """The store as it was, each record with its whole window."""
        store = cls(rules)
        for key, raw in state["keys"].items():
            store._put(key, raw if isinstance(raw, KeyRecord) else KeyRecord(*raw), now)
        store.accounts.restore(state.get("accounts", {}), now)  # folders of earlier versions have none
        return store
