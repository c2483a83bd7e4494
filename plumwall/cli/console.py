"""What all commands share: exit status, tables or JSON, progress."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from yewstage.net.config import Address, ConfigError, address

DONE, FAILED, BAD_USE = 0, 1, 2
LINES_EVERY_S = 2.0  # of progress, where the output is no terminal

WIDTH = 160  # of a table, where the output is no terminal


def _console(stderr: bool) -> Console:
    made = Console(stderr=stderr, highlight=False, soft_wrap=True)
    if not made.is_terminal:
        made.width = WIDTH
    return made


out, err = _console(False), _console(True)


class BadFileError(click.ClickException):
    """A file or value that cannot be used; the text names the field. Nothing was started."""

    exit_code = BAD_USE


class WorkFailedError(click.ClickException):
    """The work was begun and failed."""

    exit_code = FAILED


FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


def host_port(option: str, value: str) -> Address:
    """An option's HOST:PORT; what is none ends the command with the option's name."""
    try:
        return address({option: value}, option)
    except ConfigError as error:
        raise BadFileError(str(error)) from None


def as_json(command: Callable) -> Callable:
    """The option of every command that prints a table."""
    return click.option("--json", "json_", is_flag=True, help="Print JSON instead of a table.")(command)


def say_json(value: object) -> None:
    """One line of JSON on standard output."""
    click.echo(msgspec.json.encode(value).decode())


def say_table(
    columns: Sequence[str], rows: Sequence[Sequence[object]], title: str = "", json_: bool = False
) -> None:
    """Rows as a table, or as JSON objects by column."""
    if json_:
        say_json([dict(zip(columns, row, strict=True)) for row in rows])
        return
    out.print(table(columns, rows, title), soft_wrap=False)


def table(columns: Sequence[str], rows: Sequence[Sequence[object]], title: str = "") -> Table:
    """Rows as a table; numbers to the right."""
    made = Table(title=title or None, title_justify="left", header_style="bold", box=None, pad_edge=False)
    for i, name in enumerate(columns):
        numbers = bool(rows) and all(isinstance(row[i], (int, float)) for row in rows)
        made.add_column(name, justify="right" if numbers else "left", no_wrap=i == 0)
    for row in rows:
        made.add_row(*(_cell(value) for value in row))
    return made


def _cell(value: object) -> str:
    if isinstance(value, float):
        return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"
    return f"{value:,}" if isinstance(value, int) and not isinstance(value, bool) else str(value)


@contextmanager
def waiting(what: str, quiet: bool = False) -> Iterator[Callable[[str], None]]:
    """Show that work goes on: a spinner on a terminal, else a line now and then. Yields a way to say more."""
    if quiet:
        yield lambda text: None
    elif err.is_terminal:
        with err.status(what) as status:
            yield lambda text: status.update(f"{what}: {text}")
    else:
        lines = PlainLines()
        yield lambda text: lines.say(f"{what}: {text}")


class PlainLines:
    """Lines for logs and pipes: one every `LINES_EVERY_S` seconds at most."""

    def __init__(self, now_s: Callable[[], float] = time.monotonic) -> None:
        self._now_s, self._next = now_s, 0.0

    def say(self, text: str) -> None:
        """A line, if it is time for one."""
        if self._now_s() >= self._next:
            self._next = self._now_s() + LINES_EVERY_S
            click.echo(text, err=True)


def fields(value: Mapping[str, object], json_: bool) -> None:
    """Names and values, one a line."""
    if json_:
        say_json(value)
        return
    for name, item in value.items():
        out.print(f"{name:14} {item}", markup=False)
