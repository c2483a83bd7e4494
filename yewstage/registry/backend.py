"""Where the list service's writes go, and the store that they make: alone on one disk here, copied in
`yewstage.holding`."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from yewstage.log import Event
from yewstage.registry.log import FullError, Log
from yewstage.registry.store import Plan, Store

log = logging.getLogger(__name__)


class MisdirectedError(Exception):
    """Another process takes writes. `leader_address` is where it is called; empty: none is known."""

    def __init__(self, leader_address: str) -> None:
        super().__init__(
            f"not the leader; it is {leader_address}" if leader_address else "no leader is known"
        )
        self.leader_address = leader_address


class OutcomeUnknownError(Exception):
    """It is not known to have come about; the call may be repeated."""


class StoreBackend(Protocol):
    """What the service needs of whatever keeps its store."""

    store: Store  # what has come about, here
    changed: Callable[[], None]  # told after each change of the list
    log_entries: int  # since the last snapshot
    broken: str  # why no write can be made any more; empty: it can

    def now(self) -> float:
        """The store's time, ms: never set back."""

    def leader_store(self) -> Store | None:
        """The store with the deadlines in force; None where another process decides."""

    def leader(self) -> str:
        """Where that one is called; empty: none is known."""

    def age_ms(self) -> float:
        """For how long there may be writes that are not in the store here."""

    async def write(self, plan: Plan) -> bool:
        """Bring a write about: True once it is durable, False where the plan makes no entry and all that it
        was made on holds. RefusedError, FullError, MisdirectedError, OutcomeUnknownError."""

    def close(self) -> None:
        """Nothing more is written."""


class SingleNodeBackend:
    """One process, one folder: each write is durable there before it is seen."""

    def __init__(
        self, store: Store, files: Log, snapshot_entries: int, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.store, self._files, self._most, self._loop = store, files, snapshot_entries, loop
        self.changed: Callable[[], None] = lambda: None
        self._disk = ThreadPoolExecutor(1, "disk")  # a sync takes milliseconds: nobody else waits for it
        self._writing = asyncio.Lock()

    @property
    def log_entries(self) -> int:
        return self._files.entries

    @property
    def broken(self) -> str:
        return self._files.broken

    def now(self) -> float:
        return self._loop.time() * 1000

    def leader_store(self) -> Store:
        return self.store

    def leader(self) -> str:
        return ""

    def age_ms(self) -> float:
        return 0.0

    async def write(self, plan: Plan) -> bool:
        """One write at a time: planned, made durable, then seen."""
        async with self._writing:
            entry = plan(self.store, self.now())
            if entry is None:
                return False
            await self._loop.run_in_executor(self._disk, self._files.append, entry)
            before = self.store.revision
            self.store.apply(entry, self.now())
            if self.store.revision != before:
                self.changed()
            if self._files.entries >= self._most:
                await self._compact()
            return True

    async def finished(self) -> None:
        """Wait for the write that is under way."""
        async with self._writing:
            pass

    async def _compact(self) -> None:
        try:
            await self._loop.run_in_executor(self._disk, self._files.compact, self.store.snapshot())
        except FullError as error:
            log.error(Event("no_snapshot", "no snapshot: {error}; the log goes on", error=str(error)))

    def close(self) -> None:
        self._disk.shutdown()
