"""Hot upgrade: hands the state of one process to its successor on the same listening socket."""

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
from yewstage.net.shared_ids import SharedRequestIds

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.02  # of the new process, for the state and the end of the old one
MAX_STATE_AGE_MS = 5000.0  # an older state is left over from an earlier upgrade
SERVING, WAITING, STATE = "serving.lock", "waiting.lock", "handover.json"

State = dict[str, object]


class Handover:
    """One process's side of the handover, in a folder that both processes share.

    The processes detect each other by file locks. The system releases these with the process, however it
    ends, so that no lock is ever stale.
    """

    def __init__(self, folder: Path, name: str, loop: asyncio.AbstractEventLoop) -> None:
        self._folder, self._name, self._loop = folder, name, loop
        self.request_ids = SharedRequestIds(folder)
        self._locks: dict[str, int] = {}  # descriptors of lock files, held or only opened
        self._started_at_ms = time.time() * 1000
        self._on_takeover: Callable[[State | None], None] | None = None  # None once the state is taken over
        self._on_predecessor_gone: Callable[[], None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(
        self, on_takeover: Callable[[State | None], None], on_predecessor_gone: Callable[[], None]
    ) -> bool:
        """Take the serving lock; returns True if a predecessor holds it.

        In that case `on_takeover` is called once with the state that the predecessor hands over, or with None
        if it ends without one, and `on_predecessor_gone` once it has ended.
        """
        if self._lock(SERVING):
            if SERVING not in self._locks:
                log.warning(
                    Event(
                        "no_handover",
                        "cannot lock files in {folder}: state cannot be handed over",
                        folder=str(self._folder),
                    )
                )
            (self._folder / STATE).unlink(missing_ok=True)
            return False
        self._on_takeover, self._on_predecessor_gone = on_takeover, on_predecessor_gone
        self._poll()
        return True

    def stop(self) -> None:
        """Stop polling. The locks are held until the process ends."""
        if self._timer is not None:
            self._timer.cancel()

    def has_successor(self) -> bool:
        """Whether a successor is waiting for this process to hand over."""
        if self._on_predecessor_gone is not None:  # this process is the successor
            return False
        is_waiting = not self._lock(WAITING)
        self._release(WAITING)
        return is_waiting

    def hand_over(self, state: State) -> None:
        """Write the state for the successor, atomically; failures are logged."""
        path = self._folder / STATE
        temporary_path = path.with_suffix(f".{os.getpid()}")
        try:
            temporary_path.write_text(
                json.dumps({"name": self._name, "at_ms": time.time() * 1000, "state": state})
            )
            temporary_path.rename(path)
        except (OSError, ValueError) as error:
            log.error(Event("handover_failed", "cannot write the handover state: {error}", error=str(error)))

    def _poll(self) -> None:
        self._lock(WAITING)  # retried, as the predecessor holds it for a moment in `has_successor`
        is_predecessor_gone = self._lock(SERVING)
        state = self._read() if self._on_takeover is not None else None
        if self._on_takeover is not None and (is_predecessor_gone or state is not None):
            on_takeover, self._on_takeover = self._on_takeover, None
            on_takeover(state)
        if is_predecessor_gone:
            on_predecessor_gone, self._on_predecessor_gone = self._on_predecessor_gone, None
            self._release(WAITING)
            on_predecessor_gone()
        else:
            self._timer = self._loop.call_later(POLL_INTERVAL_S, self._poll)

    def _read(self) -> State | None:
        """Return and delete the predecessor's state if it is valid, under this name and of this upgrade."""
        path = self._folder / STATE
        try:
            raw = json.loads(path.read_bytes())
        except FileNotFoundError:
            return None
        except (OSError, ValueError, RecursionError) as error:
            log.warning(
                Event("handover_unreadable", "cannot read the handover state: {error}", error=str(error))
            )
            return None
        if not isinstance(raw, dict) or raw.get("name") != self._name:
            return None
        at_ms, state = raw.get("at_ms"), raw.get("state")
        if not isinstance(at_ms, (int, float)) or not isinstance(state, dict):
            return None
        if not max(self._started_at_ms, time.time() * 1000 - MAX_STATE_AGE_MS) <= at_ms:
            return None
        path.unlink(missing_ok=True)
        return state

    def _lock(self, name: str) -> bool:
        """Try to take a lock; True also where locks are impossible, as then no other process has one."""
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
