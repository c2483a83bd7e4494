"""Runs a module with an impaired environment: slow fsync, a full disk, a wall clock that is wrong.

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
@click.option("--sync-ms", type=float, default=0.0, help="Time added to each fsync, in milliseconds.")
@click.option(
    "--file-bytes", type=int, default=0, help="Largest size of a file, as on a full disk. 0: no limit."
)
@click.option("--clock-s", type=float, default=0.0, help="How far the wall clock is ahead, in seconds.")
@click.argument("module")
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def main(sync_ms: float, file_bytes: int, clock_s: float, module: str, words: tuple[str, ...]) -> None:
    """Run MODULE with the arguments WORDS."""
    real_fsync, real_time = os.fsync, time.time
    if sync_ms:

        def slow_fsync(fd: int) -> None:
            time.sleep(sync_ms / 1000)
            real_fsync(fd)

        os.fsync = slow_fsync
    if clock_s:
        time.time = lambda: real_time() + clock_s
    if file_bytes:
        # Python ignores SIGXFSZ, so a write past the limit fails with EFBIG.
        resource.setrlimit(resource.RLIMIT_FSIZE, (file_bytes, file_bytes))
    sys.argv = [module, *words]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
