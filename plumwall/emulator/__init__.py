"""The world on loopback sockets, round gateways that are the real program."""
