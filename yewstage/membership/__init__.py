"""Membership of a group of gateways: SWIM with suspicion and the local health multiplier of Lifeguard.

Off unless `peers` is configured; then none of its modules are imported. The package opens no sockets and
reads no clock: `net/peers.py` has the socket and the timer.
"""
