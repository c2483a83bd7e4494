"""Logging: an event as text and as a JSON line, and the limit on lines per second."""

from __future__ import annotations

import io
import json
import logging
import subprocess
import sys
from pathlib import Path

import pytest
from conftest import GatewayRig, message, reply, run_on_loop

from yewstage.log import JSON, TEXT, Event, JoinedList, configure_logging

ROOT = Path(__file__).parent.parent


class Attempt:
    def fields(self) -> dict[str, object]:
        return {"server": "s-1", "result": "full"}

    def __str__(self) -> str:
        return "s-1 full"


def logged_lines(
    style: str, lines_per_s: int | None, events: list[Event], monkeypatch: pytest.MonkeyPatch
) -> list[str]:
    stream = io.StringIO()
    monkeypatch.setattr(sys, "stderr", stream)
    monkeypatch.setattr("yewstage.log.time.monotonic", lambda: 1.0)
    root = logging.getLogger()
    monkeypatch.setattr(root, "handlers", [])
    monkeypatch.setattr(root, "level", logging.WARNING)
    configure_logging("n0", style, {"gateway": "n0"}, lines_per_s)
    for event in events:
        if event.name == "next_second":
            monkeypatch.setattr("yewstage.log.time.monotonic", lambda: 2.0)
        logging.getLogger("x").info(event)
    return stream.getvalue().splitlines()


EVENT = Event(
    "request",
    "{request}: {status} after {took_ms:.0f} ms; attempts: {attempts:; }",
    request="r-1",
    status=503,
    took_ms=12.345,
    attempts=JoinedList([Attempt(), "not sent"]),
)


def test_event_is_written_as_text_and_as_json(monkeypatch: pytest.MonkeyPatch) -> None:
    (text,) = logged_lines(TEXT, None, [EVENT], monkeypatch)
    assert text.endswith("n0 INFO r-1: 503 after 12 ms; attempts: s-1 full; not sent")
    (line,) = logged_lines(JSON, None, [EVENT], monkeypatch)
    raw = json.loads(line)
    assert raw["gateway"] == "n0" and raw["event"] == "request" and raw["level"] == "info"
    assert raw["request"] == "r-1" and raw["took_ms"] == 12.345 and text.endswith(raw["message"])
    assert raw["attempts"] == [{"server": "s-1", "result": "full"}, "not sent"] and raw["time"].endswith("Z")


@pytest.mark.parametrize("style", [TEXT, JSON])
def test_dropped_lines_are_counted_in_the_same_format(style: str, monkeypatch: pytest.MonkeyPatch) -> None:
    lines = logged_lines(style, 3, [EVENT] * 8 + [Event("next_second", "later")], monkeypatch)
    assert len(lines) == 5 and "5 lines left out" in lines[3] and "later" in lines[4]
    assert style == TEXT or json.loads(lines[3])["count"] == 5


def test_gateway_logs_json_lines_if_configured(tmp_path: Path) -> None:
    async def scenario() -> None:
        class JsonLogRig(GatewayRig):
            async def spawn(self) -> None:
                self.path.write_text(json.dumps({**self.config, "log": "json"}))
                await super().spawn()

        async with JsonLogRig(tmp_path, lambda seen: reply(b"", 500)) as rig:
            assert await rig.status(message("pay")) == 502
            raw = json.loads(await rig.wait_for_log('"event": "request"'))
            assert raw["request"] == "9b1f03aa5c7e2d41" and raw["gateway"] == "n0" and raw["class"] == "pay"
            assert raw["status"] == 502 and raw["attempts"][0]["server"] == "s-0"
            assert raw["attempts"][0]["result"] == "error"
            server_side = rig.hosts[0].seen[0].writer.get_extra_info("peername")
            assert raw["attempts"][0]["port"] == server_side[1]
            assert 0 <= raw["attempts"][0]["written_ms"] <= raw["took_ms"]

    run_on_loop(scenario)


def test_json_formatter_is_not_imported_by_default_and_invalid_log_format_is_refused(tmp_path: Path) -> None:
    code = "import sys, yewstage.net.process; sys.exit('pythonjsonlogger' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=False).returncode == 0
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(
            {
                "settings": {
                    "grades": [{"name": "a", "objective_ms": 1.0, "deadline_ms": 2.0, "effect": "safe"}],
                    "packages": [{"name": "p"}],
                },
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:1",
                "seed": "1",
                "log": "xml",
            }
        )
    )
    done = subprocess.run(
        [sys.executable, "-m", "plumwall", "config", "check", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2 and "log: 'xml' is none of text, json" in done.stderr
