"""Results that commands report besides the outcomes of changes."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle.operators import audit_trail
    from merlintrestle.operators import status_results


class StoreFailure(NamedTuple):
    """The store did not do what was asked.

    Attributes:
        reason: What its client said.
        is_corrupt: It answered, but a record in it cannot be used.
    """

    reason: str
    is_corrupt: bool


class Validated(NamedTuple):
    """The files have no findings.

    Attributes:
        files: Their names.
        checked_against: What their references and budget were checked
            against; empty: nothing.
    """

    files: tuple[str, ...]
    checked_against: str


class Listing(NamedTuple):
    """Attempts of the audit trail or the history.

    Attributes:
        attempts: Newest first.
        is_whole: False if some at the newest versions are left out.
    """

    attempts: tuple[audit_trail.Attempt, ...]
    is_whole: bool


class Difference(NamedTuple):
    """What a file would change.

    Attributes:
        organisation: Whose document it is.
        version: The version in force that it is compared with.
        lines: One for each key that differs.
    """

    organisation: str
    version: int
    lines: tuple[str, ...]


class Shown(NamedTuple):
    """The accepted documents.

    Attributes:
        version: The accepted version.
        documents: TOML text of each organisation's document.
    """

    version: int
    documents: dict[str, str]


class RolloutShown(NamedTuple):
    """How far a roll-out has come.

    Attributes:
        service: Its service.
        version: Version that it is to.
        state: "ordered", "running", "complete" or "rolled back".
        number: Its number; a later one is greater.
    """

    service: str
    version: str
    state: str
    number: int


class RolloutRace(NamedTuple):
    """Another operator ordered a roll-out at the same time.

    Attributes:
        service: Its service.
    """

    service: str


class RolloutAttempt(NamedTuple):
    """What an operator tried with a roll-out.

    Attributes:
        at: When (ISO 8601, UTC).
        operator: Who.
        action: "start" or "abort".
        version: Version that it is to.
        refusals: Why it was refused.
    """

    at: str
    operator: str
    action: str
    version: str
    refusals: tuple[str, ...]


class RolloutHistory(NamedTuple):
    """What operators tried with roll-outs of a service.

    Attributes:
        service: The service.
        attempts: Newest last.
    """

    service: str
    attempts: tuple[RolloutAttempt, ...]


class Watched(NamedTuple):
    """One round of watching.

    Attributes:
        at: When it was (ISO 8601, UTC).
        accepted: Changes accepted since the round before, newest first.
        status: What store and fleet say.
    """

    at: str
    accepted: tuple[audit_trail.Attempt, ...]
    status: status_results.Status
