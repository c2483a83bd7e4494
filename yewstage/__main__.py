"""One gateway: start-up, signals, exit."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import random
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop

from yewstage.log import Event, JoinedList, address_event, configure_logging
from yewstage.net.clients import ClassAndPlanNames, ClientListener
from yewstage.net.config import Config, ConfigError, load, reload
from yewstage.net.core import Core
from yewstage.net.handover import Handover
from yewstage.net.ops import Ops

if TYPE_CHECKING:
    from yewstage.net.peers import Peers

log = logging.getLogger(__name__)

ACCEPT_S = 0.5  # after SIGTERM, connections still come for 0.4 s
LONGEST_S = 3.0  # SIGKILL comes 0.7 s after the longest deadline, or this if that is less, at the soonest
LAST_S = 0.4
CHECK_S = 0.02
READY_S = 2.0  # how long clients of a held socket wait for the first list
SUCCESSOR_S = 0.1  # spacing of the look for a next process
LINES_PER_S = 20
GC_ALLOCATIONS = 20_000


class Succession:
    """What this process shares with one before or after it on the same listening socket."""

    def __init__(
        self,
        core: Core,
        server: ClientListener,
        loop: asyncio.AbstractEventLoop,
        handover: Handover | None,
        peers: Peers | None,
    ) -> None:
        self._core, self._server, self._loop, self._handover = core, server, loop, handover
        self._peers = peers

    def start(self) -> None:
        """Begin to accept, once a process before us has left that to us."""
        if self._handover is not None and self._handover.start(self._took, self._alone):
            log.info(Event("waiting", "another process serves: waiting for it to hand over"))
            self._core.share_descriptors(True)
        else:
            self._join()
            self._accept(self._loop.time() + READY_S if self._handover is not None else 0.0)
            self._watch()

    def _accept(self, at_latest: float) -> None:
        """Accept once requests can be served: on a held socket they wait meanwhile, and are not refused."""
        if self._core.ready() or self._loop.time() >= at_latest:
            self._server.accept()
        elif not self._core.draining:
            self._loop.call_later(CHECK_S, self._accept, at_latest)

    def _join(self) -> None:
        """One process at a time goes by our name among the others."""
        if self._peers is not None:
            self._peers.start()

    def hand_over(self) -> bool:
        """Leave all to the next process; False if there is none."""
        if self._peers is not None:
            self._peers.leave()
        if self._handover is None or not self._handover.has_successor():
            return False
        self._handover.hand_over(self._core.hand_over())
        return True

    def stop(self) -> None:
        """Look for nothing more."""
        if self._handover is not None:
            self._handover.stop()

    def _took(self, state: dict[str, object] | None) -> None:
        how = "with no word" if state is None else "with what was handed over"
        log.info(Event("taking_over", "taking over, {how}", how=how))
        self._core.take_over(state)
        self._join()
        self._accept(self._loop.time() + READY_S)

    def _alone(self) -> None:
        self._core.predecessor_exited()
        self._watch()

    def _watch(self) -> None:
        """Share the descriptors while a next process is there, also if it never comes to serve."""
        if self._handover is not None and not self._core.draining:
            if self._handover.has_successor() != self._core.shared:
                self._core.share_descriptors(not self._core.shared)
            self._loop.call_later(SUCCESSOR_S, self._watch)


class Shutdown:
    """SIGTERM: accept a little longer or leave that to a next process, finish what was taken, then end."""

    def __init__(
        self, core: Core, server: ClientListener, loop: asyncio.AbstractEventLoop, succession: Succession
    ) -> None:
        self._core, self._server, self._loop, self._succession = core, server, loop, succession
        self.done = asyncio.Event()

    def begin(self) -> None:
        """The signal."""
        if self._core.draining:
            return
        log.info(Event("draining", "draining"))
        self._core.draining = True
        longest = max(c.deadline_ms for c in self._core.settings.classes) / 1000
        self._loop.call_later(min(longest, LONGEST_S) + LAST_S, self._end)
        if self._succession.hand_over():
            self._server.stop_accepting(succeeded=True)
            self._check()
        else:
            self._loop.call_later(ACCEPT_S, self._stop_accepting)

    def _stop_accepting(self) -> None:
        self._server.stop_accepting()
        self._check()

    def _check(self) -> None:
        # An answer closes its connection while we drain, so with the last connection all is answered.
        if self._server.close_idle():
            self.done.set()
        else:
            self._loop.call_later(CHECK_S, self._check)

    def _end(self) -> None:
        # Guards against SIGKILL: what is open then would be lost, an answer now is none too late. One that is
        # on its way goes on for as long as we are let: with its connection the last check ends.
        self._core.fail_all()


async def _open_peers(config: Config, core: Core, loop: asyncio.AbstractEventLoop) -> Peers | None:
    """Where peers are configured: this process among them, with its address, that says nothing yet."""
    if config.peers is None:
        return None
    from yewstage.net.peers import Peers  # what it needs is paid only where there are some

    peers = Peers(config.peers, config.name, loop, random.Random(config.seed), core.failing)
    log.info(address_event("members", "hearing members on", await peers.open()))
    core.more_figures = peers.metrics
    return peers


def _reconfigure(core: Core, server: ClientListener, peers: Peers | None, first: Config) -> None:
    """SIGHUP: take what the configuration says now; one that is no good changes nothing."""
    try:
        config = reload(os.environ, first)
        names = ClassAndPlanNames(config.settings)
    except ConfigError as error:
        core.stats.invalid += 1
        log.error(Event("configuration_refused", "configuration not taken: {error}", error=str(error)))
        return
    settings = config.settings
    log.info(
        Event(
            "reconfigured",
            "reconfigured: discovery {discovery}, counter {counter}, classes "
            "{classes:, }, {attempts} attempts",
            discovery=config.discovery,
            counter=config.counter,
            classes=JoinedList(c.name for c in settings.classes),
            attempts=settings.try_limit,
        )
    )
    server.retune(names)
    server.resize(config.sockets, config.longest_upload)
    core.reconfigure(config)
    if peers is not None and config.peers is not None:
        peers.rekey(config.peers.keys)
    core.stats.accepted += 1


def _handover(config: Config, loop: asyncio.AbstractEventLoop) -> Handover | None:
    """Only a socket that the platform holds can pass from one process to the next."""
    folder = os.environ.get("TMPDIR")
    if config.listen_fd is None or not folder:
        return None
    return Handover(Path(folder), config.name, loop)


async def serve(config: Config) -> None:
    """Run until SIGTERM or SIGINT has been served; SIGHUP brings new addresses."""
    loop = asyncio.get_running_loop()
    core = Core(config, loop)
    server = ClientListener(core, loop, config.sockets)
    peers = await _open_peers(config, core, loop)
    succession = Succession(core, server, loop, _handover(config, loop), peers)
    shutdown = Shutdown(core, server, loop, succession)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, shutdown.begin)
    loop.add_signal_handler(signal.SIGHUP, _reconfigure, core, server, peers, config)
    core.start()
    pages = {"/ops/members": lambda: json.dumps(peers.status()).encode()} if peers is not None else {}
    ops = Ops(loop, core.ready, core.metrics, core.stats.descriptors.uses["ops"], pages)
    if config.ops is not None:
        log.info(address_event("ops", "operators' address", await ops.start(config.ops)))
    address = server.start(config.listen, config.listen_fd)
    succession.start()
    log.info(
        Event(
            "links",
            "connections to hosts: idle for {idle_ms:.0f} ms at most, dialled within "
            "{dial_ms:.0f} ms; {descriptors} descriptors",
            idle_ms=config.idle_ms,
            dial_ms=config.dial_ms,
            descriptors=config.sockets,
        )
    )
    log.info(address_event("listening", "listening on", address))
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS)  # requests leave next to no cycles: look for them seldom
    await shutdown.done.wait()
    succession.stop()
    ops.stop()
    if peers is not None:
        peers.stop()
    core.stop()
    log.info(Event("ended", "ended: {text}", text=core.farewell()))


def main() -> int:
    """0 after a drain; 2 with one plain line if the configuration is no good or the address is taken."""
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(error, file=sys.stderr)
        return 2
    configure_logging(config.name, config.log, {"gateway": config.name}, LINES_PER_S)
    try:
        uvloop.run(serve(config))
    except OSError as error:
        print(f"listen: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
