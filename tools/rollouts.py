"""Simulates roll-outs of good and bad versions and reports how they ended."""

from __future__ import annotations

import collections
import heapq
import json
import random
from typing import Any, NamedTuple

import click

from merlintrestle.members import table as tables
from merlintrestle.requests import backend as backends
from merlintrestle.rollouts import analysis
from merlintrestle.rollouts import observer as observers
from merlintrestle.rollouts import subsets
from merlintrestle.rollouts import tracker as trackers
from merlintrestle.schema import control_pb2

# Kinds of new versions: without a fault; with failing calls; with slow calls;
# with calls that fail at busy backend servers only; with calls that fail in one
# class of work only; with calls that fail only after some time.
KINDS = ("good", "errors", "slow", "under load", "one class", "late")
_SERVICE = "balie"
_VERSION = "v2"
_SLOTS_PER_SERVER = 6
# Speeds of backend servers, as multiples of the usual one. Each backend server
# has one of them at random.
_SPEEDS = (0.5, 1.0, 1.0, 1.5)
# Time from the start of the roll-out in which the backend servers of the new
# version are warming up.
_WARMUP_S = 3.0
# Factor on the time that their calls take meanwhile.
_WARMUP_FACTOR = 2.0
# Fraction of the calls that a faulty backend server fails with any version.
_FAULTY_SERVER_ERROR_FRACTION = 0.4
# Factor on the time that the slow calls of a version of the kind "slow" take.
_SLOW_CALL_FACTOR = 8
# Interval between two updates of the daemons' observers.
_UPDATE_INTERVAL_S = 0.25
# Fraction of busy slots from which a version of the kind "under load" fails.
_FAILING_LOAD = 0.7


class WorkClass(NamedTuple):
    """A class of work.

    Attributes:
        name: Name of the class.
        fraction: Fraction of the calls that belong to the class.
        work_s: Mean work time of a call, in seconds.
        log_deviation: Standard deviation of the logarithm of the work time.
    """

    name: str
    fraction: float
    work_s: float
    log_deviation: float


_CLASSES = (
    WorkClass("lookup", 0.7, 0.2, 0.3),
    WorkClass("payout", 0.3, 0.26, 0.8),
)


class Conditions(NamedTuple):
    """Conditions of a simulated roll-out.

    Attributes:
        kind: What is wrong with the new version, one of `KINDS`.
        servers: Number of backend servers of each version.
        load: Fraction of the slots of one version that the calls occupy at
            backend servers of the usual speed.
        error_fraction: Fraction of the calls that fail with any version.
        bad_fraction: Fraction of the answers of a bad version that are bad,
            among those that the fault of its kind affects.
        faulty_server_fraction: Fraction of the backend servers that fail two
            calls in five with any version.
        turns_bad_after_s: Time after which a version of the kind "late" turns
            bad, in seconds.
        timeout_s: Time in which the roll-out must be decided, in seconds.
        trial_share: Share of the calls that the new version gets in the trial
            phase.
    """

    kind: str
    servers: int = 22
    load: float = 0.7
    error_fraction: float = 0.02
    bad_fraction: float = 0.4
    faulty_server_fraction: float = 0.0
    turns_bad_after_s: float = 3.0
    timeout_s: float = 16.0
    trial_share: float = 0.06


class Result(NamedTuple):
    """Outcome of a simulated roll-out.

    Attributes:
        phase: Last phase of the roll-out.
        decided_s: Time until the new version got all calls or was rolled back,
            in seconds; about the time of the roll-out if neither happened.
        exposed_fraction: Calls that the new version got until it was rolled
            back or the time was up, as a fraction of all calls that are
            expected in the time of the roll-out.
        failed_calls: Number of calls that failed at the new version, whatever
            the reason. Slow calls do not count.
    """

    phase: analysis.Phase
    decided_s: float
    exposed_fraction: float
    failed_calls: int


class _Server:
    """A backend server with the observer of its daemon.

    Attributes:
        member_id: Id of the daemon.
        version: Version of the backend server.
        speed: Speed, as a multiple of the usual one.
        faulty: Whether the backend server fails calls with any version.
        call_ends: Heap of the times at which running calls end, in seconds.
        observer: Observer of the daemon.
    """

    def __init__(self, simulation: _Simulation, member_id: str, version: str):
        self.member_id = member_id
        self.version = version
        self.speed = simulation.rng.choice(_SPEEDS)
        self.faulty = (
            simulation.rng.random()
            < simulation.conditions.faulty_server_fraction
        )
        self.call_ends: list[float] = []
        backend = backends.LocalBackend()
        backend.service = _SERVICE
        backend.version = version
        backend.warmup_ends_at = _WARMUP_S if version == _VERSION else 0.0
        self.observer = observers.Observer(
            simulation.tracker,
            backend,
            lambda: member_id,
            lambda: len(self.call_ends),
            simulation.get_time,
        )

    def count_running(self, now: float) -> int:
        """Returns the number of running calls, and forgets those that ended.

        Args:
            now: Present time, in seconds.
        """
        while self.call_ends and self.call_ends[0] <= now:
            heapq.heappop(self.call_ends)
        return len(self.call_ends)


class _Simulation:
    """Simulation of one roll-out.

    Attributes:
        conditions: Conditions of the roll-out.
        rng: Source of random numbers.
        now: Simulated time in seconds.
        upstreams: Upstreams of the service, of both versions.
        tracker: Tracker of the roll-out, common to all daemons.
        subset_selector: Chooses which version each call goes to.
        servers: Backend servers by the id of their daemon.
    """

    def __init__(self, conditions: Conditions, seed: int):
        self.conditions = conditions
        self.rng = random.Random(seed)
        self.now = 0.0
        numbers = range(conditions.servers)
        old_ids = [f"10.0.0.{number + 1}:7600" for number in numbers]
        new_ids = [f"10.0.1.{number + 1}:7600" for number in numbers]
        self.upstreams = tuple(
            tables.Upstream(
                member_id,
                "127.0.0.1",
                1,
                "noord",
                "west",
                _SLOTS_PER_SERVER,
                0,
                False,
                version,
            )
            for version, member_ids in (("v1", old_ids), (_VERSION, new_ids))
            for member_id in member_ids
        )
        self.tracker = trackers.RolloutTracker(
            lambda service: self.upstreams, self.get_time
        )
        self.subset_selector = subsets.SubsetSelector(
            self.tracker, conditions.trial_share
        )
        self.servers = {
            upstream.member_id: _Server(
                self, upstream.member_id, upstream.version
            )
            for upstream in self.upstreams
        }
        # Heap of the running calls: time of the end, number of the call,
        # backend server, class, whether the call fails, and its duration. Times
        # are in seconds.
        self._running: list[tuple[float, int, _Server, WorkClass, bool, float]]
        self._running = []
        self._call_count = 0
        self._new_version_calls = 0
        self._failed_calls = 0

    def get_time(self) -> float:
        """Returns the simulated time in seconds."""
        return self.now

    def run(self) -> Result:
        """Simulates calls until the version is rolled back or time is up."""
        conditions = self.conditions
        mean_work_s = sum(
            work_class.fraction * work_class.work_s for work_class in _CLASSES
        )
        rate = (
            conditions.load
            * conditions.servers
            * _SLOTS_PER_SERVER
            / mean_work_s
        )
        self.tracker.merge_rollout(
            control_pb2.Rollout(
                service=_SERVICE,
                version=_VERSION,
                number=1,
                within_ms=round(conditions.timeout_s * 1000),
            )
        )
        progress = self.tracker.get(_SERVICE)
        assert progress is not None
        next_update_s = decided_s = 0.0
        while self.now < conditions.timeout_s:
            self.now += self.rng.expovariate(rate)
            self._end_calls()
            if self.now >= next_update_s:
                next_update_s = self.now + _UPDATE_INTERVAL_S
                self.tracker.update(_SERVICE)
                for server in self.servers.values():
                    server.observer.update()
            if progress.phase is analysis.Phase.BACK:
                decided_s = self.now
                break
            if progress.phase is not analysis.Phase.NEW:
                decided_s = self.now
            self._send_call()
        exposed_fraction = self._new_version_calls / (
            rate * conditions.timeout_s
        )
        return Result(
            progress.phase, decided_s, exposed_fraction, self._failed_calls
        )

    def _send_call(self) -> None:
        """Sends a call to a backend server; drops it if no slot is free."""
        subset = self.subset_selector.choose(_SERVICE, self.upstreams).upstreams
        free_servers = [
            server
            for server in (
                self.servers[upstream.member_id] for upstream in subset
            )
            if server.count_running(self.now) < _SLOTS_PER_SERVER
        ]
        if not free_servers:
            return
        server = self.rng.choice(free_servers)
        fractions = [work_class.fraction for work_class in _CLASSES]
        work_class = self.rng.choices(_CLASSES, fractions)[0]
        duration_s, failed = self._draw_call(server, work_class)
        heapq.heappush(server.call_ends, self.now + duration_s)
        self._call_count += 1
        running = (
            self.now + duration_s,
            self._call_count,
            server,
            work_class,
            failed,
            duration_s,
        )
        heapq.heappush(self._running, running)
        self._new_version_calls += server.version == _VERSION

    def _draw_call(
        self, server: _Server, work_class: WorkClass
    ) -> tuple[float, bool]:
        """Draws the duration of a call in seconds, and whether it fails."""
        factor = self.rng.lognormvariate(
            -(work_class.log_deviation**2) / 2, work_class.log_deviation
        )
        duration_s = work_class.work_s * factor / server.speed
        failed = self.rng.random() < self.conditions.error_fraction
        failed |= (
            server.faulty and self.rng.random() < _FAULTY_SERVER_ERROR_FRACTION
        )
        if server.version != _VERSION:
            return duration_s, failed
        if self.now < _WARMUP_S:
            duration_s *= _WARMUP_FACTOR
        if not self._is_bad(server, work_class):
            return duration_s, failed
        if self.conditions.kind == "slow":
            return duration_s * _SLOW_CALL_FACTOR, failed
        return duration_s, True

    def _is_bad(self, server: _Server, work_class: WorkClass) -> bool:
        """Returns whether the new version answers this call badly."""
        conditions = self.conditions
        if (
            conditions.kind == "good"
            or self.rng.random() >= conditions.bad_fraction
        ):
            return False
        if conditions.kind == "under load":
            return (
                server.count_running(self.now)
                >= _FAILING_LOAD * _SLOTS_PER_SERVER
            )
        if conditions.kind == "one class":
            return work_class.name == "payout"
        return (
            conditions.kind != "late"
            or self.now >= conditions.turns_bad_after_s
        )

    def _end_calls(self) -> None:
        """Reports the calls that have ended to the observers."""
        while self._running and self._running[0][0] <= self.now:
            _, _, server, work_class, failed, duration_s = heapq.heappop(
                self._running
            )
            server.observer.record_call(work_class.name, failed, duration_s)
            self._failed_calls += failed and server.version == _VERSION


def simulate(conditions: Conditions, seed: int) -> Result:
    """Simulates one roll-out."""
    return _Simulation(conditions, seed).run()


def summarize(
    conditions: Conditions, simulations: int, first_seed: int = 1
) -> dict[str, Any]:
    """Simulates several roll-outs of one kind and returns their figures.

    Args:
        conditions: Conditions of the roll-outs.
        simulations: Number of roll-outs.
        first_seed: Seed of the first one; the seeds of the others follow it.

    Returns:
        The figures that are printed: numbers of roll-outs by their last phase,
        and the median and the 99th percentile of the other figures.
    """
    results = [
        simulate(conditions, first_seed + number)
        for number in range(simulations)
    ]
    phases = collections.Counter(
        result.phase.name.lower() for result in results
    )
    exposed = sorted(result.exposed_fraction for result in results)
    decided_s = sorted(result.decided_s for result in results)
    failed = sorted(result.failed_calls for result in results)
    p99_index = max(0, round(simulations * 0.99) - 1)
    return {
        "kind": conditions.kind,
        "plays": simulations,
        "phases": dict(phases),
        "took_s": [
            round(decided_s[simulations // 2], 1),
            round(decided_s[p99_index], 1),
        ],
        "exposed": [
            round(exposed[simulations // 2], 3),
            round(exposed[p99_index], 3),
        ],
        "bad": [failed[simulations // 2], failed[p99_index]],
    }


# Usage: python -m tools.rollouts --plays 1000
@click.command()
@click.option(
    "--plays",
    default=100,
    show_default=True,
    help="Number of roll-outs of each kind.",
)
@click.option("--load", default=0.7, show_default=True)
@click.option("--failing", default=0.02, show_default=True)
@click.option("--sick", default=0.0, show_default=True)
@click.option("--servers", default=22, show_default=True)
def main(
    plays: int, load: float, failing: float, sick: float, servers: int
) -> None:
    """Prints JSON lines with the median and 99th percentile of each kind."""
    for kind in KINDS:
        conditions = Conditions(
            kind,
            servers=servers,
            load=load,
            error_fraction=failing,
            faulty_server_fraction=sick,
        )
        click.echo(json.dumps(summarize(conditions, plays)))


if __name__ == "__main__":
    main()
