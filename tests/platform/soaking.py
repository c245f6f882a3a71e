"""Runs many seeds of a soak test one after the other; CI runs a few.

Run it with `python -m tests.platform.soaking --count 50`.
"""

from __future__ import annotations

import asyncio

import click

from tests.platform import era_soak
from tests.platform import leave_soak
from tests.platform import maintenance_soak
from tests.platform import notice_soak
from tests.platform import stop_soak

_SOAKS = {
    "maintenance": maintenance_soak.Soak,
    "notices": notice_soak.NoticeSoak,
    "eras": era_soak.EraSoak,
    "leaves": leave_soak.LeaveSoak,
    "stops": stop_soak.StopSoak,
}


@click.command()
@click.option(
    "--kind",
    type=click.Choice(tuple(_SOAKS)),
    default="maintenance",
    show_default=True,
    help="notices: backend servers also limit their rate and leave by their"
    " answers; eras: the store also comes back from older copies; leaves:"
    " backend servers leave while daemons are killed; stops: requests come late"
    " in the grace of daemons that stop.",
)
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option(
    "--count", default=50, show_default=True, help="Number of seeds to run."
)
def main(kind: str, first: int, count: int) -> None:
    """Runs seeds one after the other; fails if any has a violation."""
    failed = 0
    soak_type = _SOAKS[kind]
    for seed in range(first, first + count):
        result = asyncio.run(soak_type(seed).run())
        click.echo(f"seed {seed}: {dict(result.response_counts)}")
        for violation in result.violations:
            click.echo(f"  {violation}")
        failed += bool(result.violations)
    click.echo(f"{count} seeds, {failed} with faults")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
