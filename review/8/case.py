"""A daemon that was frozen ends a later order of the same version."""

from __future__ import annotations

import asyncio
import collections
import json
import pathlib
import random
import signal
import time
from typing import TYPE_CHECKING

from merlintrestle.members import selection
from merlintrestle.schema import control_pb2
from review.lab import deployment as deployments
from review.lab import rollouts
from review.lab import scripts
from review.lab import upstreams

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_OLD_COUNT, _NEW_COUNT = 6, 2
_REQUESTS_PER_S = 110.0
_CONSUMERS = 4
_BEFORE_S = 12.0
_DURATION_S = 16.0
# An upstream of the new version fails half of its requests while it gets more
# than this many requests a second.
_SOUND_RATE = 42.0
_RATE_WINDOW_S = 0.5
_BAD_SHARE = 0.5
# From the first request at the second new upstream to the freeze.
_FREEZE_AFTER_S = 0.2
_FREEZE_S = 4.0
# From the end of the first order to the second one.
_ORDER_AGAIN_AFTER_S = 0.3
_POLL_S = 0.05
_WATCHERS_PER_ZONE = 2
_SEED = 8


def _build_answer(
    upstream: upstreams.Upstream, generator: random.Random
) -> Callable[[upstreams.Request, asyncio.StreamWriter], Awaitable[bool]]:
    """Returns how an upstream answers; a new one is bad under load."""
    recent: collections.deque[float] = collections.deque()

    async def answer(
        received: upstreams.Request, writer: asyncio.StreamWriter
    ) -> bool:
        now = time.monotonic()
        recent.append(now)
        while recent[0] < now - _RATE_WINDOW_S:
            recent.popleft()
        loaded = len(recent) > _SOUND_RATE * _RATE_WINDOW_S
        await asyncio.sleep(generator.uniform(0.02, 0.04))
        if (
            upstream.version == rollouts.NEW
            and loaded
            and generator.random() < _BAD_SHARE
        ):
            upstream.write_answer(writer, received, b"failed", 500)
        else:
            upstream.write_answer(writer, received, b"whole")
        return True

    return answer


def _find_first_writer(
    deployment: deployments.Deployment,
) -> deployments.Machine:
    """Returns the machine whose daemon writes the states of roll-outs first.

    The daemons that watch the store do, the first by id.
    """
    members = {
        machine.member_id: control_pb2.Member(
            id=machine.member_id, zone=machine.zone, link_mbps=1000.0
        )
        for machine in deployment.machines
    }
    watchers = [
        member_id
        for zone in deployments.ZONES
        for member_id in selection.choose_by_link_speed(
            selection.build_zone_key("watch", zone),
            [member for member in members.values() if member.zone == zone],
            _WATCHERS_PER_ZONE,
        )
    ]
    first = min(watchers)
    return next(
        machine for machine in deployment.machines if machine.member_id == first
    )


class _Platform:
    """What the platform does at roll-outs.

    Attributes:
        state: The state that the system has stated last.
    """

    def __init__(
        self, deployment: deployments.Deployment, record: deployments.Record
    ):
        self.state = ""
        self._deployment = deployment
        self._record = record
        self._stops: set[asyncio.Task[None]] = set()

    async def follow(self) -> None:
        """Follows the state; stops the old upstreams at `complete`."""
        while True:
            text = self._deployment.read_key(rollouts.STATUS_KEY)
            state = json.loads(text)["state"] if text else ""
            if state != self.state:
                self._record.write(f"status: {text}")
                self.state = state
                if state == "complete":
                    await self._stop_old()
            await asyncio.sleep(_POLL_S)

    async def _stop_old(self) -> None:
        for machine in self._deployment.machines:
            if machine.upstream.version == rollouts.OLD:
                await machine.upstream.close()
        self._record.write("the old upstreams stop, their machines follow")
        for machine in self._deployment.machines:
            if machine.upstream.version == rollouts.OLD:
                machine.stopping = True
                self._stops.add(asyncio.create_task(machine.stop()))

    async def wait_for(self, states: tuple[str, ...], seconds: float) -> str:
        """Waits until the state is one of these; returns it."""
        ends_at = time.monotonic() + seconds
        while self.state not in states and time.monotonic() < ends_at:
            await asyncio.sleep(_POLL_S)
        return self.state


async def _freeze(
    deployment: deployments.Deployment, record: deployments.Record
) -> None:
    """Freezes the first writer once the new version gets all requests."""
    frozen = _find_first_writer(deployment)
    last_new = deployment.machines[-1].upstream
    other_new = deployment.machines[-2].upstream
    while not (last_new.runs and other_new.runs):
        await asyncio.sleep(0.01)
    await asyncio.sleep(_FREEZE_AFTER_S)
    frozen.frozen = True
    frozen.send_signal(signal.SIGSTOP)
    await asyncio.sleep(_FREEZE_S)
    frozen.frozen = False
    frozen.send_signal(signal.SIGCONT)
    record.write(f"{frozen.name} was frozen for {_FREEZE_S} s")


async def _run(record: deployments.Record, trouble: bool) -> int:
    generator = random.Random(_SEED)
    plan = rollouts.Plan(0.0, {})
    async with rollouts.build_deployment(record) as deployment:
        await deployment.start(
            rollouts.build_configuration(), [rollouts.SERVICE] * _OLD_COUNT
        )
        consumers = rollouts.Consumers(generator, plan)
        rate = _REQUESTS_PER_S / _OLD_COUNT / _CONSUMERS
        tasks = []
        for machine in deployment.machines:
            machine.upstream.on_answer = _build_answer(
                machine.upstream, generator
            )
            tasks += [
                asyncio.create_task(consumers.use(machine, rate))
                for _ in range(_CONSUMERS)
            ]
        await asyncio.sleep(_BEFORE_S)
        platform = _Platform(deployment, record)
        tasks.append(asyncio.create_task(platform.follow()))
        first_at = await rollouts.order(deployment, record, _DURATION_S)
        for _ in range(_NEW_COUNT):
            machine = await deployment.add(rollouts.SERVICE, rollouts.NEW)
            machine.upstream.on_answer = _build_answer(
                machine.upstream, generator
            )
            consumers.spare.append(machine)
        if trouble:
            tasks.append(asyncio.create_task(_freeze(deployment, record)))
        await platform.wait_for(("rolled_back", "complete"), _DURATION_S)
        await asyncio.sleep(_ORDER_AGAIN_AFTER_S)
        second_at = await rollouts.order(deployment, record, _DURATION_S)
        await asyncio.sleep(_DURATION_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        record.write(f"answers by path and status: {consumers.statuses}")
        broken = [
            rollouts.judge(
                deployment,
                record,
                True,
                at,
                _DURATION_S,
                consumers.out_of_touch,
            )
            for at in (first_at, second_at)
        ]
        return 1 if any(broken) else 0


if __name__ == "__main__":
    scripts.run(pathlib.Path(__file__).parent, _run)
