"""Builders and Hypothesis strategies for target documents."""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st

from merlintrestle.documents import fields
from merlintrestle.documents import snapshot
from merlintrestle.schema import document_pb2

SERVICES = ("balie", "kassa", "beeldarchief", "dwell-desk")
ORGANISATIONS = ("zaanoever", "kochi", "haven")
BUDGET_SLOTS = 100


def build_class(
    name: str = "lookup", **values: Any
) -> document_pb2.ClassTarget:
    """Returns a class of work with an expected demand of one slot."""
    defaults: dict[str, Any] = {
        "name": name,
        "latency_ms": 250,
        "share": 0.99,
        "availability": 0.999,
        "repeatable": True,
        "importance": 3,
        "rate": 100.0,
        "work_ms": 10.0,
        "size": document_pb2.SMALL,
        "deadline_ms": 2000,
        "match": [f"GET /{name}"],
    }
    return document_pb2.ClassTarget(**{**defaults, **values})


def build_service(
    name: str = "balie", *classes: document_pb2.ClassTarget, **values: Any
) -> document_pb2.ServiceTarget:
    """Returns a service with the given classes of work."""
    return document_pb2.ServiceTarget(name=name, classes=classes, **values)


def build_document(
    organisation: str = "zaanoever", *services: document_pb2.ServiceTarget
) -> document_pb2.Document:
    """Returns a document with the given services."""
    return document_pb2.Document(organisation=organisation, services=services)


def build_workspace(
    name: str = "acme", *keys: str, **values: Any
) -> document_pb2.WorkspaceTarget:
    """Returns a workspace with the given API keys, one by default."""
    digests = [snapshot.hash_key(key) for key in keys or (f"key of {name}",)]
    return document_pb2.WorkspaceTarget(
        name=name, key_digests=sorted(digests), **values
    )


def build_mesh_document(
    slots: int = BUDGET_SLOTS, *workspaces: document_pb2.WorkspaceTarget
) -> document_pb2.Document:
    """Returns the document of the mesh: the budget and the workspaces."""
    return document_pb2.Document(
        organisation=fields.MESH_ORGANISATION,
        budget_slots=slots,
        workspaces=workspaces,
    )


def draw_classes() -> st.SearchStrategy[document_pb2.ClassTarget]:
    """Draws valid classes of work."""
    return st.builds(
        build_class,
        st.sampled_from(["lookup", "payout", "download"]),
        repeatable=st.booleans(),
        rate=st.sampled_from([0.0, 0.1, 100.0, 2500.0]),
        work_ms=st.sampled_from([0.5, 10.0]),
        size=st.sampled_from([document_pb2.SMALL, document_pb2.LARGE]),
        importance=st.integers(1, 5),
        anonymous=st.booleans(),
    ).map(_set_key_required)


def draw_services() -> st.SearchStrategy[document_pb2.ServiceTarget]:
    """Draws services with any owner, which may call missing services."""
    return st.builds(
        _build_drawn_service,
        st.sampled_from(SERVICES),
        # An empty owner is the organisation of the document. It is drawn as
        # often as the named ones together.
        st.sampled_from(["", "", "", *ORGANISATIONS]),
        st.booleans(),
        st.sets(st.sampled_from(SERVICES), max_size=2),
        st.lists(
            draw_classes(), max_size=2, unique_by=lambda target: target.name
        ),
    )


def draw_workspaces() -> st.SearchStrategy[list[document_pb2.WorkspaceTarget]]:
    """Draws workspaces without common keys, sorted by name."""
    drawn = st.builds(
        build_workspace,
        st.sampled_from(["acme", "borax", "cobalt"]),
        importance=st.integers(0, 5),
        rate=st.sampled_from([0.5, 40.0]),
        burst=st.sampled_from([0.0, 80.0]),
    )
    return st.lists(drawn, max_size=3, unique_by=lambda one: one.name).map(
        lambda workspaces: sorted(workspaces, key=lambda one: one.name)
    )


def draw_documents(
    organisation: str,
) -> st.SearchStrategy[document_pb2.Document]:
    """Draws documents of an organisation in their canonical form."""
    if organisation == fields.MESH_ORGANISATION:
        return st.builds(
            lambda slots, workspaces: build_mesh_document(slots, *workspaces),
            st.sampled_from([10, BUDGET_SLOTS]),
            draw_workspaces(),
        )
    return st.lists(
        draw_services(), max_size=3, unique_by=lambda service: service.name
    ).map(lambda services: _build_drawn_document(organisation, services))


def _set_key_required(
    target: document_pb2.ClassTarget,
) -> document_pb2.ClassTarget:
    target.key_required = not target.repeatable
    return target


def _build_drawn_service(
    name: str,
    owner: str,
    shared: bool,
    calls: set[str],
    classes: list[document_pb2.ClassTarget],
) -> document_pb2.ServiceTarget:
    return document_pb2.ServiceTarget(
        name=name,
        owner=owner,
        shared=shared and not owner,
        calls=[] if owner else sorted(calls - {name}),
        classes=_sort_classes(classes),
    )


def _sort_classes(
    classes: list[document_pb2.ClassTarget],
) -> list[document_pb2.ClassTarget]:
    return sorted(classes, key=lambda target: target.name)


def _build_drawn_document(
    organisation: str, services: list[document_pb2.ServiceTarget]
) -> document_pb2.Document:
    for service in services:
        if service.owner == organisation:
            service.owner = ""
    return build_document(
        organisation, *sorted(services, key=lambda service: service.name)
    )
