"""Set-up of logging: one line a record, text or JSON, on standard output."""

from __future__ import annotations

import asyncio
import collections
import functools
import json
import logging
import os
import sys
import time

# Lines that wait for a reader of standard output, in bytes. At some 300 bytes
# a line this is the story of over a thousand lines before the first is lost.
MAX_WAITING_BYTES = 512 * 1024
# Lines are written together after this time, in seconds: a system call each
# would cost more than the line itself.
_FLUSH_S = 0.05
# What one write hands over at most, in bytes: a pipe usually holds as much.
_WRITE_BYTES = 64 * 1024
# `json.dumps` would make an encoder for each line.
_encode = json.JSONEncoder(default=str).encode


class TextFormatter(logging.Formatter):
    """Writes each record as a line for people."""

    def __init__(self) -> None:
        super().__init__("%(asctime)s %(levelname)-7s %(message)s")

    def format(self, record: logging.LogRecord) -> str:
        """Returns time, level, part, event and fields."""
        line = super().format(record)
        fields = getattr(record, "fields", None)
        if not fields:
            return line
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        return f"{line} {pairs}"


class JsonFormatter(logging.Formatter):
    """Writes each record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record's time, level, part, event and fields as JSON.

        A record of a library has its text as event.
        """
        part, _, event = record.getMessage().partition(": ")
        fields = {
            "time": _format_time(getattr(record, "at", record.created)),
            "level": record.levelname.lower(),
            "part": part if event else record.name,
            "event": event or part,
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return _encode(fields)


class LineHandler(logging.Handler):
    """Writes lines without ever waiting for who reads them.

    A reader that stops reading would stop the process at its next line, with
    all requests in flight. Here lines wait in memory up to a bound and are
    dropped and counted beyond it.

    Attributes:
        dropped: Lines that were dropped.
    """

    def __init__(self, descriptor: int):
        """Sets the open file to write to; it no longer blocks."""
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._untold = 0
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Takes a record in; writes it soon, at once outside an event loop."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
            self._untold += 1
        else:
            self._waiting.append(line)
            self._waiting_bytes += len(line)
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        if self._timer is None:
            self._timer = loop.call_later(_FLUSH_S, self._flush_later, loop)

    def flush(self) -> None:
        """Writes what the reader takes now; the rest waits on."""
        while self._waiting:
            batch = self._take_batch()
            try:
                written = os.write(self._descriptor, batch)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody will ever read: the lines are dropped, not the work.
                self.dropped += 1
                continue
            if written < len(batch):
                self._waiting.appendleft(batch[written:])
                self._waiting_bytes += len(batch) - written
                return
        if self._untold:
            untold, self._untold = self._untold, 0
            logging.getLogger(__name__).warning(
                "logs: lines dropped", extra={"fields": {"count": untold}}
            )

    def _take_batch(self) -> bytes:
        pieces = []
        size = 0
        while self._waiting and size < _WRITE_BYTES:
            piece = self._waiting.popleft()
            pieces.append(piece)
            size += len(piece)
        self._waiting_bytes -= size
        return b"".join(pieces)

    def _flush_later(self, loop: asyncio.AbstractEventLoop) -> None:
        self._timer = None
        self.flush()
        if self._waiting and self._timer is None:
            self._timer = loop.call_later(_FLUSH_S, self._flush_later, loop)


def start_logging(level: str, form: str) -> LineHandler:
    """Sends all records of a level and above to standard output.

    Args:
        level: "debug", "info", "warning" or "error".
        form: "text" or "json".
    """
    handler = LineHandler(sys.stdout.fileno())
    handler.setFormatter(JsonFormatter() if form == "json" else TextFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # What no line here shows, and each record would look for: threads,
    # processes, and the place in the code by way of the stack.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging._srcfile = None
    # These log each connection and each start of a task at info level.
    for noisy in ("aiohttp", "mode", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
    return handler


def _format_time(seconds: float) -> str:
    return f"{_format_second(int(seconds))}.{int(seconds % 1 * 1000):03d}Z"


@functools.lru_cache(maxsize=4)
def _format_second(second: int) -> str:
    """Returns a time without its parts of a second; lines come in bursts."""
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
