"""A faulty process of the replicated state service: its leader commits without a majority.

The torture test must detect the loss of writes that such a leader acknowledged.
"""

from __future__ import annotations

import sys

from yewstage.holding.__main__ import main
from yewstage.raft.core import Replica

original_replicate_to = Replica._replicate_to


def replicate_with_heartbeat(self: Replica, name: str, now: float, is_heartbeat: bool = False) -> None:
    """Send entries to followers with the next heartbeat only, so that they are committed here before that."""
    if is_heartbeat:
        original_replicate_to(self, name, now, is_heartbeat)


Replica._quorum = lambda self, values, own: own
Replica._replicate_to = replicate_with_heartbeat

if __name__ == "__main__":
    sys.exit(main())
