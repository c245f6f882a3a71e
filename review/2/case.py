"""A planned stop of a machine whose upstream has one long request."""

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

_WORK_S = 0.35
# Work of the one long request, and when it is sent after SIGTERM.
_LONG_WORK_S = 3.5
_LONG_SENT_S = 2.0
# How long consumers wait for a payout, and for the long request.
_DEADLINE_MS = 6_610
_LONG_DEADLINE_MS = 6_941
_SEND_INTERVAL_S = 0.05
_SEND_FOR_S = 7.5
_GRACE_S = 6.0
# Planned work counts until this time after the grace period.
_AFTER_GRACE_S = 1.0
# A request that was sent within this time after SIGTERM is excused if its
# upstream still worked on it in the last sixth of the grace period.
_LATE_SEND_S = 3.0


async def _pay(
    daemon: deployment.Daemon, record: deployment.Record, end: float
) -> Sequence[consumer.Request]:
    """Sends payouts at short intervals until a time, each once."""
    requests: list[consumer.Request] = []
    tasks = []
    while time.monotonic() < end:
        request = consumer.Request(
            f"/payouts/{len(requests)}",
            method="POST",
            body=b"amount=25",
            deadline_ms=_DEADLINE_MS,
        )
        requests.append(request)
        tasks.append(
            asyncio.create_task(consumer.send(daemon, record, request))
        )
        await asyncio.sleep(_SEND_INTERVAL_S)
    await asyncio.gather(*tasks)
    return requests


async def play(
    fleet: deployment.Deployment, record: deployment.Record
) -> list[str]:
    """Stops the only daemon of a zone while its consumers send payouts."""
    routes = [
        deployment.build_route(
            "payouts", "/payouts/", kind="non_idempotent", timeoutMs=3000
        ),
        deployment.build_route(
            "statements", "/statements/", kind="download", timeoutMs=6000
        ),
    ]
    configuration = deployment.build_configuration(5, routes, ["desk"])
    await fleet.start(
        configuration, "desk", "desk", "desk", zones=["zone-a", *2 * ["zone-b"]]
    )
    for daemon in fleet.daemons:
        daemon.backend.work_s = _WORK_S
        daemon.backend.slow_work_s = _LONG_WORK_S
    # All machines have been in touch for `stableWindowMs` by then.
    await asyncio.sleep(4.0)
    stopped = fleet.daemons[0]
    stopped_at = time.monotonic()
    payouts = asyncio.create_task(
        _pay(stopped, record, stopped_at + _SEND_FOR_S)
    )
    if runner.has_trouble():
        stopped.send_signal(signal.SIGTERM)
    await asyncio.sleep(_LONG_SENT_S)
    long_request = consumer.Request(
        "/statements/slow", deadline_ms=_LONG_DEADLINE_MS
    )
    await consumer.send(stopped, record, long_request)
    return _find_lost(fleet, [*await payouts, long_request], stopped_at)


def _find_lost(
    fleet: deployment.Deployment,
    sent: Sequence[consumer.Request],
    stopped_at: float,
) -> list[str]:
    """Returns the requests that were passed on and got no whole answer.

    A request that was not passed on is not counted here. Neither is one that
    was sent within 3 s of SIGTERM and at which its upstream was at work in the
    last sixth of the grace period, nor one whose connection ended later than
    1 s after the grace period.
    """
    last_sixth_at = stopped_at + _GRACE_S * 5 / 6
    runs = {
        run.attempt_id: run
        for daemon in fleet.daemons
        for run in daemon.backend.runs
    }
    lost = []
    for request in sent:
        run = runs.get(request.attempt_id)
        if request.status or run is None:
            continue
        excused = (
            request.sent_at <= stopped_at + _LATE_SEND_S
            and run.dropped_at >= last_sixth_at
        )
        late = request.ended_at > stopped_at + _GRACE_S + _AFTER_GRACE_S
        if excused or late:
            continue
        lost.append(
            f"LOST: {request.attempt_id} {request.path}, sent"
            f" {request.sent_at - stopped_at:.2f} s after SIGTERM, ran at"
            f" {run.backend}; its connection ended without an answer"
            f" {request.ended_at - stopped_at:.2f} s after SIGTERM"
        )
    return lost


if __name__ == "__main__":
    runner.run(__file__, play)
