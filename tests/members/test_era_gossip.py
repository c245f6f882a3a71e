"""Tests of the spread of the store's era."""

from __future__ import annotations

from typing import Any
import unittest

from merlintrestle.members import era_gossip
from merlintrestle.schema import control_pb2
from merlintrestle.store import eras
from tests.requests import fakes


class _Links:
    """Fake links, which pass messages to one other daemon at once."""

    def __init__(self) -> None:
        self.extend_message: list[Any] = []
        self.on_message: list[Any] = []
        self.peer: _Links | None = None

    def send_now(self) -> None:
        """Sends a message to the other daemon."""
        message = control_pb2.LinkMessage()
        for extend in self.extend_message:
            extend(message)
        assert self.peer is not None
        for receive in self.peer.on_message:
            receive(None, message)


class EraGossipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = fakes.FakeClock()
        self.links: list[Any] = [_Links(), _Links()]
        self.eras = [eras.StoreEra(self.clock.get_time) for _ in range(2)]
        for era, links in zip(self.eras, self.links, strict=True):
            era_gossip.EraGossip(era, links)
        self.links[0].peer, self.links[1].peer = self.links[1], self.links[0]

    def test_new_era_is_told_at_once(self) -> None:
        """Guards against daemons that learn of an era with their next call."""
        for era in self.eras:
            era.read("1")
        self.eras[0].read("2")
        self.assertEqual(self.eras[1].current, 2)

    def test_starting_daemon_learns_how_old_the_era_is(self) -> None:
        """Guards against a daemon that waits for an era settled long ago."""
        self.eras[0].read("1")
        self.eras[0].read("2")
        self.clock.now += 60.0
        self.eras[1].current = None
        self.eras[1].read("2")
        self.links[0].send_now()
        self.assertAlmostEqual(self.eras[1].get_age(), 60.0)

    def test_daemon_of_an_earlier_era_changes_nothing(self) -> None:
        """Guards against peers that have not heard of the new era yet."""
        for era in self.eras:
            era.read("1")
            era.read("2")
        self.eras[0].read("3")
        self.eras[1].current = 2
        self.links[1].send_now()
        self.assertEqual(self.eras[0].current, 3)
