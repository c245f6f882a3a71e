"""Rendezvous hashing (highest random weight)."""

from __future__ import annotations

import hashlib
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def choose(key: str, candidates: Iterable[str], count: int) -> list[str]:
    """Returns the `count` candidates with the highest weights, in order.

    All daemons that know the same candidates choose the same ones. Adding or
    removing a candidate changes only the results that contain it, which are
    those of few keys.
    """
    return heapq.nlargest(
        count, candidates, key=lambda name: (weigh(key, name), name)
    )


def build_neighbours_key(member_id: str) -> str:
    """Returns the rendezvous key of a member's neighbours.

    The member's witnesses are chosen by the same key (see `versions.marks`), so
    that marks are sent to neighbours, over the connections of existing links.
    """
    return f"neighbours/{member_id}"


def weigh(key: str, name: str) -> int:
    """Returns the 64-bit weight of a candidate for a key."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")
