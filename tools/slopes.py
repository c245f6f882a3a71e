"""Measures how the state of one daemon grows with the fleet and the targets.

Runs in this process alone: tables, choices and snapshots are built at several
sizes up to the two-year size, and timed. docs/CAPACITY.md takes its slopes
from here.
"""

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

MEMBER_COUNTS = (400, 1600, 6300)
SERVICE_COUNTS = (40, 185, 740)
_ORGANISATIONS = 4
_CLASSES = 5
_ZONES = 16
_REGIONS = 7
_NEIGHBOURS = 4
_REPEATS = 5


class MemberFigures(NamedTuple):
    """What the table of members costs one daemon.

    Attributes:
        members: Members in the table.
        memory_bytes: Memory of the table.
        table_message_bytes: All records as one message.
        merge_us: Taking in one record that is news.
        choose_ms: Choosing neighbours among all members.
    """

    members: int
    memory_bytes: int
    table_message_bytes: int
    merge_us: float
    choose_ms: float


class SnapshotFigures(NamedTuple):
    """What a configuration version costs one daemon.

    Attributes:
        services: Services, each with `_CLASSES` classes of work.
        memory_bytes: Memory of one loaded snapshot.
        whole_bytes: The whole snapshot as a message.
        delta_bytes: The change of one target as a message.
        compile_ms: Documents to snapshot (watchers alone).
        apply_delta_ms: Delta to a checked, loaded snapshot (every daemon).
    """

    services: int
    memory_bytes: int
    whole_bytes: int
    delta_bytes: int
    compile_ms: float
    apply_delta_ms: float


def measure_slopes() -> dict[str, list[dict[str, float]]]:
    """Returns the figures at each size, members and snapshots apart."""
    members = [measure_members(count) for count in MEMBER_COUNTS]
    versions = [measure_snapshot(count) for count in SERVICE_COUNTS]
    return {
        "members": [figures._asdict() for figures in members],
        "snapshots": [figures._asdict() for figures in versions],
    }


def measure_members(count: int) -> MemberFigures:
    """Measures a table of `count` members."""
    records = [build_member(number) for number in range(count)]
    table, memory_bytes = _trace_memory(lambda: _fill_table(records))
    news = [_raise_incarnation(record) for record in records[1:]]
    merge_s = _time_once(lambda: [table.merge(record) for record in news])
    ids = table.list_usable_ids()
    choose_s = _time_best(
        lambda: rendezvous.choose(table.local_id, ids, _NEIGHBOURS)
    )
    reply = control_pb2.MembersReply(members=table.list_members())
    figures = MemberFigures(
        count,
        memory_bytes,
        reply.ByteSize(),
        merge_s / len(news) * 1e6,
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
    delta = deltas.make_delta(base, compiler.compile_snapshot(2, documents))
    apply_s = _time_best(lambda: deltas.apply_delta(base, delta))
    _, memory_bytes = _trace_memory(
        lambda: loader.load_snapshot(1, dict(base.resources))
    )
    figures = SnapshotFigures(
        services,
        memory_bytes,
        deltas.make_snapshot_message(base).ByteSize(),
        delta.ByteSize(),
        compile_s * 1e3,
        apply_s * 1e3,
    )
    logger.info("%s", figures)
    return figures


def build_member(number: int) -> control_pb2.Member:
    """Returns the record of one of the members of the two-year size."""
    address = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}"
    return control_pb2.Member(
        id=f"{address}:8082",
        address=address,
        control_port=8082,
        peer_port=8081,
        zone=f"zone-{number % _ZONES}",
        region=f"region-{number % _REGIONS}",
        incarnation=1_796_000_000_000 + number,
        state=control_pb2.ALIVE,
        backend=control_pb2.Backend(
            service=f"service-{number % SERVICE_COUNTS[-1]}",
            slots=12,
            state=control_pb2.READY,
            ready_since_ms=1_796_000_000_000 + number,
        ),
    )


def build_documents(services: int) -> dict[str, document_pb2.Document]:
    """Returns documents with so many services, over all organisations."""
    documents = {
        f"organisation-{number}": document_pb2.Document(
            organisation=f"organisation-{number}"
        )
        for number in range(_ORGANISATIONS)
    }
    for number in range(services):
        owner = f"organisation-{number % _ORGANISATIONS}"
        service = documents[owner].services.add(name=f"service-{number}")
        for kind in range(_CLASSES):
            service.classes.add(
                name=f"class-{kind}",
                latency_ms=250,
                share=0.99,
                availability=0.999,
                repeatable=True,
                importance=3,
                rate=100,
                work_ms=10,
                size=document_pb2.SMALL,
                deadline_ms=2000,
                match=[f"GET /class-{kind}"],
            )
    return documents


def _fill_table(records: list[control_pb2.Member]) -> tables.MemberTable:
    table = tables.MemberTable(records[0])
    for record in records[1:]:
        table.merge(record)
    return table


def _raise_incarnation(record: control_pb2.Member) -> control_pb2.Member:
    raised = control_pb2.Member()
    raised.CopyFrom(record)
    raised.incarnation += 1
    return raised


def _trace_memory(make: Callable[[], T]) -> tuple[T, int]:
    gc.collect()
    tracemalloc.start()
    made = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return made, size


def _time_once(work: Callable[[], object]) -> float:
    began = time.perf_counter()
    work()
    return time.perf_counter() - began


def _time_best(work: Callable[[], object]) -> float:
    return min(_time_once(work) for _ in range(_REPEATS))
