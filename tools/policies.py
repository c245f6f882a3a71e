"""Compares policies on plays of the model, by paired seeds.

`python -m tools.policies --set load.queues._TYPICAL_HOLD_RATIO=2.0 --seeds 8`
plays each load with the code as it stands and with one constant changed.
"""

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

_ZONES = ("a", "b", "c", "d")
_LENGTH_S = 12.0
# Calls of callers a second on a calm day.
_RATE = 506.0
# Spread of the speeds of backend servers: the logarithm's standard deviation.
_SPEEDS = 0.3
_SERVICES = ("board",) * 6 + ("desk",) * 4 + ("store",) * 4
_SLOTS = 18
# In a wide fleet: times as many backend servers, and slots of each.
_WIDE = 8
_WIDE_SLOTS = 4
# Part of the backend servers of a service that shed, and of their calls that
# they turn away.
_SHEDDING = 0.4
_TURNED_AWAY = 0.45
# While they are cold, backend servers need so many times the usual time.
_COLD = 2.2
_FIGURES = ("earned", "served", "worst", "far")


class Load(NamedTuple):
    """What is asked of a fleet, and what happens to it.

    Attributes:
        rate_factor: Rate of all callers, as a multiple of a calm day's.
        leaves: One backend server leaves, two are slow for a while.
        cold: All are slow for three seconds, as after a restart.
        wide: Eight times as many backend servers, of few slots each.
        shedding: Most of those of one service turn away every other call.
    """

    rate_factor: float
    leaves: bool = False
    cold: bool = False
    wide: bool = False
    shedding: bool = False


class Variant(NamedTuple):
    """The code as it stands, or with constants changed.

    Attributes:
        label: What it is called.
        changed: Values by "module.NAME" under `merlintrestle.requests`.
    """

    label: str
    changed: dict[str, Any]


LOADS = {
    "calm": Load(1.0),
    "busy": Load(1.7),
    "full": Load(2.2),
    "leaving": Load(1.7, leaves=True),
    "cold": Load(1.6, cold=True),
    "wide": Load(1.6, wide=True),
    "shedding": Load(1.0, wide=True, shedding=True),
}


def build_servers(
    chance: random.Random, load: Load = LOADS["calm"]
) -> list[model.Server]:
    """Builds backend servers of three services, of uneven speed."""
    services = _SERVICES * _WIDE if load.wide else _SERVICES
    return [
        model.Server(
            name,
            _ZONES[number % len(_ZONES)],
            _WIDE_SLOTS if load.wide else _SLOTS,
            chance.lognormvariate(0.0, _SPEEDS),
            _choose_turned_away(name, load, chance),
        )
        for number, name in enumerate(services)
    ]


def _choose_turned_away(
    service: str, load: Load, chance: random.Random
) -> float:
    """Returns the part of the calls that a backend server turns away."""
    sheds = load.shedding and service == "desk"
    return _TURNED_AWAY if sheds and chance.random() < _SHEDDING else 0.0


def build_work_classes(factor: float) -> list[model.WorkClass]:
    """Builds lookups, grants, downloads and the checks that they make."""
    check = _build_plan("desk", "check", 0.12, 0.4, 4)
    verify = _build_plan("store", "verify", 0.12, 0.4, 4)
    lookup = _build_plan("board", "lookup", 0.4, 0.8, 3)
    grant = _build_plan("desk", "grant", 0.5, 1.0, 4)
    packet = _build_plan("store", "packet", 0.4, 0.8, 3)
    rate = _RATE * factor
    return [
        model.WorkClass(check, 0.0, 0.03, 0.4),
        model.WorkClass(verify, 0.0, 0.03, 0.4),
        model.WorkClass(
            lookup, 0.633 * rate, 0.09, 1.5, downstream_classes=("check",)
        ),
        model.WorkClass(
            grant._replace(repeatable=False),
            0.256 * rate,
            0.12,
            2.0,
            worth=2,
            late_worth=1,
            downstream_classes=("check", "verify"),
        ),
        model.WorkClass(packet, 0.11 * rate, 0.096, 1.5),
    ]


def build_changes(
    load: Load, servers: list[model.Server], chance: random.Random
) -> list[model.ServerChange]:
    """Builds what happens to backend servers."""
    changes = []
    if load.leaves:
        gone, slow = chance.sample(range(6), 2)
        usual = servers[slow].slowness
        changes += [
            model.ServerChange(2.0, gone, 0.0),
            model.ServerChange(3.0, slow, 4.0 * usual),
            model.ServerChange(8.0, slow, usual),
            model.ServerChange(4.0, 6 + chance.randrange(4), 3.0),
        ]
    if load.cold:
        for number, server in enumerate(servers):
            cold = _COLD * server.slowness
            changes.append(model.ServerChange(4.0, number, cold))
            changes.append(model.ServerChange(7.0, number, server.slowness))
    return changes


def simulate_load(
    name: str, seed: int, length_s: float = _LENGTH_S
) -> model.Result:
    """Plays one load with the code as it stands."""
    load = LOADS[name]
    chance = random.Random(seed)
    servers = build_servers(chance, load)
    changes = build_changes(load, servers, chance)
    slots = sum(server.slots for server in servers)
    works = build_work_classes(
        load.rate_factor * slots / (_SLOTS * len(_SERVICES))
    )
    return model.simulate(servers, works, length_s, seed, changes)


def simulate_variant(
    name: str, seed: int, variant: Variant
) -> dict[str, float]:
    """Plays one load with some constants changed; returns its figures."""
    for place, value in variant.changed.items():
        module, constant = place.rsplit(".", 1)
        found = importlib.import_module(f"merlintrestle.requests.{module}")
        if not hasattr(found, constant):
            raise click.UsageError(f"{module} has no {constant}")
        setattr(found, constant, value)
    result = simulate_load(name, seed)
    figures = {name: float(getattr(result, name)) for name in _FIGURES}
    again = sum(n for key, n in result.counts.items() if "again" in key[1])
    figures["again"] = again / result.counts.total()
    for work in ("lookup", "grant", "packet"):
        for what in ("in time", "late"):
            figures[f"{work} {what}"] = result.compute_fraction(work, what)
    return figures


@click.command()
@click.option("--set", "places", multiple=True, help="MODULE.NAME=JSON value.")
@click.option("--load", "names", multiple=True, type=click.Choice(list(LOADS)))
@click.option("--seeds", default=4, show_default=True)
@click.option("--jobs", default=2, show_default=True)
def main(
    places: tuple[str, ...], names: tuple[str, ...], seeds: int, jobs: int
) -> None:
    """Plays each load on some seeds, as it stands and with changes."""
    pairs = [place.partition("=") for place in places]
    changed = {name: json.loads(text) for name, _, text in pairs}
    variants = [Variant("as it stands", {})]
    if changed:
        variants.append(Variant("changed", changed))
    chosen = names or tuple(LOADS)
    with concurrent.futures.ProcessPoolExecutor(
        jobs, max_tasks_per_child=1
    ) as pool:
        found = {
            (load, variant.label): [
                pool.submit(simulate_variant, load, seed, variant)
                for seed in range(1, seeds + 1)
            ]
            for load in chosen
            for variant in variants
        }
        for (load, label), futures in found.items():
            rows = [future.result() for future in futures]
            click.echo(f"{load:8} {label:12} {_describe(rows)}")


def _describe(rows: list[dict[str, float]]) -> str:
    return ", ".join(
        f"{name} {statistics.fmean(row[name] for row in rows):.3f}"
        for name in rows[0]
    )


def _build_plan(
    service: str, name: str, latency_s: float, deadline_s: float, rank: int
) -> snapshots.ClassPlan:
    return snapshots.ClassPlan(
        organisation="o",
        service=service,
        name=name,
        latency_s=latency_s,
        share=0.99,
        availability=0.999,
        repeatable=True,
        importance=rank,
        rate=0.0,
        work_s=0.0,
        large=False,
        deadline_s=deadline_s,
        key_required=False,
    )


if __name__ == "__main__":
    sys.exit(main())
