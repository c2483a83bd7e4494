"""Shared by all commands: exit statuses, output as tables or JSON, and progress messages."""

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

EXIT_SUCCESS, EXIT_FAILURE, EXIT_BAD_USAGE = 0, 1, 2
PROGRESS_INTERVAL_S = 2.0  # between progress lines, if stderr is not a terminal
PIPE_WIDTH_CHARS = 100_000  # if the output is not a terminal: no line is wrapped, so that `grep` finds text


def _make_console(stderr: bool) -> Console:
    console = Console(stderr=stderr, highlight=False, soft_wrap=True)
    if not console.is_terminal:
        console.width = PIPE_WIDTH_CHARS
    return console


out, err = _make_console(False), _make_console(True)


class BadInputError(click.ClickException):
    """A file or option value is invalid. The message names the field; nothing has been started."""

    exit_code = EXIT_BAD_USAGE


class WorkFailedError(click.ClickException):
    """The work was started and failed."""

    exit_code = EXIT_FAILURE


EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


def parse_host_port(option: str, value: str) -> Address:
    """Parse the HOST:PORT of an option; raises BadInputError, which names the option."""
    try:
        return address({option: value}, option)
    except ConfigError as error:
        raise BadInputError(str(error)) from None


def json_option(command: Callable) -> Callable:
    """Decorator that adds the `--json` option."""
    return click.option("--json", "json_", is_flag=True, help="Print JSON instead of a table.")(command)


def print_json(value: object) -> None:
    """Print a value as one line of JSON on standard output."""
    click.echo(msgspec.json.encode(value).decode())


def print_table(
    columns: Sequence[str], rows: Sequence[Sequence[object]], title: str = "", json_: bool = False
) -> None:
    """Print rows as a table, or as a JSON list with one object per row, keyed by column."""
    if json_:
        print_json([dict(zip(columns, row, strict=True)) for row in rows])
        return
    out.print(make_table(columns, rows, title), soft_wrap=False)


def make_table(columns: Sequence[str], rows: Sequence[Sequence[object]], title: str = "") -> Table:
    """Make a table of rows; columns that hold only numbers are aligned to the right."""
    table = Table(title=title or None, title_justify="left", header_style="bold", box=None, pad_edge=False)
    for i, name in enumerate(columns):
        is_numeric = bool(rows) and all(isinstance(row[i], (int, float)) for row in rows)
        table.add_column(name, justify="right" if is_numeric else "left", no_wrap=i == 0)
    for row in rows:
        table.add_row(*(_format_cell(value) for value in row))
    return table


def _format_cell(value: object) -> str:
    if isinstance(value, float):
        return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"
    return f"{value:,}" if isinstance(value, int) and not isinstance(value, bool) else str(value)


@contextmanager
def show_progress(task: str, quiet: bool = False) -> Iterator[Callable[[str], None]]:
    """Show on stderr that work is in progress: a spinner on a terminal, otherwise a line every few seconds.

    Yields a function that reports a detail of the progress. With `quiet` nothing is shown.
    """
    if quiet:
        yield lambda text: None
    elif err.is_terminal:
        with err.status(task) as status:
            yield lambda text: status.update(f"{task}: {text}")
    else:
        progress = PlainProgress()
        yield lambda text: progress.report(f"{task}: {text}")


class PlainProgress:
    """Progress lines for logs and pipes: at most one every `PROGRESS_INTERVAL_S` seconds."""

    def __init__(self, now_s: Callable[[], float] = time.monotonic) -> None:
        self._now_s, self._next_line_s = now_s, 0.0

    def report(self, text: str) -> None:
        """Print the line, or drop it if the last one was printed less than `PROGRESS_INTERVAL_S` ago."""
        if self._now_s() >= self._next_line_s:
            self._next_line_s = self._now_s() + PROGRESS_INTERVAL_S
            click.echo(text, err=True)


def print_fields(value: Mapping[str, object], json_: bool) -> None:
    """Print names and values, one pair per line, or as one JSON object."""
    if json_:
        print_json(value)
        return
    for name, item in value.items():
        out.print(f"{name:14} {item}", markup=False)
