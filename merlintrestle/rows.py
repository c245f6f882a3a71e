"""Decoding and type checks of JSON objects and tables."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from merlintrestle import decoding
from merlintrestle import errors

if TYPE_CHECKING:
    from collections.abc import Mapping


# Largest accepted number; larger integers may not fit into a float.
_MAX_NUMBER = 1e300
# Largest integer of a field of 32 bits.
MAX_INTEGER = 2**32 - 1
# Largest JSON object in the store; several times a usual value limit of 1 MiB.
_MAX_VALUE_BYTES = 4 * 2**20
_MAX_RECORD_BYTES = 64 * 1024
# A key of the store has at most 200 bytes.
_MAX_KEY_CHARACTERS = 200
# Largest response of the store: many items, or one value of that size,
# in base64 and with the names of the fields.
MAX_RESPONSE_BYTES = 8 * 2**20
# Revisions and leases, qualified or not, fit into 63 bits.
_MAX_STORE_NUMBER = 2**63 - 1


class Row:
    """A JSON object, such as a row of a table, with type checks on access.

    Its methods raise the given error if a value is malformed.

    Attributes:
        table: Name of the table or object, for error messages.
    """

    def __init__(
        self,
        table: str,
        fields: Any,
        error: type[errors.MerlintrestleError] = errors.SnapshotError,
        secret: bool = False,
    ):
        """Initializes the row.

        Args:
            table: Name of the table or object, for error messages.
            fields: Decoded JSON value.
            error: Class of the error for malformed values.
            secret: Whether errors state only the places of malformed values,
                because any value may be a secret.
        """
        if not isinstance(fields, dict):
            value = "it" if secret else decoding.show_value(fields)
            raise error(f"{table}: {value} is not an object")
        self._secret = secret
        self.table = table
        self._fields = fields
        self._error = error

    def get_text(self, name: str) -> str:
        """Returns a non-empty string."""
        value = self._fields.get(name)
        if not isinstance(value, str) or not _is_encodable(value):
            raise self.build_error(name)
        return value

    def get_integer(self, name: str, maximum: int = MAX_INTEGER) -> int:
        """Returns a non-negative integer, which may be written as 2.0.

        Args:
            name: Name of the value.
            maximum: Largest accepted value.
        """
        value = self._fields.get(name)
        if type(value) is float and value.is_integer():
            value = int(value)
        if type(value) is not int or not 0 <= value <= maximum:
            raise self.build_error(name)
        return value

    def get_optional_integer(
        self, name: str, default: int = 0, maximum: int = MAX_INTEGER
    ) -> int:
        """Returns a non-negative integer, or `default` if it is absent."""
        return self.get_integer(name, maximum) if self.has(name) else default

    def has(self, name: str) -> bool:
        """Returns whether a value is stated."""
        return self._fields.get(name) is not None

    def get_flag(self, name: str) -> bool:
        """Returns a truth value; False if it is absent."""
        value = self._fields.get(name)
        if value is not None and not isinstance(value, bool):
            raise self.build_error(name)
        return bool(value)

    def get_number(self, name: str, required: bool = False) -> float:
        """Returns a non-negative, finite number; 0 if it may be absent."""
        value: Any = self._fields.get(name)
        if value is None and not required:
            return 0.0
        if type(value) not in (int, float) or not 0 <= value <= _MAX_NUMBER:
            raise self.build_error(name)
        return float(value)

    def get_texts(self, name: str) -> list[str]:
        """Returns a list of non-empty strings; an empty list if absent."""
        texts = self.get_list(name) or []
        if not all(
            isinstance(text, str) and _is_encodable(text) for text in texts
        ):
            raise self.build_error(name)
        return texts

    def get_seconds(self, name: str, max_s: float) -> float:
        """Returns a time in seconds, above 0 and at most `max_s`."""
        value = self._fields.get(name)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise self.build_error(name)
        if not 0 < value <= max_s:
            raise self.build_error(name)
        return value

    def get_list(self, name: str) -> list[Any] | None:
        """Returns a list, or None if it is absent."""
        value = self._fields.get(name)
        if value is not None and not isinstance(value, list):
            raise self.build_error(name)
        return value

    def build_error(self, name: str) -> errors.MerlintrestleError:
        """Returns the error for a malformed value, whose name it states."""
        if self._secret:
            return self._error(f"{self.table}: {name} is malformed")
        row_name = self._fields.get("name", "")
        return self._error(
            f"{self.table} {decoding.show_value(row_name)}: {name} is"
            f" {decoding.show_value(self._fields.get(name))}"
        )


def _is_encodable(value: str) -> bool:
    """Returns whether a text is not empty and has a UTF-8 form.

    JSON allows lone surrogates, which have none.
    """
    if not value:
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def parse_object(
    value: bytes,
    name: str,
    error: type[errors.MerlintrestleError] = errors.SnapshotError,
    max_bytes: int = _MAX_VALUE_BYTES,
) -> dict[str, Any]:
    """Decodes a JSON object within the bounds of `decoding.decode_json`.

    Args:
        value: The encoded object.
        name: Name of the value, for error messages.
        error: Class of the error if it is not a JSON object.
        max_bytes: Maximum size of the encoded object.
    """
    try:
        fields = decoding.decode_json(value, max_bytes)
    except decoding.MalformedValueError as cause:
        raise error(f"{name}: {cause}") from cause
    if not isinstance(fields, dict):
        raise error(f"{name}: it is not an object")
    return fields


def parse_record(value: bytes, name: str) -> dict[str, Any]:
    """Decodes the JSON object of a small record, such as an order.

    Args:
        value: The encoded object.
        name: Name of the record, for error messages.

    Raises:
        errors.CorruptRecordError: It is not such an object.
    """
    return parse_object(
        value, name, errors.CorruptRecordError, _MAX_RECORD_BYTES
    )


def read_table(tables: Mapping[str, Any], name: str) -> list[dict[str, Any]]:
    """Returns the rows of a table as objects, without values that are null.

    A table is an object with a list of columns (names) and a list of rows, each
    of which is a list of values in the order of the columns.

    Raises:
        errors.SnapshotError: If the table has no lists of columns and rows, or
            if the length of a row differs from that of the columns.
    """
    table = tables.get(name)
    if not isinstance(table, dict):
        raise errors.SnapshotError(f"configuration: {name} is not an object")
    columns, rows = table.get("columns"), table.get("rows")
    if not isinstance(columns, list) or not isinstance(rows, list):
        raise errors.SnapshotError(f"{name}: columns and rows are not lists")
    if not all(isinstance(column, str) for column in columns):
        raise errors.SnapshotError(f"{name}: a column is not text")
    objects = []
    for number, row in enumerate(rows, 1):
        if not isinstance(row, list) or len(row) != len(columns):
            # The values of the row are not stated, as they may be secret.
            raise errors.SnapshotError(f"{name}: row {number} does not fit")
        pairs = zip(columns, row, strict=True)
        objects.append(
            {key: value for key, value in pairs if value is not None}
        )
    return objects


def parse_response(text: bytes, status: int) -> dict[str, Any]:
    """Decodes the JSON object in a response of the store; empty if absent.

    Args:
        text: Body of the response.
        status: Its status, for error messages.

    Raises:
        errors.CorruptRecordError: The body is not a JSON object.
    """
    if not text:
        return {}
    return parse_object(
        text,
        f"store: an answer {status}",
        errors.CorruptRecordError,
        MAX_RESPONSE_BYTES,
    )


def get_field(fields: Mapping[str, Any], name: str, kind: type) -> Any:
    """Returns a field of a response of the store.

    Raises:
        errors.CorruptRecordError: The field is absent or of another type, or a
            number that is no revision or lease.
    """
    value = fields.get(name)
    if type(value) is int and not 0 <= value <= _MAX_STORE_NUMBER:
        raise errors.CorruptRecordError(f"store: {name!r} is out of range")
    if type(value) is not kind:
        # Not the value: it may contain API keys in plain text.
        raise errors.CorruptRecordError(
            f"store: {name!r} is of type {type(value).__name__}"
        )
    return value


def get_key(fields: Any) -> str:
    """Returns the key of an item of the store, which later calls may contain.

    Raises:
        errors.CorruptRecordError: The item is no object or has no such key.
    """
    if not isinstance(fields, dict):
        kind = type(fields).__name__
        raise errors.CorruptRecordError(f"store: an item is of type {kind}")
    key = get_field(fields, "key", str)
    if len(key) > _MAX_KEY_CHARACTERS or not key.isprintable():
        shown = decoding.show_value(key)
        raise errors.CorruptRecordError(f"store: a key is {shown}")
    return key
