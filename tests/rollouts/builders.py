"""Builders of test data for roll-outs."""

from __future__ import annotations

from typing import Any

from merlintrestle import errors
from merlintrestle.members import table as tables
from merlintrestle.rollouts import progress as progresses
from merlintrestle.rollouts import tracker as books
from merlintrestle.schema import control_pb2
from merlintrestle.store import client

SERVICE = "balie"


def build_rollout(**changes: Any) -> control_pb2.Rollout:
    """Builds an order to move balie from v1 to v2 within ten seconds."""
    fields: dict[str, Any] = {
        "service": SERVICE,
        "version": "v2",
        "number": 7,
        "within_ms": 10_000,
    }
    return control_pb2.Rollout(**(fields | changes))


def build_trial(
    member_id: str, calls: int = 0, bad: int = 0, **changes: Any
) -> control_pb2.Trial:
    """Builds what was seen beside a backend server, of one class of work."""
    fields: dict[str, Any] = {
        "service": SERVICE,
        "number": 7,
        "member_id": member_id,
        "classes": [
            control_pb2.ClassRecord(
                name="lookup", calls=calls, bad=bad, took_ms=calls * 100
            )
        ],
    }
    return control_pb2.Trial(**(fields | changes))


def build_upstream(member_id: str, version: str = "v1") -> tables.Upstream:
    """Builds an upstream."""
    return tables.Upstream(
        member_id, "127.0.0.1", 8624, "noord", "west", 6, 0, False, version
    )


def build_upstreams(before: int, new: int) -> tuple[tables.Upstream, ...]:
    """Builds upstreams of v1, and of v2."""
    return tuple(
        [build_upstream(f"10.0.0.{i}:7600") for i in range(1, before + 1)]
        + [build_upstream(f"10.0.1.{i}:7600", "v2") for i in range(1, new + 1)]
    )


def copy(rollout: control_pb2.Rollout) -> control_pb2.Rollout:
    """Returns a roll-out as it comes over a link."""
    return control_pb2.Rollout.FromString(rollout.SerializeToString())


class Clock:
    """A clock that the test sets, in seconds."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        """Returns the time."""
        return self.now


class Site:
    """A book, and the upstreams that it knows.

    Attributes:
        upstreams: The upstreams of balie.
        clock: Its clock.
        book: The book.
    """

    def __init__(self, before: int = 3, new: int = 3):
        self.upstreams = build_upstreams(before, new)
        self.clock = Clock()
        self.book = books.RolloutTracker(
            lambda service: self.upstreams, self.clock
        )

    @property
    def progress(self) -> progresses.Progress:
        """The roll-out of balie."""
        progress = self.book.get(SERVICE)
        assert progress is not None
        return progress


class FakeStore:
    """A store in memory whose answers may get lost.

    Attributes:
        entries: What it holds.
        lose: Writes that are done and not answered, from the next one on.
    """

    def __init__(self) -> None:
        self.entries: dict[str, client.Entry] = {}
        self.lose = 0
        self._revision = 10

    def write(self, key: str, value: bytes) -> int:
        """Writes a key unconditionally; returns its revision."""
        self._revision += 1
        self.entries[key] = client.Entry(key, value, self._revision)
        return self._revision

    async def get(self, key: str) -> client.Entry | None:
        """Reads one key."""
        return self.entries.get(key)

    async def list(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> list[client.Entry]:
        """Reads keys with a prefix in order."""
        del after
        keys = sorted(key for key in self.entries if key.startswith(prefix))
        return [self.entries[key] for key in keys][:limit]

    async def put(
        self, key: str, value: bytes, expected_revision: int, lease_id: int = 0
    ) -> client.WriteReply:
        """Writes one key if it has the expected revision."""
        del lease_id
        held = self.entries.get(key, client.Entry(key, b"", 0))
        if held.revision != expected_revision:
            return client.WriteReply(False, held)
        self.write(key, value)
        if self.lose:
            self.lose -= 1
            raise errors.StoreUnknownOutcomeError("the answer was lost")
        return client.WriteReply(True, self.entries[key])
