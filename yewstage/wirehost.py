"""Runs gateways behind the line protocol on standard input and output; it translates only.

A batch is `BATCH now_ms`, its messages and `END`. Its reply is one line per action and `OK`.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from typing import TextIO

from yewstage import interface as api
from yewstage import wire
from yewstage.policy import Gateway


class WireHost:
    """Reads batches, passes each event to its instance and writes the replies."""

    def __init__(self, lines: Iterable[str], out: TextIO) -> None:
        self.lines: Iterator[str] = iter(lines)
        self.out = out
        self.line_number = 0
        self.gateways: dict[str, Gateway] = {}
        self.catalogs: dict[int, tuple[api.Server, ...]] = {}

    def read_parts(self) -> list[str] | None:
        """Read a line and split it at spaces; None at the end of the input."""
        line = next(self.lines, None)
        if line is None:
            return None
        self.line_number += 1
        if not line.endswith("\n"):
            raise wire.WireError("truncated line: no line end")
        return line.rstrip("\r\n").split(" ")

    def run(self) -> None:
        """Answer batches until the input ends; an end inside a batch raises WireError."""
        while (parts := self.read_parts()) is not None:
            if parts == [""]:
                continue
            if parts[0] != "BATCH" or len(parts) != 2:
                raise wire.WireError("expected BATCH and the time")
            reply = self.run_batch(wire.parse_number(parts[1]))
            self.out.write("".join(line + "\n" for line in reply))
            self.out.flush()

    def run_batch(self, now_ms: float) -> list[str]:
        """Read the rest of a batch and return the lines of its reply."""
        reply: list[str] = []
        while True:
            parts = self.read_parts()
            if parts is None:
                raise wire.WireError("input ended inside a batch")
            if parts == ["END"]:
                return [*reply, "OK"]
            if parts[0] == "CATALOG":
                self.read_catalog(parts)
                continue
            if parts[0] == "DIRECTORY_UPDATE":
                event: object = self.server_list(parts)
            else:
                event = wire.parse_event(parts)
            reply.extend(self.deliver(now_ms, parts[1], event))

    def read_catalog(self, parts: list[str]) -> None:
        """Read a numbered list of servers, to which later DIRECTORY_UPDATE messages refer."""
        if len(parts) != 3:
            raise wire.WireError("CATALOG: wrong number of values")
        number, count = wire.parse_integer(parts[1]), wire.parse_integer(parts[2])
        servers = []
        for _ in range(count):
            entry = self.read_parts()
            if entry is None:
                raise wire.WireError("input ended inside a CATALOG")
            servers.append(wire.parse_server(entry))
        self.catalogs[number] = tuple(servers)

    def server_list(self, parts: list[str]) -> api.ServerList:
        """Build a list event from a DIRECTORY_UPDATE and the list that it refers to."""
        if len(parts) != 5:
            raise wire.WireError("DIRECTORY_UPDATE: wrong number of values")
        kind = wire.look_up(wire.LIST_KINDS, parts[2])
        wire.parse_integer(parts[3])
        if kind == "failed":
            return api.ServerList(kind)
        number = wire.parse_integer(parts[4])
        if number not in self.catalogs:
            raise wire.WireError(f"no CATALOG has the number {number}")
        return api.ServerList(kind, self.catalogs[number])

    def deliver(self, now_ms: float, instance: str, event: object) -> list[str]:
        """Pass an event to its instance; an exception there is reported as BROKEN, for that instance only."""
        try:
            if isinstance(event, wire.Open):
                self.gateways[instance] = Gateway(event.settings, event.seed)
                return []
            if isinstance(event, wire.Close):
                self.gateways.pop(instance, None)
                return []
            gateway = self.gateways.get(instance)
            if gateway is None or isinstance(event, wire.Ignored):
                return []
            return [wire.format_action(instance, action) for action in gateway.handle(now_ms, event)]
        except Exception as error:  # a fault of the decision module must not end the process
            return [f"BROKEN {instance} {type(error).__name__}: {' '.join(str(error).split())}"]


def main() -> int:
    """Serve standard input. Exit status: 0 at its end, 2 with one line on stderr for a malformed message."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")
    host = WireHost(sys.stdin, sys.stdout)
    try:
        host.run()
    except (wire.WireError, UnicodeDecodeError) as error:
        print(f"line {host.line_number}: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
