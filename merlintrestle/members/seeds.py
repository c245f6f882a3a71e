"""Records in the store by which a daemon finds its first peer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from google.protobuf import message

from merlintrestle import config
from merlintrestle import events as event_logs
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Sequence

    from merlintrestle.store import client
    from merlintrestle.store import records

events = event_logs.EventLog("members")

PREFIX = "seeds/"
# Members named per availability zone.
SEEDS_PER_ZONE = 8
_MAX_ZONES = 100


async def read_seeds(store: records.Store) -> list[str]:
    """Returns the control addresses in the records of all zones.

    Raises:
        errors.StoreUnavailableError: The store did not answer.
    """
    return _list_addresses(await store.list(PREFIX, limit=_MAX_ZONES))


async def write_seeds(
    store: records.Store, zone: str, member_ids: list[str]
) -> list[str]:
    """Writes the record of a zone if it would change.

    Where another writer was faster its record stays. It may be of a part of
    the fleet that started at the same time and knows nothing of this one, so
    it is returned with the others: by it the two parts meet.

    Returns:
        The addresses in the records of all zones but for what was written.

    Raises:
        errors.StoreError: The store did not answer.
    """
    key = PREFIX + zone
    record = control_pb2.MembersReply(
        members=[control_pb2.Member(id=member_id) for member_id in member_ids]
    )
    value = record.SerializeToString(deterministic=True)
    before = await store.list(PREFIX, limit=_MAX_ZONES)
    held = {entry.key: entry for entry in before}.get(key)
    if held is not None and held.value == value:
        return _list_addresses(before)
    reply = await store.put(key, value, held.revision if held else 0)
    if not reply.written:
        before = [*before, reply.entry]
    return _list_addresses(before)


def _list_addresses(entries: Sequence[client.Entry]) -> list[str]:
    addresses: list[str] = []
    for entry in entries:
        try:
            record = control_pb2.MembersReply.FromString(entry.value)
        except message.DecodeError as error:
            # The zone's own daemons write it anew; those that start now find
            # the fleet by the others.
            events.warn("seeds malformed", key=entry.key, error=str(error))
            continue
        for member in record.members:
            # Whoever else writes here may name what no connection is made to.
            if fault := config.check_address(member.id):
                events.warn("seed malformed", key=entry.key, error=fault)
            else:
                addresses.append(member.id)
    return addresses
