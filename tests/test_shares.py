"""Shares of quotas: the policy module, the configuration, and real gateways under injected faults."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest
from conftest import Driver, actions_of, run_on_loop
from msgspec import structs
from test_holding_groups import call_until_ok as until_answered
from test_registry import run

from plumwall.faults.gateways import GatewayProcess, listed
from plumwall.faults.machines import HOST, Machines
from plumwall.faults.shares import ASK, CUSTOMER, PLAN, SharesOutcome, SharesTorture
from plumwall.faults.torture import PLANS, read_plan
from yewstage import interface as api
from yewstage.net.config import ConfigError, parse
from yewstage.policy import quota_account_name

STRICT = api.Plan("gold", rate=10, burst=20, uses_quota_shares=True)
BOUNDED = api.Plan("gold", rate=10, burst=20, uses_quota_shares=True, floor=2, floor_ms=1500)


def count_call(out: list[api.Action]) -> api.Count:
    (count,) = actions_of(out, api.Count)
    return count


def grant(driver: Driver, count: api.Count, units: float, after: float = 5.0) -> list[api.Action]:
    return driver.give(api.CountReply(count.name, api.OK, units), after)


def time_out(driver: Driver, count: api.Count, after: float = 5.0) -> list[api.Action]:
    return driver.give(api.CountReply(count.name, api.TIMED_OUT, 0.0), after)


def sent_at_once(driver: Driver, requests: int, after: float = 10.0) -> int:
    """How many of the requests are sent on without waiting for a share."""
    sent = 0
    for _ in range(requests):
        _, out = driver.ask(plan="gold", left=200, after=after)  # too little time to wait for a share
        sent += bool(actions_of(out, api.Send))
    return sent


def test_a_request_waits_for_a_share_and_only_granted_units_are_spent() -> None:
    driver = Driver(plans=(STRICT,), counter_enabled=False)
    _, out = driver.ask(plan="gold")
    count = count_call(out)
    assert not actions_of(out, api.Send | api.Refuse) and count.plan == "gold" and count.min_units == 1.0
    assert count.name == quota_account_name("gold", "c") and "c" != count.name
    assert len(actions_of(grant(driver, count, 5.0), api.Send)) == 1
    assert sent_at_once(driver, 8) == 4
    _, out = driver.ask(plan="gold", after=10)
    more = count_call(out)
    assert more.amount > 5.0  # the use of one second at the rate seen, at most the burst
    assert more.amount <= STRICT.burst


def test_the_validity_of_a_share_starts_with_the_call_not_with_the_reply() -> None:
    driver = Driver(plans=(STRICT,))
    _, out = driver.ask(plan="gold")
    grant(driver, count_call(out), 10.0, after=900.0)
    assert sent_at_once(driver, 1, after=2000.0) == 1
    # 3 s after the call the units may be granted to others.
    assert sent_at_once(driver, 3, after=101.0) == 0


def test_without_replies_a_strict_plan_spends_nothing_and_a_bounded_plan_its_floor_once() -> None:
    for plan, floor in ((STRICT, 0), (BOUNDED, 2)):
        driver = Driver(plans=(plan,))
        _, out = driver.ask(plan="gold")
        sent = len(actions_of(time_out(driver, count_call(out)), api.Send))
        assert sent + sent_at_once(driver, 6) == floor
        for _ in range(5):  # later calls time out too: nothing more may be spent
            _, out = driver.ask(plan="gold", after=500)
            assert not actions_of(time_out(driver, count_call(out)), api.Send)
        _, out = driver.ask(plan="gold", after=500)
        assert actions_of(grant(driver, count_call(out), 3.0), api.Send) and sent_at_once(driver, 5) == 2
        _, out = driver.ask(plan="gold", after=3500)
        # A new outage: the floor applies again.
        assert len(actions_of(time_out(driver, count_call(out)), api.Send)) + sent_at_once(driver, 6) == floor


def test_a_floor_expires_after_floor_ms() -> None:
    driver = Driver(plans=(BOUNDED,))
    _, out = driver.ask(plan="gold")
    assert len(actions_of(time_out(driver, count_call(out)), api.Send)) == 1
    assert sent_at_once(driver, 3, after=1501.0) == 0


def test_after_a_grant_of_nothing_the_next_call_waits_until_a_unit_is_refilled() -> None:
    driver = Driver(plans=(STRICT,))
    _, out = driver.ask(plan="gold")
    refused = actions_of(grant(driver, count_call(out), 0.0), api.Refuse)
    assert refused[0].reason == "quota" and refused[0].retry_after_ms > 0
    assert not actions_of(driver.ask(plan="gold", after=50)[1], api.Count)
    assert actions_of(driver.ask(plan="gold", after=60)[1], api.Count)


def test_cost_above_the_estimate_is_deducted_from_the_next_share() -> None:
    driver = Driver(plans=(STRICT,))
    rid, out = driver.ask(plan="gold")
    grant(driver, count_call(out), 1.0)
    driver.end(rid, true_units=4.0)
    _, out = driver.ask(plan="gold", after=200)
    grant(driver, count_call(out), 5.0)  # three of these pay for the extra cost
    assert sent_at_once(driver, 4) == 1


def test_after_hand_over_a_process_spends_nothing_of_its_share() -> None:
    driver = Driver(plans=(STRICT,))
    _, out = driver.ask(plan="gold")
    grant(driver, count_call(out), 10.0)
    driver.gateway.hand_over()
    assert sent_at_once(driver, 3) == 0


def test_a_late_grant_is_used_and_an_unrequested_one_is_ignored() -> None:
    driver = Driver(plans=(STRICT,))
    _, out = driver.ask(plan="gold")
    count = count_call(out)
    driver.sweep(6)  # the waiting request is refused; the call is still open
    assert not actions_of(driver.ask(plan="gold")[1], api.Count)
    assert len(actions_of(grant(driver, count, 4.0), api.Send)) == 1  # the request that came meanwhile
    assert sent_at_once(driver, 6) == 3
    grant(driver, count, 50.0)
    assert sent_at_once(driver, 3) == 0


@pytest.mark.parametrize(
    ("shares", "field"),
    [
        ([], "shares: must be an object"),
        ({"lead": {"mode": "strict"}}, "shares.lead: no such plan"),
        ({"gold": {"mode": "loose"}}, "shares.gold.mode"),
        ({"gold": {"mode": "bounded", "floor": 2}}, "shares.gold.floor_ms: is missing"),
        ({"gold": {"mode": "bounded", "floor": -1, "floor_ms": 5}}, "shares.gold.floor"),
        ({"gold": {"mode": "strict", "floor": 2}}, "shares.gold.floor: is no field"),
    ],
)
def test_an_invalid_configuration_names_the_field(shares: object, field: str) -> None:
    raw: dict[str, object] = {
        "listen": "h:1",
        "discovery": "h:2",
        "seed": "1",
        "holding": ["h:3"],
        "shares": shares,
        "settings": {
            "grades": [{"name": "a", "objective_ms": 1.0, "deadline_ms": 2.0, "effect": "safe"}],
            "packages": [{"name": "gold", "refill": 1.0, "burst": 2.0}],
        },
    }
    with pytest.raises(ConfigError, match=field):
        parse(raw)
    with pytest.raises(ConfigError, match="no holding"):
        parse({key: value for key, value in raw.items() if key != "holding"} | {"shares": {}})


def test_shares_set_by_sighup_without_a_holding_refuse_requests_at_once(tmp_path: Path) -> None:
    """`holding` applies only after a restart. Until then no shares can be had, and requests must not wait."""
    raw: dict[str, object] = {
        "discovery": f"{HOST}:1",
        "seed": "1",
        "known": {"generation": 1, "reset": True, "instances": [listed("s", 1)]},
        "settings": {
            "grades": [{"name": "view", "objective_ms": 1500.0, "deadline_ms": 2000.0, "effect": "safe"}],
            "packages": [{"name": PLAN, "refill": 5.0, "burst": 9.0}],
        },
    }

    async def scenario() -> None:
        gateway = GatewayProcess("g0", tmp_path, raw)
        await gateway.start()
        gateway.set(holding=[f"{HOST}:1"], shares={PLAN: {"mode": "strict"}})
        gateway.process.send_signal(signal.SIGHUP)
        while not any("reconfigured" in line for line in gateway.lines):
            await asyncio.sleep(0.02)
        for _ in range(3):
            reader, writer = await asyncio.open_connection(HOST, gateway.listen)
            writer.write((ASK % 1).encode())
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 503")
            writer.close()
        assert not any("action_failed" in line or "an action failed" in line for line in gateway.lines)
        await gateway.kill()

    run_on_loop(scenario, 30)


def run_faults(folder: Path, seed: int, faults: list[str], **changes: object) -> SharesOutcome:
    plan = structs.replace(read_plan("shares"), gateways=3, **changes)
    outcome = SharesOutcome()

    async def scenario() -> None:
        nonlocal outcome
        for number, fault in enumerate(faults):  # one round of each, in this order
            one_fault = structs.replace(plan, faults={fault: 1.0})
            torture = SharesTorture(one_fault, folder / str(number), seed, lambda text: None)
            outcome = await torture.play(1)
            assert not outcome.breach, (fault, outcome)

    run_on_loop(scenario, 200)
    return outcome


def test_strict_shares_never_exceed_the_quota_under_faults_of_leaders_and_gateways(
    tmp_path: Path,
) -> None:
    outcome = run_faults(tmp_path, 1, ["leader_cut", "gateway_stopped", "leader_lost"])
    assert outcome.max_beyond_quota == 0.0 and outcome.allowed_floors == 0.0 and outcome.served > 60


def test_bounded_shares_stay_within_the_bound_while_the_holding_is_down(
    tmp_path: Path,
) -> None:
    outcome = run_faults(tmp_path, 2, ["holding_down"], mode="bounded", floor=5.0, floor_ms=5000.0)
    assert outcome.max_excess <= 0.0 and outcome.allowed_floors == 15.0


def test_the_same_without_shares_is_found_to_be_over(tmp_path: Path) -> None:
    """Without shares and without a counter each gateway estimates the use of the others, and together they
    exceed the quota. Shows that the check finds this."""
    with pytest.raises(AssertionError, match="units over the bound"):
        run_faults(tmp_path, 3, ["quiet"], mode="none", rate=5.0, burst=10.0)


def test_the_limits_command_shows_the_grants_of_an_account_and_the_bound(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Machines(tmp_path, 3, gone_ms=1500.0) as machines:
            await machines.init(machines.all, 2)
            await machines.wait_until_replicated()
            client, name = machines.client(), quota_account_name(PLAN, CUSTOMER)
            body = {
                "by": "g1.77",
                "serial": 1,
                "rate": 10.0,
                "burst": 20.0,
                "want": 8.0,
                "least": 1.0,
                "lifeMs": 60_000.0,
            }
            assert (await until_answered(client, f"/v1/shares/{name}/take", body)).body == {"units": 8.0}
            assert (await until_answered(client, f"/v1/shares/{name}/take", body)).body == {"units": 8.0}
            at = ",".join(f"{HOST}:{machine.listen}" for machine in machines.all)
            command = ("plumwall", "limits", CUSTOMER, "--plan", PLAN, "--at", at)
            result = await asyncio.to_thread(run, *command, "--gateways", "12", "--floor", "5")
            assert result.returncode == 0 and "g1.77: 8 units" in result.stdout and "60" in result.stdout, (
                result
            )
            wrong = await client.call("POST", f"/v1/shares/{name}/take", body | {"lifeMs": 1e9})
            assert wrong.status == 400 and wrong.body["field"] == "lifeMs"
            client.close()

    run_on_loop(scenario, 60)


def test_an_invalid_shares_plan_names_the_field(tmp_path: Path) -> None:
    path, text = tmp_path / "bad.toml", (PLANS / "shares.toml").read_text()
    for old, new, expected_error in (
        ("quiet = 1.0", "loud = 1.0", "faults.loud"),
        ('mode = "strict"', 'mode = "loose"', "mode"),
        ('mode = "strict"', 'mode = "bounded"', "floor"),
    ):
        path.write_text(text.replace(old, new))
        with pytest.raises(ValueError, match=expected_error):
            read_plan(str(path))
