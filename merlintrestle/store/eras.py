"""Eras of the store, and revisions and leases that are unique across them.

A store that comes back from an older copy of its contents begins a new era.
What was written since the copy is gone, and its revisions and lease ids are
given out again for other writes. Within the product, each revision and lease id
is therefore qualified by its era: one of a later era is greater than any of an
earlier one and never equal to it. So decisions that compare them stay correct.
"""

from __future__ import annotations

import math
import re
import time
from typing import Any, TYPE_CHECKING

from merlintrestle import decoding
from merlintrestle import events as event_logs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

events = event_logs.EventLog("store")

# Bits of a qualified number that the store itself counts; the era is in the
# bits above.
_NUMBER_BITS = 47
# Largest number that the store itself counts.
MAX_NUMBER = (1 << _NUMBER_BITS) - 1
# With 16 bits for the era, qualified numbers are positive 64-bit numbers.
_ERA_PATTERN = re.compile(r"[0-9]{1,4}")
_MAX_ERA = 9999
# Number of eras that may begin while no daemon gets an answer of the store.
_MAX_MISSED_ERAS = 10
# The first era. A store in it has never come back from a copy.
_FIRST_ERA = 1


def qualify(number: int, era: int) -> int:
    """Returns a revision or lease id that is qualified by its era.

    Args:
        number: Number that the store gave out; 0: none, which stays 0.
        era: Era of the store; 0 if the store states none.
    """
    return number and number | (era << _NUMBER_BITS)


def qualify_fields(
    fields: dict[str, Any],
    era: int,
    numbers: Sequence[str],
    lists: Sequence[str],
) -> None:
    """Qualifies the revisions and leases in an answer by its era.

    A number that the store can't have given out becomes -1, which is none.

    Args:
        fields: The decoded answer, or an object in it.
        era: The era.
        numbers: Names of the fields with revisions or leases.
        lists: Names of the fields with lists of objects that have them, too.
    """
    for name in numbers:
        number = fields.get(name)
        if type(number) is int:
            is_sound = 0 <= number <= MAX_NUMBER
            fields[name] = qualify(number, era) if is_sound else -1
    for name in lists:
        items = fields.get(name)
        for item in items if isinstance(items, list) else ():
            if isinstance(item, dict):
                qualify_fields(item, era, numbers, lists)


def get_number(qualified: int) -> int:
    """Returns the number that the store gave out."""
    return qualified & MAX_NUMBER


def get_era(qualified: int) -> int:
    """Returns the era of a qualified number; 0 if the store stated none."""
    return qualified >> _NUMBER_BITS


class StoreEra:
    """The era of the store, as this daemon knows it.

    Attributes:
        current: The latest era; None: the store has stated none yet.
        on_change: Callbacks for a new era. The first one that this daemon hears
            of is not new.
    """

    def __init__(self, get_time: Callable[[], float] = time.monotonic):
        """Initializes an era that is not known yet.

        Args:
            get_time: Returns the monotonic time in seconds.
        """
        self.current: int | None = None
        self.on_change: list[Callable[[], None]] = []
        self._get_time = get_time
        # Since when a daemon has known the era, in seconds; minus infinity: the
        # store has never come back from a copy.
        self._known_since = -math.inf

    def read(self, text: str | None) -> int:
        """Reads the era that an answer of the store states.

        A malformed or missing one is taken for the current era.

        Returns:
            The era of the answer. It is less than `current` if the answer is
            late, from before the store came back.
        """
        if text is None:
            return self.current or 0
        if not _ERA_PATTERN.fullmatch(text) or not self._is_plausible(
            int(text)
        ):
            decoding.count_refused("store era")
            events.warn("store era malformed", value=text)
            return self.current or 0
        self.learn(int(text))
        return int(text)

    def _is_plausible(self, era: int) -> bool:
        """Returns whether the store may be in an era.

        A value far too high would make all later answers seem to be late.
        """
        return self.current is None or era <= self.current + _MAX_MISSED_ERAS

    def is_late(self, era: int) -> bool:
        """Returns whether an answer is from before the current era."""
        return era < (self.current or 0)

    def qualify(self, number: int) -> int:
        """Returns a number of the current era, qualified by it."""
        return qualify(number, self.current or 0)

    def has(self, qualified: int) -> bool:
        """Returns whether a revision or lease id is of the current era."""
        return get_era(qualified) == (self.current or 0)

    def has_all(self, revisions: Iterable[int]) -> bool:
        """Returns whether all revisions are of the current era, or 0."""
        return all(self.has(revision) for revision in revisions if revision)

    def learn(self, era: int, age_s: float = 0.0) -> None:
        """Records an era that the store or another daemon states.

        Args:
            era: The era.
            age_s: For how long the other daemon has known it, in seconds.
        """
        if not 0 <= era <= _MAX_ERA or not self._is_plausible(era):
            decoding.count_refused("store era")
            events.warn("store era implausible", era=era, current=self.current)
            return
        known_since = self._get_time() - age_s
        previous = self.current
        if previous is None:
            self.current = era
            if era > _FIRST_ERA:
                self._known_since = known_since
        elif era == previous:
            self._known_since = min(self._known_since, known_since)
        elif era > previous:
            self.current = era
            self._known_since = known_since
            events.warn("store came back from a copy", era=era, before=previous)
            for notify in self.on_change:
                notify()

    def get_age(self) -> float:
        """Returns for how long daemons have known the era, in seconds.

        It is infinite if the store has never come back from a copy.
        """
        return self._get_time() - self._known_since
