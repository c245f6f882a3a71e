"""Results of commands, except the outcomes of changes."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle.operators import audit_trail
    from merlintrestle.operators import status_results


class StoreFailure(NamedTuple):
    """An operation of the store failed.

    Attributes:
        reason: Error message of the store's client.
        is_corrupt: Whether the store answered, but with a record that cannot be
            used.
    """

    reason: str
    is_corrupt: bool


class Validated(NamedTuple):
    """The files have no findings.

    Attributes:
        files: Names of the files.
        checked_against: Documents against which references and the budget were
            checked; empty if they were not checked.
    """

    files: tuple[str, ...]
    checked_against: str


class Listing(NamedTuple):
    """Attempts to change the configuration, as listed by a command.

    Attributes:
        attempts: The attempts, newest first.
        is_whole: Whether the list is complete; if not, attempts at the newest
            versions are missing.
    """

    attempts: tuple[audit_trail.Attempt, ...]
    is_whole: bool


class Difference(NamedTuple):
    """Difference between a file and the accepted document.

    Attributes:
        organisation: Organisation whose document the file is.
        version: The accepted version, with which the file is compared.
        lines: One line for each key, service and class of work that differs.
    """

    organisation: str
    version: int
    lines: tuple[str, ...]


class KeyDigest(NamedTuple):
    """The digest of an API key.

    Attributes:
        digest: SHA-256 digest in hex, as in a target document.
    """

    digest: str


class Shown(NamedTuple):
    """The accepted documents, of all organisations or of one.

    Attributes:
        version: The accepted version.
        documents: The documents as TOML, by organisation.
    """

    version: int
    documents: dict[str, str]


class RolloutShown(NamedTuple):
    """State of a roll-out.

    Attributes:
        service: Service of the roll-out.
        version: Version to which the roll-out moves the service.
        state: "ordered", "running", "complete" or "rolled back".
        number: Number of the roll-out; a later one has a greater number.
    """

    service: str
    version: str
    state: str
    number: int


class RolloutRace(NamedTuple):
    """Another operator ordered a roll-out of the service at the same time.

    The roll-out of this operator was not ordered.

    Attributes:
        service: Service of the roll-out.
    """

    service: str


class RolloutReplaced(NamedTuple):
    """Another operator changed a service's roll-out before it was aborted.

    The roll-out that was to be aborted may have been rolled back; one that was
    ordered since continues.

    Attributes:
        service: Service of the roll-outs.
    """

    service: str


class RolloutUndecided(NamedTuple):
    """The store did not answer; whether a roll-out was changed is unknown.

    Attributes:
        service: Service of the roll-out.
        reason: Error message of the store's client.
    """

    service: str
    reason: str


class RolloutAttempt(NamedTuple):
    """An operator's attempt to start or abort a roll-out.

    Attributes:
        at: Time of the attempt (ISO 8601, UTC).
        operator: Name of the operator.
        action: "start" or "abort".
        version: Version to which the roll-out moves the service.
        refusals: Reasons why the attempt was refused; empty if it was not.
    """

    at: str
    operator: str
    action: str
    version: str
    refusals: tuple[str, ...]


class RolloutHistory(NamedTuple):
    """Operators' attempts to start or abort roll-outs of a service.

    Attributes:
        service: The service.
        attempts: The attempts, newest last.
    """

    service: str
    attempts: tuple[RolloutAttempt, ...]


class Watched(NamedTuple):
    """A round of the command `watch`.

    Attributes:
        at: Time of the round (ISO 8601, UTC).
        accepted: Changes accepted since the last round in which the accepted
            version was known, newest first; empty in the first such round.
        status: Status of the store and the fleet.
    """

    at: str
    accepted: tuple[audit_trail.Attempt, ...]
    status: status_results.Status
