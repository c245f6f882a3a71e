"""The command `key-digest`: the digest of an API key for a target document."""

from __future__ import annotations

import sys

import click

from merlintrestle import errors
from merlintrestle.documents import snapshot
from merlintrestle.operators import exit_codes
from merlintrestle.operators import results
from merlintrestle.operators import session

_PLACE = "standard input"
# A header line has 8,190 bytes at most.
_MAX_KEY_BYTES = 8000


@click.command(
    "key-digest",
    epilog=session.format_examples(
        "merlintrestle key-digest < acme.key",
        "openssl rand -hex 32 | tee acme.key | merlintrestle key-digest",
    ),
)
@session.pass_session
async def key_digest(current_session: session.Session) -> int:
    """Prints the digest of an API key for `key_digests` of a workspace.

    The key is read from standard input, so that it appears neither in the list
    of processes nor in the shell's history. Space around it is ignored.
    """
    if sys.stdin.isatty():
        content = click.prompt("API key", hide_input=True, err=True).encode(
            "utf-8", "surrogateescape"
        )
    else:
        content = sys.stdin.buffer.read(_MAX_KEY_BYTES + 1)
    key = read_key(content)
    current_session.report(results.KeyDigest(snapshot.hash_key(key).hex()))
    return exit_codes.OK


def read_key(content: bytes) -> str:
    """Returns the API key of an input, as a daemon reads it from a header.

    Raises:
        errors.InvalidInputError: It is no key. The message does not contain
            the input.
    """
    key = content.decode("utf-8", "surrogateescape").strip()
    if not key:
        problem = "has no key."
    elif len(content) > _MAX_KEY_BYTES:
        problem = f"has more than {_MAX_KEY_BYTES} bytes."
    elif not key.isascii() or not key.isprintable() or " " in key:
        problem = "is not one key: it must be printable ASCII without spaces."
    else:
        return key
    raise errors.InvalidInputError([errors.Finding(_PLACE, problem)])
