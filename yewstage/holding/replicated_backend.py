"""A group's replica on its event loop: writes to the disk on a thread, messages out, those who wait
answered."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from yewstage.holding.group import Group, ReplicatedStore, UnsureError, WritePlan
from yewstage.log import Event
from yewstage.raft.core import BusyError, NotLeaderError, Write
from yewstage.raft.disk import Disk, FullError
from yewstage.raft.messages import AnyMessage, Members
from yewstage.registry.backend import MisdirectedError, OutcomeUnknownError
from yewstage.registry.store import Entry

log = logging.getLogger(__name__)

FULL_S = 0.5  # how soon a full disk is tried again


class ReplicatedBackend:
    """One group's ledger, replicated. `failed` is told when the disk can't be trusted any more; `elsewhere`
    knows where the leader is called, as others say."""

    def __init__(
        self,
        group: Group,
        disk: Disk,
        snapshot_entries: int,
        loop: asyncio.AbstractEventLoop,
        send: Callable[[AnyMessage], None],
        failed: Callable[[str], None],
        elsewhere: Callable[[], str],
    ) -> None:
        self.group, self.disk, self._most, self._loop = group, disk, snapshot_entries, loop
        self._send, self._failed, self._elsewhere = send, failed, elsewhere
        self.changed: Callable[[], None] = lambda: None
        self._pool = ThreadPoolExecutor(1, "disk")
        self._queue: list[Write] = []
        self._writing: asyncio.Task | None = None
        self._waiting: dict[int, asyncio.Future[Exception | None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._soon = False
        self._halted = False  # the replica is being replaced by another one
        self.unsure = self._forgot_told = 0
        self.full = ""  # why the last write to the disk failed; empty: it did not

    # The service's side

    @property
    def store(self) -> ReplicatedStore:
        return self.group.store

    @property
    def log_entries(self) -> int:
        return self.group.applied_since

    @property
    def broken(self) -> str:
        return self.disk.broken or self.full

    def now(self) -> float:
        return self._loop.time() * 1000

    def leader_store(self) -> ReplicatedStore | None:
        return self.group.planned if self.group.is_leader() else None

    def leader(self) -> str:
        return "" if self.group.is_leader() else self._call_of(self.group.replica.leader)

    def _call_of(self, leader: str) -> str:
        """Where a leader is called: by consensus, else by what is said."""
        member = self.group.replica.member(leader)
        return member.call if member is not None else self._elsewhere()

    def age_ms(self) -> float:
        return self.group.replica.age_ms(self.now())

    async def write(self, plan: WritePlan) -> bool:
        """Planned here if we lead; done once a majority has it."""
        made: list[Entry] = []

        def noted(store: ReplicatedStore, now: float) -> Entry | None:
            entry = plan(store, now)
            made.extend([entry] if entry is not None else [])
            return entry

        await self._settled(lambda: self.group.write(self.now(), noted))
        return bool(made)

    async def confirm(self) -> None:
        """Return once it is sure that we led after this was called; MisdirectedError, OutcomeUnknownError."""
        await self._settled(lambda: self.group.confirm(self.now()))

    async def _settled(self, begin: Callable[[], int]) -> None:
        try:
            ticket = begin()
        except NotLeaderError as error:
            self.soon()
            raise MisdirectedError(self._call_of(error.leader)) from None
        except BusyError as error:
            raise OutcomeUnknownError(str(error)) from None
        future = self._waiting[ticket] = self._loop.create_future()
        self.soon()
        error = await future
        if isinstance(error, UnsureError):
            self.unsure += 1
            raise OutcomeUnknownError("leadership passed on meanwhile: it may have been done, ask again")
        if error is not None:
            raise error

    # The replica's side

    def start(self) -> None:
        """Take up what the disk holds, and begin to keep time."""
        self._pump()

    def handle(self, message: AnyMessage) -> None:
        """A message from another replica."""
        if self._halted:
            return
        self.group.handle(self.now(), message)
        self.soon()

    async def begin(self, write: Write, make: Callable[[], Group]) -> None:
        """Begin with what a write makes durable, in place of a replica that held nothing."""
        self._halted = True
        if self._writing is not None:
            await self._writing
        self._queue.clear()  # what it may have voted was told to nobody, or is in the write
        await self._loop.run_in_executor(self._pool, self.disk.write, [write])
        self.group, self._halted = make(), False
        self.soon()

    def change(self, members: Members) -> None:
        """Begin to change a member. NotLeaderError, BusyError."""
        self.group.replica.change_members(self.now(), members)
        self.soon()

    def soon(self) -> None:
        """See to what came out, once for all that comes in this turn of the loop."""
        if not self._soon:
            self._soon = True
            self._loop.call_soon(self._pump)

    def _pump(self) -> None:
        self._soon = False
        if self._halted:
            return
        if self.group.applied_since >= self._most:
            self.group.compact(self.now())
        result = self.group.take(self.now())
        for message in result.messages:
            self._send(message)
        if self.group.replica.durability_losses > self._forgot_told:
            self._tell_forgot()
        self._queue += result.writes
        if self._queue and self._writing is None:
            self._writing = self._loop.create_task(self._write_on())
        if result.changed:
            self.changed()
        for done in result.done:
            future = self._waiting.pop(done.ticket, None)
            if future is not None and not future.done():
                future.set_result(done.error)
        self._set_timer()

    def _tell_forgot(self) -> None:
        replica = self.group.replica
        self._forgot_told = replica.durability_losses
        log.error(
            Event(
                "disk_forgot",
                "replace the disk: what it had said to be durable is gone at {members}",
                members=", ".join(name for name, peer in replica.peers.items() if peer.durability_losses),
            )
        )

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        at_ms = self.group.replica.next_at()
        self._timer = self._loop.call_at(at_ms / 1000, self._ring) if at_ms != float("inf") else None

    def _ring(self) -> None:
        self.group.tick(self.now())
        self._pump()

    async def _write_on(self) -> None:
        """One after the other, all that has come meanwhile with one sync."""
        try:
            while self._queue:
                batch, self._queue = self._queue, []
                try:
                    await self._loop.run_in_executor(self._pool, self.disk.write, batch)
                except FullError as error:
                    if self.disk.broken:
                        self._failed(f"the disk cannot be trusted any more: {error}")
                        return
                    self._queue = batch + self._queue
                    await self._wait_for_room(str(error))
                    continue
                self.full = ""
                self.group.durable(self.now(), batch[-1].number)
                self.soon()
        finally:
            self._writing = None

    async def _wait_for_room(self, why: str) -> None:
        if not self.full:
            log.error(Event("disk_full", "nothing can be made durable here: {why}", why=why))
        self.full = why
        self.hand_over()
        await asyncio.sleep(FULL_S)

    def hand_over(self) -> bool:
        """Hand leadership to the voter that is furthest; whether there is one, and it is ours to hand."""
        replica = self.group.replica
        voters = [v for v in replica.voters() if v in replica.peers]
        if not self.group.is_leader() or not voters:
            return False
        try:
            replica.transfer_leadership(self.now(), max(voters, key=lambda v: replica.peers[v].match))
        except (NotLeaderError, BusyError):
            return False
        self.soon()
        return True

    def close(self) -> None:
        """Nothing more is written, nobody waits on."""
        if self._timer is not None:
            self._timer.cancel()
        if self._writing is not None:
            self._writing.cancel()
        self._pool.shutdown()
        self.disk.close()
