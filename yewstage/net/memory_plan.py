"""How the memory of a process is divided among all that holds any of it."""

from __future__ import annotations

from dataclasses import dataclass

# What a connection takes beside the bytes that it holds, with the request that it carries.
CONNECTION_BYTES = 5 * 1024
CUSTOMER_BYTES = 1536  # what a customer's use of its quota takes
REQUEST_ID_BYTES = 320  # what the longest id that must not run again takes
LISTED_SERVER_BYTES = 2048  # what a server of the list takes, also while a new list is parsed
# A counted byte takes up to this many: objects are rounded up, and buffers grow by more than they need.
BYTES_PER_COUNTED_BYTE = 2
# For what single calls need: the read buffer, calls to the counter and of operators, lines of the log.
RESERVED_BYTES = 2**20
CUSTOMER_MEMORY_SHARE = 0.2  # of the free memory
MIN_CUSTOMERS = 1000
BODY_MEMORY_SHARE = 0.2  # of the free memory: counted bytes, if the connections leave as much
MIN_BODY_BYTES = 2**18  # which connections must leave
REQUEST_ID_MEMORY_SHARE = 0.08  # of the free memory
MIN_REQUEST_IDS, MAX_REQUEST_IDS = 1000, 4096
SERVER_MEMORY_SHARE = 0.2  # of the free memory: the longest list of servers that is taken
MIN_MAX_SERVERS = 4096  # in a list that is taken, however little memory there is
USUAL_MIN_BODY_BYTES = 2 * 2**20  # if the connections leave as much, however little is free
MIN_CONNECTIONS = 128  # also where the limit is too low
# Part of the descriptors that clients may hold for their requests; as many connections lead to servers then.
REQUEST_DESCRIPTOR_SHARE = 1 / 3
CLIENT_CONNECTION_SHARE = 0.5  # of the connections that there is memory for; the others lead to servers


@dataclass(slots=True, frozen=True)
class TableSizes:
    """Limits on the entries of tables, which stay as they are for the life of a process."""

    max_customers: int  # whose use of their quotas may be kept
    max_request_ids: int  # of requests that do not run again
    max_servers: int  # in a list of servers that is taken

    @classmethod
    def of(cls, free_bytes: int) -> TableSizes:
        """Return the limits for a process with so much memory above what it holds at rest."""
        affordable_ids = int(REQUEST_ID_MEMORY_SHARE * free_bytes) // REQUEST_ID_BYTES
        return cls(
            max(int(CUSTOMER_MEMORY_SHARE * free_bytes) // CUSTOMER_BYTES, MIN_CUSTOMERS),
            min(max(affordable_ids, MIN_REQUEST_IDS), MAX_REQUEST_IDS),
            max(int(SERVER_MEMORY_SHARE * free_bytes) // LISTED_SERVER_BYTES, MIN_MAX_SERVERS),
        )


class MemoryPlan:
    """Divides what a process may hold, `limit_bytes`, of which it holds `resident_bytes` at rest.

    `sockets` is the number of its descriptors, `servers` the number of listed servers. Connections that
    clients may hold for their requests are planned for before they are open: bodies that had been admitted in
    their place could not be taken back. The parts add up to the limit at the most, unless it leaves too
    little for the least of them, which `shortage_bytes` tells.
    """

    __slots__ = (
        "limit_bytes",
        "resident_bytes",
        "tables",
        "servers",
        "fixed_bytes",
        "max_connections",
        "max_client_connections",
        "max_server_connections",
        "shortage_bytes",
        "_left_bytes",
        "_expected_connections",
        "_usual_body_bytes",
    )

    def __init__(
        self,
        limit_bytes: int,
        resident_bytes: int,
        sockets: int,
        servers: int = 0,
        tables: TableSizes | None = None,
    ) -> None:
        """`tables` are those that the process has already; None: those that fit."""
        self.limit_bytes, self.resident_bytes, self.servers = limit_bytes, resident_bytes, servers
        free_bytes = max(limit_bytes - resident_bytes, 0)
        self.tables = tables or TableSizes.of(free_bytes)
        # What is set aside, whatever the connections hold.
        self.fixed_bytes = (
            RESERVED_BYTES
            + self.tables.max_customers * CUSTOMER_BYTES
            + self.tables.max_request_ids * REQUEST_ID_BYTES
            + servers * LISTED_SERVER_BYTES
        )
        self._left_bytes = free_bytes - self.fixed_bytes
        least_body_bytes = MIN_BODY_BYTES * BYTES_PER_COUNTED_BYTE
        # Connections for which there is memory, to clients and to servers.
        affordable_connections = (self._left_bytes - least_body_bytes) // CONNECTION_BYTES
        self.max_connections = max(affordable_connections, MIN_CONNECTIONS)
        self.max_client_connections = int(CLIENT_CONNECTION_SHARE * self.max_connections)
        self.max_server_connections = self.max_connections - self.max_client_connections
        expected_connections = 2 * int(REQUEST_DESCRIPTOR_SHARE * sockets)
        self._expected_connections = min(expected_connections, self.max_connections)
        # What the limit lacks for the least of all parts; 0 if it suffices.
        least_bytes = least_body_bytes + MIN_CONNECTIONS * CONNECTION_BYTES
        self.shortage_bytes = max(least_bytes - self._left_bytes, 0)
        self._usual_body_bytes = max(int(BODY_MEMORY_SHARE * free_bytes), USUAL_MIN_BODY_BYTES)

    def body_bytes(self, connections: int, overshoot_bytes: int = 0) -> int:
        """Bytes of heads and bodies that may be held while there are so many connections.

        `overshoot_bytes` is what the process holds beyond what it should, whatever the cause.
        """
        connections = max(connections, self._expected_connections)
        left_bytes = self._left_bytes - connections * CONNECTION_BYTES - overshoot_bytes
        return max(min(left_bytes // BYTES_PER_COUNTED_BYTE, self._usual_body_bytes), MIN_BODY_BYTES)

    def overshoot_bytes(self, resident_bytes: int) -> int:
        """What a process that holds this beyond its limit less half of the reserve."""
        return max(resident_bytes - (self.limit_bytes - RESERVED_BYTES // 2), 0)
