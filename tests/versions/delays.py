"""An event loop that is held up, as on a machine with too much to do."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    import contextvars


class DelayedLoop(asyncio.SelectorEventLoop):
    """Holds up some callbacks, chosen by a seed.

    The more there is to do, the more of it is late, as where other processes
    take most of the processor: work done in vain slows down the rest.

    Attributes:
        delays: Callbacks that were held up.
    """

    # One callback in 200 is held up, 0.15 s on average. Eight daemons that come
    # up have thousands of callbacks to run a second, so most time is lost.
    SHARE = 0.005
    SHORTEST_S = 0.1
    LONGEST_S = 0.2

    def __init__(self, seed: int):
        """Seeds the choice of callbacks, and how long each is held up."""
        super().__init__()
        self.delays = 0
        self._random = random.Random(seed)

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedules a callback, which may be held up."""
        return super().call_soon(
            self._run_late, callback, *args, context=context
        )

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedules a callback for a time, which may be held up further."""
        return super().call_at(
            when, self._run_late, callback, *args, context=context
        )

    def _run_late(self, callback: Callable[..., object], *args: Any) -> None:
        if self._random.random() < self.SHARE:
            self.delays += 1
            time.sleep(self._random.uniform(self.SHORTEST_S, self.LONGEST_S))
        callback(*args)
