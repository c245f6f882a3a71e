"""Generates download bodies that callers can verify by their checksum."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

CHUNK_BYTES = 16 * 1024
_CHUNK_NUMBER_BYTES = 8


def generate_chunks(request_id: str, total_bytes: int) -> Iterator[bytes]:
    """Yields the body for a request in chunks of at most `CHUNK_BYTES`.

    Each request has a body of its own, and each chunk starts with its number,
    so a reordered, duplicated or missing chunk changes the checksum.
    """
    filler = hashlib.shake_256(request_id.encode()).digest(
        CHUNK_BYTES - _CHUNK_NUMBER_BYTES
    )
    offset = 0
    while offset < total_bytes:
        encoded_number = (offset // CHUNK_BYTES).to_bytes(
            _CHUNK_NUMBER_BYTES, "big"
        )
        chunk = (encoded_number + filler)[: total_bytes - offset]
        offset += len(chunk)
        yield chunk


def compute_checksum(request_id: str, total_bytes: int) -> str:
    """Returns the SHA-256, in hex, of the complete body for a request."""
    hasher = hashlib.sha256()
    for chunk in generate_chunks(request_id, total_bytes):
        hasher.update(chunk)
    return hasher.hexdigest()
