"""Pytest plugin: passes over the failures that a file lists, prints them, and no others.

`--known-failures FILE` names the file. Each of its entries begins with a number and the id of a test; an id
without parameters stands for all parameters of the test. A line `Failure: TEXT` within the entry gives a part
of the message of the failure. A listed test that fails with another message is red, and one that passes is
green.
"""

from __future__ import annotations

import re
from collections.abc import Generator
from pathlib import Path
from typing import NamedTuple

import pytest

ENTRY_START = re.compile(r"^\d+\. (?P<test>\S+::\S+)$")
FAILURE_LINE = re.compile(r"^ +Failure: (?P<failure>.+)$")
KNOWN_FAILURES = pytest.StashKey[list["KnownFailure"]]()


class KnownFailure(NamedTuple):
    """A test that is known to fail."""

    test: str  # id of the test, relative to the root of the project
    failure: str  # a part of the message of the failure

    def matches(self, test: str, message: str) -> bool:
        """Whether this is the failure of a test with a message."""
        return self.test in (test, test.partition("[")[0]) and self.failure in message


def parse_known_failures(text: str) -> list[KnownFailure]:
    """Parse the entries of the file; ValueError names an entry without the message of its failure."""
    tests: list[str] = []
    failures: dict[str, str] = {}
    for line in text.splitlines():
        if start := ENTRY_START.match(line):
            tests.append(start["test"])
        elif (failure := FAILURE_LINE.match(line)) and tests:
            failures[tests[-1]] = failure["failure"]
    for test in tests:
        if test not in failures:
            raise ValueError(f"{test}: has no line 'Failure: ...'")
    return [KnownFailure(test, failures[test]) for test in tests]


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--known-failures", metavar="FILE", type=Path, help="file of failures to pass over")


def pytest_configure(config: pytest.Config) -> None:
    path = config.getoption("known_failures")
    config.stash[KNOWN_FAILURES] = [] if path is None else parse_known_failures(path.read_text())


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    report = yield
    if report.failed:
        for known in item.config.stash[KNOWN_FAILURES]:
            if known.matches(item.nodeid, report.longreprtext):
                report.outcome, report.wasxfail = "skipped", f"known failure: {known.failure}"
    return report
