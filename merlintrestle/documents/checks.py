"""Consistency checks across the documents of all organisations."""

from __future__ import annotations

import math
from typing import NamedTuple, TYPE_CHECKING

from merlintrestle import errors
from merlintrestle.documents import fields

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from merlintrestle.schema import document_pb2

    Documents = Mapping[str, document_pb2.Document]


class Demand(NamedTuple):
    """Expected demand of a class of work for slots.

    A call holds a slot of a backend server while it is in progress there.

    Attributes:
        place: Location of the class of work, in the format of
            `errors.Finding.place` in this module: "<organisation>: <key>".
        rate: Expected calls per second.
        work_ms: Expected time in milliseconds for which a call holds a slot.
        slots: Expected average number of slots in use: `rate` x `work_ms` in
            seconds.
    """

    place: str
    rate: float
    work_ms: float
    slots: float


def check_documents(documents: Documents) -> list[errors.Finding]:
    """Checks whether documents are consistent with each other.

    The format of `place` in a finding is "<organisation>: <key>". The findings
    do not depend on the order of the organisations.

    Args:
        documents: Documents by name of the organisation.

    Returns:
        All findings; empty if the documents are consistent.
    """
    owners = _list_owners(documents)
    return [
        *_check_owners(owners),
        *_check_calls(documents, owners),
        *_check_foreign_services(documents, owners),
        *_check_budget(documents),
    ]


def list_demands(documents: Documents) -> list[Demand]:
    """Returns the expected demand of each class of work, sorted by place."""
    demands = [
        Demand(
            f"{organisation}: services.{service.name}.classes.{target.name}",
            target.rate,
            target.work_ms,
            target.rate * target.work_ms / 1000,
        )
        for organisation, service in _list_services(documents)
        for target in service.classes
    ]
    return sorted(demands)


def _list_services(
    documents: Documents,
) -> Iterator[tuple[str, document_pb2.ServiceTarget]]:
    for organisation in sorted(documents):
        for service in documents[organisation].services:
            yield organisation, service


def _list_owners(documents: Documents) -> dict[str, list[str]]:
    """Returns the organisations that own each service, one if consistent."""
    owners: dict[str, list[str]] = {}
    for organisation, service in _list_services(documents):
        if not service.owner:
            owners.setdefault(service.name, []).append(organisation)
    return owners


def _check_owners(owners: dict[str, list[str]]) -> Iterator[errors.Finding]:
    for service, organisations in sorted(owners.items()):
        if len(organisations) > 1:
            for organisation in organisations:
                other_owners = [
                    owner for owner in organisations if owner != organisation
                ]
                yield errors.Finding(
                    f"{organisation}: services.{service}",
                    f"is also a service of {', '.join(other_owners)}.",
                )


def _check_calls(
    documents: Documents, owners: dict[str, list[str]]
) -> Iterator[errors.Finding]:
    for organisation, service in _list_services(documents):
        for called_service in service.calls:
            if called_service not in owners:
                yield errors.Finding(
                    f"{organisation}: services.{service.name}.calls",
                    f"no organisation has a service {called_service!r}.",
                )


def _check_foreign_services(
    documents: Documents, owners: dict[str, list[str]]
) -> Iterator[errors.Finding]:
    """Checks declarations about services that other organisations own."""
    for organisation, service in _list_services(documents):
        if not service.owner:
            continue
        place = f"{organisation}: services.{service.name}"
        if service.owner not in owners.get(service.name, []):
            text = f"{service.owner!r} has no service {service.name!r}."
            yield errors.Finding(f"{place}.owner", text)
        elif not _is_shared(documents[service.owner], service.name):
            text = f"{service.owner!r} does not share it."
            yield errors.Finding(f"{place}.owner", text)
        if service.calls:
            text = f"only the owner, {service.owner!r}, declares this."
            yield errors.Finding(f"{place}.calls", text)
        if service.shared:
            text = f"only the owner, {service.owner!r}, declares this."
            yield errors.Finding(f"{place}.shared", text)


def _is_shared(document: document_pb2.Document, name: str) -> bool:
    return any(
        service.shared
        for service in document.services
        if service.name == name and not service.owner
    )


def _check_budget(documents: Documents) -> Iterator[errors.Finding]:
    demands = list_demands(documents)
    # fsum rounds only once, so the sum does not depend on the order.
    total = math.fsum(demand.slots for demand in demands)
    if fields.MESH_ORGANISATION not in documents:
        if total > 0:
            yield errors.Finding(
                f"{fields.MESH_ORGANISATION}: budget_slots",
                "no shared capacity budget is in force: apply the document"
                f" of organisation {fields.MESH_ORGANISATION!r} first and"
                " withdraw it last.",
            )
        return
    budget = documents[fields.MESH_ORGANISATION].budget_slots
    if total <= budget:
        return
    yield errors.Finding(
        f"{fields.MESH_ORGANISATION}: budget_slots",
        f"{total:.6g} slots are demanded; {budget} are in the budget.",
    )
    for demand in demands:
        yield errors.Finding(
            demand.place,
            f"demands {demand.slots:.6g} slots"
            f" ({demand.rate:.6g} calls/s x {demand.work_ms:.6g} ms).",
        )
