"""The front and its clients in virtual time, by the same rules as the emulator's."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from plumwall import records as r
from plumwall.emulator.clients import HEALTH_POLL_S, interpolate
from plumwall.emulator.identity import request_id
from plumwall.emulator.tally import Tally
from plumwall.simulate.clock import Clock, Timer
from plumwall.simulate.gateway import SimGateway
from plumwall.simulate.hosts import HOP_MS
from plumwall.world.generator import FaultEvent, FirstTry, GeneratedWorld, draw_between


class Pending:
    """A try on its way."""

    __slots__ = ("front", "first", "number", "id", "gateway", "due", "timer", "over", "late")

    def __init__(
        self, front: Front, first: FirstTry, number: int, rid: str, gateway: str, due: float
    ) -> None:
        self.front, self.first, self.number, self.id = front, first, number, rid
        self.gateway, self.due = gateway, due
        self.over = self.late = False
        self.timer: Timer | None = None

    def answered(self, status: int, retry_ms: float) -> None:
        """The final answer."""
        self.front.ended(self, r.WHOLE, status, retry_ms)

    def dropped(self) -> None:
        """The connection ended with no answer: once more on a new one, which nobody takes."""
        self.front.ended(self, r.CLOSED if self.late else r.REFUSED, 0, 0.0)


class Front:
    """Sends each try when it is due to one of its customer's gateways, and retries as clients do."""

    def __init__(
        self,
        drawn: GeneratedWorld,
        clock: Clock,
        write: Callable[[r.Record], None],
        gateways: Mapping[str, SimGateway],
        overdue_ms: float,
    ) -> None:
        self.drawn, self._clock, self._write = drawn, clock, write
        self._gateways, self._overdue_ms = gateways, overdue_ms
        self._names = [g.name for g in drawn.gateways]
        self._up = dict.fromkeys(self._names, True)
        self.tally = Tally(
            [c.name for c in drawn.scenario.classes], [drawn.plans[c.plan].name for c in drawn.customers]
        )
        self._notice_ms = (
            draw_between(drawn.random_streams.stream("notice"), drawn.scenario.clients.notice_s) * 1000
        )
        self.left = len(drawn.tries)  # tries that are on their way or to come

    def begin(self) -> None:
        """Ask from now on."""
        self._next(iter(self.drawn.tries))

    def _next(self, tries: object, first: FirstTry | None = None) -> None:
        """One timer for what is due next: there may be millions."""
        if first is not None:
            self._send(first, 0, first.due_ms)
        following = next(tries, None)
        if following is not None:
            self._clock.at(following.due_ms, self._next, tries, following)

    def change(self, change: FaultEvent) -> None:
        """The front finds out late that a gateway is gone, and by its word that it is back."""
        if change.kind in ("gateway_kill", "gateway_restart"):
            self._clock.after(self._notice_ms, self._look, change.target)

    def _look(self, name: str) -> None:
        self._up[name] = self._gateways[name].up
        if not self._up[name]:
            self._clock.after(HEALTH_POLL_S * 1000, self._look, name)

    # --- Sending ------------------------------------------------------------------------------------------

    def _send(self, first: FirstTry, number: int, due: float) -> None:
        gateway = self.drawn.gateway_of(first, number, due)
        customer, names = self.drawn.customers[first.customer], self._names
        if not self._up[names[gateway]]:  # another of its set, the next one round
            ring = [(gateway + step) % len(names) for step in range(1, len(names))]
            ring = [
                g for g in ring if (g - customer.first) % len(names) < customer.width and self._up[names[g]]
            ]
            gateway = ring[0] if ring else gateway
        rid = request_id(first.index, number, gateway, self.drawn.seed)
        pending = Pending(self, first, number, rid, names[gateway], due)
        now = self._clock.now
        self.tally.record_offered(due, now)
        target = self._gateways[pending.gateway]
        if not target.accepting:
            self._clock.after(HOP_MS, self.ended, pending, r.REFUSED, 0, 0.0)
            return
        left = due + first.try_ms - now
        self._write(r.Asked(now, rid, first.index, number, pending.gateway, round(left, 3), due))
        leaves = first.leaves_ms if not number else 0.0
        if leaves and leaves < left:
            pending.timer = self._clock.after(leaves, self._leave, pending)
        else:
            pending.timer = self._clock.after(left, self._late, pending)
        cls = self.drawn.scenario.classes[first.cls]
        target.request(
            pending,
            {
                "rid": rid,
                "left_ms": float(f"{left:.0f}"),
                "cls": cls.name,
                "plan": self.drawn.plans[customer.plan].name,
                "customer": customer.id,
                "units": float(first.guess),
                "width": customer.width,
                "first": customer.first,
                "repeat": number > 0,
            },
        )

    # --- Ends ---------------------------------------------------------------------------------------------

    def _leave(self, pending: Pending) -> None:
        self._gateways[pending.gateway].left(pending.id)
        self.ended(pending, r.LEFT, 0, 0.0)

    def _late(self, pending: Pending) -> None:
        pending.late = True
        self._retry(pending, 0.0)
        pending.timer = self._clock.after(self._overdue_ms, self._overdue, pending)

    def _overdue(self, pending: Pending) -> None:
        self._gateways[pending.gateway].left(pending.id)
        self.ended(pending, r.TIMED_OUT, 0, 0.0)

    def ended(self, pending: Pending, how: str, status: int, retry_ms: float) -> None:
        """A try is over."""
        if pending.over:
            return
        pending.over = True
        if pending.timer is not None:
            pending.timer.cancel()
        now = self._clock.now
        self._write(r.Answered(now, pending.id, pending.gateway, how, status))
        self.tally.record_end(pending, how, status, now)
        good = how == r.WHOLE and status == 200
        if not pending.late and how != r.LEFT and not good:
            self._retry(pending, retry_ms, refused=status in (429, 503) or how == r.REFUSED)
        self.left -= 1

    def _retry(self, pending: Pending, retry_ms: float, refused: bool = False) -> None:
        first, clients = pending.first, self.drawn.scenario.clients
        cls = self.drawn.scenario.classes[first.cls]
        if pending.number >= clients.retries or not (refused or cls.effect != "unsafe"):
            return
        luck = first.backoff_luck[pending.number]
        backoff = interpolate(clients.backoff_ms, luck) * 2**pending.number
        wait = max(backoff, min(retry_ms, clients.max_retry_after_ms) if first.honours else 0.0)
        at = self._clock.now + wait
        if at < first.due_ms + cls.deadline_ms:
            self.left += 1
            self._clock.at(at, self._send, first, pending.number + 1, at)
