"""The emulator: the gateways' surroundings on loopback sockets, with the real program as the gateways."""
