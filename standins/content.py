"""Bodies that the backend server stand-in sends and callers can check."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

CHUNK_BYTES = 16 * 1024


def generate_chunks(request_id: str, total_bytes: int) -> Iterator[bytes]:
    """Yields the body that belongs to one request, in chunks.

    No two requests have the same body, and every chunk bears its number, so
    that a mixed-up, doubled or missing piece changes the checksum.
    """
    filler = hashlib.shake_256(request_id.encode()).digest(CHUNK_BYTES - 8)
    sent = 0
    while sent < total_bytes:
        number = (sent // CHUNK_BYTES).to_bytes(8, "big")
        chunk = (number + filler)[: total_bytes - sent]
        sent += len(chunk)
        yield chunk


def compute_checksum(request_id: str, total_bytes: int) -> str:
    """Returns the SHA-256 in hex of the whole body of one request."""
    digest = hashlib.sha256()
    for chunk in generate_chunks(request_id, total_bytes):
        digest.update(chunk)
    return digest.hexdigest()
