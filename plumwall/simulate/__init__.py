"""Simulation of a scenario in virtual time with the real decision module: deterministic, without sockets."""
