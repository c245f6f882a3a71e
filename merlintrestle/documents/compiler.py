"""Compiler from the documents of all organisations to a snapshot.

The snapshot depends only on the version and the documents, so every daemon
that compiles them gets the same bytes. Daemons compare digests to verify this.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from merlintrestle import errors
from merlintrestle.documents import loader
from merlintrestle.documents import snapshot
from merlintrestle.schema import document_pb2

if TYPE_CHECKING:
    from collections.abc import Mapping

    from google.protobuf import message

# A snapshot is sent as a single gRPC message, which may have 4 MiB by default.
# This limit counts only names and values, not the encoding around them.
MAX_SNAPSHOT_BYTES = 3_500_000


def serialize_message(value: message.Message) -> bytes:
    """Serializes a message; equal messages give the same bytes."""
    return value.SerializeToString(deterministic=True)


def compute_document_digest(document: document_pb2.Document) -> bytes:
    """Returns the SHA-256 that identifies a stored document."""
    return hashlib.sha256(serialize_message(document)).digest()


def compile_snapshot(
    version: int,
    documents: Mapping[str, document_pb2.Document],
    base: snapshot.Snapshot | None = None,
) -> snapshot.Snapshot:
    """Compiles documents that have passed `checks.check_documents`.

    Args:
        version: Number of the version.
        documents: The document of each organisation by its name.
        base: An earlier snapshot; its unchanged resources are not parsed
            again.

    Raises:
        errors.SnapshotError: The documents are inconsistent, or the snapshot
            is larger than `MAX_SNAPSHOT_BYTES`.
    """
    resources: dict[str, bytes] = {}
    class_names: dict[str, list[str]] = {}
    for organisation, document in documents.items():
        if document.budget_slots:
            resources[snapshot.BUDGET_RESOURCE] = serialize_message(
                document_pb2.BudgetResource(slots=document.budget_slots)
            )
        for workspace in document.workspaces:
            resources[snapshot.build_workspace_name(workspace.name)] = (
                serialize_message(_build_workspace(workspace))
            )
        for service in document.services:
            names = class_names.setdefault(service.name, [])
            for name, value in _compile_classes(organisation, service):
                names.append(name)
                resources[name] = value
    for organisation, document in documents.items():
        for service in document.services:
            if not service.owner:
                _add_service(resources, organisation, service, class_names)
    size = sum(len(name) + len(value) for name, value in resources.items())
    if size > MAX_SNAPSHOT_BYTES:
        raise errors.SnapshotError(
            f"the snapshot has {size} bytes; {MAX_SNAPSHOT_BYTES} are allowed"
        )
    return loader.load_snapshot(version, resources, base)


def _build_workspace(
    workspace: document_pb2.WorkspaceTarget,
) -> document_pb2.WorkspaceResource:
    return document_pb2.WorkspaceResource(
        name=workspace.name,
        key_digests=workspace.key_digests,
        importance=workspace.importance,
        rate=workspace.rate,
        burst=workspace.burst,
    )


def _compile_classes(
    organisation: str, service: document_pb2.ServiceTarget
) -> list[tuple[str, bytes]]:
    return [
        (
            snapshot.build_class_name(service.name, organisation, target.name),
            serialize_message(
                document_pb2.ClassResource(
                    service=service.name,
                    organisation=organisation,
                    target=target,
                )
            ),
        )
        for target in service.classes
    ]


def _add_service(
    resources: dict[str, bytes],
    organisation: str,
    service: document_pb2.ServiceTarget,
    class_names: Mapping[str, list[str]],
) -> None:
    name = snapshot.build_service_name(service.name)
    if name in resources:
        raise errors.SnapshotError(f"service {service.name} has two owners")
    resources[name] = serialize_message(
        document_pb2.ServiceResource(
            name=service.name,
            owner=organisation,
            shared=service.shared,
            calls=sorted(service.calls),
            classes=sorted(class_names[service.name]),
        )
    )
