"""Writes a document as TOML that `reader` reads back equal."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from merlintrestle.documents import fields

if TYPE_CHECKING:
    from merlintrestle.schema import document_pb2


def write_document(document: document_pb2.Document) -> str:
    """Returns the TOML text of a document."""
    lines = [_pair("organisation", document.organisation)]
    if document.budget_slots:
        lines.append(_pair("budget_slots", document.budget_slots))
    for service in document.services:
        lines += ["", f"[services.{service.name}]"]
        if service.owner:
            lines.append(_pair("owner", service.owner))
        if service.calls:
            lines.append(_pair("calls", list(service.calls)))
        if service.shared:
            lines.append(_pair("shared", True))
        for target in service.classes:
            lines += _write_class(service.name, target)
    return "\n".join(lines) + "\n"


def _write_class(service: str, target: document_pb2.ClassTarget) -> list[str]:
    sizes = {number: word for word, number in fields.SIZES.items()}
    lines = [
        "",
        f"[services.{service}.classes.{target.name}]",
        _pair("match", list(target.match)),
        _pair("latency_ms", target.latency_ms),
        _pair("share", target.share),
        _pair("availability", target.availability),
        _pair("repeatable", target.repeatable),
        _pair("importance", target.importance),
        _pair("rate", target.rate),
        _pair("work_ms", target.work_ms),
        _pair("size", sizes[target.size]),
        _pair("deadline_ms", target.deadline_ms),
    ]
    if target.key_required is target.repeatable:
        lines.append(_pair("key_required", target.key_required))
    return lines


def _pair(key: str, value: Any) -> str:
    return f"{key} = {_format(value)}"


def _format(value: Any) -> str:
    # Texts are names and matches, which need no escapes.
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return "[" + ", ".join(_format(part) for part in value) + "]"
    if isinstance(value, str):
        return f'"{value}"'
    return repr(value)
