"""Calls that must not be repeated and that this daemon sent to others."""

from __future__ import annotations

import collections
from typing import NamedTuple, TYPE_CHECKING

from merlintrestle.requests.calls import outcomes

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.members import table as tables
    from merlintrestle.requests.calls import call as calls

# Maximum number of calls that are kept; the oldest ones are dropped.
_MAX_CALLS = 20_000


class Holder(NamedTuple):
    """The holder of a claim: the daemon that made it, as stated in the claim.

    Attributes:
        member_id: Member id of the daemon.
        address: IP address at which the daemon answers recalls.
        control_port: Port at which the daemon answers recalls.
    """

    member_id: str
    address: str
    control_port: int


class SentCall(NamedTuple):
    """A call that another daemon may have run under a claim.

    Attributes:
        claim_key: Key of the claim in the store.
        request_digest: Digest of the request.
        holder: The daemon to which the call was sent.
        sent_at: When it was sent, in seconds.
    """

    claim_key: str
    request_digest: bytes
    holder: Holder
    sent_at: float


class SentCalls:
    """The calls that were sent lately, except those that certainly did not run.

    If the store comes back from an older copy, the claims of these calls may be
    gone, and so may be the daemons that made them.
    """

    def __init__(self, get_time: Callable[[], float]):
        """Initializes an empty collection.

        Args:
            get_time: Returns the monotonic time in seconds.
        """
        self._get_time = get_time
        self._calls: collections.OrderedDict[int, SentCall] = (
            collections.OrderedDict()
        )
        self._last_number = 0

    def add(self, claim_key: str, request_digest: bytes, holder: Holder) -> int:
        """Adds a call that is about to be sent; returns a number for it."""
        self._last_number += 1
        self._calls[self._last_number] = SentCall(
            claim_key, request_digest, holder, self._get_time()
        )
        if len(self._calls) > _MAX_CALLS:
            self._calls.popitem(last=False)
        return self._last_number

    def discard(self, number: int) -> None:
        """Removes a call that certainly did not run."""
        self._calls.pop(number, None)

    def list_recent(self, max_age_s: float) -> list[SentCall]:
        """Returns the calls that were sent within a time; drops the others.

        Args:
            max_age_s: The time, in seconds.
        """
        oldest = self._get_time() - max_age_s
        while self._calls:
            number, call = next(iter(self._calls.items()))
            if call.sent_at >= oldest:
                break
            del self._calls[number]
        return list(self._calls.values())


class KeyedCallRecorder:
    """Records the calls with an idempotency key that are sent to others."""

    def __init__(
        self,
        sent_calls: SentCalls,
        build_key: Callable[[calls.Call], str],
    ):
        """Sets the dependencies.

        Args:
            sent_calls: Keeps the calls.
            build_key: Returns the key of a call's claim in the store.
        """
        self._sent_calls = sent_calls
        self._build_key = build_key

    def add(self, call: calls.Call, upstream: tables.Upstream) -> int:
        """Adds a call that is about to be sent; 0 if it needs no claim."""
        if not call.key or call.plan.repeatable:
            return 0
        _, _, control_port = upstream.member_id.rpartition(":")
        holder = Holder(upstream.member_id, upstream.address, int(control_port))
        return self._sent_calls.add(
            self._build_key(call), call.get_claim_digest(), holder
        )

    def record_outcome(self, number: int, outcome: outcomes.Outcome) -> None:
        """Discards the call that `add` numbered if it certainly did not run."""
        if number and isinstance(outcome, outcomes.NotRun):
            self._sent_calls.discard(number)
