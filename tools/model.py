"""Simulation of a fleet under load, in simulated time."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
from typing import Any, TYPE_CHECKING

import multidict

from merlintrestle.documents import snapshot as snapshots
from merlintrestle.members import table as tables
from merlintrestle.requests import backend as backends
from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.calls import metadata
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import admission
from merlintrestle.requests.load import budgets
from merlintrestle.requests.load import loads
from merlintrestle.requests.load import picking
from merlintrestle.requests.load import refused_callers
from merlintrestle.requests.load import repeats
from merlintrestle.requests.serving import backend_notices
from merlintrestle.requests.serving import dispatch as dispatches
from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import headers
from merlintrestle.rollouts import subsets
from merlintrestle.rollouts import tracker as trackers
from merlintrestle.schema import control_pb2
from tools import model_records as records

if TYPE_CHECKING:
    from collections.abc import Iterable

# Header of calls that are nested in a repeat. Daemons ignore it; the simulation
# counts repeats by it.
_NESTED_IN_REPEAT_HEADER = "Under-Repeat"
# Standard deviation of the logarithm of the work time. With it one call in
# twenty takes more than twice the mean.
_WORK_LOG_DEVIATION = 0.5
# Retries that the fleet may make for each call of a service.
RETRY_RATIO = 0.2
# Additional retries that the fleet may make in each window of the retry
# budgets, and the length of this window.
_RETRY_SLACK = 64.0
_RETRY_WINDOW_S = 10.0
_STATUS_OK = 200
_STATUS_FAILED = 500
# One-way delay between two daemons of one zone and of different zones.
_SAME_ZONE_DELAY_S = 0.0003
_CROSS_ZONE_DELAY_S = 0.0012
# Length of the windows into which `Result.worst` divides the simulated time.
_RESULT_WINDOW_S = 2.0


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only when no callback is ready."""

    def __init__(self) -> None:
        self._now = 1000.0
        super().__init__()
        selector: Any = vars(self)["_selector"]
        self._select = selector.select
        selector.select = self._advance

    def time(self) -> float:
        """Returns the simulated time in seconds."""
        return self._now

    def _advance(self, timeout: float | None = None) -> Any:
        """Advances the time by the timeout instead of waiting for events."""
        self._now += timeout or 0.0
        return self._select(0)


class _MemberTable:
    """The upstreams of all services, common to all daemons."""

    def __init__(self, servers: Iterable[records.Server]):
        self._upstreams_by_number = {
            number: _build_upstream(number, server)
            for number, server in enumerate(servers)
        }
        self._services_by_number = {
            number: server.service for number, server in enumerate(servers)
        }
        self._upstreams_by_service: dict[str, tuple[tables.Upstream, ...]] = {}

    def get_upstreams(self, service: str) -> tuple[tables.Upstream, ...]:
        """Returns the upstreams of a service.

        Each call returns the same tuple object until an upstream is removed.
        """
        if service not in self._upstreams_by_service:
            self._upstreams_by_service[service] = tuple(
                upstream
                for number, upstream in self._upstreams_by_number.items()
                if self._services_by_number[number] == service
            )
        return self._upstreams_by_service[service]

    def count_daemons(self) -> int:
        """Returns the number of daemons, also of removed upstreams."""
        return len(self._services_by_number)

    def remove(self, number: int) -> None:
        """Removes an upstream."""
        self._upstreams_by_number.pop(number, None)
        self._upstreams_by_service.clear()


class _EmptyVersion:
    """An active version without targets.

    Admission learns the classes of work from their calls alone.
    """

    active_snapshot = snapshots.Snapshot(1, {}, {})
    closed_reason = ""


class _Response:
    """Status and headers of a backend server's answer."""

    def __init__(self, status: int, load: str):
        self.status = status
        self.headers = multidict.CIMultiDict({headers.LOAD: load})


class _SimulatedDaemon:
    """A daemon with its backend server.

    The daemon is also the local runner and the forwarder of its dispatcher.

    Attributes:
        number: Number of the backend server.
        server: Configuration of the backend server.
        slowness: Present slowness of the backend server.
        backend: State of the backend server as the daemon knows it.
        refused_callers: Callers that the daemon refused and that may retry.
        repeats: Counts the repeats that run at the backend server.
        dispatcher: Sends callers' calls to upstreams.
    """

    def __init__(self, simulation: Simulation, number: int):
        self._simulation = simulation
        self.number = number
        self.server = simulation.servers[number]
        self.slowness = self.server.slowness
        loop = asyncio.get_running_loop()
        backend = backends.LocalBackend()
        backend.announce(
            self.server.service,
            "127.0.0.1:1",
            self.server.slots,
            instance_id=f"i-{number}",
        )
        self.backend = backend
        active_version: Any = _EmptyVersion()
        self._admission = admission.Admission(
            backend, active_version, simulation.table, loop.time
        )
        self._notices = backend_notices.BackendNotices(
            backend, self._admission, dialects.NativeDialect()
        )
        self.refused_callers = refused_callers.RefusedCallers(loop.time)
        self.repeats = repeats.Repeats()
        retry_budgets = budgets.Budgets(
            simulation.table.count_daemons, loop.time
        )
        retry_budgets.set_bounds(RETRY_RATIO, _RETRY_SLACK, _RETRY_WINDOW_S)
        member_id = _get_member_id(number)
        self._picker = picker = picking.Picker(
            self.server.zone,
            lambda: member_id,
            self._admission.has_capacity,
            loop.time,
            simulation.rng,
        )
        runner_and_forwarder: Any = self
        self.dispatcher = dispatches.Dispatcher(
            lambda: member_id,
            simulation.table,
            picker,
            runner_and_forwarder,
            runner_and_forwarder,
            loop.time,
            retry_budgets,
            subsets.SubsetSelector(
                trackers.RolloutTracker(simulation.table.get_upstreams)
            ),
        )

    async def send_to_peer(
        self,
        address: str,
        target: str,
        call: calls.Call,
        sent_headers: multidict.CIMultiDict[str],
        *unused: Any,
    ) -> outcomes.Outcome:
        """Forwards a call to the daemon of another backend server."""
        del target, unused
        forwarded_call = dataclasses.replace(call)
        call_metadata = metadata.decode_metadata(sent_headers[headers.METADATA])
        assert call_metadata is not None
        forwarded_call.wait = call_metadata.wait
        forwarded_call.repeat = call_metadata.repeat
        peer = self._simulation.get_daemon(address)
        crosses_zones = peer.server.zone != self.server.zone
        delay_s = _CROSS_ZONE_DELAY_S if crosses_zones else _SAME_ZONE_DELAY_S
        await asyncio.sleep(delay_s)
        peer.adopt_notices(sent_headers.get(headers.NOTICES))
        outcome = await peer.run(forwarded_call)
        if isinstance(outcome, outcomes.Answered):
            self._simulation.peer_answers[crosses_zones] += 1
        else:
            self._simulation.peer_refusals += 1
        load = peer.get_load()
        await asyncio.sleep(delay_s)
        if not isinstance(outcome, outcomes.Answered):
            # The answer that states a refusal reports the load as well.
            self._picker.get_observation(
                _get_member_id(peer.number)
            ).record_load(asyncio.get_running_loop().time(), load)
        self._picker.notices.record(
            _get_member_id(peer.number), peer.get_notice_header()
        )
        return outcome

    def get_load(self) -> loads.Load:
        """Returns the load that the daemon reports."""
        return self._admission.get_load()

    def get_notice_header(self) -> str | None:
        """Returns the header that states the notices; None if there is none."""
        return self._notices.get_header() or None

    def adopt_notices(self, header: str | None) -> None:
        """Applies the notices that another daemon passes on with a call."""
        self._notices.adopt(header)

    async def run(self, call: calls.Call) -> outcomes.Outcome:
        """Admits a call and runs it, or refuses it."""
        refusal = await self._admission.acquire(call)
        if refusal is not None:
            return refusal
        self._simulation.record_send(self.number)
        read_headers = self._notices.build_reader()
        self._simulation.count_repeat(self.server.service, call)
        shed = self._simulation.rng.random() < self.server.shed_fraction
        self._admission.record_acceptance(not shed)
        if shed:
            self._admission.release(call)
            return outcomes.NotRun(
                "the backend server sheds",
                elsewhere=True,
                overloaded=True,
                reached=True,
                retry_after_s=self._admission.estimate_retry_delay(call),
            )
        repeat = self.repeats.begin(call)
        started_at = asyncio.get_running_loop().time()
        try:
            status = await self._run_at_backend(call)
            # The load is reported while the call holds its slot.
            load = self.get_load()
        finally:
            self._admission.release(call)
            self.repeats.end(repeat)
        self._simulation.held_s[self.number] += (
            asyncio.get_running_loop().time() - started_at
        )
        read_headers(self._simulation.build_notice_headers(self.server))
        response: Any = _Response(status, loads.encode_load(load))
        return outcomes.Answered(response, b"", [])

    async def _run_at_backend(self, call: calls.Call) -> int:
        """Runs a call and its nested calls; returns the answer's status."""
        work_class = self._simulation.work_classes[call.plan.name]
        rng = self._simulation.rng
        factor = rng.lognormvariate(
            -(_WORK_LOG_DEVIATION**2) / 2, _WORK_LOG_DEVIATION
        )
        await asyncio.sleep(work_class.work_s * self.slowness * factor)
        for name in work_class.nested_classes:
            failure = await self._simulation.make_nested_call(
                self,
                name,
                call.deadline,
                call.repeat or _is_nested_in_repeat(call),
            )
            if failure is not None:
                return _STATUS_FAILED
        return _STATUS_OK


class Simulation:
    """Simulation of a fleet and its callers.

    Callers, daemons and backend servers are modelled. The decisions are made by
    the product's code: picking, admission, queues, retries, retry budgets and
    the recognition of callers that retry. Bytes, processor time, membership and
    the store are not modelled.

    Attributes:
        servers: Backend servers by number.
        work_classes: Classes of work by name.
        rng: Source of random numbers.
        table: Member table of the daemons.
        peer_answers: Number of answers between daemons, by whether they
            crossed zones.
        calls_by_service: Number of calls to each service. Each attempt of a
            caller and each nested call counts.
        repeats_by_service: Number of repeats among them that reached a backend
            server. Calls that are nested in a repeat count as repeats.
        peer_refusals: Number of refusals between daemons.
        sends: Times at which calls were sent to each backend server, in seconds
            from the start.
        held_s: Time that calls held slots of each backend server, in seconds.
    """

    def __init__(
        self,
        servers: list[records.Server],
        work_classes: list[records.WorkClass],
        seed: int = 1,
        swing: records.Swing | None = None,
    ):
        self.servers = servers
        self.work_classes = {
            work_class.plan.name: work_class for work_class in work_classes
        }
        self.rng = random.Random(seed)
        self.table = _MemberTable(servers)
        self.peer_answers: collections.Counter[bool] = collections.Counter()
        self.calls_by_service: collections.Counter[str] = collections.Counter()
        self.repeats_by_service: collections.Counter[str] = (
            collections.Counter()
        )
        self.peer_refusals = 0
        self.sends: list[list[float]] = [[] for _ in servers]
        self.held_s = [0.0 for _ in servers]
        self._swing = swing
        zones = sorted({server.zone for server in servers})
        self._phases = [
            zones.index(server.zone) / len(zones) for server in servers
        ]
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        # Values of the requests and of their answers, by number of the window
        # in which the requests began.
        self._requested_value: dict[int, float] = collections.defaultdict(float)
        self._earned_value: dict[int, float] = collections.defaultdict(float)
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._daemons = [
            _SimulatedDaemon(self, number) for number in range(len(servers))
        ]
        self._daemons_by_address = {
            f"10.0.0.{number}:2": daemon
            for number, daemon in enumerate(self._daemons)
        }

    def get_daemon(self, address: str) -> _SimulatedDaemon:
        """Returns the daemon at a peer address, "ip:port"."""
        return self._daemons_by_address[address]

    async def run(
        self, duration_s: float, changes: Iterable[records.ServerChange]
    ) -> records.Result:
        """Simulates callers until all their requests have ended.

        Args:
            duration_s: Time in which callers make requests, in seconds.
            changes: Changes of backend servers.
        """
        async with asyncio.TaskGroup() as group:
            for change in changes:
                group.create_task(self._apply_change(change))
            for work_class in self.work_classes.values():
                if work_class.rate:
                    group.create_task(
                        self._start_callers(work_class, duration_s, group)
                    )
        return self._build_result()

    async def make_nested_call(
        self,
        daemon: _SimulatedDaemon,
        name: str,
        parent_deadline: float,
        nested_in_repeat: bool = False,
    ) -> outcomes.Outcome | None:
        """Makes a call that is nested in a parent call.

        Args:
            daemon: Daemon of the backend server that makes the call.
            name: Name of the class.
            parent_deadline: Deadline of the parent call, in seconds.
            nested_in_repeat: Whether the parent call is a repeat or is nested
                in one.

        Returns:
            The outcome of the call if it failed or missed its deadline; None if
            it was answered successfully.
        """
        work_class = self.work_classes[name]
        now = self._loop.time()
        deadline = min(parent_deadline, now + work_class.timeout_s)
        latency_deadline = now + work_class.plan.latency_s
        self.calls_by_service[work_class.plan.service] += 1
        call = _build_call(work_class, deadline, latency_deadline)
        if nested_in_repeat:
            call.headers[_NESTED_IN_REPEAT_HEADER] = "1"
        outcome = await daemon.dispatcher.run(call)
        if isinstance(outcome, outcomes.Answered):
            if (
                outcome.response.status == _STATUS_OK
                and self._loop.time() < deadline
            ):
                outcome.release()
                return None
            outcome.release()
        return outcome

    def count_repeat(self, service: str, call: calls.Call) -> None:
        """Counts a call that reached a backend server if it is a repeat."""
        if call.repeat or _is_nested_in_repeat(call):
            self.repeats_by_service[service] += 1

    def record_send(self, number: int) -> None:
        """Records that a call is sent to a backend server."""
        self.sends[number].append(self._get_elapsed())

    def build_notice_headers(self, server: records.Server) -> dict[str, str]:
        """Returns the headers in which a backend server states its notices."""
        rate_limit = server.get_rate_limit(self._get_elapsed())
        if rate_limit is None:
            return {}
        return {headers.RATE_LIMIT: str(rate_limit)}

    def _get_elapsed(self) -> float:
        """Returns the seconds since the start."""
        return self._loop.time() - self._started_at

    def _restart_daemon(self, number: int) -> None:
        daemon = _SimulatedDaemon(self, number)
        daemon.slowness = self._daemons[number].slowness
        self._daemons[number] = daemon
        self._daemons_by_address[f"10.0.0.{number}:2"] = daemon

    async def _apply_change(self, change: records.ServerChange) -> None:
        """Changes a backend server at the time of the change."""
        await asyncio.sleep(change.at_s)
        if change.restarts_daemon:
            self._restart_daemon(change.server_number)
            return
        daemon = self._daemons[change.server_number]
        if change.slowness:
            daemon.slowness = change.slowness
            return
        self.table.remove(change.server_number)
        daemon.backend.state = control_pb2.DRAINING

    async def _start_callers(
        self,
        work_class: records.WorkClass,
        duration_s: float,
        group: asyncio.TaskGroup,
    ) -> None:
        """Starts the callers of a class of work at random times."""
        end = self._started_at + duration_s
        while self._loop.time() < end:
            await asyncio.sleep(self.rng.expovariate(work_class.rate))
            group.create_task(self._run_caller(work_class))

    def _choose_daemon(self) -> _SimulatedDaemon:
        """Returns the daemon that a caller sends its requests to."""
        if self._swing is None:
            return self.rng.choice(self._daemons)
        elapsed_s = self._get_elapsed()
        factors = [
            self._swing.get_factor(phase, elapsed_s) for phase in self._phases
        ]
        return self.rng.choices(self._daemons, factors)[0]

    async def _run_caller(self, work_class: records.WorkClass) -> None:
        """Makes the request of a caller, with its retries."""
        started_at = self._loop.time()
        daemon = self._choose_daemon()
        timeout_s = work_class.timeout_s * self.rng.uniform(
            work_class.min_timeout_fraction, 1.0
        )
        caller_deadline = started_at + timeout_s
        request_key = (work_class.plan.name, str(self.rng.getrandbits(24)))
        outcome: outcomes.Outcome | None = None
        for retry_count in range(work_class.max_retries + 1):
            outcome = await self._attempt(
                daemon, work_class, request_key, caller_deadline
            )
            if _is_success(outcome) or self._loop.time() >= caller_deadline:
                break
            if retry_count == work_class.max_retries or not _may_retry(
                work_class, outcome
            ):
                break
            remaining_s = caller_deadline - self._loop.time()
            await asyncio.sleep(min(_get_retry_delay(outcome), remaining_s / 3))
        self._record_result(
            work_class, outcome, started_at, caller_deadline, retry_count
        )

    async def _attempt(
        self,
        daemon: _SimulatedDaemon,
        work_class: records.WorkClass,
        request_key: tuple[str, str],
        caller_deadline: float,
    ) -> outcomes.Outcome:
        """Makes one attempt of a caller.

        Args:
            daemon: Daemon that receives the call.
            work_class: Class of work of the call.
            request_key: Key by which the daemon recognises the caller's
                retries.
            caller_deadline: Time at which the caller's timeout ends, in
                seconds.
        """
        now = self._loop.time()
        first_request_at = (
            daemon.refused_callers.pop(request_key, caller_deadline) or now
        )
        latency_deadline = first_request_at + work_class.plan.latency_s
        deadline = min(caller_deadline, now + work_class.plan.deadline_s)
        self.calls_by_service[work_class.plan.service] += 1
        outcome = await daemon.dispatcher.run(
            _build_call(work_class, deadline, latency_deadline)
        )
        if isinstance(outcome, outcomes.Answered):
            outcome.release()
        else:
            daemon.refused_callers.add(
                request_key, caller_deadline, first_request_at
            )
        return outcome

    def _record_result(
        self,
        work_class: records.WorkClass,
        outcome: outcomes.Outcome | None,
        started_at: float,
        caller_deadline: float,
        retry_count: int,
    ) -> None:
        """Records the result of a caller's request."""
        now = self._loop.time()
        window = int((started_at - self._started_at) / _RESULT_WINDOW_S)
        self._requested_value[window] += work_class.in_time_value
        earned_value = 0.0
        if _is_success(outcome) and now <= caller_deadline:
            in_time = now - started_at <= work_class.plan.latency_s
            result_name = "in time" if in_time else "late"
            earned_value = (
                work_class.in_time_value if in_time else work_class.late_value
            )
        elif isinstance(outcome, outcomes.NotRun):
            result_name = "refused again" if retry_count else "refused"
        else:
            result_name = "failed"
        self._earned_value[window] += earned_value
        self._counts[work_class.plan.name, result_name] += 1

    def _build_result(self) -> records.Result:
        answered = sum(
            count
            for (_, result_name), count in self._counts.items()
            if result_name in ("in time", "late")
        )
        window_fractions = sorted(
            self._earned_value[window] / requested_value
            for window, requested_value in self._requested_value.items()
        )
        return records.Result(
            self._counts,
            sum(self._earned_value.values())
            / sum(self._requested_value.values()),
            answered / self._counts.total(),
            sum(window_fractions[:2]) / len(window_fractions[:2]),
            self.peer_answers[True] / max(1, self.peer_answers.total()),
            self.peer_refusals
            / max(1, self.peer_refusals + self.peer_answers.total()),
            self._compute_busiest(),
            {
                service: self.repeats_by_service[service] / count
                for service, count in self.calls_by_service.items()
            },
            self.sends,
        )

    def _compute_busiest(self) -> float:
        """Returns the use of the busiest backend server, see `Result`."""
        used: dict[str, list[float]] = collections.defaultdict(list)
        for server, held_s in zip(self.servers, self.held_s, strict=True):
            used[server.service].append(held_s / server.slots)
        return max(
            max(service_used) * len(service_used) / max(1e-9, sum(service_used))
            for service_used in used.values()
        )


def simulate(
    servers: list[records.Server],
    work_classes: list[records.WorkClass],
    duration_s: float,
    seed: int = 1,
    changes: Iterable[records.ServerChange] = (),
    swing: records.Swing | None = None,
) -> records.Result:
    """Simulates the load of callers on a fleet.

    A simulation of ten seconds with fourteen daemons takes a few seconds.

    Args:
        servers: Backend servers, each with a daemon.
        work_classes: Classes of work and their callers.
        duration_s: Time in which callers make requests, in seconds.
        seed: Seed of the random numbers.
        changes: Changes of backend servers during the simulation.
        swing: Demand that moves between the zones; None: it is the same in all.
    """

    async def run() -> records.Result:
        return await Simulation(servers, work_classes, seed, swing).run(
            duration_s, changes
        )

    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(run())


def _build_upstream(number: int, server: records.Server) -> tables.Upstream:
    return tables.Upstream(
        member_id=_get_member_id(number),
        address=f"10.0.0.{number}",
        peer_port=2,
        zone=server.zone,
        region="local",
        slots=server.slots,
        ready_since_ms=1,
        suspect=False,
    )


def _get_member_id(number: int) -> str:
    return f"10.0.0.{number}:1"


def _build_call(
    work_class: records.WorkClass, deadline: float, latency_deadline: float
) -> calls.Call:
    return calls.Call(
        service=work_class.plan.service,
        plan=work_class.plan,
        method="GET",
        target="/",
        organisation=work_class.plan.organisation,
        headers=multidict.CIMultiDict(),
        body=bodies.Body(b"", 0),
        deadline=deadline,
        latency_deadline=latency_deadline,
        depth=0,
        attempt_number=0,
        key="",
    )


def _is_nested_in_repeat(call: calls.Call) -> bool:
    return _NESTED_IN_REPEAT_HEADER in call.headers


def _is_success(outcome: outcomes.Outcome | None) -> bool:
    if not isinstance(outcome, outcomes.Answered):
        return False
    return outcome.response.status == _STATUS_OK


def _may_retry(
    work_class: records.WorkClass, outcome: outcomes.Outcome
) -> bool:
    """Returns whether a caller may repeat a call that has failed."""
    return work_class.plan.repeatable or isinstance(outcome, outcomes.NotRun)


def _get_retry_delay(outcome: outcomes.Outcome) -> float:
    """Returns the seconds after which the daemon asks a caller to retry."""
    if isinstance(outcome, outcomes.NotRun):
        return outcome.retry_after_s or 0.0
    return 0.0
