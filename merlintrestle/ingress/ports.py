"""What the budgets need to know of ports and their connections."""

from __future__ import annotations

from typing import Protocol, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class Connection(Protocol):
    """A connection that has sent something.

    Attributes:
        incomplete_since: Event loop time since which a request has arrived in
            part, in seconds; 0: none has.
    """

    incomplete_since: float

    @property
    def is_idle(self) -> bool:
        """Whether the connection waits for its next request."""

    @property
    def waits_since(self) -> float:
        """Event loop time since which it has been incomplete or idle."""

    @property
    def can_shed(self) -> bool:
        """Whether `shed` ends only what has not arrived completely.

        What has arrived may have been sent on, so it must not be ended.
        """

    @property
    def held_bytes(self) -> int:
        """Estimated bytes held for the connection."""

    def has_stopped(self, since: float) -> bool:
        """Returns whether a request arrived in part, and nothing more came.

        Args:
            since: Event loop time by which it had begun to arrive, in seconds.
        """

    def shed(self) -> None:
        """Ends a request that has arrived in part, and gives back its bytes."""

    def abort(self) -> None:
        """Closes the connection at once."""


class Port(Protocol):
    """A port that accepts connections.

    Attributes:
        name: Name of the port, for metrics.
    """

    name: str

    @property
    def open_count(self) -> int:
        """Number of open connections."""

    def list_connections(self) -> Iterable[Connection]:
        """Returns the connections that have sent something."""

    def end_overdue(self, now: float) -> None:
        """Ends connections that are idle or incomplete for too long.

        Args:
            now: Event loop time, in seconds.
        """
