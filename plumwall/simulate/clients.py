"""Clients in virtual time, with the rules of the emulator's clients for sending and retries."""

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


class PendingTry:
    """A try that has been sent and has no result yet."""

    __slots__ = ("clients", "first", "number", "id", "gateway", "due_ms", "timer", "is_over", "is_late")

    def __init__(
        self, clients: SimClients, first: FirstTry, number: int, rid: str, gateway: str, due_ms: float
    ) -> None:
        self.clients, self.first, self.number, self.id = clients, first, number, rid
        self.gateway, self.due_ms = gateway, due_ms
        self.is_over = self.is_late = False
        self.timer: Timer | None = None

    def on_answer(self, status: int, retry_ms: float) -> None:
        """Receive the final answer; `retry_ms` is the Retry-After time, 0 for none."""
        self.clients.ended(self, r.COMPLETE, status, retry_ms)

    def on_connection_lost(self) -> None:
        """Handle a connection that ended without an answer; a new one to the gateway is refused."""
        self.clients.ended(self, r.CLOSED if self.is_late else r.REFUSED, 0, 0.0)


class SimClients:
    """Sends each first try when it is due to one of the gateways of its customer, and the retries."""

    def __init__(
        self,
        world: GeneratedWorld,
        clock: Clock,
        write: Callable[[r.Record], None],
        gateways: Mapping[str, SimGateway],
        overdue_ms: float,
    ) -> None:
        self.world, self._clock, self._write = world, clock, write
        self._gateways, self._overdue_ms = gateways, overdue_ms
        self._names = [gateway.name for gateway in world.gateways]
        self._is_up = dict.fromkeys(self._names, True)
        self.tally = Tally(
            [c.name for c in world.scenario.classes], [world.plans[c.plan].name for c in world.customers]
        )
        self._detection_delay_ms = (
            draw_between(world.random_streams.stream("notice"), world.scenario.clients.notice_s) * 1000
        )
        self.remaining = len(world.first_tries)  # tries that are pending or not yet sent

    def start(self) -> None:
        """Start sending the tries in the order of their times."""
        self._send_and_schedule(iter(self.world.first_tries))

    def _send_and_schedule(self, tries: object, first: FirstTry | None = None) -> None:
        """Send a try and schedule the next one; a single timer, as there may be millions of tries."""
        if first is not None:
            self._send(first, 0, first.due_ms)
        next_try = next(tries, None)
        if next_try is not None:
            self._clock.at(next_try.due_ms, self._send_and_schedule, tries, next_try)

    def apply(self, event: FaultEvent) -> None:
        """Apply a fault event: a gateway's end is detected after a delay, its return by health checks."""
        if event.kind in ("gateway_kill", "gateway_restart"):
            self._clock.after(self._detection_delay_ms, self._check_health, event.target)

    def _check_health(self, name: str) -> None:
        self._is_up[name] = self._gateways[name].is_up
        if not self._is_up[name]:
            self._clock.after(HEALTH_POLL_S * 1000, self._check_health, name)

    # --- Sending ------------------------------------------------------------------------------------------

    def _send(self, first: FirstTry, number: int, due_ms: float) -> None:
        gateway = self.world.gateway_of(first, number, due_ms)
        customer, names = self.world.customers[first.customer], self._names
        if not self._is_up[names[gateway]]:  # the next gateway of the customer that is up
            candidates = [(gateway + step) % len(names) for step in range(1, len(names))]
            candidates = [
                candidate
                for candidate in candidates
                if (candidate - customer.first) % len(names) < customer.width
                and self._is_up[names[candidate]]
            ]
            gateway = candidates[0] if candidates else gateway
        rid = request_id(first.index, number, gateway, self.world.seed)
        pending = PendingTry(self, first, number, rid, names[gateway], due_ms)
        now = self._clock.now
        self.tally.record_offered(due_ms, now)
        target = self._gateways[pending.gateway]
        if not target.is_accepting:
            self._clock.after(HOP_MS, self.ended, pending, r.REFUSED, 0, 0.0)
            return
        left_ms = due_ms + first.try_ms - now
        self._write(r.Asked(now, rid, first.index, number, pending.gateway, round(left_ms, 3), due_ms))
        leaves_ms = first.leaves_ms if not number else 0.0
        if leaves_ms and leaves_ms < left_ms:
            pending.timer = self._clock.after(leaves_ms, self._disconnect, pending)
        else:
            pending.timer = self._clock.after(left_ms, self._on_timeout, pending)
        cls = self.world.scenario.classes[first.cls]
        target.receive(
            pending,
            {
                "rid": rid,
                "left_ms": float(f"{left_ms:.0f}"),
                "cls": cls.name,
                "plan": self.world.plans[customer.plan].name,
                "customer": customer.id,
                "units": float(first.guess),
                "width": customer.width,
                "first": customer.first,
                "repeat": number > 0,
            },
        )

    # --- Ends ---------------------------------------------------------------------------------------------

    def _disconnect(self, pending: PendingTry) -> None:
        self._gateways[pending.gateway].on_client_left(pending.id)
        self.ended(pending, r.CLIENT_LEFT, 0, 0.0)

    def _on_timeout(self, pending: PendingTry) -> None:
        pending.is_late = True
        self._retry(pending, 0.0)
        pending.timer = self._clock.after(self._overdue_ms, self._give_up, pending)

    def _give_up(self, pending: PendingTry) -> None:
        self._gateways[pending.gateway].on_client_left(pending.id)
        self.ended(pending, r.TIMED_OUT, 0, 0.0)

    def ended(self, pending: PendingTry, how: str, status: int, retry_ms: float) -> None:
        """Record the only result of a try, and retry if the rules of the clients allow it."""
        if pending.is_over:
            return
        pending.is_over = True
        if pending.timer is not None:
            pending.timer.cancel()
        now = self._clock.now
        self._write(r.Answered(now, pending.id, pending.gateway, how, status))
        self.tally.record_end(pending, how, status, now)
        was_served = how == r.COMPLETE and status == 200
        if not pending.is_late and how != r.CLIENT_LEFT and not was_served:
            self._retry(pending, retry_ms, refused=status in (429, 503) or how == r.REFUSED)
        self.remaining -= 1

    def _retry(self, pending: PendingTry, retry_ms: float, refused: bool = False) -> None:
        first, clients = pending.first, self.world.scenario.clients
        cls = self.world.scenario.classes[first.cls]
        if pending.number >= clients.retries or not (refused or cls.effect != "unsafe"):
            return
        draw = first.backoff_luck[pending.number]
        backoff_ms = interpolate(clients.backoff_ms, draw) * 2**pending.number
        wait_ms = max(backoff_ms, min(retry_ms, clients.max_retry_after_ms) if first.honours else 0.0)
        at_ms = self._clock.now + wait_ms
        if at_ms < first.due_ms + cls.deadline_ms:
            self.remaining += 1
            self._clock.at(at_ms, self._send, first, pending.number + 1, at_ms)
