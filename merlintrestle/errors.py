"""Exceptions of merlintrestle, and findings about invalid input."""

from __future__ import annotations

from typing import NamedTuple


class MerlintrestleError(Exception):
    """Base class of all errors of this package."""


class Finding(NamedTuple):
    """One problem of an input.

    Attributes:
        place: Where the problem is: a file with line or key, a flag or a
            variable.
        text: What is wrong and what is allowed, in one sentence.
    """

    place: str
    text: str

    def __str__(self) -> str:
        return f"{self.place}: {self.text}"


class InvalidInputError(MerlintrestleError):
    """An input was rejected as a whole.

    Attributes:
        findings: All problems of the input, in the order of their places.
    """

    def __init__(self, findings: list[Finding]):
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class StoreError(MerlintrestleError):
    """An operation of the platform store failed."""


class StoreUnavailableError(StoreError):
    """The store did not answer, and the operation had no effect."""


class StoreUnknownOutcomeError(StoreError):
    """A write was sent but not answered; it may have taken effect."""


class LostRaceError(MerlintrestleError):
    """Another writer was first; this write changed nothing."""


class UndecidedError(MerlintrestleError):
    """A repeated write got no answer; it may have taken effect, or may yet."""


class CorruptRecordError(StoreError):
    """A record of the store is missing or malformed."""


class SnapshotError(MerlintrestleError):
    """A snapshot or delta is invalid and is not used."""


class ReplacedVersionError(SnapshotError):
    """A version was replaced by a later one before it was compiled."""
