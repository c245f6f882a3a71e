"""Event loop whose callbacks are delayed, as on an overloaded machine."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    import contextvars


class DelayedLoop(asyncio.SelectorEventLoop):
    """Delays some callbacks, chosen by a seeded random generator.

    The more callbacks run, the more of them are delayed, and each delays all
    that follow. So useless work slows down the rest, as when other processes
    use most of the processor.

    Attributes:
        delays: Number of delayed callbacks.
    """

    # One callback in 200 is delayed, by 0.15 s on average. Eight daemons that
    # start have thousands of callbacks per second, so most of the time is lost.
    DELAYED_FRACTION = 0.005
    MIN_DELAY_S = 0.1
    MAX_DELAY_S = 0.2

    def __init__(self, seed: int):
        """Seeds the choice of callbacks and their delays."""
        super().__init__()
        self.delays = 0
        self._random = random.Random(seed)

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedules a callback, which may be delayed."""
        return super().call_soon(
            self._run_delayed, callback, *args, context=context
        )

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedules a callback for a time, which may be delayed further."""
        return super().call_at(
            when, self._run_delayed, callback, *args, context=context
        )

    def _run_delayed(self, callback: Callable[..., object], *args: Any) -> None:
        if self._random.random() < self.DELAYED_FRACTION:
            self.delays += 1
            time.sleep(self._random.uniform(self.MIN_DELAY_S, self.MAX_DELAY_S))
        callback(*args)
