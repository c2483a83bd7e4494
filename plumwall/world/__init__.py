"""Pure model of the surroundings of a fleet: servers, quota counter, list of servers, workload and faults.

It uses no sockets and no clock; callers pass the time in milliseconds.
"""
