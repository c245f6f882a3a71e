"""Forms of what the operators' program prints: text for people, JSON."""

from __future__ import annotations

import dataclasses
import functools
import json
from typing import Any

from google.protobuf import message

from merlintrestle.operators import audit_trail
from merlintrestle.operators import text_format


def format_result(result: Any, is_json: bool) -> str:
    """Returns the text of a result, without a last line end."""
    if is_json:
        tree = {"result": _name_result(result), **_to_tree(result)}
        return json.dumps(tree, sort_keys=False)
    return "\n".join(text_format.format_text(result))


def _name_result(result: Any) -> str:
    name = type(result).__name__
    return "".join(
        f"-{letter.lower()}" if letter.isupper() and i else letter.lower()
        for i, letter in enumerate(name)
    )


@functools.singledispatch
def _to_tree(value: Any) -> Any:
    if dataclasses.is_dataclass(value):
        return {
            field.name: _to_tree(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    return value


@_to_tree.register
def _(value: tuple) -> Any:
    if hasattr(value, "_asdict"):
        return {key: _to_tree(part) for key, part in value._asdict().items()}
    return [_to_tree(part) for part in value]


@_to_tree.register
def _(value: message.Message) -> Any:
    return _to_tree(audit_trail.describe_change(value, audit_trail.ACCEPTED))  # type: ignore[arg-type]
