"""A new version is bad on one route only, which few requests use."""

from __future__ import annotations

import pathlib

from review.lab import deployment as deployments
from review.lab import rollouts
from review.lab import scripts

_CORRECTION_SHARE = 0.02
_BAD_SHARE = 0.5


async def _run(record: deployments.Record, trouble: bool) -> int:
    bad_shares = {rollouts.CORRECTION: _BAD_SHARE} if trouble else {}
    return await rollouts.run(
        record, rollouts.Plan(_CORRECTION_SHARE, bad_shares)
    )


if __name__ == "__main__":
    scripts.run(pathlib.Path(__file__).parent, _run)
