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
        new_connection: Whether it must use a new connection, as the connection
            of an earlier attempt at the same upstream is silent.
        wait: How long it may wait for a slot there.
        doubts: Reasons found so far why its answer may not come.
    """

    upstream: tables.Upstream
    new_connection: bool = False
    wait: calls.Wait = calls.Wait.NORMAL
    doubts: set[doubts_.Doubt] = dataclasses.field(default_factory=set)

    @property
    def in_doubt(self) -> bool:
        """True once its answer may not come."""
        return bool(self.doubts)


class AttemptEnded(NamedTuple):
    """An attempt has ended.

    Attributes:
        attempt: The attempt.
        outcome: Its outcome.
    """

    attempt: Attempt
    outcome: outcomes.Outcome


class AttemptInDoubt(NamedTuple):
    """An attempt is still in flight, but its answer may not come.

    Attributes:
        attempt: The attempt.
        doubt: Why its answer may not come.
        repeated: True if this doubt was reported for it before.
    """

    attempt: Attempt
    doubt: doubts_.Doubt
    repeated: bool


class Attempts:
    """Runs the attempts of a call concurrently until the call has its outcome.

    Most calls need only one attempt, so the first one runs in the task of the
    call itself: a separate task would cost every call two more iterations of
    the event loop. Once the first attempt is in doubt, the supervisor, which
    decides on further attempts, runs in a task of its own. It interrupts the
    first attempt when the call has its outcome.
    """

    def __init__(self) -> None:
        self._running: dict[asyncio.Future[outcomes.Outcome], Attempt] = {}
        self._ended: collections.deque[asyncio.Future[outcomes.Outcome]]
        self._ended = collections.deque()
        self._doubts: collections.deque[AttemptInDoubt] = collections.deque()
        self._wakeup: asyncio.Future[None] | None = None
        self._first_attempt: _FirstAttempt | None = None
        self._supervisor: asyncio.Task[outcomes.Outcome] | None = None
        self._returned = False

    @property
    def count(self) -> int:
        """Number of attempts in flight."""
        return len(self._running)

    @property
    def all_in_doubt(self) -> bool:
        """True if each attempt in flight is in doubt."""
        return all(attempt.in_doubt for attempt in self._running.values())

    async def run(
        self,
        attempt: Attempt,
        send: Coroutine[Any, Any, outcomes.Outcome],
        supervise: Callable[[], Coroutine[Any, Any, outcomes.Outcome]],
    ) -> outcomes.Outcome:
        """Runs the first attempt, and further ones as needed.

        Args:
            attempt: The first attempt.
            send: Sends the call to its upstream.
            supervise: Decides on further attempts by the events that
                `wait_for_event` returns; returns the outcome of the call.

        Raises:
            bodies.BodyError: The caller's body is incomplete.
        """
        outcome = await self._run(attempt, send, supervise)
        self._returned = True
        return outcome

    def start(
        self, attempt: Attempt, send: Coroutine[Any, Any, outcomes.Outcome]
    ) -> None:
        """Starts a further attempt."""
        task = asyncio.create_task(send)
        self._running[task] = attempt
        task.add_done_callback(self._record_end)

    def report_doubt(self, attempt: Attempt, doubt: doubts_.Doubt) -> None:
        """Reports that the answer of an attempt may not come."""
        self._doubts.append(
            AttemptInDoubt(attempt, doubt, doubt in attempt.doubts)
        )
        attempt.doubts.add(doubt)
        if self._first_attempt is not None and self._supervisor is None:
            self._supervisor = asyncio.create_task(
                self._first_attempt.supervise()
            )
            self._supervisor.add_done_callback(self._interrupt_first)
        self._wake()

    async def wait_for_event(self) -> AttemptEnded | AttemptInDoubt:
        """Waits for the next event; ended attempts come before doubts.

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
        """Cancels the attempts in flight, and drops their answers.

        Nobody needs their work any more: the caller has its answer or has
        disconnected. The answer that was returned is kept, as the rest of a
        long one is still to come.
        """
        if self._supervisor is not None and not self._returned:
            self._supervisor.add_done_callback(outcomes.release_unused)
            self._supervisor.cancel()
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
            if self._supervisor is None or not first.clear_interruption():
                raise
            return await self._supervisor
        finally:
            self._first_attempt = None
        self._record_end(first.outcome)
        return await (self._supervisor or supervise())

    def _record_end(self, future: asyncio.Future[outcomes.Outcome]) -> None:
        self._ended.append(future)
        self._wake()

    def _interrupt_first(
        self, supervisor: asyncio.Task[outcomes.Outcome]
    ) -> None:
        del supervisor
        if self._first_attempt is not None:
            self._first_attempt.interrupt()

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)


class _FirstAttempt:
    """The first attempt of a call while the task of the call awaits it.

    Attributes:
        outcome: Its outcome, once it has ended.
        supervise: Decides on further attempts.
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
        """Cancels the wait for the attempt, as the call has its outcome."""
        self._interrupted = True
        self._task.cancel()

    def clear_interruption(self) -> bool:
        """Undoes the cancellation by `interrupt`, if there was one.

        Returns:
            True if nothing else has cancelled the task; False if `interrupt`
            was not called, or if the caller has disconnected as well.
        """
        if not self._interrupted:
            return False
        return self._task.uncancel() <= self._prior_cancellations
