"""Choosing members by rendezvous hashing (highest random weight)."""

from __future__ import annotations

import hashlib
import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def choose(key: str, candidates: Iterable[str], count: int) -> list[str]:
    """Returns the `count` candidates of highest weight for a key, in order.

    Everyone who knows the same candidates chooses the same ones, and one
    candidate more or less changes the choice of few keys.
    """
    return heapq.nlargest(
        count, candidates, key=lambda name: (weigh(key, name), name)
    )


def build_neighbours_key(member_id: str) -> str:
    """Returns the key by which a member's neighbours are chosen.

    The first of them are its witnesses too, whose links carry its marks.
    """
    return f"neighbours/{member_id}"


def weigh(key: str, name: str) -> int:
    """Returns the weight (64 bits) of one candidate for a key."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")
