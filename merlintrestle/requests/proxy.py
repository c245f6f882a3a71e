"""The proxy: the data path of one daemon."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
import mode

from merlintrestle import events as event_logs
from merlintrestle.requests import backend
from merlintrestle.requests import beside
from merlintrestle.requests import dialect as dialects
from merlintrestle.requests import dispatch
from merlintrestle.requests import intake
from merlintrestle.requests import outcomes
from merlintrestle.requests.crashing import crashes
from merlintrestle.requests.load import admission
from merlintrestle.requests.load import loads
from merlintrestle.requests.load import picking
from merlintrestle.requests.load import retries
from merlintrestle.requests.load import urgency
from merlintrestle.requests.reports import latencies
from merlintrestle.requests.reports import statistics
from merlintrestle.requests.reports import stories
from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import forwarding
from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import probes
from merlintrestle.requests.transport import server
from merlintrestle.requests.transport import streams
from merlintrestle.requests.unrepeatable import claims as claims_
from merlintrestle.requests.unrepeatable import leases
from merlintrestle.requests.unrepeatable import recall

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from merlintrestle.documents import snapshot
    from merlintrestle.requests import call as calls
    from merlintrestle.requests import parts
    from merlintrestle.requests import routing
    from merlintrestle.schema import control_pb2
    from merlintrestle.schema import settings_pb2

events = event_logs.EventLog("requests")

_OWN_DIALECT = dialects.OwnDialect()
# Time between checks of the own backend server, in seconds.
_CHECK_S = 1.0
_CHECK_DOWN_S = 0.2


class Proxy(mode.Service):
    """Serves callers and the other daemons.

    Attributes:
        backend: The own backend server.
        statistics: What became of the calls of each class.
        budgets: What bounds retries.
        latencies: How long callers waited, and why they were refused.
        caller_port: Bound port for callers, once started.
        peer_port: Bound port for other daemons, once started.
        in_flight: Calls that are not yet answered whole.
        leaving: True once callers are to find another daemon.
        leaving_peers: True once other daemons are to send calls elsewhere.
        draining: True once `drain` was called.
        hold_callers: Set before `start`: `open_callers` opens their port.
        control_port: Port on which this daemon answers recalls; set it before
            `start` where the setting is 0.
        crashes: Takes strikes of other daemons (`crashes.strikes.add`) and
            sends own ones (`crashes.send_strike`).
        recalls: gRPC servicer to be added to the control server.
    """

    def __init__(
        self,
        settings: settings_pb2.DaemonSettings,
        holder: parts.Holder,
        table: parts.MemberTable,
        store: parts.Store,
        dialect: object = _OWN_DIALECT,
    ):
        """Sets the parts; nothing is opened before `start`.

        Args:
            settings: Settings of the daemon.
            holder: The version that runs.
            table: The upstreams of each service.
            store: Keeps claims.
            dialect: How callers and backend servers speak.
        """
        super().__init__()
        self._dialect = dialect
        self.backend = backend.OwnBackend()
        self.caller_port = 0
        self.peer_port = 0
        self.in_flight = 0
        self.latencies = latencies.Latencies()
        self.leaving = False
        self.leaving_peers = False
        self.draining = False
        self.hold_callers = False
        self._settings = settings
        self._holder = holder
        self._forwarder = forwarding.Forwarder(
            dialects.accepts_unframed(dialect)
        )
        self._registry = probes.Registry()
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
        self._usual_limits = urgency.UsualLimits(time.monotonic)
        self._slots = slots = admission.Admission(self.backend, holder, table)
        self.crashes = crashes.Crashes(self.backend)
        self._beside = beside.Beside(
            self.backend, slots, self._forwarder, claims, self.crashes, dialect
        )
        self.budgets = retries.Budgets(
            settings.retry_ratio, settings.retry_slack, table.count_usable
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
            self.budgets,
        )

    async def on_start(self) -> None:
        """Opens the port for peers, and that for callers if not held."""
        self._member_id = f"{self._settings.address}:{self.control_port}"
        self._get_time = asyncio.get_running_loop().time
        self.statistics = statistics.Statistics(self._get_time)
        await self._forwarder.start()
        address = self._settings.address
        self._caller_server = server.Server(self._handle_caller)
        self._peer_server = server.Server(self._handle_peer)
        await self._peer_server.start(address, self._settings.peer_port)
        self.peer_port = self._peer_server.port
        if not self.hold_callers:
            await self.open_callers()

    async def open_callers(self) -> None:
        """Opens the port for callers."""
        self._dispatch.joining.begin()
        address = self._settings.address
        await self._caller_server.start(address, self._settings.port)
        self.caller_port = self._caller_server.port

    async def on_stop(self) -> None:
        """Cuts what is still in flight; `drain` comes first."""
        await self._caller_server.close()
        await self._peer_server.close()
        self._beside.once.close()
        await self._forwarder.close()
        await self._recall_client.close()

    def leave(self) -> None:
        """Has callers go elsewhere; serves those that come.

        Other daemons go on sending calls for the own backend server, which
        may well outlive this process and cannot be reached without it.
        """
        self.leaving = True

    def leave_peers(self) -> None:
        """Has other daemons go elsewhere too; serves those that come."""
        self.leave()
        self.leaving_peers = True

    async def drain(self, limit_s: float) -> bool:
        """Refuses new work and waits for all work in flight.

        Args:
            limit_s: Longest wait, in seconds.

        Returns:
            True if nothing is in flight any more.
        """
        self.leave_peers()
        self.backend.drain()
        self.draining = True
        try:
            async with asyncio.timeout(limit_s):
                await self._finish_calls()
                await self._caller_server.flush()
                await self._peer_server.flush()
        except TimeoutError:
            events.warn("drain incomplete", in_flight=self.in_flight)
            return False
        return True

    async def _finish_calls(self) -> None:
        """Waits until no call is in flight, and no claimed one runs on.

        Claimed calls go on after their callers have left; their backend
        server may still make a call of its own through this daemon.
        """
        tasks = self._beside.once.tasks
        while self.in_flight or tasks:
            await self._idle.wait()
            if tasks:
                await asyncio.wait(tasks)

    @mode.Service.task
    async def _check_backend(self) -> None:
        while not self.should_stop:
            # One that sends heartbeats tells of its own return, and under
            # another id; connections to it would only take its slots.
            reachable = (
                bool(self.backend.instance_id) or await self.backend.check()
            )
            await self.sleep(_CHECK_S if reachable else _CHECK_DOWN_S)

    @property
    def is_claiming(self) -> bool:
        """True while claimed calls run, also those without a caller."""
        return bool(self._beside.once.tasks)

    def get_class_statuses(self) -> list[control_pb2.ClassStatus]:
        """Returns what became of the calls of each class lately."""
        return self.statistics.get_statuses()

    def _get_member_id(self) -> str:
        return self._member_id

    def _get_owner(self) -> claims_.Owner:
        return claims_.Owner(
            self._get_member_id(), self._settings.address, self.control_port
        )

    async def _handle_caller(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        began = self._get_time()
        # A request in flight at the own backend server may make calls of its
        # own through this daemon; refused, it would be cut off after all.
        running = self._get_running(nested=intake.get_depth(request) > 0)
        if isinstance(running, outcomes.NotRun):
            return _close_if(self.leaving, self._refuse(running, request))
        match = dialects.match_caller(self._dialect, running, request)
        if isinstance(match, outcomes.NotRun):
            return self._refuse(match, request)
        self._enter()
        try:
            asked = self._read_asked(request, match)
            call = await intake.read_call(request, match, asked, began, False)
            if isinstance(call, outcomes.NotRun):
                return _close_if(self.leaving, self._refuse(call, request))
            call.story.add(
                "routed",
                version=running.version,
                service=match.service,
                work=match.plan.name,
                left_ms=round((call.deadline - began) * 1000),
                waited_ms=asked.waited_ms,
            )
            response = await self._serve_caller(request, call, began)
        finally:
            self._leave()
        return _close_if(self.leaving, response)

    def _read_asked(
        self, request: web.BaseRequest, match: routing.Match
    ) -> intake.Asked:
        """Returns what a caller asks for, and since when."""
        asked = dialects.read_asked(self._dialect, request)
        if asked.limit_ms is None or not asked.usual_limits:
            return asked
        waited_s = self._usual_limits.estimate_waited(
            match.route, asked.limit_ms / 1000
        )
        return asked._replace(waited_ms=round(waited_s * 1000))

    async def _serve_caller(
        self, request: web.BaseRequest, call: calls.Call, began: float
    ) -> web.StreamResponse:
        try:
            outcome = await _catch_body_error(self._dispatch.run(call))
            came = self._get_time()
            try:
                response = await _finish(request, outcome, self._dialect)
            finally:
                self.statistics.note(call.plan, outcome, came - began)
                self.latencies.note(
                    call.plan, call.service, outcome, came - began
                )
        except BaseException as error:
            self._end_cut(call, error, began)
            raise
        stories.end_story(call.story, outcome, self._get_time() - began)
        return response

    def _end_cut(
        self, call: calls.Call, error: BaseException, began: float
    ) -> None:
        """Ends the story of a request whose caller left or was cut off."""
        elapsed_ms = round((self._get_time() - began) * 1000)
        cause = type(error).__name__
        call.story.end("cut", False, cause=cause, elapsed_ms=elapsed_ms)

    async def _handle_peer(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        if probes.is_probe(request):
            status, text = self._registry.answer(request.raw_path)
            return web.Response(status=status, text=text)
        call_id = request.headers.get(headers.CALL, "")
        response = await self._answer_peer(request, call_id)
        if not response.prepared:
            response.headers[headers.CALL] = call_id
        return _close_if(self.leaving_peers, response)

    async def _answer_peer(
        self, request: web.BaseRequest, call_id: str
    ) -> web.StreamResponse:
        began = self._get_time()
        running = self._get_running(nested=False)
        if isinstance(running, outcomes.NotRun):
            return outcomes.render(running)
        match = intake.match_peer(request)
        if isinstance(match, outcomes.NotRun):
            return outcomes.render(match)
        progress = self._registry.enter(call_id)
        self._enter()
        try:
            asked = intake.read_asked(request)
            call = await intake.read_call(request, match, asked, began, True)
            if isinstance(call, outcomes.NotRun):
                return outcomes.render(call)
            call.story.add("passed on", left_ms=asked.limit_ms)
            return await self._serve_peer(
                request, call, began, progress, call_id
            )
        finally:
            self._leave()
            self._registry.leave(call_id)

    async def _serve_peer(
        self,
        request: web.BaseRequest,
        call: calls.Call,
        began: float,
        progress: probes.Progress,
        call_id: str,
    ) -> web.StreamResponse:
        try:
            outcome = await _catch_body_error(self._beside.run(call))
            response = await _finish(
                request,
                outcome,
                _OWN_DIALECT,
                progress,
                self._describe_answer(call_id),
            )
        except BaseException as error:
            self._end_cut(call, error, began)
            raise
        stories.end_story(call.story, outcome, self._get_time() - began)
        return response

    def _describe_answer(self, call_id: str) -> tuple[tuple[str, str], ...]:
        """Returns what tells a daemon which call is answered, and the load."""
        load = loads.encode_load(self._slots.get_load())
        return ((headers.CALL, call_id), (headers.LOAD, load))

    def _refuse(
        self, refusal: outcomes.NotRun, request: web.BaseRequest
    ) -> web.Response:
        return dialects.render(self._dialect, refusal, request)

    def _get_running(self, nested: bool) -> snapshot.Snapshot | outcomes.NotRun:
        if self.draining and not nested:
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


def _close_if(
    leaving: bool, response: web.StreamResponse
) -> web.StreamResponse:
    """Has the connection close after this answer if the daemon stops.

    Cut at the end of the drain, it may just have got another request, and
    its caller could not tell whether that ran.
    """
    if leaving:
        response.force_close()
    return response


async def _catch_body_error(
    run: Awaitable[outcomes.Outcome],
) -> outcomes.Outcome:
    try:
        return await run
    except bodies.BodyError as error:
        return outcomes.Unknown(str(error), 400)


async def _finish(
    request: web.BaseRequest,
    outcome: outcomes.Outcome,
    dialect: object,
    progress: probes.Progress | None = None,
    added: tuple[tuple[str, str], ...] = (),
) -> web.StreamResponse:
    if isinstance(outcome, outcomes.Answered):
        return await _relay(request, outcome, progress, added)
    if isinstance(outcome, outcomes.Replayed):
        response = outcomes.render(outcome)
    else:
        response = dialects.render(dialect, outcome, request)
    response.headers.extend(added)
    if not request.content.is_eof():
        # What is left of the body must not be taken for the next request.
        response.force_close()
    return response


async def _relay(
    request: web.BaseRequest,
    answered: outcomes.Answered,
    progress: probes.Progress | None,
    added: tuple[tuple[str, str], ...],
) -> web.StreamResponse:
    try:
        return await streams.relay(request, answered, progress, added)
    except (aiohttp.ClientError, OSError) as error:
        answered.cut = isinstance(error, aiohttp.ClientError)
        raise ConnectionError("the answer was cut") from error
    finally:
        answered.release()
