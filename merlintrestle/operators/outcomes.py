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
    """The change made a version.

    Attributes:
        version: That version.
        digest: Digest of its snapshot, in hex.
        change_id: Id of the change.
        differences: What it changed.
        in_force: How far it got, if the operator waited.
    """

    version: int
    digest: str
    change_id: str
    differences: tuple[str, ...]
    in_force: status_results.InForce | None = None


@dataclasses.dataclass(frozen=True)
class Unchanged:
    """The document in force is already the wanted one.

    Attributes:
        version: The version in which it stands.
        digest: Digest of its snapshot, in hex.
        in_force: How far it got, if the operator waited.
    """

    version: int
    digest: str
    in_force: status_results.InForce | None = None


@dataclasses.dataclass(frozen=True)
class Refused:
    """The change does not check out; nothing was changed.

    Attributes:
        findings: All findings.
    """

    findings: tuple[errors.Finding, ...]


@dataclasses.dataclass(frozen=True)
class LostRace:
    """Somebody else changed the same organisation; nothing was changed.

    Attributes:
        version: The version that stands now.
        by: The other's change; None: it was not found.
        differences: What changed under this operator.
    """

    version: int
    by: document_pb2.Change | None
    differences: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Undecided:
    """The store gave no answer to the write that would accept the change.

    Attributes:
        version: The version it would make.
        change_id: Id of the change, to look for in the audit trail.
        reason: What the store's client said.
    """

    version: int
    change_id: str
    reason: str


Outcome = Accepted | Unchanged | Refused | LostRace | Undecided
