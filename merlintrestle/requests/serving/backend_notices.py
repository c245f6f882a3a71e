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

    A daemon that has just started gets the first answer only after it has sent
    as many calls as there are slots. Other daemons therefore pass on with their
    calls what this daemon told them before, and that applies until then.

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
        # The process whose notices these are.
        self._process = notices_lib.Process("", 0)
        # Whether an answer of this process was read.
        self._stated = False
        # Header for other daemons; empty if there never was a notice.
        self._header = ""

    def build_reader(self) -> Callable[[Mapping[str, str]], None]:
        """Returns a function that reads the headers of an answer to a call.

        It ignores the answer if the backend server is restarted before it
        arrives, as it then belongs to the previous process.
        """
        process = self._follow_process()

        def read(headers: Mapping[str, str]) -> None:
            if notices_lib.is_same_process(process, self._follow_process()):
                self._stated = True
                self._apply(
                    notices_lib.read_notices(headers, self._names, self.current)
                )
                self._leave()

        return read

    def adopt(self, header: str | None) -> None:
        """Applies the notices that another daemon passed on with its call.

        They may be out of date, so they apply only until this daemon reads an
        answer of the same process itself.

        Args:
            header: The encoded notices; None if there are none.
        """
        if header is None or header == self._header:
            return
        passed = notices_lib.decode_passed_notices(header)
        if passed is None:
            events.warn("passed notices malformed", value=header)
            return
        process = self._follow_process()
        if not self._stated and passed.is_from(process):
            self._apply(passed.notices)
            self._leave()
        if not self._header and (self._stated or process.instance_id):
            # The other daemon must learn that what it knows is out of date.
            self._header = notices_lib.encode_passed_notices(
                process, self.current
            )

    def get_header(self) -> str:
        """Returns the header for other daemons; empty if there is none."""
        return self._header

    def reset(self) -> None:
        """Discards the notices of a process that has ended."""
        self._stated = False
        self._header = ""
        self.current = notices_lib.NO_NOTICES
        self._admission.set_rate_limit(None)

    def _follow_process(self) -> notices_lib.Process:
        """Discards the notices if the backend server was restarted.

        Returns:
            The present process.
        """
        backend = self._backend
        process = notices_lib.Process(backend.instance_id, backend.started_ms)
        if process != self._process:
            if not notices_lib.is_same_process(process, self._process):
                self.reset()
            self._process = process
        return process

    def _apply(self, latest: notices_lib.Notices) -> None:
        previous = self.current
        if latest == previous:
            return
        self.current = latest
        self._header = notices_lib.encode_passed_notices(self._process, latest)
        events.note(
            "backend server states",
            instance=self._backend.instance_id,
            rate_limit=latest.rate_limit,
            leaving=latest.leaving,
            previous_rate_limit=previous.rate_limit,
            passed_on=not self._stated,
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
