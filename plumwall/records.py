"""What happens in a run, one record for each thing, as JSON lines that several processes may write.

Times are milliseconds since the load began, by a clock that all processes of a machine share.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import BinaryIO

import msgspec
from msgspec import Struct


class Record(Struct, frozen=True, tag_field="t", tag=str.lower, omit_defaults=True):
    """Anything that happens."""

    at: float


class Asked(Record, frozen=True):
    """A client's try, its last byte written to a gateway that accepted it."""

    id: str
    first: int  # index of its first try in the load
    number: int  # 0 for a first try
    gateway: str
    left_ms: float  # what it is given
    due: float = 0.0  # when it was due; sent later than that is the load tool's fault
    fresh: bool = False  # the first request on its connection


# How a try ended at its client.
WHOLE, TRUNCATED, NOT_SENT, REFUSED, CLOSED, TIMED_OUT, LEFT, SHORT, WRONG, DOUBLE = (
    "whole",
    "cut",
    "untold",
    "refused",
    "closed",
    "timed_out",
    "left",
    "short",
    "wrong",
    "double",
)


class Answered(Record, frozen=True):
    """How a try ended at its client.

    `how`: `whole`, with a status; `refused`, a connection that never came up, so that no gateway took it;
    `closed` or `cut`, the connection ended with no answer or in the middle of one; `timed_out`, nothing came
    until long past its time; `left`, the client went away; `wrong`, a 200 whose body no server made;
    `double`, bytes behind a whole answer.
    """

    id: str
    gateway: str
    how: str
    status: int = 0
    units: int = 0  # as billed


class Arrived(Record, frozen=True):
    """An attempt whose last byte has arrived at a server."""

    id: str
    server: str
    gateway: str
    began: float  # when its first byte came
    work_ms: float = 0.0


class Ended(Record, frozen=True):
    """An attempt is over: `result` as the server has it, or `closed` (by the gateway), `reset`, `silent`.

    `told` is whether the answer was written to the gateway.
    """

    id: str
    server: str
    gateway: str
    result: str
    began: bool = False  # work was done on it
    told: bool = False


class ServerIs(Record, frozen=True):
    """A server has become `started` (cold), `draining`, `stopped`, `crashed`, `silent` or `fallen`."""

    server: str
    state: str


class Told(Record, frozen=True):
    """A gateway counts as told of a server's lifecycle."""

    gateway: str
    server: str
    lifecycle: str
    started_at: float = 0.0


class GatewayIs(Record, frozen=True):
    """A gateway is `ready`, or was `killed`, `stopping` (SIGTERM), `ended` or `crashed`."""

    gateway: str
    state: str
    why: str = ""


class Dialled(Record, frozen=True):
    """A connection of a gateway to a server."""

    gateway: str
    server: str


class Counted(Record, frozen=True):
    """A call to the counter: `ok`, `full` or `silent`."""

    gateway: str
    result: str


class Probed(Record, frozen=True):
    """A call for a server's health or load."""

    gateway: str
    server: str


class Figures(Record, frozen=True):
    """What a gateway said of itself: refusals so far by reason, pressure, the share of new work let in."""

    gateway: str
    refusals: dict[str, float]
    pressure: float
    admitted: float


class Fault(Record, frozen=True):
    """A change of the fault plan was carried out."""

    kind: str
    target: str = ""
    size: float = 0.0


class Unknown(Record, frozen=True):
    """A message at a server with an id that no client sent in this form."""

    server: str
    gateway: str
    what: str


ANY = (
    Asked
    | Answered
    | Arrived
    | Ended
    | ServerIs
    | Told
    | GatewayIs
    | Dialled
    | Counted
    | Probed
    | Figures
    | Fault
    | Unknown
)
_DECODER = msgspec.json.Decoder(ANY)


class Writer:
    """Writes records to a file, in blocks."""

    def __init__(self, file: BinaryIO, block: int = 64 * 1024) -> None:
        self._file, self._block = file, block
        self._encoder, self._buffer = msgspec.json.Encoder(), bytearray()

    def write(self, record: Record) -> None:
        """One more."""
        self._buffer += self._encoder.encode(record)
        self._buffer += b"\n"
        if len(self._buffer) >= self._block:
            self.flush()

    def flush(self) -> None:
        """Hand on what is kept."""
        self._file.write(self._buffer)
        self._file.flush()
        self._buffer.clear()


def read_records(paths: Iterable[Path]) -> list[Record]:
    """All records of some files, in order of time; those of one moment as they stand in the files."""
    records = [record for path in paths for record in _lines(path)]
    records.sort(key=lambda record: record.at)
    return records


def _lines(path: Path) -> Iterator[Record]:
    with path.open("rb") as file:
        for number, line in enumerate(file, 1):
            try:
                yield _DECODER.decode(line)
            except msgspec.MsgspecError as error:
                raise ValueError(f"{path}:{number}: {error}") from None
