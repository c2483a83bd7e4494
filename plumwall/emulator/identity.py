"""Ids of requests: they say whose try they are, so that every part of the emulator reads them alike.

16 hex digits: 8 for the first try's index in the load, 2 for the number of the try, 3 for the gateway that it
was sent to, 3 that make ids of one seed unlike those of another.
"""

from __future__ import annotations

import re

FORM = re.compile(r"[0-9a-f]{16}")


def host_of(network: str, gateway: int) -> str:
    """The loopback address of what a gateway listens on and calls: its own, which keeps gateways apart.

    `network` is the first three parts of a run's addresses, such as 127.20.0.
    """
    return f"{network}.{1 + gateway % 250}"


def request_id(index: int, number: int, gateway: int, salt: int) -> str:
    """The id of a try."""
    return f"{index:08x}{number & 0xFF:02x}{gateway:03x}{salt & 0xFFF:03x}"


def gateway_of(rid: str) -> int | None:
    """The number of the gateway that a try was sent to; None for an id that is none of ours."""
    return int(rid[10:13], 16) if FORM.fullmatch(rid) else None
