"""Validation of member records."""

from __future__ import annotations

import math

from merlintrestle import config
from merlintrestle.schema import control_pb2

# A member refutes a record that calls it suspect or dead by an incarnation one
# above that of the record. It could not if that were the largest integer.
_MAX_INCARNATION = 2**62
_MAX_VERSION_CHARACTERS = 200
_MAX_SLOTS = 100_000


def find_error(member: control_pb2.Member) -> str:
    """Returns why a record is invalid, or an empty string if it is valid.

    Each record is forwarded to every daemon. Using a record with an invalid
    address raises an exception, and an exception in a task ends its daemon, so
    that one such record could end the whole fleet. A record that is refused on
    receipt is neither used nor forwarded.
    """
    if problem := config.check_address(member.id):
        return problem
    if not 0 < member.incarnation <= _MAX_INCARNATION:
        return f"incarnation {member.incarnation} is out of range."
    if not 0 <= member.link_mbps < math.inf:
        return f"a link of {member.link_mbps} Mbit/s is out of range."
    if problem := _find_state_error(member):
        return problem
    if math.isnan(member.leaving.sequence):
        return "the sequence number of its leaving process is no number."
    backend = member.backend
    if backend.slots > _MAX_SLOTS:
        return f"{backend.slots} slots are out of range."
    if len(backend.version) > _MAX_VERSION_CHARACTERS:
        return "the version of its backend server is too long."
    if backend.state != control_pb2.READY:
        return ""
    if not backend.slots:
        return "a backend server without slots is ready."
    return config.check_address(f"{member.address}:{member.peer_port}")


def _find_state_error(member: control_pb2.Member) -> str:
    """Returns an error message for states of a later release.

    They could neither be compared nor logged.
    """
    if member.state not in control_pb2.MemberState.values():
        return f"state {member.state} is not known."
    if member.backend.state not in control_pb2.BackendState.values():
        return f"state {member.backend.state} of its server is not known."
    return ""
