"""New settings at SIGHUP: applied whole or not at all; open requests keep the settings they came under."""

from __future__ import annotations

import asyncio
import copy
import json
import signal
from collections.abc import Callable
from pathlib import Path

import pytest
from conftest import (
    GRADES,
    KEYED,
    PLAN,
    SAFE,
    UNSAFE,
    Driver,
    GatewayRig,
    actions_of,
    message,
    read_message,
    reply,
    run_on_loop,
    settings,
)

from yewstage import interface as api
from yewstage.net import client_listener
from yewstage.net.client_request import ClassAndPlanNames
from yewstage.net.config import ConfigError, load, reload
from yewstage.net.stats import Stats


def raw_config() -> dict:
    return {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "counter": "127.0.0.1:3",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 1, "reset": True, "instances": []},
        "settings": {
            "grades": copy.deepcopy(GRADES),
            "packages": [{"name": "team", "refill": 5.0, "burst": 10.0}],
            "bounds": {"try_limit": 3},
            "family_info": {"may_count": True},
        },
    }


def environment_with(folder: Path, text: str) -> dict[str, str]:
    path = folder / "config.json"
    path.write_text(text)
    return {"ROUTER_CONFIG": str(path)}


def change(path: str, value: object = None, drop: bool = False) -> Callable[[dict], None]:
    def apply(tree: dict) -> None:
        *parents, last = path.split(".")
        for key in parents:
            tree = tree[int(key)] if key.isdigit() else tree[key]
        if drop:
            del tree[last]
        else:
            tree[last] = value

    return apply


@pytest.mark.parametrize(
    "path",
    [
        "name",
        "listen",
        "discovery",
        "counter",
        "seed",
        "limits",
        "limits.sockets",
        "known",
        "settings",
        "settings.grades",
        "settings.grades.0.deadline_ms",
        "settings.grades.1.key_scope",
        "settings.grades.2.effect",
        "settings.grades.0.name",
        "settings.grades.0.objective_ms",
        "settings.bounds",
        "settings.bounds.try_limit",
        "settings.packages",
        "settings.packages.0.refill",
        "settings.family_info",
    ],
)
def test_a_file_without_a_required_key_is_rejected(tmp_path: Path, path: str) -> None:
    first = load(environment_with(tmp_path, json.dumps(raw_config())))
    tree = raw_config()
    change(path, drop=True)(tree)
    with pytest.raises(ConfigError):
        reload(environment_with(tmp_path, json.dumps(tree)), first)


INVALID_NUMBERS = [
    "NaN",
    "Infinity",
    "-Infinity",
    "1e999",
    "true",
    '"4000"',
    "null",
    "0",
    "-1",
    "[4000]",
    "{}",
    "1" + "0" * 400,
]


@pytest.mark.parametrize("path", ["settings.grades.1.deadline_ms", "settings.bounds.try_limit"])
@pytest.mark.parametrize("value", INVALID_NUMBERS)
def test_a_value_that_is_not_a_positive_number_is_rejected(tmp_path: Path, path: str, value: str) -> None:
    first = load(environment_with(tmp_path, json.dumps(raw_config())))
    tree = raw_config()
    change(path, "HERE")(tree)
    with pytest.raises(ConfigError):
        reload(environment_with(tmp_path, json.dumps(tree).replace('"HERE"', value)), first)


@pytest.mark.parametrize(
    ("path", "value"),
    [(path, value) for path in ("bounds.conn_idle_ms", "bounds.dial_timeout_ms") for value in INVALID_NUMBERS]
    + [("penalties.handshake", value) for value in INVALID_NUMBERS if value != "0"],
)
def test_invalid_connection_settings_are_rejected_at_start_and_at_reload(
    tmp_path: Path, path: str, value: str
) -> None:
    tree = raw_config()
    tree["settings"].setdefault("penalties", {})["handshake"] = 0.05
    first = load(environment_with(tmp_path, json.dumps(tree)))
    assert first.settings.handshake == 0.05
    change(f"settings.{path}", "HERE")(tree)
    text = json.dumps(tree).replace('"HERE"', value)
    for read in (load, lambda environ: reload(environ, first)):
        with pytest.raises(ConfigError, match=f"{path}|is not a number$"):
            read(environment_with(tmp_path, text))


@pytest.mark.parametrize(
    "text", ["", "   ", json.dumps(raw_config())[:-40], "[]", "null", "[" * 100_000, "\udc80"]
)
def test_an_incomplete_file_is_rejected(tmp_path: Path, text: str) -> None:
    first = load(environment_with(tmp_path, json.dumps(raw_config())))
    (tmp_path / "config.json").write_bytes(text.encode("utf-8", "surrogateescape"))
    with pytest.raises(ConfigError):
        reload({"ROUTER_CONFIG": str(tmp_path / "config.json")}, first)


@pytest.mark.parametrize(
    "edit",
    [
        change("settings.bounds.try_limit", 1),
        change("settings.grades.0.effect", "unsafe"),
        change(
            "settings.grades", [{"name": "new", "objective_ms": 900, "deadline_ms": 2000.5, "effect": "safe"}]
        ),
        change("ops", "127.0.0.1:9"),
        change("known.instances", [{"instanceId": "s", "hostPort": "127.0.0.1:4"}]),
    ],
)
def test_a_file_with_other_settings_is_accepted(tmp_path: Path, edit: Callable[[dict], None]) -> None:
    first = load(environment_with(tmp_path, json.dumps(raw_config())))
    tree = raw_config()
    edit(tree)
    assert reload(environment_with(tmp_path, json.dumps(tree)), first).settings.classes


def test_classes_are_added_and_removed_while_requests_are_open(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayRig(
            tmp_path, lambda seen: None if seen.line.startswith("GET") else reply(b"ok")
        ) as rig:

            async def reload_with(text: str) -> None:
                rig.path.write_text(text)
                before = await rig.metrics()
                rig.process.send_signal(signal.SIGHUP)
                while await rig.metrics() == before:
                    await asyncio.sleep(0.01)

            reader, writer = await rig.connect()
            writer.write(message("read"))
            await rig.hosts[0].wait_until(lambda fake: bool(fake.seen))
            tree = copy.deepcopy(rig.config)
            put, new = dict(GRADES[1]), {**GRADES[0], "name": "new", "effect": "unsafe"}
            tree["settings"]["grades"] = [put, new]
            for bad in ("", json.dumps(tree)[:-9], json.dumps(tree).replace("6000.0", "NaN")):
                await reload_with(bad)
                assert await rig.status(message("new", key=False)) == 400
            await reload_with(json.dumps(tree))
            metrics = await rig.metrics()
            assert (metrics["gateway_cfg_accepted_total"], metrics["gateway_cfg_invalid_total"]) == (1, 3)
            assert metrics['gateway_fulfilled_total{priority="new"}'] == 0
            assert await rig.status(message("new", key=False)) == 200
            assert await rig.status(message("put")) == 200
            while await rig.status(message("pay", key=False)) != 400:
                await asyncio.sleep(0.05)
            # The class is removed, its request is still open.
            rig.hosts[0].seen[0].writer.write(reply(b"old"))
            assert (await read_message(reader, writer)).body == b"old"
            metrics = await rig.metrics()
            assert metrics['gateway_fulfilled_total{priority="read"}'] == 1
            assert metrics['gateway_fulfilled_total{priority="new"}'] == 1
            writer.close()

    run_on_loop(scenario)


def test_a_removed_class_is_accepted_for_a_while() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        members = {"settings": settings(), "stats": Stats(()), "max_upload_bytes": 1, "loop_monitor": None}
        core = type("Core", (), members)
        server = client_listener.ClientListener(core, loop, 100)
        timers = []
        server.loop = type(
            "Loop", (), {"call_later": lambda s, delay_s, *call: timers.append((delay_s, call))}
        )()
        server.set_classes_and_plans(ClassAndPlanNames(settings(classes=(SAFE,))))
        assert set(server.names.classes) == {b"read", b"put", b"pay"}
        ((delay_s, (call, *args)),) = timers
        call(*args)
        assert delay_s == client_listener.CLASS_REMOVAL_DELAY_S and set(server.names.classes) == {b"read"}

    run_on_loop(scenario)


def test_an_open_request_keeps_its_effect_and_its_attempt_limit() -> None:
    d = Driver(counter_enabled=False)
    rid, out = d.ask("read")
    (first,) = actions_of(out, api.Send)
    d.give(
        api.Retuned(settings(classes=(api.RequestClass("read", 1000, 4000, effect="unsafe"),), try_limit=1))
    )
    assert actions_of(d.end(rid, api.RESET), api.Send)  # safe to repeat, as on its arrival
    later, out = d.ask("read")
    assert actions_of(out, api.Send) and not actions_of(d.end(later, api.RESET), api.Send)


def test_a_request_that_carries_its_class_is_sent_after_the_class_was_removed() -> None:
    d = Driver(counter_enabled=False)
    d.give(api.Retuned(settings(classes=(UNSAFE,))))
    out = d.give(api.Request("r", "read", "open", "c", 4000, cls=SAFE))
    assert (
        actions_of(out, api.Send)
        and actions_of(
            d.give(api.Outcome("r", 0, actions_of(out, api.Send)[0].server, api.OK, 5, True)), api.Fail
        )
        == []
    )
    assert isinstance(d.give(api.Request("s", "read", "open", "c", 4000))[0], api.Refuse)


def test_a_request_waiting_for_the_counter_outlives_its_class() -> None:
    d = Driver()
    rid, out = d.ask("read", plan="basic")
    if not actions_of(out, api.Count):
        rid, out = d.ask("read", plan="basic")
    (count,) = actions_of(out, api.Count)
    d.give(api.Retuned(settings(classes=(KEYED,))))
    d.give(api.CountReply(count.name, api.OK, 1))
    assert any(isinstance(a, (api.Send, api.Refuse)) and a.request == rid for _, a in d.log)


def test_quotas_server_health_and_pressure_survive_new_settings() -> None:
    d = Driver(counter_enabled=False)
    sent = sum(bool(actions_of(d.ask(plan="basic", width=1)[1], api.Send)) for _ in range(20))
    gateway = d.gateway
    gateway.servers["h1"].ejections, gateway.smoothed_occupancy = 3, 0.3
    before = gateway.customer_quotas["c"].used
    d.give(
        api.Retuned(
            settings(counter_enabled=False, plans=(api.Plan("basic", rate=2, burst=6), api.Plan("other")))
        )
    )
    assert (
        gateway.servers["h1"].ejections,
        gateway.smoothed_occupancy,
        gateway.customer_quotas["c"].used,
    ) == (3, 0.3, before)
    assert sent and not actions_of(d.ask(plan="basic", width=1)[1], api.Send)
    d.give(api.Retuned(settings(counter_enabled=False, plans=(api.Plan("basic", rate=3, burst=6),))))
    assert not actions_of(d.ask(plan="basic", width=1)[1], api.Send)  # usage still counts under the new rate
    assert gateway.customer_quotas["c"].plan is gateway.plans["basic"] != PLAN
