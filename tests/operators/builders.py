"""Builders for tests of the operators' program."""

from __future__ import annotations

import itertools
import pathlib
from typing import TYPE_CHECKING

from click import testing

from merlintrestle.operators import command
from merlintrestle.operators import session
from tests.store import fakes

if TYPE_CHECKING:
    from collections.abc import Callable

FLEETS = pathlib.Path(__file__).parents[2] / "fleets"
START_MS = 1_800_000_000_000


def build_make_id() -> Callable[[int], str]:
    """Returns a source of change ids that counts."""
    numbers = itertools.count(1)
    return lambda version: f"{version:012d}-{next(numbers):04d}"


def build_clock() -> Callable[[], int]:
    """Returns a clock that goes on by a second with each reading."""
    times = itertools.count(START_MS, 1000)
    return lambda: next(times)


class Desk:
    """Runs commands of one operator against a fake store.

    Attributes:
        store: The fake store.
        sources: What the commands use in place of the real ones.
    """

    def __init__(self, store: fakes.FakeStore | None = None):
        self.store = store or fakes.FakeStore()
        self.sources = session.Sources(
            open_store=lambda address, timeout_s: self.store,
            make_id=build_make_id(),
            read_ms=build_clock(),
            pause_s=0,
        )

    def run(self, *arguments: str, operator: str = "anna") -> testing.Result:
        """Runs one command and returns click's result."""
        return testing.CliRunner().invoke(
            command.main,
            arguments,
            obj=self.sources,
            env={
                "MERLINTRESTLE_STORE": "127.0.0.1:1",
                "MERLINTRESTLE_OPERATOR": operator,
            },
        )
