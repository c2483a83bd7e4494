"""Tables shared between gateways by anti-entropy over `membership`, with a bound on staleness.

Each entry has one origin, which alone changes it. Ages are computed from this process's own clock. The
package does no I/O.
"""
