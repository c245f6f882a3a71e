"""The backend server beside this daemon, as it announced itself."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from merlintrestle import events as event_logs
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

events = event_logs.EventLog("requests")

_CONNECT_S = 0.5
# An upstream that became ready gets a share of work that rises for so long.
WARMUP_S = 10.0


class LocalBackend:
    """What is known about the own backend server.

    Attributes:
        service: Service it serves; empty before it announced itself.
        address: Its "ip:port".
        slots: Calls it runs at once.
        version: Version of its software; empty: it gave none.
        warm_at: Monotonic time until which it is slow after its start, in s.
        instance_id: Id of its process; empty: it gave none.
        state: As announced, or DOWN where it refuses connections.
        born_ms: When its process started, in ms since 1970; 0: not stated.
        ready_since_ms: When it became ready, in ms since 1970.
        reachable: False once it refused a connection, until it takes one.
        on_change: Called after every change of what `build_record` gives.
        on_down: Called when it turns out to refuse connections.
        on_restart: Called with its address when another process announces
            itself.
    """

    def __init__(self) -> None:
        self.service = ""
        self.address = ""
        self.slots = 0
        self.version = ""
        self.warm_at = 0.0
        self.instance_id = ""
        self.born_ms = 0
        self.state = control_pb2.BACKEND_STATE_UNSPECIFIED
        self.ready_since_ms = 0
        self.reachable = True
        self.on_change: Callable[[], None] = _ignore
        self.on_down: Callable[[], None] = _ignore
        self.on_restart: Callable[[str], None] = _ignore_restart
        self._announced = control_pb2.BACKEND_STATE_UNSPECIFIED
        self._draining = False
        self._cold_s = WARMUP_S

    def announce(
        self,
        service: str,
        address: str,
        slots: int,
        state: control_pb2.BackendState = control_pb2.READY,
        instance_id: str = "",
        cold_s: float = WARMUP_S,
        born_ms: int = 0,
        version: str = "",
    ) -> None:
        """Takes over what the backend server says about itself.

        Args:
            service: Service it serves.
            address: Its "ip:port".
            slots: Calls it runs at once.
            state: Whether it takes new work.
            instance_id: Id of its process; empty: it gave none.
            cold_s: Seconds for which it will still be slow after its start.
                A daemon that restarts beside a warm backend server would
                otherwise take it for a cold one.
            born_ms: When its process started, in ms since 1970; 0: not stated.
            version: Version of its software; empty: it gave none.
        """
        before = self.build_record()
        self._cold_s = min(cold_s, WARMUP_S)
        self.warm_at = time.monotonic() + self._cold_s
        if self._is_another(instance_id, born_ms):
            # What is known is of the process before: that it is warm, and
            # connections that nobody answers on any more.
            self.state = control_pb2.BACKEND_STATE_UNSPECIFIED
            self.on_restart(self.address)
        self.instance_id = instance_id
        self.born_ms = born_ms
        self.version = version
        self.service = service
        self.address = address
        self.slots = slots
        self.reachable = True
        self._announced = control_pb2.DRAINING if self._draining else state
        self._set_state(self._announced)
        self._tell_change(before)

    def retire(self) -> None:
        """Takes no new work until another process announces itself."""
        before = self.build_record()
        self._announced = control_pb2.DRAINING
        if self.state == control_pb2.READY:
            self._set_state(control_pb2.DRAINING)
        self._tell_change(before)

    def drain(self) -> None:
        """Takes no new work from now on, whatever it announces."""
        before = self.build_record()
        self._draining = True
        self._announced = control_pb2.DRAINING
        if self.state == control_pb2.READY:
            self._set_state(control_pb2.DRAINING)
        self._tell_change(before)

    async def check_reachable(self) -> bool:
        """Finds out whether it takes connections; returns `reachable`.

        Only a refusal counts: it shows that no process listens. A connection
        that does not come about in time may as well be a full backlog.
        """
        if not self.address:
            return self.reachable
        reachable = await _try_connection(self.address)
        if reachable is None or reachable == self.reachable:
            return self.reachable
        before = self.build_record()
        self.reachable = reachable
        self._set_state(self._announced if reachable else control_pb2.DOWN)
        if not reachable:
            self.on_down()
        self._tell_change(before)
        return reachable

    def build_record(self) -> control_pb2.Backend:
        """Returns what the other daemons are told."""
        return control_pb2.Backend(
            service=self.service,
            slots=self.slots,
            state=self.state,
            ready_since_ms=self.ready_since_ms,
            version=self.version,
        )

    def _is_another(self, instance_id: str, born_ms: int) -> bool:
        """Returns whether another process than the one known speaks."""
        if not self.instance_id:
            return False
        restarted = 0 < self.born_ms < born_ms
        return restarted or instance_id != self.instance_id

    def _set_state(self, state: control_pb2.BackendState) -> None:
        if state == control_pb2.READY and self.state != control_pb2.READY:
            warm_s = WARMUP_S - self._cold_s
            self.ready_since_ms = int((time.time() - warm_s) * 1000)
        self.state = state

    def _tell_change(self, before: control_pb2.Backend) -> None:
        if self.build_record() == before:
            return
        events.note(
            "backend server changed",
            service=self.service,
            instance=self.instance_id,
            address=self.address,
            slots=self.slots,
            version=self.version,
            state=control_pb2.BackendState.Name(self.state).lower(),
        )
        self.on_change()


async def _try_connection(address: str) -> bool | None:
    """Returns whether a connection came about; None: it is not known."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(_CONNECT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return False
    except (OSError, TimeoutError):
        return None
    writer.close()
    return True


def _ignore() -> None:
    pass


def _ignore_restart(address: str) -> None:
    del address
