"""Notices of the local backend server, and what the daemon does about them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from merlintrestle import events as event_logs
from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.calls import notices as notices_lib
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from merlintrestle.requests import backend as backends
    from merlintrestle.requests.load import admission as admissions

events = event_logs.EventLog("requests")


class BackendNotices:
    """The latest notices of the local backend server, which its answers state.

    Attributes:
        current: The latest notices.
        on_leaving: Called with the id and the start of the process, in ms since
            1970 or 0, when it states that it leaves although it is used.
    """

    def __init__(
        self,
        backend: backends.LocalBackend,
        admission: admissions.Admission,
        dialect: object,
    ):
        """Initializes the notices of a backend server that has none.

        Args:
            backend: The local backend server.
            admission: Keeps its rate limit.
            dialect: Its dialect.
        """
        self.current = notices_lib.NO_NOTICES
        self.on_leaving: Callable[[str, int], None] = _ignore_leaving
        self._backend = backend
        self._admission = admission
        self._names = dialects.get_notice_headers(dialect)
        # Id and start of the process whose notices these are.
        self._process = ("", 0)

    def build_reader(self) -> Callable[[Mapping[str, str]], None]:
        """Returns a function that reads the headers of an answer to a call.

        It ignores the answer if the backend server is restarted before it
        arrives, as it then belongs to the previous process.
        """
        self._follow_process()
        process = self._process

        def read(headers: Mapping[str, str]) -> None:
            self._follow_process()
            if process == self._process:
                self._apply(
                    notices_lib.read_notices(headers, self._names, self.current)
                )
                self._leave()

        return read

    def reset(self) -> None:
        """Discards the notices of a process that has ended."""
        self.current = notices_lib.NO_NOTICES
        self._admission.set_rate_limit(None)

    def _follow_process(self) -> None:
        """Discards the notices if the backend server was restarted."""
        backend = self._backend
        process = (backend.instance_id, backend.started_ms)
        if process == self._process:
            return
        instance_id, started_ms = self._process
        # The start of a process may become known after its id.
        if instance_id and (
            instance_id != backend.instance_id
            or 0 < started_ms != backend.started_ms > 0
        ):
            self.reset()
        self._process = process

    def _apply(self, latest: notices_lib.Notices) -> None:
        previous = self.current
        if latest == previous:
            return
        self.current = latest
        events.note(
            "backend server states",
            instance=self._backend.instance_id,
            rate_limit=latest.rate_limit,
            leaving=latest.leaving,
            previous_rate_limit=previous.rate_limit,
        )
        self._admission.set_rate_limit(latest.rate_limit)

    def _leave(self) -> None:
        """Stops new calls if the backend server is still used.

        A backend server without an id announces only its state, and may have
        announced again that it is ready.
        """
        if self.current.leaving and self._backend.state == control_pb2.READY:
            self.on_leaving(*self._process)


def _ignore_leaving(instance_id: str, started_ms: int) -> None:
    del instance_id, started_ms
