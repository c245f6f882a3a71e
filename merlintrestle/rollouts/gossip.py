"""Spreading: what daemons tell each other of roll-outs."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle.members import links as links_lib
    from merlintrestle.members import membership as memberships
    from merlintrestle.rollouts import tracker as books
    from merlintrestle.schema import control_pb2


class RolloutGossip:
    """Passes on what is news to the book, over the links of membership.

    What is no news goes no further, so that nothing goes round for ever. A
    neighbour is told everything when a link opens, and so is a daemon that asks
    for members: whoever knows upstreams knows which of them are on trial.
    """

    def __init__(
        self, book: books.RolloutTracker, membership: memberships.Membership
    ):
        """Connects the parts."""
        self._book = book
        self._links = membership.links
        self._source: links_lib.Link | None = None
        book.on_rollout.append(self._send_rollout)
        book.on_trial.append(self._send_trial)
        membership.links.on_message.append(self._receive)
        membership.links.on_open.append(self._greet)
        membership.exchange.on_reply.append(self._add)
        membership.exchange.on_news.append(self._take)

    def _receive(
        self, link: links_lib.Link, message: control_pb2.LinkMessage
    ) -> None:
        if not message.rollouts and not message.trials:
            return
        self._source = link
        try:
            self._book.merge(message.rollouts, message.trials)
        finally:
            self._source = None

    def _greet(self, link: links_lib.Link) -> None:
        for rollout in self._book.list_rollouts():
            link.box.add_rollout(rollout)
        for trial in self._book.list_trials():
            link.box.add_trial(trial)

    def _add(self, reply: control_pb2.MembersReply) -> None:
        reply.rollouts.extend(self._book.list_rollouts())
        reply.trials.extend(self._book.list_trials())

    def _take(self, reply: control_pb2.MembersReply) -> None:
        self._book.merge(reply.rollouts, reply.trials)

    def _send_rollout(self, rollout: control_pb2.Rollout) -> None:
        self._links.send_rollout(rollout, self._source)

    def _send_trial(self, trial: control_pb2.Trial) -> None:
        self._links.send_trial(trial, self._source)
