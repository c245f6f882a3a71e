"""Two machines of a zone are partitioned from the store."""

from __future__ import annotations

import asyncio
import pathlib
from typing import TYPE_CHECKING

from review.rig import changes
from review.rig import fleet as fleets

if TYPE_CHECKING:
    from collections.abc import Collection

_CUT_S = 5.5


async def run(record: fleets.Record) -> int:
    """Returns the number of requests that only an older version allows."""

    async def cut(machines: Collection[fleets.Machine]) -> None:
        for machine in machines:
            machine.relay.cut = True
            asyncio.get_running_loop().call_later(_CUT_S, machine.relay.heal)
        record.write(f"these machines are cut from the store for {_CUT_S} s")

    return await changes.run(record, cut)


if __name__ == "__main__":
    fleets.run(run, pathlib.Path(__file__).parent)
