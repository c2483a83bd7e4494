"""Membership: the protocol under virtual time, and real gateway processes with faults between them."""

from __future__ import annotations

import asyncio
import random
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from conftest import run_on_loop
from hypothesis import given
from hypothesis import strategies as st
from msgspec import structs
from test_registry import run

from plumwall.faults.fleet import Fleet
from plumwall.faults.machines import HOST
from plumwall.faults.members import MembersOutcome, MembersTorture
from plumwall.faults.torture import PLANS, read_plan
from plumwall.model.members import KEY, SimulatedFleet, converged_fleet
from yewstage.membership.config import parse_peers
from yewstage.membership.messages import (
    ALIVE,
    MAX_DATAGRAM_BYTES,
    SUSPECT,
    BadDatagramError,
    Datagram,
    MemberRow,
    Page,
    Ping,
    seal,
    unseal,
)
from yewstage.membership.swim import Settings, Swim
from yewstage.net.config import ConfigError

ROW = MemberRow("g1", 7, "at:1", "a", "west", 1)
ROOT = Path(__file__).parent.parent
NEW_KEY, OLD_KEY, OTHER_KEY = "aa" * 16, "bb" * 16, "cc" * 16


# --- Under virtual time


@pytest.mark.parametrize("size", [12, 60])
def test_only_a_killed_member_is_declared_dead_and_within_the_time_bound(size: int) -> None:
    net = converged_fleet(size, 5)
    began = net.now_ms
    net.kill(5)
    net.run(40_000)
    detected_at = net.detection_times_ms(5, since=began)
    period, timeout_ms = net.settings.period_ms, net.machines[0].swim.suspicion_timeout_ms(0)
    assert len(detected_at) == size - 1 and net.false_detections({5}) == 0
    assert detected_at[0] - began <= 2 * size * period + timeout_ms  # each probes all others in turn
    net.start(5)
    net.until_agreed(40_000)
    assert net.false_detections({5}) == 0


def test_paused_members_declare_nobody_dead_and_are_alive_again_after_the_pause() -> None:
    net = converged_fleet(40, 6)
    paused = set(range(0, 40, 20))
    for i in paused:
        net.pause(i, 30_000)
    net.run(29_000)
    assert net.false_detections(paused) == 0
    assert all(net.detection_times_ms(i) for i in paused)
    net.run(1_500)
    net.until_agreed(60_000)
    assert net.false_detections(paused) == 0


def test_partitions_merge_again_after_each_declared_the_other_dead() -> None:
    net = converged_fleet(16, 7)
    net.split(range(8), range(8, 16))
    net.run(120_000)
    for seat in net.machines:
        seen = {row.name: row.state for row in seat.swim.rows()}
        assert sum(state == ALIVE for state in seen.values()) == 8
    net.links.cut.clear()
    net.until_agreed(60_000)


@pytest.mark.parametrize(("loss", "repeat"), [(0.05, 0.1), (0.2, 0.0)])
def test_lost_and_repeated_datagrams_cause_no_false_deaths(loss: float, repeat: float) -> None:
    net = converged_fleet(20, 8)
    net.links.loss, net.links.repeat, net.links.delay_ms = loss, repeat, (0.1, 120.0)
    net.run(120_000)
    assert net.false_detections(set()) == 0
    assert sum(seat.swim.dropped["repeated"] for seat in net.machines) > 0 or not repeat


def test_member_that_receives_nothing_does_not_make_others_declare_members_dead() -> None:
    net = converged_fleet(12, 9)
    net.links.cut |= {(i, 3) for i in range(12) if i != 3}
    net.run(60_000)
    others = [seat.swim for seat in net.machines if seat.number != 3]
    for swim in others:  # it reports them as dead, and each of them refutes that
        states = {row.name: row.state for row in swim.rows() if row.name != "g3"}
        assert sum(state in (ALIVE, SUSPECT) for state in states.values()) == 11
    net.links.cut.clear()
    net.until_agreed(60_000)


def test_datagrams_of_an_earlier_process_are_dropped_after_a_restart() -> None:
    net = converged_fleet(6, 10)
    old = net.machines[4].swim
    old_datagram = seal(Datagram("fleet", old.own_row, 99, Page((net.machines[1].swim.own_row,))), KEY)
    net.kill(4)
    net.start(4)  # before any member suspects it
    net.until_agreed(20_000)
    swim = net.machines[0].swim
    held = next(row for row in swim.rows() if row.name == "g4")
    assert held.start_id == net.machines[4].swim.own_row.start_id != old.own_row.start_id
    before = swim.dropped["earlier life"]
    swim.handle(net.local_clock_ms(0), unseal(old_datagram, "fleet", (KEY,)))
    assert swim.dropped["earlier life"] == before + 1
    assert not any(seat.swim.name_is_contested for seat in net.machines)


def test_process_that_gives_way_reports_a_name_used_twice_and_incarnations_stay_low() -> None:
    net = converged_fleet(6, 11)
    net.machines[5].swim = None
    net.start(5, name="g4")
    net.run(30_000)
    processes = [net.machines[4].swim, net.machines[5].swim]
    assert any(swim.name_is_contested for swim in processes)
    assert max(swim.own_row.incarnation for swim in processes) < 20
    winner = max(processes, key=lambda swim: swim.own_row.start_id)
    held = {next(r for r in seat.swim.rows() if r.name == "g4").start_id for seat in net.machines[:4]}
    assert held == {winner.own_row.start_id}


def test_invalid_datagrams_are_refused_with_a_reason() -> None:
    data = seal(Datagram("fleet", ROW, 1, Ping(1, 2)), KEY)
    assert unseal(data, "fleet", (b"o" * 32, KEY)).sender == ROW  # both keys are accepted during a key change
    assert len(data) < MAX_DATAGRAM_BYTES
    for received, reason in (
        (data[:-1] + bytes((data[-1] ^ 1,)), "forged"),
        (seal(Datagram("fleet", ROW, 1, Ping(1, 2)), b"x" * 32), "forged"),
        (seal(Datagram("other", ROW, 1, Ping(1, 2)), KEY), "foreign"),
        (bytes((9,)) + data[1:], "version"),
        (b"", "version"),
        (data + b"x" * MAX_DATAGRAM_BYTES, "oversized"),
    ):
        with pytest.raises(BadDatagramError, match=reason):
            unseal(received, "fleet", (KEY,))


SAID = st.tuples(st.integers(0, 3), st.integers(1, 4), st.integers(1, 3))


@given(st.lists(SAID, max_size=12), st.randoms())
def test_whatever_the_order_all_come_to_hold_the_same_of_a_member(
    said: list[tuple[int, int, int]], rng: random.Random
) -> None:
    rows = [MemberRow("g1", life, "at:1", "a", "west", inc, state) for state, inc, life in said]
    held = []
    for _ in range(3):
        swim = Swim(MemberRow("g0", 1, "at:0", "a", "west", 1), Settings("fleet"), (), random.Random(1), 0.0)
        for serial, row in enumerate(rng.sample(rows, len(rows)) + rows[:2], 1):
            swim.handle(0.0, Datagram("fleet", MemberRow("g2", 1, "at:2", "a", "w", 1), serial, Page((row,))))
        held.append(next((row for row in swim.rows() if row.name == "g1"), None))
    assert held[0] == held[1] == held[2] == max(rows, key=MemberRow.rank, default=None)


def test_no_datagram_exceeds_the_maximum_size() -> None:
    net = SimulatedFleet(300, 3)
    for i in range(300):
        net.start(i)
    max_bytes = [0]
    send = net._send

    def record_size(seat, to, datagram) -> None:
        max_bytes[0] = max(max_bytes[0], len(seal(datagram, KEY)))
        send(seat, to, datagram)

    net._send = record_size
    net.run(8_000)
    assert 1000 < max_bytes[0] <= MAX_DATAGRAM_BYTES


def test_invalid_configuration_names_its_field() -> None:
    good = {"cluster": "c", "listen": f"{HOST}:0", "keys": [NEW_KEY]}
    assert parse_peers({"name": "g0", "peers": good}).keys == (bytes.fromhex(NEW_KEY),)
    for change, field in (
        ({"keys": []}, "peers.keys"),
        ({"keys": ["zz"]}, r"peers.keys\[0\]"),
        ({"keys": ["aa"]}, r"peers.keys\[0\]"),
        ({"keys": [NEW_KEY, OLD_KEY, OTHER_KEY]}, "peers.keys"),
        ({"seeds": ["x"]}, r"peers.seeds\[0\]"),
        ({"reach": {"g1": 3}}, "peers.reach.g1"),
        ({"answer_ms": 900.0}, "peers.answer_ms"),
        ({"typo": 1}, "peers.typo"),
    ):
        with pytest.raises(ConfigError, match=field):
            parse_peers({"name": "g0", "peers": good | change})


def test_membership_is_not_imported_without_peers() -> None:
    code = (
        "import sys, yewstage.net.process; from yewstage.net.config import parse; "
        "parse({'listen': 'h:1', 'discovery': 'h:2', 'seed': '1', 'settings': {'grades': "
        "[{'name': 'a', 'objective_ms': 1.0, 'deadline_ms': 2.0, 'effect': 'safe'}], "
        "'packages': [{'name': 'p'}]}}); "
        "sys.exit(bool({'msgspec', 'xxhash', 'yewstage.membership', 'yewstage.shared'} & set(sys.modules)))"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stderr


# --- Gateway processes


def with_fleet(
    folder: Path, size: int, scenario: Callable[[Fleet], Awaitable[None]], keys: list[str]
) -> None:
    async def run_scenario() -> None:
        async with Fleet(folder, size, keys) as fleet:
            await fleet.wait_for_states(fleet.names, dict.fromkeys(fleet.names, "alive"))
            await scenario(fleet)

    run_on_loop(run_scenario, 100)


def test_gateways_detect_kills_pauses_partitions_departures_and_returns(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        names = fleet.names
        await fleet.gateways["g1"].kill()
        rest = [name for name in names if name != "g1"]
        await fleet.wait_for_states(rest, {"g1": "dead"})
        await fleet.start("g1")
        await fleet.wait_for_states(names, dict.fromkeys(names, "alive"))

        fleet.gateways["g2"].pause()
        rest = [name for name in names if name != "g2"]
        await fleet.wait_for_states(rest, {"g2": "dead"})
        fleet.gateways["g2"].resume()
        await fleet.wait_for_states(names, dict.fromkeys(names, "alive"))

        inside = [name for name in names if fleet.zone[name] == "a"]
        outside = [name for name in names if name not in inside]
        fleet.partition(inside)
        await fleet.wait_for_states(inside, dict.fromkeys(outside, "dead") | dict.fromkeys(inside, "alive"))
        await fleet.wait_for_states(outside, dict.fromkeys(inside, "dead") | dict.fromkeys(outside, "alive"))
        ops = ",".join(f"{HOST}:{fleet.gateways[name].ops}" for name in names)
        done = await asyncio.to_thread(run, "plumwall", "members", "--at", ops)
        assert done.returncode == 1 and "seen otherwise by" in done.stdout and "dead" in done.stdout
        fleet.heal()
        await fleet.wait_for_states(names, dict.fromkeys(names, "alive"))

        assert await fleet.gateways["g5"].terminate() == 0  # announces that it leaves: no member suspects it
        rest = [name for name in names if name != "g5"]
        await fleet.wait_for_states(rest, dict.fromkeys(rest, "alive") | {"g5": "left"})
        statuses = [await fleet.status(name) for name in rest]
        assert not any(status["contested"] for status in statuses)
        ops = ",".join(f"{HOST}:{fleet.gateways[name].ops}" for name in rest)
        while (await asyncio.to_thread(run, "plumwall", "members", "--at", ops)).returncode != 0:
            pass  # the last refutations may still be in transit

    with_fleet(tmp_path, 6, scenario, [NEW_KEY])


def test_keys_change_while_one_gateway_is_down_and_forged_datagrams_are_counted(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        names, down = fleet.names, "g3"
        await fleet.gateways[down].kill()
        rest = [name for name in names if name != down]
        await fleet.wait_for_states(rest, {down: "dead"})
        # every gateway accepts a key before any signs with it
        for keys in ([OLD_KEY, NEW_KEY], [NEW_KEY, OLD_KEY], [NEW_KEY]):
            for name in rest:
                accepted = await metric_value(fleet, name, "gateway_cfg_accepted_total")
                fleet.set_keys(name, keys)
                while await metric_value(fleet, name, "gateway_cfg_accepted_total") == accepted:
                    await asyncio.sleep(0.02)
            assert "dead" not in [(await fleet.states(rest[0]))[name] for name in rest]
        await fleet.start(down, keys=[OLD_KEY])  # it was down during the key change
        while not (await fleet.status(rest[0]))["dropped"].get("forged"):
            await asyncio.sleep(0.02)
        assert (await fleet.states(rest[0]))[down] == "dead"
        fleet.set_keys(down, [NEW_KEY])
        await fleet.wait_for_states(names, dict.fromkeys(names, "alive"))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            foreign = seal(Datagram("other", ROW, 1, Ping(1, 2)), bytes.fromhex(NEW_KEY))
            for data in (b"\xff" * 64, b"x" * 3000, foreign):
                sock.sendto(data, (HOST, fleet.gateways["g0"].members))
        while not {"version", "oversized", "foreign"} <= set((await fleet.status("g0"))["dropped"]):
            await asyncio.sleep(0.02)

    with_fleet(tmp_path, 4, scenario, [OLD_KEY])


async def metric_value(fleet: Fleet, name: str, metric: str) -> float:
    reader, writer = await asyncio.open_connection(HOST, fleet.gateways[name].ops)
    writer.write(b"GET /ops/stats HTTP/1.1\r\n\r\n")
    text = (await reader.read()).decode()
    writer.close()
    return float(text.split(f"\n{metric} ", 1)[1].split("\n", 1)[0])


REQUEST = (
    b"GET /api/%016x HTTP/1.1\r\nHost: o\r\nX-Request-Id: r\r\nX-Class: view\r\nPlan: open\r\n"
    b"X-Deadline: 4000m\r\nQuota-Info: units=1,spread=1,first=0\r\nConnection: close\r\n\r\n"
)


async def failing_servers(fleet: Fleet, name: str) -> dict[str, set[str]]:
    """The gateways for which each server fails, as one gateway knows it."""
    servers = (await fleet.status(name)).get("servers", {})
    return {server: {row["gateway"] for row in rows} for server, rows in servers.items()}


def test_a_failing_server_is_known_to_all_gateways_until_the_report_is_too_old(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: Fleet) -> None:
        names, finder = fleet.names, "g2"  # nothing listens at the address of its one server
        reader, writer = await asyncio.open_connection(HOST, fleet.gateways[finder].listen)
        writer.write(REQUEST % 1)
        assert (await reader.read()).startswith(b"HTTP/1.1 503")
        for name in names:
            while await failing_servers(fleet, name) != {"s0": {finder}}:
                await asyncio.sleep(0.02)
        at = f"{HOST}:{fleet.gateways['g0'].ops}"
        done = await asyncio.to_thread(run, "plumwall", "verdicts", "--at", at)
        assert done.returncode == 0 and "s0" in done.stdout and f"{finder} (1)" in done.stdout, done

        fleet.partition([finder])
        rest = [name for name in names if name != finder]
        for name in rest:
            while await failing_servers(fleet, name):
                for row in (await fleet.status(name))["servers"].get("s0", ()):
                    assert row["ageMs"] <= 10_000  # older reports must not be shown
                await asyncio.sleep(0.02)
        assert await failing_servers(fleet, finder) == {"s0": {finder}}
        fleet.heal()
        for name in rest:
            while await failing_servers(fleet, name) != {"s0": {finder}}:
                await asyncio.sleep(0.02)
        await fleet.gateways[finder].kill()  # the new process has found no failing server
        await fleet.start(finder)
        for name in names:
            while await failing_servers(fleet, name):
                await asyncio.sleep(0.02)

    with_fleet(tmp_path, 4, scenario, [NEW_KEY])


def test_rounds_of_faults_cause_no_false_deaths_and_all_gateways_agree_after_each(
    tmp_path: Path,
) -> None:
    plan = read_plan("members")
    plan = structs.replace(plan, gateways=6, period_ms=200.0)
    outcome = MembersOutcome()

    async def run_rounds() -> None:
        nonlocal outcome
        outcome = await MembersTorture(plan, tmp_path, 3, lambda text: None).play(5)

    run_on_loop(run_rounds, 240)
    assert not outcome.breach and outcome.rounds == 5 and outcome.false_dead == 0, outcome
    assert len(outcome.agreed_s) == 5 and outcome.first_detected_s and 0 < outcome.max_age_ms <= 10_000


def test_invalid_members_plan_names_its_field(tmp_path: Path) -> None:
    path = tmp_path / "bad.toml"
    text = (PLANS / "members.toml").read_text()
    for old, new, field in (
        ("killed = 4.0", "eaten = 4.0", "faults.eaten"),
        ("loss = 0.02", "loss = 1.5", "loss"),
        ("gateways = 12", "gateways = 2", "gateways"),
    ):
        path.write_text(text.replace(old, new))
        with pytest.raises(ValueError, match=field):
            read_plan(str(path))
