"""The state of a call while a daemon handles it."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import hashlib
import math
from typing import TYPE_CHECKING

from merlintrestle.requests.reports import decision_logs

if TYPE_CHECKING:
    from collections.abc import Callable

    import multidict

    from merlintrestle.documents import snapshot
    from merlintrestle.requests.transport import bodies


class Wait(enum.Enum):
    """How long a call may wait for a slot of the upstream's backend server."""

    # As long as the latency target of the call allows.
    NORMAL = enum.auto()
    # A fraction of the normal wait. If the call is refused, another upstream is
    # polled.
    SHORT = enum.auto()
    # Not at all: the call is refused if no slot is free.
    NONE = enum.auto()


def _always() -> bool:
    return True


@dataclasses.dataclass(slots=True)
class Call:
    """A caller's request and its class of work.

    Attributes:
        service: Name of the destination service.
        plan: Class of work of the request.
        method: HTTP method.
        target: Path and query for the backend server, beginning with "/".
        organisation: Organisation that declares the targets of the class of
            work, as in `plan`.
        headers: End-to-end headers of the request.
        body: Body of the request.
        deadline: Event loop time by which the caller must have its final
            answer, in seconds.
        latency_deadline: Event loop time by which the latency target must be
            met, in seconds. It is measured from the caller's first attempt.
        depth: Number of calls that this call is nested in.
        attempt_number: 0 if this daemon may retry the call. More than 0 if the
            call is a retry, or if another daemon may retry the call or one that
            it is nested in.
        key: Idempotency-Key; empty if there is none.
        extension_s: Time by which `deadline` is later than the caller's, in
            seconds. A claimed call is awaited for longer than its caller waits.
        return_trip_s: Estimated time that a refusal takes to reach the
            caller's daemon, in seconds. Only `refuse_by` depends on it; a call
            that is running is not cancelled before `deadline`, as this is only
            an estimate.
        repeat: True if the call may have been sent to a backend server before.
        wait: How long the call may wait for a slot of the upstream's backend
            server.
        admitted_at: Time at which the call was given a slot of the backend
            server, in seconds.
        suspect: True if a connection broke when this call was sent before, so
            that the call may have crashed a backend server.
        request_id: Id that the caller gave to the request; empty if there is
            none.
        origin: Service of the instance at which the request began; empty if
            unknown.
        route: Name of the host route; empty if the call was routed otherwise.
        workspace: Name of the caller's workspace; empty if there is none.
        stated_timeout_ms: Timeout that the backend server was given with this
            call, in milliseconds; 0: it was not sent yet.
        may_be_unframed: Returns whether the answer may end with its connection,
            if the dialect allows that. Not while answers behind it would be
            lost; the call is then sent again, or fails.
        decision_log: Decision log of the call.
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
    attempt_number: int
    key: str
    extension_s: float = 0.0
    return_trip_s: float = 0.0
    repeat: bool = False
    wait: Wait = Wait.NORMAL
    admitted_at: float = 0.0
    suspect: bool = False
    request_id: str = ""
    origin: str = ""
    route: str = ""
    workspace: str = ""
    stated_timeout_ms: int = 0
    may_be_unframed: Callable[[], bool] = _always
    decision_log: decision_logs.DecisionLog = dataclasses.field(
        default_factory=lambda: decision_logs.DecisionLog("")
    )
    _request_digest: bytes = b""

    @property
    def caller_deadline(self) -> float:
        """Event loop time at which the caller's time is over, in seconds."""
        return self.deadline - self.extension_s

    @property
    def refuse_by(self) -> float:
        """Event loop time by which the call must start or be refused."""
        return self.deadline - self.return_trip_s

    def get_remaining_ms(self) -> int:
        """Returns the milliseconds until the deadline; negative after it."""
        remaining_s = self.deadline - asyncio.get_running_loop().time()
        return math.floor(remaining_s * 1000)

    def state_timeout(self) -> str:
        """Returns the timeout to state to the backend server, in ms."""
        self.stated_timeout_ms = max(1, self.get_remaining_ms())
        return str(self.stated_timeout_ms)

    def get_request_digest(self) -> bytes:
        """Returns a digest of the request that does not depend on its sender.

        Of a body that is not buffered, the digest includes only the length that
        the caller stated.
        """
        if not self._request_digest:
            self._request_digest = self._compute_request_digest()
        return self._request_digest

    def get_claim_digest(self) -> bytes:
        """Returns the digest of the request and of its workspace.

        Two workspaces may use the same Idempotency-Key. Without the workspace
        in the digest, one would get the answer to an equal request of the
        other. The key of the claim does not depend on the workspace: otherwise
        a retry after an API key has moved to another workspace could run the
        call a second time.
        """
        digest = self.get_request_digest()
        if not self.workspace:
            return digest
        return hashlib.sha256(digest + self.workspace.encode()).digest()

    def _compute_request_digest(self) -> bytes:
        digest = hashlib.sha256()
        for text in (self.service, self.method, self.target):
            digest.update(text.encode("utf-8", "surrogateescape") + b"\0")
        if self.body.buffered is None:
            digest.update(f"length {self.body.length}".encode())
        else:
            digest.update(self.body.buffered)
        return digest.digest()
