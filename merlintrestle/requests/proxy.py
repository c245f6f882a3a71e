"""The proxy: the data path of one daemon."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
import mode

from merlintrestle.requests import admission
from merlintrestle.requests import backend
from merlintrestle.requests import beside
from merlintrestle.requests import call as calls
from merlintrestle.requests import claims as claims_
from merlintrestle.requests import dispatch
from merlintrestle.requests import forwarding
from merlintrestle.requests import headers
from merlintrestle.requests import leases
from merlintrestle.requests import outcomes
from merlintrestle.requests import picking
from merlintrestle.requests import recall
from merlintrestle.requests import routing
from merlintrestle.requests import server
from merlintrestle.requests import statistics
from merlintrestle.requests import streams

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot
    from merlintrestle.requests import parts
    from merlintrestle.schema import control_pb2
    from merlintrestle.schema import settings_pb2

logger = logging.getLogger(__name__)

# Calls may be nested this deep; a deeper one is a loop between services.
MAX_DEPTH = 7
_MAX_KEY_CHARACTERS = 255


class Proxy(mode.Service):
    """Serves callers and the other daemons.

    Attributes:
        backend: The own backend server.
        statistics: What became of the calls of each class.
        caller_port: Bound port for callers, once started.
        peer_port: Bound port for other daemons, once started.
        in_flight: Calls that are not yet answered whole.
        draining: True once `drain` was called.
        control_port: Port on which this daemon answers recalls; set it before
            `start` where the setting is 0.
        recalls: gRPC servicer to be added to the control server.
    """

    def __init__(
        self,
        settings: settings_pb2.DaemonSettings,
        holder: parts.Holder,
        table: parts.MemberTable,
        store: parts.Store,
    ):
        """Sets the parts; nothing is opened before `start`."""
        super().__init__()
        self.backend = backend.OwnBackend()
        self.caller_port = 0
        self.peer_port = 0
        self.in_flight = 0
        self.draining = False
        self._settings = settings
        self._holder = holder
        self._forwarder = forwarding.Forwarder()
        self._idle = asyncio.Event()
        self._idle.set()
        self.control_port = settings.control_port
        self._recall_client = recall.RecallClient()
        claims = claims_.Claims(
            self._get_owner,
            store,
            leases.ClaimLease(store),
            self._recall_client,
            settings.claims,
            time.monotonic,
        )
        self.recalls = recall.Recalls(claims)
        slots = admission.Admission(self.backend, holder, table)
        self._beside = beside.Beside(
            self.backend, slots, self._forwarder, claims
        )
        self._dispatch = dispatch.Dispatch(
            self._get_member_id,
            table,
            picking.Picker(
                settings.zone,
                self._get_member_id,
                slots.has_room,
                time.monotonic,
            ),
            self._beside,
            self._forwarder,
            time.monotonic,
        )

    async def on_start(self) -> None:
        """Opens both ports."""
        self._get_time = asyncio.get_running_loop().time
        self.statistics = statistics.Statistics(self._get_time)
        await self._forwarder.start()
        address = self._settings.address
        self._caller_server = server.Server(self._handle_caller)
        self._peer_server = server.Server(self._handle_peer)
        await self._caller_server.start(address, self._settings.port)
        await self._peer_server.start(address, self._settings.peer_port)
        self.caller_port = self._caller_server.port
        self.peer_port = self._peer_server.port

    async def on_stop(self) -> None:
        """Cuts what is still in flight; `drain` comes first."""
        await self._caller_server.close()
        await self._peer_server.close()
        await self._forwarder.close()
        await self._recall_client.close()

    async def drain(self, limit_s: float) -> bool:
        """Refuses new work and waits for all work in flight.

        Args:
            limit_s: Longest wait, in seconds.

        Returns:
            True if nothing is in flight any more.
        """
        self.draining = True
        try:
            async with asyncio.timeout(limit_s):
                await self._idle.wait()
                # Claimed calls go on after their callers have left.
                while self._beside.once.tasks:
                    await asyncio.wait(self._beside.once.tasks)
        except TimeoutError:
            logger.warning(
                "requests: %d calls are still in flight.", self.in_flight
            )
            return False
        return True

    def get_class_statuses(self) -> list[control_pb2.ClassStatus]:
        """Returns what became of the calls of each class lately."""
        return self.statistics.get_statuses()

    def _get_member_id(self) -> str:
        return f"{self._settings.address}:{self.control_port}"

    def _get_owner(self) -> claims_.Owner:
        return claims_.Owner(
            self._get_member_id(), self._settings.address, self.control_port
        )

    async def _handle_caller(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        began = self._get_time()
        running = self._get_running()
        if isinstance(running, outcomes.NotRun):
            return outcomes.render(running)
        organisation = request.headers.get(headers.ORGANISATION, "")
        match = routing.find_class(
            running, request.method, request.raw_path, organisation
        )
        if isinstance(match, outcomes.NotRun):
            return outcomes.render(match)
        depth = headers.read_number(request.headers, headers.DEPTH) or 0
        if depth > MAX_DEPTH:
            return outcomes.render(
                outcomes.NotRun("the calls are nested too deep", 508, None)
            )
        return await self._answer(request, match, depth, began, self._dispatch)

    async def _handle_peer(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        began = self._get_time()
        running = self._get_running()
        if isinstance(running, outcomes.NotRun):
            return outcomes.render(running)
        path = request.raw_path
        end = path.find("/", 1)
        service = path[1:end]
        plan = routing.find_named_class(
            running,
            service,
            request.headers.get(headers.ORGANISATION, ""),
            request.headers.get(headers.CLASS, ""),
        )
        if plan is None:
            return outcomes.render(
                outcomes.NotRun(
                    "the class of work is not in the version that runs here",
                    elsewhere=True,
                )
            )
        match = routing.Match(service, plan, path[end:])
        depth = headers.read_number(request.headers, headers.DEPTH) or 0
        return await self._answer(request, match, depth, began, self._beside)

    async def _answer(
        self,
        request: web.BaseRequest,
        match: routing.Match,
        depth: int,
        began: float,
        way: dispatch.Dispatch | beside.Beside,
    ) -> web.StreamResponse:
        self._enter()
        try:
            refusal = _check_key(request, match.plan)
            if refusal is not None:
                return outcomes.render(refusal)
            call = await self._read_call(request, match, depth, began)
            outcome = await way.run(call)
            if isinstance(outcome, outcomes.Answered):
                return await _relay(request, outcome)
            return outcomes.render(outcome)
        except streams.BodyError as error:
            response = outcomes.render(outcomes.Unknown(str(error), 400))
            response.force_close()
            return response
        finally:
            self._leave()

    async def _read_call(
        self,
        request: web.BaseRequest,
        match: routing.Match,
        depth: int,
        began: float,
    ) -> calls.Call:
        plan = match.plan
        limit_s = plan.deadline_s
        asked_ms = headers.read_number(request.headers, headers.DEADLINE)
        if asked_ms is not None:
            limit_s = min(limit_s, asked_ms / 1000)
        deadline = began + limit_s
        return calls.Call(
            service=match.service,
            plan=plan,
            method=request.method,
            target=match.target,
            organisation=plan.organisation,
            headers=headers.copy_end_to_end(request.headers),
            body=await streams.read_body(request, deadline),
            deadline=deadline,
            depth=depth,
            attempt=headers.read_number(request.headers, headers.ATTEMPT) or 0,
            key=request.headers.get(headers.KEY, ""),
        )

    def _get_running(self) -> snapshot.Snapshot | outcomes.NotRun:
        if self.draining:
            return outcomes.NotRun("this daemon is stopping", elsewhere=True)
        running = self._holder.running
        if running is None:
            return outcomes.NotRun(
                f"this daemon is closed: {self._holder.closed_reason}",
                elsewhere=True,
            )
        return running

    def _enter(self) -> None:
        self.in_flight += 1
        self._idle.clear()

    def _leave(self) -> None:
        self.in_flight -= 1
        if not self.in_flight:
            self._idle.set()


def _check_key(
    request: web.BaseRequest, plan: snapshot.ClassPlan
) -> outcomes.NotRun | None:
    if plan.repeatable:
        return None
    key = request.headers.get(headers.KEY, "")
    if not key and plan.key_required:
        return outcomes.NotRun("Idempotency-Key is missing", 400, None)
    if len(key) > _MAX_KEY_CHARACTERS:
        return outcomes.NotRun("Idempotency-Key is too long", 400, None)
    return None


async def _relay(
    request: web.BaseRequest, answered: outcomes.Answered
) -> web.StreamResponse:
    try:
        return await streams.relay(request, answered)
    except (aiohttp.ClientError, OSError) as error:
        raise ConnectionError("the answer was cut") from error
    finally:
        answered.release()
