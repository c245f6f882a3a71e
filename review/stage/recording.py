"""Record of what was sent, answered and run in a case."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pathlib


class Record:
    """Lines with the time of each event, written to a file at the end."""

    def __init__(self) -> None:
        self._began_at = time.monotonic()
        self._lines: list[str] = []

    def add(self, *fields: object) -> None:
        """Adds an event, with the seconds since the begin."""
        seconds = time.monotonic() - self._began_at
        text = " ".join(str(field) for field in fields)
        self._lines.append(f"{seconds:8.3f} {text}")

    def save(self, path: pathlib.Path) -> None:
        """Writes all lines."""
        path.write_text("\n".join(self._lines) + "\n")
