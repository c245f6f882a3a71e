"""Rows: objects of JSON whose values are checked as they are read."""

from __future__ import annotations

import json
from typing import Any, TYPE_CHECKING

from merlintrestle import errors

if TYPE_CHECKING:
    from collections.abc import Mapping


class Row:
    """One row of a table; its values are checked as they are read."""

    def __init__(
        self,
        table: str,
        fields: Any,
        error: type[errors.MerlintrestleError] = errors.SnapshotError,
    ):
        """Sets the fields.

        Args:
            table: What it is a row of, for errors.
            fields: What JSON has there.
            error: Raised where a value is malformed.
        """
        if not isinstance(fields, dict):
            raise error(f"{table}: {fields!r} is not an object")
        self._table = table
        self._fields = fields
        self._error = error

    def get_text(self, name: str) -> str:
        """Returns a text that is not empty."""
        value = self._fields.get(name)
        if not isinstance(value, str) or not value:
            raise self._fail(name)
        return value

    def get_number(self, name: str) -> int:
        """Returns a whole number, not negative."""
        value = self._fields.get(name)
        if type(value) is not int or value < 0:
            raise self._fail(name)
        return value

    def get_seconds(self, name: str, most: float) -> float:
        """Returns a time above 0, `most` seconds at most."""
        value = self._fields.get(name)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise self._fail(name)
        if not 0 < value <= most:
            raise self._fail(name)
        return value

    def get_list(self, name: str) -> list[Any] | None:
        """Returns a list; None: it is left out."""
        value = self._fields.get(name)
        if value is not None and not isinstance(value, list):
            raise self._fail(name)
        return value

    def _fail(self, name: str) -> errors.MerlintrestleError:
        row = self._fields.get("name", "")
        value = self._fields.get(name)
        return self._error(f"{self._table} {row}: {name} is {value!r}")


def parse_object(
    value: bytes,
    name: str,
    error: type[errors.MerlintrestleError] = errors.SnapshotError,
) -> dict[str, Any]:
    """Returns the object that a value holds as JSON.

    Args:
        value: The text.
        name: What it is, for errors.
        error: Raised where it is none.
    """
    try:
        fields = json.loads(value)
    except ValueError as cause:
        raise error(f"{name}: {cause}") from cause
    if not isinstance(fields, dict):
        raise error(f"{name}: it is not an object")
    return fields


def read_table(tables: Mapping[str, Any], name: str) -> list[dict[str, Any]]:
    """Returns the rows of a table; a value that is null is left out.

    Raises:
        errors.SnapshotError: It does not consist of columns and fitting rows.
    """
    table = tables.get(name)
    if not isinstance(table, dict):
        raise errors.SnapshotError(f"configuration: {name} is not an object")
    columns, rows = table.get("columns"), table.get("rows")
    if not isinstance(columns, list) or not isinstance(rows, list):
        raise errors.SnapshotError(f"{name}: columns and rows are not lists")
    found = []
    for row in rows:
        if not isinstance(row, list) or len(row) != len(columns):
            raise errors.SnapshotError(f"{name}: {row!r} does not fit")
        pairs = zip(columns, row, strict=True)
        found.append({key: value for key, value in pairs if value is not None})
    return found
