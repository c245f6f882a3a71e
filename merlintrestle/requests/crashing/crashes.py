"""Crashes of the own backend server, and the requests that cause them."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

from merlintrestle import events as event_logs
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.crashing import strikes

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests import backend as backends
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.schema import control_pb2

events = event_logs.EventLog("requests")

# Longest wait of a suspect for other suspects that run here.
_SUSPECT_WAIT_S = 1.0


class CrashTracker:
    """Finds out which request crashes backend servers, and blocks it.

    All requests in flight at a crash get a strike, for any may be the cause.
    Each of them is a suspect from then on, and a backend server runs one
    suspect at a time. If it crashes again, only the suspect is struck, so that
    its neighbours are not blamed, and it is blocked; if the suspect is
    answered, it is cleared.

    Attributes:
        strikes: What is known of requests, here and in the fleet.
        send_strike: Called with each own strike, to tell the fleet.
    """

    def __init__(self, backend: backends.LocalBackend):
        """Sets the own backend server."""
        self.strikes = strikes.Strikes()
        self.send_strike: Callable[[control_pb2.Strike], None] = _ignore
        self._backend = backend
        backend.on_down = self.record_crash
        self._running: dict[int, calls.Call] = {}
        self._broken: list[calls.Call] = []
        self._checking: asyncio.Task[None] | None = None
        self._suspect_slot = asyncio.Lock()

    def check(self, call: calls.Call) -> outcomes.NotRun | None:
        """Returns why a call must not run here; None: it may."""
        if not self.strikes:
            return None
        blocked_s = self.strikes.get_blocked_s(call.get_identity())
        if blocked_s <= 0:
            return None
        return outcomes.NotRun(
            "this request crashed backend servers and is blocked",
            503,
            blocked_s,
        )

    async def acquire_suspect_slot(
        self, call: calls.Call
    ) -> outcomes.NotRun | Callable[[], None] | None:
        """Has a suspect wait until it is the only one here.

        Returns:
            None for a call that is no suspect; what ends the turn of a
            suspect; or why the turn did not come.
        """
        if not self._is_suspect(call):
            return None
        try:
            async with (
                asyncio.timeout(_SUSPECT_WAIT_S),
                asyncio.timeout_at(call.refuse_by),
            ):
                await self._suspect_slot.acquire()
        except TimeoutError:
            return outcomes.NotRun(
                "another request that may crash the backend server runs",
                elsewhere=True,
                overloaded=True,
            )
        return self._suspect_slot.release

    def begin(self, call: calls.Call) -> None:
        """Notes that a call is sent to the backend server."""
        self._running[id(call)] = call

    def end(self, call: calls.Call, answered: bool) -> None:
        """Notes that a call ended, with its whole answer or otherwise."""
        self._running.pop(id(call), None)
        if answered and self.strikes:
            self.strikes.clear(call.get_identity())

    def record_disconnect(self) -> None:
        """Notes that the connection of a call to the backend server broke.

        Whether the server crashed shows by a connection that is refused. What
        was in flight is noted now, as the others break just as well.
        """
        if self._checking is None:
            self._broken = list(self._running.values())
            self._checking = asyncio.create_task(self._check())

    def record_crash(self) -> None:
        """Strikes what was in flight: the backend server is gone.

        Called once for each crash, when the server is found to be gone; calls
        that break later belong to the same crash and are not struck again.
        """
        in_flight = self._broken or list(self._running.values())
        self._broken = []
        if in_flight:
            self._strike(in_flight)

    async def _check(self) -> None:
        try:
            await self._backend.check()
        finally:
            self._checking = None
            self._broken = []

    def _strike(self, in_flight: list[calls.Call]) -> None:
        suspects = [call for call in in_flight if self._is_suspect(call)]
        crash_id = secrets.token_hex(8)
        struck = {call.get_identity() for call in suspects or in_flight}
        events.warn(
            "backend server crashed",
            in_flight=len(in_flight),
            struck=len(struck),
            crash=crash_id,
        )
        for digest in struck:
            strike = self.strikes.build(digest, crash_id, bool(suspects))
            self.strikes.add(strike)
            self.send_strike(strike)

    def _is_suspect(self, call: calls.Call) -> bool:
        if call.suspect:
            return True
        if not self.strikes:
            return False
        return self.strikes.count(call.get_identity()) > 0


def _ignore(strike: control_pb2.Strike) -> None:
    pass
