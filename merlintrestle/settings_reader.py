"""Reader for the values of a settings file that collects all findings."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from merlintrestle import config
from merlintrestle import errors

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

_T = TypeVar("_T")


class SettingsReader:
    """Parses the values of a settings file and collects findings.

    Attributes:
        findings: Problems of the values that were read so far.
    """

    def __init__(self, values: Mapping[str, str]):
        """Initializes the reader with the unparsed values by name."""
        self.findings: list[errors.Finding] = []
        self._values = values

    def get_required(
        self, name: str, parse: Callable[[str], _T], default: _T
    ) -> _T:
        """Returns a value, or `default` if it is missing or malformed."""
        if name not in self._values:
            self.findings.append(errors.Finding(name, "is required."))
        return self.get_optional(name, parse, default)

    def get_optional(
        self, name: str, parse: Callable[[str], _T], default: _T
    ) -> _T:
        """Returns an optional value, or `default`."""
        if name not in self._values:
            return default
        try:
            return parse(self._values[name])
        except ValueError as error:
            self.findings.append(errors.Finding(name, str(error)))
            return default


def parse_ip(text: str) -> str:
    """Returns an IP address.

    Raises:
        ValueError: If the text is not an IP address.
    """
    if problem := config.check_address(f"{text}:1"):
        raise ValueError(problem)
    return text


def parse_number(text: str) -> float:
    """Returns a finite, non-negative number.

    Raises:
        ValueError: If the text is not such a number.
    """
    number = float(text)
    if not 0 <= number < float("inf"):
        raise ValueError(f"{text!r} is out of range.")
    return number
