"""Logging to standard output, with one line of text or JSON per record."""

from __future__ import annotations

import asyncio
import collections
import functools
import json
import logging
import os
import sys
import time

# Lines of about 300 bytes each: more than a thousand lines are buffered before
# the first one is dropped.
MAX_BUFFERED_BYTES = 512 * 1024
# Lines are written in batches, as a system call for each line would cost more
# than formatting it.
_FLUSH_DELAY_S = 0.05
# The usual capacity of a pipe.
_MAX_WRITE_BYTES = 64 * 1024
# `json.dumps` would create an encoder for each line.
_encode = json.JSONEncoder(default=str).encode


class TextFormatter(logging.Formatter):
    """Formats each record as a human-readable line."""

    def __init__(self) -> None:
        super().__init__("%(asctime)s %(levelname)-7s %(message)s")

    def format(self, record: logging.LogRecord) -> str:
        """Returns the time, level, part, event and fields of a record."""
        line = super().format(record)
        fields = getattr(record, "fields", None)
        if not fields:
            return line
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        return f"{line} {pairs}"


class JsonFormatter(logging.Formatter):
    """Formats each record as a JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns time, level, part, event and fields of a record as JSON.

        For a record of a library, the event is the message.
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
    """Writes lines without blocking on the reader of the output.

    With blocking writes, a reader that stops reading would block the process,
    and with it all requests in flight. Lines are buffered in memory up to a
    limit; beyond it they are dropped and counted.

    Attributes:
        dropped: Number of dropped lines.
    """

    def __init__(self, descriptor: int):
        """Initializes the handler; sets the file descriptor non-blocking."""
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._unreported_drops = 0
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffers a record; without a running event loop, writes it at once."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self._unreported_drops += 1
        else:
            self._buffer.append(line)
            self._buffered_bytes += len(line)
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        if self._timer is None:
            self._timer = loop.call_later(
                _FLUSH_DELAY_S, self._flush_and_reschedule, loop
            )

    def flush(self) -> None:
        """Writes buffered lines until the output would block."""
        while self._buffer:
            batch = self._pop_batch()
            try:
                written = os.write(self._descriptor, batch)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads the output any more. The process goes on without
                # these lines.
                self.dropped += 1
                continue
            if written < len(batch):
                self._buffer.appendleft(batch[written:])
                self._buffered_bytes += len(batch) - written
                return
        if self._unreported_drops:
            count, self._unreported_drops = self._unreported_drops, 0
            logging.getLogger(__name__).warning(
                "logs: lines dropped", extra={"fields": {"count": count}}
            )

    def _pop_batch(self) -> bytes:
        lines = []
        size = 0
        while self._buffer and size < _MAX_WRITE_BYTES:
            line = self._buffer.popleft()
            lines.append(line)
            size += len(line)
        self._buffered_bytes -= size
        return b"".join(lines)

    def _flush_and_reschedule(self, loop: asyncio.AbstractEventLoop) -> None:
        self._timer = None
        self.flush()
        if self._buffer and self._timer is None:
            self._timer = loop.call_later(
                _FLUSH_DELAY_S, self._flush_and_reschedule, loop
            )


def start_logging(level: str, log_format: str) -> LineHandler:
    """Configures logging to standard output.

    Args:
        level: Minimum level: "debug", "info", "warning" or "error".
        log_format: "text" or "json".

    Returns:
        The handler of all records.
    """
    handler = LineHandler(sys.stdout.fileno())
    handler.setFormatter(
        JsonFormatter() if log_format == "json" else TextFormatter()
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # Otherwise each record would look up its thread, process and source line,
    # which no line shows.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging._srcfile = None
    # These libraries log each connection and each task start at INFO.
    for noisy in ("aiohttp", "mode", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
    return handler


def _format_time(seconds: float) -> str:
    return f"{_format_second(int(seconds))}.{int(seconds % 1 * 1000):03d}Z"


@functools.lru_cache(maxsize=4)
def _format_second(second: int) -> str:
    """Formats whole seconds; cached, as lines come in bursts."""
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
