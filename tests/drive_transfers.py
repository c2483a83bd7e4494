"""Times long answers and long bodies through a gateway; for runs by hand.

Example: PYTHONPATH=.:tests python tests/drive_transfers.py
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import uvloop
from conftest import LOOP, message
from crowd_rig import CrowdRig, stand_in_servers
from crowd_servers import LONG_BODY

CLIENTS, TRANSFERS = 8, 20  # at once, and one after the other by each
TOTAL_MB = CLIENTS * TRANSFERS * len(LONG_BODY) // 10**6
MEMORY_MB, SOCKETS = 64, 1024
LONG_ANSWER_TARGET = "/api/00000000b4d65521?answer=long"


async def download(port: int, number: str) -> None:
    """Receive one long answer."""
    reader, writer = await asyncio.open_connection(LOOP, port)
    writer.write(message(plan="ample", rid=f"down-{number}".encode(), target=LONG_ANSWER_TARGET))
    await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(len(LONG_BODY))
    writer.close()


async def upload(port: int, number: str) -> None:
    """Send one long body."""
    reader, writer = await asyncio.open_connection(LOOP, port)
    key = f"Idempotency-Key: {number}\r\n"
    rid = f"up-{number}".encode()
    writer.write(message("put", plan="ample", rid=rid, body=LONG_BODY, key=False, more=key))
    await reader.readuntil(b"\r\n\r\n")
    writer.close()


async def seconds_for(port: int, transfer: Callable[[int, str], Awaitable[None]]) -> float:
    """The time that all clients take for their transfers."""

    async def client(client_number: int) -> None:
        for number in range(TRANSFERS):
            await transfer(port, f"{client_number}-{number}")

    began_at = time.monotonic()
    await asyncio.gather(*map(client, range(CLIENTS)))
    return time.monotonic() - began_at


async def main() -> None:
    async with stand_in_servers() as ports:
        with tempfile.TemporaryDirectory() as folder:
            async with CrowdRig(Path(folder), ports, memory_mb=MEMORY_MB, sockets=SOCKETS) as rig:
                for transfer in (download, upload):
                    seconds = await seconds_for(rig.port, transfer)
                    print(f"{transfer.__name__}s: {TOTAL_MB} MB in {seconds:.2f} s")


if __name__ == "__main__":
    uvloop.run(main())
