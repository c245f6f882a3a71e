"""Small fakes at the interfaces of the data path."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot
    from merlintrestle.members import table


class Holder:
    """Holds one snapshot, or none while closed."""

    def __init__(self, running: snapshot.Snapshot | None):
        self.running = running
        self.closed_reason = "no floor is known"


class Table:
    """Upstreams by service, set by the test."""

    def __init__(self) -> None:
        self.upstreams: dict[str, tuple[table.Upstream, ...]] = {}

    def get_upstreams(self, service: str) -> tuple[table.Upstream, ...]:
        """Returns the upstreams of a service."""
        return self.upstreams.get(service, ())
