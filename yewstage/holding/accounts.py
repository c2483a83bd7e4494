"""Customers' quotas as accounts from which gateways are granted shares. Pure.

An account is the customer's store: units that fill at a rate up to a burst. A share is taken out of it before
a gateway may spend it, and stands beside it as granted until its time is over by the leader's clock, spent or
not: so long what is in the account and what is granted together never exceed the burst. The gateway's own
time for it began earlier, when it asked, and is shorter by what clocks may run apart. So whatever fails, all
gateways together never spend what the customer's store does not hold; what is lost is room: a share whose
gateway is lost, and what did not fill meanwhile.

    in account + granted, not over  <=  burst;   filled in t ms  <=  rate x t / 1000 x (1 - drift)

Times are the leader's own; a new leader fills nothing for the time before it, and gives shares their whole
time anew. A backup that is restored knows nothing of later grants: these units may be granted once more.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from yewstage.registry.store import Entry, RefusedError

MOST = 100_000  # accounts of one group; past that no new ones are opened
LIFE_MS = 1.0, 60_000.0
MOST_SHARES = 1000  # granted of one account at one time
BATCH = 500  # looked at, and so forgotten by one entry, at a time


@dataclass(slots=True)
class Share:
    """Units that one gateway may spend. A later serial of the same life of a gateway ends all before it."""

    by: str
    serial: int
    units: float
    life_ms: float  # as the gateway counts it
    until: float  # by our clock: longer than the gateway's


@dataclass(slots=True, frozen=True)
class Ask:
    """What a gateway asks for."""

    by: str  # its name and life
    serial: int  # rises with each question of that life
    rate: float  # of the customer's quota, units a second
    burst: float
    want: float
    least: float
    life_ms: float


@dataclass(slots=True)
class Account:
    """One customer's."""

    rate: float  # units a second
    burst: float
    units: float
    at: float
    shares: list[Share] = field(default_factory=list)


class Accounts:
    """Those of one group."""

    def __init__(self, drift: float) -> None:
        self._drift = drift
        self.all: dict[str, Account] = {}
        self._looks: list[str] = []  # names that are to be looked at in this turn

    # --- Planned by the leader ----------------------------------------------------------------------------

    def plan_take(self, name: str, ask: Ask, now: float) -> tuple[Entry | None, float]:
        """Grant a share: what is to be written, and the units.

        Half of what is there, unless less is wanted or `least` is more, so that gateways that ask after it
        find something; nothing where not even `least` is there. The gateway spends no more of its earlier
        shares. A call that comes again is told what it was granted; one that was overtaken, nothing.
        """
        known = self.all.get(name)
        if known is None and len(self.all) >= MOST:
            raise RefusedError(503, f"{MOST} accounts are open already")
        units, shares = self._now(known, ask.rate, ask.burst, now)
        mine = [share for share in shares if share.by == ask.by and share.serial >= ask.serial]
        if mine:
            return None, mine[0].units if mine[0].serial == ask.serial else 0.0
        if units < ask.least or len(shares) >= MOST_SHARES:
            return None, 0.0
        given = min(ask.want, max(units / 2, ask.least))
        entry = {
            "op": "take",
            "account": name,
            "by": ask.by,
            "serial": ask.serial,
            "rate": ask.rate,
            "burst": ask.burst,
            "left": units - given,
            "units": given,
            "life": ask.life_ms,
        }
        return entry, given

    def plan_forget(self, now: float) -> list[str]:
        """Accounts that are full, with nothing granted: a new one would be the same. Each call looks at some,
        in turn, for there may be many."""
        if not self._looks:
            self._looks = list(self.all)
        looked, self._looks = self._looks[-BATCH:], self._looks[:-BATCH]
        return [name for name in looked if name in self.all and self._full(self.all[name], now)]

    def _full(self, account: Account, now: float) -> bool:
        units, shares = self._now(account, account.rate, account.burst, now)
        return not shares and units >= account.burst

    def _now(
        self, account: Account | None, rate: float, burst: float, now: float
    ) -> tuple[float, list[Share]]:
        """What is in an account, and which shares are not over. It fills beside what is granted: each share
        that came to be over since then has left room from that time on only."""
        if account is None:
            return burst, []
        units, at = min(account.units, burst), account.at
        room = burst - sum(share.units for share in account.shares)
        rate = min(rate, account.rate) / 1000 * (1 - self._drift)
        over = sorted((share for share in account.shares if share.until <= now), key=lambda s: s.until)
        for until, given in (*((share.until, share.units) for share in over), (now, 0.0)):
            units = max(units, min(units + rate * max(until - at, 0.0), room))
            at, room = max(at, until), room + given
        return units, [share for share in account.shares if share.until > now]

    # --- Applied by all -----------------------------------------------------------------------------------

    def take(self, entry: Entry, now: float) -> None:
        """Bring a grant about."""
        name, by, serial = entry["account"], entry["by"], entry["serial"]
        shares = [
            share
            for share in (self.all[name].shares if name in self.all else ())
            if share.until > now and not (share.by == by and share.serial < serial)
        ]
        shares.append(self._share(by, serial, entry["units"], entry["life"], now))
        self.all[name] = Account(entry["rate"], entry["burst"], entry["left"], now, shares)

    def _share(self, by: str, serial: int, units: float, life_ms: float, now: float) -> Share:
        return Share(by, serial, units, life_ms, now + life_ms * (1 + 2 * self._drift))

    def forget(self, names: list[str]) -> None:
        """Let accounts go."""
        for name in names:
            self.all.pop(name, None)

    # --- Kept ---------------------------------------------------------------------------------------------

    def snapshot(self) -> dict[str, list[object]]:
        """All of them, without times: these are a leader's own."""
        return {
            name: [a.rate, a.burst, a.units, [[s.by, s.serial, s.units, s.life_ms] for s in a.shares]]
            for name, a in self.all.items()
        }

    def restore(self, state: dict[str, list[object]], now: float) -> None:
        """As it was; each share has its whole time, and nothing has filled meanwhile."""
        for name, (rate, burst, units, shares) in state.items():
            kept = [self._share(*share, now) for share in shares]
            self.all[name] = Account(rate, burst, units, now, kept)

    def told(self, name: str, now: float) -> dict[str, object] | None:
        """What is known of an account."""
        account = self.all.get(name)
        if account is None:
            return None
        units, shares = self._now(account, account.rate, account.burst, now)
        return {
            "rate": account.rate,
            "burst": account.burst,
            "units": round(units, 3),
            "granted": [_told(share, now) for share in shares],
        }

    def granted(self, now: float) -> Iterator[float]:
        """Units of shares that are not over."""
        for account in self.all.values():
            yield from (share.units for share in account.shares if share.until > now)


def _told(share: Share, now: float) -> dict[str, object]:
    return {"by": share.by, "units": round(share.units, 3), "leftMs": round(share.until - now)}
