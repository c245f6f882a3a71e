"""What differs between two documents, as lines for people."""

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

    A service or class that is new ("+") or gone ("-") is one line; of one that
    changed ("~") each key that differs is a line.

    Args:
        before: The older document; None: there was none.
        after: The newer document; None: it was withdrawn.
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
    none = document_pb2.ServiceTarget()
    for name in sorted(before.keys() | after.keys()):
        path = f"services.{name}"
        if name not in before:
            yield f"+ {path}"
        elif name not in after:
            yield f"- {path}"
        one, other = before.get(name, none), after.get(name, none)
        yield from _compare_keys(path + ".", one, other, skip=("name",))
        yield from _compare_classes(path, one.classes, other.classes)


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
            yield f"+ {key}: {_describe(after[name])}"
        elif name not in after:
            yield f"- {key}: {_describe(before[name])}"
        else:
            yield from _compare_keys(key + ".", before[name], after[name])


def _compare_keys(
    path: str,
    old: message.Message,
    new: message.Message,
    skip: tuple[str, ...] = (),
) -> Iterator[str]:
    """Compares the keys of two messages that are not messages themselves."""
    for field in type(old).DESCRIPTOR.fields:
        if field.name in skip or field.message_type is not None:
            continue
        before = _show(field, getattr(old, field.name))
        after = _show(field, getattr(new, field.name))
        if before != after:
            yield f"~ {path}{field.name}: {before} -> {after}"


def _describe(target: document_pb2.ClassTarget) -> str:
    kind = "repeatable" if target.repeatable else "not repeatable"
    return (
        f"{', '.join(target.match)}; {target.latency_ms} ms for"
        f" {target.share:.15g}, {kind}, {target.rate:.15g} calls/s x"
        f" {target.work_ms:.15g} ms"
    )


def _show(field: Any, value: Any) -> str:
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
