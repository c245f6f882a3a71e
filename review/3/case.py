"""A daemon restarts while its upstream leaves, and an old ping arrives late."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

from review.lib import consumer
from review.lib import deployment
from review.lib import runner

if TYPE_CHECKING:
    from collections.abc import Sequence

_DRAIN_S = 2.5
_STABLE_WINDOW_S = 3.0
# How long the leaving upstream goes on serving after its confirmation.
_STAY_S = 12.0
# How late the ping is that the upstream sent just before it left.
_PING_DELAY_S = 4.0
_SEND_INTERVAL_S = 0.05
_WORK_S = 0.2
_OK = 200


async def _send_for(
    daemon: deployment.Daemon, record: deployment.Record, end: float
) -> Sequence[consumer.Request]:
    """Sends requests at short intervals until a time."""
    requests = []
    tasks = []
    while time.monotonic() < end:
        request = consumer.Request(f"/tickets/{len(requests)}")
        requests.append(request)
        tasks.append(
            asyncio.create_task(consumer.send(daemon, record, request))
        )
        await asyncio.sleep(_SEND_INTERVAL_S)
    await asyncio.gather(*tasks)
    return requests


async def _restart(daemon: deployment.Daemon) -> None:
    """Kills a daemon and starts it again."""
    await asyncio.sleep(0.5)
    daemon.send_signal(signal.SIGKILL)
    await daemon.wait()
    await asyncio.sleep(0.3)
    await daemon.start()


async def play(
    fleet: deployment.Deployment, record: deployment.Record
) -> list[str]:
    """Sends requests from a third machine while an upstream leaves."""
    configuration = deployment.build_configuration(
        5,
        [deployment.build_route("tickets", "/tickets/")],
        ["desk", "front"],
    )
    await fleet.start(configuration, "front", "desk", "desk")
    for daemon in fleet.daemons:
        daemon.backend.work_s = _WORK_S
    # All machines have been in touch for `stableWindowMs` by then.
    await asyncio.sleep(4.0)
    front, restarted, _ = fleet.daemons
    backend = restarted.backend
    late_ping = backend.build_heartbeat(restarted)
    sent_at = time.monotonic()
    backend.stop_heartbeats()
    # From now on, its status check answers that it is leaving.
    backend.state = "draining"
    status = await backend.leave(restarted)
    if status != _OK:
        raise runner.CannotRunError(f"the leave was answered with {status}")
    confirmed_at = time.monotonic()
    sender = asyncio.create_task(
        _send_for(front, record, confirmed_at + _STAY_S)
    )
    in_touch_at = 0.0
    if runner.has_trouble():
        await _restart(restarted)
        in_touch_at = time.monotonic() + _STABLE_WINDOW_S
        remaining_s = sent_at + _PING_DELAY_S - time.monotonic()
        if remaining_s < 0:
            raise runner.CannotRunError("the daemon took too long to start")
        await asyncio.sleep(remaining_s)
        record.add("the ping that was sent before the leave arrives")
        await backend.post_heartbeat(restarted, late_ping)
    sent = await sender
    await backend.close()
    record.add(f"{backend.instance_id} has ended")
    return _find_late(
        backend, sent, max(confirmed_at + _DRAIN_S, in_touch_at), confirmed_at
    )


def _find_late(
    backend: deployment.Backend,
    sent: Sequence[consumer.Request],
    since: float,
    confirmed_at: float,
) -> list[str]:
    """Returns the requests that reached the upstream too late.

    Args:
        backend: The upstream that left.
        sent: The requests, sent to a machine in touch.
        since: `drainMs` after the confirmation, and when the restarted machine
            was in touch again.
        confirmed_at: When the leave was confirmed.
    """
    sent_ids = {request.attempt_id for request in sent}
    return [
        f"DRAIN: {run.attempt_id} reached {run.backend}"
        f" {run.started_at - confirmed_at:.1f} s after its leave was confirmed"
        for run in backend.runs
        if run.started_at > since and run.attempt_id in sent_ids
    ]


if __name__ == "__main__":
    runner.run(__file__, play)
