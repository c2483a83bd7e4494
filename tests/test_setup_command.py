"""The setup that `bin/plumwall` does at its first use."""

from __future__ import annotations

import os
import shutil
import subprocess
from pathlib import Path

from conftest import ROOT

# Stands in for the interpreter of the environment: it records when an installation begins and ends.
INTERPRETER = """#!/bin/sh
case "$*" in
*"pip "*) echo begin >>"$RECORD"; sleep 0.5; echo end >>"$RECORD" ;;
*"-m plumwall"*) echo ran >>"$RECORD" ;;
esac
"""


# Guards against: two commands at once install into the same environment, and one ends with a traceback.
def test_two_commands_at_once_set_up_one_after_the_other(tmp_path: Path) -> None:
    for name in ("pyproject.toml", "requirements.txt"):
        shutil.copy(ROOT / name, tmp_path)
    (tmp_path / "bin").mkdir()
    command = shutil.copy(ROOT / "bin" / "plumwall", tmp_path / "bin")
    interpreter = tmp_path / ".venv" / "bin" / "python"
    interpreter.parent.mkdir(parents=True)
    interpreter.write_text(INTERPRETER)
    interpreter.chmod(0o755)
    record = tmp_path / "record"
    environ = {**os.environ, "RECORD": str(record)}
    started = [subprocess.Popen([command, "version"], env=environ) for _ in range(3)]
    assert [process.wait() for process in started] == [0, 0, 0]
    assert record.read_text().split() == ["begin", "end", "ran", "ran", "ran"]
