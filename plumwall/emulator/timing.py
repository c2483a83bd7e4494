"""Timers that keep the shared clock's time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


def not_before(
    loop: asyncio.AbstractEventLoop, at_ms: float, call: Callable[..., None], *args: object
) -> None:
    """Call at a time of the shared clock (monotonic, ms) or just behind it, never ahead of it.

    A loop counts whole milliseconds from when its turn began: a timer of its own may fire up to one early.
    """
    left_ms = at_ms - time.monotonic() * 1000
    if left_ms <= 0:
        loop.call_soon(call, *args)
    else:
        loop.call_later(left_ms / 1000, _look, loop, at_ms, call, args)


def _look(loop: asyncio.AbstractEventLoop, at_ms: float, call: Callable[..., None], args: tuple) -> None:
    if time.monotonic() * 1000 < at_ms:
        not_before(loop, at_ms, call, *args)
    else:
        call(*args)
