"""The command line: exit status, errors that name the field, JSON for programs."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from plumwall.cli.main import COMMANDS, cli


def run(*words: str) -> Result:
    return CliRunner().invoke(cli, list(words))


@pytest.mark.parametrize("name", sorted(COMMANDS))
def test_every_command_has_help(name: str) -> None:
    done = run(name, "--help")
    assert done.exit_code == 0 and len(done.output.splitlines()) > 5


def test_what_each_command_promises_about_its_status(tmp_path: Path) -> None:
    assert run("version", "--json").exit_code == 0
    assert json.loads(run("version", "--json").output)["plumwall"]
    assert run("servers", "--at", "127.0.0.1:1").exit_code == 1  # nobody there: the work failed
    assert run("servers", "--at", "nowhere").exit_code == 2
    assert run("drain", "a b", "--at", "127.0.0.1:1").exit_code == 2
    assert run("config", "check", str(tmp_path / "none.json")).exit_code == 2


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
def test_a_bad_configuration_is_one_line_that_names_the_field(tmp_path: Path, text: str, field: str) -> None:
    path = tmp_path / "file.json"
    path.write_text(text)
    done = run("config", "check", str(path))
    assert done.exit_code == 2 and field in done.output and len(done.output.splitlines()) == 1
