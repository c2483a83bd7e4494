"""Request ids, from which every part of the emulator can tell the try they belong to; and loopback addresses.

An id has 16 hex digits: 8 for the index of the first try in the load, 2 for the number of the try, 3 for the
gateway it was sent to, and 3 of the seed, so that ids of runs with different seeds differ.
"""

from __future__ import annotations

import re

REQUEST_ID_PATTERN = re.compile(r"[0-9a-f]{16}")


def host_of(network: str, gateway: int) -> str:
    """The loopback address for a gateway and the services it calls. Each gateway has its own.

    `network` is the first three parts of a run's addresses, such as 127.20.0.
    """
    return f"{network}.{1 + gateway % 250}"


def request_id(index: int, number: int, gateway: int, salt: int) -> str:
    """The id of a try: try `number` (0 for the first) of the first try `index`."""
    return f"{index:08x}{number & 0xFF:02x}{gateway:03x}{salt & 0xFFF:03x}"


def gateway_of(request_id: str) -> int | None:
    """The number of the gateway that a try was sent to; None for an id that is not of this form."""
    return int(request_id[10:13], 16) if REQUEST_ID_PATTERN.fullmatch(request_id) else None
