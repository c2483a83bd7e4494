"""Two processes on one listening socket, one after the other: who is there, and what the next must know."""

from __future__ import annotations

import asyncio
import fcntl
import json
import logging
import os
import time
from collections.abc import Callable
from pathlib import Path

from yewstage.log import Event

log = logging.getLogger(__name__)

POLL_S = 0.02  # how soon the new process goes on once the old one has stopped accepting
FRESH_MS = 5000.0  # a state older than this is from another upgrade
SERVING, WAITING, STATE = "serving.lock", "waiting.lock", "handover.json"

State = dict[str, object]


class Handover:
    """This process's place in the succession, kept in a folder that both processes share.

    Who is there is told by file locks, which end with their process however it ends: no file is ever stale.
    """

    def __init__(self, folder: Path, name: str, loop: asyncio.AbstractEventLoop) -> None:
        self._folder, self._name, self._loop = folder, name, loop
        self._locks: dict[str, int] = {}  # held, or tried for, by this process
        self._since_ms = time.time() * 1000
        self._took: Callable[[State | None], None] | None = None  # until we have taken over
        self._alone: Callable[[], None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self, took: Callable[[State | None], None], alone: Callable[[], None]) -> bool:
        """Take a place; True if a process before us still serves.

        Then `took` is called once that has handed over or is gone with no word, and `alone` once it is gone.
        """
        if self._lock(SERVING):
            if SERVING not in self._locks:
                log.warning(
                    Event(
                        "no_handover",
                        "no locks in {folder}: nothing can be handed over",
                        folder=str(self._folder),
                    )
                )
            (self._folder / STATE).unlink(missing_ok=True)
            return False
        self._took, self._alone = took, alone
        self._poll()
        return True

    def stop(self) -> None:
        """Look for nothing more. The locks are held until the process ends."""
        if self._timer is not None:
            self._timer.cancel()

    def has_successor(self) -> bool:
        """Whether a next process has come."""
        if self._alone is not None:  # we are it
            return False
        found = not self._lock(WAITING)
        self._release(WAITING)
        return found

    def hand_over(self, state: State) -> None:
        """Leave a state for the next process: whole, or not at all."""
        path = self._folder / STATE
        part = path.with_suffix(f".{os.getpid()}")
        try:
            part.write_text(json.dumps({"name": self._name, "at_ms": time.time() * 1000, "state": state}))
            part.rename(path)
        except (OSError, ValueError) as error:
            log.error(Event("handover_failed", "nothing handed over: {error}", error=str(error)))

    def _poll(self) -> None:
        self._lock(WAITING)  # again and again: the other one holds it for the instant in which it looks
        gone = self._lock(SERVING)
        state = self._read() if self._took is not None else None
        if self._took is not None and (gone or state is not None):
            took, self._took = self._took, None
            took(state)
        if gone:
            alone, self._alone = self._alone, None
            self._release(WAITING)
            alone()
        else:
            self._timer = self._loop.call_later(POLL_S, self._poll)

    def _read(self) -> State | None:
        """What the process before us left, if it is whole, ours and of this upgrade."""
        path = self._folder / STATE
        try:
            raw = json.loads(path.read_bytes())
        except FileNotFoundError:
            return None
        except (OSError, ValueError, RecursionError) as error:
            log.warning(
                Event(
                    "handover_unreadable", "the state handed over cannot be read: {error}", error=str(error)
                )
            )
            return None
        if not isinstance(raw, dict) or raw.get("name") != self._name:
            return None
        at_ms, state = raw.get("at_ms"), raw.get("state")
        if not isinstance(at_ms, (int, float)) or not isinstance(state, dict):
            return None
        if not max(self._since_ms, time.time() * 1000 - FRESH_MS) <= at_ms:
            return None
        path.unlink(missing_ok=True)
        return state

    def _lock(self, name: str) -> bool:
        """Whether the lock is ours now. Where there can be none nobody else has one: we are alone."""
        try:
            if name not in self._locks:
                path = self._folder / name
                self._locks[name] = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._locks[name], fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def _release(self, name: str) -> None:
        if name in self._locks:
            os.close(self._locks.pop(name))
