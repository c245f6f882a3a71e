"""Classes of work as daemons name them to each other.

The class travels with its targets, so that a daemon beside a backend server
treats a call as the daemon that took it in does, whichever version it runs.
"""

from __future__ import annotations

import functools
import json

from merlintrestle.documents import snapshot

# Classes remembered in either form; there are some per route and version.
_MAX_KNOWN = 4096


@functools.lru_cache(_MAX_KNOWN)
def encode_plan(plan: snapshot.ClassPlan) -> str:
    """Returns the text that names a class of work in a header."""
    return json.dumps(plan, separators=(",", ":"))


@functools.lru_cache(_MAX_KNOWN)
def decode_plan(text: str) -> snapshot.ClassPlan | None:
    """Returns the class of work that a header names; None: it names none."""
    try:
        fields = json.loads(text)
    except ValueError:
        return None
    if not isinstance(fields, list) or len(fields) != len(_KINDS):
        return None
    if any(type(field) not in _KINDS[i] for i, field in enumerate(fields)):
        return None
    return snapshot.ClassPlan(*fields)


def _list_kinds() -> tuple[tuple[type, ...], ...]:
    kinds: dict[str, tuple[type, ...]] = {
        "str": (str,),
        "bool": (bool,),
        "int": (int,),
        "float": (float, int),
    }
    annotations = snapshot.ClassPlan.__annotations__.values()
    return tuple(kinds[kind.__forward_arg__] for kind in annotations)


_KINDS = _list_kinds()
