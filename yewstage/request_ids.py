"""Which requests may begin by their id: one that may have run for a client that has left does not run again.

A client that leaves may send its request again under the same id, on another connection. This decides without
sockets and without a clock; the time is an argument.
"""

from __future__ import annotations

from collections.abc import Iterable


class RequestIds:
    """Ids of requests with an effect that may have run, and whose clients did not get their answer.

    They are kept for `retention_s` seconds, and at most `max_kept` of them: the oldest go first.
    """

    def __init__(self, retention_s: float, max_kept: int) -> None:
        self._retention_s, self._max_kept = retention_s, max_kept
        self._kept_until_s: dict[str, float] = {}  # in the order of their end

    def may_begin(self, request_id: str, now_s: float) -> bool:
        """Whether a request with this id may begin."""
        return self._kept_until_s.get(request_id, now_s) <= now_s

    def keep(self, request_ids: Iterable[str], now_s: float) -> None:
        """Keep ids of requests that may have run, here or in another process."""
        for request_id in request_ids:
            self._kept_until_s.pop(request_id, None)
            self._kept_until_s[request_id] = now_s + self._retention_s
        while self._kept_until_s:
            oldest = next(iter(self._kept_until_s))
            if len(self._kept_until_s) <= self._max_kept and self._kept_until_s[oldest] > now_s:
                return
            del self._kept_until_s[oldest]

    def ids(self) -> list[str]:
        """All ids that are kept, the oldest first."""
        return list(self._kept_until_s)
