"""Checking the pure parts by playing them under virtual time: all orders to a depth, long random plans."""
