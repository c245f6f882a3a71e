"""Set-up of logging: one line a record, text or JSON, on standard error."""

from __future__ import annotations

import json
import logging
import sys

_TEXT_FORMAT = "%(asctime)s %(levelname)-7s %(message)s"


class JsonFormatter(logging.Formatter):
    """Writes each record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record's time, level, module and message as JSON."""
        fields = {
            "time": self.formatTime(record),
            "level": record.levelname.lower(),
            "module": record.name,
            "message": record.getMessage(),
        }
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(fields)


def start_logging(level: str, form: str) -> None:
    """Sends all records of a level and above to standard error.

    Args:
        level: "debug", "info", "warning" or "error".
        form: "text" or "json".
    """
    handler = logging.StreamHandler(sys.stderr)
    if form == "json":
        handler.setFormatter(JsonFormatter())
    else:
        handler.setFormatter(logging.Formatter(_TEXT_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # These log each connection and each start of a task at info level.
    for noisy in ("aiohttp", "mode", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
