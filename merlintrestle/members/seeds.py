"""Seed records in the store, by which a daemon finds its first peer."""

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

KEY_PREFIX = "seeds/"
# Members in the record of an availability zone.
SEEDS_PER_ZONE = 8
_MAX_ZONES = 100


async def read_seeds(store: records.Store) -> list[str]:
    """Returns the control addresses in the seed records of all zones.

    Raises:
        errors.StoreUnavailableError: The store did not answer.
    """
    return _list_addresses(await store.list(KEY_PREFIX, limit=_MAX_ZONES))


async def write_seeds(
    store: records.Store, zone: str, member_ids: list[str]
) -> list[str]:
    """Writes the seed record of a zone if it differs from the stored one.

    If another writer was faster, its record stays and is among those returned:
    it may come from a partition of the fleet that started at the same time and
    does not know this one, and its addresses let the two partitions merge.

    Returns:
        The addresses in the records of all zones, without those just written.

    Raises:
        errors.StoreError: The store did not answer.
    """
    key = KEY_PREFIX + zone
    record = control_pb2.MembersReply(
        members=[control_pb2.Member(id=member_id) for member_id in member_ids]
    )
    value = record.SerializeToString(deterministic=True)
    entries = await store.list(KEY_PREFIX, limit=_MAX_ZONES)
    current = {entry.key: entry for entry in entries}.get(key)
    if current is not None and current.value == value:
        return _list_addresses(entries)
    reply = await store.put(key, value, current.revision if current else 0)
    if not reply.written:
        entries = [*entries, reply.entry]
    return _list_addresses(entries)


def _list_addresses(entries: Sequence[client.Entry]) -> list[str]:
    addresses: list[str] = []
    for entry in entries:
        try:
            record = control_pb2.MembersReply.FromString(entry.value)
        except message.DecodeError as error:
            # The daemons of that zone will rewrite it; until then starting
            # daemons use the records of the other zones.
            events.warn("seeds malformed", key=entry.key, error=str(error))
            continue
        for member in record.members:
            # Another writer may have stored an id that is not an address.
            if problem := config.check_address(member.id):
                events.warn("seed malformed", key=entry.key, error=problem)
            else:
                addresses.append(member.id)
    return addresses
