"""Checking the pure parts by playing them: all orders to a depth, and long random plans, under virtual
time."""
