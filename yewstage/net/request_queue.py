"""Requests of one client connection that wait for those before them to be answered."""

from __future__ import annotations

from collections import deque

from yewstage.net.client_request import RequestMessage

# Memory that a waiting request takes beside the text of its head and its body.
REQUEST_OVERHEAD_BYTES = 2 * 1024

# A number is the status with which an invalid request is answered.
QueuedRequest = RequestMessage | int


def buffered_bytes(item: QueuedRequest) -> int:
    """Bytes of a request's head and body; those of a streamed body are counted with its upload."""
    if isinstance(item, int):
        return 0
    return item.head_bytes + (0 if item.upload is not None else item.reserved_bytes)


class RequestQueue:
    """First in, first out, with the number of requests and of the bytes that they hold."""

    __slots__ = ("_items", "count", "bytes")

    def __init__(self) -> None:
        self._items: deque[tuple[QueuedRequest, int]] = deque()
        self.count = self.bytes = 0

    def append(self, item: QueuedRequest) -> None:
        """Append a request. What it holds must not change from now on, but for a streamed body."""
        size = buffered_bytes(item) + (0 if isinstance(item, int) else REQUEST_OVERHEAD_BYTES)
        self._items.append((item, size))
        self.count += 1
        self.bytes += size

    def popleft(self) -> QueuedRequest:
        """Remove and return the first request; there must be one."""
        item, size = self._items.popleft()
        self.count -= 1
        self.bytes -= size
        return item

    def only(self) -> QueuedRequest | None:
        """Return the request if there is exactly one, else None."""
        return self._items[0][0] if self.count == 1 else None

    def discard(self, message: RequestMessage) -> None:
        """Remove a request if it is queued."""
        for entry in self._items:
            if entry[0] is message:
                self._items.remove(entry)
                self.count -= 1
                self.bytes -= entry[1]
                return

    def drain(self) -> list[QueuedRequest]:
        """Remove and return all requests."""
        items = [item for item, _ in self._items]
        self._items.clear()
        self.count = self.bytes = 0
        return items
