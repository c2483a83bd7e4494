"""The command line: help, exit statuses, and error messages that name the invalid field."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from plumwall.cli.console import print_table
from plumwall.cli.main import COMMANDS, cli


def invoke(*arguments: str) -> Result:
    return CliRunner().invoke(cli, list(arguments))


@pytest.mark.parametrize("name", sorted(COMMANDS))
def test_every_command_has_help(name: str) -> None:
    result = invoke(name, "--help")
    assert result.exit_code == 0 and len(result.output.splitlines()) > 5


def test_exit_status_is_1_for_a_failure_and_2_for_invalid_usage(tmp_path: Path) -> None:
    assert invoke("version", "--json").exit_code == 0
    assert json.loads(invoke("version", "--json").output)["plumwall"]
    assert invoke("servers", "--at", "127.0.0.1:1").exit_code == 1  # nothing listens on this port
    assert invoke("servers", "--at", "nowhere").exit_code == 2
    assert invoke("drain", "a b", "--at", "127.0.0.1:1").exit_code == 2
    assert invoke("config", "check", str(tmp_path / "none.json")).exit_code == 2


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("{", "cannot be read"),
        ("[]", "JSON object"),
        ("{}", "settings, cluster, folder, probing"),
        ('{"cluster": "c", "folder": "x"}', "name: "),
        ('{"folder": "x", "listen": "a"}', "listen: "),
        ('{"probing": true, "name": "c"}', "registry: "),
        ('{"settings": {}, "listen": "127.0.0.1:0"}', "settings: grades: is missing"),
        ('{"settings": {"bounds": {"dial_timeout_ms": 0}}}', "bounds.dial_timeout_ms"),
    ],
)
def test_an_invalid_configuration_gives_one_line_that_names_the_field(
    tmp_path: Path, text: str, field: str
) -> None:
    path = tmp_path / "file.json"
    path.write_text(text)
    result = invoke("config", "check", str(path))
    assert result.exit_code == 2 and field in result.output and len(result.output.splitlines()) == 1


# Guards against: a table is wrapped as for a screen, so that a text can't be found in what a pipe gets.
def test_each_row_of_a_table_is_one_line_in_a_pipe(capsys: pytest.CaptureFixture[str]) -> None:
    text = ", ".join(["replace the disk of m1: it forgets what it said to be durable"] * 4)
    print_table(("process", "leads", "remark"), [("m0", "group " * 60, text)])
    assert any(line.rstrip().endswith(text) for line in capsys.readouterr().out.splitlines())
