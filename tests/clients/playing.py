"""Runs plays by hand and prints memory and the ordinary callers' fare.

Run it with `python -m tests.clients.playing --seconds 12`.
"""

from __future__ import annotations

import asyncio

import click

from tests.clients import plays
from tests.clients import stage as stages

_SETS = {"wide": plays.WIDE_PLAYS, "short": plays.SHORT_PLAYS}


@click.command()
@click.option("--set", "name", type=click.Choice(tuple(_SETS)), default="wide")
@click.option("--seconds", default=12.0, show_default=True)
@click.option("--only", default="", help="Part of the plays' names.")
@click.option("--jobs", default=2, show_default=True, help="Plays at once.")
@click.option("--mix", default=0, help="Plays that run on one stage at once.")
def main(name: str, seconds: float, only: str, jobs: int, mix: int) -> None:
    """Runs plays, each on daemons of its own; fails if one is past a bound."""
    chosen = [play for play in _SETS[name] if only in play.name]
    size = max(1, mix)
    groups = [chosen[at : at + size] for at in range(0, len(chosen), size)]
    failed = asyncio.run(_run_all(groups, seconds, jobs))
    click.echo(f"{len(groups)} plays, {failed} past a bound")
    raise SystemExit(1 if failed else 0)


async def _run_all(
    groups: list[list[plays.Play]], seconds: float, jobs: int
) -> int:
    semaphore = asyncio.Semaphore(jobs)

    async def run(group: list[plays.Play]) -> bool:
        async with semaphore:
            return await _run_one(group, seconds)

    return sum(await asyncio.gather(*map(run, groups)))


async def _run_one(group: list[plays.Play], seconds: float) -> bool:
    """Runs plays on one stage; returns whether a bound was exceeded."""
    async with stages.Stage() as stage:
        await stage.start()
        result = await stage.play(*group, seconds=seconds)
    name = " and ".join(play.name for play in group)
    usage = result.usages[0]
    recovery_s = result.recovery_s
    click.echo(
        f"{name}: {usage.total_mb:.0f} MB ({usage.unread_mb:.0f} unread,"
        f" {usage.descriptors} descriptors), neighbour"
        f" {result.usages[1].total_mb:.0f} MB"
    )
    for label, fare in zip("AB", result.fares, strict=True):
        latencies = fare.latencies_ms or [0]
        middle = latencies[len(latencies) // 2]
        high = latencies[len(latencies) * 95 // 100]
        click.echo(
            f"  {label} {fare.share:.2f} of {fare.calls}, {middle} ms, 95 in"
            f" 100: {high} ms, ready missed {fare.ready_misses},"
            f" failures {_count(fare.failures)}"
        )
    click.echo(
        f"  players {dict(result.report.statuses)}, open"
        f" {result.report.most_open}; recovered in"
        f" {'-' if recovery_s is None else round(recovery_s, 1)} s; ran though"
        f" refused {len(result.run_refusals)}; ended {result.ended}"
    )
    return bool(result.ended or result.run_refusals) or recovery_s is None


def _count(failures: list[int]) -> dict[int, int]:
    return {status: failures.count(status) for status in sorted({*failures})}


if __name__ == "__main__":
    main()
