"""Changes of the configuration that calm machines must follow in time."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from review.rig import fleet as fleets

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection

PLACES = [("balie", "weeghal-noord"), ("kassa", "weeghal-noord")] * 3
_OBSERVED_S = 7.0
_INTERVAL_S = 0.1


async def run(
    record: fleets.Record,
    disturb: Callable[[Collection[fleets.Machine]], Awaitable[None]],
) -> int:
    """Changes the configuration while some machines are disturbed.

    Args:
        record: What happened.
        disturb: Disturbs the machines that watch the store.

    Returns:
        The number of requests that calm machines handled as only an older
        version allows, sent later than `configDeadlineMs` after the
        confirmation of the change.
    """
    async with fleets.Fleet(record) as fleet:
        await fleet.start(
            PLACES,
            fleets.build_configuration(
                5, fleets.build_route("tickets", "balie")
            ),
        )
        await asyncio.sleep(8.0)
        watchers = await _find_watchers(fleet)
        if fleets.is_troubled():
            await disturb(watchers)
        await asyncio.sleep(0.3)
        confirmed_at = await fleet.write_configuration(
            fleets.build_configuration(
                9, fleets.build_route("tickets", "kassa")
            )
        )
        calm = [m for m in fleet.machines if m not in watchers]
        return await _observe(fleet, calm, confirmed_at)


async def _find_watchers(fleet: fleets.Fleet) -> list[fleets.Machine]:
    """Returns the machines whose daemons watch the store at present."""
    begun = [machine.relay.watches for machine in fleet.machines]
    for number in range(3):
        await fleet.store.write(f"op/other-{number}", b"x")
        await asyncio.sleep(1.5)
    watchers = [
        machine
        for machine, count in zip(fleet.machines, begun, strict=True)
        if machine.relay.watches > count
    ]
    addresses = [machine.address for machine in watchers]
    fleet.record.write(f"the store is watched by {addresses}")
    if not 0 < len(watchers) <= len(PLACES) / 3:
        raise fleets.SetupError(f"{len(watchers)} watchers")
    return watchers


async def _observe(
    fleet: fleets.Fleet, calm: Collection[fleets.Machine], confirmed_at: float
) -> int:
    """Counts the late requests that the service of the old version ran."""
    old = {
        machine.backend.instance_id
        for machine in fleet.machines
        if machine.backend.service == "balie"
    }
    breaks = number = 0
    while time.monotonic() - confirmed_at <= _OBSERVED_S:
        number += 1
        answers = await asyncio.gather(
            *(fleet.send(machine, f"/tickets/{number}") for machine in calm)
        )
        for answer in answers:
            late_s = answer.sent_at - confirmed_at - fleets.CONFIG_DEADLINE_S
            if answer.served_by in old and late_s > 0:
                breaks += 1
                fleet.record.write(
                    f"BROKEN: sent {late_s:.3f} s after the deadline, run by"
                    f" {answer.served_by} of the old service"
                )
        await asyncio.sleep(_INTERVAL_S)
    return breaks
