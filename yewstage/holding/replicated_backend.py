"""A group's replica on the event loop: disk writes on a thread, messages, timers, answers to callers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from yewstage.holding.group import Group, LeadershipLostError, ReplicatedStore, WritePlan
from yewstage.log import Event
from yewstage.raft.core import BusyError, NotLeaderError, Write
from yewstage.raft.disk import Disk, WriteFailedError
from yewstage.raft.messages import AnyMessage, Members
from yewstage.registry.backend import MisdirectedError, OutcomeUnknownError
from yewstage.registry.store import Entry

log = logging.getLogger(__name__)

FULL_DISK_RETRY_S = 0.5  # between two tries to write to a full disk


class ReplicatedBackend:
    """A StoreBackend whose store is replicated by a Raft group.

    `failed(reason)` is called when the disk can no longer be trusted. `reported_leader()` gives the leader's
    call address as other processes report it, empty if not known.
    """

    def __init__(
        self,
        group: Group,
        disk: Disk,
        snapshot_entries: int,
        loop: asyncio.AbstractEventLoop,
        send: Callable[[AnyMessage], None],
        failed: Callable[[str], None],
        reported_leader: Callable[[], str],
    ) -> None:
        self.group, self.disk, self._snapshot_entries, self._loop = group, disk, snapshot_entries, loop
        self._send, self._failed, self._reported_leader = send, failed, reported_leader
        self.changed: Callable[[], None] = lambda: None
        self._pool = ThreadPoolExecutor(1, "disk")
        self._queue: list[Write] = []
        self._writing: asyncio.Task | None = None
        self._futures: dict[int, asyncio.Future[Exception | None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._is_pump_scheduled = False
        self._is_replacing = False  # while bootstrap replaces the replica
        self.unknown_outcomes = self._logged_losses = 0
        self.write_error = ""  # of the last write to the disk; empty if it succeeded

    # --- For the service (StoreBackend) -------------------------------------------------------------------

    @property
    def store(self) -> ReplicatedStore:
        """The store with all entries that are committed and applied here."""
        return self.group.store

    @property
    def log_entries(self) -> int:
        """Entries applied since the last snapshot."""
        return self.group.entries_since_snapshot

    @property
    def broken(self) -> str:
        """Why nothing can be written to the disk; empty if it can."""
        return self.disk.broken or self.write_error

    def now(self) -> float:
        """The event loop's time in ms."""
        return self._loop.time() * 1000

    def leader_store(self) -> ReplicatedStore | None:
        """The speculative store, with the deadlines in force; None if not the leader."""
        return self.group.speculative_store if self.group.is_leader() else None

    def leader(self) -> str:
        """The leader's call address; empty if it is this process or not known."""
        return "" if self.group.is_leader() else self._address_of(self.group.replica.leader)

    def _address_of(self, leader: str) -> str:
        """A leader's call address: from the group's members, else as other processes report it."""
        member = self.group.replica.member(leader)
        return member.call if member is not None else self._reported_leader()

    def age_ms(self) -> float:
        """Upper bound on the staleness of the store here."""
        return self.group.replica.age_ms(self.now())

    async def write(self, plan: WritePlan) -> bool:
        """Propose a write and return once it is committed; whether the plan made an entry.

        Raises RefusedError of the plan, MisdirectedError and OutcomeUnknownError.
        """
        entries: list[Entry] = []

        def recording_plan(store: ReplicatedStore, now: float) -> Entry | None:
            entry = plan(store, now)
            entries.extend([entry] if entry is not None else [])
            return entry

        await self._run_ticket(lambda: self.group.write(self.now(), recording_plan))
        return bool(entries)

    async def confirm(self) -> None:
        """Return once leadership is confirmed after this call; MisdirectedError, OutcomeUnknownError."""
        await self._run_ticket(lambda: self.group.confirm(self.now()))

    async def _run_ticket(self, start_ticket: Callable[[], int]) -> None:
        try:
            ticket = start_ticket()
        except NotLeaderError as error:
            self.schedule_pump()
            raise MisdirectedError(self._address_of(error.leader)) from None
        except BusyError as error:
            raise OutcomeUnknownError(str(error)) from None
        future = self._futures[ticket] = self._loop.create_future()
        self.schedule_pump()
        error = await future
        if isinstance(error, LeadershipLostError):
            self.unknown_outcomes += 1
            raise OutcomeUnknownError("leadership passed on meanwhile: it may have been done, ask again")
        if error is not None:
            raise error

    # --- For the replica ----------------------------------------------------------------------------------

    def start(self) -> None:
        """Apply what the disk holds and start the timers."""
        self._pump()

    def handle(self, message: AnyMessage) -> None:
        """Handle a message from another replica."""
        if self._is_replacing:
            return
        self.group.handle(self.now(), message)
        self.schedule_pump()

    async def bootstrap(self, write: Write, make: Callable[[], Group]) -> None:
        """Make a bootstrap snapshot durable, and replace the replica without state by one that has it."""
        self._is_replacing = True
        if self._writing is not None:
            await self._writing
        self._queue.clear()  # a vote in it was not sent yet, or is part of `write`
        await self._loop.run_in_executor(self._pool, self.disk.write, [write])
        self.group, self._is_replacing = make(), False
        self.schedule_pump()

    def change_members(self, members: Members) -> None:
        """Start a membership change. NotLeaderError, BusyError."""
        self.group.replica.change_members(self.now(), members)
        self.schedule_pump()

    def schedule_pump(self) -> None:
        """Process the replica's output, once for all events of this turn of the event loop."""
        if not self._is_pump_scheduled:
            self._is_pump_scheduled = True
            self._loop.call_soon(self._pump)

    def _pump(self) -> None:
        self._is_pump_scheduled = False
        if self._is_replacing:
            return
        if self.group.entries_since_snapshot >= self._snapshot_entries:
            self.group.compact(self.now())
        result = self.group.take(self.now())
        for message in result.messages:
            self._send(message)
        if self.group.replica.durability_losses > self._logged_losses:
            self._log_durability_losses()
        self._queue += result.writes
        if self._queue and self._writing is None:
            self._writing = self._loop.create_task(self._write_queued())
        if result.changed:
            self.changed()
        for done in result.completions:
            future = self._futures.pop(done.ticket, None)
            if future is not None and not future.done():
                future.set_result(done.error)
        self._set_timer()

    def _log_durability_losses(self) -> None:
        replica = self.group.replica
        self._logged_losses = replica.durability_losses
        log.error(
            Event(
                "disk_forgot",
                "replace the disk of {members}: it lost entries that it had acknowledged as durable",
                members=", ".join(name for name, peer in replica.peers.items() if peer.durability_losses),
            )
        )

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        at_ms = self.group.replica.next_tick_at()
        self._timer = self._loop.call_at(at_ms / 1000, self._on_timer) if at_ms != float("inf") else None

    def _on_timer(self) -> None:
        self.group.tick(self.now())
        self._pump()

    async def _write_queued(self) -> None:
        """Write to the disk until the queue is empty; what is queued during a write shares the next sync."""
        try:
            while self._queue:
                batch, self._queue = self._queue, []
                try:
                    await self._loop.run_in_executor(self._pool, self.disk.write, batch)
                except WriteFailedError as error:
                    if self.disk.broken:
                        self._failed(f"the disk can no longer be trusted: {error}")
                        return
                    self._queue = batch + self._queue
                    await self._wait_for_disk_space(str(error))
                    continue
                self.write_error = ""
                self.group.durable(self.now(), batch[-1].number)
                self.schedule_pump()
        finally:
            self._writing = None

    async def _wait_for_disk_space(self, why: str) -> None:
        if not self.write_error:
            log.error(
                Event(
                    "disk_full", "writes to the disk fail, nothing can be made durable here: {why}", why=why
                )
            )
        self.write_error = why
        self.transfer_leadership()
        await asyncio.sleep(FULL_DISK_RETRY_S)

    def transfer_leadership(self) -> bool:
        """Transfer leadership to the most up-to-date voter; False if that cannot start now."""
        replica = self.group.replica
        voters = [v for v in replica.voters() if v in replica.peers]
        if not self.group.is_leader() or not voters:
            return False
        try:
            replica.transfer_leadership(self.now(), max(voters, key=lambda v: replica.peers[v].match))
        except (NotLeaderError, BusyError):
            return False
        self.schedule_pump()
        return True

    def close(self) -> None:
        """Stop the timer and writes, and close the disk."""
        if self._timer is not None:
            self._timer.cancel()
        if self._writing is not None:
            self._writing.cancel()
        self._pool.shutdown()
        self.disk.close()
