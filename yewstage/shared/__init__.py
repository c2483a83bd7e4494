"""What gateways tell one another about what they see: tables with a bound on staleness, over `membership`.

Pure. Each entry has one origin, which alone changes it; the age of what is read rests on one's own clock.
"""
