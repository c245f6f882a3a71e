"""Human-readable differences between two documents."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from merlintrestle.documents import fields
from merlintrestle.schema import document_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from google.protobuf import message


def list_differences(
    before: document_pb2.Document | None, after: document_pb2.Document | None
) -> list[str]:
    """Returns a line for each key, service and class of work that differs.

    An added ("+") or removed ("-") service or class is one line. A changed
    service or class has a line ("~") for each key that differs.

    Args:
        before: The older document, or None if there was none.
        after: The newer document, or None if it was withdrawn.
    """
    old = before or document_pb2.Document()
    new = after or document_pb2.Document()
    return [
        *_compare_keys("", old, new, skip=("organisation",)),
        *_compare_services(old.services, new.services),
    ]


def _compare_services(
    old: Iterable[document_pb2.ServiceTarget],
    new: Iterable[document_pb2.ServiceTarget],
) -> Iterator[str]:
    before = {service.name: service for service in old}
    after = {service.name: service for service in new}
    empty = document_pb2.ServiceTarget()
    for name in sorted(before.keys() | after.keys()):
        path = f"services.{name}"
        if name not in before:
            yield f"+ {path}"
        elif name not in after:
            yield f"- {path}"
        older, newer = before.get(name, empty), after.get(name, empty)
        yield from _compare_keys(path + ".", older, newer, skip=("name",))
        yield from _compare_classes(path, older.classes, newer.classes)


def _compare_classes(
    path: str,
    old: Iterable[document_pb2.ClassTarget],
    new: Iterable[document_pb2.ClassTarget],
) -> Iterator[str]:
    before = {target.name: target for target in old}
    after = {target.name: target for target in new}
    for name in sorted(before.keys() | after.keys()):
        key = f"{path}.classes.{name}"
        if name not in before:
            yield f"+ {key}: {_describe_class(after[name])}"
        elif name not in after:
            yield f"- {key}: {_describe_class(before[name])}"
        else:
            yield from _compare_keys(key + ".", before[name], after[name])


def _compare_keys(
    path: str,
    old: message.Message,
    new: message.Message,
    skip: tuple[str, ...] = (),
) -> Iterator[str]:
    """Compares the fields of two messages, except nested messages."""
    for field in type(old).DESCRIPTOR.fields:
        if field.name in skip or field.message_type is not None:
            continue
        before = _format_value(field, getattr(old, field.name))
        after = _format_value(field, getattr(new, field.name))
        if before != after:
            yield f"~ {path}{field.name}: {before} -> {after}"


def _describe_class(target: document_pb2.ClassTarget) -> str:
    repeatability = "repeatable" if target.repeatable else "not repeatable"
    return (
        f"{', '.join(target.match)}; {target.latency_ms} ms for"
        f" {target.share:.15g}, {repeatability}, {target.rate:.15g} calls/s x"
        f" {target.work_ms:.15g} ms"
    )


def _format_value(field: Any, value: Any) -> str:
    if field.is_repeated:
        return "[" + ", ".join(value) + "]"
    if field.enum_type is not None:
        words = {number: word for word, number in fields.SIZES.items()}
        return words.get(value, "none")
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, float):
        return f"{value:.15g}"
    return str(value) or "none"
