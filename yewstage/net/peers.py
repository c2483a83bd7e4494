"""Membership of this gateway in the fleet: its datagram socket, its timer, and its status for operators.

Loaded only where `peers` is configured. The tables of `yewstage.shared` are exchanged over
`yewstage.membership`: currently one, of the servers that each gateway considers failing.
"""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from collections import Counter
from collections.abc import Callable, Mapping

import msgspec

from yewstage.log import Event
from yewstage.membership.config import PeersConfig
from yewstage.membership.messages import ALIVE, STATE_NAMES, BadDatagramError, MemberRow, seal, unseal
from yewstage.membership.swim import Swim
from yewstage.net.config import Address, address
from yewstage.shared.anti_entropy import SharedTables
from yewstage.shared.tables import FullTableError, Settings, Table

log = logging.getLogger(__name__)

# Consecutive failures by server, as published by each gateway. The entries of a gateway are ignored if it was
# not heard of within the bound. The table limits the entries of a gateway, as more failures point to a fault
# of its own.
SERVERS_TABLE = Table("servers", 10_000.0, 64)
PUBLISH_INTERVAL_MS = 500.0  # of this gateway's own entries


class Peers(asyncio.DatagramProtocol):
    """This process as a member of the fleet."""

    def __init__(
        self,
        config: PeersConfig,
        name: str,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        failing: Callable[[], Mapping[str, int]] = dict,
    ) -> None:
        """`failing` returns the consecutive failures of the servers that this gateway considers failing."""
        self.config, self._name, self._loop, self._rng = config, name, loop, rng
        self._failing = failing
        self.keys = config.keys
        self.swim: Swim | None = None
        self.shared: SharedTables | None = None
        self._next_publish_ms = 0.0
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._addresses: dict[str, Address] = {}
        self.dropped: Counter[str] = Counter()  # datagrams by reason
        self.sent = self.sent_bytes = self.received = 0
        self._contested = False

    # --- Lifecycle ----------------------------------------------------------------------------------------

    async def open(self) -> Address:
        """Bind the socket without sending anything; returns its address. OSError if the address is in use."""
        self._transport, _ = await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=self.config.listen
        )
        return self._transport.get_extra_info("sockname")[:2]

    def start(self) -> None:
        """Join the fleet. During an upgrade the new process joins after the old one has left."""
        if self.swim is not None:
            return
        host, port = self._transport.get_extra_info("sockname")[:2]
        config = self.config
        me = MemberRow(self._name, secrets.randbits(62), f"{host}:{port}", config.zone, config.region, 1)
        now = self._now_ms()
        self.swim = Swim(me, config.settings, config.seeds, self._rng, now)
        self.shared = SharedTables(self.swim, (SERVERS_TABLE,), Settings(), self._rng, now)
        self._on_timer()

    def leave(self) -> None:
        """Announce that this member leaves; later datagrams are ignored."""
        if self.swim is not None and not self.swim.has_left:
            self.swim.leave(self._now_ms())
            self._flush_output()

    def stop(self) -> None:
        """Leave the fleet and close the socket."""
        self.leave()
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def set_keys(self, keys: tuple[bytes, ...]) -> None:
        """Replace the keys: the first one signs, all of them are accepted."""
        self.keys = keys

    # --- Datagrams ----------------------------------------------------------------------------------------

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.received += 1
        if self.swim is None:
            return
        try:
            datagram = unseal(data, self.config.settings.cluster, self.keys)
        except BadDatagramError as error:
            self.dropped[str(error)] += 1
            return
        self.swim.handle(self._now_ms(), datagram)
        self._flush_output()

    def error_received(self, exc: OSError) -> None:
        """Ignored: an unreachable member is found by its missing answers."""

    def _now_ms(self) -> float:
        return self._loop.time() * 1000

    def _on_timer(self) -> None:
        now = self._now_ms()
        self.swim.tick(now)
        self._publish(now)
        self.shared.tick(now)
        self._flush_output()

    def _publish(self, now: float) -> None:
        """Update this gateway's own entries of the shared table."""
        if now < self._next_publish_ms:
            return
        self._next_publish_ms = now + PUBLISH_INTERVAL_MS
        failing, tables = self._failing(), self.shared.tables
        for (_, server), change in list(tables.own_origin.entries.items()):
            if change.value is not None and server not in failing:
                tables.drop(SERVERS_TABLE.name, server)
        for server, times in failing.items():
            try:
                tables.put(SERVERS_TABLE.name, server, msgspec.msgpack.encode(times))
            except (FullTableError, ValueError):
                break  # the table is full: so many failures point to a fault of this gateway

    def _flush_output(self) -> None:
        output = self.swim.take_output()
        for sender, data in output.payloads:
            self.shared.handle(self._now_ms(), sender, data)
        if output.payloads:
            output.datagrams += self.swim.take_output().datagrams
        for name, at, datagram in output.datagrams:
            data = seal(datagram, self.keys[0])
            self.sent += 1
            self.sent_bytes += len(data)
            self._transport.sendto(data, self._destination(name, at))
        for row in output.changes:
            self._log_change(row)
        if self.swim.name_is_contested != self._contested:
            self._contested = self.swim.name_is_contested
            if self._contested:
                log.error(Event("name_used_twice", "another process goes by {name}", name=self._name))
        if self._timer is not None:
            self._timer.cancel()
        due_ms = (
            min(self.swim.next_tick_at(), self.shared.next_tick_at())
            if not self.swim.has_left
            else float("inf")
        )
        self._timer = self._loop.call_at(due_ms / 1000, self._on_timer) if due_ms != float("inf") else None

    def _destination(self, name: str, at: str) -> Address:
        if name in self.config.reach:
            return self.config.reach[name]
        if at not in self._addresses:
            if len(self._addresses) > 4096:  # entries of former members accumulate
                self._addresses.clear()
            self._addresses[at] = address({"at": at}, "at")
        return self._addresses[at]

    @staticmethod
    def _log_change(row: MemberRow) -> None:
        fields = {
            "member": row.name,
            "state": STATE_NAMES[row.state],
            "zone": row.zone,
            "by": row.reported_by,
        }
        text = "{member} of zone {zone} is {state}" + (", reported by {by}" if row.reported_by else "")
        log.log(logging.INFO if row.state == ALIVE else logging.WARNING, Event("member", text, **fields))

    # --- Status and metrics -------------------------------------------------------------------------------

    def status(self) -> dict[str, object]:
        """Status for `plumwall members`; ages in milliseconds by this process's clock."""
        swim = self.swim
        if swim is None:
            return {"name": self._name, "started": False, "members": []}
        now = self._now_ms()
        rows = [self._member_status(swim.own_row, 0.0)]
        rows += [
            self._member_status(other.row, now - other.state_since) for other in swim.peer_states.values()
        ]
        return {
            "name": self._name,
            "started": True,
            "cluster": self.config.settings.cluster,
            "health": swim.local_health,
            "contested": swim.name_is_contested,
            "suspicions": swim.suspicions,
            "falseSuspicions": swim.false_suspicions,
            "refuted": swim.refuted,
            "sentBytes": self.sent_bytes,
            "dropped": dict(self._dropped_by_reason()),
            "members": sorted(rows, key=lambda row: row["name"]),
            "servers": self._server_reports(now),
        }

    def _server_reports(self, now: float) -> dict[str, list[dict[str, object]]]:
        """Reports of failing servers by server, as far as they are known here and recent enough."""
        reports: dict[str, list[dict[str, object]]] = {}
        zones = {row.name: row.zone for row in self.swim.rows()}
        for entry in self.shared.tables.read(SERVERS_TABLE.name, now):
            row = {"gateway": entry.origin, "zone": zones.get(entry.origin, ""), "ageMs": round(entry.age_ms)}
            reports.setdefault(entry.key, []).append({**row, "times": _parse_failures(entry.value)})
        return reports

    def _dropped_by_reason(self) -> Counter[str]:
        return self.dropped + self.swim.dropped if self.swim is not None else self.dropped

    @staticmethod
    def _member_status(row: MemberRow, since_ms: float) -> dict[str, object]:
        return {
            "name": row.name,
            "life": f"{row.start_id:x}",
            "at": row.address,
            "zone": row.zone,
            "region": row.region,
            "incarnation": row.incarnation,
            "state": STATE_NAMES[row.state],
            "by": row.reported_by,
            "sinceMs": round(since_ms),
        }

    def metrics(self) -> dict[str, float]:
        """Metrics by name."""
        if self.swim is None:
            return {}
        swim, tables, now = self.swim, self.shared.tables, self._now_ms()
        states = Counter(row.state for row in swim.rows())
        ages = sorted(tables.age_ms(row.name, now) for row in swim.alive()) or [0.0]
        return {
            **{f'members{{state="{STATE_NAMES[s]}"}}': states[s] for s in range(len(STATE_NAMES))},
            "members_health": swim.local_health,
            "members_contested": int(swim.name_is_contested),
            "members_suspicions_total": swim.suspicions,
            "members_false_suspicions_total": swim.false_suspicions,
            "members_refuted_total": swim.refuted,
            "members_sent_total": self.sent,
            "members_sent_bytes_total": self.sent_bytes,
            "members_received_total": self.received,
            'shared_age_seconds{quantile="0.5"}': _age_s(ages[len(ages) // 2]),
            'shared_age_seconds{quantile="1"}': _age_s(ages[-1]),
            "shared_entries": sum(1 for _ in tables.read(SERVERS_TABLE.name, now)),
            "shared_bound_bytes": tables.max_bytes(len(ages) + 1),
            "shared_refused_total": tables.refused_deltas + self.shared.undecodable,
            **{
                f'members_dropped_total{{reason="{why}"}}': n
                for why, n in sorted(self._dropped_by_reason().items())
            },
        }


def _parse_failures(value: bytes) -> int:
    """Consecutive failures of a server as another gateway published them; 0 if the value is invalid."""
    try:
        return msgspec.msgpack.decode(value, type=int)
    except msgspec.MsgspecError:
        return 0


def _age_s(age_ms: float) -> float:
    """An age for the metrics; -1 if it is unknown."""
    return round(age_ms / 1000, 3) if age_ms != float("inf") else -1.0
