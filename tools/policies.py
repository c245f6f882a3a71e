"""Compares variants of the policies in simulations with the same seeds."""

from __future__ import annotations

import concurrent.futures
import importlib
import json
import random
import statistics
import sys
from typing import Any, NamedTuple

import click

from merlintrestle.documents import snapshot as snapshots
from tools import model
from tools import model_records

_ZONES = ("a", "b", "c", "d")
_DURATION_S = 12.0
# Requests per second of all callers on a calm day.
_CALM_RATE = 506.0
# Standard deviation of the logarithm of the slowness of backend servers.
_SLOWNESS_LOG_DEVIATION = 0.3
# Service of each backend server.
_SERVICES = ("board",) * 6 + ("desk",) * 4 + ("store",) * 4
_SLOTS_PER_SERVER = 18
# Factor on the number of backend servers in a wide fleet.
_WIDE_SERVER_FACTOR = 8
_WIDE_SLOTS_PER_SERVER = 4
# Fraction of the backend servers of a service that shed calls.
_SHEDDING_SERVER_FRACTION = 0.4
# Fraction of its calls that each of them sheds.
_SHED_FRACTION = 0.45
# Factor on the work time while backend servers are cold.
_COLD_SLOWNESS = 2.2
# Speeds of uneven backend servers, as multiples of the usual one, and their
# slots.
_UNEVEN_SPEEDS = (0.5, 1.0, 1.0, 1.5)
_UNEVEN_SLOTS_PER_SERVER = 3
_UNEVEN_SERVER_FACTOR = 6
_UNEVEN_ZONES = ("a", "b", "c")
_UNEVEN_SWING = model_records.Swing(amplitude=0.5, period_s=15.0)
# Other programs on the host of an uneven backend server take its processor
# time: how long, how often in the simulated time, and factor on the work time.
_CONTENTION_S = (0.5, 2.0)
_CONTENTIONS_PER_SERVER = 2
_CONTENTION_SLOWNESS = 2.0
# Fields of the result that are printed.
_RESULT_FIELDS = (
    "earned",
    "served",
    "worst",
    "far",
    "refused_hops",
    "busiest",
)


class Load(NamedTuple):
    """Load on a fleet, and the changes of its backend servers meanwhile.

    Attributes:
        rate_factor: Rate of the requests, as a multiple of the rate on a calm
            day.
        disrupted: Whether one backend server drains, one is slow for a while
            and one stays slow.
        cold: Whether all backend servers are slow for three seconds, as after
            a restart.
        wide: Whether the fleet has eight times as many backend servers, with
            few slots each.
        shedding: Whether four in ten backend servers of one service shed
            nearly every other call.
        uneven: Whether there are 84 backend servers of different speed with
            three slots each, on hosts that they share with other programs, and
            the demand moves between three zones.
    """

    rate_factor: float
    disrupted: bool = False
    cold: bool = False
    wide: bool = False
    shedding: bool = False
    uneven: bool = False


class Variant(NamedTuple):
    """The present code, or the code with some constants changed.

    Attributes:
        label: Name of the variant in the output.
        overrides: Changed values by "module.NAME", where the module is named
            relative to `merlintrestle.requests`.
    """

    label: str
    overrides: dict[str, Any]


LOADS = {
    "calm": Load(1.0),
    "busy": Load(1.7),
    "full": Load(2.2),
    "leaving": Load(1.7, disrupted=True),
    "cold": Load(1.6, cold=True),
    "wide": Load(1.6, wide=True),
    "shedding": Load(1.0, wide=True, shedding=True),
    "uneven": Load(1.3, uneven=True),
    "uneven-busy": Load(1.8, uneven=True),
    "uneven-full": Load(2.3, uneven=True),
}


def build_servers(
    rng: random.Random, load: Load = LOADS["calm"]
) -> list[model_records.Server]:
    """Builds backend servers of three services, with different slowness."""
    if load.uneven:
        return _build_uneven_servers(rng)
    services = _SERVICES * _WIDE_SERVER_FACTOR if load.wide else _SERVICES
    return [
        model_records.Server(
            service,
            _ZONES[number % len(_ZONES)],
            _WIDE_SLOTS_PER_SERVER if load.wide else _SLOTS_PER_SERVER,
            rng.lognormvariate(0.0, _SLOWNESS_LOG_DEVIATION),
            _choose_shed_fraction(service, load, rng),
        )
        for number, service in enumerate(services)
    ]


def _build_uneven_servers(rng: random.Random) -> list[model_records.Server]:
    services = _SERVICES * _UNEVEN_SERVER_FACTOR
    speeds = list(_UNEVEN_SPEEDS) * (len(services) // len(_UNEVEN_SPEEDS))
    rng.shuffle(speeds)
    return [
        model_records.Server(
            service,
            _UNEVEN_ZONES[number % len(_UNEVEN_ZONES)],
            _UNEVEN_SLOTS_PER_SERVER,
            1.0 / speed,
        )
        for number, (service, speed) in enumerate(
            zip(services, speeds, strict=True)
        )
    ]


def _choose_shed_fraction(
    service: str, load: Load, rng: random.Random
) -> float:
    """Returns the fraction of the calls that a backend server sheds."""
    may_shed = load.shedding and service == "desk"
    return (
        _SHED_FRACTION
        if may_shed and rng.random() < _SHEDDING_SERVER_FRACTION
        else 0.0
    )


def build_work_classes(rate_factor: float) -> list[model_records.WorkClass]:
    """Builds the classes of the requests and of the calls nested in them.

    The classes are lookup, grant and packet (downloads). Calls of the classes
    check and verify are nested in lookups and grants.

    Args:
        rate_factor: Rate of the requests, as a multiple of the rate on a calm
            day.
    """
    check = _build_plan("desk", "check", 0.12, 0.4, 4)
    verify = _build_plan("store", "verify", 0.12, 0.4, 4)
    lookup = _build_plan("board", "lookup", 0.4, 0.8, 3)
    grant = _build_plan("desk", "grant", 0.5, 1.0, 4)
    packet = _build_plan("store", "packet", 0.4, 0.8, 3)
    rate = _CALM_RATE * rate_factor
    # The factors on the rate are the fractions of the requests that belong to
    # each class.
    return [
        model_records.WorkClass(check, 0.0, 0.03, 0.4),
        model_records.WorkClass(verify, 0.0, 0.03, 0.4),
        model_records.WorkClass(
            lookup, 0.633 * rate, 0.09, 1.5, nested_classes=("check",)
        ),
        model_records.WorkClass(
            grant._replace(repeatable=False),
            0.256 * rate,
            0.12,
            2.0,
            in_time_value=2,
            late_value=1,
            nested_classes=("check", "verify"),
        ),
        model_records.WorkClass(packet, 0.11 * rate, 0.096, 1.5),
    ]


def build_changes(
    load: Load, servers: list[model_records.Server], rng: random.Random
) -> list[model_records.ServerChange]:
    """Builds the changes of the backend servers under a load."""
    changes = []
    # By `_SERVICES`, the first six backend servers are those of "board" and the
    # next four are those of "desk".
    if load.disrupted:
        draining, slow = rng.sample(range(6), 2)
        usual_slowness = servers[slow].slowness
        changes += [
            model_records.ServerChange(2.0, draining, 0.0),
            model_records.ServerChange(3.0, slow, 4.0 * usual_slowness),
            model_records.ServerChange(8.0, slow, usual_slowness),
            model_records.ServerChange(4.0, 6 + rng.randrange(4), 3.0),
        ]
    if load.cold:
        for number, server in enumerate(servers):
            cold_slowness = _COLD_SLOWNESS * server.slowness
            changes.append(
                model_records.ServerChange(4.0, number, cold_slowness)
            )
            changes.append(
                model_records.ServerChange(7.0, number, server.slowness)
            )
    if load.uneven:
        for number, server in enumerate(servers):
            for _ in range(_CONTENTIONS_PER_SERVER):
                began_at = rng.uniform(0.0, _DURATION_S)
                ended_at = began_at + rng.uniform(*_CONTENTION_S)
                slowness = _CONTENTION_SLOWNESS * server.slowness
                changes += [
                    model_records.ServerChange(began_at, number, slowness),
                    model_records.ServerChange(
                        ended_at, number, server.slowness
                    ),
                ]
    return changes


def simulate_load(
    name: str, seed: int, duration_s: float = _DURATION_S
) -> model_records.Result:
    """Simulates one load.

    Args:
        name: Name of the load in `LOADS`.
        seed: Seed of the simulation.
        duration_s: Time in which callers make requests, in seconds.
    """
    load = LOADS[name]
    rng = random.Random(seed)
    servers = build_servers(rng, load)
    changes = build_changes(load, servers, rng)
    # The rate is proportional to the slots, which a wide fleet has more of.
    slots = sum(server.slots for server in servers)
    work_classes = build_work_classes(
        load.rate_factor * slots / (_SLOTS_PER_SERVER * len(_SERVICES))
    )
    return model.simulate(
        servers,
        work_classes,
        duration_s,
        seed,
        changes,
        _UNEVEN_SWING if load.uneven else None,
    )


def simulate_variant(
    name: str, seed: int, variant: Variant
) -> dict[str, float]:
    """Simulates one load with a variant of the code.

    Changes the constants for the rest of this process.

    Args:
        name: Name of the load in `LOADS`.
        seed: Seed of the simulation.
        variant: The constants to change.

    Returns:
        The figures of the simulation by their printed titles.
    """
    for path, value in variant.overrides.items():
        module_path, constant = path.rsplit(".", 1)
        module = importlib.import_module(
            f"merlintrestle.requests.{module_path}"
        )
        if not hasattr(module, constant):
            raise click.UsageError(f"{module_path} has no {constant}")
        setattr(module, constant, value)
    result = simulate_load(name, seed)
    figures = {field: float(getattr(result, field)) for field in _RESULT_FIELDS}
    refused_again = sum(
        count for key, count in result.counts.items() if "again" in key[1]
    )
    figures["again"] = refused_again / result.counts.total()
    for class_name in ("lookup", "grant", "packet"):
        for result_name in ("in time", "late"):
            figures[f"{class_name} {result_name}"] = result.compute_fraction(
                class_name, result_name
            )
    return figures


# `python -m tools.policies --set load.queues._TYPICAL_HOLD_RATIO=2.0 --seeds 8`
# simulates each load with the present code and with one constant changed.
@click.command()
@click.option(
    "--set", "assignments", multiple=True, help="MODULE.NAME=JSON value."
)
@click.option("--load", "names", multiple=True, type=click.Choice(list(LOADS)))
@click.option("--seeds", default=4, show_default=True)
@click.option("--jobs", default=2, show_default=True)
def main(
    assignments: tuple[str, ...], names: tuple[str, ...], seeds: int, jobs: int
) -> None:
    """Simulates each load with some seeds, without and with changes."""
    pairs = [assignment.partition("=") for assignment in assignments]
    overrides = {path: json.loads(value) for path, _, value in pairs}
    variants = [Variant("as it stands", {})]
    if overrides:
        variants.append(Variant("changed", overrides))
    load_names = names or tuple(LOADS)
    # A process runs one simulation only, because a variant changes constants.
    with concurrent.futures.ProcessPoolExecutor(
        jobs, max_tasks_per_child=1
    ) as pool:
        futures_by_load_and_label = {
            (load_name, variant.label): [
                pool.submit(simulate_variant, load_name, seed, variant)
                for seed in range(1, seeds + 1)
            ]
            for load_name in load_names
            for variant in variants
        }
        for (load_name, label), futures in futures_by_load_and_label.items():
            figures_by_seed = [future.result() for future in futures]
            click.echo(
                f"{load_name:8} {label:12} {_format_means(figures_by_seed)}"
            )


def _format_means(figures_by_seed: list[dict[str, float]]) -> str:
    """Formats the mean of each figure over the simulations of a variant.

    Args:
        figures_by_seed: Figures of each simulation by title, as returned by
            `simulate_variant`.
    """
    return ", ".join(
        f"{title} {statistics.fmean(row[title] for row in figures_by_seed):.3f}"
        for title in figures_by_seed[0]
    )


def _build_plan(
    service: str,
    name: str,
    latency_s: float,
    deadline_s: float,
    importance: int,
) -> snapshots.ClassPlan:
    return snapshots.ClassPlan(
        organisation="o",
        service=service,
        name=name,
        latency_s=latency_s,
        share=0.99,
        availability=0.999,
        repeatable=True,
        importance=importance,
        rate=0.0,
        work_s=0.0,
        large=False,
        deadline_s=deadline_s,
        key_required=False,
    )


if __name__ == "__main__":
    sys.exit(main())
