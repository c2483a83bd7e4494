"""Tests of the emulator with real gateway processes: short runs of the command that users type."""

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
from conftest import LOOP, run_on_loop

from plumwall.cli.console import WorkFailedError
from plumwall.cli.outcome import report_outcome
from plumwall.emulator.listening_socket import ListeningSocket, respond
from plumwall.emulator.run import RunOutcome
from plumwall.emulator.tally import Tally
from plumwall.emulator.timing import call_not_before
from plumwall.judge import Service, Verdict

ROOT = Path(__file__).parent.parent
SMALL_SCENARIO = """
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


def plumwall_command(*args: str) -> list[str]:
    return [sys.executable, "-m", "plumwall", *args]


def run_scenario(folder: Path, text: str, *args: str) -> tuple[subprocess.CompletedProcess[str], dict]:
    """Run `plumwall up` on a scenario; return the finished process and its outcome."""
    (folder / "small.toml").write_text(text)
    process = subprocess.run(
        plumwall_command("up", str(folder / "small.toml"), "--out", str(folder / "run"), "--json", *args),
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=100,
    )
    return process, json.loads(process.stdout) if process.stdout else {}


def remaining_processes(folder: Path) -> list[str]:
    """Processes with a folder in their environment or command line. None may outlive a run."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit() and int(entry.name) != os.getpid():
            try:
                text = (entry / "environ").read_bytes() + (entry / "cmdline").read_bytes()
            except OSError:
                continue
            if str(folder).encode() in text:
                found.append(entry.name)
    return found


def test_run_keeps_the_rules_and_leaves_no_process(tmp_path: Path) -> None:
    process, outcome = run_scenario(tmp_path, SMALL_SCENARIO)
    verdict = outcome["verdict"]
    assert verdict["kept"] and not verdict["findings"], process.stderr
    assert verdict["counts"]["served"] > 20 and verdict["counts"]["unended"] == 0
    assert {row["name"] for row in outcome["rows"] if row["group"] == "gateway"} == {"n0", "n1"}
    assert remaining_processes(tmp_path) == []


RELEASE_FAULT = '\n[[faults]]\nkind = "release"\nat_s = 0.3\nfor_s = 0.3\npart = 0.5\n'
LIST_WITHOUT_DELAY = "\n[listing]\nnotice_s = 0\nadd_s = 0\nspread_ms = 0\n"
BUSY = SMALL_SCENARIO.replace("work_ms = 20", "work_ms = 30").replace("rate_per_s = 30", "rate_per_s = 150")
WITH_CEILING = """
[[plans]]
name = "standard"
share = 1
rate_per_s = 2
burst_s = 4
ceiling = 1.05
"""
BREACHES = {
    "effects": SMALL_SCENARIO,
    "requests": SMALL_SCENARIO,
    # Lists learn of drains at once, so that an answer of the server is not what stops the requests.
    "drains": SMALL_SCENARIO.replace("length_s = 2", "length_s = 4")
    + LIST_WITHOUT_DELAY
    + "[rules]\ndrain_ms = 0\n"
    + RELEASE_FAULT,
    "cold": BUSY.replace("count = 4", "count = 4\ncold_from = 0.05\ncold_s = 17")
    + LIST_WITHOUT_DELAY
    + RELEASE_FAULT,
    "ceilings": SMALL_SCENARIO.replace(
        "rate_per_s = 30", "rate_per_s = 60\nheavy = 1\nheavy_times = 8\nmost_excess = 9"
    ).replace("length_s = 2", "length_s = 5")
    + WITH_CEILING,
}


@pytest.mark.parametrize("rule", BREACHES)
def test_broken_rule_ends_the_run_with_status_1(tmp_path: Path, rule: str) -> None:
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "balancer.toml").write_text(
        f'run = "cd {ROOT} && PYTHONPATH=. exec {sys.executable} tests/rogue.py {rule}"\n'
    )
    process, outcome = run_scenario(
        tmp_path, BREACHES[rule], "--deploy", str(tmp_path / "deploy" / "balancer.toml")
    )
    assert process.returncode == 1 and f"rules broken: {rule}" in process.stderr, process.stderr
    found = next(f for f in outcome["verdict"]["findings"] if f["rule"] == rule)
    assert found["at_ms"] > 0 and found["gateway"] and (found["request"] or found["server"])


# Guards against: a void run, such as one on a busy machine, did not tell the rules that it broke.
def test_run_that_is_void_tells_the_broken_rules_too(capsys: pytest.CaptureFixture[str]) -> None:
    service = Service(1.0, 1.0, 0.0, 1.0, {}, {}, {}, {}, 1.0)
    verdict = Verdict(False, [], {"cold": 2}, service, {})
    outcome = RunOutcome(verdict, [], "the load tool was late", 23.6, 1, 1.0, 1, 1, {}, {}, {}, "run")
    with pytest.raises(WorkFailedError, match="void: the load tool was late; rules broken: cold 2"):
        report_outcome(outcome, json_=True)
    assert json.loads(capsys.readouterr().out)["void"] == "the load tool was late"


def test_repeated_kills_of_gateways_and_servers_leave_no_process(tmp_path: Path) -> None:
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
    process, outcome = run_scenario(tmp_path, SMALL_SCENARIO.replace("length_s = 2", "length_s = 6") + faults)
    records = [json.loads(line) for line in (tmp_path / "run" / "run.jsonl").read_text().splitlines()]
    kills = [
        record
        for record in records
        if record["t"] == "fault" and record["kind"] in ("gateway_kill", "server_crash")
    ]
    assert len(kills) >= 20 and outcome["verdict"]["kept"], process.stderr
    assert remaining_processes(tmp_path) == []


def test_interrupted_run_stops_all_its_processes(tmp_path: Path) -> None:
    (tmp_path / "small.toml").write_text(SMALL_SCENARIO.replace("length_s = 2", "length_s = 60"))
    with subprocess.Popen(
        plumwall_command("up", str(tmp_path / "small.toml"), "--out", str(tmp_path / "run")),
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        while "the load begins" not in process.stderr.readline():
            assert process.poll() is None
        assert len(remaining_processes(tmp_path)) >= 2
        process.send_signal(signal.SIGINT)
        process.stderr.read()
        assert process.wait(timeout=30) == 1
    assert remaining_processes(tmp_path) == []
    assert "ended: " in (tmp_path / "run" / "n0.log").read_text()  # it ended in order, by SIGTERM


def test_failed_start_of_a_gateway_is_reported_with_its_last_log_line(tmp_path: Path) -> None:
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "balancer.toml").write_text('run = "echo no luck >&2; exit 3"\n')
    process, _ = run_scenario(
        tmp_path, SMALL_SCENARIO, "--deploy", str(tmp_path / "deploy" / "balancer.toml")
    )
    assert process.returncode == 1 and "status 3: no luck" in process.stderr
    assert remaining_processes(tmp_path) == []


@pytest.mark.parametrize(
    ("args", "expected_error"),
    [
        (("up", "nothing-like-it"), "no built-in scenario"),
        (("up", "quiet", "--rate", "0"), "--rate"),
        (("load", "--at", "here"), "--at"),
        (("up", "quiet", "--burst", "90", "3", "0"), "load.burst_for_s"),
    ],
)
def test_invalid_arguments_start_nothing(tmp_path: Path, args: tuple[str, ...], expected_error: str) -> None:
    process = subprocess.run(
        plumwall_command(*args),
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    assert process.returncode == 2 and expected_error in process.stderr and not list(tmp_path.iterdir())


def test_listening_socket_serves_refuses_goes_silent_and_resumes() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        listener = ListeningSocket(loop, LOOP, lambda exchange: exchange.answer(respond(200, b"ok")))
        host, port = listener.address.split(":")

        async def connect(timeout_s: float = 5.0) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
            async with asyncio.timeout(timeout_s):
                return await asyncio.open_connection(host, int(port))

        with pytest.raises(ConnectionRefusedError):
            await connect()
        listener.open()
        reader, writer = await connect()
        request = b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n"
        writer.write(request)
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        await reader.readuntil(b"ok")
        listener.go_silent()
        with pytest.raises(TimeoutError):
            await connect(0.2)  # not refused: the attempt to connect times out
        writer.write(request)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await reader.readline()
        listener.resume()
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")  # the pending request is answered
        await reader.readuntil(b"ok")
        listener.refuse()
        with pytest.raises(ConnectionError):
            await reader.readexactly(1)
        with pytest.raises(ConnectionRefusedError):
            await connect()
        listener.open()
        (await connect())[1].close()
        listener.close()

    run_on_loop(scenario)


def test_late_load_tool_voids_the_run_and_counts_latency_from_due_time() -> None:
    class Pending:
        def __init__(self, due_ms: float) -> None:
            self.due_ms, self.gateway = due_ms, "n0"
            self.first = type("First", (), {"cls": 0, "customer": 0})

    tally = Tally(["view"], ["basic"])
    for i in range(100):
        pending = Pending(due_ms=i)
        tally.record_offered(i, i + 50.0)  # each 50 ms late
        tally.record_end(pending, "whole", 200, i + 60.0)
    assert "late" in tally.void_reason()
    row = next(row for row in tally.rows() if row.group == "gateway")
    # Latency is counted from when a try was due, not from when it was sent.
    assert row.served == 100 and 59 < row.p50_ms < 61
    other = Tally(["view"], ["basic"])
    other.merge(tally.encoded_state())
    assert other.rows() == tally.rows() and other.offered_count == 100


def test_timer_that_fires_early_is_set_again() -> None:
    class EarlyTimerLoop:
        """A loop whose timers fire too early. A real one counts whole milliseconds and may be 1 ms early."""

        def __init__(self) -> None:
            self.timers: list[tuple] = []

        def call_later(self, delay_s: float, call, *args: object) -> None:
            self.timers.append((call, args))

        call_soon = None

    loop, calls = EarlyTimerLoop(), []
    at_ms = time.monotonic() * 1000 + 1e7
    call_not_before(loop, at_ms, calls.append, "early")
    for _ in range(3):
        call, args = loop.timers.pop()
        call(*args)
        assert not calls and len(loop.timers) == 1
    run_on_loop(lambda: _call_due_now(calls))
    assert calls == ["due"]


async def _call_due_now(calls: list[str]) -> None:
    call_not_before(asyncio.get_running_loop(), time.monotonic() * 1000, calls.append, "due")
    await asyncio.sleep(0)
    await asyncio.sleep(0)


def test_list_changes_during_an_outage_are_told_afterwards(tmp_path: Path) -> None:
    faults = LIST_WITHOUT_DELAY + '[[faults]]\nkind = "list_down"\nat_s = 0.2\nfor_s = 1.5\n' + RELEASE_FAULT
    process, outcome = run_scenario(tmp_path, SMALL_SCENARIO.replace("length_s = 2", "length_s = 4") + faults)
    records = [json.loads(line) for line in (tmp_path / "run" / "backing-0.jsonl").read_text().splitlines()]
    told_at_ms = [
        record["at"] for record in records if record["t"] == "told" and record["lifecycle"] == "draining"
    ]
    # Two servers and two gateways. The drains begin at 300 ms, the outage ends at 1700 ms.
    assert len(told_at_ms) == 4 and min(told_at_ms) >= 1700
    assert outcome["verdict"]["kept"], process.stderr


def test_run_with_the_list_service_instead_of_agents(tmp_path: Path) -> None:
    faults = (
        '\n[listing]\nsource = "registry"\n[[faults]]\nkind = "release"\nat_s = 0.5\nfor_s = 1\npart = 0.5\n'
    )
    process, outcome = run_scenario(
        tmp_path, SMALL_SCENARIO.replace("length_s = 2", "length_s = 7") + faults, "--log-format", "json"
    )
    assert outcome["verdict"]["kept"] and outcome["verdict"]["counts"]["served"] > 100, process.stderr
    lines = [json.loads(line) for line in (tmp_path / "run" / "n0.log").read_text().splitlines()]
    listed = [line["states"] for line in lines if line["event"] == "list"]
    assert any("draining" in states for states in listed) and any("removed" in states for states in listed)
    lease_logs = [
        path for path in (tmp_path / "run").glob("checker-*.log") if '"duty_held"' in path.read_text()
    ]
    assert len(lease_logs) == 1 and remaining_processes(tmp_path) == []


def test_load_on_running_gateways_and_prometheus_metrics(tmp_path: Path) -> None:
    (tmp_path / "small.toml").write_text(SMALL_SCENARIO)
    up_args = ("up", str(tmp_path / "small.toml"), "--no-load", "--out", str(tmp_path / "run"))
    with subprocess.Popen(
        plumwall_command(*up_args), cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE, text=True
    ) as process:
        while "plumwall load --at " not in (line := process.stderr.readline()):
            assert process.poll() is None
        addresses = line.split("--at ")[1].split()[0]
        with subprocess.Popen(
            plumwall_command(
                "load",
                "--at",
                addresses,
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
            while 'emulator_tries_total{gateway="n0",result="served"}' not in (metrics := fetch(url)):
                assert load.poll() is None
                time.sleep(0.1)
            outcome = json.loads(load.stdout.read())
        assert 'emulator_latency_seconds{gateway="n0",quantile="0.99"}' in metrics
        assert outcome["verdict"] is None and sum(row["served"] for row in outcome["rows"]) > 100
        process.send_signal(signal.SIGTERM)
        process.stderr.read()
        assert process.wait(timeout=30) == 0
    assert remaining_processes(tmp_path) == []


def fetch(url: str) -> str:
    with urllib.request.urlopen(url, timeout=10) as answer:
        return answer.read().decode()
