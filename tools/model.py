"""A thin model of a fleet under load, in simulated time.

Callers, daemons and backend servers; what decides is the product's own code:
picking, admission, queues, retries and their budgets, callers that come back.
Bytes, processor time, membership and the store are left out. A play of ten
seconds over fourteen daemons takes a few seconds.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
from typing import Any, NamedTuple, TYPE_CHECKING

import multidict

from merlintrestle.documents import snapshot as snapshots
from merlintrestle.members import table as tables
from merlintrestle.requests import backend as backends
from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.calls import metadata
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import admission
from merlintrestle.requests.load import budgets
from merlintrestle.requests.load import loads
from merlintrestle.requests.load import picking
from merlintrestle.requests.load import refused_callers
from merlintrestle.requests.load import repeats
from merlintrestle.requests.serving import dispatch as dispatches
from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import headers
from merlintrestle.rollouts import subsets
from merlintrestle.rollouts import tracker as books
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable

# Marks what is made on behalf of a repeat; daemons do not look at it.
_UNDER_REPEAT = "Under-Repeat"
# Spread of the time that a call needs: the logarithm's standard deviation, so
# that one in twenty takes more than twice the mean.
_SPREAD = 0.5
# Repeats that the fleet may make for each call.
RETRY_RATIO = 0.2
_OK = 200
_FAILED = 500
# One way between two daemons, in seconds: of one zone, and of two.
_NEAR_S = 0.0003
_FAR_S = 0.0012
# Length of the windows by which the worst seconds are found, in seconds.
_WINDOW_S = 2.0


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop whose time goes on only when nothing is left to do."""

    def __init__(self) -> None:
        self._now = 1000.0
        super().__init__()
        selector: Any = vars(self)["_selector"]
        self._select = selector.select
        selector.select = self._skip

    def time(self) -> float:
        """Returns the simulated time in seconds."""
        return self._now

    def _skip(self, timeout: float | None = None) -> Any:
        self._now += timeout or 0.0
        return self._select(0)


class WorkClass(NamedTuple):
    """A class of work and those who ask for it.

    Attributes:
        plan: The class; its service is where it goes.
        rate: Calls of callers a second; 0: it is made by other work alone.
        work_s: Mean time at a backend server of usual speed, in seconds.
        timeout_s: How long the most patient caller waits, in seconds.
        min_timeout_fraction: Part of that for which the least patient one
            waits.
        retries: How often a caller comes back.
        worth: What an answer in time is worth to its caller.
        late_worth: What a late one is worth.
        downstream_classes: Names of the work that each of its calls asks for.
    """

    plan: snapshots.ClassPlan
    rate: float
    work_s: float
    timeout_s: float
    min_timeout_fraction: float = 0.83
    retries: int = 1
    worth: float = 1.0
    late_worth: float = 0.5
    downstream_classes: tuple[str, ...] = ()


class Server(NamedTuple):
    """A backend server and the instance that it runs on.

    Attributes:
        service: What it serves.
        zone: Availability zone.
        slots: Calls it runs at once.
        slowness: Time that it needs, as a multiple of the usual.
        shed_fraction: Part of the calls that it does not take, with room or
            not.
    """

    service: str
    zone: str
    slots: int = 18
    slowness: float = 1.0
    shed_fraction: float = 0.0


class ServerChange(NamedTuple):
    """A backend server that changes while the play goes on.

    Attributes:
        at_s: When, in seconds from the start.
        server: Its number.
        slowness: Its slowness from then on; 0: it takes no new work.
    """

    at_s: float
    server: int
    slowness: float


class Result(NamedTuple):
    """What callers got.

    Attributes:
        counts: Calls by class and by what became of them: "in time", "late",
            "refused", "refused again" or "failed".
        earned: Worth that was earned, as a part of what was asked for.
        served: Part of the calls that were answered.
        worst: The part earned in the two worst windows.
        far: Part of the answers between daemons that left their zone.
        repeat_ratios: Repeats that came to backend servers, as a part of the
            calls, by service.
    """

    counts: collections.Counter[tuple[str, str]]
    earned: float
    served: float
    worst: float
    far: float
    repeat_ratios: dict[str, float]

    def compute_fraction(self, name: str, result: str) -> float:
        """Returns the part of the calls of a class with one result."""
        total = sum(n for key, n in self.counts.items() if key[0] == name)
        return self.counts[name, result] / max(1, total)


class _Table:
    """The upstreams of all services; every daemon knows the same."""

    def __init__(self, servers: Iterable[Server]):
        self._members = {
            number: _describe(number, server)
            for number, server in enumerate(servers)
        }
        self._services = {
            number: server.service for number, server in enumerate(servers)
        }
        self._upstreams: dict[str, tuple[tables.Upstream, ...]] = {}

    def get_upstreams(self, service: str) -> tuple[tables.Upstream, ...]:
        """Returns the upstreams of a service; the same tuple until changed."""
        if service not in self._upstreams:
            self._upstreams[service] = tuple(
                member
                for number, member in self._members.items()
                if self._services[number] == service
            )
        return self._upstreams[service]

    def count_usable(self) -> int:
        """Returns the number of daemons."""
        return len(self._services)

    def remove(self, number: int) -> None:
        """Forgets an upstream."""
        self._members.pop(number, None)
        self._upstreams.clear()


class _Holder:
    """Names no classes: they are known from their calls alone."""

    running = snapshots.Snapshot(1, {}, {})
    closed_reason = ""


class _Answer:
    """The head of an answer."""

    def __init__(self, status: int, load: str):
        self.status = status
        self.headers = multidict.CIMultiDict({headers.LOAD: load})


class _Daemon:
    """A daemon and the backend server beside it."""

    def __init__(self, play: Simulation, number: int):
        self._play = play
        self.server = play.servers[number]
        self.slowness = self.server.slowness
        loop = asyncio.get_running_loop()
        own = backends.LocalBackend()
        own.announce(self.server.service, "127.0.0.1:1", self.server.slots)
        self.backend = own
        holder: Any = _Holder()
        self._slots = admission.Admission(own, holder, play.table, loop.time)
        self.returns = refused_callers.RefusedCallers(loop.time)
        self.repeats = repeats.Repeats()
        bounds = budgets.Budgets(play.table.count_usable, loop.time)
        bounds.set_bounds(RETRY_RATIO, 64.0, 10.0)
        member_id = _name(number)
        picker = picking.Picker(
            self.server.zone,
            lambda: member_id,
            self._slots.has_capacity,
            loop.time,
            play.chance,
        )
        side: Any = self
        self.dispatch = dispatches.Dispatcher(
            lambda: member_id,
            play.table,
            picker,
            side,
            side,
            loop.time,
            bounds,
            subsets.SubsetSelector(
                books.RolloutTracker(play.table.get_upstreams)
            ),
        )

    async def send_to_peer(
        self,
        address: str,
        target: str,
        call: calls.Call,
        sent: multidict.CIMultiDict[str],
        *others: Any,
    ) -> outcomes.Outcome:
        """Passes a call on to the daemon beside another backend server."""
        del target, others
        passed = dataclasses.replace(call)
        asked = metadata.decode_metadata(sent[headers.METADATA])
        assert asked is not None
        passed.wait = asked.wait
        passed.repeat = asked.repeat
        peer = self._play.find(address)
        far = peer.server.zone != self.server.zone
        way_s = _FAR_S if far else _NEAR_S
        await asyncio.sleep(way_s)
        outcome = await peer.run(passed)
        if isinstance(outcome, outcomes.Answered):
            self._play.hops[far] += 1
        await asyncio.sleep(way_s)
        return outcome

    async def run(self, call: calls.Call) -> outcomes.Outcome:
        """Admits a call and runs it, or refuses it."""
        refusal = await self._slots.acquire(call)
        if refusal is not None:
            return refusal
        self._play.count_arrival(self.server.service, call)
        shed = self._play.chance.random() < self.server.shed_fraction
        self._slots.record_acceptance(not shed)
        if shed:
            self._slots.release(call)
            return outcomes.NotRun(
                "the backend server sheds",
                elsewhere=True,
                overloaded=True,
                reached=True,
                retry_after_s=self._slots.estimate_retry_delay(call),
            )
        repeat = self.repeats.begin(call)
        try:
            status = await self._work(call)
        finally:
            self._slots.release(call)
            self.repeats.end(repeat)
        answer: Any = _Answer(status, loads.encode_load(self._slots.get_load()))
        return outcomes.Answered(answer, b"", [])

    async def _work(self, call: calls.Call) -> int:
        """Runs a call and those that it makes; returns the answer's status."""
        work = self._play.works[call.plan.name]
        chance = self._play.chance
        spread = chance.lognormvariate(-(_SPREAD**2) / 2, _SPREAD)
        await asyncio.sleep(work.work_s * self.slowness * spread)
        for name in work.downstream_classes:
            made = await self._play.make(
                self, name, call.deadline, call.repeat or _under_repeat(call)
            )
            if made is not None:
                return _FAILED
        return _OK


class Simulation:
    """One play.

    Attributes:
        servers: The backend servers.
        works: The classes of work by name.
        chance: The source of chance.
        table: The upstreams that daemons know.
        hops: Answers between daemons, by whether they left their zone.
        requests: Calls by service, each attempt of a caller for itself.
        repeats: Those of them that came to a backend server after a first
            send, or on behalf of a call that had.
    """

    def __init__(
        self, servers: list[Server], works: list[WorkClass], seed: int = 1
    ):
        self.servers = servers
        self.works = {work.plan.name: work for work in works}
        self.chance = random.Random(seed)
        self.table = _Table(servers)
        self.hops: collections.Counter[bool] = collections.Counter()
        self.requests: collections.Counter[str] = collections.Counter()
        self.repeats: collections.Counter[str] = collections.Counter()
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._owed: dict[int, float] = collections.defaultdict(float)
        self._earned: dict[int, float] = collections.defaultdict(float)
        self._loop = asyncio.get_running_loop()
        self._began = self._loop.time()
        self._daemons = [_Daemon(self, i) for i in range(len(servers))]
        self._by_address = {
            f"10.0.0.{number}:2": daemon
            for number, daemon in enumerate(self._daemons)
        }

    def find(self, address: str) -> _Daemon:
        """Returns the daemon at an address."""
        return self._by_address[address]

    async def run(
        self, length_s: float, changes: Iterable[ServerChange]
    ) -> Result:
        """Plays for a time and returns what callers got."""
        async with asyncio.TaskGroup() as group:
            for change in changes:
                group.create_task(self._change(change))
            for work in self.works.values():
                if work.rate:
                    group.create_task(self._ask(work, length_s, group))
        return self._sum_up()

    async def make(
        self,
        daemon: _Daemon,
        name: str,
        deadline: float,
        under_repeat: bool = False,
    ) -> outcomes.Outcome | None:
        """Makes a call on behalf of another; returns what went wrong."""
        work = self.works[name]
        now = self._loop.time()
        deadline = min(deadline, now + work.timeout_s)
        due = now + work.plan.latency_s
        self.requests[work.plan.service] += 1
        call = _build_call(work, deadline, due)
        if under_repeat:
            call.headers[_UNDER_REPEAT] = "1"
        outcome = await daemon.dispatch.run(call)
        if isinstance(outcome, outcomes.Answered):
            if outcome.response.status == _OK and self._loop.time() < deadline:
                outcome.release()
                return None
            outcome.release()
        return outcome

    def count_arrival(self, service: str, call: calls.Call) -> None:
        """Counts a call that comes to a backend server."""
        if call.repeat or _under_repeat(call):
            self.repeats[service] += 1

    async def _change(self, change: ServerChange) -> None:
        await asyncio.sleep(change.at_s)
        daemon = self._daemons[change.server]
        if change.slowness:
            daemon.slowness = change.slowness
            return
        self.table.remove(change.server)
        daemon.backend.state = control_pb2.DRAINING

    async def _ask(
        self, work: WorkClass, length_s: float, group: asyncio.TaskGroup
    ) -> None:
        until = self._began + length_s
        while self._loop.time() < until:
            await asyncio.sleep(self.chance.expovariate(work.rate))
            group.create_task(self._serve(work))

    async def _serve(self, work: WorkClass) -> None:
        began = self._loop.time()
        daemon = self.chance.choice(self._daemons)
        limit_s = work.timeout_s * self.chance.uniform(
            work.min_timeout_fraction, 1.0
        )
        until = began + limit_s
        asks_for = (work.plan.name, str(self.chance.getrandbits(24)))
        outcome: outcomes.Outcome | None = None
        for attempt in range(work.retries + 1):
            outcome = await self._attempt(daemon, work, asks_for, until)
            if _is_good(outcome) or self._loop.time() >= until:
                break
            if attempt == work.retries or not _may_come_back(work, outcome):
                break
            left_s = until - self._loop.time()
            await asyncio.sleep(min(_get_retry_after(outcome), left_s / 3))
        self._count(work, outcome, began, until, attempt)

    async def _attempt(
        self,
        daemon: _Daemon,
        work: WorkClass,
        asks_for: tuple[str, str],
        until: float,
    ) -> outcomes.Outcome:
        now = self._loop.time()
        since = daemon.returns.pop(asks_for, until) or now
        due = since + work.plan.latency_s
        deadline = min(until, now + work.plan.deadline_s)
        self.requests[work.plan.service] += 1
        outcome = await daemon.dispatch.run(_build_call(work, deadline, due))
        if isinstance(outcome, outcomes.Answered):
            outcome.release()
        else:
            daemon.returns.add(asks_for, until, since)
        return outcome

    def _count(
        self,
        work: WorkClass,
        outcome: outcomes.Outcome | None,
        began: float,
        until: float,
        attempt: int,
    ) -> None:
        now = self._loop.time()
        window = int((began - self._began) / _WINDOW_S)
        self._owed[window] += work.worth
        earned = 0.0
        if _is_good(outcome) and now <= until:
            in_time = now - began <= work.plan.latency_s
            result = "in time" if in_time else "late"
            earned = work.worth if in_time else work.late_worth
        elif isinstance(outcome, outcomes.NotRun):
            result = "refused again" if attempt else "refused"
        else:
            result = "failed"
        self._earned[window] += earned
        self._counts[work.plan.name, result] += 1

    def _sum_up(self) -> Result:
        good = sum(
            count
            for (_, result), count in self._counts.items()
            if result in ("in time", "late")
        )
        windows = sorted(
            self._earned[window] / owed for window, owed in self._owed.items()
        )
        return Result(
            self._counts,
            sum(self._earned.values()) / sum(self._owed.values()),
            good / self._counts.total(),
            sum(windows[:2]) / len(windows[:2]),
            self.hops[True] / max(1, self.hops.total()),
            {name: self.repeats[name] / n for name, n in self.requests.items()},
        )


def simulate(
    servers: list[Server],
    works: list[WorkClass],
    length_s: float,
    seed: int = 1,
    changes: Iterable[ServerChange] = (),
) -> Result:
    """Plays the load of some callers over a fleet."""

    async def run() -> Result:
        return await Simulation(servers, works, seed).run(length_s, changes)

    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(run())


def _describe(number: int, server: Server) -> tables.Upstream:
    return tables.Upstream(
        member_id=_name(number),
        address=f"10.0.0.{number}",
        peer_port=2,
        zone=server.zone,
        region="local",
        slots=server.slots,
        ready_since_ms=1,
        suspect=False,
    )


def _name(number: int) -> str:
    return f"10.0.0.{number}:1"


def _build_call(work: WorkClass, deadline: float, due: float) -> calls.Call:
    return calls.Call(
        service=work.plan.service,
        plan=work.plan,
        method="GET",
        target="/",
        organisation=work.plan.organisation,
        headers=multidict.CIMultiDict(),
        body=bodies.Body(b"", 0),
        deadline=deadline,
        latency_deadline=due,
        depth=0,
        attempt_number=0,
        key="",
    )


def _under_repeat(call: calls.Call) -> bool:
    return _UNDER_REPEAT in call.headers


def _is_good(outcome: outcomes.Outcome | None) -> bool:
    if not isinstance(outcome, outcomes.Answered):
        return False
    return outcome.response.status == _OK


def _may_come_back(work: WorkClass, outcome: outcomes.Outcome) -> bool:
    return work.plan.repeatable or isinstance(outcome, outcomes.NotRun)


def _get_retry_after(outcome: outcomes.Outcome) -> float:
    if isinstance(outcome, outcomes.NotRun):
        return outcome.retry_after_s or 0.0
    return 0.0
