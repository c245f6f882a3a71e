"""Tries: the sends of one call that are under way at the same time."""

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
        upstream: Where it is sent.
        anew: True if it goes over a new connection, as the one of an earlier
            try at the same upstream is silent.
        wait: How long it may wait for a slot there.
        doubts: Why its answer may well not come, as far as that was found.
    """

    upstream: tables.Upstream
    anew: bool = False
    wait: calls.Wait = calls.Wait.NORMAL
    doubts: set[doubts_.Doubt] = dataclasses.field(default_factory=set)

    @property
    def doubtful(self) -> bool:
        """True once its answer may well not come."""
        return bool(self.doubts)


class Ended(NamedTuple):
    """A try has ended.

    Attributes:
        one: The try.
        outcome: What became of it.
    """

    one: Attempt
    outcome: outcomes.Outcome


class Doubtful(NamedTuple):
    """A try goes on, but its answer may well not come.

    Attributes:
        one: The try.
        doubt: Why.
        again: True if it was in doubt for that before.
    """

    one: Attempt
    doubt: doubts_.Doubt
    again: bool


class Attempts:
    """Runs the tries of a call side by side until one of them counts.

    Most calls need one try alone, so the first one runs in the task of the
    call itself: a task of its own would cost every call two more turns of the
    event loop. What decides about further tries runs beside it once the first
    one is in doubt, and ends it when it has an outcome.
    """

    def __init__(self) -> None:
        self._running: dict[asyncio.Future[outcomes.Outcome], Attempt] = {}
        self._ended: collections.deque[asyncio.Future[outcomes.Outcome]]
        self._ended = collections.deque()
        self._doubtful: collections.deque[Doubtful] = collections.deque()
        self._news: asyncio.Future[None] | None = None
        self._first: _First | None = None
        self._overseer: asyncio.Task[outcomes.Outcome] | None = None
        self._returned = False

    @property
    def count(self) -> int:
        """Tries that run."""
        return len(self._running)

    @property
    def in_doubt(self) -> bool:
        """True if each try that runs is in doubt."""
        return all(one.doubtful for one in self._running.values())

    async def run(
        self,
        one: Attempt,
        send: Coroutine[Any, Any, outcomes.Outcome],
        oversee: Callable[[], Coroutine[Any, Any, outcomes.Outcome]],
    ) -> outcomes.Outcome:
        """Runs the first try, and then others as far as they are needed.

        Args:
            one: The first try.
            send: What sends the call there.
            oversee: Decides about the others by `wait`; what it returns is the
                outcome of the call.

        Raises:
            bodies.BodyError: The caller's body stopped half-way.
        """
        outcome = await self._run(one, send, oversee)
        self._returned = True
        return outcome

    def start(
        self, one: Attempt, send: Coroutine[Any, Any, outcomes.Outcome]
    ) -> None:
        """Begins a further try."""
        task = asyncio.create_task(send)
        self._running[task] = one
        task.add_done_callback(self._note_end)

    def report(self, one: Attempt, doubt: doubts_.Doubt) -> None:
        """Takes in that a try is in doubt."""
        self._doubtful.append(Doubtful(one, doubt, doubt in one.doubts))
        one.doubts.add(doubt)
        if self._first is not None and self._overseer is None:
            self._overseer = asyncio.create_task(self._first.oversee())
            self._overseer.add_done_callback(self._end_first)
        self._wake()

    async def wait(self) -> Ended | Doubtful:
        """Returns what happens next; ends go before doubts.

        Raises:
            bodies.BodyError: The caller's body stopped half-way.
        """
        while True:
            if self._ended:
                ended = self._ended.popleft()
                return Ended(self._running.pop(ended), ended.result())
            if self._doubtful:
                doubtful = self._doubtful.popleft()
                if doubtful.one in self._running.values():
                    return doubtful
                continue
            self._news = asyncio.get_running_loop().create_future()
            await self._news

    def close(self) -> None:
        """Cancels the tries that still run, and drops their answers.

        Left running, they would be work for a caller that has its answer or
        has left. The answer that was returned is kept: it may be long, and only
        its beginning has come.
        """
        if self._overseer is not None and not self._returned:
            self._overseer.add_done_callback(outcomes.release_unused)
            self._overseer.cancel()
        for one in self._running:
            one.remove_done_callback(self._note_end)
            one.add_done_callback(outcomes.release_unused)
            one.cancel()
        self._running.clear()

    async def _run(
        self,
        one: Attempt,
        send: Coroutine[Any, Any, outcomes.Outcome],
        oversee: Callable[[], Coroutine[Any, Any, outcomes.Outcome]],
    ) -> outcomes.Outcome:
        first = self._first = _First(oversee)
        self._running[first.ended] = one
        try:
            first.ended.set_result(await send)
        except asyncio.CancelledError:
            if self._overseer is None or not first.was_interrupted():
                raise
            return await self._overseer
        finally:
            self._first = None
        self._note_end(first.ended)
        return await (self._overseer or oversee())

    def _note_end(self, ended: asyncio.Future[outcomes.Outcome]) -> None:
        self._ended.append(ended)
        self._wake()

    def _end_first(self, overseer: asyncio.Task[outcomes.Outcome]) -> None:
        del overseer
        if self._first is not None:
            self._first.interrupt()

    def _wake(self) -> None:
        if self._news is not None and not self._news.done():
            self._news.set_result(None)


class _First:
    """The first try of a call while the task of the call awaits it.

    Attributes:
        ended: Its outcome, once there is one.
        oversee: Decides about further tries.
    """

    __slots__ = ("_cancelling", "_interrupted", "_task", "ended", "oversee")

    def __init__(
        self, oversee: Callable[[], Coroutine[Any, Any, outcomes.Outcome]]
    ):
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[outcomes.Outcome] = loop.create_future()
        self.oversee = oversee
        self._task = task
        self._cancelling = task.cancelling()
        self._interrupted = False

    def interrupt(self) -> None:
        """Ends the wait for it, as the call has its outcome."""
        self._interrupted = True
        self._task.cancel()

    def was_interrupted(self) -> bool:
        """Takes the interruption back; False if the caller left as well."""
        if not self._interrupted:
            return False
        return self._task.uncancel() <= self._cancelling
