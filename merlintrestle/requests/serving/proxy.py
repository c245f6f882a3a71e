"""The proxy: the data path of one daemon."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import mode

from merlintrestle import events as event_logs
from merlintrestle.requests import backend
from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.crashing import crashes
from merlintrestle.requests.load import admission
from merlintrestle.requests.load import budgets
from merlintrestle.requests.load import links
from merlintrestle.requests.load import picking
from merlintrestle.requests.reports import latencies
from merlintrestle.requests.reports import statistics
from merlintrestle.requests.reports import traffic
from merlintrestle.requests.serving import callers
from merlintrestle.requests.serving import dispatch
from merlintrestle.requests.serving import local_runner
from merlintrestle.requests.serving import peers
from merlintrestle.requests.serving import serving_state
from merlintrestle.requests.transport import forwarding
from merlintrestle.requests.transport import server
from merlintrestle.requests.unrepeatable import claims as claims_
from merlintrestle.requests.unrepeatable import inquiries
from merlintrestle.requests.unrepeatable import leases
from merlintrestle.requests.unrepeatable import recall
from merlintrestle.rollouts import observer as observers
from merlintrestle.rollouts import subsets
from merlintrestle.rollouts import tracker as books

if TYPE_CHECKING:
    from merlintrestle.requests import interfaces
    from merlintrestle.schema import control_pb2
    from merlintrestle.schema import settings_pb2

events = event_logs.EventLog("requests")

_OWN_DIALECT = dialects.NativeDialect()
# Part of the bound of retries that calls sent anew to the same upstream add:
# few of them reach it twice, as their connection was gone.
_BESIDE_PART = 0.2
# Time between checks of the own backend server, in seconds.
_CHECK_S = 1.0
_CHECK_DOWN_S = 0.2
# Time between two looks at what waits for the link and at the event loop, in
# seconds: often enough to meet a full buffer, too seldom to cost anything.
_LOOK_S = 0.5


class Proxy(mode.Service):
    """Serves callers and the other daemons.

    Attributes:
        backend: The own backend server.
        statistics: What became of the calls of each class.
        latencies: How long callers waited, and why they were refused.
        traffic: What went over the link, and what waited for it.
        caller_port: Bound port for callers, once started.
        peer_port: Bound port for other daemons, once started.
        defer_caller_port: Set before `start`: `open_callers` opens their port.
        control_port: Port on which this daemon answers recalls; set it before
            `start` where the setting is 0.
        crashes: Takes strikes of other daemons (`crashes.strikes.add`) and
            sends own ones (`crashes.send_strike`).
        observer: What is seen of the own backend server in a roll-out.
        recalls: gRPC servicer to be added to the control server.
    """

    def __init__(
        self,
        settings: settings_pb2.DaemonSettings,
        holder: interfaces.Holder,
        table: interfaces.MemberTable,
        store: interfaces.Store,
        dialect: object = _OWN_DIALECT,
        book: books.RolloutTracker | None = None,
    ):
        """Sets the parts; nothing is opened before `start`.

        Args:
            settings: Settings of the daemon.
            holder: The version that runs.
            table: The upstreams of each service.
            store: Keeps claims.
            dialect: How callers and backend servers speak.
            book: The roll-outs; None: there are none.
        """
        super().__init__()
        book = book or books.RolloutTracker(table.get_upstreams)
        self._dialect = dialect
        self.backend = backend.LocalBackend()
        self.caller_port = 0
        self.peer_port = 0
        self.latencies = latencies.Latencies()
        self.defer_caller_port = False
        self._settings = settings
        self._state = serving_state.ServingState(holder)
        self._budgets = budgets.Budgets(table.count_usable)
        self._beside_budgets = budgets.Budgets(table.count_usable)
        self.set_retry_bounds(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s
        )
        self._traffics = traffic.build_traffics()
        self._link = links.OutgoingLink()
        self._forwarder = forwarding.Forwarder(
            self._beside_budgets,
            dialects.accepts_unframed_answers(dialect),
            self._traffics,
        )
        self.control_port = settings.control_port
        self._recall_client = recall.RecallClient()
        claims = claims_.Claims(
            self._get_owner,
            store,
            leases.ClaimLease(store),
            inquiries.RetryingRecaller(self._recall_client),
            settings.claims,
            time.monotonic,
        )
        self.recalls = recall.RecallServicer(claims)
        self._admission = slots = admission.Admission(
            self.backend, holder, table
        )
        self.crashes = crashes.CrashTracker(self.backend)
        self.observer = observers.Observer(
            book, self.backend, self._get_member_id, lambda: slots.in_flight
        )
        self._local_runner = local_runner.LocalRunner(
            self.backend,
            slots,
            self._forwarder,
            claims,
            self.crashes,
            dialect,
            self.observer,
        )
        self._dispatch = dispatch.Dispatcher(
            self._get_member_id,
            table,
            picking.Picker(
                settings.zone,
                self._get_member_id,
                slots.has_capacity,
                time.monotonic,
            ),
            self._local_runner,
            self._forwarder,
            time.monotonic,
            self._budgets,
            subsets.SubsetSelector(book, settings.trial_share),
        )

    def set_retry_bounds(
        self, ratio: float, slack: float, window_s: float
    ) -> None:
        """Bounds the retries of the whole fleet; see the settings."""
        self._budgets.set_bounds(ratio, slack, window_s)
        self._beside_budgets.set_bounds(
            ratio * _BESIDE_PART, slack * _BESIDE_PART, window_s
        )

    async def on_start(self) -> None:
        """Opens the port for peers, and that for callers if not held."""
        self._member_id = f"{self._settings.address}:{self.control_port}"
        loop = asyncio.get_running_loop()
        self.statistics = statistics.Statistics(loop.time)
        await self._forwarder.start()
        self.backend.on_restart = self._forwarder.drop_idle
        address = self._settings.address
        caller_side = callers.CallerHandler(
            self._state,
            self._dialect,
            self._dispatch,
            self.statistics,
            self.latencies,
            self._admission.is_busy,
        )
        self._peer_side = peers.PeerHandler(
            self._state, self._local_runner, self._admission, self._link
        )
        traffics = self._traffics
        self._caller_server = server.Server(
            caller_side.handle, traffics.callers
        )
        self._peer_server = server.Server(
            self._peer_side.handle, traffics.peers
        )
        self.traffic = traffic.TrafficReport(
            traffics, self._link, self._get_held_back, loop.time
        )
        await self._peer_server.start(address, self._settings.peer_port)
        self.peer_port = self._peer_server.port
        if not self.defer_caller_port:
            await self.open_caller_port()

    async def open_caller_port(self) -> None:
        """Opens the port for callers."""
        self._dispatch.joining.begin()
        address = self._settings.address
        await self._caller_server.start(address, self._settings.port)
        self.caller_port = self._caller_server.port

    async def on_stop(self) -> None:
        """Cuts what is still in flight; `drain` comes first."""
        await self._caller_server.close()
        await self._peer_server.close()
        self._peer_side.close()
        self._local_runner.at_most_once.close()
        await self._forwarder.close()
        await self._recall_client.close()

    def disable_caller_keep_alive(self) -> None:
        """Has callers go elsewhere; serves those that come.

        Other daemons go on sending calls for the own backend server, which
        may well outlive this process and cannot be reached without it.
        """
        self._state.leaving = True

    def disable_keep_alive(self) -> None:
        """Has other daemons go elsewhere too; serves those that come."""
        self.disable_caller_keep_alive()
        self._state.leaving_peers = True

    async def drain(self, limit_s: float) -> bool:
        """Refuses new work and waits for all work in flight.

        Args:
            limit_s: Longest wait, in seconds.

        Returns:
            True if nothing is in flight any more.
        """
        self.disable_keep_alive()
        self.backend.drain()
        self._state.draining = True
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
        tasks = self._local_runner.at_most_once.tasks
        while self.in_flight or tasks:
            await self._state.wait_until_idle()
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

    @mode.Service.task
    async def _watch_traffic(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.should_stop:
            due = loop.time() + _LOOK_S
            await self.sleep(_LOOK_S)
            self.traffic.look(max(0.0, loop.time() - due))

    def _get_held_back(self) -> int:
        """Returns the bytes of answers that wait to be sent."""
        servers = (self._caller_server, self._peer_server)
        return sum(one.get_held_back() for one in servers)

    @property
    def in_flight(self) -> int:
        """Calls that are not yet answered whole."""
        return self._state.in_flight

    @property
    def is_claiming(self) -> bool:
        """True while claimed calls run, also those without a caller."""
        return bool(self._local_runner.at_most_once.tasks)

    def get_class_statuses(self) -> list[control_pb2.ClassStatus]:
        """Returns what became of the calls of each class lately."""
        return self.statistics.get_statuses()

    def _get_member_id(self) -> str:
        return self._member_id

    def _get_owner(self) -> claims_.Owner:
        return claims_.Owner(
            self._get_member_id(), self._settings.address, self.control_port
        )
