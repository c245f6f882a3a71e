"""Open connections to upstreams go silent in the middle of downloads."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from review.lib import consumer
from review.lib import deployment
from review.lib import runner

if TYPE_CHECKING:
    from collections.abc import Sequence

_TIMEOUT_S = 5.0
# Time after the route's timeout at which there must be a final answer.
_MARGIN_S = 0.5
_MIN_COUNT = 8
_MIN_SHARE = 0.25
_DOWNLOADS = 16
# How long a consumer waits for its answer.
_DEADLINE_MS = 6_941
_BODY_BYTES = 540_000
_BODY_S = 0.6


async def _download(
    daemon: deployment.Daemon, record: deployment.Record, number: int
) -> consumer.Request:
    request = consumer.Request(f"/footage/{number}", deadline_ms=_DEADLINE_MS)
    await consumer.send(daemon, record, request)
    return request


async def play(
    fleet: deployment.Deployment, record: deployment.Record
) -> list[str]:
    """Silences the connections to all upstreams during downloads."""
    route = deployment.build_route(
        "footage", "/footage/", kind="download", timeoutMs=int(_TIMEOUT_S * 1e3)
    )
    configuration = deployment.build_configuration(5, [route], ["desk"])
    await fleet.start(configuration, "desk", "desk", with_relays=True)
    for daemon in fleet.daemons:
        daemon.backend.body_bytes = _BODY_BYTES
        daemon.backend.body_s = _BODY_S
    # All machines have been in touch for `stableWindowMs` by then.
    await asyncio.sleep(4.0)
    tasks = [
        asyncio.create_task(
            _download(fleet.daemons[number % 2], record, number)
        )
        for number in range(_DOWNLOADS)
    ]
    await asyncio.sleep(_BODY_S / 2)
    if runner.has_trouble():
        record.add("the open connections to the upstreams go silent")
        for relay in fleet.relays:
            relay.silence()
    requests = [await task for task in tasks]
    return _find_unanswered(requests)


def _find_unanswered(requests: Sequence[consumer.Request]) -> list[str]:
    """Returns the requests without a final answer, if they are too many."""
    long = [
        request
        for request in requests
        if request.ended_at - request.sent_at > _TIMEOUT_S
    ]
    unanswered = [
        f"CONFIG: {request.attempt_id} {request.path} ended"
        f" {request.ended_at - request.sent_at:.1f} s after it was sent"
        for request in long
        if request.ended_at - request.sent_at > _TIMEOUT_S + _MARGIN_S
    ]
    too_many = len(unanswered) >= _MIN_COUNT and len(
        unanswered
    ) > _MIN_SHARE * len(long)
    return unanswered if too_many else []


if __name__ == "__main__":
    runner.run(__file__, play)
