"""Daemons that poll for proofs of freshness, in virtual time."""

from __future__ import annotations

import asyncio
import random
import selectors
from typing import Any, TYPE_CHECKING

from merlintrestle import errors
from merlintrestle.documents import snapshot as snapshot_lib
from merlintrestle.members import table as table_lib
from merlintrestle.members import timing as timing_lib
from merlintrestle.versions import active_version as active_version_lib
from merlintrestle.versions import freshness as freshness_lib
from merlintrestle.versions import freshness_poller
from merlintrestle.versions import watcher as watcher_lib
from tests.members import builders as member_builders
from tests.versions import builders
from tests.versions import simulations

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from merlintrestle.schema import control_pb2

LIMIT_S = 5.0
_SAMPLE_INTERVAL_S = 0.05
_STORE_DELAY_S = 0.005
_NETWORK_DELAY_S = 0.002


class _VirtualSelector(selectors.SelectSelector):
    """Advances a virtual clock instead of waiting."""

    now = 1000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        self.now += timeout or 0.0
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now


def run(seed: int, scenario: Callable[[], Awaitable[None]]) -> None:
    """Runs a scenario in virtual time."""
    random.seed(seed)
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        runner.run(_await(scenario))


async def _await(scenario: Callable[[], Awaitable[None]]) -> None:
    await scenario()


def get_time() -> float:
    """Returns the virtual time in seconds."""
    return asyncio.get_running_loop().time()


def build_snapshot(version: int) -> snapshot_lib.Snapshot:
    """Builds a version with a workspace."""
    workspace = snapshot_lib.Workspace("zaanoever", (b"digest",))
    return snapshot_lib.Snapshot(
        version, {}, {}, workspaces={workspace.name: workspace}
    )


class _View(builders.FakeConfiguration):
    """The store as one daemon reaches it."""

    def __init__(self, fleet: Fleet):
        super().__init__()
        self.get_time = get_time
        self._fleet = fleet

    async def read_head(self) -> Any:
        """Reads the head."""
        self._fleet.read_times.append(get_time())
        asked_at = get_time()
        await asyncio.sleep(_STORE_DELAY_S)
        if self._fleet.store_down:
            raise errors.StoreUnavailableError("the fake store is down")
        head = await super().read_head()
        self.head_proof = freshness_lib.Proof(
            head.version, asked_at - self._fleet.blind_s
        )
        return head


class Daemon:
    """Watcher and poller of a daemon that runs version 1."""

    def __init__(self, fleet: Fleet, number: int):
        member = member_builders.build_member(
            number, zone=f"zone-{number % fleet.zones}"
        )
        self.id = member.id
        self.table = table_lib.MemberTable(member, get_time)
        membership: Any = simulations.FakeMembership(
            self.table,
            member_builders.FakePeerClient(fleet.network, member.id),
        )
        membership.timing = timing_lib.QUICK
        self.membership = membership
        self.store = _View(fleet)
        self.active_version = active_version_lib.ActiveVersion()
        self.freshness = freshness_lib.Freshness(
            LIMIT_S, self.active_version, get_time
        )
        self.watcher = watcher_lib.Watcher(
            membership,
            self.store,
            lambda snapshot: None,
            get_time,
            freshness=self.freshness,
        )
        self.poller = freshness_poller.FreshnessPoller(
            self.freshness, membership, self.watcher
        )
        fleet.network.handlers[self.id] = {"Freshness": self._answer}

    async def start(self) -> None:
        """Starts watcher and poller, with version 1 active."""
        await self.store.accept(1, ["balie"])
        self.active_version.activate(build_snapshot(1))
        self._watch = asyncio.create_task(self.watcher.run())
        await self.poller.start()

    async def close(self) -> None:
        """Stops them."""
        self._watch.cancel()
        await self.poller.stop()
        await asyncio.gather(self._watch, return_exceptions=True)
        await self.watcher.close()

    async def _answer(
        self, request: control_pb2.FreshnessRequest
    ) -> control_pb2.FreshnessReply:
        await asyncio.sleep(_NETWORK_DELAY_S)
        reply = await self.poller.answer(request)
        await asyncio.sleep(_NETWORK_DELAY_S)
        return reply


class Fleet:
    """Daemons, their network and the store.

    Attributes:
        network: Network for calls between the daemons.
        daemons: The daemons.
        store_down: Whether reads of the store fail.
        blind_s: Time for which reads prove nothing.
        read_times: Times of the reads of the store.
    """

    def __init__(self, size: int = 9, zones: int = 3):
        self.network = member_builders.FakeNetwork()
        self.zones = zones
        self.store_down = False
        self.blind_s = 0.0
        self.read_times: list[float] = []
        self.daemons = [Daemon(self, number) for number in range(1, size + 1)]
        for daemon in self.daemons:
            for peer in self.daemons:
                daemon.table.merge(peer.table.local_member)

    async def start(self) -> None:
        """Starts all daemons and waits until they have settled."""
        for daemon in self.daemons:
            await daemon.start()
        await asyncio.sleep(5.0)

    async def close(self) -> None:
        """Stops all daemons."""
        for daemon in self.daemons:
            await daemon.close()

    async def watch_ages(self, duration_s: float) -> float:
        """Returns the highest age of any proof during a time."""
        highest = 0.0
        until = get_time() + duration_s
        while get_time() < until:
            await asyncio.sleep(_SAMPLE_INTERVAL_S)
            highest = max(
                highest,
                *(daemon.freshness.get_age() for daemon in self.daemons),
            )
        return highest

    def list_watchers(self) -> list[Daemon]:
        """Returns the daemons that watch the store."""
        return [
            daemon
            for daemon in self.daemons
            if daemon.watcher.selection.is_watcher()
        ]

    def cut(self, daemon: Daemon, reachable: tuple[Daemon, ...] = ()) -> None:
        """Cuts a daemon off all others but some."""
        for peer in self.daemons:
            if peer not in reachable:
                self.network.cut |= {
                    (daemon.id, peer.id),
                    (peer.id, daemon.id),
                }
