"""Logging of all programs of yewstage: events with fields, written as text or as JSON lines.

The text of an event is a template over its fields, so that both forms carry the same values. Text is
formatted by the standard library; JSON lines by python-json-logger, which is imported only if they are
configured.
"""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import Mapping

TEXT, JSON = "text", "json"
FORMATS = (TEXT, JSON)


class Event:
    """A log event: its name, the template of its text, and its fields."""

    __slots__ = ("name", "text", "fields")

    def __init__(self, name: str, text: str, /, **fields: object) -> None:
        self.name, self.text, self.fields = name, text, fields

    def __str__(self) -> str:
        return self.text.format_map(self.fields)


class JoinedList(list):
    """A list as a field. The format specification in the template is the separator; an empty list is
    `none`."""

    def __format__(self, separator: str) -> str:
        return separator.join(map(str, self)) or "none"


def address_event(name: str, text: str, address: tuple[str, int]) -> Event:
    """An event that reports the host and port of a socket, as in `listening on HOST:PORT`."""
    return Event(name, text + " {host}:{port}", host=address[0], port=address[1])


class RateLimit(logging.Filter):
    """Limits the lines per second, to bound the size of the log and the CPU time that it takes.

    Lines beyond the limit are dropped. The first line of a later second is preceded by their count.
    """

    def __init__(self, handler: logging.Handler, lines_per_s: int) -> None:
        super().__init__()
        self._handler, self._lines_per_s = handler, lines_per_s
        self._second, self._lines = 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            dropped, self._second, self._lines = self._lines - self._lines_per_s, second, 0
            if dropped > 0:
                event = Event("lines_left_out", "{count} lines left out", count=dropped)
                self._handler.emit(logging.LogRecord(record.name, logging.WARNING, "", 0, event, None, None))
        self._lines += 1
        return self._lines <= self._lines_per_s


def configure_logging(
    name: str, style: str, common_fields: Mapping[str, str], lines_per_s: int | None = None
) -> None:
    """Log to standard error in the given form, TEXT or JSON. `name` stands in every text line,
    `common_fields` in every JSON line. `lines_per_s` limits the lines; None: no limit."""
    handler = logging.StreamHandler(sys.stderr)
    if style == JSON:
        handler.setFormatter(_json_formatter(common_fields))
    else:
        handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    if lines_per_s is not None:
        handler.addFilter(RateLimit(handler, lines_per_s))
    logging.basicConfig(level=logging.INFO, handlers=[handler])


def _json_formatter(common_fields: Mapping[str, str]) -> logging.Formatter:
    from pythonjsonlogger.json import JsonFormatter  # imported here, as text logs do not need it

    class EventFormatter(JsonFormatter):
        """Writes time, level, common fields, event name, the event's fields and its text."""

        def add_fields(
            self, log_data: dict[str, object], record: logging.LogRecord, message_dict: dict[str, object]
        ) -> None:
            event = record.msg if isinstance(record.msg, Event) else Event("log", "")
            log_data |= {
                "time": _utc(record.created),
                "level": record.levelname.lower(),
                **common_fields,
                "event": event.name,
                **event.fields,
                "message": record.message,
            }
            if record.exc_info:
                log_data["exception"] = self.formatException(record.exc_info)

    return EventFormatter(json_default=_json_value, json_ensure_ascii=False)


def _utc(seconds: float) -> str:
    """A Unix time in ISO 8601 with milliseconds, UTC."""
    whole = int(seconds)
    return f"{time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(whole))}.{int((seconds - whole) * 1000):03}Z"


def _json_value(value: object) -> object:
    """A value that JSON cannot represent: the result of its `fields()` method if it has one, else its
    text."""
    fields = getattr(value, "fields", None)
    return fields() if callable(fields) else str(value)
