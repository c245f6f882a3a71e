"""Spread of the API keys of an unusable version between daemons."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from merlintrestle import errors
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from merlintrestle.members import links as links_lib
    from merlintrestle.members import membership as membership_lib
    from merlintrestle.versions import confirmed_keys

# No daemon reads the store for a question about keys.
_ANY_AGE_MS = 2**32 - 1


class KeysGossip:
    """Tells the neighbours of an unusable version, and asks them for its keys.

    Few daemons read the store. The messages contain only the number of the
    version: a list of ten thousand keys takes some hundred kilobytes.
    """

    def __init__(
        self,
        keys: confirmed_keys.ConfirmedKeys,
        membership: membership_lib.Membership,
    ):
        """Registers the listeners on the links."""
        self._keys = keys
        self._membership = membership
        self._question: asyncio.Task[None] | None = None
        links = membership.links
        keys.on_learned = lambda _: links.send_now()
        links.extend_message.append(self._extend)
        links.on_message.append(self._receive)

    async def close(self) -> None:
        """Cancels a question in flight."""
        if self._question is not None:
            self._question.cancel()
            await asyncio.gather(self._question, return_exceptions=True)

    def _extend(self, message: control_pb2.LinkMessage) -> None:
        keys = self._keys.get()
        if keys is not None:
            message.unusable_version = keys.version

    def _receive(
        self, link: links_lib.Link, message: control_pb2.LinkMessage
    ) -> None:
        applied = self._keys.get_version()
        is_asking = self._question is not None and not self._question.done()
        # A daemon without any version serves no keys yet.
        if applied and message.unusable_version > applied and not is_asking:
            self._question = asyncio.create_task(self._ask(link.peer_id))

    async def _ask(self, member_id: str) -> None:
        request = control_pb2.FreshnessRequest(
            max_age_ms=_ANY_AGE_MS, keys_version=self._keys.get_version()
        )
        try:
            reply = await self._membership.peers.call(
                member_id,
                "Freshness",
                request,
                self._membership.timing.fetch_timeout_s,
            )
        except errors.MerlintrestleError:
            # The next message of any neighbour asks again.
            return
        if reply.HasField("keys"):
            self._keys.learn_message(member_id, reply.keys)
