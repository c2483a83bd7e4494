"""Groups on real processes: placement changes during writes, and replicas lost during catch-up."""

from __future__ import annotations

import asyncio
import subprocess
from collections.abc import Awaitable, Callable
from pathlib import Path

from conftest import run_on_loop
from test_holding import listed, register, wait_until_listed
from test_registry import run

from plumwall.faults.machines import HOST, Machine, Machines
from yewstage.holding.group_names import LIST_GROUP, PLACEMENT_GROUP, group_of
from yewstage.holding.placement import machine_name_of
from yewstage.registry.client import NoAnswerError, ServiceClient, ServiceReply

KEYED = 3
AGE_MS = 2000.0  # bound on the staleness of the list


def with_groups(
    count: int, folder: Path, scenario: Callable[[Machines], Awaitable[None]], **changes: object
) -> None:
    async def run_scenario() -> None:
        async with Machines(folder, count, gone_ms=1500.0, **changes) as machines:
            await machines.init(machines.all, KEYED)
            await machines.wait_until_replicated()
            await scenario(machines)

    run_on_loop(run_scenario, 100)


async def call_until_ok(client: ServiceClient, path: str, body: dict[str, object]) -> ServiceReply:
    """Repeat a call until it is answered with 200, as gateways do with the end of a request."""
    while True:
        try:
            async with asyncio.timeout(2.0):
                reply = await client.call("POST", path, body)
            if reply.status == 200:
                return reply
        except (NoAnswerError, TimeoutError):
            client.close()
        await asyncio.sleep(0.02)


async def claim(client: ServiceClient, key: str, by: str) -> object:
    reply = await call_until_ok(client, f"/v1/keys/{key}/claim", {"by": by, "windowMs": 60000.0})
    return reply.body["state"]


async def plumwall(machines: Machines, *words: str) -> subprocess.CompletedProcess[str]:
    at = ",".join(f"{HOST}:{machine.listen}" for machine in machines.all if machine.is_up())
    return await asyncio.to_thread(run, "plumwall", "holding", *words, "--at", at)


def machines_of(status: dict[str, dict[str, object]], group: str) -> set[str]:
    return {machine_name_of(member["id"]) for member in status[group]["members"]}


def machines_by_group(status: dict[str, dict[str, object]]) -> dict[str, set[str]]:
    return {group: machines_of(status, group) for group in status}


def test_a_claimed_key_keeps_its_owner_at_every_process_and_after_each_lost_leader(tmp_path: Path) -> None:
    async def scenario(machines: Machines) -> None:
        keys = [f"k{i}" for i in range(12)]
        assert {group_of(key, KEYED) for key in keys} == {f"keys-{i}" for i in range(1, KEYED + 1)}
        for i, key in enumerate(keys):
            client = ServiceClient([(HOST, machines.all[i % 6].listen)])  # redirects to the leader
            assert await claim(client, key, "g1/r1") == "yours"
            client.close()
        client = machines.client()
        await call_until_ok(client, "/v1/keys/k0/done", {"by": "g1/r1", "status": 200, "answer": "eA=="})
        for group in ("keys-1", "keys-2", "keys-3", PLACEMENT_GROUP):
            await (lost := await machines.leader(group)).kill(delete_state=True)
            assert all([await claim(client, key, "g2/r9") == "begun" for key in keys[1:]])
            await machines.start(lost)
            await machines.wait_until_replicated()
        again = await call_until_ok(client, "/v1/keys/k0/claim", {"by": "g2/r9", "windowMs": 1.0})
        assert (again.body["state"], again.body["answer"]) == ("done", "eA==")
        await call_until_ok(client, "/v1/keys/k1/release", {"by": "g2/r9"})  # no effect: k1 is not its key
        assert await claim(client, "k1", "g1/r1") == "yours"
        await call_until_ok(client, "/v1/keys/k1/release", {"by": "g1/r1"})
        assert await claim(client, "k1", "g2/r9") == "yours"
        client.close()

    with_groups(6, tmp_path, scenario)


def test_an_operator_removes_and_adds_a_machine_and_moves_a_replica_during_writes(
    tmp_path: Path,
) -> None:
    async def scenario(machines: Machines) -> None:
        client, names = machines.client(), set()
        before = await machines.wait_until_replicated()
        spare = next(m for m in machines.all if m.name not in machines_of(before, LIST_GROUP))
        target = spare.name
        chosen = next(m.name for m in machines.all if m is not spare and m.zone == spare.zone)
        for turn, words in enumerate((("remove", chosen), ("add", chosen))):
            done = await plumwall(machines, *words)
            assert done.returncode == 0, done.stderr
            while (chosen in machines_of(await machines.wait_until_replicated(), LIST_GROUP)) == (
                words[0] == "remove"
            ):
                names.add(f"s{turn}-{len(names)}")
                await register(client, f"s{turn}-{len(names) - 1}")
        while machines_by_group(await machines.wait_until_replicated()) != machines_by_group(before):
            await asyncio.sleep(0.05)  # the added machine gets its groups one by one; no other group moves
        while (
            "being moved already"
            in (done := await plumwall(machines, "move", LIST_GROUP, chosen, target)).stderr
        ):
            pass  # the group leader's report on the last change has not arrived yet
        assert done.returncode == 0 and target in done.stdout, done.stderr
        while target not in machines_of(await machines.wait_until_replicated(), LIST_GROUP):
            await asyncio.sleep(0.05)
        assert names <= await listed(next(m for m in machines.all if m.name == target))
        for words, says in (
            (("move", "keys-9", "m0", "m1"), "no group keys-9"),
            (("move", LIST_GROUP, chosen, target), f"{chosen} is none of"),
            (("remove", "m77"), "no machine m77"),
            (("add", "m77"), "m77 is not there"),
        ):
            done = await plumwall(machines, *words)
            assert done.returncode == 1 and says in done.stderr, (words, done)
        client.close()

    with_groups(5, tmp_path, scenario)


def test_a_learner_lost_with_its_disk_is_copied_again_and_the_old_member_stays(
    tmp_path: Path,
) -> None:
    async def machine_catching_up(machines: Machines) -> Machine:
        """The machine whose replica of the list is catching up."""
        while True:
            status = await machines.status(await machines.leader())
            for member in status["groups"][LIST_GROUP]["members"]:
                if not member["voter"] and (member["behind"] or 0) > 0:
                    return machines.by_name(machine_name_of(member["id"]))
            await asyncio.sleep(0.01)

    async def scenario(machines: Machines) -> None:
        client = machines.client()
        names = {f"server-with-a-long-name-{i:04}" for i in range(150)}
        for name in sorted(names):
            await register(client, name)
        before = machines_of(await machines.wait_until_replicated(), LIST_GROUP)
        old = next(m for m in machines.all if m.name in before)
        done = await plumwall(machines, "remove", old.name)
        assert done.returncode == 0, done.stderr
        learner = await machine_catching_up(machines)
        await learner.kill(delete_state=True)
        members = (await machines.status(await machines.leader()))["groups"][LIST_GROUP]["members"]
        assert before <= {machine_name_of(member["id"]) for member in members}  # no old member was removed
        await machines.start(learner)
        status = await machines.wait_until_replicated()
        assert old.name not in machines_of(status, LIST_GROUP) and len(machines_of(status, LIST_GROUP)) == 3
        for machine in machines.all:
            if machine.name in machines_of(status, LIST_GROUP):
                assert await listed(machine) == names
        client.close()

    with_groups(4, tmp_path, scenario, copy_bytes_per_s=60_000, snapshot_entries=40)


def test_without_a_majority_of_the_placement_group_other_groups_serve_and_nothing_moves(
    tmp_path: Path,
) -> None:
    async def scenario(machines: Machines) -> None:
        status = await machines.wait_until_replicated()
        places = machines_of(status, PLACEMENT_GROUP)
        group = next(g for g in status if g != PLACEMENT_GROUP and len(machines_of(status, g) & places) < 2)
        lost = [machines.by_name(name) for name in sorted(places)[:2]]
        lost = (
            lost
            if len(machines_of(status, group) & {m.name for m in lost}) < 2
            else [machines.by_name(name) for name in sorted(places)[1:]]
        )
        for machine in lost:
            await machine.kill()
        client = ServiceClient([(HOST, m.listen) for m in machines.all if m.is_up()])
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
        assert machines_by_group(after) == machines_by_group(status)
        client.close()

    with_groups(6, tmp_path, scenario)


async def list_led_by(machines: Machines, machine: Machine) -> dict[str, object]:
    here = (await machines.status(machine)).get("groups", {}).get(LIST_GROUP, {})
    return here if here.get("role") == "leader" else {}


def test_a_member_that_returns_while_its_replacement_catches_up_is_removed_without_loss(
    tmp_path: Path,
) -> None:
    async def scenario(machines: Machines) -> None:
        client = machines.client()
        names = {f"server-with-a-long-name-{i:04}" for i in range(150)}
        for name in sorted(names):
            await register(client, name)
        status = await machines.wait_until_replicated()
        spare = next(m for m in machines.all if m.name not in machines_of(status, LIST_GROUP))
        old = next(m for m in machines.all if m is not spare and m.zone == spare.zone)
        old.pause()
        others = [m for m in machines.all if m is not old]
        members: list[dict[str, object]] = []
        while not any(not m["voter"] and machine_name_of(m["id"]) == spare.name for m in members):
            led = [here for here in [await list_led_by(machines, m) for m in others] if here]
            members = led[0]["members"] if led else []
            await asyncio.sleep(0.01)
        old.resume()  # its disk is intact and it is still a voter
        status = await machines.wait_until_replicated()
        assert len(machines_of(status, LIST_GROUP)) == 3 and old.name not in machines_of(status, LIST_GROUP)
        assert await listed(spare) == names
        client.close()

    with_groups(4, tmp_path, scenario, copy_bytes_per_s=60_000, snapshot_entries=40)


def test_a_disk_full_during_a_snapshot_loses_nothing_and_recovers_when_there_is_space(
    tmp_path: Path,
) -> None:
    async def scenario(machines: Machines) -> None:
        client, names = machines.client(), set()
        for i in range(30):
            names.add(f"server-with-a-long-name-{i:04}")
            await register(client, f"server-with-a-long-name-{i:04}")
        full_machine = machines.all[0]
        full_machine.fill_disk(100)
        for i in range(30, 160):  # each snapshot is longer than the one before
            names.add(f"server-with-a-long-name-{i:04}")
            await register(client, f"server-with-a-long-name-{i:04}")
        while not any("nothing can be made durable here" in line for line in full_machine.lines):
            await asyncio.sleep(0.02)
        full_machine.free_disk()
        await machines.wait_until_replicated()
        while await listed(full_machine) != names:
            await asyncio.sleep(0.02)
        client.close()

    with_groups(3, tmp_path, scenario, snapshot_entries=20)


def test_a_disk_that_lost_synced_entries_is_reported_and_refilled(tmp_path: Path) -> None:
    async def scenario(machines: Machines) -> None:
        client = machines.client()
        key = next(f"k{i}" for i in range(99) if group_of(f"k{i}", KEYED) == "keys-1")
        assert await claim(client, key, "g1/r1") == "yours"
        # No write follows to this group, which would otherwise hide the missing entries.
        await machines.wait_until_replicated()
        leader = await machines.leader("keys-1")
        faulty = next(m for m in machines.all if m is not leader)
        await faulty.kill()
        faulty.lose_last_record("keys-1")
        await machines.start(faulty)
        await machines.wait_until_replicated()
        done = await plumwall(machines, "status")
        assert "replace the disk of" in done.stdout and "forgets what" in done.stdout, done.stdout
        assert any("replace the disk" in line and faulty.name in line for line in leader.lines)
        await leader.kill(delete_state=True)  # the lost entries have been copied again
        assert await claim(client, key, "g2/r9") == "begun"
        client.close()

    with_groups(3, tmp_path, scenario)


def test_a_process_without_a_replica_forwards_list_reads_and_reports_the_age(tmp_path: Path) -> None:
    async def scenario(machines: Machines) -> None:
        writer = machines.client()
        names = {f"s{i}" for i in range(5)}
        for name in names:
            await register(writer, name)
        here = machines_of(await machines.wait_until_replicated(), LIST_GROUP)
        list_holders = [m for m in machines.all if m.name in here]
        spare = next(m for m in machines.all if m.name not in here)
        await wait_until_listed(spare, names)
        client = ServiceClient([(HOST, spare.listen)])
        revision = (await client.call("GET", "/v1/endpoints")).body["generation"]
        path = f"/v1/endpoints?after={revision}&wait_ms=20000"
        watch = asyncio.create_task(client.call("GET", path, None, 20.0))
        await (list_holders[0]).kill(delete_state=True)  # another replica continues a watch held there
        await register(writer, "s5")
        reply = await watch
        assert [row["instanceId"] for row in reply.body["instances"]] == ["s5"] and reply.age_ms <= AGE_MS
        path = f"/v1/endpoints?after={reply.body['generation']}&wait_ms=50"
        unchanged = await client.call("GET", path)
        assert unchanged.status == 200 and not unchanged.body["instances"] and not unchanged.body["reset"]

        paused_read = asyncio.create_task(client.call("GET", "/v1/endpoints?after=0&wait_ms=50", None, 20.0))
        spare.pause()  # a process paused before it answers must not report the answer as fresh
        await asyncio.sleep(AGE_MS / 1000 * 1.5)
        spare.resume()
        late = await paused_read
        assert late.status == 503 or late.age_ms <= AGE_MS

        for machine in machines.all:
            if machine is not spare and machine.is_up():
                machine.pause()
        answer = await client.call("GET", "/v1/endpoints")
        while answer.status == 200:
            answer = await client.call("GET", "/v1/endpoints")
        assert answer.status == 503  # no replica answers, so no list is given
        for machine in machines.all:
            if machine.is_up():
                machine.resume()
        await machines.start(list_holders[0])
        await wait_until_listed(spare, names | {"s5"})
        client.close()
        writer.close()

    with_groups(5, tmp_path, scenario, most_age_ms=AGE_MS)
