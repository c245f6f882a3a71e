"""Attempts of one call that are in flight at the same time."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import NamedTuple, TYPE_CHECKING

from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.calls import outcomes

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from merlintrestle.members import table as tables
    from merlintrestle.requests.calls import doubts as doubts_


@dataclasses.dataclass(eq=False, slots=True)
class Attempt:
    """One send of a call to one upstream.

    Attributes:
        upstream: The upstream.
        new_connection: True if the attempt must use a new connection, as the
            connection of an earlier attempt at the same upstream is in doubt.
        wait: How long the call may wait for a slot at the upstream.
        doubts: Reasons found so far why the answer may not arrive in time.
    """

    upstream: tables.Upstream
    new_connection: bool = False
    wait: calls.Wait = calls.Wait.NORMAL
    doubts: set[doubts_.Doubt] = dataclasses.field(default_factory=set)

    @property
    def in_doubt(self) -> bool:
        """True once there is a reason why the answer may not arrive in time."""
        return bool(self.doubts)


class AttemptEnded(NamedTuple):
    """Event: an attempt has ended.

    Attributes:
        attempt: The attempt.
        outcome: Outcome of the attempt.
    """

    attempt: Attempt
    outcome: outcomes.Outcome


class AttemptInDoubt(NamedTuple):
    """Event: the answer of an attempt in flight may not arrive in time.

    Attributes:
        attempt: The attempt.
        doubt: Why the answer may not arrive in time.
        repeated: True if this doubt about the attempt was reported before.
    """

    attempt: Attempt
    doubt: doubts_.Doubt
    repeated: bool


class Attempts:
    """Runs the attempts of one call concurrently until the call has an outcome.

    The supervisor is a coroutine that handles the events of the attempts,
    decides on further attempts, and returns the outcome of the call.

    Most calls need only one attempt, so the first attempt runs in the task of
    the call: a separate task would cost every call two more iterations of the
    event loop. If the first attempt ends without a doubt, the supervisor runs
    in the task of the call as well. Once the first attempt is in doubt, the
    supervisor runs in a separate task. It interrupts the first attempt when the
    call has an outcome.
    """

    def __init__(self) -> None:
        self._running: dict[asyncio.Future[outcomes.Outcome], Attempt] = {}
        self._ended: collections.deque[asyncio.Future[outcomes.Outcome]]
        self._ended = collections.deque()
        self._doubts: collections.deque[AttemptInDoubt] = collections.deque()
        self._wakeup: asyncio.Future[None] | None = None
        self._first_attempt: _FirstAttempt | None = None
        self._supervisor_task: asyncio.Task[outcomes.Outcome] | None = None
        self._outcome_returned = False

    @property
    def count(self) -> int:
        """Number of attempts in flight."""
        return len(self._running)

    @property
    def all_in_doubt(self) -> bool:
        """True if each attempt in flight is in doubt, or none is in flight."""
        return all(attempt.in_doubt for attempt in self._running.values())

    async def run(
        self,
        attempt: Attempt,
        send: Coroutine[Any, Any, outcomes.Outcome],
        supervise: Callable[[], Coroutine[Any, Any, outcomes.Outcome]],
    ) -> outcomes.Outcome:
        """Runs the first attempt, and further attempts as needed.

        Args:
            attempt: The first attempt.
            send: Sends the call to the upstream of the first attempt.
            supervise: Creates the supervisor, which handles the events that
                `wait_for_event` returns, starts further attempts by `start`,
                and returns the outcome of the call.

        Returns:
            The outcome of the call.

        Raises:
            bodies.BodyError: The caller's body is incomplete.
        """
        outcome = await self._run(attempt, send, supervise)
        self._outcome_returned = True
        return outcome

    def start(
        self, attempt: Attempt, send: Coroutine[Any, Any, outcomes.Outcome]
    ) -> None:
        """Starts a further attempt."""
        task = asyncio.create_task(send)
        self._running[task] = attempt
        task.add_done_callback(self._record_end)

    def report_doubt(self, attempt: Attempt, doubt: doubts_.Doubt) -> None:
        """Reports that the answer of an attempt may not arrive in time."""
        self._doubts.append(
            AttemptInDoubt(attempt, doubt, doubt in attempt.doubts)
        )
        attempt.doubts.add(doubt)
        if self._first_attempt is not None and self._supervisor_task is None:
            self._supervisor_task = asyncio.create_task(
                self._first_attempt.supervise()
            )
            self._supervisor_task.add_done_callback(self._interrupt_first)
        self._wake_supervisor()

    async def wait_for_event(self) -> AttemptEnded | AttemptInDoubt:
        """Waits for the next event; returns ended attempts before doubts.

        Raises:
            bodies.BodyError: The caller's body is incomplete.
        """
        while True:
            if self._ended:
                future = self._ended.popleft()
                return AttemptEnded(self._running.pop(future), future.result())
            if self._doubts:
                event = self._doubts.popleft()
                if event.attempt in self._running.values():
                    return event
                continue
            self._wakeup = asyncio.get_running_loop().create_future()
            await self._wakeup

    def close(self) -> None:
        """Cancels the attempts in flight and releases their answers.

        Their results are not needed: the caller has its answer or has
        disconnected. The answer that `run` returned is not released, as its
        body may still be streamed to the caller.
        """
        if self._supervisor_task is not None and not self._outcome_returned:
            self._supervisor_task.add_done_callback(outcomes.release_unused)
            self._supervisor_task.cancel()
        for future in self._running:
            future.remove_done_callback(self._record_end)
            future.add_done_callback(outcomes.release_unused)
            future.cancel()
        self._running.clear()

    async def _run(
        self,
        attempt: Attempt,
        send: Coroutine[Any, Any, outcomes.Outcome],
        supervise: Callable[[], Coroutine[Any, Any, outcomes.Outcome]],
    ) -> outcomes.Outcome:
        first = self._first_attempt = _FirstAttempt(supervise)
        self._running[first.outcome] = attempt
        try:
            first.outcome.set_result(await send)
        except asyncio.CancelledError:
            if self._supervisor_task is None or not first.clear_interruption():
                raise
            return await self._supervisor_task
        finally:
            self._first_attempt = None
        self._record_end(first.outcome)
        return await (self._supervisor_task or supervise())

    def _record_end(self, future: asyncio.Future[outcomes.Outcome]) -> None:
        self._ended.append(future)
        self._wake_supervisor()

    def _interrupt_first(
        self, supervisor: asyncio.Task[outcomes.Outcome]
    ) -> None:
        del supervisor
        if self._first_attempt is not None:
            self._first_attempt.interrupt()

    def _wake_supervisor(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)


class _FirstAttempt:
    """The first attempt of a call, which runs in the task of the call.

    Attributes:
        outcome: Outcome of the attempt, set when the attempt has ended.
        supervise: Creates the supervisor of the attempts.
    """

    __slots__ = (
        "_prior_cancellations",
        "_interrupted",
        "_task",
        "outcome",
        "supervise",
    )

    def __init__(
        self, supervise: Callable[[], Coroutine[Any, Any, outcomes.Outcome]]
    ):
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        self.outcome: asyncio.Future[outcomes.Outcome] = loop.create_future()
        self.supervise = supervise
        self._task = task
        self._prior_cancellations = task.cancelling()
        self._interrupted = False

    def interrupt(self) -> None:
        """Cancels the attempt, as the call has an outcome."""
        self._interrupted = True
        self._task.cancel()

    def clear_interruption(self) -> bool:
        """Undoes the cancellation by `interrupt`, if it was called.

        Returns:
            True if only `interrupt` has cancelled the task; False if it was not
            called, or if the caller has disconnected as well.
        """
        if not self._interrupted:
            return False
        return self._task.uncancel() <= self._prior_cancellations
