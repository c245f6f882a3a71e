"""Commands that run the measurements; the last line they print is JSON."""

from __future__ import annotations

import json
import logging
import sys

import click

from tools import amplification
from tools import convergence
from tools import failures
from tools import latency
from tools import layouts
from tools import processes
from tools import slopes


@click.group()
def main() -> None:
    """Measures merlintrestle with separate processes on loopback."""
    logging.basicConfig(level=logging.INFO, format="measure: %(message)s")


@main.command("failures")
@layouts.add_fleet_option("Example fleet.")
@click.option(
    "--factor",
    default=0.06,
    show_default=True,
    type=click.FloatRange(0.001, 0.5),
    help="Factor on the expected rates of the classes.",
)
@click.option(
    "--loaders",
    default=2,
    show_default=True,
    help="Number of processes that make the load.",
)
@click.option("--seed", default=1, show_default=True, help="Seed of the load.")
@click.option(
    "--crash-share",
    default=0.002,
    show_default=True,
    help="Fraction of the repeatable calls that crash their backend server.",
)
@click.option(
    "--baseline/--no-baseline",
    default=True,
    show_default=True,
    help="Also run the plain random proxy through the same failures.",
)
def measure_failures(
    name: str,
    factor: float,
    loaders: int,
    seed: int,
    crash_share: float,
    baseline: bool,
) -> None:
    """Measures harm and goodput while processes and the store fail."""
    options = failures.Options(
        layouts.LAYOUTS[name], factor, loaders, seed, crash_share
    )
    sys.exit(processes.run(failures.run(options, baseline)))


@main.command("convergence")
@layouts.add_fleet_option("Fleet whose zones and documents are used.")
@click.option(
    "--daemons", default=12, show_default=True, help="Number of daemons."
)
@click.option(
    "--changes", default=5, show_default=True, help="Number of changes."
)
@click.option(
    "--restart-share",
    default=0.0,
    show_default=True,
    type=click.FloatRange(0.0, 1.0),
    help="Fraction of the daemons killed and restarted after each acceptance.",
)
@click.option(
    "--store-down",
    is_flag=True,
    help="The store fails right after each acceptance.",
)
@click.option(
    "--store-fails-after-s",
    default=0.05,
    show_default=True,
    help="Seconds between acceptance and that failure.",
)
@click.option(
    "--spread",
    default="fast",
    show_default=True,
    type=click.Choice(["fast", "lean"]),
    help="The daemons' setting `spread`.",
)
@click.option(
    "--baseline/--no-baseline",
    default=True,
    show_default=True,
    help="Also measure one plain watcher of the store per daemon.",
)
def measure_convergence(
    name: str,
    daemons: int,
    changes: int,
    restart_share: float,
    store_down: bool,
    store_fails_after_s: float,
    spread: str,
    baseline: bool,
) -> None:
    """Measures the time until versions are in force, and what they cost."""
    options = convergence.Options(
        layouts.LAYOUTS[name],
        daemons,
        changes,
        restart_share,
        store_down,
        store_fails_after_s,
        spread,
    )
    sys.exit(processes.run(convergence.run(options, baseline)))


@main.command("latency")
@click.option(
    "--rate",
    "rates",
    multiple=True,
    default=(50, 200, 500),
    show_default=True,
    help="Calls per second; may be given several times.",
)
@click.option(
    "--rounds", default=5, show_default=True, help="Number of rounds."
)
def measure_latency(rates: tuple[int, ...], rounds: int) -> None:
    """Measures the latency that the daemon and a plain proxy add to a call."""
    options = latency.Options(list(rates), rounds)
    sys.exit(processes.run(latency.run(options)))


@main.command("slopes")
def measure_slopes() -> None:
    """Measures how a daemon's state grows with the fleet and the targets."""
    click.echo(json.dumps(slopes.measure_slopes()))


@main.command("amplification")
@layouts.add_fleet_option(
    "Example fleet; its services call each other in their order."
)
@click.option(
    "--rate", default=50.0, show_default=True, help="Requests per second."
)
@click.option(
    "--requests", default=200, show_default=True, help="Requests per case."
)
@click.option(
    "--baseline/--no-baseline",
    default=True,
    show_default=True,
    help="Also measure the plain random proxy.",
)
def measure_amplification(
    name: str, rate: float, requests: int, baseline: bool
) -> None:
    """Measures the attempts at a failing service, one to three calls deep."""
    options = amplification.Options(layouts.LAYOUTS[name], rate, requests)
    sys.exit(processes.run(amplification.run(options, baseline)))


if __name__ == "__main__":
    main()
