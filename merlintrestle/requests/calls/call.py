"""The state of a call while a daemon handles it."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import hashlib
import math
from typing import TYPE_CHECKING

from merlintrestle.requests.reports import stories

if TYPE_CHECKING:
    import multidict

    from merlintrestle.documents import snapshot
    from merlintrestle.requests.transport import bodies


class Wait(enum.Enum):
    """How long a call may wait for a slot at the upstream it is sent to."""

    # As long as its latency target allows.
    NORMAL = enum.auto()
    # A fraction of that; another upstream is tried afterwards.
    SHORT = enum.auto()
    # Not at all.
    NONE = enum.auto()


@dataclasses.dataclass(slots=True)
class Call:
    """A caller's request and its class of work.

    Attributes:
        service: Name of the destination service.
        plan: Its class of work.
        method: HTTP method.
        target: Path and query for the backend server, beginning with "/".
        organisation: Organisation of the caller.
        headers: End-to-end headers.
        body: Its body.
        deadline: Event loop time by which the caller must have its final
            answer, in seconds.
        latency_deadline: Event loop time by which the latency target must be
            met, in seconds. It counts from the caller's first attempt.
        depth: Number of calls that this one is nested in.
        attempt: More than 0 if this call is a retry, or if a call that it is
            nested in may be retried.
        key: Idempotency-Key; empty if there is none.
        return_trip_s: Time that a refusal needs to reach the caller's daemon,
            in seconds. It is an estimate, so it never ends running work.
        repeat: True if the call may have been sent to a backend server before.
        wait: How long it may wait for a slot of the backend server.
        admitted_at: When it got its slot of the backend server, in seconds.
        suspect: True if it broke a connection before, so that it may have
            crashed the backend server.
        request_id: Id that the caller gave it; empty if there is none.
        origin: Service of the instance at which the request began; empty if
            unknown.
        route: Name of the host route; empty if the call was routed otherwise.
        story: Decision log of the call.
    """

    service: str
    plan: snapshot.ClassPlan
    method: str
    target: str
    organisation: str
    headers: multidict.CIMultiDict[str]
    body: bodies.Body
    deadline: float
    latency_deadline: float
    depth: int
    attempt: int
    key: str
    return_trip_s: float = 0.0
    repeat: bool = False
    wait: Wait = Wait.NORMAL
    admitted_at: float = 0.0
    suspect: bool = False
    request_id: str = ""
    origin: str = ""
    route: str = ""
    story: stories.Story = dataclasses.field(
        default_factory=lambda: stories.Story("")
    )
    _request_digest: bytes = b""

    @property
    def refuse_by(self) -> float:
        """Event loop time by which the call must start or be refused."""
        return self.deadline - self.return_trip_s

    def get_remaining_ms(self) -> int:
        """Returns the milliseconds until the deadline; negative after it."""
        remaining_s = self.deadline - asyncio.get_running_loop().time()
        return math.floor(remaining_s * 1000)

    def get_request_digest(self) -> bytes:
        """Returns a digest of the request that does not depend on its sender.

        A body that is forwarded in chunks counts by its length alone.
        """
        if not self._request_digest:
            self._request_digest = self._compute_request_digest()
        return self._request_digest

    def _compute_request_digest(self) -> bytes:
        digest = hashlib.sha256()
        for text in (self.service, self.method, self.target):
            digest.update(text.encode("utf-8", "surrogateescape") + b"\0")
        if self.body.buffered is None:
            digest.update(f"length {self.body.length}".encode())
        else:
            digest.update(self.body.buffered)
        return digest.digest()
