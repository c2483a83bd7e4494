"""The world and the real module under a virtual clock: one process, no sockets, the same play for a seed."""
