"""A standing choice of members that follows the table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from merlintrestle.members import rendezvous
from merlintrestle.members import table as table_lib

if TYPE_CHECKING:
    from merlintrestle.schema import control_pb2


class Choice:
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
    ):
        """Sets what is chosen.

        Args:
            table: The table to choose from.
            key: Key of the rendezvous hashing.
            count: How many are chosen at most.
            zone: Only members of this availability zone; empty: of all.
            with_own: Whether this daemon itself may be chosen.
            with_dead: Whether members held for dead may be chosen.
        """
        self._table = table
        self._key = key
        self._count = count
        self._zone = zone
        self._with_own = with_own
        self._with_dead = with_dead
        self._chosen: dict[str, int] = {}
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
            member.id for member in self._table.members() if self._fits(member)
        ]
        chosen = rendezvous.choose(self._key, fitting, self._count)
        self._chosen = {i: rendezvous.weigh(self._key, i) for i in chosen}
        self._stale = False

    def _note(self, member: control_pb2.Member) -> None:
        if self._stale:
            return
        fits = self._fits(member)
        if member.id in self._chosen:
            self._stale = not fits
            return
        if fits:
            self._consider(member.id)

    def _consider(self, member_id: str) -> None:
        """Adds a member if its weight is among the highest."""
        weight = rendezvous.weigh(self._key, member_id)
        ranked = [*self._chosen.items(), (member_id, weight)]
        ranked.sort(key=lambda item: (item[1], item[0]), reverse=True)
        self._chosen = dict(ranked[: self._count])

    def _fits(self, member: control_pb2.Member) -> bool:
        if member.id == self._table.own_id and not self._with_own:
            return False
        if self._zone and member.zone != self._zone:
            return False
        if self._with_dead and table_lib.is_dead(member):
            return True
        return not table_lib.is_gone(member)
