"""This gateway among the others: datagrams in and out, a timer, what is known for operators.

Loaded only where `peers` is configured. Over `membership` go the tables of `shared`: at first one, of the
servers that each gateway finds failing.
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
from yewstage.membership.messages import ALIVE, STATES, BadDatagramError, MemberRow, seal, unseal
from yewstage.membership.swim import Swim
from yewstage.net.config import Address, address
from yewstage.shared.anti_entropy import SharedTables
from yewstage.shared.tables import FullTableError, Settings, Table

log = logging.getLogger(__name__)

# Told by a gateway of a server that fails for it, in a row so often. A gateway that was not heard of for
# longer than the bound is not counted; more than so many servers at one gateway are its own trouble.
SERVERS = Table("servers", 10_000.0, 64)
PUBLISH_MS = 500.0  # spacing of the look at what this gateway finds


class Peers(asyncio.DatagramProtocol):
    """This process among the others."""

    def __init__(
        self,
        config: PeersConfig,
        name: str,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        failing: Callable[[], Mapping[str, int]] = dict,
    ) -> None:
        """`failing`: servers that this gateway finds so, and how often in a row."""
        self.config, self._name, self._loop, self._rng = config, name, loop, rng
        self._failing = failing
        self.keys = config.keys
        self.swim: Swim | None = None
        self.shared: SharedTables | None = None
        self._publish_at = 0.0
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._addresses: dict[str, Address] = {}
        self.dropped: Counter[str] = Counter()  # datagrams, by reason
        self.sent = self.sent_bytes = self.came = 0
        self._contested = False

    # --- Life ---------------------------------------------------------------------------------------------

    async def open(self) -> Address:
        """Take the address; nothing is said yet. OSError where it is taken."""
        self._transport, _ = await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=self.config.listen
        )
        return self._transport.get_extra_info("sockname")[:2]

    def start(self) -> None:
        """Say that we are there. A process that goes on for another one does so once that one leaves."""
        if self.swim is not None:
            return
        host, port = self._transport.get_extra_info("sockname")[:2]
        config = self.config
        me = MemberRow(self._name, secrets.randbits(62), f"{host}:{port}", config.zone, config.region, 1)
        now = self._now()
        self.swim = Swim(me, config.settings, config.seeds, self._rng, now)
        self.shared = SharedTables(self.swim, (SERVERS,), Settings(), self._rng, now)
        self._ring()

    def leave(self) -> None:
        """Say that we go; what comes after that is not read."""
        if self.swim is not None and not self.swim.left:
            self.swim.leave(self._now())
            self._pump()

    def stop(self) -> None:
        """Leave and close."""
        self.leave()
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def rekey(self, keys: tuple[bytes, ...]) -> None:
        """Other keys: the first signs, each is taken."""
        self.keys = keys

    # --- Datagrams ----------------------------------------------------------------------------------------

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.came += 1
        if self.swim is None:
            return
        try:
            letter = unseal(data, self.config.settings.cluster, self.keys)
        except BadDatagramError as error:
            self.dropped[str(error)] += 1
            return
        self.swim.handle(self._now(), letter)
        self._pump()

    def error_received(self, exc: OSError) -> None:
        """Nobody is at an address that we sent to: its silence says so anyway."""

    def _now(self) -> float:
        return self._loop.time() * 1000

    def _ring(self) -> None:
        now = self._now()
        self.swim.tick(now)
        self._publish(now)
        self.shared.tick(now)
        self._pump()

    def _publish(self, now: float) -> None:
        """Bring our own entries to what we find now."""
        if now < self._publish_at:
            return
        self._publish_at = now + PUBLISH_MS
        found, tables = self._failing(), self.shared.tables
        for (_, server), change in list(tables.own.entries.items()):
            if change.value is not None and server not in found:
                tables.drop(SERVERS.name, server)
        for server, times in found.items():
            try:
                tables.put(SERVERS.name, server, msgspec.msgpack.encode(times))
            except (FullTableError, ValueError):
                break  # so many that it is ourselves

    def _pump(self) -> None:
        out = self.swim.take()
        for sender, data in out.carried:
            self.shared.handle(self._now(), sender, data)
        if out.carried:
            out.letters += self.swim.take().letters
        for name, at, letter in out.letters:
            data = seal(letter, self.keys[0])
            self.sent += 1
            self.sent_bytes += len(data)
            self._transport.sendto(data, self._where(name, at))
        for row in out.changes:
            self._tell(row)
        if self.swim.contested != self._contested:
            self._contested = self.swim.contested
            if self._contested:
                log.error(Event("name_used_twice", "another process goes by {name}", name=self._name))
        if self._timer is not None:
            self._timer.cancel()
        due = min(self.swim.next_at(), self.shared.next_at()) if not self.swim.left else float("inf")
        self._timer = self._loop.call_at(due / 1000, self._ring) if due != float("inf") else None

    def _where(self, name: str, at: str) -> Address:
        if name in self.config.reach:
            return self.config.reach[name]
        if at not in self._addresses:
            if len(self._addresses) > 4096:  # of members that came and went
                self._addresses.clear()
            self._addresses[at] = address({"at": at}, "at")
        return self._addresses[at]

    @staticmethod
    def _tell(row: MemberRow) -> None:
        words = {"member": row.name, "state": STATES[row.state], "zone": row.zone, "by": row.by}
        text = "{member} of zone {zone} is {state}" + (", says {by}" if row.by else "")
        log.log(logging.INFO if row.state == ALIVE else logging.WARNING, Event("member", text, **words))

    # --- What is known ------------------------------------------------------------------------------------

    def status(self) -> dict[str, object]:
        """For `plumwall members`. Ages in ms, by this process's clock."""
        swim = self.swim
        if swim is None:
            return {"name": self._name, "started": False, "members": []}
        now = self._now()
        rows = [self._row(swim.own_row, 0.0)]
        rows += [self._row(other.row, now - other.since) for other in swim.peers.values()]
        return {
            "name": self._name,
            "started": True,
            "cluster": self.config.settings.cluster,
            "health": swim.health,
            "contested": swim.contested,
            "suspicions": swim.suspicions,
            "falseSuspicions": swim.false_suspicions,
            "refuted": swim.refuted,
            "sentBytes": self.sent_bytes,
            "dropped": dict(self._drops()),
            "members": sorted(rows, key=lambda row: row["name"]),
            "servers": self._servers(now),
        }

    def _servers(self, now: float) -> dict[str, list[dict[str, object]]]:
        """Who finds which server failing, as far as that is known here and new enough."""
        found: dict[str, list[dict[str, object]]] = {}
        zones = {row.name: row.zone for row in self.swim.rows()}
        for told in self.shared.tables.read(SERVERS.name, now):
            row = {"gateway": told.origin, "zone": zones.get(told.origin, ""), "ageMs": round(told.age_ms)}
            found.setdefault(told.key, []).append({**row, "times": _times(told.value)})
        return found

    def _drops(self) -> Counter[str]:
        return self.dropped + self.swim.dropped if self.swim is not None else self.dropped

    @staticmethod
    def _row(row: MemberRow, since_ms: float) -> dict[str, object]:
        return {
            "name": row.name,
            "life": f"{row.start_id:x}",
            "at": row.at,
            "zone": row.zone,
            "region": row.region,
            "incarnation": row.incarnation,
            "state": STATES[row.state],
            "by": row.by,
            "sinceMs": round(since_ms),
        }

    def metrics(self) -> dict[str, float]:
        """By name, as the gateway's figures are told."""
        if self.swim is None:
            return {}
        swim, tables, now = self.swim, self.shared.tables, self._now()
        states = Counter(row.state for row in swim.rows())
        ages = sorted(tables.age_ms(row.name, now) for row in swim.alive()) or [0.0]
        return {
            **{f'members{{state="{STATES[s]}"}}': states[s] for s in range(len(STATES))},
            "members_health": swim.health,
            "members_contested": int(swim.contested),
            "members_suspicions_total": swim.suspicions,
            "members_false_suspicions_total": swim.false_suspicions,
            "members_refuted_total": swim.refuted,
            "members_sent_total": self.sent,
            "members_sent_bytes_total": self.sent_bytes,
            "members_received_total": self.came,
            'shared_age_seconds{quantile="0.5"}': _seconds(ages[len(ages) // 2]),
            'shared_age_seconds{quantile="1"}': _seconds(ages[-1]),
            "shared_entries": sum(1 for _ in tables.read(SERVERS.name, now)),
            "shared_bound_bytes": tables.bound_bytes(len(ages) + 1),
            "shared_refused_total": tables.refused + self.shared.nonsense,
            **{f'members_dropped_total{{reason="{why}"}}': n for why, n in sorted(self._drops().items())},
        }


def _times(value: bytes) -> int:
    """How often in a row a server has failed, as another gateway tells it; 0 where that makes no sense."""
    try:
        return msgspec.msgpack.decode(value, type=int)
    except msgspec.MsgspecError:
        return 0


def _seconds(age_ms: float) -> float:
    """For a figure: -1 where nothing is known."""
    return round(age_ms / 1000, 3) if age_ms != float("inf") else -1.0
