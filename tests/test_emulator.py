"""The emulator round the real program: short runs by the command that users type."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

import pytest
from conftest import LOOP, on_loop

from plumwall.emulator.listening_socket import ListeningSocket, respond
from plumwall.emulator.tally import Tally
from plumwall.emulator.timing import not_before

ROOT = Path(__file__).parent.parent
SMALL = """
name = "small"
length_s = 2
[fleet]
gateways = 2
[servers]
count = 4
[load]
rate_per_s = 30
[[classes]]
name = "view-statement"
share = 0.5
work_ms = 20
[[classes]]
name = "post-remittance"
share = 0.5
work_ms = 20
effect = "unsafe"
"""


def command(*words: str) -> list[str]:
    return [sys.executable, "-m", "plumwall", *words]


def play(folder: Path, text: str, *words: str) -> tuple[subprocess.CompletedProcess[str], dict]:
    """`plumwall up` on a scenario; how it ended, and its outcome."""
    (folder / "small.toml").write_text(text)
    done = subprocess.run(
        command("up", str(folder / "small.toml"), "--out", str(folder / "run"), "--json", *words),
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=100,
    )
    return done, json.loads(done.stdout) if done.stdout else {}


def left_behind(folder: Path) -> list[str]:
    """Processes that name a folder in their environment or words: none may outlive a run."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit() and int(entry.name) != os.getpid():
            try:
                told = (entry / "environ").read_bytes() + (entry / "cmdline").read_bytes()
            except OSError:
                continue
            if str(folder).encode() in told:
                found.append(entry.name)
    return found


def test_a_run_of_real_gateways_keeps_the_rules_and_leaves_no_process(tmp_path: Path) -> None:
    done, outcome = play(tmp_path, SMALL)
    verdict = outcome["verdict"]
    assert verdict["kept"] and not verdict["findings"], done.stderr
    assert verdict["counts"]["served"] > 20 and verdict["counts"]["unended"] == 0
    assert {row["name"] for row in outcome["rows"] if row["group"] == "gateway"} == {"n0", "n1"}
    assert left_behind(tmp_path) == []


RELEASE = '\n[[faults]]\nkind = "release"\nat_s = 0.3\nfor_s = 0.3\npart = 0.5\n'
AT_ONCE = "\n[listing]\nnotice_s = 0\nadd_s = 0\nspread_ms = 0\n"
BUSY = SMALL.replace("work_ms = 20", "work_ms = 30").replace("rate_per_s = 30", "rate_per_s = 150")
CEILED = """
[[plans]]
name = "standard"
share = 1
rate_per_s = 2
burst_s = 4
ceiling = 1.05
"""
BREACHES = {
    "effects": SMALL,
    "requests": SMALL,
    # Lists hear of all at once, so that a server's own word is not what stops it.
    "drains": SMALL.replace("length_s = 2", "length_s = 4") + AT_ONCE + "[rules]\ndrain_ms = 0\n" + RELEASE,
    "cold": BUSY.replace("count = 4", "count = 4\ncold_from = 0.05\ncold_s = 17") + AT_ONCE + RELEASE,
    "ceilings": SMALL.replace(
        "rate_per_s = 30", "rate_per_s = 60\nheavy = 1\nheavy_times = 8\nmost_excess = 9"
    ).replace("length_s = 2", "length_s = 5")
    + CEILED,
}


@pytest.mark.parametrize("rule", BREACHES)
def test_a_gateway_that_breaks_a_rule_ends_the_run_with_status_1(tmp_path: Path, rule: str) -> None:
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "balancer.toml").write_text(
        f'run = "cd {ROOT} && PYTHONPATH=. exec {sys.executable} tests/rogue.py {rule}"\n'
    )
    done, outcome = play(tmp_path, BREACHES[rule], "--deploy", str(tmp_path / "deploy" / "balancer.toml"))
    assert done.returncode == 1 and f"rules broken: {rule}" in done.stderr, done.stderr
    found = next(f for f in outcome["verdict"]["findings"] if f["rule"] == rule)
    assert found["at_ms"] > 0 and found["gateway"] and (found["request"] or found["server"])


def test_gateways_and_servers_are_killed_over_and_over_and_nothing_stays(tmp_path: Path) -> None:
    faults = "".join(
        f"""
[[faults]]
kind = "{kind}"
at_s = {0.2 + i * 0.25:.2f}
for_s = 0.3
part = 0.5
"""
        for i, kind in enumerate(("gateway_killed", "crash") * 8)
    )
    done, outcome = play(tmp_path, SMALL.replace("length_s = 2", "length_s = 6") + faults)
    kinds = [json.loads(line) for line in (tmp_path / "run" / "run.jsonl").read_text().splitlines()]
    killed = [k for k in kinds if k["t"] == "fault" and k["kind"] in ("gateway_kill", "server_crash")]
    assert len(killed) >= 20 and outcome["verdict"]["kept"], done.stderr
    assert left_behind(tmp_path) == []


def test_an_interrupted_run_ends_all_that_it_started(tmp_path: Path) -> None:
    (tmp_path / "small.toml").write_text(SMALL.replace("length_s = 2", "length_s = 60"))
    with subprocess.Popen(
        command("up", str(tmp_path / "small.toml"), "--out", str(tmp_path / "run")),
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        while "the load begins" not in process.stderr.readline():
            assert process.poll() is None
        assert len(left_behind(tmp_path)) >= 2
        process.send_signal(signal.SIGINT)
        process.stderr.read()
        assert process.wait(timeout=30) == 1
    assert left_behind(tmp_path) == []
    assert "ended: " in (tmp_path / "run" / "n0.log").read_text()  # by SIGTERM, in order


def test_a_gateway_that_cannot_start_is_told_with_its_last_words(tmp_path: Path) -> None:
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "balancer.toml").write_text('run = "echo no luck >&2; exit 3"\n')
    done, _ = play(tmp_path, SMALL, "--deploy", str(tmp_path / "deploy" / "balancer.toml"))
    assert done.returncode == 1 and "status 3: no luck" in done.stderr
    assert left_behind(tmp_path) == []


@pytest.mark.parametrize(
    ("words", "part"),
    [
        (("up", "nothing-like-it"), "no built-in scenario"),
        (("up", "quiet", "--rate", "0"), "--rate"),
        (("load", "--at", "here"), "--at"),
        (("up", "quiet", "--burst", "90", "3", "0"), "load.burst_for_s"),
    ],
)
def test_bad_use_starts_nothing(tmp_path: Path, words: tuple[str, ...], part: str) -> None:
    done = subprocess.run(
        command(*words),
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    assert done.returncode == 2 and part in done.stderr and not list(tmp_path.iterdir())


def test_a_door_serves_refuses_keeps_silent_and_speaks_again() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        door = ListeningSocket(loop, LOOP, lambda slot: slot.answer(respond(200, b"ok")))
        host, port = door.address.split(":")

        async def dial(within_s: float = 5.0) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
            async with asyncio.timeout(within_s):
                return await asyncio.open_connection(host, int(port))

        with pytest.raises(ConnectionRefusedError):
            await dial()
        door.open()
        reader, writer = await dial()
        ask = b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n"
        writer.write(ask)
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        await reader.readuntil(b"ok")
        door.keep_silent()
        with pytest.raises(TimeoutError):
            await dial(0.2)  # not refused: it never comes up
        writer.write(ask)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await reader.readline()
        door.speak_again()
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")  # what waited is answered
        await reader.readuntil(b"ok")
        door.refuse()
        with pytest.raises(ConnectionError):
            await reader.readexactly(1)
        with pytest.raises(ConnectionRefusedError):
            await dial()
        door.open()
        (await dial())[1].close()
        door.close()

    on_loop(scenario)


def test_a_late_load_tool_says_so_and_hides_nothing() -> None:
    class Pending:
        def __init__(self, due: float) -> None:
            self.due, self.gateway = due, "n0"
            self.first = type("First", (), {"cls": 0, "customer": 0})

    tally = Tally(["view"], ["basic"])
    for i in range(100):
        pending = Pending(due=i)
        tally.offered(i, i + 50.0)  # each 50 ms late
        tally.ended(pending, "whole", 200, i + 60.0)
    assert "late" in tally.void()
    row = next(row for row in tally.rows() if row.group == "gateway")
    assert row.served == 100 and 59 < row.p50_ms < 61  # from when it was due, not from when it was sent
    other = Tally(["view"], ["basic"])
    other.add(tally.state())
    assert other.rows() == tally.rows() and other.offered_count == 100


def test_a_timer_that_fires_early_is_set_again() -> None:
    class Hasty:
        """A loop whose timers fire at once, as one that counts in whole milliseconds may by a part of one."""

        def __init__(self) -> None:
            self.set: list[tuple] = []

        def call_later(self, delay_s: float, call, *args: object) -> None:
            self.set.append((call, args))

        call_soon = None

    loop, called = Hasty(), []
    at_ms = time.monotonic() * 1000 + 1e7
    not_before(loop, at_ms, called.append, "early")
    for _ in range(3):
        call, args = loop.set.pop()
        call(*args)
        assert not called and len(loop.set) == 1
    on_loop(lambda: _due_now(called))
    assert called == ["due"]


async def _due_now(called: list[str]) -> None:
    not_before(asyncio.get_running_loop(), time.monotonic() * 1000, called.append, "due")
    await asyncio.sleep(0)
    await asyncio.sleep(0)


def test_a_list_that_is_silent_tells_what_it_missed_afterwards(tmp_path: Path) -> None:
    faults = AT_ONCE + '[[faults]]\nkind = "list_down"\nat_s = 0.2\nfor_s = 1.5\n' + RELEASE
    done, outcome = play(tmp_path, SMALL.replace("length_s = 2", "length_s = 4") + faults)
    records = [json.loads(line) for line in (tmp_path / "run" / "backing-0.jsonl").read_text().splitlines()]
    told = [record["at"] for record in records if record["t"] == "told" and record["lifecycle"] == "draining"]
    assert len(told) == 4 and min(told) >= 1700  # two servers, two gateways; drained from 300 on
    assert outcome["verdict"]["kept"], done.stderr


def test_the_projects_own_list_service_stands_in_for_the_agents(tmp_path: Path) -> None:
    faults = (
        '\n[listing]\nsource = "registry"\n[[faults]]\nkind = "release"\nat_s = 0.5\nfor_s = 1\npart = 0.5\n'
    )
    done, outcome = play(
        tmp_path, SMALL.replace("length_s = 2", "length_s = 7") + faults, "--log-format", "json"
    )
    assert outcome["verdict"]["kept"] and outcome["verdict"]["counts"]["served"] > 100, done.stderr
    lines = [json.loads(line) for line in (tmp_path / "run" / "n0.log").read_text().splitlines()]
    lists = [line["states"] for line in lines if line["event"] == "list"]
    assert any("draining" in states for states in lists) and any("removed" in states for states in lists)
    held = [path for path in (tmp_path / "run").glob("checker-*.log") if '"duty_held"' in path.read_text()]
    assert len(held) == 1 and left_behind(tmp_path) == []


def test_a_load_on_gateways_that_are_up_and_figures_for_prometheus(tmp_path: Path) -> None:
    (tmp_path / "small.toml").write_text(SMALL)
    here = ("up", str(tmp_path / "small.toml"), "--no-load", "--out", str(tmp_path / "run"))
    with subprocess.Popen(
        command(*here), cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE, text=True
    ) as process:
        while "plumwall load --at " not in (line := process.stderr.readline()):
            assert process.poll() is None
        at = line.split("--at ")[1].split()[0]
        with subprocess.Popen(
            command(
                "load",
                "--at",
                at,
                "--scenario",
                str(tmp_path / "small.toml"),
                "--length",
                "3",
                "--json",
                "--metrics",
                f"{LOOP}:0",
                "--out",
                str(tmp_path / "load"),
            ),
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        ) as load:
            url = load.stderr.readline().split()[-1]
            while 'emulator_tries_total{gateway="n0",result="served"}' not in (figures := fetch(url)):
                assert load.poll() is None
                time.sleep(0.1)
            outcome = json.loads(load.stdout.read())
        assert 'emulator_latency_seconds{gateway="n0",quantile="0.99"}' in figures
        assert outcome["verdict"] is None and sum(row["served"] for row in outcome["rows"]) > 100
        process.send_signal(signal.SIGTERM)
        process.stderr.read()
        assert process.wait(timeout=30) == 0
    assert left_behind(tmp_path) == []


def fetch(url: str) -> str:
    with urllib.request.urlopen(url, timeout=10) as answer:
        return answer.read().decode()
