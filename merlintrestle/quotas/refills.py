"""Requests for tokens to the coordinator, and the calls that wait for them."""

from __future__ import annotations

import asyncio
from typing import Protocol, TYPE_CHECKING

from merlintrestle import clocks
from merlintrestle.members import peers as peers_lib
from merlintrestle.requests.calls import outcomes
from merlintrestle.schema import quota_pb2
from merlintrestle.schema import quota_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from merlintrestle.documents import snapshot
    from merlintrestle.quotas import account as accounts
    from merlintrestle.quotas import bounds as bounds_lib

_OVER_QUOTA_STATUS = 429
_UNAVAILABLE_STATUS = 503
# Interval of requests that no call waits for, and least interval of others.
_INTERVAL_S = 0.5
_MIN_INTERVAL_S = 0.05
# Time after a failure until the next request, while calls are refused.
_FAILURE_INTERVAL_S = 0.4
# Longest wait for a reply. The coordinator counts a token until it expires, so
# a request that is given up costs tokens for that long.
_REPLY_TIMEOUT_S = 0.8
# Retry time while no coordinator answers: the rest of its lease, and the time
# that the next one needs to begin.
_TAKEOVER_S = 2.0
_MS_PER_S = 1000


class Coordinator(Protocol):
    """The coordinator as this daemon knows it.

    Attributes:
        epoch: Its epoch; 0 if none is known.
        member_id: Its id; empty if it has given up its lease.
    """

    epoch: int
    member_id: str


class Refills:
    """Requests tokens, one request at a time for all workspaces together.

    Attributes:
        refused: Number of calls that were refused as no daemon grants tokens.
        on_unavailable: Called when no daemon grants tokens: the coordinator
            is unknown, silent or not yet granting.
    """

    def __init__(
        self,
        account: accounts.Account,
        coordinator: Coordinator,
        send: Callable[
            [str, quota_pb2.RefillRequest], Awaitable[quota_pb2.RefillReply]
        ],
        member_id: str,
        process: int,
        bounds: bounds_lib.Bounds,
        get_time: Callable[[], float] = clocks.get_boot_time,
    ):
        """Connects the components.

        Args:
            account: The tokens of this daemon.
            coordinator: The coordinator that is known.
            send: Sends a request to a member; raises `PeerError`.
            member_id: Id of this daemon.
            process: Random id of this process.
            bounds: Bounds on the calls of each workspace.
            get_time: Returns the time in seconds, with suspended time counted.
        """
        self.refused = 0
        self.on_unavailable: Callable[[], None] = lambda: None
        self._account = account
        self._coordinator = coordinator
        self._send = send
        self._member_id = member_id
        self._process = process
        self._bounds = bounds
        self._get_time = get_time
        self._sequence = 0
        self._wake_event = asyncio.Event()
        self._request_task: asyncio.Task[quota_pb2.RefillReply] | None = None
        # Time at which tokens may be granted again, as far as is known.
        self._available_at = 0.0
        self._is_failing = False
        # Longest wait of a call, by rate and burst.
        self._waits_s: dict[tuple[float, float], float] = {}

    async def spend(
        self, workspace: snapshot.Workspace, timeout_s: float
    ) -> None | outcomes.NotRun:
        """Waits for a token, after `Account.try_spend` found none.

        Returns:
            None if the call has a token; otherwise the refusal.
        """
        name = workspace.name
        retry_s = self._account.get_refusal(name)
        if retry_s:
            return _build_over_quota(name, retry_s)
        if self._is_failing:
            return self._build_unavailable()
        waiter: asyncio.Future[float] = (
            asyncio.get_running_loop().create_future()
        )
        self._account.add_waiter(name, waiter)
        self._wake_event.set()
        try:
            async with asyncio.timeout(
                min(timeout_s, self._get_wait_s(workspace))
            ):
                retry_s = await asyncio.shield(waiter)
        except TimeoutError:
            if not waiter.done():
                waiter.cancel()
                return self._build_unavailable()
            # The token arrived at the same moment.
            retry_s = waiter.result()
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                if not waiter.result():
                    self._account.give_back(name)
            else:
                waiter.cancel()
            raise
        return _build_over_quota(name, retry_s) if retry_s else None

    def handle_new_coordinator(self) -> None:
        """Gives up the request to the earlier coordinator and asks at once."""
        self._is_failing = False
        if self._request_task is not None:
            self._request_task.cancel()
        self._wake_event.set()

    async def run(self) -> None:
        """Requests tokens until cancelled."""
        try:
            while True:
                await self._wait_for_turn()
                if not self._coordinator.member_id:
                    if self._account.has_waiters():
                        self._fail(_TAKEOVER_S)
                    continue
                await self.refill()
        finally:
            if self._request_task is not None:
                self._request_task.cancel()

    async def refill(self) -> bool:
        """Sends a request if there is anything to request.

        Returns:
            Whether a request was answered, or none was needed.
        """
        epoch = self._coordinator.epoch
        if epoch != self._account.epoch:
            self._account.begin_epoch(epoch)
        # The lifetime of the tokens counts from here.
        sent_at = self._get_time()
        reports = self._account.build_reports()
        if not reports:
            # Without calls, nobody needs to know whether it still fails.
            self._is_failing = False
            return True
        self._sequence += 1
        request = quota_pb2.RefillRequest(
            member_id=self._member_id,
            process=self._process,
            sequence=self._sequence,
            epoch=epoch,
            workspaces=reports,
        )
        reply = await self._request(request)
        if reply is None:
            if epoch == self._coordinator.epoch:
                self._fail(_TAKEOVER_S)
            return False
        if reply.starts_in_ms:
            self._fail(reply.starts_in_ms / _MS_PER_S)
            return False
        self._is_failing = False
        if reply.epoch == self._account.epoch:
            self._account.apply(reply.workspaces, sent_at)
        return True

    async def _request(
        self, request: quota_pb2.RefillRequest
    ) -> quota_pb2.RefillReply | None:
        """Returns the reply of the coordinator; None if there is none."""
        task = asyncio.ensure_future(
            self._send(self._coordinator.member_id, request)
        )
        self._request_task = task
        await asyncio.wait([task])
        self._request_task = None
        if task.cancelled():
            return None
        error = task.exception()
        if isinstance(error, peers_lib.PeerError):
            return None
        reply = task.result()
        return reply if reply.coordinator else None

    def _fail(self, available_in_s: float) -> None:
        self._is_failing = True
        self._available_at = self._get_time() + available_in_s
        self.on_unavailable()

    async def _wait_for_turn(self) -> None:
        if self._is_failing:
            interval_s, least_s = 0.0, _FAILURE_INTERVAL_S
        else:
            interval_s, least_s = _INTERVAL_S, _MIN_INTERVAL_S
        await asyncio.sleep(least_s)
        try:
            async with asyncio.timeout(interval_s):
                await self._wake_event.wait()
        except TimeoutError:
            return
        self._wake_event.clear()

    def _build_unavailable(self) -> outcomes.NotRun:
        self.refused += 1
        remaining_s = self._available_at - self._get_time()
        return outcomes.NotRun(
            "no daemon can decide on the quota at present",
            _UNAVAILABLE_STATUS,
            max(_FAILURE_INTERVAL_S, remaining_s),
        )

    def _get_wait_s(self, workspace: snapshot.Workspace) -> float:
        key = (workspace.rate, workspace.burst)
        wait_s = self._waits_s.get(key)
        if wait_s is None:
            if len(self._waits_s) > 10_000:  # Many versions with other rates.
                self._waits_s.clear()
            wait_s = self._bounds.compute_wait_s(*key)
            self._waits_s[key] = wait_s
        return wait_s


def build_sender(
    peers: peers_lib.PeerClient,
) -> Callable[[str, quota_pb2.RefillRequest], Awaitable[quota_pb2.RefillReply]]:
    """Returns a function that sends requests over the channels to peers."""

    async def send(
        member_id: str, request: quota_pb2.RefillRequest
    ) -> quota_pb2.RefillReply:
        reply: quota_pb2.RefillReply = await peers.call(
            member_id,
            "Refill",
            request,
            _REPLY_TIMEOUT_S,
            quota_pb2_grpc.QuotasStub,
        )
        return reply

    return send


def _build_over_quota(name: str, retry_s: float) -> outcomes.NotRun:
    return outcomes.NotRun(
        f"workspace {name!r} is over its quota", _OVER_QUOTA_STATUS, retry_s
    )
