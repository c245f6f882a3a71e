"""Human-readable differences between two documents."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from merlintrestle.documents import fields
from merlintrestle.schema import document_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from google.protobuf import message


def list_differences(
    old: document_pb2.Document | None, new: document_pb2.Document | None
) -> list[str]:
    """Returns a line for each key, service, class and workspace that differs.

    An added ("+") or removed ("-") class is one line. An added or removed
    service has a line of its own, a line for each of its classes, and a line
    ("~") for each key that has a value. A changed service or class has a line
    ("~") for each key that differs.

    Workspaces are shown like classes; an added or removed digest of an API key
    has a line of its own, in short form.

    Args:
        old: The old document, or None if the organisation had none.
        new: The new document, or None if the document was withdrawn.
    """
    old_document = old or document_pb2.Document()
    new_document = new or document_pb2.Document()
    return [
        *_compare_keys("", old_document, new_document, skip=("organisation",)),
        *_compare_workspaces(old_document.workspaces, new_document.workspaces),
        *_compare_services(old_document.services, new_document.services),
    ]


def _compare_workspaces(
    old: Iterable[document_pb2.WorkspaceTarget],
    new: Iterable[document_pb2.WorkspaceTarget],
) -> Iterator[str]:
    old_by_name = {workspace.name: workspace for workspace in old}
    new_by_name = {workspace.name: workspace for workspace in new}
    empty = document_pb2.WorkspaceTarget()
    for name in sorted(old_by_name.keys() | new_by_name.keys()):
        path = f"workspaces.{name}"
        old_workspace = old_by_name.get(name, empty)
        new_workspace = new_by_name.get(name, empty)
        if name not in old_by_name:
            yield f"+ {path}: {_describe_workspace(new_workspace)}"
        elif name not in new_by_name:
            yield f"- {path}: {_describe_workspace(old_workspace)}"
        else:
            yield from _compare_keys(
                path + ".", old_workspace, new_workspace, skip=("key_digests",)
            )
        old_digests = set(old_workspace.key_digests)
        new_digests = set(new_workspace.key_digests)
        for digest in sorted(old_digests ^ new_digests):
            sign = "+" if digest in new_digests else "-"
            yield f"{sign} {path}.key_digests: {fields.format_digest(digest)}"


def _compare_services(
    old: Iterable[document_pb2.ServiceTarget],
    new: Iterable[document_pb2.ServiceTarget],
) -> Iterator[str]:
    old_by_name = {service.name: service for service in old}
    new_by_name = {service.name: service for service in new}
    empty = document_pb2.ServiceTarget()
    for name in sorted(old_by_name.keys() | new_by_name.keys()):
        path = f"services.{name}"
        if name not in old_by_name:
            yield f"+ {path}"
        elif name not in new_by_name:
            yield f"- {path}"
        old_service, new_service = (
            old_by_name.get(name, empty),
            new_by_name.get(name, empty),
        )
        yield from _compare_keys(
            path + ".", old_service, new_service, skip=("name",)
        )
        yield from _compare_classes(
            path, old_service.classes, new_service.classes
        )


def _compare_classes(
    path: str,
    old: Iterable[document_pb2.ClassTarget],
    new: Iterable[document_pb2.ClassTarget],
) -> Iterator[str]:
    old_by_name = {target.name: target for target in old}
    new_by_name = {target.name: target for target in new}
    for name in sorted(old_by_name.keys() | new_by_name.keys()):
        key = f"{path}.classes.{name}"
        if name not in old_by_name:
            yield f"+ {key}: {_describe_class(new_by_name[name])}"
        elif name not in new_by_name:
            yield f"- {key}: {_describe_class(old_by_name[name])}"
        else:
            yield from _compare_keys(
                key + ".", old_by_name[name], new_by_name[name]
            )


def _compare_keys(
    path: str,
    old: message.Message,
    new: message.Message,
    skip: tuple[str, ...] = (),
) -> Iterator[str]:
    """Compares the fields of two messages, except nested messages."""
    for field in type(old).DESCRIPTOR.fields:
        if field.name in skip or field.message_type is not None:
            continue
        old_text = _format_value(field, getattr(old, field.name))
        new_text = _format_value(field, getattr(new, field.name))
        if old_text != new_text:
            yield f"~ {path}{field.name}: {old_text} -> {new_text}"


def _describe_class(target: document_pb2.ClassTarget) -> str:
    repeatability = "repeatable" if target.repeatable else "not repeatable"
    return (
        f"{', '.join(target.match)}; {target.latency_ms} ms for"
        f" {target.share:.15g}, {repeatability}, {target.rate:.15g} calls/s x"
        f" {target.work_ms:.15g} ms"
    )


def _describe_workspace(workspace: document_pb2.WorkspaceTarget) -> str:
    quota = (
        f"{workspace.rate:.15g} calls/s, burst {workspace.burst:.15g}"
        if workspace.rate
        else "no quota"
    )
    importance = workspace.importance or "that of the class"
    return f"{quota}, importance {importance}"


def _format_value(field: Any, value: Any) -> str:
    if field.is_repeated:
        return "[" + ", ".join(value) + "]"
    if field.enum_type is not None:
        words = {number: word for word, number in fields.SIZES.items()}
        return words.get(value, "none")
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, float):
        return f"{value:.15g}"
    return str(value) or "none"
