"""One call on its way through a daemon."""

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
    """How long a call may wait for a slot where the caller's daemon sent it."""

    # As long as its latency target allows.
    NORMAL = enum.auto()
    # A part of that; it is to go elsewhere then.
    SHORT = enum.auto()
    # Not at all.
    NONE = enum.auto()


@dataclasses.dataclass(slots=True)
class Call:
    """A caller's request, its class of work known.

    Attributes:
        service: Service it is for.
        plan: Its class of work.
        method: HTTP method.
        target: Path and query for the backend server, beginning with "/".
        organisation: Organisation of the caller.
        headers: End-to-end headers.
        body: Its body.
        deadline: Time of the event loop at which the caller must have its
            final answer, in seconds.
        latency_deadline: Time of the event loop at which its latency target is
            over, in seconds, counted from the caller's first attempt.
        return_trip_s: What a refusal needs to reach the caller's daemon, in
            seconds. It is an estimate, so it never ends work that runs.
        depth: Calls above this one.
        attempt: More than 0 if this call is a retry, or if a call above it
            may be tried again.
        key: Idempotency-Key; empty: none.
        suspect: True if it broke a connection before and may be what crashed
            the backend server.
        repeat: True if a backend server may have been sent it before.
        wait: How long it may wait for a slot of the backend server.
        admitted_at: When it took its slot of the backend server, in seconds.
        request_id: Id that the caller gave it; empty: none.
        origin: Service of the instance at which it began; empty: not known.
        route: Name of the route by host; empty: it was found otherwise.
        story: The decisions about it.
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
    _identity: bytes = b""

    @property
    def refuse_by(self) -> float:
        """Time of the event loop by which it begins, or is refused."""
        return self.deadline - self.return_trip_s

    def get_remaining_ms(self) -> int:
        """Returns the milliseconds until its deadline; below 0: it is over."""
        left_s = self.deadline - asyncio.get_running_loop().time()
        return math.floor(left_s * 1000)

    def get_identity(self) -> bytes:
        """Returns a digest of what the request is, whoever sends it.

        A body that is passed on in pieces counts by its length alone.
        """
        if not self._identity:
            self._identity = self._compute_identity()
        return self._identity

    def _compute_identity(self) -> bytes:
        digest = hashlib.sha256()
        for text in (self.service, self.method, self.target):
            digest.update(text.encode("utf-8", "surrogateescape") + b"\0")
        if self.body.held is None:
            digest.update(f"length {self.body.length}".encode())
        else:
            digest.update(self.body.held)
        return digest.digest()
