"""One statement server in a process of its own; `case.py` stops it to let it hang.

It prints its address, and then a line for each request that it has received to the last byte.
"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

import rig

WORK_S = 0.03, 0.08
RECEIVE_BUFFER_BYTES = 64 * 1024


async def main() -> None:
    rng = random.Random(int(sys.argv[1]))

    async def handle(head: rig.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        await rig.read_body(reader, head)
        request_id = head.headers.get("x-request-id", "?")
        print(f"runs {request_id}", flush=True)
        await asyncio.sleep(rng.uniform(*WORK_S))
        writer.write(rig.answer(f"statement for {request_id}".encode(), headers="Billed-Units: 1\r\n"))
        return True

    service = rig.Service(handle, RECEIVE_BUFFER_BYTES)
    await service.start()
    print(service.address, flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
