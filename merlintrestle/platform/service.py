"""Daemon on an instance of the platform."""

from __future__ import annotations

from merlintrestle import decoding
from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle.daemon import metrics
from merlintrestle.daemon import service
from merlintrestle.members import timing as timings
from merlintrestle.platform import configuration
from merlintrestle.platform import endpoints
from merlintrestle.platform import health
from merlintrestle.platform import requests
from merlintrestle.platform import rollouts
from merlintrestle.platform import settings as settings_lib
from merlintrestle.platform import store as stores
from merlintrestle.schema import settings_pb2

events = event_logs.EventLog("platform")

# Time for callers to move: the platform checks readiness once a second and
# redirects callers shortly after two failures. At most half of the grace period
# is used for this, so that a short one leaves time for requests in flight.
_MAX_FAREWELL_S = 2.6
# End of the grace period, reserved for closing ports and connections, so that
# the process exits before the platform kills it.
_CLEANUP_S = 0.8
# Fraction of `expose_share` that a version on trial gets. The rest is for calls
# that a version gets after its trial, in the seconds until it is found to fail.
_TRIAL_FRACTION = 0.6


class PlatformDaemon(service.Daemon):
    """Daemon whose backend server reports its state by heartbeats."""

    def __init__(self, settings: settings_lib.Settings):
        """Translates the settings; `start` opens all resources."""
        self._platform_settings = settings
        store = stores.PlatformStore(str(settings.store))
        super().__init__(
            build_daemon_settings(settings),
            service.Components(
                store=store,
                source=configuration.PlatformSource(store),
                dialect=requests.PlatformDialect(settings.service),
                timing=timings.QUICK,
                use_witnesses=False,
                read_before_contact=True,
                rollout_format=rollouts.PLATFORM_FORMAT,
                backend_address=str(settings.backend),
            ),
        )

    def reload(self) -> None:
        """Reads the settings file again and logs the changes.

        Bounds of retries and the service that heartbeats may name apply at
        once, all others, such as addresses and ports, after a restart.
        """
        try:
            settings = settings_lib.read_settings(settings_lib.find_path())
        except errors.InvalidInputError as error:
            decoding.count_refused("settings")
            events.warn("reload refused", error=str(error))
            return
        previous = self._platform_settings._asdict()
        changed = {
            name: str(value)
            for name, value in settings._asdict().items()
            if value != previous[name]
        }
        events.note("reload", changed=changed)
        self._platform_settings = settings
        self.set_retry_bounds(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s
        )

    async def start_endpoints(self) -> None:
        """Opens the ports and requests the status of the backend server."""
        await super().start_endpoints()
        self._endpoints = endpoints.Endpoints(
            self._platform_settings,
            self.is_ready,
            self.lifecycle.handle_heartbeat,
            self.lifecycle.handle_leave,
            self._knows_service,
            lambda: metrics.render_metrics(self.registry),
            self.ingress,
        )
        await self.add_runtime_dependency(self._endpoints)
        settings = self._platform_settings
        await self.lifecycle.restore(lambda: health.check_backend(settings))

    def _knows_service(self, name: str) -> bool:
        """Returns whether the settings or running version name a service."""
        snapshot = self._active_version.active_snapshot
        known = snapshot is not None and name in snapshot.services
        return known or name == self._platform_settings.service


def build_daemon_settings(
    settings: settings_lib.Settings,
) -> settings_pb2.DaemonSettings:
    """Translates the platform's settings to the daemon's; port 0 stays 0."""
    farewell_s = min(_MAX_FAREWELL_S, settings.grace_s / 2)
    return settings_pb2.DaemonSettings(
        address=settings.address,
        zone=settings.zone,
        region=settings.region,
        port=settings.callers.port,
        peer_port=settings.peers.port,
        control_port=settings.first_port,
        admin_port=settings.first_port and settings.first_port + 1,
        store=str(settings.store),
        spread="fast",
        drain_limit_s=max(0.0, settings.grace_s - farewell_s - _CLEANUP_S),
        log_level="info",
        log_format="json",
        claims="claims/",
        retry_ratio=settings.retry_ratio,
        retry_slack=settings.retry_slack,
        retry_window_s=settings.retry_window_s,
        farewell_s=farewell_s,
        quota_window_s=settings.quota_window_s,
        quota_overshoot=settings.quota_overshoot,
        quota_slack=settings.quota_slack,
        link_mbps=settings.link_mbps,
        revocation_limit_s=settings.revocation_limit_s,
        memory_mb=settings.memory_mb,
        descriptors=settings.descriptors,
        trial_share=settings.expose_share * _TRIAL_FRACTION,
    )
