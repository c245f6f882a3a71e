"""Selections of members that follow changes of the member table."""

from __future__ import annotations

import heapq
from typing import NamedTuple, TYPE_CHECKING

from merlintrestle.members import rendezvous
from merlintrestle.members import table as table_lib

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from merlintrestle.schema import control_pb2


# A link is fast if its speed is at least this fraction of the fastest link's
# speed. The speeds of hosts of the same model differ by less than this factor,
# those of hosts of different models by more.
_MIN_FAST_LINK_FRACTION = 0.5


class Rank(NamedTuple):
    """Sort key of a member; the members with the highest ranks are selected.

    Attributes:
        fast_link: Whether the member's link is fast.
        weight: Weight of the member for the key.
        member_id: Id of the member, which orders equal weights.
    """

    fast_link: bool
    weight: int
    member_id: str


def choose_by_link_speed(
    key: str, members: Sequence[control_pb2.Member], count: int
) -> list[str]:
    """Returns the ids of the highest-ranked members.

    Members with fast links rank above members with slow links: members with
    slow links are selected only if there are too few others. Within each of the
    two groups, members are ranked by weight. If all links have the same speed,
    or none is known, only the weight counts.

    A member that works for many others can use all of its link's capacity: a
    watcher downloads every configuration in full. A slow link would delay this
    download and the calls to the backend server of the instance by seconds.
    """
    max_link_mbps = find_max_link_mbps(members)
    ranks = [compute_rank(key, member, max_link_mbps) for member in members]
    return [rank.member_id for rank in heapq.nlargest(count, ranks)]


def find_max_link_mbps(members: Iterable[control_pb2.Member]) -> float:
    """Returns the speed of the fastest link in Mbit/s, 0 if none is known."""
    return max((member.link_mbps for member in members), default=0.0)


def compute_rank(
    key: str, member: control_pb2.Member, max_link_mbps: float
) -> Rank:
    """Returns the rank of a member.

    Args:
        key: Key of the rendezvous hashing.
        member: The member.
        max_link_mbps: Speed of the fastest link in Mbit/s.
    """
    fast_link = member.link_mbps >= _MIN_FAST_LINK_FRACTION * max_link_mbps
    return Rank(fast_link, rendezvous.weigh(key, member.id), member.id)


class MemberSelection:
    """The members of the highest rank for a key, updated as the table changes.

    A changed record costs one hash and, if fast links are preferred, the
    maximum of all link speeds. Only the loss of a selected member, or a changed
    link speed if fast links are preferred, costs a pass over the table.
    Selecting at each use would take about 10 ms with 6,000 members, several
    times a second.
    """

    def __init__(
        self,
        table: table_lib.MemberTable,
        key: str,
        count: int,
        zone: str = "",
        include_local: bool = False,
        include_dead: bool = False,
        prefer_fast_links: bool = False,
    ):
        """Initializes the selection.

        Args:
            table: The table to select from.
            key: Key of the rendezvous hashing.
            count: Maximum number of members.
            zone: Availability zone of the members; empty means any.
            include_local: Whether the local daemon can be selected.
            include_dead: Whether dead members can be selected.
            prefer_fast_links: Whether members with fast links come first; see
                `choose_by_link_speed`.
        """
        self._table = table
        self._key = key
        self._count = count
        self._zone = zone
        self._include_local = include_local
        self._include_dead = include_dead
        self._prefer_fast_links = prefer_fast_links
        self._max_link_mbps = 0.0
        self._link_mbps: dict[str, float] = {}
        self._selected: dict[str, Rank] = {}
        self._stale = True
        table.on_change.append(self._update)

    def get(self) -> list[str]:
        """Returns the ids of the selected members, highest rank first."""
        if self._stale:
            self._select()
        return list(self._selected)

    def close(self) -> None:
        """Stops updates when the table changes."""
        self._table.on_change.remove(self._update)

    def _select(self) -> None:
        eligible = [
            member
            for member in self._table.list_members()
            if self._is_eligible(member)
        ]
        if self._prefer_fast_links:
            self._link_mbps = {
                member.id: member.link_mbps for member in eligible
            }
            self._max_link_mbps = find_max_link_mbps(eligible)
        ranks = {
            candidate.id: compute_rank(
                self._key, candidate, self._max_link_mbps
            )
            for candidate in eligible
        }
        selected = heapq.nlargest(
            self._count, ranks, key=lambda member_id: ranks[member_id]
        )
        self._selected = {member_id: ranks[member_id] for member_id in selected}
        self._stale = False

    def _update(self, member: control_pb2.Member) -> None:
        if self._stale:
            return
        is_eligible = self._is_eligible(member)
        if self._prefer_fast_links and self._update_link_speed(
            member, is_eligible
        ):
            self._stale = True
            return
        if member.id in self._selected:
            self._stale = not is_eligible
            return
        if is_eligible:
            self._insert(member)

    def _update_link_speed(
        self, member: control_pb2.Member, is_eligible: bool
    ) -> bool:
        """Updates the link speed of a member; True if it changes ranks."""
        old_mbps = self._link_mbps.pop(member.id, None)
        if is_eligible:
            self._link_mbps[member.id] = member.link_mbps
        elif old_mbps is None:
            return False
        if (
            old_mbps is not None
            and is_eligible
            and old_mbps != member.link_mbps
        ):
            return True
        return max(self._link_mbps.values(), default=0.0) != self._max_link_mbps

    def _insert(self, member: control_pb2.Member) -> None:
        """Selects a member if its rank is among the highest."""
        rank = compute_rank(self._key, member, self._max_link_mbps)
        ranked = [*self._selected.items(), (member.id, rank)]
        ranked.sort(key=lambda item: item[1], reverse=True)
        self._selected = dict(ranked[: self._count])

    def _is_eligible(self, member: control_pb2.Member) -> bool:
        if member.id == self._table.local_id and not self._include_local:
            return False
        if self._zone and member.zone != self._zone:
            return False
        if self._include_dead and table_lib.is_dead(member):
            return True
        return not table_lib.is_gone(member)


def build_zone_key(purpose: str, zone: str) -> str:
    """Returns the key of a selection within an availability zone."""
    return f"{purpose}/{zone}"


def choose_in_local_zone(
    table: table_lib.MemberTable, purpose: str, count: int
) -> MemberSelection:
    """Creates a selection of members in the availability zone of this daemon.

    This daemon can be selected itself, and members with fast links come first.

    Args:
        table: The table to select from.
        purpose: What the members are selected for; part of the key.
        count: Maximum number of members.
    """
    zone = table.local_member.zone
    key = build_zone_key(purpose, zone)
    return MemberSelection(
        table, key, count, zone, include_local=True, prefer_fast_links=True
    )
