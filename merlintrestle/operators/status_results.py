"""Status of the accepted version, the fleet and the targets."""

from __future__ import annotations

from typing import NamedTuple

from merlintrestle.operators import exit_codes
from merlintrestle.operators import fleet
from merlintrestle.operators import targets as targets_lib
from merlintrestle.operators import workspaces as workspaces_lib


class Status(NamedTuple):
    """Status of the store and the fleet at one time.

    Attributes:
        version: The accepted version; None if the head could not be read from
            the store.
        store_problem: Error message if the store does not answer or has a
            record that cannot be read, else empty.
        daemon_problem: Error message if the fleet's status is unknown, else
            empty.
        daemons: The daemons that take new calls; empty if the fleet's status is
            unknown.
        targets: The targets of all classes of work; empty if the fleet's status
            is unknown.
        workspaces: Status of the workspaces; None if there are none, or the
            fleet's status is unknown.
    """

    version: int | None
    store_problem: str
    daemon_problem: str
    daemons: tuple[fleet.Daemon, ...]
    targets: tuple[targets_lib.Target, ...]
    workspaces: workspaces_lib.WorkspaceStatus | None


class InForce(NamedTuple):
    """Whether the daemons run a version, after a wait for it.

    Attributes:
        version: The version.
        everywhere: Whether every daemon that takes new calls runs the version
            or a newer one.
        daemons: Number of daemons that take new calls.
        waited_s: Duration of the wait, in seconds.
        missing: The daemons that do not run the version.
        problem: Error message if the fleet's status is unknown, else empty.
    """

    version: int
    everywhere: bool
    daemons: int
    waited_s: float
    missing: tuple[fleet.Daemon, ...]
    problem: str


def choose_exit_code(status: Status) -> int:
    """Returns the exit code for a status."""
    if status.version is None:
        return exit_codes.STORE_UNAVAILABLE
    if status.daemon_problem or fleet.list_not_in_force(status.daemons):
        return exit_codes.NOT_FULFILLED
    if any(daemon.is_stale for daemon in status.daemons):
        return exit_codes.NOT_FULFILLED
    if any(target.state == targets_lib.MISSED for target in status.targets):
        return exit_codes.NOT_FULFILLED
    return exit_codes.OK
