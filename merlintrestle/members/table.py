"""The table of members: who is in the fleet and which upstreams it has."""

from __future__ import annotations

from typing import NamedTuple


class Upstream(NamedTuple):
    """One backend server that may be sent work, by way of its daemon.

    Attributes:
        member_id: Id of the daemon beside it, "ip:control_port".
        address: IP number of the daemon.
        peer_port: Port of the daemon for calls from peers.
        zone: Availability zone.
        region: Region.
        slots: Calls it runs at once.
        ready_since_ms: When it became ready, in ms since 1970.
        suspect: True while the daemon is suspected to have failed.
    """

    member_id: str
    address: str
    peer_port: int
    zone: str
    region: str
    slots: int
    ready_since_ms: int
    suspect: bool
