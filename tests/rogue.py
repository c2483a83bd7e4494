"""Runs the gateway with one rule broken: `python tests/rogue.py RULE`. For tests of the judge."""

from __future__ import annotations

import random
import socket
import sys

from yewstage import interface as api
from yewstage.__main__ import main
from yewstage.net.clients import ClientConnection
from yewstage.net.link import Link
from yewstage.policy import Gateway


def effects() -> None:
    """Send every request twice, the second time on a connection of its own."""
    begin, copies = Link.begin, []

    def begin_twice(link: Link, job: object) -> None:
        payload = job.payload
        begin(link, job)
        copy = socket.create_connection(link.transport.get_extra_info("peername"))
        copy.sendall(payload)
        copies.append(copy)  # kept open; its answer is not read

    Link.begin = begin_twice


def requests() -> None:
    """Close the client's connection in place of one answer in five."""
    answer, rng = ClientConnection.answer, random.Random(1)

    def answer_or_close(client: ClientConnection, status: int, *more: object, **named: object) -> None:
        if status == 200 and rng.random() < 0.2:
            client.transport.abort()
        else:
            answer(client, status, *more, **named)

    ClientConnection.answer = answer_or_close


def drains() -> None:
    """Ignore that servers drain or are removed from the list."""
    on_server_list = Gateway._on_server_list

    def keep_up_only(gateway: Gateway, event: api.ServerList) -> None:
        on_server_list(
            gateway, api.ServerList(event.kind, tuple(s for s in event.servers if s.status == "up"))
        )

    Gateway._on_server_list = keep_up_only


def cold() -> None:
    """Ignore the budget of a cold server."""
    Gateway._cold_budget_allows = lambda *ignored: True
    Gateway.handed_over = property(lambda gateway: False, lambda gateway, value: None)


def ceilings() -> None:
    """Ignore quotas and ceilings."""
    Gateway._quota_allows = Gateway._ceiling_allows = lambda *ignored: True


if __name__ == "__main__":
    {f.__name__: f for f in (effects, requests, drains, cold, ceilings)}[sys.argv[1]]()
    sys.exit(main())
