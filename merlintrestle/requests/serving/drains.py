"""Admission of requests of callers while the daemon drains."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from merlintrestle import events as event_logs
from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.calls import nesting
from merlintrestle.requests.calls import plans
from merlintrestle.requests.load import drain_admission
from merlintrestle.requests.load import recent_durations
from merlintrestle.requests.serving import serving_state as serving_states

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from aiohttp import web

    from merlintrestle.documents import snapshot
    from merlintrestle.requests.calls import call as calls
    from merlintrestle.requests.calls import outcomes

events = event_logs.EventLog("requests")


class _Origin(enum.Enum):
    """Where a request comes from, as far as known during the drain."""

    # A caller; it is new work.
    NEW = "new"
    # A caller, or the local backend server while it runs a call.
    MAYBE_NESTED = "maybe nested"
    # The local backend server while it runs a call.
    NESTED = "nested"
    # A caller; it was accepted, and is decided on again before it is sent.
    ACCEPTED = "accepted"


class DrainAdmission:
    """Refuses requests that a draining daemon could not answer in time."""

    def __init__(
        self,
        state: serving_states.ServingState,
        dialect: object,
        list_running_calls: Callable[[], Collection[calls.Call]],
    ):
        """Sets the dependencies.

        Args:
            state: The serving state of this daemon.
            dialect: The dialect of the callers.
            list_running_calls: Returns the calls that run at the local backend
                server. Requests may be nested in one of them.
        """
        self._state = state
        self._dialect = dialect
        self._list_running_calls = list_running_calls
        self._get_time = asyncio.get_running_loop().time
        self._durations = recent_durations.RecentDurations(self._get_time)

    def check_request(
        self,
        request: web.BaseRequest,
        active_snapshot: snapshot.Snapshot,
        plan: snapshot.ClassPlan,
        route: str,
        arrived_at: float,
    ) -> outcomes.NotRun | None:
        """Returns the refusal of a request that arrives; None: it is served.

        Args:
            request: The request.
            active_snapshot: Snapshot of the active version.
            plan: Class of work of the request.
            route: Result of `name_route` for it.
            arrived_at: Event loop time at which it arrived, in seconds.
        """
        if not self._state.draining:
            return None
        metadata = dialects.read_metadata(self._dialect, request)
        timeout_s = plan.deadline_s
        if metadata.timeout_ms is not None:
            timeout_s = min(timeout_s, metadata.timeout_ms / 1000)
        remaining_s = arrived_at + timeout_s - self._get_time()
        origin = self._find_origin(
            request, active_snapshot, arrived_at, metadata.timeout_ms
        )
        starts = origin is not _Origin.NEW and self._may_start(
            plan, route, remaining_s, owed=origin is _Origin.NESTED
        )
        return self._decide(starts, metadata.request_id, remaining_s, origin)

    def check_call(
        self,
        call: calls.Call,
        request: web.BaseRequest,
        active_snapshot: snapshot.Snapshot,
        arrived_at: float,
    ) -> outcomes.NotRun | None:
        """Returns the refusal of an accepted call that was not sent yet.

        Its body may have arrived, or its workspace may have been admitted, only
        shortly before the end of the drain. Nothing of it has run, so it is
        refused like new work: whoever sent it learns that it may send it again.
        """
        if not self._state.draining:
            return None
        metadata = dialects.read_metadata(self._dialect, request)
        origin = self._find_origin(
            request, active_snapshot, arrived_at, metadata.timeout_ms
        )
        remaining_s = call.deadline - self._get_time()
        if self._may_start(
            call.plan,
            _get_route(call),
            remaining_s,
            owed=origin is _Origin.NESTED,
        ):
            return None
        return self._decide(
            False, call.request_id, remaining_s, _Origin.ACCEPTED
        )

    def check_waiting_call(self, call: calls.Call) -> outcomes.NotRun | None:
        """Returns the refusal of a call that waited to be sent on.

        It may have waited in a queue since before the drain began. It is sent
        on if such a call usually ends before the drain does.
        """
        if not self._state.draining:
            return None
        remaining_s = call.deadline - self._get_time()
        if self._may_start(call.plan, _get_route(call), remaining_s, owed=True):
            return None
        return self._decide(
            False, call.request_id, remaining_s, _Origin.ACCEPTED
        )

    def _find_origin(
        self,
        request: web.BaseRequest,
        active_snapshot: snapshot.Snapshot,
        arrived_at: float,
        timeout_ms: int | None,
    ) -> _Origin:
        """Returns whether a request is nested, by all that is known."""
        stated = dialects.classify_nesting(
            self._dialect, request, active_snapshot.requires_api_keys
        )
        if stated is nesting.Nesting.NESTED:
            return _Origin.NESTED
        running_calls = self._list_running_calls()
        if stated is nesting.Nesting.NONE or not running_calls:
            return _Origin.NEW
        if nesting.shares_deadline(running_calls, arrived_at, timeout_ms):
            return _Origin.NESTED
        if nesting.may_be_nested(running_calls, timeout_ms):
            return _Origin.MAYBE_NESTED
        return _Origin.NEW

    def begin_call(self, call: calls.Call, started_at: float) -> int:
        """Adds a call in flight; returns its number.

        Args:
            call: The call.
            started_at: Event loop time at which it arrived, in seconds.
        """
        return self._durations.begin(_get_route(call), started_at)

    def end_call(self, call: calls.Call, number: int, answered: bool) -> None:
        """Removes a call in flight.

        Args:
            call: The call.
            number: Its number.
            answered: Whether it was answered, so that its duration counts.
        """
        self._durations.end(_get_route(call), number, answered)

    def _may_start(
        self,
        plan: snapshot.ClassPlan,
        route: str,
        remaining_s: float,
        owed: bool,
    ) -> bool:
        expected_s = drain_admission.estimate_duration(
            plan, self._durations.get_longest(route)
        )
        return drain_admission.may_start(
            remaining_s, self._get_drain_left_s(), expected_s, owed
        )

    def _get_drain_left_s(self) -> float:
        return self._state.drain_ends_at - self._get_time()

    def _decide(
        self, starts: bool, request_id: str, remaining_s: float, origin: _Origin
    ) -> outcomes.NotRun | None:
        """Logs a decision and returns the refusal, if it is one."""
        events.note(
            "served while stopping" if starts else "refused while stopping",
            request=request_id,
            origin=origin.value,
            left_ms=round(remaining_s * 1000),
            drain_left_ms=round(self._get_drain_left_s() * 1000),
        )
        return None if starts else serving_states.STOPPING


def _get_route(call: calls.Call) -> str:
    return name_route(call.route, call.service, call.plan)


def name_route(route: str, service: str, plan: snapshot.ClassPlan) -> str:
    """Returns the name under which the durations of calls are recorded.

    Args:
        route: Name of their host route; empty if they have none.
        service: Their service.
        plan: Their class of work.
    """
    return route or f"{service}/{plans.get_class_name(plan)}"
