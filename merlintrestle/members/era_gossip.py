"""Spread of the store's era over the links between daemons."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle.members import links as links_lib
    from merlintrestle.schema import control_pb2
    from merlintrestle.store import eras

_MS_PER_S = 1000
# Longest age that is sent, in seconds. An era that is older is no news.
_MAX_AGE_S = 3600.0


class EraGossip:
    """Tells the neighbours the era of the store, and learns it from them.

    Few daemons call the store all the time. The others would learn of a new era
    only with their next call, and a daemon that starts would not learn how old
    the era is.
    """

    def __init__(self, era: eras.StoreEra, links: links_lib.Links):
        """Registers the listeners.

        Args:
            era: The era as this daemon knows it.
            links: The links to the neighbours.
        """
        self._era = era
        era.on_change.append(links.send_now)
        links.extend_message.append(self._extend)
        links.on_message.append(self._receive)

    def _extend(self, message: control_pb2.LinkMessage) -> None:
        age_s = self._era.get_age()
        # An infinite age: the store has never come back from a copy.
        if self._era.current is not None and age_s < math.inf:
            message.store_era.number = self._era.current
            message.store_era.age_ms = int(min(age_s, _MAX_AGE_S) * _MS_PER_S)

    def _receive(
        self, link: links_lib.Link, message: control_pb2.LinkMessage
    ) -> None:
        del link
        if message.HasField("store_era"):
            self._era.learn(
                message.store_era.number, message.store_era.age_ms / _MS_PER_S
            )
