"""The daemon: its parts, in the order in which they start and stop."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any, NamedTuple

from merlintrestle import application
from merlintrestle import events as event_logs
from merlintrestle.daemon import admin
from merlintrestle.daemon import heartbeats as heartbeats_lib
from merlintrestle.daemon import metrics
from merlintrestle.members import membership as memberships
from merlintrestle.members import service as control
from merlintrestle.members import table as tables
from merlintrestle.members import timing as timings
from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.serving import proxy as proxies
from merlintrestle.rollouts import controller as keepers
from merlintrestle.rollouts import gossip
from merlintrestle.rollouts import storage as registers
from merlintrestle.rollouts import tracker as books
from merlintrestle.schema import control_pb2
from merlintrestle.schema import request_pb2_grpc
from merlintrestle.schema import settings_pb2
from merlintrestle.store import client
from merlintrestle.versions import active_version as holders
from merlintrestle.versions import distribution as distributions
from merlintrestle.versions import source as sources

events = event_logs.EventLog("daemon")

# Longest time for which callers find the port closed after a start, in s.
READY_LIMIT_S = 3.0
_READY_POLL_S = 0.05
# Open, or closed until operators accept a first version.
_SETTLED = ("", holders.NO_VERSION)

# Longest wait for neighbours to be told that this daemon leaves.
_LEAVE_S = 0.5
# Time for which other daemons are still served after they were told that this
# one leaves: news take two or three hops of up to 0.1 s each.
_NOTICE_S = 0.4


class Environment(NamedTuple):
    """What a daemon needs of where it runs.

    Attributes:
        store: Client of the platform's store.
        source: Where versions come from.
        dialect: How callers and backend servers speak.
        timing: Intervals of membership and spreading.
        use_witnesses: Whether other daemons record each version before it runs,
            so that this daemon never goes back over a restart.
        read_before_contact: Whether it asks the store before it met a peer.
        rollout_format: How the store keeps the records of roll-outs.
    """

    store: Any
    source: sources.Source
    dialect: object
    timing: timings.Timing
    use_witnesses: bool = True
    read_before_contact: bool = False
    rollout_format: registers.RecordFormat = registers.DefaultFormat()


def build_environment(store_address: str) -> Environment:
    """Returns the product's own store, records and headers."""
    store = client.StoreClient(store_address)
    return Environment(
        store,
        sources.StoreSource(store),
        dialects.NativeDialect(),
        timings.Timing(),
    )


class Daemon(application.Program):
    """One daemon, beside one backend server.

    It starts with its ports, so that its own record tells where it is
    reached, then joins the fleet. A planned stop announces the leave, waits
    for requests in flight, and then closes the parts.
    """

    def __init__(
        self,
        settings: settings_pb2.DaemonSettings,
        surroundings: Environment | None = None,
    ):
        """Keeps the settings; everything opens in `start`."""
        super().__init__()
        self._surroundings = surroundings or build_environment(settings.store)
        self._heartbeats = heartbeats_lib.HeartbeatFilter()
        self._settings = settings_pb2.DaemonSettings()
        self._settings.CopyFrom(settings)
        self._active_version = holders.ActiveVersion()
        self._store = self._surroundings.store
        self._leaving = False
        self._opened = False

    async def on_start(self) -> None:
        """Starts the parts and prints the bound ports as one JSON line."""
        await self._store.start()
        settings = self._settings
        self._control = control.ControlServer(
            settings.address, settings.control_port
        )
        settings.control_port = self._control.port
        self._table = tables.MemberTable(self._build_member())
        self._book = books.RolloutTracker(self._table.get_upstreams)
        self._proxy = proxies.Proxy(
            settings,
            self._active_version,
            self._table,
            self._store,
            self._surroundings.dialect,
            self._book,
        )
        self._proxy.defer_caller_port = True
        await self.add_runtime_dependency(self._proxy)
        self._table.set_peer_port(self._proxy.peer_port)
        await self._start_control()
        await self.start_endpoints()
        await self._wait_until_ready()
        await self._proxy.open_caller_port()
        self._opened = True
        ports = self._describe_ports()
        events.note(
            "started",
            **ports,
            zone=self._settings.zone,
            region=self._settings.region,
            store=self._settings.store,
            version=self._active_version.version,
        )
        print(json.dumps(ports), flush=True)

    async def start_endpoints(self) -> None:
        """Opens the ports for what is neither a caller nor a daemon."""
        self.registry = metrics.build_registry(
            self._active_version, self._table, self._proxy
        )
        self._admin = admin.AdminServer(
            self._settings.admin_port,
            self._active_version,
            self._announce,
            self.registry,
        )
        await self.add_runtime_dependency(self._admin)

    def set_retry_bounds(
        self, ratio: float, slack: float, window_s: float
    ) -> None:
        """Bounds the retries of the whole fleet anew; see the settings."""
        self._proxy.set_retry_bounds(ratio, slack, window_s)

    def is_ready(self) -> bool:
        """Returns whether callers may be sent to this daemon."""
        closed = bool(self._active_version.closed_reason)
        return self._opened and not self._leaving and not closed

    @property
    def has_seen_backend(self) -> bool:
        """True once the backend server said anything."""
        return self._heartbeats.has_seen_backend

    def handle_heartbeat(self, heartbeat: heartbeats_lib.Heartbeat) -> None:
        """Takes over what the backend server says, if it is news."""
        if not self._heartbeats.accept(heartbeat):
            return
        self._proxy.backend.announce(
            heartbeat.service,
            heartbeat.address,
            heartbeat.slots,
            heartbeat.state,
            heartbeat.instance_id,
            heartbeat.remaining_warmup_s,
            heartbeat.started_ms,
            heartbeat.version,
        )

    def retire_backend(self, instance_id: str, born_ms: int = 0) -> None:
        """Sends the backend server no new work, as it leaves."""
        if self._heartbeats.retire(instance_id, born_ms):
            self._proxy.backend.retire()

    async def on_stop(self) -> None:
        """Leaves the fleet and waits for requests in flight.

        Callers learn by and by that they are to go elsewhere; until they have
        moved they are served as before. Other daemons are told last: without
        this one the own backend server gets no work, and while the daemons of
        a fleet are replaced in turn several would be idle at any time.
        """
        self._leaving = True
        self._proxy.disable_caller_keep_alive()
        farewell_s = self._settings.farewell_s
        notice_s = min(_NOTICE_S, farewell_s)
        await asyncio.sleep(farewell_s - notice_s)
        self._proxy.disable_keep_alive()
        self._table.leave()
        await asyncio.sleep(notice_s)
        drained, _ = await asyncio.gather(
            self._proxy.drain(self._settings.drain_limit_s),
            self._membership.links.flush(_LEAVE_S),
        )
        if drained:
            events.note("drained", in_flight=0)

    async def on_shutdown(self) -> None:
        """Closes what is not a service."""
        events.note("ended", in_flight=self._proxy.in_flight)
        await self._control.close()
        await self._store.close()

    async def _start_control(self) -> None:
        membership = memberships.Membership(
            self._table,
            self._store,
            self._settings.seeds,
            self._surroundings.timing,
        )
        self._membership = membership
        distribution = distributions.Distribution(
            self._active_version,
            membership,
            self._surroundings.source,
            self._settings.spread,
            self._surroundings.use_witnesses,
            self._surroundings.read_before_contact,
        )
        servicer = control.ControlServicer(
            membership,
            distribution,
            self._proxy.get_class_statuses,
            lambda: self._proxy.in_flight,
        )
        request_pb2_grpc.add_RequestsServicer_to_server(
            self._proxy.recall_servicer, self._control.server
        )
        await self._control.start(servicer)
        self._proxy.backend.on_change = self._spread_backend
        crashes = self._proxy.crashes
        crashes.send_strike = membership.links.send_strike
        membership.links.on_strike.append(crashes.strikes.add)
        self._start_rollouts(membership, distribution)
        await self.add_runtime_dependency(membership)
        await self.add_runtime_dependency(distribution)
        await self.add_runtime_dependency(self._keeper)

    def _start_rollouts(
        self,
        membership: memberships.Membership,
        distribution: distributions.Distribution,
    ) -> None:
        """Connects what is known of roll-outs with links and store."""
        self._spreading = gossip.RolloutGossip(self._book, membership)
        register = registers.RolloutStorage(
            self._store, self._surroundings.rollout_format
        )
        self._keeper = keepers.RolloutController(
            self._book,
            self._proxy.observer,
            register,
            distribution.watcher.selection.get_rank,
        )
        distribution.watcher.on_orders.append(
            lambda entries: self._keeper.handle_orders(
                register.parse_orders(entries)
            )
        )

    async def _wait_until_ready(self) -> None:
        """Waits until a version runs, but not for long.

        A daemon that is replaced would refuse each caller for the second in
        which it learns its floor and its peers; while its port is closed they
        go to another at once. The wait is bounded, for callers of a whole
        fleet that cannot open must be told so and when to come back.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_LIMIT_S):
                while self._active_version.closed_reason not in _SETTLED:
                    await asyncio.sleep(_READY_POLL_S)

    def _build_member(self) -> control_pb2.Member:
        settings = self._settings
        return control_pb2.Member(
            id=f"{settings.address}:{settings.control_port}",
            address=settings.address,
            control_port=settings.control_port,
            zone=settings.zone,
            region=settings.region,
            link_mbps=settings.link_mbps,
        )

    def _describe_ports(self) -> dict[str, str | int]:
        return {
            "ready": "daemon",
            "id": self._table.local_id,
            "port": self._proxy.caller_port,
            "peer_port": self._proxy.peer_port,
            "control_port": self._control.port,
            "admin_port": self._admin.port,
        }

    def _announce(self, announcement: admin.Announcement) -> None:
        self._proxy.backend.announce(
            announcement.service,
            announcement.address,
            announcement.slots,
            announcement.state,
            version=announcement.version,
        )

    def _spread_backend(self) -> None:
        self._table.set_backend(self._proxy.backend.build_record())
