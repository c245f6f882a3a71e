"""Plays of clients that don't behave: what they send, and to which paths."""

from __future__ import annotations

from typing import NamedTuple

# A path with a route of each kind, at the daemon attacked and at its neighbour.
ROUTE = "/tickets/1"
UNREPEATABLE = "/payouts/1"
NEIGHBOUR = "/checks/1"
NO_ROUTE = "/nothing/1"
READY = "/merlintrestle/ready"
PATHS = (ROUTE, UNREPEATABLE, NEIGHBOUR, NO_ROUTE, READY)


class Play(NamedTuple):
    """What the clients of one play send.

    Attributes:
        kind: Name of the behaviour, a method of `players.Player`.
        connections: Number of connections that are open at once.
        paths: Paths; the connections use them in turn.
        size: Size of what is sent; its unit depends on the behaviour.
    """

    kind: str
    connections: int
    paths: tuple[str, ...] = (ROUTE,)
    size: int = 0

    @property
    def name(self) -> str:
        """Name of the play, for reports and to select it."""
        paths = "+".join(path.split("/")[-2] for path in self.paths)
        size = f"/{self.size}" if self.size else ""
        return f"{self.kind}{size} x{self.connections} {paths}"


def _list_at_each_path(
    kind: str, connections: int, size: int = 0
) -> tuple[Play, ...]:
    return tuple(Play(kind, connections, (path,), size) for path in PATHS)


# Played by hand; together with `--seconds 40` they are the long plays.
WIDE_PLAYS = (
    *_list_at_each_path("stop_in_body", 3600, 60_000),
    Play("stop_in_body", 3600, (ROUTE, UNREPEATABLE), 60_000),
    *_list_at_each_path("stop_in_head", 3600, 95),
    Play("stop_in_head", 3600, (ROUTE,), 3000),
    *_list_at_each_path("repeat_fields", 200, 95),
    *_list_at_each_path("repeat_fields", 200, 1000),
    *_list_at_each_path("repeat_query", 200, 3500),
    *_list_at_each_path("send_tiny_chunks", 300, 10_000),
    *_list_at_each_path("stop_in_chunks", 1500, 10_000),
    *_list_at_each_path("send_ahead", 100, 10_000),
    *_list_at_each_path("send_long_ahead", 100, 200),
    *_list_at_each_path("stay_silent", 4300),
    *_list_at_each_path("send_pieces", 300, 64),
    *_list_at_each_path("send_large_body", 60, 16_000_000),
    *_list_at_each_path("send_large_chunks", 60, 16_000_000),
    *_list_at_each_path("state_huge_body", 30, 10**12),
    *_list_at_each_path("send_endless_chunks", 30),
    *_list_at_each_path("send_slowly", 2500),
    *_list_at_each_path("send_body_slowly", 600, 200_000),
    *_list_at_each_path("reconnect", 200),
    *_list_at_each_path("expect_continue", 1500, 60_000),
    *_list_at_each_path("repeat_fields", 200, 8000),
    Play("leave_answer_unread", 300, ("/files/4000000",)),
    Play("leave_answer_unread", 2000, ("/files/4000000",)),
)

# Played by CI, each for a few seconds.
SHORT_PLAYS = (
    Play("stop_in_body", 1500, (ROUTE, UNREPEATABLE, NEIGHBOUR), 60_000),
    Play("stop_in_head", 1500, PATHS, 95),
    Play("repeat_fields", 100, (NO_ROUTE, READY), 95),
    Play("repeat_fields", 100, (ROUTE, UNREPEATABLE, NEIGHBOUR), 1000),
    Play("repeat_query", 100, PATHS, 3500),
    Play("send_tiny_chunks", 150, PATHS, 10_000),
    Play("stop_in_chunks", 600, PATHS, 10_000),
    Play("send_ahead", 50, PATHS, 5000),
    Play("send_long_ahead", 50, PATHS, 200),
    Play("stay_silent", 4300, PATHS),
    Play("send_pieces", 150, PATHS, 64),
    Play("send_large_body", 30, PATHS, 16_000_000),
    Play("send_large_chunks", 30, PATHS, 16_000_000),
    Play("state_huge_body", 20, PATHS, 10**12),
    Play("send_endless_chunks", 20, PATHS),
    Play("send_slowly", 1500, PATHS),
    Play("send_body_slowly", 400, PATHS, 200_000),
    Play("reconnect", 100, PATHS),
    Play("expect_continue", 600, PATHS, 60_000),
    Play("leave_answer_unread", 300, ("/files/4000000",)),
)
