"""Fault injection between real processes: links that drop, hold and delay data, and machines that are killed
and lose their disks."""
