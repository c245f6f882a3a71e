"""Admission: which calls the own backend server is given."""

from __future__ import annotations

from typing import TYPE_CHECKING

from merlintrestle.requests import outcomes
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from merlintrestle.requests import backend as backends
    from merlintrestle.requests import call as calls


class Admission:
    """Gives out the slots of the own backend server.

    Attributes:
        in_flight: Calls that hold a slot.
    """

    def __init__(self, backend: backends.OwnBackend):
        self._backend = backend
        self.in_flight = 0

    async def enter(self, call: calls.Call) -> outcomes.NotRun | None:
        """Takes a slot; returns why not otherwise."""
        backend = self._backend
        if backend.service != call.service:
            return outcomes.NotRun(
                "this instance does not serve the service", elsewhere=True
            )
        if backend.state != control_pb2.READY:
            return outcomes.NotRun(
                "the backend server is leaving or down", elsewhere=True
            )
        if self.in_flight >= backend.slots:
            return outcomes.NotRun(
                "no free slot", elsewhere=True, overloaded=True
            )
        self.in_flight += 1
        return None

    def leave(self, call: calls.Call) -> None:
        """Gives a slot back."""
        self.in_flight -= 1
