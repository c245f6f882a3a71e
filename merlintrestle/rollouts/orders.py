"""Orders of roll-outs by operators, and the audit trail of their attempts."""

from __future__ import annotations

import secrets
from typing import NamedTuple, TYPE_CHECKING

from google.protobuf import message

from merlintrestle import errors
from merlintrestle.rollouts import storage
from merlintrestle.schema import control_pb2
from merlintrestle.store import records

if TYPE_CHECKING:
    from collections.abc import Sequence

    from merlintrestle.store import client

START = "start"
ABORT = "abort"
_AUDIT_TRAIL_PREFIX = "rollouts/trail/"
_ID_BYTES = 8
_ORDER_ID_BITS = 64


class Attempt(NamedTuple):
    """An operator's attempt to start or abort a roll-out.

    The names of the fields are those of the protobuf message.

    Attributes:
        action: `START` or `ABORT`.
        operator: Name of the operator.
        at_ms: Time of the attempt, in ms since 1970.
        service: Service of the roll-out.
        version: Version to which the roll-out moves the service.
    """

    action: str
    operator: str
    at_ms: int
    service: str
    version: str


class Record(NamedTuple):
    """Record of an attempt in the audit trail.

    Attributes:
        key: Its key in the store, which no other attempt has.
        value: Its encoded value.
    """

    key: str
    value: bytes


async def write_order(
    store: records.Store,
    order: control_pb2.Rollout,
    seen: storage.SeenOrder | None = None,
) -> int:
    """Writes an order in place of the one that was checked.

    The write rests on the revision that the check read, not on one that is read
    again: an order that another operator wrote since would be replaced.

    The number of an order is the store revision of its entry. It is therefore
    not part of the written value.

    Args:
        store: The store.
        order: The order.
        seen: The last order for the service when it was checked that it may be
            replaced. None: an order that was read replaces itself, by its
            number, and one without a number must be the service's first.

    Returns:
        The number of the order, which may stand already because of an earlier
        call that got no answer.

    Raises:
        errors.LostRaceError: Another order was written since the check. Nothing
            was written.
        errors.StoreUnknownOutcomeError: The store did not answer. The call may
            be repeated if the order has an id.
    """
    written = control_pb2.Rollout()
    written.CopyFrom(order)
    written.number = 0
    reply = await store.put(
        storage.ORDER_PREFIX + order.service,
        written.SerializeToString(deterministic=True),
        seen.revision if seen is not None else order.number,
    )
    if not reply.written and not _is_in_place(written, reply.entry):
        raise errors.LostRaceError(f"{order.service}: there is another order")
    return reply.entry.revision


async def check_standing(
    store: records.Store, order: control_pb2.Rollout
) -> int:
    """Checks that an order is still the last one for its service.

    Args:
        store: The store.
        order: The order as it was read, but with the state with which it is to
            be written again, and may be already.

    Returns:
        The revision of its entry, which is higher if it was written again.

    Raises:
        errors.LostRaceError: Another order was written since.
        errors.StoreUnavailableError: The store did not answer.
    """
    entry = await store.get(storage.ORDER_PREFIX + order.service)
    if entry is not None and (
        entry.revision == order.number or _is_in_place(order, entry)
    ):
        return entry.revision
    raise errors.LostRaceError(f"{order.service}: there is another order")


def identify(order: control_pb2.Rollout) -> control_pb2.Rollout:
    """Returns a copy of an order that has an id."""
    identified = control_pb2.Rollout()
    identified.CopyFrom(order)
    identified.order_id = order.order_id or secrets.randbits(_ORDER_ID_BITS)
    return identified


def _is_in_place(order: control_pb2.Rollout, entry: client.Entry) -> bool:
    """Returns whether an entry is an order that was to be written.

    An order that is aborted keeps its id, so it is in place, too.
    """
    try:
        stored = control_pb2.Rollout.FromString(entry.value)
    except message.DecodeError:
        return False
    is_same = bool(order.order_id) and stored.order_id == order.order_id
    return is_same and stored.state in (order.state, control_pb2.ROLLED_BACK)


async def write_attempt(
    store: records.Store,
    attempt: Attempt,
    findings: Sequence[errors.Finding],
) -> None:
    """Records an attempt in the audit trail.

    To be called before the order is written, and for refused attempts as well.

    Attempts at a service in the same millisecond, even by the same operator,
    are told apart by a random id in their keys.

    Args:
        store: The store.
        attempt: The attempt.
        findings: Reasons why the attempt is refused; empty if it is accepted.

    Raises:
        errors.StoreError: The store did not answer. The order must then not be
            written.
    """
    await records.write_once(store, *build_record(attempt, findings))


async def list_attempts(
    store: records.Store, service: str
) -> list[control_pb2.RolloutAttempt]:
    """Returns the attempts at roll-outs of a service, newest last.

    Those of the same millisecond are in the order in which they were recorded.

    Raises:
        errors.StoreError: The store did not answer, or a record is malformed.
    """
    prefix = _build_trail_prefix(service)
    entries = [entry async for entry in records.list_entries(store, prefix)]
    # Within a millisecond, keys are in the order of their random ids.
    entries.sort(key=lambda entry: entry.revision)
    attempts = [_parse_attempt(entry) for entry in entries]
    return sorted(attempts, key=lambda attempt: attempt.at_ms)


def build_record(
    attempt: Attempt, findings: Sequence[errors.Finding]
) -> Record:
    """Returns the record of an attempt, whose key no other attempt has."""
    record = control_pb2.RolloutAttempt(
        **attempt._asdict(), refusals=[str(finding) for finding in findings]
    )
    prefix = _build_trail_prefix(attempt.service)
    return Record(
        f"{prefix}{attempt.at_ms:015d}-{secrets.token_hex(_ID_BYTES)}",
        record.SerializeToString(deterministic=True),
    )


def _build_trail_prefix(service: str) -> str:
    """Returns the prefix of the keys of all attempts at a service.

    It is followed by the time of the attempt in ms, in 15 digits, a hyphen and
    the random id. Records of earlier releases have neither hyphen nor id.
    """
    return f"{_AUDIT_TRAIL_PREFIX}{service}/"


def _parse_attempt(entry: client.Entry) -> control_pb2.RolloutAttempt:
    """Returns the attempt in an entry of the store."""
    try:
        return control_pb2.RolloutAttempt.FromString(entry.value)
    except message.DecodeError as error:
        raise errors.CorruptRecordError(f"{entry.key}: {error}") from error
