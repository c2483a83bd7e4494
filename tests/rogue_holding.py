"""A holding process that breaks its promise: its leader counts for a majority by itself."""

from __future__ import annotations

import sys

from yewstage.holding.__main__ import main
from yewstage.raft.core import Replica

honest = Replica._tell


def lazily(self: Replica, name: str, now: float, beat: bool = False) -> None:
    """The others are told with the next sign of life only."""
    if beat:
        honest(self, name, now, beat)


Replica._quorum = lambda self, values, own: own
Replica._tell = lazily

if __name__ == "__main__":
    sys.exit(main())
