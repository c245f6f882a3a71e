"""A new version fails 7 in 100 of its requests, on all routes."""

from __future__ import annotations

import pathlib

from review.lab import deployment as deployments
from review.lab import rollouts
from review.lab import scripts

_CORRECTION_SHARE = 0.3
_BAD_SHARE = 0.07


async def _run(record: deployments.Record, trouble: bool) -> int:
    paths = (rollouts.LOOKUP, rollouts.CORRECTION)
    bad_shares = dict.fromkeys(paths, _BAD_SHARE) if trouble else {}
    return await rollouts.run(
        record, rollouts.Plan(_CORRECTION_SHARE, bad_shares)
    )


if __name__ == "__main__":
    scripts.run(pathlib.Path(__file__).parent, _run)
