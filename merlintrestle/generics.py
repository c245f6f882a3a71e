"""Generic functions whose implementation for a class is looked up once.

`functools.singledispatch` finds it anew at each call, by way of a dictionary
of weak references. On the way of a request that happens some eight times.
"""

from __future__ import annotations

import functools
from typing import Any, TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

_T = TypeVar("_T")


def cache_dispatch(
    generic: functools._SingleDispatchCallable[_T],
) -> functools._SingleDispatchCallable[_T]:
    """Returns a generic function that remembers its choices.

    The classes that it is called with are few and last as long as the
    program; they are kept.

    Args:
        generic: What `functools.singledispatch` made.
    """
    chosen: dict[type, Callable[..., _T]] = {}

    @functools.wraps(generic)
    def call(first: object, *others: Any) -> _T:
        implementation = chosen.get(first.__class__)
        if implementation is None:
            implementation = generic.dispatch(first.__class__)
            chosen[first.__class__] = implementation
        return implementation(first, *others)

    def register(*arguments: Any, **options: Any) -> Any:
        chosen.clear()
        return generic.register(*arguments, **options)

    # `wraps` has copied the attributes of the generic function; only what
    # changes the choices is another one.
    call.register = register  # type: ignore[attr-defined]
    return call  # type: ignore[return-value]
