"""Seed records in the store, which starting daemons use for first contact."""

from __future__ import annotations

from typing import TYPE_CHECKING

from google.protobuf import message

from merlintrestle import config
from merlintrestle import decoding
from merlintrestle import events as event_logs
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Sequence

    from merlintrestle.store import client
    from merlintrestle.store import records

events = event_logs.EventLog("members")

KEY_PREFIX = "seeds/"
# Maximum number of members in the record of an availability zone.
SEEDS_PER_ZONE = 8
_MAX_ZONES = 100


async def read_seeds(store: records.Store) -> list[str]:
    """Returns the member ids in the seed records of all zones.

    The id of a member is its control address.

    Raises:
        errors.StoreUnavailableError: The store did not answer.
    """
    return _list_member_ids(await store.list(KEY_PREFIX, limit=_MAX_ZONES))


async def write_seeds(
    store: records.Store, zone: str, member_ids: list[str]
) -> list[str]:
    """Writes the seed record of a zone if it differs from the stored one.

    If another daemon writes the record at the same time and wins, its record
    stays. It may come from a partition of the fleet that started at the same
    time and does not know this one. The caller contacts the returned members,
    which merges the two partitions.

    Returns:
        The member ids in the records of all zones as read before the write, and
        those in the record of another daemon that won.

    Raises:
        errors.StoreError: The store did not answer.
    """
    key = KEY_PREFIX + zone
    record = control_pb2.MembersReply(
        members=[control_pb2.Member(id=member_id) for member_id in member_ids]
    )
    value = record.SerializeToString(deterministic=True)
    entries = await store.list(KEY_PREFIX, limit=_MAX_ZONES)
    stored_entry = {entry.key: entry for entry in entries}.get(key)
    if stored_entry is not None and stored_entry.value == value:
        return _list_member_ids(entries)
    reply = await store.put(
        key, value, stored_entry.revision if stored_entry else 0
    )
    if not reply.written:
        entries = [*entries, reply.entry]
    return _list_member_ids(entries)


def _list_member_ids(entries: Sequence[client.Entry]) -> list[str]:
    member_ids: list[str] = []
    for entry in entries:
        try:
            record = control_pb2.MembersReply.FromString(entry.value)
        except message.DecodeError as error:
            # The daemons of that zone will rewrite the record. Until then,
            # starting daemons use the records of the other zones.
            decoding.count_refused("seed")
            events.warn("seeds malformed", key=entry.key, error=str(error))
            continue
        for member in record.members:
            # Another writer may have stored an id that is not an address.
            if problem := config.check_address(member.id):
                decoding.count_refused("seed")
                events.warn("seed malformed", key=entry.key, error=problem)
            else:
                member_ids.append(member.id)
    return member_ids
