"""Faults between real processes: links that lose, hold, delay and cut, machines that die with their disks."""
