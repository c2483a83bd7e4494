"""The log of all programs in service: one event with fields for each thing told, as text or as JSON lines.

An event's text is a template over its fields, so that people and programs read the same. Text is made by
the standard library alone, JSON lines by python-json-logger, which is loaded only where they are asked for.
"""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import Mapping

TEXT, JSON = "text", "json"
FORMATS = (TEXT, JSON)


class Event:
    """Something that happened: its name, a text for people, and its fields for programs."""

    __slots__ = ("name", "text", "fields")

    def __init__(self, name: str, text: str, /, **fields: object) -> None:
        self.name, self.text, self.fields = name, text, fields

    def __str__(self) -> str:
        return self.text.format_map(self.fields)


class JoinedList(list):
    """A field of several things; in a text they stand with the template's separator between them."""

    def __format__(self, separator: str) -> str:
        return separator.join(map(str, self)) or "none"


def address_event(name: str, text: str, address: tuple[str, int]) -> Event:
    """That something can be reached at an address."""
    return Event(name, text + " {host}:{port}", host=address[0], port=address[1])


class RateLimit(logging.Filter):
    """Guards the log and the CPU: so many lines a second, then a count of those left out."""

    def __init__(self, handler: logging.Handler, lines_per_s: int) -> None:
        super().__init__()
        self._handler, self._most = handler, lines_per_s
        self._second, self._lines = 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            left_out, self._second, self._lines = self._lines - self._most, second, 0
            if left_out > 0:
                told = Event("lines_left_out", "{count} lines left out", count=left_out)
                self._handler.emit(logging.LogRecord(record.name, logging.WARNING, "", 0, told, None, None))
        self._lines += 1
        return self._lines <= self._most


def configure_logging(name: str, style: str, who: Mapping[str, str], lines_per_s: int | None = None) -> None:
    """Log to standard error; `who` are the fields that every JSON line carries, `name` is for texts."""
    handler = logging.StreamHandler(sys.stderr)
    if style == JSON:
        handler.setFormatter(_json_lines(who))
    else:
        handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    if lines_per_s is not None:
        handler.addFilter(RateLimit(handler, lines_per_s))
    logging.basicConfig(level=logging.INFO, handlers=[handler])


def _json_lines(who: Mapping[str, str]) -> logging.Formatter:
    from pythonjsonlogger.json import JsonFormatter  # here, since no other start has to pay for it

    class Lines(JsonFormatter):
        """Time, level, who, event, its fields, and the text that people would read."""

        def add_fields(
            self, log_data: dict[str, object], record: logging.LogRecord, message_dict: dict[str, object]
        ) -> None:
            event = record.msg if isinstance(record.msg, Event) else Event("log", "")
            log_data |= {
                "time": _utc(record.created),
                "level": record.levelname.lower(),
                **who,
                "event": event.name,
                **event.fields,
                "message": record.message,
            }
            if record.exc_info:
                log_data["exception"] = self.formatException(record.exc_info)

    return Lines(json_default=_plain, json_ensure_ascii=False)


def _utc(seconds: float) -> str:
    """Unix time by ISO 8601, to the millisecond."""
    whole = int(seconds)
    return f"{time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(whole))}.{int((seconds - whole) * 1000):03}Z"


def _plain(value: object) -> object:
    """What JSON has no form for: things that know their fields, else their text."""
    fields = getattr(value, "fields", None)
    return fields() if callable(fields) else str(value)
