"""Model checking of the pure protocols in virtual time: exhaustive search to a depth, random simulation."""
