"""Records of the events of a run, as JSON lines. Each process of a run writes a file of its own.

Times are milliseconds since the load began, by the monotonic clock that all processes of a machine share. The
class names in lower case, the field names and the words in the fields are the format of the file.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import BinaryIO

import msgspec
from msgspec import Struct


class Record(Struct, frozen=True, tag_field="t", tag=str.lower, omit_defaults=True):
    """Base of all records."""

    at: float


class Asked(Record, frozen=True):
    """A client has written the last byte of a try to a gateway that accepted its connection."""

    id: str
    first: int  # index in the load of its first try
    number: int  # 0 for a first try, then counted up by retries
    gateway: str
    left_ms: float  # time that the client gives it
    due: float = 0.0  # when it was due; a later send is a delay of the load generator
    fresh: bool = False  # whether it is the first request on its connection


# How a try ended at its client; Answered explains the words.
COMPLETE, TRUNCATED, NOT_SENT, REFUSED, CLOSED, TIMED_OUT, CLIENT_LEFT, SHORT, WRONG_BODY, EXTRA_BYTES = (
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

    `how` is one of `whole`: a complete answer with a status; `refused`: no connection was established, so no
    gateway accepted the try; `untold`: its deadline passed before it could be written; `closed`, `cut`: the
    connection ended without an answer, or in the middle of one; `timed_out`: no answer came until long past
    its deadline; `left`: the client went away; `wrong`: a 200 with a body that no server sent; `double`: more
    bytes after a complete answer. `short` is not used.
    """

    id: str
    gateway: str
    how: str
    status: int = 0
    units: int = 0  # units that the answer bills


class Arrived(Record, frozen=True):
    """The last byte of an attempt has arrived at a server."""

    id: str
    server: str
    gateway: str
    began: float  # when its first byte arrived
    work_ms: float = 0.0


class Ended(Record, frozen=True):
    """An attempt has ended; `result` is the server's, or `closed` (by the gateway), `reset` or `silent`."""

    id: str
    server: str
    gateway: str
    result: str
    began: bool = False  # whether the server began work on it
    told: bool = False  # whether the answer was written to the gateway


class ServerIs(Record, frozen=True):
    """A server's state is now `started` (cold), `draining`, `stopped`, `crashed`, `silent` or `fallen`."""

    server: str
    state: str


class Told(Record, frozen=True):
    """From this time on, the judge takes a gateway as informed of a server's lifecycle."""

    gateway: str
    server: str
    lifecycle: str
    started_at: float = 0.0


class GatewayIs(Record, frozen=True):
    """A gateway's state is now `ready`, `killed`, `stopping` (after SIGTERM), `ended` or `crashed`."""

    gateway: str
    state: str
    why: str = ""


class Dialled(Record, frozen=True):
    """A gateway has opened a connection to a server."""

    gateway: str
    server: str


class Counted(Record, frozen=True):
    """A gateway has called the quota counter; `result` is `ok`, `full` (turned away) or `silent`."""

    gateway: str
    result: str


class Probed(Record, frozen=True):
    """A gateway has asked a server for its health or load."""

    gateway: str
    server: str


class Figures(Record, frozen=True):
    """Metrics of a gateway: refusals so far by reason, pressure, share of new work admitted."""

    gateway: str
    refusals: dict[str, float]
    pressure: float
    admitted: float


class Fault(Record, frozen=True):
    """A change of the fault plan has been made."""

    kind: str
    target: str = ""
    size: float = 0.0


class Unknown(Record, frozen=True):
    """A server has received a message with an id that no client sent in this form."""

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
    """Writes records to a file in blocks of `block_bytes` or a little more."""

    def __init__(self, file: BinaryIO, block_bytes: int = 64 * 1024) -> None:
        self._file, self._block_bytes = file, block_bytes
        self._encoder, self._buffer = msgspec.json.Encoder(), bytearray()

    def write(self, record: Record) -> None:
        """Add a record to the buffer; a full buffer is written to the file."""
        self._buffer += self._encoder.encode(record)
        self._buffer += b"\n"
        if len(self._buffer) >= self._block_bytes:
            self.flush()

    def flush(self) -> None:
        """Write the buffer to the file and flush the file."""
        self._file.write(self._buffer)
        self._file.flush()
        self._buffer.clear()


def read_records(paths: Iterable[Path]) -> list[Record]:
    """Read all records of the files in order of time; those of equal time keep the order of the files.

    ValueError names the file and line of an invalid record.
    """
    records = [record for path in paths for record in _read_lines(path)]
    records.sort(key=lambda record: record.at)
    return records


def _read_lines(path: Path) -> Iterator[Record]:
    with path.open("rb") as file:
        for number, line in enumerate(file, 1):
            try:
                yield _DECODER.decode(line)
            except msgspec.MsgspecError as error:
                raise ValueError(f"{path}:{number}: {error}") from None
