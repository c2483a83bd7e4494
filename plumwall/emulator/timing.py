"""Timers on the monotonic clock that all processes of a machine share."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


def call_not_before(
    loop: asyncio.AbstractEventLoop, at_ms: float, callback: Callable[..., None], *args: object
) -> None:
    """Call at a time of the monotonic clock (ms) or shortly after it, never before.

    An event loop counts whole milliseconds from the start of its iteration, so its timers may fire up to 1 ms
    early.
    """
    left_ms = at_ms - time.monotonic() * 1000
    if left_ms <= 0:
        loop.call_soon(callback, *args)
    else:
        loop.call_later(left_ms / 1000, _check_time, loop, at_ms, callback, args)


def _check_time(
    loop: asyncio.AbstractEventLoop, at_ms: float, callback: Callable[..., None], args: tuple
) -> None:
    if time.monotonic() * 1000 < at_ms:
        call_not_before(loop, at_ms, callback, *args)
    else:
        callback(*args)
