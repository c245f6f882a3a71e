"""Whether what was accepted is in force everywhere and its targets hold."""

from __future__ import annotations

from typing import NamedTuple

from merlintrestle.operators import exit_codes
from merlintrestle.operators import fleet
from merlintrestle.operators import targets as targets_


class Status(NamedTuple):
    """What store and fleet say at one time.

    Attributes:
        version: The accepted version; None: the store does not answer.
        store_problem: Why it does not.
        daemon_problem: Why nothing is known about the fleet.
        daemons: Every daemon that serves.
        targets: Every class of work.
    """

    version: int | None
    store_problem: str
    daemon_problem: str
    daemons: tuple[fleet.Daemon, ...]
    targets: tuple[targets_.Target, ...]


class InForce(NamedTuple):
    """How far a version got while an operator waited.

    Attributes:
        version: The version.
        everywhere: True if every daemon that serves runs it or a newer one.
        daemons: How many daemons serve.
        waited_s: Seconds that this took.
        missing: Daemons that do not run it.
        problem: Why nothing is known about the fleet.
    """

    version: int
    everywhere: bool
    daemons: int
    waited_s: float
    missing: tuple[fleet.Daemon, ...]
    problem: str


def choose_exit_code(status: Status) -> int:
    """Returns the exit code that a status stands for."""
    if status.version is None:
        return exit_codes.STORE_UNAVAILABLE
    if status.daemon_problem or fleet.list_not_in_force(status.daemons):
        return exit_codes.NOT_FULFILLED
    if any(one.state == targets_.MISSED for one in status.targets):
        return exit_codes.NOT_FULFILLED
    return exit_codes.OK
