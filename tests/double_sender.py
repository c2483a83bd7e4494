"""The gateway, patched to send every request twice: a second copy goes out on a connection of its own."""

from __future__ import annotations

import socket
import sys

from yewstage.__main__ import main
from yewstage.net.pool import Link

begin, copies = Link.begin, []


def begin_twice(link: Link, job: object) -> None:
    payload = job.payload
    begin(link, job)
    copy = socket.create_connection(link.transport.get_extra_info("peername"))
    copy.sendall(payload)
    copies.append(copy)  # kept open: nobody reads its answer


Link.begin = begin_twice
sys.exit(main())
