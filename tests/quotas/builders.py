"""Fleets of quotas in virtual time, with a network and a store that fail."""

from __future__ import annotations

import asyncio
import bisect
import collections
import math
import random
import selectors
from typing import Any, NamedTuple, TYPE_CHECKING

from merlintrestle import errors
from merlintrestle.documents import snapshot
from merlintrestle.members import peers
from merlintrestle.quotas import bounds as bounds_lib
from merlintrestle.quotas import service
from merlintrestle.schema import control_pb2
from merlintrestle.schema import quota_pb2
from merlintrestle.store import client
from merlintrestle.store import eras

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Sequence

_CANDIDATES = 4


class _Selector(selectors.SelectSelector):
    """Selector that advances the virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Returns what is ready, after the timeout in virtual time."""
        self.now += timeout or 0.0
        return super().select(0)


def run(build: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    """Runs a coroutine in virtual time."""
    selector = _Selector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now  # type: ignore[method-assign]
    try:
        asyncio.set_event_loop(loop)
        result = loop.run_until_complete(build())
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.1))
        return result
    finally:
        asyncio.set_event_loop(None)
        loop.close()


def get_time() -> float:
    """Returns the virtual time in seconds."""
    return asyncio.get_running_loop().time()


def build_workspace(
    name: str, rate: float, burst: float = 0.0
) -> snapshot.Workspace:
    """Builds a workspace with a quota."""
    return snapshot.Workspace(name, (), 0, rate, burst)


class Store:
    """Store with leases that may be down, slow or lose answers.

    Attributes:
        era: Era of the store.
        calls: Number of calls.
        is_down: Whether calls get no answer.
        delay_s: Time that each call takes.
        lost: Share of the writes whose answers are lost.
    """

    def __init__(self, rng: random.Random) -> None:
        self.era = eras.StoreEra(get_time)
        self.era.read("1")
        self.calls = 0
        self.is_down = False
        self.delay_s = 0.005
        self.lost = 0.0
        self._rng = rng
        self._revision = 10
        self._entries: dict[str, client.Entry] = {}
        self._key_leases: dict[str, int] = {}
        self._leases: dict[int, float] = {}

    def return_from_copy(self, copy: dict[str, client.Entry]) -> None:
        """Returns to earlier contents, without leases, in a new era."""
        self._entries, self._leases, self._key_leases = dict(copy), {}, {}
        self.era.read(str((self.era.current or 0) + 1))

    def copy(self) -> dict[str, client.Entry]:
        """Returns the contents that outlive their leases."""
        return {
            key: entry
            for key, entry in self._entries.items()
            if key not in self._key_leases
        }

    async def get(self, key: str) -> client.Entry | None:
        await self._begin()
        return self._entries.get(key)

    async def put(
        self, key: str, value: bytes, expected_revision: int, lease_id: int = 0
    ) -> client.WriteReply:
        await self._begin()
        entry = self._entries.get(key)
        if (entry.revision if entry else 0) != expected_revision:
            return client.WriteReply(False, entry or client.Entry(key, b"", 0))
        if lease_id and lease_id not in self._leases:
            raise errors.StoreUnavailableError("the lease has ended")
        self._revision += 1
        revision = self.era.qualify(self._revision)
        self._entries[key] = entry = client.Entry(key, value, revision)
        if lease_id:
            self._key_leases[key] = lease_id
        self._lose_answer()
        return client.WriteReply(True, entry)

    async def delete(self, key: str, expected_revision: int) -> bool:
        await self._begin()
        entry = self._entries.get(key)
        if entry is None or entry.revision != expected_revision:
            return False
        del self._entries[key]
        self._key_leases.pop(key, None)
        self._lose_answer()
        return True

    async def grant_lease(self, seconds: int) -> int:
        await self._begin()
        self._revision += 1
        lease_id = self.era.qualify(self._revision)
        self._leases[lease_id] = get_time() + seconds
        self._lose_answer()
        return lease_id

    async def renew_lease(self, lease_id: int) -> int:
        await self._begin()
        if lease_id not in self._leases:
            return 0
        self._leases[lease_id] = get_time() + 2
        self._lose_answer()
        return 2

    async def _begin(self) -> None:
        self.calls += 1
        await asyncio.sleep(self.delay_s)
        if self.is_down:
            await asyncio.sleep(0.9)
            raise errors.StoreUnavailableError("down")
        now = get_time()
        for lease_id, ends_at in list(self._leases.items()):
            if ends_at > now:
                continue
            del self._leases[lease_id]
            for key, key_lease_id in list(self._key_leases.items()):
                if key_lease_id == lease_id:
                    del self._entries[key], self._key_leases[key]

    def _lose_answer(self) -> None:
        if self._rng.random() < self.lost:
            raise errors.StoreUnknownOutcomeError("lost")


class _Links:
    def __init__(self, daemon: Daemon) -> None:
        self.extend_message: list[Any] = []
        self.on_message: list[Any] = []
        self._daemon = daemon

    def send_now(self) -> None:
        message = control_pb2.LinkMessage()
        for extend in self.extend_message:
            extend(message)
        self._daemon.fleet.broadcast(self._daemon, message)


class _Table:
    def __init__(self, daemon: Daemon) -> None:
        self.local_id = daemon.member_id
        self._daemon = daemon

    def count_daemons(self) -> int:
        return len(self._daemon.fleet.daemons)


class _StoreView:
    """The store as one daemon reaches it."""

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon
        self.era = daemon.fleet.store.era

    def __getattr__(self, name: str) -> Any:
        async def call(*args: Any) -> Any:
            await self._daemon.wait_until_running()
            if self._daemon.is_cut_from_store:
                await asyncio.sleep(1)
                raise errors.StoreUnavailableError("cut off")
            try:
                return await getattr(self._daemon.fleet.store, name)(*args)
            finally:
                await self._daemon.wait_until_running()

        return call


class Daemon:
    """The quotas of one daemon.

    Attributes:
        group: Daemons of different groups cannot reach each other.
        is_frozen: Whether its process does nothing.
        is_cut_from_store: Whether it does not reach the store.
    """

    def __init__(self, fleet: Fleet, index: int, generation: int = 0) -> None:
        self.fleet = fleet
        self.index = index
        self.generation = generation
        self.member_id = f"10.0.0.{index}:7600"
        self.group = 0
        self.is_frozen = False
        self.is_cut_from_store = False
        self.requests = 0
        self.links = _Links(self)
        self.table = _Table(self)
        self.peers = self
        store: Any = _StoreView(self)
        membership: Any = self
        self.quotas = service.Quotas(
            membership,
            fleet.active_version,
            store,
            lambda: index if index < _CANDIDATES else None,
            fleet.bounds,
            get_time,
        )

    def is_isolated(self) -> bool:
        """Returns whether no other daemon is reached."""
        return not any(
            other.group == self.group
            for other in self.fleet.daemons
            if other is not self
        )

    async def wait_until_running(self) -> None:
        """Waits while the process is frozen."""
        while self.is_frozen:
            await asyncio.sleep(0.01)

    async def call(
        self,
        address: str,
        method: str,
        request: quota_pb2.RefillRequest,
        timeout_s: float,
        stub_class: Any,
    ) -> quota_pb2.RefillReply:
        """Sends a request over the network."""
        del method, stub_class
        self.requests += 1
        try:
            async with asyncio.timeout(timeout_s):
                return await self.fleet.deliver(self, address, request)
        except TimeoutError as error:
            raise peers.PeerSilentError("silent") from error

    async def send_call(
        self, workspace: snapshot.Workspace, wait_s: float = 0.3
    ) -> Any:
        """Sends a call; returns None if it ran, otherwise the refusal."""
        sent_at = get_time()
        await self.wait_until_running()
        if self not in self.fleet.daemons:
            return "killed"
        refusal = await self.quotas.spend(workspace, wait_s)
        if refusal is None:
            self.fleet.record(workspace.name, sent_at)
        else:
            self.fleet.record_refusal(workspace, refusal.status)
        return refusal


class _ActiveVersion(NamedTuple):
    active_snapshot: snapshot.Snapshot


class Fleet:
    """Daemons that share quotas.

    Attributes:
        loss: Share of the messages that are lost.
        repetition: Share of the requests that arrive a second time, later.
        delay_s: Longest delay of a message.
        ran: Times at which the calls that ran were sent, by workspace.
        refusals: Number of refusals by workspace and status.
        wrong_refusals: Those of calls that were within the quota, counted over
            the window before them.
    """

    def __init__(
        self,
        count: int,
        workspaces: Sequence[snapshot.Workspace],
        seed: int = 1,
        bounds: bounds_lib.Bounds | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.bounds = bounds or bounds_lib.Bounds()
        self.store = Store(self.rng)
        self.loss = 0.0
        self.repetition = 0.0
        self.delay_s = 0.01
        self.ran: dict[str, list[float]] = collections.defaultdict(list)
        self.refusals: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.wrong_refusals: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.store_copy: dict[str, client.Entry] = {}
        self.version = 0
        self.active_version: Any = self
        self.set_workspaces(workspaces)
        self.daemons: list[Daemon] = []
        self.daemons += [Daemon(self, index) for index in range(count)]
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self, settling_s: float = 2.0) -> None:
        """Starts all daemons, and waits until they have a coordinator."""
        for daemon in self.daemons:
            await daemon.quotas.start()
        await asyncio.sleep(settling_s)

    def set_workspaces(self, workspaces: Sequence[snapshot.Workspace]) -> None:
        """Activates a version with other workspaces on all daemons."""
        self.version += 1
        self.workspaces = {item.name: item for item in workspaces}
        self.active_snapshot = snapshot.Snapshot(
            self.version, {}, {}, workspaces=self.workspaces
        )

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Runs a coroutine in the background."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def get_coordinator(self) -> Daemon | None:
        """Returns the daemon that grants tokens."""
        for daemon in self.daemons:
            if daemon.quotas.election.may_grant():
                return daemon
        return None

    def kill(self, daemon: Daemon) -> None:
        """Kills a daemon and starts it again without memory."""
        daemon.is_frozen = True
        new = Daemon(self, daemon.index, daemon.generation + 1)
        new.group = daemon.group
        self.daemons[self.daemons.index(daemon)] = new
        self.spawn(self._start(new))

    async def _start(self, daemon: Daemon) -> None:
        await daemon.quotas.start()

    async def freeze(self, daemon: Daemon, duration_s: float) -> None:
        """Freezes a daemon for a time, unless it is killed meanwhile."""
        daemon.is_frozen = True
        await asyncio.sleep(duration_s)
        if daemon in self.daemons:
            daemon.is_frozen = False

    async def deliver(
        self, sender: Daemon, address: str, request: quota_pb2.RefillRequest
    ) -> quota_pb2.RefillReply:
        """Carries a request to a daemon and its reply back."""
        await sender.wait_until_running()
        # The request may arrive after its sender has given it up.
        arrival = asyncio.ensure_future(self._answer(sender, address, request))
        self._tasks.add(arrival)
        arrival.add_done_callback(self._tasks.discard)
        if self.rng.random() < self.repetition:
            self.spawn(self._answer(sender, address, request, 1.0))
        reply = await asyncio.shield(arrival)
        await sender.wait_until_running()
        return reply

    async def _answer(
        self,
        sender: Daemon,
        address: str,
        request: quota_pb2.RefillRequest,
        further_delay_s: float = 0.0,
    ) -> quota_pb2.RefillReply:
        await self._travel(further_delay_s)
        target = self._find(address)
        if target is None or target.group != sender.group:
            await asyncio.sleep(math.inf)
        assert target is not None
        await target.wait_until_running()
        reply = target.quotas.answer(
            quota_pb2.RefillRequest.FromString(request.SerializeToString())
        )
        # A freeze may begin after the tokens were counted.
        await target.wait_until_running()
        await self._travel(0.0)
        if target.group != sender.group:
            await asyncio.sleep(math.inf)
        return reply

    async def _travel(self, further_delay_s: float) -> None:
        if self.rng.random() < self.loss:
            await asyncio.sleep(math.inf)
        delay_s = self.rng.uniform(0.0, self.delay_s)
        await asyncio.sleep(delay_s + further_delay_s)

    def _find(self, address: str) -> Daemon | None:
        for daemon in self.daemons:
            if daemon.member_id == address:
                return daemon
        return None

    def broadcast(self, sender: Daemon, message: Any) -> None:
        """Sends a link message to all daemons, in random time."""
        if sender not in self.daemons:
            return
        for daemon in self.daemons:
            if daemon is not sender:
                self.spawn(self._tell(sender, daemon, message))

    async def _tell(self, sender: Daemon, daemon: Daemon, message: Any) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, 0.2))
        await daemon.wait_until_running()
        if daemon.group == sender.group:
            for receive in daemon.links.on_message:
                receive(None, message)

    def record_refusal(
        self, workspace: snapshot.Workspace, status: int
    ) -> None:
        """Records a refusal, and whether the call was within the quota."""
        self.refusals[workspace.name, status] += 1
        times = self.ran[workspace.name]
        begin = get_time() - self.bounds.window_s
        recent = len(times) - bisect.bisect_left(times, begin)
        quota = workspace.rate * self.bounds.window_s + workspace.burst
        if recent + 1 <= quota:
            self.wrong_refusals[workspace.name, status] += 1

    def record(self, name: str, sent_at: float) -> None:
        """Records a call that ran."""
        bisect.insort(self.ran[name], sent_at)

    async def send_calls(
        self,
        workspace: snapshot.Workspace,
        daemon_indexes: Sequence[int],
        rate: float,
        duration_s: float,
    ) -> int:
        """Sends calls at random times to random daemons; returns how many."""
        ends_at = get_time() + duration_s
        sent = 0
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            if get_time() >= ends_at:
                return sent
            sent += 1
            index = self.rng.choice(daemon_indexes)
            self.spawn(self.daemons[index].send_call(workspace))

    def find_excess(self, workspace: snapshot.Workspace) -> float:
        """Returns the largest excess over the limit of any window."""
        limit = self.bounds.compute_limit(workspace.rate, workspace.burst)
        times = self.ran[workspace.name]
        most = max(
            (
                index + 1 - bisect.bisect_left(times, at - self.bounds.window_s)
                for index, at in enumerate(times)
            ),
            default=0,
        )
        return most - limit

    async def gather(self, *calls: Awaitable[int]) -> list[int]:
        """Runs several loads at once, and waits for their last answers."""
        counts = await asyncio.gather(*calls)
        await asyncio.sleep(0.5)
        return counts
