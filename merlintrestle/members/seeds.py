"""Records in the store by which a daemon finds its first peer."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from google.protobuf import message

from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from merlintrestle.store import client

logger = logging.getLogger(__name__)

PREFIX = "seeds/"
# Members named per availability zone.
SEEDS_PER_ZONE = 8


async def read_seeds(store: client.StoreClient) -> list[str]:
    """Returns the control addresses in the records of all zones.

    Raises:
        errors.StoreUnavailableError: The store did not answer.
    """
    addresses: list[str] = []
    for entry in await store.list(PREFIX, limit=100):
        try:
            record = control_pb2.MembersReply.FromString(entry.value)
        except message.DecodeError as error:
            # The zone's own daemons write it anew; those that start now find
            # the fleet by the others.
            logger.warning("members: record %s: %s", entry.key, error)
            continue
        addresses.extend(member.id for member in record.members)
    return addresses


async def write_seeds(
    store: client.StoreClient, zone: str, member_ids: list[str]
) -> bool:
    """Writes the record of a zone if it would change; False: lost a race.

    Raises:
        errors.StoreError: The store did not answer.
    """
    key = PREFIX + zone
    record = control_pb2.MembersReply(
        members=[control_pb2.Member(id=member_id) for member_id in member_ids]
    )
    value = record.SerializeToString(deterministic=True)
    entry = await store.get(key)
    if entry is not None and entry.value == value:
        return True
    reply = await store.put(key, value, entry.revision if entry else 0)
    return reply.written
