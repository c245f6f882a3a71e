"""Builders of test data for roll-outs."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from merlintrestle.members import table as tables
from merlintrestle.rollouts import operations
from merlintrestle.rollouts import orders
from merlintrestle.rollouts import progress as progresses
from merlintrestle.rollouts import storage as storages
from merlintrestle.rollouts import tracker as trackers
from merlintrestle.schema import control_pb2
from tests.store import fakes

if TYPE_CHECKING:
    from merlintrestle.store import client

SERVICE = "balie"


def build_rollout(**changes: Any) -> control_pb2.Rollout:
    """Builds an order to move `SERVICE` from v1 to v2 within ten seconds.

    Args:
        **changes: Fields that differ from this order.
    """
    fields: dict[str, Any] = {
        "service": SERVICE,
        "version": "v2",
        "number": 7,
        "within_ms": 10_000,
    }
    return control_pb2.Rollout(**(fields | changes))


def build_report(
    member_id: str, calls: int = 0, bad: int = 0, **changes: Any
) -> control_pb2.Trial:
    """Builds the report of a backend server, with one class of work.

    Args:
        member_id: Member id of its daemon.
        calls: Number of calls, each of 100 ms.
        bad: Number of bad calls.
        **changes: Other fields.
    """
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
    """Builds an upstream; `version` is empty if it is not known."""
    return tables.Upstream(
        member_id, "127.0.0.1", 8624, "noord", "west", 6, 0, False, version
    )


def build_upstreams(old: int, new: int) -> tuple[tables.Upstream, ...]:
    """Builds the upstreams of a service.

    Args:
        old: Number of upstreams of v1, with the member ids 10.0.0.x:7600.
        new: Number of upstreams of v2, with the member ids 10.0.1.x:7600.
    """
    return tuple(
        [build_upstream(f"10.0.0.{i}:7600") for i in range(1, old + 1)]
        + [build_upstream(f"10.0.1.{i}:7600", "v2") for i in range(1, new + 1)]
    )


def copy(rollout: control_pb2.Rollout) -> control_pb2.Rollout:
    """Returns a copy of an order, as a link would transmit it."""
    return control_pb2.Rollout.FromString(rollout.SerializeToString())


class FakeClock:
    """Clock that the test sets.

    Attributes:
        now: The time, in seconds.
    """

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        """Returns the time, in seconds."""
        return self.now


class ServiceFixture:
    """Tracker with the upstreams of one service.

    Attributes:
        upstreams: The upstreams of `SERVICE`.
        clock: The clock of the tracker.
        tracker: The tracker.
    """

    def __init__(self, old: int = 3, new: int = 3):
        """Initializes the tracker.

        Args:
            old: Number of upstreams of v1.
            new: Number of upstreams of v2.
        """
        self.upstreams = build_upstreams(old, new)
        self.clock = FakeClock()
        self.tracker = trackers.RolloutTracker(
            lambda service: self.upstreams, self.clock
        )

    @property
    def progress(self) -> progresses.Progress:
        """Progress of the roll-out of `SERVICE`."""
        progress = self.tracker.get(SERVICE)
        assert progress is not None
        return progress


class FakeStore(fakes.FakeStore):
    """Fake store that other programs write to as well.

    Its revisions are higher than the number of `build_rollout`, so that states
    that are written to it are later than that order.
    """

    def __init__(self) -> None:
        super().__init__()
        self._revision = 10

    def begin_era(self, revision: int) -> None:
        """Continues with a revision that is qualified by a later era."""
        self._revision = revision

    def write(self, key: str, value: bytes) -> int:
        """Writes a key unconditionally, and returns its revision."""
        entry = self.entries.get(key)
        reply = self._swap(key, value, entry.revision if entry else 0)
        return reply.entry.revision


class Operator:
    """Operator who checks the last order, then starts or aborts a roll-out."""

    def __init__(self, store: fakes.FakeStore | client.StoreClient, name: str):
        self._store = store
        self._name = name
        self._storage = storages.RolloutStorage(store, storages.DefaultFormat())

    async def read_last_order(self) -> storages.SeenOrder:
        """Returns the service's last order."""
        return await self._storage.read_last_order(SERVICE)

    async def start(self, seen: storages.SeenOrder, version: str = "v2") -> int:
        """Starts a roll-out after a check, and returns its number."""
        return await operations.start_rollout(
            self._store,
            self._build_attempt(orders.START, version),
            build_rollout(version=version, number=0),
            seen,
            0,
        )

    async def abort(self, seen: storages.SeenOrder) -> control_pb2.RolloutState:
        """Aborts the roll-out of a check, and returns its state."""
        assert seen.order is not None
        return await operations.abort_rollout(
            self._store,
            self._build_attempt(orders.ABORT, seen.order.version),
            seen.order,
            0,
        )

    async def write_state(self, state: control_pb2.RolloutState) -> None:
        """Writes the state of the last order, as daemons do."""
        seen = await self.read_last_order()
        assert seen.order is not None
        await self._storage.write_state(seen.order, state)

    async def list_attempts(self) -> list[tuple[str, str]]:
        """Returns operator and action of each listed attempt."""
        attempts = await orders.list_attempts(self._store, SERVICE)
        return [(attempt.operator, attempt.action) for attempt in attempts]

    def _build_attempt(self, action: str, version: str) -> orders.Attempt:
        return orders.Attempt(action, self._name, 5, SERVICE, version)
