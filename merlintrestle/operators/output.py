"""Formats results of commands as text or JSON."""

from __future__ import annotations

import dataclasses
import functools
import json
from typing import Any

from google.protobuf import message

from merlintrestle.operators import audit_trail
from merlintrestle.operators import text_format


def format_result(result: Any, is_json: bool) -> str:
    """Returns a result as text or JSON, without a trailing newline."""
    if is_json:
        json_object = {
            "result": _format_type_name(result),
            **_to_json(result),
        }
        return json.dumps(json_object, sort_keys=False)
    return "\n".join(text_format.format_text(result))


def _format_type_name(result: Any) -> str:
    """Returns the name of a result's class in lower case, with hyphens."""
    name = type(result).__name__
    return "".join(
        f"-{letter.lower()}" if letter.isupper() and i else letter.lower()
        for i, letter in enumerate(name)
    )


@functools.singledispatch
def _to_json(value: Any) -> Any:
    """Returns a value as a JSON value; fields of classes become keys."""
    if dataclasses.is_dataclass(value):
        return {
            field.name: _to_json(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    return value


@_to_json.register
def _(value: tuple) -> Any:
    if hasattr(value, "_asdict"):
        return {
            name: _to_json(field) for name, field in value._asdict().items()
        }
    return [_to_json(item) for item in value]


@_to_json.register
def _(value: message.Message) -> Any:
    # The only messages in results are the accepted changes in
    # `outcomes.LostRace`.
    return _to_json(audit_trail.describe_change(value, audit_trail.ACCEPTED))  # type: ignore[arg-type]
