"""Tries: the sends of one call that are under way at the same time."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import NamedTuple, TYPE_CHECKING

from merlintrestle.requests.calls import outcomes

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from merlintrestle.members import table as tables
    from merlintrestle.requests.calls import doubts as doubts_


@dataclasses.dataclass(eq=False, slots=True)
class Try:
    """One send of a call to one upstream.

    Attributes:
        upstream: Where it is sent.
        anew: True if it goes over a new connection, as the one of an earlier
            try at the same upstream is silent.
        doubts: Why its answer may well not come, as far as that was found.
    """

    upstream: tables.Upstream
    anew: bool = False
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

    one: Try
    outcome: outcomes.Outcome


class Doubtful(NamedTuple):
    """A try goes on, but its answer may well not come.

    Attributes:
        one: The try.
        doubt: Why.
        again: True if it was in doubt for that before.
    """

    one: Try
    doubt: doubts_.Doubt
    again: bool


class Tries:
    """Runs the tries of a call side by side until one of them counts."""

    def __init__(self) -> None:
        self._running: dict[asyncio.Task[outcomes.Outcome], Try] = {}
        self._ended: collections.deque[asyncio.Task[outcomes.Outcome]]
        self._ended = collections.deque()
        self._doubtful: collections.deque[Doubtful] = collections.deque()
        self._news: asyncio.Future[None] | None = None

    @property
    def count(self) -> int:
        """Tries that run."""
        return len(self._running)

    @property
    def in_doubt(self) -> bool:
        """True if each try that runs is in doubt."""
        return all(one.doubtful for one in self._running.values())

    def start(
        self, one: Try, send: Coroutine[Any, Any, outcomes.Outcome]
    ) -> None:
        """Begins a try."""
        task = asyncio.create_task(send)
        self._running[task] = one
        task.add_done_callback(self._note_end)

    def report(self, one: Try, doubt: doubts_.Doubt) -> None:
        """Takes in that a try is in doubt."""
        self._doubtful.append(Doubtful(one, doubt, doubt in one.doubts))
        one.doubts.add(doubt)
        self._wake()

    async def wait(self) -> Ended | Doubtful:
        """Returns what happens next; ends go before doubts.

        Raises:
            bodies.BodyError: The caller's body stopped half-way.
        """
        while True:
            if self._ended:
                task = self._ended.popleft()
                return Ended(self._running.pop(task), task.result())
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
        has left.
        """
        for task in self._running:
            task.remove_done_callback(self._note_end)
            task.add_done_callback(outcomes.drop)
            task.cancel()
        self._running.clear()

    def _note_end(self, task: asyncio.Task[outcomes.Outcome]) -> None:
        self._ended.append(task)
        self._wake()

    def _wake(self) -> None:
        if self._news is not None and not self._news.done():
            self._news.set_result(None)
