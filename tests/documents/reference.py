"""Tables of the target document reference, generated from the schema."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from merlintrestle.documents import fields
from merlintrestle.schema import document_pb2
from merlintrestle.schema import settings_pb2

if TYPE_CHECKING:
    from google.protobuf import message

_MESSAGE_TYPES: dict[str, type[message.Message]] = {
    "document": document_pb2.Document,
    "service": document_pb2.ServiceTarget,
    "class": document_pb2.ClassTarget,
    "workspace": document_pb2.WorkspaceTarget,
}
_EXAMPLES = {
    "organisation": '"zaanoever"',
    "budget_slots": "156",
    "owner": '"zaanoever"',
    "shared": "true",
    "calls": '["kassa"]',
    "match": '["GET /tickets"]',
    "latency_ms": "250",
    "share": "0.99",
    "availability": "0.999",
    "repeatable": "true",
    "importance": "4",
    "rate": "120.0",
    "work_ms": "10",
    "size": '"large"',
    "deadline_ms": "2000",
    "key_required": "false",
    "anonymous": "true",
    "name": '"acme"',
    "key_digests": '["9f86d081..."]',
    "burst": "80",
}


def write_tables(page: str) -> str:
    """Returns a page with the table after each marker regenerated."""
    for name, message_type in _MESSAGE_TYPES.items():
        begin, end = f"<!-- keys: {name} -->\n", "<!-- end -->"
        before, _, rest = page.partition(begin)
        _, _, after = rest.partition(end)
        page = before + begin + _write_table(message_type) + end + after
    return page


def _write_table(message_type: type[message.Message]) -> str:
    lines = [
        "| key | meaning | unit | allowed | if absent | example |",
        "|---|---|---|---|---|---|",
    ]
    for field in message_type.DESCRIPTOR.fields:
        options: Any = field.GetOptions()
        setting = options.Extensions[settings_pb2.setting]
        if setting.help:
            lines.append(_write_row(field.name, message_type, setting))
    return "\n".join(lines) + "\n"


def _write_row(
    key: str,
    message_type: type[message.Message],
    setting: settings_pb2.Setting,
) -> str:
    allowed = ", ".join(f'`"{word}"`' for word in setting.choices)
    if setting.max:
        bounds = fields.get_declared_range(message_type, key)._replace(unit="")
        allowed = str(bounds)
    default = "(required)" if setting.required else setting.default
    return (
        f"| `{key}` | {setting.help} | {setting.unit} | {allowed} | {default}"
        f" | `{_EXAMPLES[key]}` |"
    )
