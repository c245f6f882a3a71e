"""Encoding of classes of work for requests between daemons.

A class is sent with its targets, so that the daemon of an upstream treats a
call as the daemon that sent it does, whichever version it runs.
"""

from __future__ import annotations

import functools
import json

from merlintrestle.documents import snapshot

# Entries of each cache; there are a few classes per route and version.
_MAX_CACHED_PLANS = 4096


@functools.lru_cache(_MAX_CACHED_PLANS)
def encode_plan(plan: snapshot.ClassPlan) -> str:
    """Returns the header value that describes a class of work."""
    return json.dumps(plan, separators=(",", ":"))


@functools.lru_cache(_MAX_CACHED_PLANS)
def decode_plan(text: str) -> snapshot.ClassPlan | None:
    """Returns the class of work in a header; None if it is malformed."""
    try:
        fields = json.loads(text)
    except ValueError:
        return None
    if not isinstance(fields, list) or len(fields) != len(_FIELD_TYPES):
        return None
    if any(
        type(field) not in _FIELD_TYPES[i] for i, field in enumerate(fields)
    ):
        return None
    return snapshot.ClassPlan(*fields)


def _list_field_types() -> tuple[tuple[type, ...], ...]:
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
