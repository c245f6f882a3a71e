"""The daemon of an instance: start, stop and connection of its components."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any, NamedTuple, TYPE_CHECKING

from merlintrestle import application
from merlintrestle import decoding
from merlintrestle import events as event_logs
from merlintrestle.daemon import admin
from merlintrestle.daemon import leave_records
from merlintrestle.daemon import lifecycle
from merlintrestle.daemon import metrics
from merlintrestle.ingress import ingress as ingresses
from merlintrestle.ingress import limits
from merlintrestle.members import era_gossip
from merlintrestle.members import membership as memberships
from merlintrestle.members import service as control_server
from merlintrestle.members import table as tables
from merlintrestle.members import timing as timings
from merlintrestle.quotas import bounds as quota_bounds
from merlintrestle.quotas import service as quota_service
from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.serving import proxy as proxies
from merlintrestle.rollouts import controller as controllers
from merlintrestle.rollouts import gossip
from merlintrestle.rollouts import storage as storages
from merlintrestle.rollouts import tracker as trackers
from merlintrestle.schema import control_pb2
from merlintrestle.schema import quota_pb2_grpc
from merlintrestle.schema import request_pb2_grpc
from merlintrestle.schema import settings_pb2
from merlintrestle.store import client
from merlintrestle.versions import active_version as active_versions
from merlintrestle.versions import distribution as distributions
from merlintrestle.versions import freshness as freshness_lib
from merlintrestle.versions import freshness_poller as freshness_pollers
from merlintrestle.versions import keys_gossip
from merlintrestle.versions import source as sources

if TYPE_CHECKING:
    from merlintrestle.members import links as links_lib
    from merlintrestle.requests.crashing import strikes as strikes_lib

events = event_logs.EventLog("daemon")

# Maximum time for which the caller port stays closed at the start, while the
# daemon determines which version it may run.
VERSION_TIMEOUT_S = 3.0
_VERSION_POLL_INTERVAL_S = 0.05
# Values of `closed_reason` that end this wait: empty (a version is active), or
# no version was ever accepted, so that waiting longer does not help.
_VERSION_KNOWN_REASONS = ("", active_versions.NO_VERSION)

# Maximum time to send the leave message to the connected daemons.
_LEAVE_FLUSH_TIMEOUT_S = 0.5
# Time between the announcement of the leave and the drain. The leave message
# reaches the other daemons over two or three hops of up to 0.1 s each.
_LEAVE_PROPAGATION_S = 0.4


class Components(NamedTuple):
    """Components and options of a daemon that depend on the platform.

    Attributes:
        store: Client of the store.
        source: Source of configuration versions.
        dialect: Protocol of callers and backend servers.
        timing: Intervals of membership and gossip.
        use_witnesses: Whether peers (the witnesses) record each version before
            this daemon activates it. After a restart, it asks them for this
            version and runs no earlier one.
        read_before_contact: Whether to read versions from the store before a
            peer has answered.
        rollout_format: Format of the roll-out records in the store.
        backend_address: Address of the backend server, "ip:port", if it sends
            heartbeats.
    """

    store: Any
    source: sources.ConfigurationSource
    dialect: object
    timing: timings.Timing
    use_witnesses: bool = True
    read_before_contact: bool = False
    rollout_format: storages.RecordFormat = storages.DefaultFormat()
    backend_address: str = ""


def build_native_components(store_address: str) -> Components:
    """Returns the default components, with the store at an address."""
    store = client.StoreClient(store_address)
    return Components(
        store,
        sources.NativeSource(store),
        dialects.NativeDialect(),
        timings.Timing(),
    )


class Daemon(application.Program):
    """The daemon of a backend server.

    It opens its ports first, as its member record contains them, and then
    joins the fleet. A graceful stop announces the leave, waits for requests in
    flight, and then stops the services.

    Attributes:
        freshness: How recently the active version was known to be the newest.
        ingress: The budgets that inbound connections share; set by `start`.
        lifecycle: State of a backend server that sends heartbeats; set by
            `start`.
    """

    def __init__(
        self,
        settings: settings_pb2.DaemonSettings,
        components: Components | None = None,
    ):
        """Initializes the daemon without opening any port or connection."""
        super().__init__()
        self._components = components or build_native_components(settings.store)
        self._settings = settings_pb2.DaemonSettings()
        self._settings.CopyFrom(settings)
        self._active_version = active_versions.ActiveVersion()
        self.freshness = freshness_lib.Freshness(
            settings.revocation_limit_s, self._active_version
        )
        self._store = self._components.store
        self._stopping = False
        self._started_serving = False

    async def on_start(self) -> None:
        """Starts the services and prints the bound ports as a line of JSON."""
        await self._store.start()
        settings = self._settings
        self._control = control_server.ControlServer(
            settings.address, settings.control_port
        )
        settings.control_port = self._control.port
        self._table = tables.MemberTable(self._build_member())
        self._rollout_tracker = trackers.RolloutTracker(
            self._table.get_upstreams
        )
        self.ingress = ingresses.Ingress(
            limits.read_limits(settings.memory_mb, settings.descriptors)
        )
        self._proxy = proxies.Proxy(
            settings,
            self._active_version,
            self._table,
            self._store,
            self._components.dialect,
            self._rollout_tracker,
            self.ingress,
        )
        self.lifecycle = lifecycle.BackendLifecycle(
            self._proxy.backend,
            self._store,
            self._components.backend_address,
            lambda process: self._table.set_leaving(
                leave_records.build_record(process)
            ),
            lambda: self._membership.links.flush(leave_records.WRITE_TIMEOUT_S),
        )
        self._proxy.workspace_admission.freshness = self.freshness
        self._proxy.defer_caller_port = True
        await self.add_runtime_dependency(self._proxy)
        self._table.set_peer_port(self._proxy.peer_port)
        await self._start_control()
        await self.start_endpoints()
        await self._wait_until_version_known()
        await self._proxy.open_caller_port()
        self._started_serving = True
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
        """Opens the loopback port; subclasses may open further ports."""
        self.registry = metrics.build_registry(
            self._active_version,
            self._table,
            self._proxy,
            self._store.era,
            self.freshness,
        )
        self.registry.register(self.quotas)
        self.registry.register(self.ingress)
        self._admin = admin.AdminServer(
            self._settings.admin_port,
            self._active_version,
            self._apply_announcement,
            self.registry,
            self.ingress,
        )
        await self.add_runtime_dependency(self._admin)

    def set_retry_bounds(
        self, ratio: float, slack: float, window_s: float
    ) -> None:
        """Sets the retry budget of each service for the whole fleet.

        Args:
            ratio: Retries per call; 0: the default.
            slack: Retries per window in addition to these; 0: the default.
            window_s: Length of the window in which calls and retries are
                counted, in seconds; 0: the default.
        """
        self._proxy.set_retry_bounds(ratio, slack, window_s)

    def is_ready(self) -> bool:
        """Returns whether this daemon serves new callers."""
        closed = bool(self._active_version.closed_reason)
        return self._started_serving and not self._stopping and not closed

    def _retire_leaving_backend(
        self, instance_id: str, started_ms: int
    ) -> None:
        """Stops sending new calls to a backend server whose answers say so."""
        if instance_id:
            self.lifecycle.retire(instance_id, started_ms)
        else:
            self._proxy.backend.retire()

    async def on_stop(self) -> None:
        """Serves callers until they have moved, leaves the fleet and drains.

        The daemon serves its callers for `farewell_s`, while they move to other
        daemons. It announces its leave to other daemons only shortly before the
        end of this time, because they stop sending calls to the local backend
        server as soon as they receive the leave message. With an earlier leave,
        several backend servers would be idle at any time during a rolling
        restart of the fleet. At last, the daemon waits for requests in flight.
        """
        self._stopping = True
        self._proxy.disable_caller_keep_alive()
        farewell_s = self._settings.farewell_s
        propagation_s = min(_LEAVE_PROPAGATION_S, farewell_s)
        await asyncio.gather(
            asyncio.sleep(farewell_s - propagation_s), self.quotas.retire()
        )
        self._proxy.disable_keep_alive()
        self._table.leave()
        await asyncio.sleep(propagation_s)
        drained, _ = await asyncio.gather(
            self._proxy.drain(self._settings.drain_limit_s),
            self._membership.links.flush(_LEAVE_FLUSH_TIMEOUT_S),
        )
        if drained:
            events.note("drained", in_flight=0)

    async def on_shutdown(self) -> None:
        """Closes the control server and the store client."""
        events.note("ended", in_flight=self._proxy.in_flight)
        await self._keys_gossip.close()
        await self._control.close()
        await self.lifecycle.close()
        await self._store.close()

    async def _start_control(self) -> None:
        membership = memberships.Membership(
            self._table,
            self._store,
            self._settings.seeds,
            self._components.timing,
        )
        self._membership = membership
        membership.anti_entropy.on_reply_received.append(self._restore_leaving)
        distribution = distributions.Distribution(
            self._active_version,
            membership,
            self._components.source,
            self._settings.spread,
            self._components.use_witnesses,
            self._components.read_before_contact,
            self.freshness,
        )
        poller = freshness_pollers.FreshnessPoller(
            self.freshness, membership, distribution.watcher
        )
        self._keys_gossip = keys_gossip.KeysGossip(
            self.freshness.keys, membership
        )
        self._store.era.on_change.append(distribution.watcher.handle_new_era)
        era_gossip.EraGossip(self._store.era, membership.links)
        self._connect_quotas(membership, distribution)
        servicer = control_server.ControlServicer(
            membership,
            distribution,
            self._proxy.get_class_statuses,
            lambda: self._proxy.in_flight,
            poller,
            (self.quotas.add_status, self._describe_refusals),
        )
        request_pb2_grpc.add_RequestsServicer_to_server(
            self._proxy.recall_servicer, self._control.server
        )
        await self._control.start(servicer)
        self._proxy.backend.on_change = self._publish_backend
        self._proxy.set_on_leaving(self._retire_leaving_backend)
        crashes = self._proxy.crashes
        crashes.send_strike = membership.links.send_strike
        membership.links.on_strike.append(crashes.strikes.add)
        membership.links.on_open.append(
            lambda link: _send_strikes(link, crashes.strikes)
        )
        self._connect_rollouts(membership, distribution)
        await self.add_runtime_dependency(membership)
        await self.add_runtime_dependency(distribution)
        if self.freshness.limit_s:
            membership.links.on_message.append(
                lambda _, message: self.freshness.learn_version(
                    message.offer.version
                )
            )
            await self.add_runtime_dependency(poller)
        await self.add_runtime_dependency(self._rollout_controller)
        await self.add_runtime_dependency(self.quotas)

    def _describe_refusals(self, reply: control_pb2.StatusReply) -> None:
        """Adds to a status which workspaces are refused most."""
        active_snapshot = self._active_version.active_snapshot
        if active_snapshot is not None and active_snapshot.requires_api_keys:
            recent = self._proxy.workspace_admission.refusals.recent
            reply.refusals.CopyFrom(recent.build_status())

    def _connect_quotas(
        self,
        membership: memberships.Membership,
        distribution: distributions.Distribution,
    ) -> None:
        """Connects the quotas with the gossip, the peers and the store."""
        settings = self._settings
        self.quotas = quota_service.Quotas(
            membership,
            self._active_version,
            self._store,
            distribution.watcher.selection.get_rank,
            quota_bounds.build_bounds(
                settings.quota_window_s,
                settings.quota_overshoot,
                settings.quota_slack,
            ),
        )
        self._proxy.workspace_admission.quotas = self.quotas
        quota_pb2_grpc.add_QuotasServicer_to_server(
            quota_service.QuotaServicer(self.quotas), self._control.server
        )

    def _connect_rollouts(
        self,
        membership: memberships.Membership,
        distribution: distributions.Distribution,
    ) -> None:
        """Connects roll-outs with the gossip and the store."""
        self._rollout_gossip = gossip.RolloutGossip(
            self._rollout_tracker, membership
        )
        storage = storages.RolloutStorage(
            self._store, self._components.rollout_format
        )
        self._rollout_controller = controllers.RolloutController(
            self._rollout_tracker,
            self._proxy.observer,
            storage,
            distribution.watcher.selection.get_rank,
        )
        distribution.watcher.on_orders.append(
            lambda entries: self._rollout_controller.handle_orders(
                storage.parse_orders(entries)
            )
        )

    def _restore_leaving(self, reply: control_pb2.MembersReply) -> None:
        """Restores leaves that this daemon announced before a restart."""
        for record in reply.leaving:
            if not leave_records.is_valid_record(record):
                decoding.count_refused("leave of a peer")
                shown = decoding.show_value(record.instance_id)
                events.warn("leave malformed", instance=shown)
                continue
            self.lifecycle.restore_leaving(leave_records.read_record(record))

    async def _wait_until_version_known(self) -> None:
        """Waits until a version is active or none exists, up to a limit.

        After a restart, a daemon needs about a second to determine its floor
        (the lowest version that it may run) and its peers, and would refuse all
        calls until then. While its port is closed, callers connect to another
        daemon at once. The wait has a limit because callers need a refusal and
        a retry time if the whole fleet cannot serve calls.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(VERSION_TIMEOUT_S):
                while (
                    self._active_version.closed_reason
                    not in _VERSION_KNOWN_REASONS
                ):
                    await asyncio.sleep(_VERSION_POLL_INTERVAL_S)

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

    def _apply_announcement(self, announcement: admin.Announcement) -> None:
        self._proxy.backend.announce(
            announcement.service,
            announcement.address,
            announcement.slots,
            announcement.state,
            version=announcement.version,
        )

    def _publish_backend(self) -> None:
        self._table.set_backend(self._proxy.backend.build_record())


def _send_strikes(link: links_lib.Link, known: strikes_lib.Strikes) -> None:
    """Sends a neighbour the strikes that are known when a link opens.

    It may have been restarted, and would run requests again that crash backend
    servers and are blocked everywhere else.
    """
    for strike in known.list_active():
        link.outbox.add_strike(strike)
