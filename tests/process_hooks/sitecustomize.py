"""Runs in a process that tests start with this folder in PYTHONPATH.

BALLAST_MB: the process holds so much more memory at rest, as on another kind of machine.
GARBAGE_REPORT: on SIGUSR1 it tells on standard error how many objects only collections of cycles have found.
"""

import gc
import os
import signal
import sys


def report_garbage(*_: object) -> None:
    gc.collect()
    print(f"garbage: {len(gc.garbage)} objects", file=sys.stderr, flush=True)


ballast = b"x" * int(float(os.environ.get("BALLAST_MB", "0")) * 2**20)
if os.environ.get("GARBAGE_REPORT"):
    gc.set_debug(gc.DEBUG_SAVEALL)
    signal.signal(signal.SIGUSR1, report_garbage)
