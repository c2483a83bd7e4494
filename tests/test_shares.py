"""Quotas spent out of shares: the module's part, its configuration, real gateways with faults round them."""

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


def asked(out: list[api.Action]) -> api.Count:
    (count,) = actions_of(out, api.Count)
    return count


def granted(driver: Driver, count: api.Count, units: float, after: float = 5.0) -> list[api.Action]:
    return driver.give(api.CountReply(count.name, api.OK, units), after)


def silent(driver: Driver, count: api.Count, after: float = 5.0) -> list[api.Action]:
    return driver.give(api.CountReply(count.name, api.TIMED_OUT, 0.0), after)


def spends(driver: Driver, times: int, after: float = 10.0) -> int:
    """How many of so many requests are sent on at once."""
    sent = 0
    for _ in range(times):
        _, out = driver.ask(plan="gold", left=200, after=after)  # with so little time nothing is waited for
        sent += bool(actions_of(out, api.Send))
    return sent


def test_a_request_waits_for_a_share_and_what_was_granted_is_spent_and_no_more() -> None:
    driver = Driver(plans=(STRICT,), counter_enabled=False)
    _, out = driver.ask(plan="gold")
    count = asked(out)
    assert not actions_of(out, api.Send | api.Refuse) and count.plan == "gold" and count.min_units == 1.0
    assert count.name == quota_account_name("gold", "c") and "c" != count.name
    assert len(actions_of(granted(driver, count, 5.0), api.Send)) == 1
    assert spends(driver, 8) == 4
    _, out = driver.ask(plan="gold", after=10)
    more = asked(out)
    assert more.amount > 5.0  # it was spent in a moment: as much as goes in a second, the burst at the most
    assert more.amount <= STRICT.burst


def test_a_share_is_over_when_its_time_is_counted_from_the_question_however_late_it_came() -> None:
    driver = Driver(plans=(STRICT,))
    _, out = driver.ask(plan="gold")
    granted(driver, asked(out), 10.0, after=900.0)
    assert spends(driver, 1, after=2000.0) == 1
    assert spends(driver, 3, after=101.0) == 0  # 3 s since it was asked for: others may have it now


def test_without_word_a_strict_plan_spends_nothing_and_a_bounded_one_its_floor_once() -> None:
    for plan, floor in ((STRICT, 0), (BOUNDED, 2)):
        driver = Driver(plans=(plan,))
        _, out = driver.ask(plan="gold")
        sent = len(actions_of(silent(driver, asked(out)), api.Send))
        assert sent + spends(driver, 6) == floor
        for _ in range(5):  # it asks again, hears nothing, and may spend nothing more
            _, out = driver.ask(plan="gold", after=500)
            assert not actions_of(silent(driver, asked(out)), api.Send)
        _, out = driver.ask(plan="gold", after=500)
        assert actions_of(granted(driver, asked(out), 3.0), api.Send) and spends(driver, 5) == 2
        _, out = driver.ask(plan="gold", after=3500)
        assert (
            len(actions_of(silent(driver, asked(out)), api.Send)) + spends(driver, 6) == floor
        )  # another outage


def test_a_floor_is_over_after_its_time() -> None:
    driver = Driver(plans=(BOUNDED,))
    _, out = driver.ask(plan="gold")
    assert len(actions_of(silent(driver, asked(out)), api.Send)) == 1
    assert spends(driver, 3, after=1501.0) == 0


def test_an_empty_account_is_not_asked_again_before_a_unit_has_filled() -> None:
    driver = Driver(plans=(STRICT,))
    _, out = driver.ask(plan="gold")
    refused = actions_of(granted(driver, asked(out), 0.0), api.Refuse)
    assert refused[0].reason == "quota" and refused[0].retry_after_ms > 0
    assert not actions_of(driver.ask(plan="gold", after=50)[1], api.Count)
    assert actions_of(driver.ask(plan="gold", after=60)[1], api.Count)


def test_what_a_request_cost_beyond_its_guess_comes_off_the_next_share() -> None:
    driver = Driver(plans=(STRICT,))
    rid, out = driver.ask(plan="gold")
    granted(driver, asked(out), 1.0)
    driver.end(rid, true_units=4.0)
    _, out = driver.ask(plan="gold", after=200)
    granted(driver, asked(out), 5.0)  # three of these are spent
    assert spends(driver, 4) == 1


def test_a_process_that_handed_over_spends_nothing_of_its_share() -> None:
    driver = Driver(plans=(STRICT,))
    _, out = driver.ask(plan="gold")
    granted(driver, asked(out), 10.0)
    driver.gateway.hand_over()
    assert spends(driver, 3) == 0


def test_a_share_that_comes_late_is_taken_and_one_that_nobody_asked_for_is_not() -> None:
    driver = Driver(plans=(STRICT,))
    _, out = driver.ask(plan="gold")
    count = asked(out)
    driver.sweep(6)  # who waited is refused; the question is still open
    assert not actions_of(driver.ask(plan="gold")[1], api.Count)
    assert len(actions_of(granted(driver, count, 4.0), api.Send)) == 1  # the one that came meanwhile
    assert spends(driver, 6) == 3
    granted(driver, count, 50.0)
    assert spends(driver, 3) == 0


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
def test_a_bad_configuration_names_its_field(shares: object, field: str) -> None:
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


def test_shares_that_come_by_sighup_where_there_is_no_holding_refuse_and_do_not_wait_for_ever(
    tmp_path: Path,
) -> None:
    """`holding` wants a restart: until then nobody can be asked, which is told at once."""
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


def tortured(folder: Path, seed: int, faults: list[str], **changes: object) -> SharesOutcome:
    plan = structs.replace(read_plan("shares"), gateways=3, **changes)
    outcome = SharesOutcome()

    async def played() -> None:
        nonlocal outcome
        for number, fault in enumerate(faults):  # each once, in this order
            once = structs.replace(plan, faults={fault: 1.0})
            made = SharesTorture(once, folder / str(number), seed, lambda text: None)
            outcome = await made.play(1)
            assert not outcome.breach, (fault, outcome)

    run_on_loop(played, 200)
    return outcome


def test_strict_nothing_is_over_as_holders_are_lost_and_gateways_are_stopped_and_cut_off(
    tmp_path: Path,
) -> None:
    outcome = tortured(tmp_path, 1, ["leader_cut", "gateway_stopped", "leader_lost"])
    assert outcome.beyond == 0.0 and outcome.floors == 0.0 and outcome.served > 60


def test_bounded_gateways_that_are_cut_off_serve_their_floor_and_stay_within_the_formula(
    tmp_path: Path,
) -> None:
    outcome = tortured(tmp_path, 2, ["holding_down"], mode="bounded", floor=5.0, floor_ms=5000.0)
    assert outcome.over <= 0.0 and outcome.floors == 15.0


def test_the_same_without_shares_is_found_to_be_over(tmp_path: Path) -> None:
    """Each gateway goes by its own estimate: there is no counter here that could tell it of the others."""
    with pytest.raises(AssertionError, match="units over the bound"):
        tortured(tmp_path, 3, ["quiet"], mode="none", rate=5.0, burst=10.0)


def test_an_account_is_shown_with_who_was_granted_what_and_the_bound(tmp_path: Path) -> None:
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
            words = ("plumwall", "limits", CUSTOMER, "--plan", PLAN, "--at", at)
            done = await asyncio.to_thread(run, *words, "--gateways", "12", "--floor", "5")
            assert done.returncode == 0 and "g1.77: 8 units" in done.stdout and "60" in done.stdout, done
            wrong = await client.call("POST", f"/v1/shares/{name}/take", body | {"lifeMs": 1e9})
            assert wrong.status == 400 and wrong.body["field"] == "lifeMs"
            client.close()

    run_on_loop(scenario, 60)


def test_a_plan_of_shares_names_the_field_that_is_wrong(tmp_path: Path) -> None:
    path, text = tmp_path / "bad.toml", (PLANS / "shares.toml").read_text()
    for old, new, says in (
        ("quiet = 1.0", "loud = 1.0", "faults.loud"),
        ('mode = "strict"', 'mode = "loose"', "mode"),
        ('mode = "strict"', 'mode = "bounded"', "floor"),
    ):
        path.write_text(text.replace(old, new))
        with pytest.raises(ValueError, match=says):
            read_plan(str(path))
