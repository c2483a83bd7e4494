"""Passing over known failures: exactly those that the list names."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest
from conftest import ROOT
from known_failures import KnownFailure, parse_known_failures

LISTED = "KNOWN-RED.txt"
SAMPLE = """
import pytest

@pytest.mark.parametrize("n", [1, 2])
def test_a(n):
    assert n == 0, "listed"

def test_b():
    assert 1 == 2, "not listed"

def test_c():
    pass
"""


def run_sample(folder: Path, known: str, *tests: str) -> subprocess.CompletedProcess[str]:
    (folder / "test_sample.py").write_text(SAMPLE)
    (folder / "known.txt").write_text(known)
    command = [
        sys.executable,
        "-m",
        "pytest",
        "-q",
        "-rxX",
        "-p",
        "known_failures",
        "--known-failures=known.txt",
    ]
    return subprocess.run(
        [*command, *tests],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(ROOT / "tests")},
        capture_output=True,
        text=True,
    )


def test_a_listed_failure_is_passed_over_and_printed(tmp_path: Path) -> None:
    known = "1. test_sample.py::test_a\n   Failure: AssertionError: listed\n"
    ran = run_sample(tmp_path, known, "test_sample.py::test_a", "test_sample.py::test_c")
    assert ran.returncode == 0, ran.stdout
    assert "1 passed, 2 xfailed" in ran.stdout
    assert "XFAIL test_sample.py::test_a[1] - known failure: AssertionError: listed" in ran.stdout


@pytest.mark.parametrize(
    "known",
    [
        "1. test_sample.py::test_a\n   Failure: another message\n",
        "1. test_sample.py::test_a[2]\n   Failure: AssertionError: listed\n",
        "1. test_sample.py::test_b\n   Failure: AssertionError: listed\n",
        "",
    ],
    ids=["another message", "another parameter", "another test", "nothing listed"],
)
def test_any_other_failure_is_red(tmp_path: Path, known: str) -> None:
    ran = run_sample(tmp_path, known, "test_sample.py::test_a[1]")
    assert ran.returncode == 1 and "1 failed" in ran.stdout


def test_an_entry_without_the_message_of_its_failure_is_an_error() -> None:
    with pytest.raises(ValueError, match="tests/test_x.py::test_y: has no line"):
        parse_known_failures("1. tests/test_x.py::test_y\n   Seen: something\n")
    text = "1. tests/test_x.py::test_y\n   Failure: a: b\n   Seen: something\n"
    assert parse_known_failures(text) == [KnownFailure("tests/test_x.py::test_y", "a: b")]


def test_each_listed_test_exists() -> None:
    for known in parse_known_failures((ROOT / LISTED).read_text()):
        path, _, name = known.test.partition("[")[0].partition("::")
        assert f"def {name}(" in (ROOT / path).read_text(), known.test
