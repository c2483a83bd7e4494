"""The storage behind the list service: a single node with one folder here, replicated in
`yewstage.holding`."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from yewstage.log import Event
from yewstage.registry.log import Log, WriteFailedError
from yewstage.registry.store import Store, WritePlan

log = logging.getLogger(__name__)


class MisdirectedError(Exception):
    """Another process accepts writes. `leader_address` is its address; empty if it is not known."""

    def __init__(self, leader_address: str) -> None:
        super().__init__(
            f"not the leader; it is {leader_address}" if leader_address else "no leader is known"
        )
        self.leader_address = leader_address


class OutcomeUnknownError(Exception):
    """It is not known whether the write was carried out; the call may be repeated."""


class StoreBackend(Protocol):
    """What the list service needs from its storage."""

    store: Store  # the state as known in this process
    changed: Callable[[], None]  # called after each change of the list
    log_entries: int  # since the last snapshot
    broken: str  # why writes are no longer possible; empty: they are

    def now(self) -> float:
        """The store's time in ms, monotonic."""

    def leader_store(self) -> Store | None:
        """The store with the deadlines in force; None if another process is the leader."""

    def leader(self) -> str:
        """Address of the leader if it is another process; empty if none is known."""

    def age_ms(self) -> float:
        """Upper bound on how long there may have been writes that are not in this store, in ms."""

    async def write(self, plan: WritePlan) -> bool:
        """Carry out a write. True once it is durable; False if the plan returned no entry, once it is
        certain that the state it was based on was current. Raises RefusedError, WriteFailedError,
        MisdirectedError or OutcomeUnknownError."""

    def close(self) -> None:
        """Stop; nothing is written afterwards."""


class SingleNodeBackend:
    """Storage in one process and one folder. A write is durable before it becomes visible."""

    def __init__(
        self, store: Store, files: Log, snapshot_entries: int, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.store, self._files, self._snapshot_entries, self._loop = store, files, snapshot_entries, loop
        self.changed: Callable[[], None] = lambda: None
        # A sync takes milliseconds and must not block the event loop.
        self._disk_thread = ThreadPoolExecutor(1, "disk")
        self._write_lock = asyncio.Lock()

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

    async def write(self, plan: WritePlan) -> bool:
        """Plan a write, make it durable and apply it; one write at a time."""
        async with self._write_lock:
            entry = plan(self.store, self.now())
            if entry is None:
                return False
            await self._loop.run_in_executor(self._disk_thread, self._files.append, entry)
            before = self.store.revision
            self.store.apply(entry, self.now())
            if self.store.revision != before:
                self.changed()
            if self._files.entries >= self._snapshot_entries:
                await self._compact()
            return True

    async def wait_for_pending_write(self) -> None:
        """Wait for the write in progress, if any."""
        async with self._write_lock:
            pass

    async def _compact(self) -> None:
        try:
            await self._loop.run_in_executor(self._disk_thread, self._files.compact, self.store.snapshot())
        except WriteFailedError as error:
            log.error(
                Event(
                    "no_snapshot", "snapshot failed: {error}; the log is kept and continues", error=str(error)
                )
            )

    def close(self) -> None:
        self._disk_thread.shutdown()
