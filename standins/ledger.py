"""Records the events of requests, so that lost or repeated runs are counted."""

from __future__ import annotations

import json
import os
import time
from typing import Any


class Ledger:
    """Records events of requests in memory and optionally in a file.

    The records in the file survive a crash of the process.

    Attributes:
        records: Records of the events, oldest first; their "at_ms" is the time
            in milliseconds since 1970.
    """

    def __init__(self, path: str = ""):
        """Initializes a ledger without records.

        Args:
            path: File to append JSON lines to, which several processes may
                share; if empty, records stay in memory only.
        """
        self.records: list[dict[str, Any]] = []
        self._path = path
        self._file_descriptor = -1  # Not open.

    def start(self) -> None:
        """Opens the file, if there is one."""
        if self._path:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._file_descriptor = os.open(self._path, flags, 0o600)

    def close(self) -> None:
        """Closes the file, if it is open."""
        if self._file_descriptor >= 0:
            os.close(self._file_descriptor)
            self._file_descriptor = -1

    def record(self, event: str, request_id: str, **fields: Any) -> None:
        """Records an event of a request.

        Args:
            event: "started", "done", "cancelled" or "shed" (the request did not
                run).
            request_id: Id of the request.
            fields: Further fields of the record.
        """
        record = {
            "event": event,
            "request_id": request_id,
            "at_ms": time.time_ns() // 1_000_000,
            **fields,
        }
        self.records.append(record)
        if self._file_descriptor >= 0:
            # A single write call per line keeps the line even if the process is
            # killed right after, and lines of several processes do not mix.
            os.write(
                self._file_descriptor, (json.dumps(record) + "\n").encode()
            )


def read_ledger(path: str) -> list[dict[str, Any]]:
    """Returns the records that processes appended to a file."""
    with open(path, encoding="utf-8") as file:
        return [json.loads(line) for line in file]
