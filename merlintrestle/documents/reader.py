"""Reader for target documents in TOML."""

from __future__ import annotations

import tomllib
from typing import Any, TYPE_CHECKING

from merlintrestle import errors
from merlintrestle.documents import fields
from merlintrestle.schema import document_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.documents.fields import Table

# A document is stored as a single value; the store accepts values of up to 1 MB
# (`MAX_VALUE_BYTES` of `merlintrestle.store.client`).
MAX_FILE_BYTES = 1_000_000

_BUDGET_SLOTS = fields.get_declared_range(document_pb2.Document, "budget_slots")
_LATENCY_MS = fields.get_declared_range(document_pb2.ClassTarget, "latency_ms")
_DEADLINE_MS = fields.get_declared_range(
    document_pb2.ClassTarget, "deadline_ms"
)
_WORK_MS = fields.get_declared_range(document_pb2.ClassTarget, "work_ms")
_RATE = fields.get_declared_range(document_pb2.ClassTarget, "rate")
_SHARE = fields.get_declared_range(document_pb2.ClassTarget, "share")
_AVAILABILITY = fields.get_declared_range(
    document_pb2.ClassTarget, "availability"
)
_IMPORTANCE = fields.get_declared_range(document_pb2.ClassTarget, "importance")
_QUOTA_RATE = fields.get_declared_range(document_pb2.WorkspaceTarget, "rate")
_BURST = fields.get_declared_range(document_pb2.WorkspaceTarget, "burst")


def read_document(content: bytes, file: str) -> document_pb2.Document:
    """Returns the document of a TOML file in its canonical form.

    If the file is valid TOML, all problems are collected before an error is
    raised.

    Args:
        content: Content of the file.
        file: Name of the file, shown in `Finding.place`.

    Raises:
        errors.InvalidInputError: The document is invalid; the error has all
            findings.
    """
    table = _parse(content, file)
    findings: list[errors.Finding] = []
    document = _read_root(fields.Table(table, file, "", findings))
    if findings:
        raise errors.InvalidInputError(findings)
    return document


def _parse(content: bytes, file: str) -> dict[str, Any]:
    """Returns the root table of a TOML file.

    Raises:
        errors.InvalidInputError: The file cannot be parsed; the error has one
            finding.
    """
    if len(content) > MAX_FILE_BYTES:
        text = f"is larger than {MAX_FILE_BYTES} bytes."
        raise errors.InvalidInputError([errors.Finding(file, text)])
    try:
        return tomllib.loads(content.decode("utf-8"))
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        text = f"is not UTF-8: {error.reason} at byte {error.start}."
        finding = errors.Finding(f"{file}:{line}", text)
        raise errors.InvalidInputError([finding]) from error
    except ValueError as error:
        # A TOMLDecodeError, or an integer with too many digits.
        finding = errors.Finding(file, f"is not TOML: {error}.")
        raise errors.InvalidInputError([finding]) from error
    except RecursionError as error:
        finding = errors.Finding(file, "is nested too deeply.")
        raise errors.InvalidInputError([finding]) from error


def _read_root(table: Table) -> document_pb2.Document:
    document = document_pb2.Document(
        organisation=table.read_name("organisation"),
        budget_slots=table.read_integer(
            "budget_slots", _BUDGET_SLOTS, default=0
        ),
    )
    document.services.extend(
        _read_named_tables(table, "services", _read_service)
    )
    document.workspaces.extend(_read_workspaces(table))
    table.report_unknown_keys()
    if (
        document.budget_slots
        and document.organisation != fields.MESH_ORGANISATION
    ):
        table.report(
            "budget_slots",
            f"only organisation {fields.MESH_ORGANISATION!r} has a budget.",
        )
    if (
        document.workspaces
        and document.organisation != fields.MESH_ORGANISATION
    ):
        table.report(
            "workspaces",
            f"only organisation {fields.MESH_ORGANISATION!r} has workspaces.",
        )
    if document.organisation == fields.MESH_ORGANISATION:
        if not document.budget_slots:
            table.report("budget_slots", "is required.")
        if document.services:
            table.report(
                "services", f"{fields.MESH_ORGANISATION!r} has no services."
            )
    for service in document.services:
        if service.owner == document.organisation:
            # The owner is always stored in the same form; otherwise equal
            # documents could have different digests.
            service.owner = ""
    return document


def _read_service(name: str, table: Table) -> document_pb2.ServiceTarget:
    service = document_pb2.ServiceTarget(
        name=name,
        owner=table.read_name("owner", default=""),
        shared=table.read_flag("shared", default=False),
        calls=sorted(set(table.read_names("calls"))),
    )
    if name in service.calls:
        table.report("calls", "a service does not call itself.")
    service.classes.extend(_read_named_tables(table, "classes", _read_class))
    _report_duplicate_patterns(table, service)
    table.report_unknown_keys()
    return service


def _read_class(name: str, table: Table) -> document_pb2.ClassTarget:
    target = document_pb2.ClassTarget(
        name=name,
        latency_ms=table.read_integer("latency_ms", _LATENCY_MS),
        share=table.read_number("share", _SHARE),
        availability=table.read_number("availability", _AVAILABILITY),
        repeatable=table.read_flag("repeatable"),
        importance=table.read_integer(
            "importance", _IMPORTANCE, default=fields.DEFAULT_IMPORTANCE
        ),
        rate=table.read_number("rate", _RATE),
        work_ms=table.read_number("work_ms", _WORK_MS),
        size=table.read_choice("size", fields.SIZES, default="small"),
        deadline_ms=table.read_integer("deadline_ms", _DEADLINE_MS),
        match=sorted(set(table.read_patterns("match"))),
    )
    # Whether calls of the class need an Idempotency-Key header.
    target.key_required = table.read_flag(
        "key_required", default=not target.repeatable
    )
    target.anonymous = table.read_flag("anonymous", default=False)
    if target.key_required and target.repeatable:
        table.report("key_required", "is for classes that are not repeatable.")
    if 0 < target.deadline_ms < target.latency_ms:
        table.report("deadline_ms", "is less than latency_ms.")
    table.report_unknown_keys()
    return target


def _read_workspaces(table: Table) -> list[document_pb2.WorkspaceTarget]:
    """Reads the workspaces, sorted by name."""
    by_name: dict[str, document_pb2.WorkspaceTarget] = {}
    owners: dict[bytes, str] = {}
    for workspace_table in table.read_table_list("workspaces"):
        workspace = _read_workspace(workspace_table)
        if workspace.name and workspace.name in by_name:
            workspace_table.report("name", "is also that of another workspace.")
        by_name[workspace.name] = workspace
        for digest in workspace.key_digests:
            if digest in owners:
                owner = owners[digest]
                whose = "it" if owner == workspace.name else repr(owner)
                short = fields.format_digest(digest)
                text = f"{short} is a key of {whose} already."
                workspace_table.report("key_digests", text)
            owners.setdefault(digest, workspace.name)
    return [by_name[name] for name in sorted(by_name)]


def _read_workspace(table: Table) -> document_pb2.WorkspaceTarget:
    workspace = document_pb2.WorkspaceTarget(
        name=table.read_name("name"),
        key_digests=sorted(table.read_digests("key_digests")),
        importance=table.read_integer("importance", _IMPORTANCE, default=0),
        rate=table.read_number("rate", _QUOTA_RATE, default=0.0),
        burst=table.read_number("burst", _BURST, default=0.0),
    )
    if workspace.burst and not workspace.rate:
        table.report("burst", "needs a rate above 0.")
    table.report_unknown_keys()
    return workspace


def _read_named_tables(
    table: Table, key: str, read: Callable[[str, Table], Any]
) -> list[Any]:
    """Reads each table of a table of named tables, sorted by name."""
    tables = table.read_tables(key)
    return [read(name, tables[name]) for name in sorted(tables)]


def _report_duplicate_patterns(
    table: Table, service: document_pb2.ServiceTarget
) -> None:
    class_by_pattern: dict[str, str] = {}
    for target in service.classes:
        for pattern in target.match:
            first_class = class_by_pattern.setdefault(pattern, target.name)
            if first_class != target.name:
                text = f"{pattern!r} is also matched by class {first_class!r}."
                table.report(f"classes.{target.name}.match", text)
