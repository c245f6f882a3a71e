"""Spread of the quota coordinator's identity over the links."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.members import links as links_lib
    from merlintrestle.schema import control_pb2


class CoordinatorGossip:
    """The latest coordinator that any daemon has told of.

    Attributes:
        epoch: Its epoch; 0 if none is known.
        member_id: Its id; empty if it has given up its lease.
        on_change: Callbacks for another coordinator.
    """

    def __init__(self, links: links_lib.Links):
        """Registers the listeners on the links."""
        self.epoch = 0
        self.member_id = ""
        self.on_change: list[Callable[[], None]] = []
        self._links = links
        links.extend_message.append(self._extend)
        links.on_message.append(self._receive)

    def learn(self, epoch: int, member_id: str) -> None:
        """Records a coordinator unless a later one is known.

        Args:
            epoch: Its epoch.
            member_id: Its id; empty if it has given up its lease.
        """
        is_end = epoch == self.epoch and self.member_id and not member_id
        if epoch <= self.epoch and not is_end:
            return
        self.epoch = epoch
        self.member_id = member_id
        for notify in self.on_change:
            notify()
        self._links.send_now()

    def _extend(self, message: control_pb2.LinkMessage) -> None:
        if self.epoch:
            message.quota_coordinator.epoch = self.epoch
            message.quota_coordinator.member_id = self.member_id

    def _receive(
        self, link: links_lib.Link, message: control_pb2.LinkMessage
    ) -> None:
        del link
        if message.HasField("quota_coordinator"):
            coordinator = message.quota_coordinator
            self.learn(coordinator.epoch, coordinator.member_id)
