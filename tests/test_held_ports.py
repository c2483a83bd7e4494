"""Ports that the fault rig keeps for a process that it starts again."""

from __future__ import annotations

import errno
import socket

import pytest
from conftest import LOOP

from plumwall.faults.held_ports import HeldPorts


def listening_on(port: int) -> socket.socket:
    """A server's socket, opened as servers open theirs."""
    return socket.create_server((LOOP, port))


# Guards against: "address already in use" when a killed process starts again, as a connection has its port.
def test_a_held_port_goes_to_no_other_socket_and_its_process_can_listen_on_it_again() -> None:
    with listening_on(0) as server:
        port = server.getsockname()[1]
    held = HeldPorts(LOOP)
    held.hold([port])
    with socket.socket() as other:
        with pytest.raises(OSError) as taken:
            other.bind((LOOP, port))  # as a connection that is bound to a port of its own
        assert taken.value.errno == errno.EADDRINUSE
    with socket.socket() as client, pytest.raises(ConnectionRefusedError):
        client.connect((LOOP, port))
    with listening_on(port):
        held.release()
        with socket.create_connection((LOOP, port)):
            pass
