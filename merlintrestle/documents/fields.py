"""Typed reading of the keys of a target document, with their ranges."""

from __future__ import annotations

import math
import re
from typing import Any, NamedTuple, TYPE_CHECKING, TypeVar

from merlintrestle import errors
from merlintrestle.schema import document_pb2
from merlintrestle.schema import settings_pb2

MESH_ORGANISATION = "mesh"
DEFAULT_IMPORTANCE = 3

if TYPE_CHECKING:
    from google.protobuf import message

# Names of organisations, services and classes of work.
NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "*")
_PATH = re.compile(r"/[A-Za-z0-9._~!$&'()*+,;=:@/-]{0,199}")
_MAX_LISTED = 1000
_MISSING: Any = object()

T = TypeVar("T")


class Range(NamedTuple):
    """Inclusive bounds of a figure.

    Attributes:
        low: Least value.
        high: Greatest value.
        unit: Unit, for people; empty: none.
    """

    low: float
    high: float
    unit: str = ""

    def __str__(self) -> str:
        return f"{self.low:.15g} to {self.high:.15g} {self.unit}".rstrip()


SIZES = {"small": document_pb2.SMALL, "large": document_pb2.LARGE}


def read_range(kind: type[message.Message], key: str) -> Range:
    """Returns the bounds that the schema gives a figure."""
    options: Any = kind.DESCRIPTOR.fields_by_name[key].GetOptions()
    rule = options.Extensions[settings_pb2.setting]
    return Range(rule.min, rule.max, rule.unit)


class Table:
    """One TOML table; reading a key reports what is wrong with it.

    A reader that meets a finding returns a neutral value and goes on, so that
    one run reports every finding.
    """

    def __init__(
        self,
        values: dict[str, Any],
        file: str,
        path: str,
        findings: list[errors.Finding],
    ):
        """Sets what is read.

        Args:
            values: The table as `tomllib` gives it.
            file: Name of the file.
            path: Dotted path of this table; empty: the root.
            findings: List to which findings are added.
        """
        self._rest = dict(values)
        self._file = file
        self._path = path
        self._findings = findings

    def report(self, key: str, text: str) -> None:
        """Adds a finding about a key of this table."""
        path = ".".join(part for part in (self._path, key) if part)
        self._findings.append(errors.Finding(f"{self._file}: {path}", text))

    def refuse_rest(self) -> None:
        """Reports every key that nobody took."""
        for key in self._rest:
            self.report(_show_key(key), "unknown key.")

    def take_flag(self, key: str, default: bool | None = None) -> bool:
        """Reads true or false."""
        value = self._take(key, bool, "true or false", default)
        return bool(value)

    def take_integer(
        self, key: str, allowed: Range, default: int | None = None
    ) -> int:
        """Reads a whole number within a range."""
        value = self._take(key, int, f"a whole number, {allowed}", default)
        if value is None or value == default:
            return default or 0
        return int(self._keep_range(key, value, allowed))

    def take_number(self, key: str, allowed: Range) -> float:
        """Reads a number within a range; whole numbers count too."""
        value = self._take(key, (int, float), f"a number, {allowed}", None)
        if value is None:
            return 0.0
        return float(self._keep_range(key, value, allowed))

    def take_choice(self, key: str, choices: dict[str, T], default: str) -> T:
        """Reads one of some words and returns what it stands for."""
        words = " or ".join(repr(word) for word in choices)
        value = self._take(key, str, words, default)
        if value not in choices:
            if value is not None:
                self.report(key, f"{_show(value)} is not {words}.")
            return choices[default]
        return choices[value]

    def take_name(self, key: str, default: str | None = None) -> str:
        """Reads a name; empty where it is absent or wrong."""
        value = self._take(key, str, "a name", default)
        if not value:
            if value == "" and default is None:
                self.report(key, "is empty.")
            return ""
        return value if self._keep_name(key, value) else ""

    def take_names(self, key: str) -> list[str]:
        """Reads a list of names; absent: empty."""
        names = self._take_texts(key, "a list of names", [])
        return [name for name in names if self._keep_name(key, name)]

    def take_matches(self, key: str) -> list[str]:
        """Reads the list of "METHOD /path-prefix" that a class has."""
        wanted = 'a list such as ["GET /tickets"]'
        given = key in self._rest
        matches = self._take_texts(key, wanted, None)
        if given and not matches:
            self.report(key, f"is not {wanted}.")
        return [match for match in matches if self._keep_match(key, match)]

    def take_tables(self, key: str) -> dict[str, Table]:
        """Reads a table of named tables; absent: empty."""
        found = {}
        for name, value in self._take(key, dict, "a table", {}).items():
            path = f"{key}.{_show_key(name)}"
            if not isinstance(value, dict):
                self.report(path, "is not a table.")
            elif self._keep_name(path, name):
                inner = f"{self._path}.{path}" if self._path else path
                found[name] = Table(value, self._file, inner, self._findings)
        return found

    def _take(self, key: str, kind: Any, wanted: str, default: Any) -> Any:
        value = self._rest.pop(key, _MISSING)
        if value is _MISSING:
            if default is None:
                self.report(key, f"is required: {wanted}.")
            return default
        # bool is a kind of int in Python, but never a figure here.
        if isinstance(value, bool) is not (kind is bool) or not isinstance(
            value, kind
        ):
            self.report(key, f"{_show(value)} is not {wanted}.")
            return default
        return value

    def _take_texts(
        self, key: str, wanted: str, default: list[str] | None
    ) -> list[str]:
        values = self._take(key, list, wanted, default) or []
        if len(values) > _MAX_LISTED:
            text = f"has {len(values)} entries; {_MAX_LISTED} are allowed."
            self.report(key, text)
            return []
        for value in values:
            if not isinstance(value, str):
                self.report(key, f"{_show(value)} is not a text.")
        return [value for value in values if isinstance(value, str)]

    def _keep_range(self, key: str, value: float, allowed: Range) -> float:
        # A comparison with nan is false, so nan is refused here too.
        if allowed.low <= value <= allowed.high and math.isfinite(value):
            return value
        self.report(key, f"{_show(value)} is not within {allowed}.")
        return 0

    def _keep_name(self, key: str, name: str) -> bool:
        if NAME.fullmatch(name):
            return True
        text = f"{_show(name)} is not a name (a-z, 0-9 and '-', 63 at most)."
        self.report(key, text)
        return False

    def _keep_match(self, key: str, match: str) -> bool:
        method, _, path = match.partition(" ")
        if method not in _METHODS:
            text = f"{_show(match)} begins with none of {', '.join(_METHODS)}."
        elif not _PATH.fullmatch(path) or "//" in path or "/." in path:
            text = f"{_show(match)} has no plain path after its method."
        else:
            return True
        self.report(key, text)
        return False


def _show(value: Any) -> str:
    try:
        text = repr(value)
    except ValueError:
        # Python refuses to write out integers of several thousand digits.
        return "a very large figure"
    return text if len(text) <= 60 else text[:57] + "..."


def _show_key(key: str) -> str:
    return key if NAME.fullmatch(key.replace("_", "-")) else _show(key)
