"""TOML tables that check the types and ranges of their keys."""

from __future__ import annotations

import math
import re
from typing import Any, NamedTuple, TYPE_CHECKING, TypeVar

from merlintrestle import errors
from merlintrestle.schema import document_pb2
from merlintrestle.schema import settings_pb2

# Reserved organisation; its document declares the shared capacity budget and
# the workspaces.
MESH_ORGANISATION = "mesh"
# Importance of a class of work that declares none: 1 is shed first, 5 last.
DEFAULT_IMPORTANCE = 3

if TYPE_CHECKING:
    from google.protobuf import message

# Pattern of the names of organisations, services and classes of work.
NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "*")
_DIGEST = re.compile(r"[0-9a-fA-F]{64}")
# Enough to tell 10,000 digests apart.
_SHORT_DIGEST_DIGITS = 12
# A path prefix of up to 200 characters.
_PATH = re.compile(r"/[A-Za-z0-9._~!$&'()*+,;=:@/-]{0,199}")
_MAX_LIST_ENTRIES = 1000
_MISSING: Any = object()

T = TypeVar("T")


class Range(NamedTuple):
    """Inclusive bounds of a number.

    Attributes:
        low: Minimum value.
        high: Maximum value.
        unit: Unit to show in messages; empty for none.
    """

    low: float
    high: float
    unit: str = ""

    def __str__(self) -> str:
        return f"{self.low:.15g} to {self.high:.15g} {self.unit}".rstrip()


# Values of the key "size" by the word in the document.
SIZES = {"small": document_pb2.SMALL, "large": document_pb2.LARGE}


def get_declared_range(message_type: type[message.Message], key: str) -> Range:
    """Returns the bounds that the schema declares for a numeric key."""
    options: Any = message_type.DESCRIPTOR.fields_by_name[key].GetOptions()
    setting = options.Extensions[settings_pb2.setting]
    return Range(setting.min, setting.max, setting.unit)


def format_digest(digest: bytes) -> str:
    """Returns the short form of the digest of an API key."""
    return digest.hex()[:_SHORT_DIGEST_DIGITS] + "..."


class Table:
    """A TOML table that checks each key when it is read.

    A missing key has the default of the method that reads it. Without a
    default, the key is required.

    A method that finds a problem adds a finding and returns a placeholder (the
    default, or an empty or zero value), so that a single pass reports every
    finding. The values must not be used if there are findings.
    """

    def __init__(
        self,
        values: dict[str, Any],
        file: str,
        path: str,
        findings: list[errors.Finding],
        hides_values: bool = False,
    ):
        """Initializes the table.

        Args:
            values: The table as parsed by `tomllib`.
            file: Name of the file.
            path: Dotted path of this table; empty for the root table.
            findings: List to which findings are added.
            hides_values: Whether findings contain no values, as any of them may
                be an API key in the wrong place.
        """
        self._hides_values = hides_values
        self._unread = dict(values)
        self._file = file
        self._path = path
        self._findings = findings

    def report(self, key: str, text: str) -> None:
        """Adds a finding about a key of this table."""
        path = ".".join(name for name in (self._path, key) if name)
        self._findings.append(errors.Finding(f"{self._file}: {path}", text))

    def report_unknown_keys(self) -> None:
        """Reports each key that has not been read."""
        for key in self._unread:
            self.report(_format_key(key), "unknown key.")

    def read_flag(self, key: str, default: bool | None = None) -> bool:
        """Reads a boolean."""
        value = self._read_value(key, bool, "true or false", default)
        return bool(value)

    def read_integer(
        self, key: str, allowed: Range, default: int | None = None
    ) -> int:
        """Reads an integer within a range."""
        value = self._read_value(
            key, int, f"a whole number, {allowed}", default
        )
        if value is None or value == default:
            return default or 0
        return int(self._check_range(key, value, allowed))

    def read_number(
        self, key: str, allowed: Range, default: float | None = None
    ) -> float:
        """Reads a float or an integer within a range."""
        value = self._read_value(
            key, (int, float), f"a number, {allowed}", default
        )
        if value is None:
            return 0.0
        return float(self._check_range(key, value, allowed))

    def read_choice(self, key: str, choices: dict[str, T], default: str) -> T:
        """Reads a word and returns the value that `choices` has for it."""
        words = " or ".join(repr(word) for word in choices)
        value = self._read_value(key, str, words, default)
        if value not in choices:
            if value is not None:
                self.report(key, f"{self._format_value(value)} is not {words}.")
            return choices[default]
        return choices[value]

    def read_name(self, key: str, default: str | None = None) -> str:
        """Reads a name; returns an empty string if it is missing or invalid."""
        value = self._read_value(key, str, "a name", default)
        if not value:
            if value == "" and default is None:
                self.report(key, "is empty.")
            return ""
        return value if self._check_name(key, value) else ""

    def read_names(self, key: str) -> list[str]:
        """Reads a list of names; returns an empty list if it is missing."""
        names = self._read_strings(key, "a list of names", [])
        return [name for name in names if self._check_name(key, name)]

    def read_patterns(self, key: str) -> list[str]:
        """Reads request patterns, each in the form "METHOD /path-prefix"."""
        expected = 'a list such as ["GET /tickets"]'
        present = key in self._unread
        patterns = self._read_strings(key, expected, None)
        if present and not patterns:
            self.report(key, f"is not {expected}.")
        return [
            pattern for pattern in patterns if self._check_pattern(key, pattern)
        ]

    def read_digests(self, key: str) -> list[bytes]:
        """Reads a list of SHA-256 digests in hex."""
        expected = "a list of digests that `merlintrestle key-digest` prints"
        digests = []
        for text in self._read_strings(key, expected, None):
            if _DIGEST.fullmatch(text):
                digests.append(bytes.fromhex(text))
            else:
                self.report(
                    key,
                    "has an entry that is not a digest of 64 hex digits:"
                    " `merlintrestle key-digest` makes one from a key,"
                    " `merlintrestle show --whole-digests` prints those in"
                    " force.",
                )
        return digests

    def read_table_list(self, key: str) -> list[Table]:
        """Reads an array of tables; returns [] if it is missing.

        The path of a table has its name, or else its place from 1 on. Its
        findings contain no values.
        """
        tables = []
        values = self._read_value(key, list, "an array of tables", [])
        for i, value in enumerate(values, 1):
            if not isinstance(value, dict):
                self.report(f"{key}[{i}]", "is not a table.")
                continue
            name = value.get("name")
            is_name = isinstance(name, str) and NAME.fullmatch(name)
            path = f"{key}.{name}" if is_name else f"{key}[{i}]"
            table_path = f"{self._path}.{path}" if self._path else path
            tables.append(
                Table(value, self._file, table_path, self._findings, True)
            )
        return tables

    def read_tables(self, key: str) -> dict[str, Table]:
        """Reads a table of named tables; returns {} if it is missing."""
        tables = {}
        for name, value in self._read_value(key, dict, "a table", {}).items():
            path = f"{key}.{_format_key(name)}"
            if not isinstance(value, dict):
                self.report(path, "is not a table.")
            elif self._check_name(path, name):
                table_path = f"{self._path}.{path}" if self._path else path
                tables[name] = Table(
                    value, self._file, table_path, self._findings
                )
        return tables

    def _read_value(
        self, key: str, value_type: Any, expected: str, default: Any
    ) -> Any:
        value = self._unread.pop(key, _MISSING)
        if value is _MISSING:
            if default is None:
                self.report(key, f"is required: {expected}.")
            return default
        # bool is a subclass of int in Python, but not a number here.
        if isinstance(value, bool) is not (
            value_type is bool
        ) or not isinstance(value, value_type):
            self.report(key, f"{self._format_value(value)} is not {expected}.")
            return default
        return value

    def _read_strings(
        self, key: str, expected: str, default: list[str] | None
    ) -> list[str]:
        values = self._read_value(key, list, expected, default) or []
        if len(values) > _MAX_LIST_ENTRIES:
            text = (
                f"has {len(values)} entries; {_MAX_LIST_ENTRIES} are allowed."
            )
            self.report(key, text)
            return []
        for value in values:
            if not isinstance(value, str):
                self.report(key, f"{self._format_value(value)} is not a text.")
        return [value for value in values if isinstance(value, str)]

    def _format_value(self, value: Any) -> str:
        return "its value" if self._hides_values else _format_value(value)

    def _check_range(self, key: str, value: float, allowed: Range) -> float:
        # Comparisons with NaN are false, so NaN is also rejected here.
        if allowed.low <= value <= allowed.high and math.isfinite(value):
            return value
        self.report(
            key, f"{self._format_value(value)} is not within {allowed}."
        )
        return 0

    def _check_name(self, key: str, name: str) -> bool:
        if NAME.fullmatch(name):
            return True
        text = (
            f"{self._format_value(name)} is not a name"
            " (a-z, 0-9 and '-', 63 at most)."
        )
        self.report(key, text)
        return False

    def _check_pattern(self, key: str, pattern: str) -> bool:
        method, _, path = pattern.partition(" ")
        if method not in _METHODS:
            text = (
                f"{self._format_value(pattern)} begins with none of"
                f" {', '.join(_METHODS)}."
            )
        elif not _PATH.fullmatch(path) or "//" in path or "/." in path:
            text = (
                f"{self._format_value(pattern)} has no plain path after"
                " its method."
            )
        else:
            return True
        self.report(key, text)
        return False


def _format_value(value: Any) -> str:
    """Returns a value as shown in a finding, at most 60 characters long."""
    try:
        text = repr(value)
    except ValueError:
        # Python does not convert integers with thousands of digits to text.
        return "a very large figure"
    return text if len(text) <= 60 else text[:57] + "..."


def _format_key(key: str) -> str:
    return key if NAME.fullmatch(key.replace("_", "-")) else _format_value(key)
