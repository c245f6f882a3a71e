"""The backend server beside this daemon, as it announced itself."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logging.getLogger(__name__)


class OwnBackend:
    """What is known about the own backend server.

    Attributes:
        service: Service it serves; empty before it announced itself.
        address: Its "ip:port".
        slots: Calls it runs at once.
        state: As announced and as the daemon's own checks found it.
        ready_since_ms: When it became ready, in ms since 1970.
        on_change: Called after every change of what `build_record` gives.
    """

    def __init__(self) -> None:
        self.service = ""
        self.address = ""
        self.slots = 0
        self.state = control_pb2.BACKEND_STATE_UNSPECIFIED
        self.ready_since_ms = 0
        self.on_change: Callable[[], None] = lambda: None

    def announce(
        self,
        service: str,
        address: str,
        slots: int,
        state: control_pb2.BackendState = control_pb2.READY,
    ) -> None:
        """Takes over what the backend server says about itself."""
        before = self.build_record()
        self.service = service
        self.address = address
        self.slots = slots
        self._set_state(state)
        if self.build_record() != before:
            logger.info(
                "requests: backend server of %s is %s.",
                service,
                control_pb2.BackendState.Name(state),
            )
            self.on_change()

    def build_record(self) -> control_pb2.Backend:
        """Returns what the other daemons are told."""
        return control_pb2.Backend(
            service=self.service,
            slots=self.slots,
            state=self.state,
            ready_since_ms=self.ready_since_ms,
        )

    def _set_state(self, state: control_pb2.BackendState) -> None:
        if state == control_pb2.READY and self.state != control_pb2.READY:
            self.ready_since_ms = int(time.time() * 1000)
        self.state = state
