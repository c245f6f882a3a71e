"""Encoding of classes of work in requests between daemons.

A class of work is sent with its targets, so that both daemons apply the same
targets to a call, even if they run different versions.
"""

from __future__ import annotations

import functools
import json
from typing import Any

from merlintrestle import decoding
from merlintrestle.documents import snapshot

# Entries of each cache. There are only a few classes of work per route and
# version.
_MAX_CACHED_PLANS = 4096
# Longest header that the HTTP library accepts by default.
_MAX_PLAN_CHARACTERS = 8190
# Largest number in a plan; all numbers are 0 or more.
_MAX_NUMBER = 1e12
# Precedes the importance in the name of a plan whose importance was replaced;
# names of classes do not contain it.
_IMPORTANCE_SEPARATOR = "+w"


@functools.lru_cache(_MAX_CACHED_PLANS)
def encode_plan(plan: snapshot.ClassPlan) -> str:
    """Returns the header value for a class of work."""
    return json.dumps(plan, separators=(",", ":"))


@functools.lru_cache(_MAX_CACHED_PLANS)
def decode_plan(text: str) -> snapshot.ClassPlan | None:
    """Returns the class of work in a header value; None if malformed."""
    try:
        fields = decoding.decode_json(text, _MAX_PLAN_CHARACTERS)
    except decoding.MalformedValueError:
        fields = None
    if not _is_plan(fields):
        decoding.report_refused("class of work", text)
        return None
    return snapshot.ClassPlan(*fields)


def _is_plan(fields: Any) -> bool:
    """Returns whether decoded fields have the types and ranges of a plan."""
    if not isinstance(fields, list) or len(fields) != len(_FIELD_TYPES):
        return False
    return all(
        type(field) in types
        and (type(field) in (str, bool) or 0 <= field <= _MAX_NUMBER)
        for field, types in zip(fields, _FIELD_TYPES, strict=True)
    )


@functools.lru_cache(_MAX_CACHED_PLANS)
def replace_importance(
    plan: snapshot.ClassPlan, importance: int
) -> snapshot.ClassPlan:
    """Returns the plan of the calls of a class with another importance.

    It has another name, because there is one queue for each name and all calls
    in a queue have the same importance.
    """
    if importance == plan.importance:
        return plan
    return plan._replace(
        name=f"{plan.name}{_IMPORTANCE_SEPARATOR}{importance}",
        importance=importance,
    )


def get_class_name(plan: snapshot.ClassPlan) -> str:
    """Returns the name of a plan's class as the configuration states it."""
    return plan.name.partition(_IMPORTANCE_SEPARATOR)[0]


def _list_field_types() -> tuple[tuple[type, ...], ...]:
    """Returns the JSON types that each field of a class of work may have."""
    types_by_name: dict[str, tuple[type, ...]] = {
        "str": (str,),
        "bool": (bool,),
        "int": (int,),
        "float": (float, int),
    }
    annotations = snapshot.ClassPlan.__annotations__.values()
    return tuple(
        types_by_name[annotation.__forward_arg__] for annotation in annotations
    )


_FIELD_TYPES = _list_field_types()
