"""Groups on real processes: places that change under writers, copies that are lost half made."""

from __future__ import annotations

import asyncio
import subprocess
from collections.abc import Awaitable, Callable
from pathlib import Path

from conftest import on_loop
from test_holding import eventually, listed, register
from test_registry import run

from plumwall.faults.machines import HOST, Machine, Machines
from yewstage.holding.group_names import LIST_GROUP, PLACEMENT_GROUP, group_of
from yewstage.holding.placement import name_of
from yewstage.registry.client import NoAnswerError, ServiceClient, ServiceReply

KEYED = 3
AGE_MS = 2000.0  # the most that a list may be old


def with_groups(
    count: int, folder: Path, scenario: Callable[[Machines], Awaitable[None]], **changes: object
) -> None:
    async def played() -> None:
        async with Machines(folder, count, gone_ms=1500.0, **changes) as machines:
            await machines.init(machines.all, KEYED)
            await machines.wait_until_replicated()
            await scenario(machines)

    on_loop(played, 100)


async def ask(client: ServiceClient, path: str, body: dict[str, object]) -> ServiceReply:
    """Until somebody answers 200, as gateways do with an end."""
    while True:
        try:
            async with asyncio.timeout(2.0):
                told = await client.call("POST", path, body)
            if told.status == 200:
                return told
        except (NoAnswerError, TimeoutError):
            client.close()
        await asyncio.sleep(0.02)


async def claim(client: ServiceClient, key: str, by: str) -> object:
    told = await ask(client, f"/v1/keys/{key}/claim", {"by": by, "windowMs": 60000.0})
    return told.body["state"]


async def plumwall(machines: Machines, *words: str) -> subprocess.CompletedProcess[str]:
    at = ",".join(f"{HOST}:{machine.listen}" for machine in machines.all if machine.up())
    return await asyncio.to_thread(run, "plumwall", "holding", *words, "--at", at)


def holders(whole: dict[str, dict[str, object]], group: str) -> set[str]:
    return {name_of(member["id"]) for member in whole[group]["members"]}


def homes_of(whole: dict[str, dict[str, object]]) -> dict[str, set[str]]:
    return {group: holders(whole, group) for group in whole}


def test_a_claimed_key_stays_its_owners_through_every_process_and_every_lost_machine(tmp_path: Path) -> None:
    async def scenario(machines: Machines) -> None:
        keys = [f"k{i}" for i in range(12)]
        assert {group_of(key, KEYED) for key in keys} == {f"keys-{i}" for i in range(1, KEYED + 1)}
        for i, key in enumerate(keys):
            client = ServiceClient([(HOST, machines.all[i % 6].listen)])  # whoever is asked knows who leads
            assert await claim(client, key, "g1/r1") == "yours"
            client.close()
        client = machines.client()
        await ask(client, "/v1/keys/k0/done", {"by": "g1/r1", "status": 200, "answer": "eA=="})
        for group in ("keys-1", "keys-2", "keys-3", PLACEMENT_GROUP):
            await (lost := await machines.leader(group)).kill(disk_too=True)
            assert all([await claim(client, key, "g2/r9") == "begun" for key in keys[1:]])
            await machines.start(lost)
            await machines.wait_until_replicated()
        again = await ask(client, "/v1/keys/k0/claim", {"by": "g2/r9", "windowMs": 1.0})
        assert (again.body["state"], again.body["answer"]) == ("done", "eA==")
        await ask(client, "/v1/keys/k1/release", {"by": "g2/r9"})  # not its to give back
        assert await claim(client, "k1", "g1/r1") == "yours"
        await ask(client, "/v1/keys/k1/release", {"by": "g1/r1"})
        assert await claim(client, "k1", "g2/r9") == "yours"
        client.close()

    with_groups(6, tmp_path, scenario)


def test_an_operator_takes_a_machine_out_moves_a_copy_and_lets_it_in_again_under_writers(
    tmp_path: Path,
) -> None:
    async def scenario(machines: Machines) -> None:
        client, names = machines.client(), set()
        before = await machines.wait_until_replicated()
        spare = next(m for m in machines.all if m.name not in holders(before, LIST_GROUP))
        away = spare.name
        chosen = next(m.name for m in machines.all if m is not spare and m.zone == spare.zone)
        for turn, words in enumerate((("remove", chosen), ("add", chosen))):
            done = await plumwall(machines, *words)
            assert done.returncode == 0, done.stderr
            while (chosen in holders(await machines.wait_until_replicated(), LIST_GROUP)) == (
                words[0] == "remove"
            ):
                names.add(f"s{turn}-{len(names)}")
                await register(client, f"s{turn}-{len(names) - 1}")
        while homes_of(await machines.wait_until_replicated()) != homes_of(before):
            await asyncio.sleep(0.05)  # it is given its part group by group, and no other one moves
        while (
            "being moved already"
            in (done := await plumwall(machines, "move", LIST_GROUP, chosen, away)).stderr
        ):
            pass  # the leader's word of the last change is on its way
        assert done.returncode == 0 and away in done.stdout, done.stderr
        while away not in holders(await machines.wait_until_replicated(), LIST_GROUP):
            await asyncio.sleep(0.05)
        assert names <= await listed(next(m for m in machines.all if m.name == away))
        for words, says in (
            (("move", "keys-9", "m0", "m1"), "no group keys-9"),
            (("move", LIST_GROUP, chosen, away), f"{chosen} is none of"),
            (("remove", "m77"), "no machine m77"),
            (("add", "m77"), "m77 is not there"),
        ):
            done = await plumwall(machines, *words)
            assert done.returncode == 1 and says in done.stderr, (words, done)
        client.close()

    with_groups(5, tmp_path, scenario)


def test_a_copy_that_is_lost_half_made_with_its_disk_is_made_again_and_the_old_one_stays(
    tmp_path: Path,
) -> None:
    async def copying(machines: Machines) -> Machine:
        """Whose copy of the list is being made."""
        while True:
            status = await machines.status(await machines.leader())
            for member in status["groups"][LIST_GROUP]["members"]:
                if not member["voter"] and (member["behind"] or 0) > 0:
                    return machines.by_name(name_of(member["id"]))
            await asyncio.sleep(0.01)

    async def scenario(machines: Machines) -> None:
        client = machines.client()
        names = {f"server-with-a-long-name-{i:04}" for i in range(150)}
        for name in sorted(names):
            await register(client, name)
        before = holders(await machines.wait_until_replicated(), LIST_GROUP)
        old = next(m for m in machines.all if m.name in before)
        done = await plumwall(machines, "remove", old.name)
        assert done.returncode == 0, done.stderr
        half = await copying(machines)
        await half.kill(disk_too=True)
        members = (await machines.status(await machines.leader()))["groups"][LIST_GROUP]["members"]
        assert before <= {name_of(member["id"]) for member in members}  # all old copies are there yet
        await machines.start(half)
        whole = await machines.wait_until_replicated()
        assert old.name not in holders(whole, LIST_GROUP) and len(holders(whole, LIST_GROUP)) == 3
        for machine in machines.all:
            if machine.name in holders(whole, LIST_GROUP):
                assert await listed(machine) == names
        client.close()

    with_groups(4, tmp_path, scenario, copy_bytes_per_s=60_000, snapshot_entries=40)


def test_without_a_majority_of_places_all_other_groups_serve_on_and_nothing_is_moved(tmp_path: Path) -> None:
    async def scenario(machines: Machines) -> None:
        whole = await machines.wait_until_replicated()
        places = holders(whole, PLACEMENT_GROUP)
        group = next(g for g in whole if g != PLACEMENT_GROUP and len(holders(whole, g) & places) < 2)
        lost = [machines.by_name(name) for name in sorted(places)[:2]]
        lost = (
            lost
            if len(holders(whole, group) & {m.name for m in lost}) < 2
            else [machines.by_name(name) for name in sorted(places)[1:]]
        )
        for machine in lost:
            await machine.kill()
        client = ServiceClient([(HOST, m.listen) for m in machines.all if m.up()])
        if group == LIST_GROUP:
            await register(client, "s-1")
        else:
            key = next(f"k{i}" for i in range(100) if group_of(f"k{i}", KEYED) == group)
            assert await claim(client, key, "g/r") == "yours"
        done = await plumwall(machines, "remove", lost[0].name)
        assert done.returncode == 1
        for machine in lost:
            await machines.start(machine)
        after = await machines.wait_until_replicated()
        assert homes_of(after) == homes_of(whole)
        client.close()

    with_groups(6, tmp_path, scenario)


async def list_led_by(machines: Machines, machine: Machine) -> dict[str, object]:
    here = (await machines.status(machine)).get("groups", {}).get(LIST_GROUP, {})
    return here if here.get("role") == "leader" else {}


def test_an_old_member_that_comes_back_as_its_replacement_is_let_in_is_taken_out_and_forgets_nothing(
    tmp_path: Path,
) -> None:
    async def scenario(machines: Machines) -> None:
        client = machines.client()
        names = {f"server-with-a-long-name-{i:04}" for i in range(150)}
        for name in sorted(names):
            await register(client, name)
        whole = await machines.wait_until_replicated()
        spare = next(m for m in machines.all if m.name not in holders(whole, LIST_GROUP))
        old = next(m for m in machines.all if m is not spare and m.zone == spare.zone)
        old.pause()
        others = [m for m in machines.all if m is not old]
        members: list[dict[str, object]] = []
        while not any(not m["voter"] and name_of(m["id"]) == spare.name for m in members):
            led = [here for here in [await list_led_by(machines, m) for m in others] if here]
            members = led[0]["members"] if led else []
            await asyncio.sleep(0.01)
        old.wake()  # with all that it had: it is a voter still
        whole = await machines.wait_until_replicated()
        assert len(holders(whole, LIST_GROUP)) == 3 and old.name not in holders(whole, LIST_GROUP)
        assert await listed(spare) == names
        client.close()

    with_groups(4, tmp_path, scenario, copy_bytes_per_s=60_000, snapshot_entries=40)


def test_a_disk_that_fills_as_a_snapshot_is_written_loses_nothing_and_goes_on_when_there_is_room(
    tmp_path: Path,
) -> None:
    async def scenario(machines: Machines) -> None:
        client, names = machines.client(), set()
        for i in range(30):
            names.add(f"server-with-a-long-name-{i:04}")
            await register(client, f"server-with-a-long-name-{i:04}")
        full = machines.all[0]
        full.fill(100)
        for i in range(30, 160):  # each snapshot is longer than the one before
            names.add(f"server-with-a-long-name-{i:04}")
            await register(client, f"server-with-a-long-name-{i:04}")
        while not any("nothing can be made durable here" in line for line in full.lines):
            await asyncio.sleep(0.02)
        full.make_room()
        await machines.wait_until_replicated()
        while await listed(full) != names:
            await asyncio.sleep(0.02)
        client.close()

    with_groups(3, tmp_path, scenario, snapshot_entries=20)


def test_a_disk_that_forgets_what_it_synced_is_told_of_and_filled_again(tmp_path: Path) -> None:
    async def scenario(machines: Machines) -> None:
        client = machines.client()
        key = next(f"k{i}" for i in range(99) if group_of(f"k{i}", KEYED) == "keys-1")
        assert await claim(client, key, "g1/r1") == "yours"
        # Nobody writes to this group any more: nothing hides what is missing.
        await machines.wait_until_replicated()
        leader = await machines.leader("keys-1")
        liar = next(m for m in machines.all if m is not leader)
        await liar.kill()
        liar.forget("keys-1")
        await machines.start(liar)
        await machines.wait_until_replicated()
        done = await plumwall(machines, "status")
        assert "replace the disk of" in done.stdout and "forgets what" in done.stdout, done.stdout
        assert any("replace the disk" in line and liar.name in line for line in leader.lines)
        await leader.kill(disk_too=True)  # and what it had forgotten is there again
        assert await claim(client, key, "g2/r9") == "begun"
        client.close()

    with_groups(3, tmp_path, scenario)


def test_a_process_without_a_copy_tells_the_list_and_its_age_from_those_that_hold_it(tmp_path: Path) -> None:
    async def scenario(machines: Machines) -> None:
        writer = machines.client()
        names = {f"s{i}" for i in range(5)}
        for name in names:
            await register(writer, name)
        here = holders(await machines.wait_until_replicated(), LIST_GROUP)
        holding = [m for m in machines.all if m.name in here]
        spare = next(m for m in machines.all if m.name not in here)
        await eventually(spare, names)
        client = ServiceClient([(HOST, spare.listen)])
        revision = (await client.call("GET", "/v1/endpoints")).body["generation"]
        path = f"/v1/endpoints?after={revision}&wait_ms=20000"
        watch = asyncio.create_task(client.call("GET", path, None, 20.0))
        await (holding[0]).kill(disk_too=True)  # wherever the watch is held, another one goes on with it
        await register(writer, "s5")
        told = await watch
        assert [row["instanceId"] for row in told.body["instances"]] == ["s5"] and told.age_ms <= AGE_MS
        path = f"/v1/endpoints?after={told.body['generation']}&wait_ms=50"
        quiet = await client.call("GET", path)
        assert quiet.status == 200 and not quiet.body["instances"] and not quiet.body["reset"]

        asked = asyncio.create_task(client.call("GET", "/v1/endpoints?after=0&wait_ms=50", None, 20.0))
        spare.pause()  # and one that slept on an answer does not tell it as fresh
        await asyncio.sleep(AGE_MS / 1000 * 1.5)
        spare.wake()
        late = await asked
        assert late.status == 503 or late.age_ms <= AGE_MS

        for machine in machines.all:
            if machine is not spare and machine.up():
                machine.pause()
        begun = await client.call("GET", "/v1/endpoints")
        while begun.status == 200:
            begun = await client.call("GET", "/v1/endpoints")
        assert begun.status == 503  # nobody answers: nothing is told
        for machine in machines.all:
            if machine.up():
                machine.wake()
        await machines.start(holding[0])
        await eventually(spare, names | {"s5"})
        client.close()
        writer.close()

    with_groups(5, tmp_path, scenario, most_age_ms=AGE_MS)
