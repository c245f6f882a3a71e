"""Tests for requests over daemons that are separate processes."""

from __future__ import annotations

import asyncio
import signal
import time
import unittest

from tests.platform import processes


class ProcessesTest(unittest.IsolatedAsyncioTestCase):
    """Two daemons, of balie and of kassa; the route leads to balie."""

    async def asyncSetUp(self) -> None:
        timeout = asyncio.timeout(processes.TEST_TIMEOUT_S)
        await self.enterAsyncContext(timeout)
        self.fleet = await self.enterAsyncContext(processes.ProcessFleet())
        await self.fleet.start("balie", "kassa")
        self.balie_daemon, self.kassa_daemon = self.fleet.daemons
        await self.fleet.wait_until_served(1)

    async def test_calls_are_served_after_a_kill_and_a_restart(self) -> None:
        """Guards against calls that fail after a restart until a heartbeat.

        The daemon of balie is killed and restarted. Its backend server kept
        running and sends no heartbeat, so the daemon requests its status. The
        other daemon learns of it through gossip.
        """
        self.balie_daemon.send_signal(signal.SIGKILL)
        self.assertEqual(await self.balie_daemon.wait(), -signal.SIGKILL)
        self.assertNotEqual(await self.fleet.send(1), 200)
        await self.balie_daemon.start()
        await self.fleet.wait_until_served(1)
        await self.fleet.wait_until_served(0)

    async def test_a_restart_after_a_leave_and_a_late_heartbeat(self) -> None:
        """Guards against calls to a backend server that left before a kill."""
        daemon, backend = self.balie_daemon, self.balie_daemon.backend
        self.assertEqual(
            await backend.send_leave(daemon.heartbeat_address), 200
        )
        backend.healthy = False
        await self.restart_balie_daemon()
        await backend.send_heartbeat(daemon.heartbeat_address)
        await self.check_not_called()

    async def test_a_leave_after_a_restart_and_a_late_heartbeat(self) -> None:
        """Guards against calls to a backend server that left after a kill."""
        daemon, backend = self.balie_daemon, self.balie_daemon.backend
        backend.started_ms = int(time.time() * 1000) - 60_000
        await backend.send_heartbeat(daemon.heartbeat_address)
        await self.restart_balie_daemon()
        self.assertEqual(
            await backend.send_leave(daemon.heartbeat_address), 200
        )
        await backend.send_heartbeat(daemon.heartbeat_address)
        await self.check_not_called()

    async def test_a_leave_outlasts_a_restart_and_a_false_status(self) -> None:
        """Guards against calls to a server whose status hides that it left."""
        for announce in ("drain", "leave"):
            with self.subTest(announce=announce):
                daemon, backend = self.balie_daemon, self.balie_daemon.backend
                backend.replace_process()
                address = daemon.heartbeat_address
                await backend.send_heartbeat(address)
                await self.fleet.wait_until_served(1)
                if announce == "drain":
                    status = await backend.send_heartbeat(
                        address, "draining", 1000
                    )
                else:
                    status = await backend.send_leave(address)
                self.assertEqual(status, 200)
                await self.restart_balie_daemon()
                await self.check_not_called()
                for sequence in (1, 2):
                    await backend.send_heartbeat(address, sequence=sequence)
                await self.check_not_called()

    async def test_a_leave_outlasts_a_restart_without_the_store(self) -> None:
        """Guards against calls to a server that left during an outage."""
        daemon, backend = self.balie_daemon, self.balie_daemon.backend
        self.fleet.store.faults.status = 503
        self.assertEqual(
            await backend.send_leave(daemon.heartbeat_address), 200
        )
        await self.restart_balie_daemon()
        while "leave restored" not in daemon.list_events():
            await asyncio.sleep(0.05)
        await backend.send_heartbeat(daemon.heartbeat_address)
        await self.check_not_called()

    async def restart_balie_daemon(self) -> None:
        """Kills the daemon of balie and starts it."""
        self.balie_daemon.send_signal(signal.SIGKILL)
        await self.balie_daemon.wait()
        await self.balie_daemon.start()
        await self.fleet.wait_for_readiness(self.balie_daemon)

    async def check_not_called(self) -> None:
        """Checks that no request reaches the backend server of balie."""
        backend = self.balie_daemon.backend
        served = len(backend.executed_attempts)
        for index in (0, 1):
            self.assertNotEqual(await self.fleet.send(index), 200)
        self.assertEqual(len(backend.executed_attempts), served)

    async def test_calls_of_other_daemons_are_served_during_a_planned_stop(
        self,
    ) -> None:
        """Guards against calls that fail in the first seconds of a stop.

        The daemon of balie gets the stop signal. Its readiness endpoint fails
        at once, so that its callers are redirected. Until they have had time
        to move, it serves the other daemon's calls.
        """
        self.balie_daemon.send_signal(signal.SIGTERM)
        await self.fleet.wait_for_readiness(self.balie_daemon, 503)
        self.assertEqual(await self.fleet.send(1), 200)
        self.assertEqual(await self.fleet.send(0), 200)
        self.assertEqual(await self.balie_daemon.wait(), 0)
        events = self.balie_daemon.list_events()
        positions = [
            events.index(name) for name in ("started", "stop", "ended")
        ]
        self.assertEqual(positions, sorted(positions))

    async def test_sighup_reloads_the_settings_file(self) -> None:
        """Guards against a SIGHUP that ends the daemon instead of a reload.

        By default, SIGHUP ends a process. A malformed file changes nothing, and
        the daemon keeps serving.
        """
        self.kassa_daemon.write_settings(zone="zuid", app="nowhere")
        self.kassa_daemon.send_signal(signal.SIGHUP)
        while "reload refused" not in self.kassa_daemon.list_events():
            await asyncio.sleep(0.05)
        self.kassa_daemon.write_settings(heartbeatMs="2000")
        self.kassa_daemon.send_signal(signal.SIGHUP)
        while "reload" not in self.kassa_daemon.list_events():
            await asyncio.sleep(0.05)
        (reload_line,) = (
            line
            for line in self.kassa_daemon.lines
            if line.get("event") == "reload"
        )
        self.assertEqual(reload_line["changed"], {"heartbeat_s": "2.0"})
        self.assertEqual(await self.fleet.send(1), 200)
