"""Keeps the process within its memory: the plan, the budget that follows from it, and what is measured."""

from __future__ import annotations

import logging
from collections.abc import Callable

from yewstage.log import Event
from yewstage.net.budget import MemoryBudget
from yewstage.net.memory_plan import LISTED_SERVER_BYTES, MemoryPlan, TableSizes
from yewstage.net.stats import Stats

log = logging.getLogger(__name__)

MB = 2**20
HIGH_LOG_INTERVAL_S = 5.0  # between two lines on memory above the plan


class ProcessMemory:
    """Sets the budget of held bytes by the plan, the open connections, and the memory that the process has.

    Every connection counts, for whatever purpose. What the plan does not foresee shows in the resident
    memory: the budget is smaller by what the process holds above its mark, whoever holds it.
    """

    def __init__(
        self,
        limit_bytes: int,
        sockets: int,
        stats: Stats,
        clock_s: Callable[[], float],
        may_be_upgraded: bool = False,
    ) -> None:
        """`limit_bytes` and `sockets`, the descriptors, are those of all processes of this gateway.

        What the process holds now counts as held at rest. With `may_be_upgraded` another process may start
        beside this one, so each has half of the memory from the start, if that suffices for a process.
        """
        self._stats, self._clock_s, self._may_be_upgraded = stats, clock_s, may_be_upgraded
        self._limit_bytes, self._resident_bytes = limit_bytes, stats.process.memory_bytes()[0]
        self._sockets, self._is_shared, self._servers = sockets, False, 0
        self.on_plan: Callable[[], None] = lambda: None  # called after each new plan
        self._tables: TableSizes | None = None  # as the first plan has them
        self.plan = self._create_plan()
        self._tables = self.plan.tables
        self.overshoot_bytes = 0
        self.budget = MemoryBudget(self.plan.body_bytes(0), clock_s)
        self._high_logged_at_s = -HIGH_LOG_INTERVAL_S
        stats.descriptors.on_change = self.update

    def set_limits(self, limit_bytes: int, sockets: int, is_shared: bool) -> None:
        """Plan for these limits; with half of them while another process of this gateway runs."""
        self._limit_bytes, self._sockets, self._is_shared = limit_bytes, sockets, is_shared
        self._plan_again()

    def set_servers(self, servers: int) -> None:
        """Plan for a list of so many servers."""
        if servers != self._servers:
            self._servers = servers
            self._plan_again()

    def measure_at_rest(self) -> None:
        """Take what the process holds now as held at rest, without its list; called before it serves."""
        resident_bytes = self._stats.process.memory_bytes()[0] - self._servers * LISTED_SERVER_BYTES
        self._resident_bytes = max(self._resident_bytes, resident_bytes)
        self._plan_again()

    def _plan_again(self) -> None:
        self.plan = self._create_plan()
        self.update()
        self.on_plan()

    def _create_plan(self) -> MemoryPlan:
        sockets = self._sockets // 2 if self._is_shared else self._sockets
        half = self._plan_with(self._limit_bytes // 2, sockets)
        if self._is_shared or (self._may_be_upgraded and not half.shortage_bytes):
            return half
        return self._plan_with(self._limit_bytes, sockets)

    def _plan_with(self, limit_bytes: int, sockets: int) -> MemoryPlan:
        return MemoryPlan(limit_bytes, self._resident_bytes, sockets, self._servers, self._tables)

    def update(self) -> None:
        """Adapt the budget to the open connections; called after each change of their number."""
        limit_bytes = self.plan.body_bytes(self._stats.descriptors.held, self.overshoot_bytes)
        if limit_bytes != self.budget.limit_bytes:
            self.budget.set_limit(limit_bytes)

    def check(self) -> None:
        """Compare the resident memory with the plan; called from time to time."""
        resident_bytes = self._stats.process.memory_bytes()[0]
        overshoot_bytes = self.plan.overshoot_bytes(resident_bytes)
        if overshoot_bytes != self.overshoot_bytes:
            self.overshoot_bytes = overshoot_bytes
            self.update()
        if overshoot_bytes:
            self._log_high(resident_bytes)

    def log_plan(self) -> None:
        """Log how the memory is divided."""
        plan = self.plan
        log.info(
            Event(
                "memory_plan",
                "memory: {resident_mb:.1f} of {limit_mb:.1f} MB at rest; {connections} connections, "
                "{customers} customers, {servers} servers, {held_mb:.1f} MB of heads and bodies",
                resident_mb=plan.resident_bytes / MB,
                limit_mb=plan.limit_bytes / MB,
                connections=plan.max_connections,
                customers=plan.tables.max_customers,
                servers=plan.servers,
                held_mb=plan.body_bytes(0) / MB,
            )
        )
        if plan.shortage_bytes:
            log.warning(
                Event(
                    "memory_short",
                    "memory: the limit is {short_mb:.1f} MB too low for the least of all",
                    short_mb=plan.shortage_bytes / MB,
                )
            )

    def _log_high(self, resident_bytes: int) -> None:
        """Log who holds memory, at most once per HIGH_LOG_INTERVAL_S."""
        now_s = self._clock_s()
        if now_s - self._high_logged_at_s < HIGH_LOG_INTERVAL_S:
            return
        self._high_logged_at_s = now_s
        held = self.budget.held_bytes_by_purpose()
        log.warning(
            Event(
                "memory_high",
                "memory: {resident_mb:.1f} of {limit_mb:.1f} MB; {connections} connections; held: {text}",
                resident_mb=resident_bytes / MB,
                limit_mb=self.plan.limit_bytes / MB,
                connections=self._stats.descriptors.held,
                **held,
                text=", ".join(f"{size} bytes of {purpose}" for purpose, size in held.items()),
            )
        )
