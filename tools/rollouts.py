"""Plays roll-outs of good and bad versions and tells how they were judged.

python -m tools.rollouts --plays 1000
"""

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
from merlintrestle.rollouts import tracker as books
from merlintrestle.schema import control_pb2

KINDS = ("good", "errors", "slow", "under load", "one class", "late")
_SERVICE = "balie"
_VERSION = "v2"
_SLOTS = 6
_SPEEDS = (0.5, 1.0, 1.0, 1.5)
_COLD_S = 3.0
_COLD_FACTOR = 2.0
# Time between two looks of the daemons, in seconds.
_LOOK_S = 0.25
# Part of the slots that a version which fails under load bears.
_BEARS = 0.7


class WorkClass(NamedTuple):
    """A class of work.

    Attributes:
        name: Its name.
        part: Part of the calls that are of it.
        work_s: Its mean work time, in seconds.
        log_deviation: Standard deviation of the logarithm of that.
    """

    name: str
    part: float
    work_s: float
    log_deviation: float


_CLASSES = (
    WorkClass("lookup", 0.7, 0.2, 0.3),
    WorkClass("payout", 0.3, 0.26, 0.8),
)


class Scene(NamedTuple):
    """What is played.

    Attributes:
        kind: What is wrong with the new version, one of `KINDS`.
        servers: Backend servers of each version.
        load: Part of the slots that the calls take.
        failing: Part of the calls that fail whatever the version.
        bad: Part of the answers of a bad version that are bad.
        sick: Part of the backend servers that fail two answers of five by
            themselves.
        late_s: Time after which a version turns bad that does so late.
        within_s: Time of the roll-out, in seconds.
        share: Part of the calls for the trial.
    """

    kind: str
    servers: int = 22
    load: float = 0.7
    failing: float = 0.02
    bad: float = 0.4
    sick: float = 0.0
    late_s: float = 3.0
    within_s: float = 16.0
    share: float = 0.06


class Result(NamedTuple):
    """How a roll-out went.

    Attributes:
        phase: Its last phase.
        took_s: Time until it was decided, in seconds.
        exposed: Part of all calls of its time that the new version got before
            it was decided.
        bad: Bad answers of the new version.
    """

    phase: analysis.Phase
    took_s: float
    exposed: float
    bad: int


class _Server:
    """One backend server, and the daemon beside it."""

    def __init__(self, play: _Play, member_id: str, version: str):
        self.member_id = member_id
        self.version = version
        self.speed = play.chance.choice(_SPEEDS)
        self.sick = play.chance.random() < play.scene.sick
        self.running: list[float] = []
        backend = backends.LocalBackend()
        backend.service = _SERVICE
        backend.version = version
        backend.warmup_ends_at = _COLD_S if version == _VERSION else 0.0
        self.observer = observers.Observer(
            play.book,
            backend,
            lambda: member_id,
            lambda: len(self.running),
            play.get_time,
        )

    def count_running(self, now: float) -> int:
        """Returns the calls that it runs."""
        while self.running and self.running[0] <= now:
            heapq.heappop(self.running)
        return len(self.running)


class _Play:
    """One roll-out."""

    def __init__(self, scene: Scene, seed: int):
        self.scene = scene
        self.chance = random.Random(seed)
        self.now = 0.0
        names = range(scene.servers)
        ids = [f"10.0.0.{i + 1}:7600" for i in names]
        new_ids = [f"10.0.1.{i + 1}:7600" for i in names]
        self.upstreams = tuple(
            tables.Upstream(
                one, "127.0.0.1", 1, "noord", "west", _SLOTS, 0, False, version
            )
            for version, some in (("v1", ids), (_VERSION, new_ids))
            for one in some
        )
        self.book = books.RolloutTracker(
            lambda service: self.upstreams, self.get_time
        )
        self.lanes = subsets.SubsetSelector(self.book, scene.share)
        self.servers = {
            one.member_id: _Server(self, one.member_id, one.version)
            for one in self.upstreams
        }
        self._ends: list[tuple[float, int, _Server, WorkClass, bool, float]]
        self._ends = []
        self._count = 0
        self._new_calls = 0
        self._bad = 0

    def get_time(self) -> float:
        """Returns the time in seconds."""
        return self.now

    def run(self) -> Result:
        """Plays until the roll-out is decided."""
        scene = self.scene
        mean_s = sum(one.part * one.work_s for one in _CLASSES)
        rate = scene.load * scene.servers * _SLOTS / mean_s
        self.book.merge_rollout(
            control_pb2.Rollout(
                service=_SERVICE,
                version=_VERSION,
                number=1,
                within_ms=round(scene.within_s * 1000),
            )
        )
        progress = self.book.get(_SERVICE)
        assert progress is not None
        look_at = decided_at = 0.0
        while self.now < scene.within_s:
            self.now += self.chance.expovariate(rate)
            self._end_calls()
            if self.now >= look_at:
                look_at = self.now + _LOOK_S
                self.book.update(_SERVICE)
                for server in self.servers.values():
                    server.observer.update()
            if progress.phase is analysis.Phase.BACK:
                decided_at = self.now
                break
            if progress.phase is not analysis.Phase.NEW:
                decided_at = self.now
            self._send()
        exposed = self._new_calls / (rate * scene.within_s)
        return Result(progress.phase, decided_at, exposed, self._bad)

    def _send(self) -> None:
        lane = self.lanes.choose(_SERVICE, self.upstreams).upstreams
        free = [
            server
            for server in (self.servers[one.member_id] for one in lane)
            if server.count_running(self.now) < _SLOTS
        ]
        if not free:
            return
        server = self.chance.choice(free)
        parts = [one.part for one in _CLASSES]
        work = self.chance.choices(_CLASSES, parts)[0]
        took_s, failed = self._answer(server, work)
        heapq.heappush(server.running, self.now + took_s)
        self._count += 1
        end = (self.now + took_s, self._count, server, work, failed, took_s)
        heapq.heappush(self._ends, end)
        self._new_calls += server.version == _VERSION

    def _answer(self, server: _Server, work: WorkClass) -> tuple[float, bool]:
        """Returns how long a call takes, and whether it fails."""
        factor = self.chance.lognormvariate(
            -(work.log_deviation**2) / 2, work.log_deviation
        )
        took_s = work.work_s * factor / server.speed
        failed = self.chance.random() < self.scene.failing
        failed |= server.sick and self.chance.random() < 0.4
        if server.version != _VERSION:
            return took_s, failed
        if self.now < _COLD_S:
            took_s *= _COLD_FACTOR
        if not self._is_bad(server, work):
            return took_s, failed
        if self.scene.kind == "slow":
            return took_s * 8, failed
        return took_s, True

    def _is_bad(self, server: _Server, work: WorkClass) -> bool:
        """Returns whether the new version answers badly this time."""
        scene = self.scene
        if scene.kind == "good" or self.chance.random() >= scene.bad:
            return False
        if scene.kind == "under load":
            return server.count_running(self.now) >= _BEARS * _SLOTS
        if scene.kind == "one class":
            return work.name == "payout"
        return scene.kind != "late" or self.now >= scene.late_s

    def _end_calls(self) -> None:
        while self._ends and self._ends[0][0] <= self.now:
            _, _, server, work, failed, took_s = heapq.heappop(self._ends)
            server.observer.record_call(work.name, failed, took_s)
            self._bad += failed and server.version == _VERSION


def play(scene: Scene, seed: int) -> Result:
    """Plays one roll-out."""
    return _Play(scene, seed).run()


def summarize(scene: Scene, plays: int, first_seed: int = 1) -> dict[str, Any]:
    """Returns the figures of several roll-outs of one kind."""
    results = [play(scene, first_seed + number) for number in range(plays)]
    phases = collections.Counter(one.phase.name.lower() for one in results)
    exposed = sorted(one.exposed for one in results)
    took_s = sorted(one.took_s for one in results)
    bad = sorted(one.bad for one in results)
    last = max(0, round(plays * 0.99) - 1)
    return {
        "kind": scene.kind,
        "plays": plays,
        "phases": dict(phases),
        "took_s": [round(took_s[plays // 2], 1), round(took_s[last], 1)],
        "exposed": [round(exposed[plays // 2], 3), round(exposed[last], 3)],
        "bad": [bad[plays // 2], bad[last]],
    }


@click.command()
@click.option("--plays", default=100, show_default=True, help="Of each kind.")
@click.option("--load", default=0.7, show_default=True)
@click.option("--failing", default=0.02, show_default=True)
@click.option("--sick", default=0.0, show_default=True)
@click.option("--servers", default=22, show_default=True)
def main(
    plays: int, load: float, failing: float, sick: float, servers: int
) -> None:
    """Prints a JSON line for each kind: median, and 99 in 100 are below."""
    for kind in KINDS:
        scene = Scene(
            kind, servers=servers, load=load, failing=failing, sick=sick
        )
        click.echo(json.dumps(summarize(scene, plays)))


if __name__ == "__main__":
    main()
