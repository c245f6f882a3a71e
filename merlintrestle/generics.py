"""Generic functions that cache the implementation for each class.

`functools.singledispatch` looks it up in a dictionary of weak references at
each call, which would happen about eight times per request.
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
    """Returns a generic function that caches its implementations.

    The cache holds references to the classes of the first arguments; these are
    few and live as long as the process.

    Args:
        generic: A function decorated with `functools.singledispatch`.
    """
    cache: dict[type, Callable[..., _T]] = {}

    @functools.wraps(generic)
    def call(first: object, *rest: Any) -> _T:
        implementation = cache.get(first.__class__)
        if implementation is None:
            implementation = generic.dispatch(first.__class__)
            cache[first.__class__] = implementation
        return implementation(first, *rest)

    def register(*args: Any, **kwargs: Any) -> Any:
        cache.clear()
        return generic.register(*args, **kwargs)

    # `wraps` has copied the attributes of the generic function. `register` is
    # replaced, as it must clear the cache.
    call.register = register  # type: ignore[attr-defined]
    return call  # type: ignore[return-value]
