"""Runs a module of the program on a worse machine: slow syncs, a full disk, a wall clock that is off.

python -m plumwall.faults.hindered --sync-ms 50 --file-bytes 65536 yewstage.holding --config FILE
"""

from __future__ import annotations

import os
import resource
import runpy
import sys
import time

import click


@click.command(context_settings={"ignore_unknown_options": True})
@click.option("--sync-ms", type=float, default=0.0, help="How much longer each sync takes.")
@click.option("--file-bytes", type=int, default=0, help="No file grows past this: a full disk. 0: no bound.")
@click.option("--clock-s", type=float, default=0.0, help="By how much the wall clock is ahead.")
@click.argument("module")
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def main(sync_ms: float, file_bytes: int, clock_s: float, module: str, words: tuple[str, ...]) -> None:
    """Run MODULE with WORDS."""
    sync, wall = os.fsync, time.time
    if sync_ms:

        def slow(fd: int) -> None:
            time.sleep(sync_ms / 1000)
            sync(fd)

        os.fsync = slow
    if clock_s:
        time.time = lambda: wall() + clock_s
    if file_bytes:
        resource.setrlimit(
            resource.RLIMIT_FSIZE, (file_bytes, file_bytes)
        )  # Python ignores the signal: EFBIG
    sys.argv = [module, *words]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
