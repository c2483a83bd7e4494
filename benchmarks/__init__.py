"""Benchmarks of the gateway and its services. They are not tests, because results depend on the machine."""
