"""Measures how the state of one daemon grows with the fleet and the targets."""

from __future__ import annotations

import gc
import logging
import time
import tracemalloc
from typing import NamedTuple, TYPE_CHECKING, TypeVar

from merlintrestle.documents import compiler
from merlintrestle.documents import loader
from merlintrestle.members import rendezvous
from merlintrestle.members import table as tables
from merlintrestle.schema import control_pb2
from merlintrestle.schema import document_pb2
from merlintrestle.versions import deltas

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logging.getLogger(__name__)

T = TypeVar("T")

# Sizes of the fleet and of the targets. The last one, the two-year size, is
# expected in two years.
MEMBER_COUNTS = (400, 1600, 6300)
SERVICE_COUNTS = (40, 185, 740)
_ORGANISATION_COUNT = 4
_CLASSES_PER_SERVICE = 5
_ZONE_COUNT = 16
_REGION_COUNT = 7
# Incarnation of the first member and start of its backend server, in ms since
# 1970.
_FIRST_START_MS = 1_796_000_000_000
# Number of neighbours that a daemon chooses among all members; the same as
# `membership.NEIGHBOUR_COUNT`.
_NEIGHBOUR_COUNT = 4
# Number of runs, of which the fastest one counts.
_TIMED_RUNS = 5


class MemberFigures(NamedTuple):
    """Cost of the member table for one daemon.

    Attributes:
        members: Number of members in the table.
        memory_bytes: Memory of the table.
        table_message_bytes: Size of a message with all records.
        merge_us: Time to merge a newer record of one member, in µs.
        choose_ms: Time to choose neighbours among all members, in ms.
    """

    members: int
    memory_bytes: int
    table_message_bytes: int
    merge_us: float
    choose_ms: float


class SnapshotFigures(NamedTuple):
    """Cost of a configuration version for one daemon.

    Attributes:
        services: Number of services, each with `_CLASSES_PER_SERVICE` classes
            of work.
        memory_bytes: Memory of one loaded snapshot.
        whole_bytes: Size of a message with the whole snapshot.
        delta_bytes: Size of a message with the change of one target.
        compile_ms: Time to compile documents into a snapshot, in ms; only
            watchers do so.
        apply_delta_ms: Time to turn a delta into a checked and loaded
            snapshot, in ms; every daemon does so.
    """

    services: int
    memory_bytes: int
    whole_bytes: int
    delta_bytes: int
    compile_ms: float
    apply_delta_ms: float


def measure_slopes() -> dict[str, list[dict[str, float]]]:
    """Measures member tables and snapshots at several sizes.

    Everything runs in this process: member tables, choices of neighbours and
    snapshots are built and timed, up to the size that is expected in two years.
    The slopes in docs/CAPACITY.md come from this function.

    Returns:
        The figures at each size, by "members" and "snapshots".
    """
    members = [measure_members(count) for count in MEMBER_COUNTS]
    snapshots = [measure_snapshot(count) for count in SERVICE_COUNTS]
    return {
        "members": [figures._asdict() for figures in members],
        "snapshots": [figures._asdict() for figures in snapshots],
    }


def measure_members(count: int) -> MemberFigures:
    """Measures a table of `count` members."""
    records = [build_member(number) for number in range(count)]
    table, memory_bytes = _trace_memory(lambda: _fill_table(records))
    newer_records = [_raise_incarnation(record) for record in records[1:]]
    merge_s = _time_once(
        lambda: [table.merge(record) for record in newer_records]
    )
    ids = table.list_usable_ids()
    choose_s = _time_best(
        lambda: rendezvous.choose(table.local_id, ids, _NEIGHBOUR_COUNT)
    )
    reply = control_pb2.MembersReply(members=table.list_members())
    figures = MemberFigures(
        count,
        memory_bytes,
        reply.ByteSize(),
        merge_s / len(newer_records) * 1e6,
        choose_s * 1e3,
    )
    logger.info("%s", figures)
    return figures


def measure_snapshot(services: int) -> SnapshotFigures:
    """Measures a snapshot of `services` services."""
    documents = build_documents(services)
    base = compiler.compile_snapshot(1, documents)
    compile_s = _time_best(lambda: compiler.compile_snapshot(1, documents))
    documents["organisation-0"].services[0].classes[0].latency_ms += 1
    delta = deltas.build_delta(base, compiler.compile_snapshot(2, documents))
    apply_s = _time_best(lambda: deltas.apply_delta(base, delta))
    _, memory_bytes = _trace_memory(
        lambda: loader.load_snapshot(1, dict(base.resources))
    )
    figures = SnapshotFigures(
        services,
        memory_bytes,
        deltas.build_snapshot_message(base).ByteSize(),
        delta.ByteSize(),
        compile_s * 1e3,
        apply_s * 1e3,
    )
    logger.info("%s", figures)
    return figures


def build_member(number: int) -> control_pb2.Member:
    """Builds the record of one member of a fleet of the two-year size."""
    address = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}"
    return control_pb2.Member(
        id=f"{address}:8082",
        address=address,
        control_port=8082,
        peer_port=8081,
        zone=f"zone-{number % _ZONE_COUNT}",
        region=f"region-{number % _REGION_COUNT}",
        incarnation=_FIRST_START_MS + number,
        state=control_pb2.ALIVE,
        backend=control_pb2.Backend(
            service=f"service-{number % SERVICE_COUNTS[-1]}",
            slots=12,
            state=control_pb2.READY,
            ready_since_ms=_FIRST_START_MS + number,
        ),
    )


def build_documents(services: int) -> dict[str, document_pb2.Document]:
    """Builds documents that declare services, spread over all organisations.

    Args:
        services: Number of services.

    Returns:
        The documents by organisation.
    """
    documents = {
        f"organisation-{number}": document_pb2.Document(
            organisation=f"organisation-{number}"
        )
        for number in range(_ORGANISATION_COUNT)
    }
    for number in range(services):
        owner = f"organisation-{number % _ORGANISATION_COUNT}"
        service = documents[owner].services.add(name=f"service-{number}")
        for index in range(_CLASSES_PER_SERVICE):
            service.classes.add(
                name=f"class-{index}",
                latency_ms=250,
                share=0.99,
                availability=0.999,
                repeatable=True,
                importance=3,
                rate=100,
                work_ms=10,
                size=document_pb2.SMALL,
                deadline_ms=2000,
                match=[f"GET /class-{index}"],
            )
    return documents


def _fill_table(records: list[control_pb2.Member]) -> tables.MemberTable:
    table = tables.MemberTable(records[0])
    for record in records[1:]:
        table.merge(record)
    return table


def _raise_incarnation(record: control_pb2.Member) -> control_pb2.Member:
    """Returns a copy of a record with the next incarnation."""
    newer = control_pb2.Member()
    newer.CopyFrom(record)
    newer.incarnation += 1
    return newer


def _trace_memory(build: Callable[[], T]) -> tuple[T, int]:
    """Returns what a function builds and the bytes of memory it holds."""
    gc.collect()
    tracemalloc.start()
    built = build()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, size_bytes


def _time_once(function: Callable[[], object]) -> float:
    """Returns the seconds that one run of a function takes."""
    started_s = time.perf_counter()
    function()
    return time.perf_counter() - started_s


def _time_best(function: Callable[[], object]) -> float:
    """Returns the seconds that the fastest of several runs takes."""
    return min(_time_once(function) for _ in range(_TIMED_RUNS))
