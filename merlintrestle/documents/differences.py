"""What differs between two documents, as lines for people."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from google.protobuf import json_format

if TYPE_CHECKING:
    from merlintrestle.schema import document_pb2

_NAMED = ("services", "classes")


def list_differences(
    before: document_pb2.Document | None, after: document_pb2.Document | None
) -> list[str]:
    """Returns one line for each key that differs, sorted by key.

    Args:
        before: The older document; None: there was none.
        after: The newer document; None: it was withdrawn.
    """
    old = _flatten(_to_tree(before), "")
    new = _flatten(_to_tree(after), "")
    lines = []
    for key in sorted(old.keys() | new.keys()):
        if key not in old:
            lines.append(f"+ {key} = {new[key]}")
        elif key not in new:
            lines.append(f"- {key} = {old[key]}")
        elif old[key] != new[key]:
            lines.append(f"~ {key}: {old[key]} -> {new[key]}")
    return lines


def _to_tree(document: document_pb2.Document | None) -> dict[str, Any]:
    if document is None:
        return {}
    return json_format.MessageToDict(
        document,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )


def _flatten(tree: dict[str, Any], path: str) -> dict[str, str]:
    """Returns the values of a document by their dotted key."""
    found: dict[str, str] = {}
    for key, value in tree.items():
        if key in _NAMED:
            for part in value:
                name = part.pop("name")
                found.update(_flatten(part, f"{path}{key}.{name}."))
        else:
            found[path + key] = _show(value)
    return found


def _show(value: Any) -> str:
    if isinstance(value, list):
        return "[" + ", ".join(value) + "]"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, float):
        return f"{value:.15g}"
    return str(value).lower() if value in ("SMALL", "LARGE") else str(value)
