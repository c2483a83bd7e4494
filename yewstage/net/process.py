"""A gateway process: start-up, signals, reconfiguration, shutdown and exit status."""

from __future__ import annotations

import asyncio
import dataclasses
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
from yewstage.net.client_listener import ClientListener
from yewstage.net.client_request import ClassAndPlanNames
from yewstage.net.config import Config, ConfigError, load, reload
from yewstage.net.core import Core
from yewstage.net.discovery import NO_LISTING
from yewstage.net.handover import Handover
from yewstage.net.ops import Ops

if TYPE_CHECKING:
    from yewstage.net.peers import Peers

log = logging.getLogger(__name__)

ACCEPT_AFTER_SIGTERM_S = 0.5  # new connections still arrive for 0.4 s after SIGTERM
# SIGKILL follows SIGTERM no earlier than min(longest deadline, MAX_DRAIN_DEADLINE_S) + 0.7 s. Requests still
# open DRAIN_MARGIN_S after that minimum are failed, so that they are answered before SIGKILL.
MAX_DRAIN_DEADLINE_S = 3.0
DRAIN_MARGIN_S = 0.4
CHECK_INTERVAL_S = 0.02  # between checks of readiness, or of open connections while draining
READY_WAIT_S = 2.0  # longest wait for the first server list before an inherited listening socket is served
SUCCESSOR_CHECK_INTERVAL_S = 0.1
MAX_LOG_LINES_PER_S = 20
GC_THRESHOLD_ALLOCATIONS = 20_000


class HandoverCoordinator:
    """Takes over from the previous process on the same listening socket, and hands over to the next one."""

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
        """Begin to accept connections; if another process still serves, once it has handed over."""
        if self._handover is not None and self._handover.start(self._on_handover, self._on_predecessor_exit):
            log.info(Event("waiting", "another process is serving; waiting for it to hand over"))
            self._core.share_descriptors(True)
        else:
            self._start_peers()
            self._accept_when_ready(self._loop.time() + READY_WAIT_S if self._handover is not None else 0.0)
            self._check_successor()

    def _accept_when_ready(self, deadline: float) -> None:
        """Accept connections once requests can be served, or at the deadline. Until then connections to an
        inherited socket wait in its backlog and are not refused."""
        if self._core.is_ready() or self._loop.time() >= deadline:
            self._server.accept()
        elif not self._core.is_draining:
            self._loop.call_later(CHECK_INTERVAL_S, self._accept_when_ready, deadline)

    def _start_peers(self) -> None:
        """Join the members. Only one process at a time may use this gateway's name among them."""
        if self._peers is not None:
            self._peers.start()

    def hand_over(self) -> bool:
        """Leave the members and hand over to the next process; False if there is none."""
        if self._peers is not None:
            self._peers.leave()
        if self._handover is None or not self._handover.has_successor():
            return False
        self._handover.hand_over(self._core.hand_over())
        return True

    def stop(self) -> None:
        """Stop looking for other processes."""
        if self._handover is not None:
            self._handover.stop()

    def _on_handover(self, state: dict[str, object] | None) -> None:
        how = "with no word" if state is None else "with what was handed over"
        log.info(Event("taking_over", "taking over, {how}", how=how))
        self._core.take_over(state)
        self._start_peers()
        self._accept_when_ready(self._loop.time() + READY_WAIT_S)

    def _on_predecessor_exit(self) -> None:
        self._core.predecessor_exited()
        self._check_successor()

    def _check_successor(self) -> None:
        """Share the descriptors with the next process as long as it is present, even if it never serves."""
        if self._handover is not None and not self._core.is_draining:
            if self._handover.has_successor() != self._core.is_sharing_descriptors:
                self._core.share_descriptors(not self._core.is_sharing_descriptors)
            self._loop.call_later(SUCCESSOR_CHECK_INTERVAL_S, self._check_successor)


class Shutdown:
    """Shutdown on SIGTERM or SIGINT: hand over to the next process or accept a little longer, finish the open
    requests, then end."""

    def __init__(
        self,
        core: Core,
        server: ClientListener,
        loop: asyncio.AbstractEventLoop,
        coordinator: HandoverCoordinator,
    ) -> None:
        self._core, self._server, self._loop, self._coordinator = core, server, loop, coordinator
        self.done = asyncio.Event()

    def begin(self) -> None:
        """Start to drain; called on the signal."""
        if self._core.is_draining:
            return
        log.info(Event("draining", "draining"))
        self._core.is_draining = True
        longest_deadline_s = max(c.deadline_ms for c in self._core.settings.classes) / 1000
        self._loop.call_later(
            min(longest_deadline_s, MAX_DRAIN_DEADLINE_S) + DRAIN_MARGIN_S, self._fail_open_requests
        )
        if self._coordinator.hand_over():
            self._server.stop_accepting(succeeded=True)
            self._check_done()
        else:
            self._loop.call_later(ACCEPT_AFTER_SIGTERM_S, self._stop_accepting)

    def _stop_accepting(self) -> None:
        self._server.stop_accepting()
        self._check_done()

    def _check_done(self) -> None:
        # While draining, an answer closes its connection; without connections everything is answered.
        if self._server.close_idle():
            self.done.set()
        else:
            self._loop.call_later(CHECK_INTERVAL_S, self._check_done)

    def _fail_open_requests(self) -> None:
        # SIGKILL would leave open requests without an answer, so they are failed now. An answer that is being
        # sent goes on; `_check_done` waits for its connection.
        self._core.fail_all()


async def _open_peers(config: Config, core: Core, loop: asyncio.AbstractEventLoop) -> Peers | None:
    """Open the membership socket if `peers` is configured. Nothing is sent before `Peers.start`."""
    if config.peers is None:
        return None
    from yewstage.net.peers import Peers  # imported here, as its dependencies are needed only with peers

    peers = Peers(config.peers, config.name, loop, random.Random(config.seed), core.failing)
    log.info(address_event("members", "hearing members on", await peers.open()))
    core.extra_metrics = peers.metrics
    return peers


def _reconfigure(core: Core, server: ClientListener, peers: Peers | None, initial: Config) -> None:
    """Apply the present configuration; called on SIGHUP. An invalid configuration changes nothing."""
    try:
        config = reload(os.environ, initial)
        names = ClassAndPlanNames(config.settings)
    except ConfigError as error:
        core.stats.invalid_configs += 1
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
    server.set_classes_and_plans(names)
    server.set_limits(config.sockets, config.max_upload_bytes)
    core.reconfigure(config)
    if peers is not None and config.peers is not None:
        peers.set_keys(config.peers.keys)
    core.stats.accepted_configs += 1


def _handover(config: Config, loop: asyncio.AbstractEventLoop) -> Handover | None:
    """The handover between processes; None without a listening socket that the platform passes in, as only
    such a socket outlives a process, or without TMPDIR, the folder that the processes share."""
    folder = os.environ.get("TMPDIR")
    if config.listen_fd is None or not folder:
        return None
    return Handover(Path(folder), config.name, loop)


async def serve(config: Config) -> None:
    """Run until the shutdown after SIGTERM or SIGINT is done. SIGHUP reloads the configuration."""
    loop = asyncio.get_running_loop()
    core = Core(config, loop)
    config = dataclasses.replace(config, fallback_listing=NO_LISTING)  # which the core has
    server = ClientListener(core, loop, config.sockets)
    peers = await _open_peers(config, core, loop)
    handover = _handover(config, loop)
    if handover is not None:
        core.share_request_ids(handover.request_ids)
    coordinator = HandoverCoordinator(core, server, loop, handover, peers)
    shutdown = Shutdown(core, server, loop, coordinator)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, shutdown.begin)
    loop.add_signal_handler(signal.SIGHUP, _reconfigure, core, server, peers, config)
    core.start()
    pages = {"/ops/members": lambda: json.dumps(peers.status()).encode()} if peers is not None else {}
    ops = Ops(loop, core.is_ready, core.metrics, core.stats.descriptors.uses["ops"], pages)
    if config.ops is not None:
        log.info(address_event("ops", "operators' address", await ops.start(config.ops)))
    address = server.start(config.listen, config.listen_fd)
    coordinator.start()
    core.plan_memory()
    log.info(
        Event(
            "links",
            "connections to servers: idle for at most {idle_ms:.0f} ms, connect time-out "
            "{dial_ms:.0f} ms; {descriptors} descriptors",
            idle_ms=config.idle_limit_ms,
            dial_ms=config.dial_timeout_ms,
            descriptors=config.sockets,
        )
    )
    log.info(address_event("listening", "listening on", address))
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)  # requests create almost no cycles
    await shutdown.done.wait()
    coordinator.stop()
    ops.stop()
    if peers is not None:
        peers.stop()
    core.stop()
    log.info(Event("ended", "ended: {text}", text=core.summary()))


def main() -> int:
    """Exit status 0 after a drain; 2, with one line on stderr, if the configuration is invalid or the address
    cannot be used."""
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(error, file=sys.stderr)
        return 2
    configure_logging(config.name, config.log, {"gateway": config.name}, MAX_LOG_LINES_PER_S)
    serving = serve(config)
    del config  # its list of servers may be long, and is replaced soon
    try:
        uvloop.run(serving)
    except OSError as error:
        print(f"listen: {error}", file=sys.stderr)
        return 2
    return 0
