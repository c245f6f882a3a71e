"""Writer for documents as TOML, which `reader` reads back unchanged."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from merlintrestle.documents import fields

if TYPE_CHECKING:
    from merlintrestle.schema import document_pb2


def write_document(
    document: document_pb2.Document, whole_digests: bool = True
) -> str:
    """Returns the TOML text of a document.

    Args:
        document: The document.
        whole_digests: Whether digests of API keys are whole; if not, they have
            their short form, which the reader refuses.
    """
    lines = [_format_pair("organisation", document.organisation)]
    if document.budget_slots:
        lines.append(_format_pair("budget_slots", document.budget_slots))
    for workspace in document.workspaces:
        lines += _write_workspace(workspace, whole_digests)
    for service in document.services:
        lines += ["", f"[services.{service.name}]"]
        if service.owner:
            lines.append(_format_pair("owner", service.owner))
        if service.calls:
            lines.append(_format_pair("calls", list(service.calls)))
        if service.shared:
            lines.append(_format_pair("shared", True))
        for target in service.classes:
            lines += _write_class(service.name, target)
    return "\n".join(lines) + "\n"


def _write_workspace(
    workspace: document_pb2.WorkspaceTarget, whole_digests: bool
) -> list[str]:
    format_digest = bytes.hex if whole_digests else fields.format_digest
    digests = [format_digest(digest) for digest in workspace.key_digests]
    lines = [
        "",
        "[[workspaces]]",
        _format_pair("name", workspace.name),
        _format_pair("key_digests", digests),
    ]
    lines += [
        _format_pair(key, value)
        for key, value in (
            ("importance", workspace.importance),
            ("rate", workspace.rate),
            ("burst", workspace.burst),
        )
        if value
    ]
    return lines


def _write_class(service: str, target: document_pb2.ClassTarget) -> list[str]:
    sizes = {number: word for word, number in fields.SIZES.items()}
    lines = [
        "",
        f"[services.{service}.classes.{target.name}]",
        _format_pair("match", list(target.match)),
        _format_pair("latency_ms", target.latency_ms),
        _format_pair("share", target.share),
        _format_pair("availability", target.availability),
        _format_pair("repeatable", target.repeatable),
        _format_pair("importance", target.importance),
        _format_pair("rate", target.rate),
        _format_pair("work_ms", target.work_ms),
        _format_pair("size", sizes[target.size]),
        _format_pair("deadline_ms", target.deadline_ms),
    ]
    # The reader's default is the opposite of `repeatable`.
    if target.key_required is target.repeatable:
        lines.append(_format_pair("key_required", target.key_required))
    if target.anonymous:
        lines.append(_format_pair("anonymous", True))
    return lines


def _format_pair(key: str, value: Any) -> str:
    return f"{key} = {_format_value(value)}"


def _format_value(value: Any) -> str:
    # Strings are names and request patterns, which need no escaping.
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return "[" + ", ".join(_format_value(entry) for entry in value) + "]"
    if isinstance(value, str):
        return f'"{value}"'
    return repr(value)
