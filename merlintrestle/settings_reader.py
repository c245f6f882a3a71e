"""Readings: values of a settings file, with all that is wrong with them."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from merlintrestle import config
from merlintrestle import errors

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

_T = TypeVar("_T")


class Reader:
    """Takes values out of the file and collects what is wrong with them.

    Attributes:
        findings: What was wrong with those taken so far.
    """

    def __init__(self, values: Mapping[str, str]):
        """Sets the texts, by name."""
        self.findings: list[errors.Finding] = []
        self._values = values

    def get(self, name: str, parse: Callable[[str], _T], lacking: _T) -> _T:
        """Returns a value; `lacking` where it is not there or malformed."""
        if name not in self._values:
            self.findings.append(errors.Finding(name, "is required."))
        return self.find(name, parse, lacking)

    def find(self, name: str, parse: Callable[[str], _T], lacking: _T) -> _T:
        """Returns a value that may be left out."""
        if name not in self._values:
            return lacking
        try:
            return parse(self._values[name])
        except ValueError as error:
            self.findings.append(errors.Finding(name, str(error)))
            return lacking


def parse_ip(text: str) -> str:
    """Returns an IP number.

    Raises:
        ValueError: The text is none.
    """
    if problem := config.check_address(f"{text}:1"):
        raise ValueError(problem)
    return text


def parse_number(text: str) -> float:
    """Returns a number, not negative and finite.

    Raises:
        ValueError: The text is none.
    """
    number = float(text)
    if not 0 <= number < float("inf"):
        raise ValueError(f"{text!r} is out of range.")
    return number
