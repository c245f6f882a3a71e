"""Gossip of roll-outs over the links between daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle.members import links as links_lib
    from merlintrestle.members import membership as memberships
    from merlintrestle.rollouts import tracker as trackers
    from merlintrestle.schema import control_pb2


class RolloutGossip:
    """Forwards what is new to the tracker over the links of membership.

    Only new or changed records are forwarded, so that none circulates
    endlessly. A neighbour gets all records when a link opens. A daemon that
    requests the members gets them, too, so that a daemon that knows a service's
    upstreams also knows which of them are in a roll-out.
    """

    def __init__(
        self,
        tracker: trackers.RolloutTracker,
        membership: memberships.Membership,
    ):
        """Connects the tracker with the links and the member exchange."""
        self._tracker = tracker
        self._links = membership.links
        self._source_link: links_lib.Link | None = None
        tracker.on_rollout.append(self._send_rollout)
        tracker.on_trial.append(self._send_trial)
        membership.links.on_message.append(self._receive)
        membership.links.on_open.append(self._send_all)
        membership.anti_entropy.on_reply_built.append(self._extend_reply)
        membership.anti_entropy.on_reply_received.append(self._merge_reply)

    def _receive(
        self, link: links_lib.Link, message: control_pb2.LinkMessage
    ) -> None:
        """Merges a message; what is new is not sent back over its link."""
        if not message.rollouts and not message.trials:
            return
        self._source_link = link
        try:
            self._tracker.merge(message.rollouts, message.trials)
        finally:
            self._source_link = None

    def _send_all(self, link: links_lib.Link) -> None:
        for rollout in self._tracker.list_rollouts():
            link.outbox.add_rollout(rollout)
        for trial in self._tracker.list_trials():
            link.outbox.add_trial(trial)

    def _extend_reply(self, reply: control_pb2.MembersReply) -> None:
        reply.rollouts.extend(self._tracker.list_rollouts())
        reply.trials.extend(self._tracker.list_trials())

    def _merge_reply(self, reply: control_pb2.MembersReply) -> None:
        self._tracker.merge(reply.rollouts, reply.trials)

    def _send_rollout(self, rollout: control_pb2.Rollout) -> None:
        self._links.send_rollout(rollout, self._source_link)

    def _send_trial(self, trial: control_pb2.Trial) -> None:
        self._links.send_trial(trial, self._source_link)
