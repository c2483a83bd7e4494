"""Who of a fleet is there: SWIM with suspicion and local health, over datagrams.

Off in `run` unless `peers` is configured: nothing of it is imported then. Pure: `net/peers.py` has the
socket.
"""
