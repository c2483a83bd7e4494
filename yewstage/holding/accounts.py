"""Customers' quotas as accounts (token buckets) from which gateways are granted shares. No clock, no sockets.

An account holds units that refill at a rate up to a burst. A share is taken out of the account before a
gateway may spend it, and counts as granted until its lifetime ends by the leader's clock, whether it is spent
or not. Until then the units in the account and the granted ones together never exceed the burst. The
gateway's own lifetime of a share starts earlier, when it asks, and is shorter by the possible drift between
clocks. All gateways together therefore never spend more than the quota allows, whatever fails. A failure
costs capacity only: the share of a lost gateway is unused, and the account does not refill in its place until
the share expires.

    units in account + unexpired granted units  <=  burst
    units refilled in t ms  <=  rate * t / 1000 * (1 - drift)

Times are those of the leader. A new leader refills nothing for the time before it led, and restarts the
lifetime of each share. A restored backup has no record of grants made after it, so these units may be granted
a second time.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from yewstage.registry.store import Entry, RefusedError

MAX_ACCOUNTS = 100_000  # in one group; beyond that no new ones are opened
SHARE_LIFE_RANGE_MS = 1.0, 60_000.0  # shortest and longest lifetime of a share that may be asked for
MAX_SHARES_PER_ACCOUNT = 1000  # unexpired
EXPIRY_BATCH = 500  # accounts looked at in one call, and so the most that one entry removes


@dataclass(slots=True)
class Share:
    """Units granted to one gateway. A share with a later serial of the same incarnation replaces it."""

    by: str
    serial: int
    units: float
    life_ms: float  # by the gateway's clock
    expires_at: float  # ms by the leader's clock: later than by the gateway's


@dataclass(slots=True, frozen=True)
class ShareRequest:
    """A gateway's request for a share."""

    by: str  # name and incarnation of the gateway
    serial: int  # rises with each request of that incarnation
    rate: float  # of the customer's quota, units a second
    burst: float  # of the customer's quota, units
    want: float  # the most units that are of use
    least: float  # the fewest units that are of use
    life_ms: float


@dataclass(slots=True)
class Account:
    """The account of one customer."""

    rate: float  # units a second
    burst: float
    units: float  # at the time `at`, without those granted
    at: float  # ms
    shares: list[Share] = field(default_factory=list)


class Accounts:
    """The accounts of one group; `drift` bounds the relative difference between two clocks."""

    def __init__(self, drift: float) -> None:
        self._drift = drift
        self.by_name: dict[str, Account] = {}
        self._to_scan: list[str] = []  # names not yet looked at in this pass

    # --- Plans of the leader ------------------------------------------------------------------------------

    def plan_take(self, name: str, request: ShareRequest, now: float) -> tuple[Entry | None, float]:
        """Plan the grant of a share: the entry, and the units granted.

        The grant is half of the account, so that gateways that ask next find some units. It is less if less
        is wanted, and more if `least` is more; it is 0 if the account has fewer than `least`. A gateway that
        asks spends no more of its earlier shares. A repeated request gets what it was granted before, one
        with an older serial than the latest gets 0.

        RefusedError 503 if the group has the most accounts that are allowed.
        """
        known = self.by_name.get(name)
        if known is None and len(self.by_name) >= MAX_ACCOUNTS:
            raise RefusedError(503, f"{MAX_ACCOUNTS} accounts are open already")
        units, shares = self._balance(known, request.rate, request.burst, now)
        not_older = [share for share in shares if share.by == request.by and share.serial >= request.serial]
        if not_older:
            return None, not_older[0].units if not_older[0].serial == request.serial else 0.0
        if units < request.least or len(shares) >= MAX_SHARES_PER_ACCOUNT:
            return None, 0.0
        granted_units = min(request.want, max(units / 2, request.least))
        entry = {
            "op": "take",
            "account": name,
            "by": request.by,
            "serial": request.serial,
            "rate": request.rate,
            "burst": request.burst,
            "left": units - granted_units,
            "units": granted_units,
            "life": request.life_ms,
        }
        return entry, granted_units

    def plan_expiry(self, now: float) -> list[str]:
        """Names of accounts to remove: full ones with no share, since a new account would equal them.

        There may be many accounts, so each call looks at the next batch only.
        """
        if not self._to_scan:
            self._to_scan = list(self.by_name)
        batch, self._to_scan = self._to_scan[-EXPIRY_BATCH:], self._to_scan[:-EXPIRY_BATCH]
        return [name for name in batch if name in self.by_name and self._is_unused(self.by_name[name], now)]

    def _is_unused(self, account: Account, now: float) -> bool:
        units, shares = self._balance(account, account.rate, account.burst, now)
        return not shares and units >= account.burst

    def _balance(
        self, account: Account | None, rate: float, burst: float, now: float
    ) -> tuple[float, list[Share]]:
        """The units in an account and its unexpired shares at a time.

        The account refills up to the burst less the granted units. A share that expired since the last update
        therefore makes room only from the time at which it expired.
        """
        if account is None:
            return burst, []
        units, at = min(account.units, burst), account.at
        room = burst - sum(share.units for share in account.shares)
        rate = min(rate, account.rate) / 1000 * (1 - self._drift)
        expired = sorted(
            (share for share in account.shares if share.expires_at <= now), key=lambda s: s.expires_at
        )
        for expires_at, granted_units in (
            *((share.expires_at, share.units) for share in expired),
            (now, 0.0),
        ):
            units = max(units, min(units + rate * max(expires_at - at, 0.0), room))
            at, room = max(at, expires_at), room + granted_units
        return units, [share for share in account.shares if share.expires_at > now]

    # --- Entries, applied by all replicas -----------------------------------------------------------------

    def apply_grant(self, entry: Entry, now: float) -> None:
        """Apply the entry of a grant."""
        name, by, serial = entry["account"], entry["by"], entry["serial"]
        shares = [
            share
            for share in (self.by_name[name].shares if name in self.by_name else ())
            if share.expires_at > now and not (share.by == by and share.serial < serial)
        ]
        shares.append(self._share(by, serial, entry["units"], entry["life"], now))
        self.by_name[name] = Account(entry["rate"], entry["burst"], entry["left"], now, shares)

    def _share(self, by: str, serial: int, units: float, life_ms: float, now: float) -> Share:
        return Share(by, serial, units, life_ms, now + life_ms * (1 + 2 * self._drift))

    def remove(self, names: list[str]) -> None:
        """Remove accounts; names without an account are ignored."""
        for name in names:
            self.by_name.pop(name, None)

    # --- Snapshots and status -----------------------------------------------------------------------------

    def snapshot(self) -> dict[str, list[object]]:
        """All accounts, without times, since these are valid on one leader only."""
        return {
            name: [a.rate, a.burst, a.units, [[s.by, s.serial, s.units, s.life_ms] for s in a.shares]]
            for name, a in self.by_name.items()
        }

    def restore(self, state: dict[str, list[object]], now: float) -> None:
        """Restore a snapshot: each share gets its full lifetime, and nothing refills for the time between."""
        for name, (rate, burst, units, shares) in state.items():
            restored_shares = [self._share(*share, now) for share in shares]
            self.by_name[name] = Account(rate, burst, units, now, restored_shares)

    def describe(self, name: str, now: float) -> dict[str, object] | None:
        """An account as operators see it; None if there is none."""
        account = self.by_name.get(name)
        if account is None:
            return None
        units, shares = self._balance(account, account.rate, account.burst, now)
        return {
            "rate": account.rate,
            "burst": account.burst,
            "units": round(units, 3),
            "granted": [_describe_share(share, now) for share in shares],
        }

    def granted(self, now: float) -> Iterator[float]:
        """The units of each unexpired share."""
        for account in self.by_name.values():
            yield from (share.units for share in account.shares if share.expires_at > now)


def _describe_share(share: Share, now: float) -> dict[str, object]:
    return {"by": share.by, "units": round(share.units, 3), "leftMs": round(share.expires_at - now)}
