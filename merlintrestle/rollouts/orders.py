"""Orders: what operators write of roll-outs, and who did."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from google.protobuf import message

from merlintrestle import errors
from merlintrestle.rollouts import storage as registers
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Sequence

    from merlintrestle.store import records

START = "start"
ABORT = "abort"
_TRAIL_PREFIX = "rollouts/trail/"
_MOST_LISTED = 1000


class Attempt(NamedTuple):
    """Something that an operator tried.

    Attributes:
        action: `START` or `ABORT`.
        operator: Who tried it.
        at_ms: When, in ms since 1970.
        service: Service of the roll-out.
        version: Version that it is to.
    """

    action: str
    operator: str
    at_ms: int
    service: str
    version: str


async def write_order(store: records.Store, order: control_pb2.Rollout) -> int:
    """Writes an order in place of the one before.

    Returns:
        Its number; 0: another operator was faster, and nothing was changed.

    Raises:
        errors.StoreError: The store did not answer.
    """
    key = registers.ORDER_PREFIX + order.service
    before = await store.get(key)
    held = before.revision if before is not None else 0
    if order.number and held != order.number:
        return 0
    written = control_pb2.Rollout()
    written.CopyFrom(order)
    written.number = 0
    value = written.SerializeToString(deterministic=True)
    reply = await store.put(key, value, held)
    return reply.entry.revision if reply.written else 0


async def write_attempt(
    store: records.Store,
    attempt: Attempt,
    findings: Sequence[errors.Finding],
) -> None:
    """Writes what an operator tries to the audit trail, before it is tried.

    Raises:
        errors.StoreError: The store did not answer; nothing is tried then.
    """
    record = control_pb2.RolloutAttempt(
        **attempt._asdict(), refusals=[str(one) for one in findings]
    )
    key = f"{_TRAIL_PREFIX}{attempt.service}/{attempt.at_ms:015d}"
    value = record.SerializeToString(deterministic=True)
    await store.put(key, value, 0)


async def list_attempts(
    store: records.Store, service: str
) -> list[control_pb2.RolloutAttempt]:
    """Returns the attempts at roll-outs of a service, newest last.

    Raises:
        errors.StoreError: The store did not answer, or a record is malformed.
    """
    prefix = f"{_TRAIL_PREFIX}{service}/"
    entries = await store.list(prefix, limit=_MOST_LISTED)
    try:
        return [
            control_pb2.RolloutAttempt.FromString(entry.value)
            for entry in entries
        ]
    except message.DecodeError as error:
        raise errors.CorruptRecordError(f"{prefix}: {error}") from error
