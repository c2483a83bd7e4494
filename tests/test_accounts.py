"""Quota shares granted by accounts: gateways never spend more than the customer's quota allows."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from plumwall.world.quota import TokenBucket
from yewstage.holding.accounts import Accounts, ShareRequest
from yewstage.holding.keys import KeyStore
from yewstage.registry.store import RefusedError, Rules

RATE, BURST, LIFE_MS, DRIFT = 20.0, 30.0, 3000.0, 0.01


@dataclass
class QuotaSimulation:
    """A changing leader, gateways that spend their shares late, and the true quota to compare with."""

    rng: random.Random
    refill_rate: float  # units a second
    now: float = 1e6
    true_quota: TokenBucket = field(init=False)
    keys: KeyStore = field(default_factory=lambda: KeyStore(Rules(drift=DRIFT)))
    shares: dict[str, list[float]] = field(default_factory=dict)  # by gateway: units left, expiry time
    serials: dict[str, int] = field(default_factory=dict)
    requests: list[ShareRequest] = field(default_factory=list)  # may arrive again at any time
    clock_rate: float = 1.0  # speed of the leader's clock
    clock_offset: float = 0.0
    spent: float = 0.0

    def __post_init__(self) -> None:
        self.true_quota = TokenBucket(self.refill_rate, BURST, BURST, self.now)

    def leader_time(self) -> float:
        return self.now * self.clock_rate + self.clock_offset

    def take(self) -> None:
        by = f"g{self.rng.randrange(3)}"
        serial = self.serials[by] = self.serials.get(by, 0) + 1
        self.shares.pop(by, None)  # a gateway that asks spends no more of its earlier share
        asked_at, want = self.now, self.rng.uniform(0, 25)
        share_request = ShareRequest(by, serial, self.refill_rate, BURST, want, 1.0, LIFE_MS)
        self.requests.append(share_request)
        units = 0.0
        for _ in range(self.rng.choice((1, 1, 2))):  # the call may be repeated
            self.now += self.rng.choice((0.0, 1.0, 300.0))
            units = self.call(share_request)
        self.now += self.rng.choice((0.0, 5.0))
        if self.rng.random() < 0.85:  # otherwise the answer is lost, and the share with it
            clock = self.rng.uniform(1 - DRIFT / 2, 1 + DRIFT / 2)
            self.shares[by] = [units, asked_at + LIFE_MS / clock]

    def call(self, share_request: ShareRequest) -> float:
        entry, units = self.keys.accounts.plan_take("c", share_request, self.leader_time())
        if entry is not None:
            self.keys.apply(entry, self.leader_time())
        return units

    def repeat_call(self) -> None:
        """An earlier call arrives again, and its answer is not used."""
        if self.requests:
            self.call(self.rng.choice(self.requests[-6:]))

    def spend(self) -> None:
        spendable = [s for s in self.shares.values() if s[0] > 1e-9 and s[1] > self.now]
        if not spendable:
            return
        share = self.rng.choice(spendable)
        units = share[0] if self.rng.random() < 0.4 else share[0] * self.rng.random()
        share[0] -= units
        self.spent += units
        assert self.true_quota.refill(self.now) >= units - 1e-6, (self.now, units, self.true_quota.units)
        self.true_quota.units -= units

    def wait(self) -> None:
        self.now += self.rng.choice((1.0, 50.0, 400.0, LIFE_MS * 0.999, 2 * LIFE_MS, 60_000.0))

    def change_leader(self) -> None:
        """A new leader, possibly one that applied entries late; its clock is off by hours and in speed."""
        state = self.keys.snapshot()
        self.clock_rate = self.rng.uniform(1 - DRIFT / 2, 1 + DRIFT / 2)
        self.clock_offset = self.rng.uniform(-1e7, 1e7)
        self.keys = KeyStore.restored(Rules(drift=DRIFT), state, self.leader_time())

    def forget(self) -> None:
        if (entry := self.keys.plan_expiry(self.leader_time())) is not None:
            self.keys.apply(entry, self.leader_time())


@pytest.mark.parametrize("seed", range(40))
def test_no_more_is_spent_than_the_quota_allows_under_losses_delays_and_clock_errors(seed: int) -> None:
    rng = random.Random(seed)
    # A full refill takes less time than a share's lifetime at one rate, and much more at the other.
    simulation = QuotaSimulation(rng, (RATE, 2.0)[seed % 2])
    steps = (
        simulation.take,
        simulation.take,
        simulation.spend,
        simulation.spend,
        simulation.spend,
        simulation.wait,
        simulation.forget,
        simulation.repeat_call,
    )
    for _ in range(600):
        (simulation.change_leader if rng.random() < 0.02 else rng.choice(steps))()
        account = simulation.keys.accounts.describe("c", simulation.leader_time())
        if account is not None:
            granted = sum(share["units"] for share in account["granted"])
            assert account["units"] + granted <= BURST + 0.01
    assert simulation.spent > 2 * BURST  # enough is spent for the bound to be tested


def share_request(by: str, serial: int, want: float, least: float = 1.0) -> ShareRequest:
    return ShareRequest(by, serial, RATE, BURST, want, least, LIFE_MS)


def granted(accounts: Accounts, request: ShareRequest, now: float = 0.0) -> float:
    entry, units = accounts.plan_take("c", request, now)
    if entry is not None:
        accounts.apply_grant(entry, now)
    return units


def test_a_share_is_at_most_half_of_the_account_and_0_if_the_least_is_not_available() -> None:
    accounts = Accounts(DRIFT)
    assert granted(accounts, share_request("g1", 1, 1000.0)) == BURST / 2
    assert granted(accounts, share_request("g2", 1, 1000.0, 12.0)) == 12.0
    assert granted(accounts, share_request("g3", 1, 5.0, 4.0)) == 0.0
    assert [share["by"] for share in accounts.describe("c", 0.0)["granted"]] == ["g1", "g2"]


def test_a_repeated_request_is_granted_once_and_an_outdated_one_gets_nothing() -> None:
    accounts = Accounts(DRIFT)
    assert (
        granted(accounts, share_request("g1", 2, 10.0))
        == 10.0
        == granted(accounts, share_request("g1", 2, 10.0))
    )
    assert granted(accounts, share_request("g1", 1, 10.0)) == 0.0
    assert granted(accounts, share_request("g1", 3, 5.0)) == 5.0  # the new request ends the earlier share
    assert [share["units"] for share in accounts.describe("c", 0.0)["granted"]] == [5.0]
    assert granted(accounts, share_request("g1", 2, 10.0)) == 0.0


def test_the_share_of_a_lost_gateway_refills_after_its_expiry_and_a_full_account_is_removed() -> None:
    accounts = Accounts(DRIFT)
    assert granted(accounts, share_request("g1", 1, BURST, BURST)) == BURST
    expiry = LIFE_MS * (1 + 2 * DRIFT)
    assert accounts.describe("c", expiry - 1)["units"] == 0.0  # the gateway may still spend it
    assert 9.0 < accounts.describe("c", expiry + 500)["units"] < 10.0
    full = expiry + 1000 * BURST / RATE / (1 - DRIFT)
    assert accounts.plan_expiry(full - 10) == [] and accounts.plan_expiry(full + 10) == ["c"]


def test_accounts_are_limited_and_snapshots_of_earlier_versions_are_read() -> None:
    restored_store = KeyStore.restored(Rules(), {"keys": {"k": ["g/1", 5000.0]}}, 0.0)
    assert restored_store.records["k"].claimant == "g/1" and not restored_store.accounts.by_name
    accounts = Accounts(DRIFT)
    accounts.by_name = dict.fromkeys(map(str, range(100_000)))
    with pytest.raises(RefusedError, match="accounts are open already"):
        granted(accounts, share_request("g", 1, 1.0))
