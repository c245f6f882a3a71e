"""A standing choice of members that follows the table."""

from __future__ import annotations

import heapq
from typing import NamedTuple, TYPE_CHECKING

from merlintrestle.members import rendezvous
from merlintrestle.members import table as table_lib

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from merlintrestle.schema import control_pb2


# A link counts as wide from this part of the widest on. Hosts of one make
# differ by less; those of another differ by a whole factor.
_WIDE = 0.5


class _Rank(NamedTuple):
    """Place of a member in a choice; the highest are chosen.

    Attributes:
        wide: Whether its link is wide.
        weight: Its weight for the key.
        member_id: Its id, which decides between equal weights.
    """

    wide: bool
    weight: int
    member_id: str


def choose_by_link_speed(
    key: str, members: Sequence[control_pb2.Member], count: int
) -> list[str]:
    """Returns the ids of the highest weight, behind wide links if there are.

    What one member does for many fills its link: a watcher takes in each
    configuration whole. Behind a thin link, calls to the backend server there
    waited seconds behind it, and so did the configuration. Where too few links
    are wide, members behind the others make up the number. Links that are all
    alike or all not known leave the weight alone to decide.
    """
    widest = find_widest(members)
    ranks = [rank(key, member, widest) for member in members]
    return [found.member_id for found in heapq.nlargest(count, ranks)]


def find_widest(members: Iterable[control_pb2.Member]) -> float:
    """Returns the capacity of the widest link, in Mbit/s; 0: not known."""
    return max((member.link_mbps for member in members), default=0.0)


def rank(key: str, member: control_pb2.Member, widest: float) -> _Rank:
    """Returns the place of a member where the widest link has a capacity."""
    wide = member.link_mbps >= _WIDE * widest
    return _Rank(wide, rendezvous.weigh(key, member.id), member.id)


class MemberSelection:
    """The members of highest weight for a key, kept as the table changes.

    A record costs one hash; only the loss of a chosen member costs a pass
    over the table. Choosing anew at each use would take some 10 ms at 6,000
    members, several times a second.
    """

    def __init__(
        self,
        table: table_lib.MemberTable,
        key: str,
        count: int,
        zone: str = "",
        with_own: bool = False,
        with_dead: bool = False,
        by_link: bool = False,
    ):
        """Sets what is chosen.

        Args:
            table: The table to choose from.
            key: Key of the rendezvous hashing.
            count: How many are chosen at most.
            zone: Only members of this availability zone; empty: of all.
            with_own: Whether this daemon itself may be chosen.
            with_dead: Whether members held for dead may be chosen.
            by_link: Whether members behind wide links go before the others;
                see `choose_by_link`.
        """
        self._table = table
        self._key = key
        self._count = count
        self._zone = zone
        self._with_own = with_own
        self._with_dead = with_dead
        self._by_link = by_link
        self._widest = 0.0
        self._links: dict[str, float] = {}
        self._chosen: dict[str, _Rank] = {}
        self._stale = True
        table.on_change.append(self._note)

    def get(self) -> list[str]:
        """Returns the ids chosen, highest weight first."""
        if self._stale:
            self._choose()
        return list(self._chosen)

    def close(self) -> None:
        """Follows the table no more."""
        self._table.on_change.remove(self._note)

    def _choose(self) -> None:
        fitting = [
            member
            for member in self._table.list_members()
            if self._fits(member)
        ]
        if self._by_link:
            self._links = {member.id: member.link_mbps for member in fitting}
            self._widest = find_widest(fitting)
        ranked = {m.id: rank(self._key, m, self._widest) for m in fitting}
        chosen = heapq.nlargest(self._count, ranked, key=lambda i: ranked[i])
        self._chosen = {i: ranked[i] for i in chosen}
        self._stale = False

    def _note(self, member: control_pb2.Member) -> None:
        if self._stale:
            return
        fits = self._fits(member)
        if self._by_link and self._note_link(member, fits):
            self._stale = True
            return
        if member.id in self._chosen:
            self._stale = not fits
            return
        if fits:
            self._consider(member)

    def _note_link(self, member: control_pb2.Member, fits: bool) -> bool:
        """Keeps the links to choose from; True if ranks are others by it."""
        before = self._links.pop(member.id, None)
        if fits:
            self._links[member.id] = member.link_mbps
        elif before is None:
            return False
        if before is not None and fits and before != member.link_mbps:
            return True
        return max(self._links.values(), default=0.0) != self._widest

    def _consider(self, member: control_pb2.Member) -> None:
        """Adds a member if its rank is among the highest."""
        found = rank(self._key, member, self._widest)
        ranked = [*self._chosen.items(), (member.id, found)]
        ranked.sort(key=lambda item: item[1], reverse=True)
        self._chosen = dict(ranked[: self._count])

    def _fits(self, member: control_pb2.Member) -> bool:
        if member.id == self._table.local_id and not self._with_own:
            return False
        if self._zone and member.zone != self._zone:
            return False
        if self._with_dead and table_lib.is_dead(member):
            return True
        return not table_lib.is_gone(member)


def build_zone_key(purpose: str, zone: str) -> str:
    """Returns the key of a choice that is made in an availability zone."""
    return f"{purpose}/{zone}"


def choose_in_local_zone(
    table: table_lib.MemberTable, purpose: str, count: int
) -> MemberSelection:
    """Returns the members of the own zone, this one too, for a purpose."""
    zone = table.local_member.zone
    key = build_zone_key(purpose, zone)
    return MemberSelection(table, key, count, zone, with_own=True, by_link=True)
