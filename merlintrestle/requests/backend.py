"""State of the local backend server, as it announces it."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from merlintrestle import events as event_logs
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

events = event_logs.EventLog("requests")

# Timeout of a connection attempt, in seconds. A timeout does not change the
# state, see `LocalBackend.check_reachable`.
_CONNECT_TIMEOUT_S = 0.5
# Duration of the warm-up of a backend server, in seconds, and of the slow start
# of an upstream. In the slow start, which begins when the upstream becomes
# ready, its share of calls rises to the full value.
WARMUP_S = 10.0


class LocalBackend:
    """The local backend server.

    Attributes:
        service: Service it serves; empty before its first announcement.
        address: Its "ip:port".
        slots: Number of calls it runs at once.
        version: Version of its software; empty if not announced.
        warmup_ends_at: Monotonic time at which its warm-up ends, in seconds.
            Until then it may be slow, as its process has just started.
        instance_id: Id of its process; empty if not announced.
        started_ms: Start time of its process, in ms since 1970; 0 if not
            announced.
        state: State as announced, or DOWN while it refuses connections.
        ready_since_ms: Time at which it became ready, in ms since 1970, minus
            the warm-up time that had already elapsed by then. Its slow start
            is computed from it.
        reachable: False after it refused a connection, until it accepts one.
        on_change: Called after every change of the value of `build_record`.
        on_down: Called when `check_reachable` finds that it refuses
            connections.
        on_restart: Called with the address of the previous process when a new
            process announces itself.
    """

    def __init__(self) -> None:
        self.service = ""
        self.address = ""
        self.slots = 0
        self.version = ""
        self.warmup_ends_at = 0.0
        self.instance_id = ""
        self.started_ms = 0
        self.state = control_pb2.BACKEND_STATE_UNSPECIFIED
        self.ready_since_ms = 0
        self.reachable = True
        self.on_change: Callable[[], None] = _ignore
        self.on_down: Callable[[], None] = _ignore
        self.on_restart: Callable[[str], None] = _ignore_restart
        self._announced_state = control_pb2.BACKEND_STATE_UNSPECIFIED
        self._draining = False
        self._remaining_warmup_s = WARMUP_S

    def announce(
        self,
        service: str,
        address: str,
        slots: int,
        state: control_pb2.BackendState = control_pb2.READY,
        instance_id: str = "",
        remaining_warmup_s: float = WARMUP_S,
        started_ms: int = 0,
        version: str = "",
    ) -> None:
        """Applies an announcement of the backend server.

        Args:
            service: Service it serves.
            address: Its "ip:port".
            slots: Number of calls it runs at once.
            state: Whether it accepts new calls.
            instance_id: Id of its process; empty if not announced.
            remaining_warmup_s: Remaining warm-up time of its process, in
                seconds. Without it, a restarted daemon would assume that a warm
                backend server has just started.
            started_ms: Start time of its process, in ms since 1970; 0 if not
                announced.
            version: Version of its software; empty if not announced.
        """
        previous_record = self.build_record()
        self._remaining_warmup_s = min(remaining_warmup_s, WARMUP_S)
        self.warmup_ends_at = time.monotonic() + self._remaining_warmup_s
        if self._is_new_process(instance_id, started_ms):
            # The state and the open connections belong to the previous process.
            # The new process is not warm yet, and requests on the open
            # connections would get no answer.
            self.state = control_pb2.BACKEND_STATE_UNSPECIFIED
            self.on_restart(self.address)
        self.instance_id = instance_id
        self.started_ms = started_ms
        self.version = version
        self.service = service
        self.address = address
        self.slots = slots
        self.reachable = True
        self._announced_state = (
            control_pb2.DRAINING if self._draining else state
        )
        self._set_state(self._announced_state)
        self._report_change(previous_record)

    def retire(self) -> None:
        """Stops new calls until the next announcement.

        It is called when the process reports that it ends. Later heartbeats of
        that process are dropped by `daemon.heartbeats`.
        """
        previous_record = self.build_record()
        self._announced_state = control_pb2.DRAINING
        if self.state == control_pb2.READY:
            self._set_state(control_pb2.DRAINING)
        self._report_change(previous_record)

    def drain(self) -> None:
        """Stops new calls permanently, whatever state is announced later.

        It is called when the daemon stops.
        """
        previous_record = self.build_record()
        self._draining = True
        self._announced_state = control_pb2.DRAINING
        if self.state == control_pb2.READY:
            self._set_state(control_pb2.DRAINING)
        self._report_change(previous_record)

    @property
    def is_leaving(self) -> bool:
        """Whether it announced that it accepts no new calls.

        False while only its daemon stops, which completes admitted calls.
        """
        return not self._draining and self._announced_state in (
            control_pb2.DRAINING,
            control_pb2.DOWN,
        )

    async def check_reachable(self) -> bool:
        """Checks whether it accepts connections, and returns `reachable`.

        Only a refused connection marks it unreachable, as it shows that no
        process listens. A connection attempt may also time out because the
        backlog of the listening socket is full.
        """
        if not self.address:
            return self.reachable
        reachable = await _try_connection(self.address)
        if reachable is None or reachable == self.reachable:
            return self.reachable
        previous_record = self.build_record()
        self.reachable = reachable
        self._set_state(
            self._announced_state if reachable else control_pb2.DOWN
        )
        if not reachable:
            self.on_down()
        self._report_change(previous_record)
        return reachable

    def build_record(self) -> control_pb2.Backend:
        """Returns the record that is sent to the other daemons."""
        return control_pb2.Backend(
            service=self.service,
            slots=self.slots,
            state=self.state,
            ready_since_ms=self.ready_since_ms,
            version=self.version,
        )

    def _is_new_process(self, instance_id: str, started_ms: int) -> bool:
        """Returns whether an announcement comes from a new process.

        A restarted process may keep its instance id, so the start times are
        compared too.
        """
        if not self.instance_id:
            return False
        started_later = 0 < self.started_ms < started_ms
        return started_later or instance_id != self.instance_id

    def _set_state(self, state: control_pb2.BackendState) -> None:
        if state == control_pb2.READY and self.state != control_pb2.READY:
            elapsed_warmup_s = WARMUP_S - self._remaining_warmup_s
            self.ready_since_ms = int((time.time() - elapsed_warmup_s) * 1000)
        self.state = state

    def _report_change(self, previous_record: control_pb2.Backend) -> None:
        if self.build_record() == previous_record:
            return
        events.note(
            "backend server changed",
            service=self.service,
            instance=self.instance_id,
            started_ms=self.started_ms,
            address=self.address,
            slots=self.slots,
            version=self.version,
            state=control_pb2.BackendState.Name(self.state).lower(),
        )
        self.on_change()


async def _try_connection(address: str) -> bool | None:
    """Returns whether a connection is accepted; None if undetermined."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return False
    except (OSError, TimeoutError):
        return None
    writer.close()
    return True


def _ignore() -> None:
    pass


def _ignore_restart(previous_address: str) -> None:
    del previous_address
