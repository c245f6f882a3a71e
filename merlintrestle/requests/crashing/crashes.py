"""Detection of crashes of the local backend server and of their causes."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

from merlintrestle import events as event_logs
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.crashing import strikes

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from merlintrestle.requests import backend as backends
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.schema import control_pb2

events = event_logs.EventLog("requests")

# Longest wait of a suspect for another suspect that is running.
_MAX_SUSPECT_WAIT_S = 1.0


class CrashTracker:
    """Detects requests that crash backend servers, and blocks them.

    Each request that is in flight at a crash gets a strike, because any of them
    may be the cause. A request with a strike is a suspect, and a backend server
    runs only one suspect at a time. If the backend server crashes again, only
    the suspect gets a strike, not the other requests in flight, and the suspect
    is blocked. If a suspect is answered, its strikes are cleared.

    Attributes:
        strikes: Strikes against requests, from this daemon and its peers.
        send_strike: Called with each strike that this daemon adds, to send it
            to the other daemons.
    """

    def __init__(self, backend: backends.LocalBackend):
        """Sets the local backend server."""
        self.strikes = strikes.Strikes()
        self.send_strike: Callable[[control_pb2.Strike], None] = _ignore_strike
        self._backend = backend
        backend.on_down = self.record_crash
        self._calls_in_flight: dict[int, calls.Call] = {}
        self._in_flight_at_disconnect: list[calls.Call] = []
        self._probe_task: asyncio.Task[None] | None = None
        self._suspect_slot = asyncio.Lock()

    def check(self, call: calls.Call) -> outcomes.NotRun | None:
        """Returns a refusal if the request of a call is blocked, or None."""
        if not self.strikes:
            return None
        blocked_s = self.strikes.get_blocked_s(call.get_request_digest())
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
        """Waits until no other suspect is running, if a call is a suspect.

        Returns:
            None if the call is not a suspect. For a suspect, a callback that
            releases the suspect slot, or a refusal if the slot did not become
            free in time.
        """
        if not self._is_suspect(call):
            return None
        try:
            async with (
                asyncio.timeout(_MAX_SUSPECT_WAIT_S),
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

    def list_calls_in_flight(self) -> Collection[calls.Call]:
        """Returns the calls that run at the backend server."""
        return self._calls_in_flight.values()

    def begin(self, call: calls.Call) -> None:
        """Records that a call is being sent to the backend server."""
        self._calls_in_flight[id(call)] = call

    def end(self, call: calls.Call, answered: bool) -> None:
        """Records the end of a call.

        Args:
            call: The call.
            answered: True if the answer of the backend server was complete.
        """
        self._calls_in_flight.pop(id(call), None)
        if answered and self.strikes:
            self.strikes.clear(call.get_request_digest())

    def record_disconnect(self) -> None:
        """Records that the connection of a call to the backend server broke.

        The backend server is then probed: it has crashed only if it refuses a
        new connection. The calls in flight are recorded before that, because
        the connections of the other calls are breaking as well.
        """
        if self._probe_task is None:
            self._in_flight_at_disconnect = list(self._calls_in_flight.values())
            self._probe_task = asyncio.create_task(self._probe_backend())

    def record_crash(self) -> None:
        """Adds strikes against the requests that were in flight at a crash.

        Called once per crash, when the backend server refuses a connection.
        Calls that fail later belong to the same crash and get no further
        strike.
        """
        in_flight = self._in_flight_at_disconnect or list(
            self._calls_in_flight.values()
        )
        self._in_flight_at_disconnect = []
        if in_flight:
            self._add_strikes(in_flight)

    async def _probe_backend(self) -> None:
        try:
            await self._backend.check_reachable()
        finally:
            self._probe_task = None
            self._in_flight_at_disconnect = []

    def _add_strikes(self, in_flight: list[calls.Call]) -> None:
        """Adds a strike against each suspect, or each call if there is none."""
        suspects = [call for call in in_flight if self._is_suspect(call)]
        crash_id = secrets.token_hex(8)
        digests = {call.get_request_digest() for call in suspects or in_flight}
        events.warn(
            "backend server crashed",
            in_flight=len(in_flight),
            struck=len(digests),
            crash=crash_id,
        )
        for digest in digests:
            strike = self.strikes.build(digest, crash_id, bool(suspects))
            self.strikes.add(strike)
            self.send_strike(strike)

    def _is_suspect(self, call: calls.Call) -> bool:
        if call.suspect:
            return True
        if not self.strikes:
            return False
        return self.strikes.count(call.get_request_digest()) > 0


def _ignore_strike(strike: control_pb2.Strike) -> None:
    pass
