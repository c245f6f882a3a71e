"""API keys in the headers of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import hdrs

from merlintrestle.documents import snapshot

if TYPE_CHECKING:
    import multidict

_SCHEME = "bearer"
# Digest of a malformed value; no key has it.
MALFORMED = b""


def read_key_digest(
    request_headers: multidict.MultiMapping[str],
) -> bytes | None:
    """Returns the digest of the API key of a request.

    Returns:
        None if the request has no Authorization header; `MALFORMED` if it has
        several or one that states no key.
    """
    values = request_headers.getall(hdrs.AUTHORIZATION, ())
    if not values:
        return None
    if len(values) > 1:
        return MALFORMED
    scheme, _, rest = values[0].partition(" ")
    key = rest.strip()
    if scheme.lower() != _SCHEME or not key:
        return MALFORMED
    return snapshot.hash_key(key)


def remove_credentials(
    call_headers: multidict.CIMultiDict[str], workspace_header: str
) -> None:
    """Removes the API key, and the workspace that the caller states.

    Many frameworks do not distinguish "_" from "-" in the name of a header, so
    variants with "_" are removed as well.

    Args:
        call_headers: Headers of the call.
        workspace_header: Header in which backend servers get the workspace.
    """
    call_headers.popall(hdrs.AUTHORIZATION, None)
    call_headers.popall(workspace_header, None)
    for name in [name for name in call_headers if "_" in name]:
        if name.replace("_", "-").lower() == workspace_header.lower():
            call_headers.popall(name, None)
