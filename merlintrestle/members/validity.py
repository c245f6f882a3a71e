"""Which records of members can be used."""

from __future__ import annotations

import math

from merlintrestle import config
from merlintrestle.schema import control_pb2

# A member raises its incarnation by one above what others hold; the largest
# numbers would leave it no room.
_MAX_INCARNATION = 2**62
_MAX_VERSION_CHARACTERS = 200


def find_fault(member: control_pb2.Member) -> str:
    """Returns why a record cannot be used; empty: it can.

    Records spread to every daemon. One with an address that no connection
    can be made to would raise wherever it is used, in the whole fleet, and a
    task that raises ends its daemon. Refused where it comes in, it is neither
    used nor passed on.
    """
    if problem := config.check_address(member.id):
        return problem
    if not 0 < member.incarnation <= _MAX_INCARNATION:
        return f"incarnation {member.incarnation} is out of range."
    if not 0 <= member.link_mbps < math.inf:
        return f"a link of {member.link_mbps} Mbit/s is out of range."
    backend = member.backend
    if len(backend.version) > _MAX_VERSION_CHARACTERS:
        return "the version of its backend server is too long."
    if backend.state != control_pb2.READY:
        return ""
    if not backend.slots:
        return "a backend server without slots is ready."
    return config.check_address(f"{member.address}:{member.peer_port}")
