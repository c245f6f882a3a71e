"""The API keys of a confirmed version that this daemon cannot use.

Such a version changes nothing else, but the keys that it holds are known: those
that it took away stop working, and the others go on working.
"""

from __future__ import annotations

import enum
from typing import NamedTuple, Protocol, TYPE_CHECKING, TypeVar

from merlintrestle import decoding
from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle.documents import snapshot as snapshots
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

events = event_logs.EventLog("versions")

T = TypeVar("T")

# SHA-256.
_DIGEST_BYTES = 32
# Several times the keys of the largest version.
_MAX_KEYS = 100_000


class KeyList(NamedTuple):
    """The API keys of a version.

    Attributes:
        version: Number of the version.
        holders: Name of the workspace that holds each key, by the key's digest.
        complete: Whether these are all keys; False if a workspace could not be
            read.
        required: Whether the version requires API keys at all.
    """

    version: int
    holders: Mapping[bytes, str]
    complete: bool = True
    required: bool = True


class NoWorkspace(enum.Enum):
    """Why a request with an API key belongs to no workspace.

    Attributes:
        UNKNOWN: The newest confirmed version does not hold the key.
        UNDECIDED: The newest confirmed version may hold it, or holds it for a
            workspace that the active version does not have.
    """

    UNKNOWN = enum.auto()
    UNDECIDED = enum.auto()


class ActiveVersion(Protocol):
    """The active version of the daemon."""

    @property
    def version(self) -> int:
        """The active version; 0 if there is none."""


class ConfirmedKeys:
    """The keys of the newest version that this daemon cannot use, if any.

    They count until a later version is active.

    Attributes:
        on_learned: Called with each list that is newer than those before.
    """

    def __init__(self, active_version: ActiveVersion):
        """Starts without a list."""
        self.on_learned: Callable[[KeyList], None] = lambda _: None
        self._active_version = active_version
        self._newest = KeyList(0, {})

    def learn(self, keys: KeyList) -> None:
        """Records the keys of a version that a daemon cannot use."""
        if keys.version <= self._newest.version:
            return
        self._newest = keys
        events.warn(
            "keys of an unusable version",
            version=keys.version,
            active=self._active_version.version,
            keys=len(keys.holders),
            complete=keys.complete,
            required=keys.required,
        )
        self.on_learned(keys)

    def learn_message(
        self, member_id: str, message: control_pb2.KeyList
    ) -> None:
        """Records the keys that another daemon answered, unless malformed."""
        try:
            self.learn(decode_keys(message))
        except errors.SnapshotError as error:
            decoding.count_refused("keys of a peer")
            events.warn("keys malformed", member=member_id, error=str(error))

    def get(self) -> KeyList | None:
        """Returns the keys that count in place of those of the active version.

        Returns:
            None if the active version is as new as any list.
        """
        is_newer = self._newest.version > self._active_version.version
        return self._newest if is_newer else None

    def get_version(self) -> int:
        """Returns the newest version whose keys are applied to requests."""
        return max(self._newest.version, self._active_version.version)

    def find_workspace(
        self, active_snapshot: snapshots.Snapshot, key_digest: bytes
    ) -> snapshots.Workspace | NoWorkspace:
        """Returns the workspace of an API key in the active version.

        Args:
            active_snapshot: Snapshot of the active version.
            key_digest: SHA-256 digest of the key.
        """
        workspace = active_snapshot.find_workspace(key_digest)
        keys = self._newest
        if keys.version <= active_snapshot.version:
            return workspace or NoWorkspace.UNKNOWN
        if not keys.required:
            return workspace or NoWorkspace.UNDECIDED
        holder = keys.holders.get(key_digest)
        if holder is not None:
            named = active_snapshot.workspaces.get(holder)
            return named or NoWorkspace.UNDECIDED
        if keys.complete:
            return NoWorkspace.UNKNOWN
        return NoWorkspace.UNDECIDED


def collect_keys(
    version: int,
    read_workspaces: Callable[[], list[T] | None],
    read_holder: Callable[[T], tuple[str, list[str]]],
) -> KeyList:
    """Returns the keys of a version that may be malformed elsewhere.

    A key that several workspaces hold is of none: which of them has it is not
    known.

    Args:
        version: Number of the version.
        read_workspaces: Returns what may be workspaces; None if the version
            requires no keys. It raises `errors.SnapshotError` if it cannot.
        read_holder: Returns the name and the keys of one of these. It raises
            `errors.SnapshotError` if they are malformed.
    """
    try:
        workspaces = read_workspaces()
    except errors.SnapshotError as error:
        events.warn("keys unreadable", version=version, error=str(error))
        return KeyList(version, {}, complete=False)
    if workspaces is None:
        return KeyList(version, {}, required=False)
    holders: dict[bytes, str] = {}
    complete = True
    for workspace in workspaces:
        try:
            name, keys = read_holder(workspace)
        except errors.SnapshotError as error:
            events.warn("keys unreadable", version=version, error=str(error))
            complete = False
            continue
        for digest in map(snapshots.hash_key, keys):
            if holders.setdefault(digest, name) != name:
                holders[digest] = ""
                complete = False
    held = {digest: name for digest, name in holders.items() if name}
    return KeyList(version, held, complete)


def encode_keys(keys: KeyList) -> control_pb2.KeyList:
    """Converts a list to a message."""
    encoded = control_pb2.KeyList(
        version=keys.version, complete=keys.complete, required=keys.required
    )
    digests: dict[str, list[bytes]] = {}
    for digest, holder in keys.holders.items():
        digests.setdefault(holder, []).append(digest)
    for holder in sorted(digests):
        encoded.holders.add(
            workspace=holder, key_digests=sorted(digests[holder])
        )
    return encoded


def decode_keys(encoded: control_pb2.KeyList) -> KeyList:
    """Converts a message of another daemon to a list.

    Raises:
        errors.SnapshotError: The list is malformed.
    """
    holders: dict[bytes, str] = {}
    for holder in encoded.holders:
        for digest in holder.key_digests:
            is_known = digest in holders
            if len(digest) != _DIGEST_BYTES or is_known or not holder.workspace:
                raise errors.SnapshotError("a list of keys is malformed")
            holders[digest] = holder.workspace
    if not encoded.version or len(holders) > _MAX_KEYS:
        raise errors.SnapshotError("a list of keys has no version or too many")
    return KeyList(encoded.version, holders, encoded.complete, encoded.required)
