"""Resources of workspaces, built from API keys in plain text."""

from __future__ import annotations

from typing import TYPE_CHECKING

from merlintrestle import errors
from merlintrestle.documents import compiler
from merlintrestle.documents import snapshot
from merlintrestle.schema import document_pb2

if TYPE_CHECKING:
    from collections.abc import Sequence


def add_workspace(
    resources: dict[str, bytes],
    place: str,
    workspace: snapshot.Workspace,
    keys: Sequence[str],
) -> None:
    """Adds the resource of a workspace to those of a configuration.

    The loader checks the rest: the name, the burst and keys of two workspaces.

    Args:
        resources: Serialized resources by name.
        place: Place in the configuration, for error messages. Those of this
            function contain no value, as any may be a key in the wrong place;
            those of the loader contain the name of the workspace.
        workspace: The workspace without digests of keys.
        keys: Its API keys.

    Raises:
        errors.SnapshotError: The name or a key is malformed or occurs twice.
    """
    name = snapshot.build_workspace_name(workspace.name)
    if name in resources:
        raise errors.SnapshotError(f"{place}: the name occurs twice")
    if len(set(keys)) < len(keys):
        raise errors.SnapshotError(f"{place}: the same key occurs twice")
    try:
        "".join((name, *keys)).encode()
    except UnicodeEncodeError:
        # The cause contains the text, so it must not be chained.
        raise errors.SnapshotError(f"{place}: text is malformed") from None
    resources[name] = compiler.serialize_message(
        document_pb2.WorkspaceResource(
            name=workspace.name,
            key_digests=[snapshot.hash_key(key) for key in keys],
            importance=workspace.importance,
            rate=workspace.rate,
            burst=workspace.burst,
        )
    )
