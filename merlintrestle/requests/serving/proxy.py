"""Proxy of a daemon, which handles requests of callers and other daemons."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import mode

from merlintrestle import events as event_logs
from merlintrestle import supervision
from merlintrestle.ingress import ingress as ingresses
from merlintrestle.requests import backend
from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.crashing import crashes
from merlintrestle.requests.load import admission as admissions
from merlintrestle.requests.load import budgets
from merlintrestle.requests.load import links
from merlintrestle.requests.load import picking
from merlintrestle.requests.reports import latencies
from merlintrestle.requests.reports import outcome_counts
from merlintrestle.requests.reports import traffic
from merlintrestle.requests.serving import callers
from merlintrestle.requests.serving import dispatch
from merlintrestle.requests.serving import local_runner as local_runners
from merlintrestle.requests.serving import peers
from merlintrestle.requests.serving import serving_state as serving_states
from merlintrestle.requests.transport import forwarding
from merlintrestle.requests.transport import pipelining
from merlintrestle.requests.transport import sender_limits
from merlintrestle.requests.transport import server
from merlintrestle.requests.unrepeatable import claim_restoration
from merlintrestle.requests.unrepeatable import claims as claims_
from merlintrestle.requests.unrepeatable import leases
from merlintrestle.requests.unrepeatable import recall
from merlintrestle.requests.unrepeatable import recall_retries
from merlintrestle.requests.unrepeatable import sent_calls
from merlintrestle.requests.workspaces import admission as workspace_admission
from merlintrestle.rollouts import observer as observers
from merlintrestle.rollouts import subsets
from merlintrestle.rollouts import tracker as trackers

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests import interfaces
    from merlintrestle.requests.calls import notices
    from merlintrestle.schema import control_pb2
    from merlintrestle.schema import settings_pb2

events = event_logs.EventLog("requests")

_NATIVE_DIALECT = dialects.NativeDialect()
# A call is resent to the local backend server if the kept-alive connection over
# which it was sent turns out to be closed. Resends have budgets of their own,
# whose bounds are this fraction of the bounds on retries and add to them. A
# small fraction is enough, as few resent calls reach the backend server twice:
# the connection was usually closed before the first send.
_RESEND_FRACTION = 0.2
# Interval between checks of a reachable backend server, in seconds.
_CHECK_INTERVAL_S = 1.0
# Interval between checks of an unreachable backend server, in seconds.
_DOWN_CHECK_INTERVAL_S = 0.2
# Interval between samples of the write buffers and of the lateness of the event
# loop, in seconds. It is short enough to detect a full buffer, and long enough
# to take hardly any processor time.
_SAMPLE_INTERVAL_S = 0.5


# Maximum size of the headers of a caller that a configuration may state, and of
# each header between daemons, in bytes.
_MAX_HEADER_BYTES = 256 * 1024
_DEFAULT_LIMITS = sender_limits.SenderLimits()
# Other daemons send what their callers sent, with headers of their own.
_PEER_LIMITS = sender_limits.SenderLimits(_MAX_HEADER_BYTES)


class Proxy(mode.Service):
    """Handles the requests of callers and of other daemons.

    Attributes:
        backend: The local backend server.
        outcome_counts: Counts the outcomes of the calls of each class.
        latencies: Records how long callers waited, and why they were refused.
        traffic: Reports the bytes sent over the link, the bytes in the write
            buffers and the lateness of the event loop.
        caller_port: Bound port for callers, once open.
        peer_port: Bound port for other daemons, once started.
        defer_caller_port: If True, `start` does not open the port for callers;
            `open_caller_port` does. Set it before `start`.
        control_port: Port of the control server of this daemon. If the setting
            is 0, assign the bound port before `start`.
        crashes: Receives the strikes of other daemons (`crashes.strikes.add`)
            and sends those of this daemon (`crashes.send_strike`).
        observer: Records answers of the local backend server in a roll-out.
        drain_admission: Refuses calls while this daemon drains; set by `start`.
        workspace_admission: Admits requests to workspaces. Its `freshness` and
            `quotas` may be set at any time.
        recall_servicer: gRPC servicer to be added to the control server. It
            answers recalls: queries of other daemons about the claims
            of this daemon on calls that must not be repeated.
    """

    def __init__(
        self,
        settings: settings_pb2.DaemonSettings,
        active_version: interfaces.ActiveVersion,
        table: interfaces.MemberTable,
        store: interfaces.Store,
        dialect: object = _NATIVE_DIALECT,
        tracker: trackers.RolloutTracker | None = None,
        ingress: ingresses.Ingress | None = None,
    ):
        """Initializes the proxy; no port is opened before `start`.

        Args:
            settings: Settings of the daemon.
            active_version: The active configuration version.
            table: The upstreams of each service.
            store: Stores claims.
            dialect: The dialect of callers and of the backend server.
            tracker: Tracks roll-outs; None: there are no roll-outs.
            ingress: The budgets of the process; None: those that it finds.
        """
        super().__init__()
        tracker = tracker or trackers.RolloutTracker(table.get_upstreams)
        self._ingress = ingress
        self._dialect = dialect
        self.backend = backend.LocalBackend()
        self.workspace_admission = workspace_admission.WorkspaceAdmission(
            time.monotonic
        )
        self.caller_port = 0
        self.peer_port = 0
        self.latencies = latencies.Latencies()
        self.defer_caller_port = False
        self._settings = settings
        self._state = serving_states.ServingState(active_version)
        self._budgets = budgets.Budgets(table.count_daemons)
        self._resend_budgets = budgets.Budgets(table.count_daemons)
        self.set_retry_bounds(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s
        )
        self._byte_counters = traffic.build_traffics()
        self._link = links.OutgoingLink()
        self._forwarder = forwarding.Forwarder(
            self._resend_budgets,
            dialects.accepts_unframed_answers(dialect),
            self._byte_counters,
        )
        self.control_port = settings.control_port
        self._recall_client = recall.RecallClient()
        lease = leases.ClaimLease(store)
        claims = claims_.Claims(
            self._get_holder,
            store,
            lease,
            recall_retries.RetryingRecaller(self._recall_client),
            settings.claims,
            time.monotonic,
            settling_s=settings.store_settling_s,
        )
        self._sent_calls = sent_calls.SentCalls(time.monotonic)
        self._claim_restorer = claim_restoration.ClaimRestorer(
            claims,
            self._sent_calls,
            store,
            lease,
            self._get_holder,
            settings.store_copy_age_s,
        )
        self.recall_servicer = recall.RecallServicer(claims)
        self._admission = admission = admissions.Admission(
            self.backend,
            active_version,
            table,
            rate_limit_burst_s=settings.rate_limit_burst_s,
        )
        self.crashes = crashes.CrashTracker(self.backend)
        self.observer = observers.Observer(
            tracker,
            self.backend,
            self._get_member_id,
            lambda: admission.in_flight,
        )
        self._local_runner = local_runners.LocalRunner(
            self.backend,
            admission,
            self._forwarder,
            claims,
            self.crashes,
            dialect,
            self.observer,
        )
        self._dispatcher = dispatch.Dispatcher(
            self._get_member_id,
            table,
            picking.Picker(
                settings.zone,
                self._get_member_id,
                admission.has_capacity,
                time.monotonic,
            ),
            self._local_runner,
            self._forwarder,
            time.monotonic,
            self._budgets,
            subsets.SubsetSelector(tracker, settings.trial_share),
            sent_calls.KeyedCallRecorder(self._sent_calls, claims.build_key),
        )

    def set_retry_bounds(
        self, ratio: float, slack: float, window_s: float
    ) -> None:
        """Sets the bounds on retries, which apply to the whole fleet.

        See `budgets.Budgets.set_bounds` for the meaning of 0.

        Args:
            ratio: Allowed retries for each call of a service.
            slack: Additional retries that are allowed in one window.
            window_s: Length of the window, in seconds.
        """
        self._budgets.set_bounds(ratio, slack, window_s)
        self._resend_budgets.set_bounds(
            ratio * _RESEND_FRACTION, slack * _RESEND_FRACTION, window_s
        )

    async def on_start(self) -> None:
        """Opens the peer port and, unless deferred, the caller port."""
        self._member_id = f"{self._settings.address}:{self.control_port}"
        loop = asyncio.get_running_loop()
        self.outcome_counts = outcome_counts.OutcomeCounts(loop.time)
        await self._forwarder.start()
        self.backend.on_restart = self._handle_backend_restart
        address = self._settings.address
        caller_handler = callers.CallerHandler(
            self._state,
            self._dialect,
            self._dispatcher,
            self.outcome_counts,
            self.latencies,
            self.crashes.list_calls_in_flight,
            self.workspace_admission,
        )
        self.drain_admission = caller_handler.drain_admission
        self._local_runner.check_drain = self.drain_admission.check_waiting_call
        self._peer_handler = peers.PeerHandler(
            self._state,
            self._local_runner,
            self._admission,
            self._link,
            dialects.get_workspace_header(self._dialect),
        )
        byte_counters = self._byte_counters
        self._ingress = ingress = self._ingress or ingresses.Ingress()
        self._caller_server = pipelining.Server(
            caller_handler.handle,
            ingress,
            "callers",
            ingress.budgets.caller_connections,
            byte_counters.callers,
        )
        self._caller_server.get_limits = self._get_limits
        self._peer_server = server.Server(
            self._peer_handler.handle,
            ingress,
            "peers",
            ingress.budgets.peer_connections,
            byte_counters.peers,
            shares_loop_time=False,
        )
        self._peer_server.get_limits = lambda: _PEER_LIMITS
        self.traffic = traffic.TrafficReport(
            byte_counters,
            self._link,
            self._get_write_buffer_bytes,
            loop.time,
            self._caller_server.pipeline_counts,
        )
        await self._peer_server.start(address, self._settings.peer_port)
        self.peer_port = self._peer_server.port
        if not self.defer_caller_port:
            await self.open_caller_port()

    async def open_caller_port(self) -> None:
        """Opens the port for callers."""
        self._dispatcher.startup_wait.begin()
        address = self._settings.address
        await self._caller_server.start(address, self._settings.port)
        self.caller_port = self._caller_server.port

    async def on_stop(self) -> None:
        """Closes all connections; call `drain` first to complete the calls."""
        await self._caller_server.close()
        await self._peer_server.close()
        self._peer_handler.close()
        self._local_runner.at_most_once.close()
        self._claim_restorer.close()
        await self._forwarder.close()
        await self._recall_client.close()

    def disable_caller_keep_alive(self) -> None:
        """Closes each connection of a caller after its next answer.

        Callers then connect to another daemon; requests that still arrive here
        are served. Connections of other daemons stay open: they still send
        calls to the local backend server, which they can reach only through
        this daemon and which may continue after this process has ended.
        """
        self._state.caller_keep_alive_disabled = True

    def disable_keep_alive(self) -> None:
        """Closes each connection of a caller or daemon after its next answer.

        Requests that still arrive are served.
        """
        self.disable_caller_keep_alive()
        self._state.peer_keep_alive_disabled = True

    async def drain(self, timeout_s: float) -> bool:
        """Refuses new work and waits for all work in flight.

        Args:
            timeout_s: Maximum wait, in seconds.

        Returns:
            True if all work has ended, False after a timeout.
        """
        self.disable_keep_alive()
        self.backend.drain()
        loop = asyncio.get_running_loop()
        self._state.begin_drain(loop.time() + timeout_s)
        try:
            async with asyncio.timeout(timeout_s):
                await self._wait_for_calls()
                await self._caller_server.flush()
                await self._peer_server.flush()
        except TimeoutError:
            events.warn("drain incomplete", in_flight=self.in_flight)
            return False
        return True

    async def _wait_for_calls(self) -> None:
        """Waits until neither calls nor claimed calls are in flight.

        Claimed calls continue after their callers have disconnected, and the
        backend server may still make nested calls for them through this daemon.
        """
        tasks = self._local_runner.at_most_once.tasks
        while self.in_flight or tasks:
            await self._state.wait_until_idle()
            if tasks:
                await asyncio.wait(tasks)

    def _handle_backend_restart(self, previous_address: str) -> None:
        self._forwarder.drop_idle(previous_address)
        self._local_runner.notices.reset()

    @mode.Service.task
    @supervision.restart_on_failure
    async def _check_backend(self) -> None:
        while not self.should_stop:
            # A backend server with an instance id sends heartbeats and
            # announces a restart by a new id or start time. A check would only
            # occupy one of its slots.
            reachable = (
                bool(self.backend.instance_id)
                or await self.backend.check_reachable()
            )
            await self.sleep(
                _CHECK_INTERVAL_S if reachable else _DOWN_CHECK_INTERVAL_S
            )

    @mode.Service.task
    @supervision.restart_on_failure
    async def _watch_traffic(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.should_stop:
            expected_at = loop.time() + _SAMPLE_INTERVAL_S
            await self.sleep(_SAMPLE_INTERVAL_S)
            self.traffic.update(max(0.0, loop.time() - expected_at))
            if self._ingress is not None:
                self._ingress.sweep()

    def _get_write_buffer_bytes(self) -> int:
        """Returns the bytes of answers in the write buffers of both ports."""
        servers = (self._caller_server, self._peer_server)
        return sum(port_server.get_buffered_bytes() for port_server in servers)

    def set_on_leaving(self, on_leaving: Callable[[str, int], None]) -> None:
        """Sets what is called when the backend server states that it leaves.

        Args:
            on_leaving: Called with the id and the start of its process, see
                `backend_notices.BackendNotices`.
        """
        self._local_runner.notices.on_leaving = on_leaving

    @property
    def in_flight(self) -> int:
        """Number of calls whose answers are not yet complete."""
        return self._state.in_flight

    @property
    def workspaces_waiting(self) -> int:
        """Number of workspaces with waiting calls, counted for each class."""
        return self._admission.workspaces_waiting

    @property
    def backend_notices(self) -> notices.Notices:
        """The latest notices of the local backend server."""
        return self._local_runner.notices.current

    @property
    def has_claimed_calls(self) -> bool:
        """True while claimed calls run, even without their callers."""
        return bool(self._local_runner.at_most_once.tasks)

    def get_class_statuses(self) -> list[control_pb2.ClassStatus]:
        """Returns the recent outcomes of the calls of each class."""
        return self.outcome_counts.get_statuses()

    def _get_limits(self) -> sender_limits.SenderLimits:
        """Returns the limits on callers.

        They are those of the active version, but the headers may have the
        default size if that states a smaller one.
        """
        active_snapshot = self._state.get_active_snapshot()
        if (
            isinstance(active_snapshot, outcomes.NotRun)
            or active_snapshot.limits is None
        ):
            return _DEFAULT_LIMITS
        stated = active_snapshot.limits
        header_bytes = min(stated.max_header_bytes, _MAX_HEADER_BYTES)
        return sender_limits.SenderLimits(
            max(sender_limits.DEFAULT_HEADER_BYTES, header_bytes),
            stated.header_timeout_s or sender_limits.HEADER_TIMEOUT_S,
            stated.idle_timeout_s or _DEFAULT_LIMITS.idle_timeout_s,
        )

    def _get_member_id(self) -> str:
        return self._member_id

    def _get_holder(self) -> sent_calls.Holder:
        return sent_calls.Holder(
            self._get_member_id(), self._settings.address, self.control_port
        )
