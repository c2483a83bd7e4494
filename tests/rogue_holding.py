"""A holding process that breaks its promise: its leader counts for a majority by itself."""

from __future__ import annotations

import sys

from yewstage.holding.__main__ import main
from yewstage.raft.core import Replica

honest = Replica._replicate_to


def lazily(self: Replica, name: str, now: float, is_heartbeat: bool = False) -> None:
    """The others are told with the next sign of life only."""
    if is_heartbeat:
        honest(self, name, now, is_heartbeat)


Replica._quorum = lambda self, values, own: own
Replica._replicate_to = lazily

if __name__ == "__main__":
    sys.exit(main())
