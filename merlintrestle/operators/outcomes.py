"""Outcomes of a proposed change."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle import errors
    from merlintrestle.operators import status_results
    from merlintrestle.schema import document_pb2


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The change was accepted and created a version.

    Attributes:
        version: The new version.
        digest: Digest of its snapshot, in hex.
        change_id: Id of the change.
        differences: Lines that describe what the change changed, truncated as
            in its audit record.
        in_force: Whether the daemons run the version; None if the operator did
            not wait for it.
    """

    version: int
    digest: str
    change_id: str
    differences: tuple[str, ...]
    in_force: status_results.InForce | None = None


@dataclasses.dataclass(frozen=True)
class Unchanged:
    """The accepted document is already the proposed one.

    Attributes:
        version: The accepted version.
        digest: Digest of its snapshot, in hex.
        in_force: Whether the daemons run the version; None if the operator did
            not wait for it.
    """

    version: int
    digest: str
    in_force: status_results.InForce | None = None


@dataclasses.dataclass(frozen=True)
class Refused:
    """The change, or other input of a command, is invalid.

    Nothing was changed.

    Attributes:
        findings: The reasons why it is invalid.
    """

    findings: tuple[errors.Finding, ...]


@dataclasses.dataclass(frozen=True)
class LostRace:
    """Another change was accepted first; nothing was changed by this one.

    Usually, the other change is one of the same organisation. After
    `changes.MAX_ATTEMPTS` attempts, it is the newest one of any organisation.

    Attributes:
        version: The accepted version.
        by: The other change; None if its record was not found.
        differences: Lines that describe how the organisation's document was
            changed; empty after `changes.MAX_ATTEMPTS` attempts. If the change
            was accepted before the proposal was made, these are the truncated
            lines of its audit record.
    """

    version: int
    by: document_pb2.Change | None
    differences: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Undecided:
    """The store did not answer; whether the change was accepted is unknown.

    The audit trail shows "outcome unknown" for it until its version has been
    created, by this change or by another one.

    Attributes:
        version: The version that the change creates if it is accepted.
        change_id: Id of the change, as shown in the audit trail.
        reason: Error message of the store's client.
    """

    version: int
    change_id: str
    reason: str


Outcome = Accepted | Unchanged | Refused | LostRace | Undecided
