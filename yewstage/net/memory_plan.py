"""How the memory of a process is divided among all that holds any of it."""

from __future__ import annotations

from dataclasses import dataclass

# What a connection takes beside the bytes that it holds, with the request that it carries.
CONNECTION_BYTES = 5 * 1024
CUSTOMER_BYTES = 1536  # what a customer's use of its quota takes
REQUEST_ID_BYTES = 320  # what the longest id that must not run again takes
# A counted byte takes up to this many: objects are rounded up, and buffers grow by more than they need.
BYTES_PER_COUNTED_BYTE = 2
# For what single calls need: the read buffer, a list of servers, the operators' metrics, lines of the log.
RESERVED_BYTES = 2**20
CUSTOMER_MEMORY_SHARE = 0.2  # of the free memory
MIN_CUSTOMERS = 1000
BODY_MEMORY_SHARE = 0.2  # of the free memory: counted bytes, if the connections leave as much
MIN_BODY_BYTES = 2**18  # which connections must leave
REQUEST_ID_MEMORY_SHARE = 0.08  # of the free memory
MIN_REQUEST_IDS, MAX_REQUEST_IDS = 1000, 4096
USUAL_MIN_BODY_BYTES = 2 * 2**20  # if the connections leave as much, however little is free
MIN_CONNECTIONS = 128  # also where the limit is too low
CLIENT_CONNECTION_SHARE = 0.5  # of the connections that there is memory for; the others lead to servers


@dataclass(slots=True, frozen=True)
class MemoryPlan:
    """Divides what a process may hold, `limit_bytes`, of which it holds `resident_bytes` at rest.

    The parts add up to the limit at the most, unless it leaves too little for the least of them, which
    `shortage_bytes` tells.
    """

    limit_bytes: int
    resident_bytes: int

    @property
    def free_bytes(self) -> int:
        """What a process at rest leaves."""
        return max(self.limit_bytes - self.resident_bytes, 0)

    @property
    def max_customers(self) -> int:
        """Customers whose use of their quotas may be kept."""
        return max(int(CUSTOMER_MEMORY_SHARE * self.free_bytes) // CUSTOMER_BYTES, MIN_CUSTOMERS)

    @property
    def max_request_ids(self) -> int:
        """Ids of requests that are kept, so that they do not run again."""
        affordable = int(REQUEST_ID_MEMORY_SHARE * self.free_bytes) // REQUEST_ID_BYTES
        return min(max(affordable, MIN_REQUEST_IDS), MAX_REQUEST_IDS)

    @property
    def fixed_bytes(self) -> int:
        """What is set aside, whatever the connections hold."""
        return RESERVED_BYTES + self.max_customers * CUSTOMER_BYTES + self.max_request_ids * REQUEST_ID_BYTES

    @property
    def max_connections(self) -> int:
        """Connections for which there is memory."""
        left_bytes = self.free_bytes - self.fixed_bytes - MIN_BODY_BYTES * BYTES_PER_COUNTED_BYTE
        return max(left_bytes // CONNECTION_BYTES, MIN_CONNECTIONS)

    @property
    def max_client_connections(self) -> int:
        """Connections of clients for which there is memory."""
        return int(CLIENT_CONNECTION_SHARE * self.max_connections)

    @property
    def max_server_connections(self) -> int:
        """Connections to servers for which there is memory."""
        return self.max_connections - self.max_client_connections

    @property
    def shortage_bytes(self) -> int:
        """What the limit lacks for the least of all parts; 0 if it suffices."""
        least_bytes = self.fixed_bytes + MIN_BODY_BYTES * BYTES_PER_COUNTED_BYTE
        least_bytes += MIN_CONNECTIONS * CONNECTION_BYTES
        return max(least_bytes - self.free_bytes, 0)

    def body_bytes(self, connections: int, overshoot_bytes: int = 0) -> int:
        """Bytes of heads and bodies that may be held while there are so many connections.

        `overshoot_bytes` is what the process holds beyond what it should, whatever the cause.
        """
        left_bytes = (
            self.free_bytes - self.fixed_bytes - connections * CONNECTION_BYTES - overshoot_bytes
        ) // BYTES_PER_COUNTED_BYTE
        usual_bytes = max(int(BODY_MEMORY_SHARE * self.free_bytes), USUAL_MIN_BODY_BYTES)
        return max(min(left_bytes, usual_bytes), MIN_BODY_BYTES)

    def overshoot_bytes(self, resident_bytes: int) -> int:
        """What a process that holds this beyond its limit less half of the reserve."""
        return max(resident_bytes - (self.limit_bytes - RESERVED_BYTES // 2), 0)
