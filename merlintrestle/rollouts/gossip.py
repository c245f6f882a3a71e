"""Gossip of orders and reports over the links between daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle.members import links as links_lib
    from merlintrestle.members import membership as memberships
    from merlintrestle.rollouts import tracker as trackers
    from merlintrestle.schema import control_pb2


class RolloutGossip:
    """Sends orders and reports that are new to the tracker to the neighbours.

    Only new or changed records are sent, so that none circulates endlessly.
    When a link opens, all records are sent over it. The reply to a request for
    the members contains all records as well, so that a daemon that knows the
    upstreams of a service also knows which of them are in a roll-out.
    """

    def __init__(
        self,
        tracker: trackers.RolloutTracker,
        membership: memberships.Membership,
    ):
        """Registers the listeners of the tracker and of the membership.

        Args:
            tracker: Tracks the roll-outs of all services.
            membership: Provides the links and the exchange of members.
        """
        self._tracker = tracker
        self._links = membership.links
        # Link whose message is being merged. Records are not sent back over it.
        self._source_link: links_lib.Link | None = None
        tracker.on_rollout.append(self._send_rollout)
        tracker.on_report.append(self._send_report)
        membership.links.on_message.append(self._receive)
        membership.links.on_open.append(self._send_all)
        membership.anti_entropy.on_reply_built.append(self._extend_reply)
        membership.anti_entropy.on_reply_received.append(self._merge_reply)

    def _receive(
        self, link: links_lib.Link, message: control_pb2.LinkMessage
    ) -> None:
        """Merges the records of a message, and forwards those that are new."""
        if not message.rollouts and not message.trials:
            return
        self._source_link = link
        try:
            self._tracker.merge(message.rollouts, message.trials)
        finally:
            self._source_link = None

    def _send_all(self, link: links_lib.Link) -> None:
        for rollout in self._tracker.list_rollouts():
            link.outbox.add_order(rollout)
        for report in self._tracker.list_reports():
            link.outbox.add_report(report)

    def _extend_reply(self, reply: control_pb2.MembersReply) -> None:
        reply.rollouts.extend(self._tracker.list_rollouts())
        reply.trials.extend(self._tracker.list_reports())

    def _merge_reply(self, reply: control_pb2.MembersReply) -> None:
        self._tracker.merge(reply.rollouts, reply.trials)

    def _send_rollout(self, rollout: control_pb2.Rollout) -> None:
        self._links.send_order(rollout, self._source_link)

    def _send_report(self, report: control_pb2.Trial) -> None:
        self._links.send_report(report, self._source_link)
