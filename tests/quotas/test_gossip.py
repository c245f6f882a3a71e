"""Tests of the spread of the coordinator's identity."""

from __future__ import annotations

from typing import Any
import unittest

from merlintrestle.quotas import gossip as gossips
from merlintrestle.schema import control_pb2


class _Links:
    def __init__(self) -> None:
        self.extend_message: list[Any] = []
        self.on_message: list[Any] = []
        self.sent = 0

    def send_now(self) -> None:
        self.sent += 1


def _build_links() -> Any:
    return _Links()


class CoordinatorGossipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.links = _build_links()
        self.gossip = gossips.CoordinatorGossip(self.links)

    def receive(self, epoch: int, member_id: str) -> None:
        """Delivers a message of a neighbour."""
        message = control_pb2.LinkMessage()
        message.quota_coordinator.epoch = epoch
        message.quota_coordinator.member_id = member_id
        for receive in self.links.on_message:
            receive(None, message)

    def test_latest_epoch_wins(self) -> None:
        """Guards against late messages that name an earlier coordinator."""
        self.receive(5, "a")
        self.receive(9, "b")
        self.receive(5, "a")
        self.assertEqual((self.gossip.epoch, self.gossip.member_id), (9, "b"))

    def test_release_is_passed_on_once_and_stays(self) -> None:
        """Guards against messages that travel in circles."""
        self.receive(5, "a")
        self.receive(5, "")
        self.receive(5, "a")
        self.receive(5, "")
        self.assertEqual(self.gossip.member_id, "")
        self.assertEqual(self.links.sent, 2)

    def test_messages_carry_it(self) -> None:
        """Guards against daemons that start and never hear of it."""
        message = control_pb2.LinkMessage()
        self.links.extend_message[0](message)
        self.assertFalse(message.HasField("quota_coordinator"))
        self.receive(5, "a")
        self.links.extend_message[0](message)
        self.assertEqual(message.quota_coordinator.epoch, 5)
