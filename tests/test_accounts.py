"""Shares of quotas: granted by accounts, spent by gateways, never more than the customer's store holds."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from plumwall.world.quota import TokenBucket
from yewstage.holding.accounts import Accounts, Ask
from yewstage.holding.keys import KeyStore
from yewstage.registry.store import RefusedError, Rules

RATE, BURST, LIFE_MS, DRIFT = 20.0, 30.0, 3000.0, 0.01


@dataclass
class World:
    """A leader that changes, gateways that spend what they were granted late; the true store."""

    rng: random.Random
    fills: float  # units a second
    now: float = 1e6
    store: TokenBucket = field(init=False)
    keys: KeyStore = field(default_factory=lambda: KeyStore(Rules(drift=DRIFT)))
    shares: dict[str, list[float]] = field(default_factory=dict)  # by gateway: units left, until when
    serials: dict[str, int] = field(default_factory=dict)
    asks: list[Ask] = field(default_factory=list)  # that were made: they may come again, whenever
    rate: float = 1.0  # of the leader's clock
    off: float = 0.0
    spent: float = 0.0

    def __post_init__(self) -> None:
        self.store = TokenBucket(self.fills, BURST, BURST, self.now)

    def leaders(self) -> float:
        return self.now * self.rate + self.off

    def take(self) -> None:
        by = f"g{self.rng.randrange(3)}"
        serial = self.serials[by] = self.serials.get(by, 0) + 1
        self.shares.pop(by, None)  # it spends no more of the one before
        asked, want = self.now, self.rng.uniform(0, 25)
        ask = Ask(by, serial, self.fills, BURST, want, 1.0, LIFE_MS)
        self.asks.append(ask)
        units = 0.0
        for _ in range(self.rng.choice((1, 1, 2))):  # the call may be made again
            self.now += self.rng.choice((0.0, 1.0, 300.0))
            units = self.call(ask)
        self.now += self.rng.choice((0.0, 5.0))
        if self.rng.random() < 0.85:  # else the answer is lost, and the share with it
            clock = self.rng.uniform(1 - DRIFT / 2, 1 + DRIFT / 2)
            self.shares[by] = [units, asked + LIFE_MS / clock]

    def call(self, ask: Ask) -> float:
        entry, units = self.keys.accounts.plan_take("c", ask, self.leaders())
        if entry is not None:
            self.keys.apply(entry, self.leaders())
        return units

    def late(self) -> None:
        """A call of some time ago comes again, and nobody waits for its answer."""
        if self.asks:
            self.call(self.rng.choice(self.asks[-6:]))

    def spend(self) -> None:
        here = [s for s in self.shares.values() if s[0] > 1e-9 and s[1] > self.now]
        if not here:
            return
        share = self.rng.choice(here)
        units = share[0] if self.rng.random() < 0.4 else share[0] * self.rng.random()
        share[0] -= units
        self.spent += units
        assert self.store.refill(self.now) >= units - 1e-6, (self.now, units, self.store.units)
        self.store.units -= units

    def wait(self) -> None:
        self.now += self.rng.choice((1.0, 50.0, 400.0, LIFE_MS * 0.999, 2 * LIFE_MS, 60_000.0))

    def change_leader(self) -> None:
        """Another one, whose clock is hours off and runs otherwise; also a follower that applied all late."""
        state = self.keys.snapshot()
        self.rate = self.rng.uniform(1 - DRIFT / 2, 1 + DRIFT / 2)
        self.off = self.rng.uniform(-1e7, 1e7)
        self.keys = KeyStore.restored(Rules(drift=DRIFT), state, self.leaders())

    def forget(self) -> None:
        if (entry := self.keys.plan_forget(self.leaders())) is not None:
            self.keys.apply(entry, self.leaders())


@pytest.mark.parametrize("seed", range(40))
def test_whatever_is_lost_stopped_or_off_no_more_is_spent_than_the_customers_store_holds(seed: int) -> None:
    rng = random.Random(seed)
    world = World(rng, (RATE, 2.0)[seed % 2])  # full again sooner than a share is over, and much later
    steps = (
        world.take,
        world.take,
        world.spend,
        world.spend,
        world.spend,
        world.wait,
        world.forget,
        world.late,
    )
    for _ in range(600):
        (world.change_leader if rng.random() < 0.02 else rng.choice(steps))()
        account = world.keys.accounts.told("c", world.leaders())
        if account is not None:
            granted = sum(share["units"] for share in account["granted"])
            assert account["units"] + granted <= BURST + 0.01
    assert world.spent > 2 * BURST  # it is no bound that nobody comes near


def ask(by: str, serial: int, want: float, least: float = 1.0) -> Ask:
    return Ask(by, serial, RATE, BURST, want, least, LIFE_MS)


def granted(accounts: Accounts, question: Ask, now: float = 0.0) -> float:
    entry, units = accounts.plan_take("c", question, now)
    if entry is not None:
        accounts.take(entry, now)
    return units


def test_a_share_is_half_of_what_is_there_at_the_most_and_nothing_where_the_least_is_not_there() -> None:
    accounts = Accounts(DRIFT)
    assert granted(accounts, ask("g1", 1, 1000.0)) == BURST / 2
    assert granted(accounts, ask("g2", 1, 1000.0, 12.0)) == 12.0
    assert granted(accounts, ask("g3", 1, 5.0, 4.0)) == 0.0
    assert [share["by"] for share in accounts.told("c", 0.0)["granted"]] == ["g1", "g2"]


def test_a_question_that_comes_again_is_granted_once_and_one_that_was_overtaken_nothing() -> None:
    accounts = Accounts(DRIFT)
    assert granted(accounts, ask("g1", 2, 10.0)) == 10.0 == granted(accounts, ask("g1", 2, 10.0))
    assert granted(accounts, ask("g1", 1, 10.0)) == 0.0
    assert granted(accounts, ask("g1", 3, 5.0)) == 5.0  # the one before is over, as the gateway says
    assert [share["units"] for share in accounts.told("c", 0.0)["granted"]] == [5.0]
    assert granted(accounts, ask("g1", 2, 10.0)) == 0.0


def test_what_a_lost_gateway_held_fills_again_after_its_time_and_a_full_account_is_forgotten() -> None:
    accounts = Accounts(DRIFT)
    assert granted(accounts, ask("g1", 1, BURST, BURST)) == BURST
    over = LIFE_MS * (1 + 2 * DRIFT)
    assert accounts.told("c", over - 1)["units"] == 0.0  # the gateway may have spent it, or may yet
    assert 9.0 < accounts.told("c", over + 500)["units"] < 10.0
    full = over + 1000 * BURST / RATE / (1 - DRIFT)
    assert accounts.plan_forget(full - 10) == [] and accounts.plan_forget(full + 10) == ["c"]


def test_accounts_are_bounded_and_folders_of_earlier_versions_are_read() -> None:
    old = KeyStore.restored(Rules(), {"keys": {"k": ["g/1", 5000.0]}}, 0.0)
    assert old.records["k"].claimant == "g/1" and not old.accounts.all
    accounts = Accounts(DRIFT)
    accounts.all = dict.fromkeys(map(str, range(100_000)))
    with pytest.raises(RefusedError, match="accounts are open already"):
        granted(accounts, ask("g", 1, 1.0))
