"""The whole path over daemons that are processes of their own."""

from __future__ import annotations

import asyncio
import signal
import unittest

from tests.platform import processes


class ProcessesTest(unittest.IsolatedAsyncioTestCase):
    """Two daemons, beside a desk and beside a till; the route is the desk's."""

    async def asyncSetUp(self) -> None:
        guard = asyncio.timeout(processes.TEST_TIMEOUT_S)
        await self.enterAsyncContext(guard)
        self.fleet = await self.enterAsyncContext(processes.ProcessFleet())
        await self.fleet.start("balie", "kassa")
        self.desk, self.till = self.fleet.daemons
        await self.fleet.wait_until_served(1)

    async def test_a_daemon_that_is_killed_and_restarted(self) -> None:
        """Callers of the other daemon are served again without a heartbeat.

        The daemon beside the desk is killed and started again. Its backend
        server ran on and says nothing of its own, so the daemon asks it; the
        other daemon hears of it over the fleet.
        """
        self.desk.send_signal(signal.SIGKILL)
        self.assertEqual(await self.desk.wait(), -signal.SIGKILL)
        self.assertNotEqual(await self.fleet.send(1), 200)
        await self.desk.start()
        await self.fleet.wait_until_served(1)
        await self.fleet.wait_until_served(0)

    async def test_a_planned_stop_serves_other_daemons_to_its_end(self) -> None:
        """Callers of the other daemon notice nothing of the first seconds.

        The daemon beside the desk is told to stop. It says at once that its
        own callers are to go elsewhere, and serves the other daemon until they
        have had the time.
        """
        self.desk.send_signal(signal.SIGTERM)
        await self.fleet.wait_until_ready(self.desk, 503)
        self.assertEqual(await self.fleet.send(1), 200)
        self.assertEqual(await self.fleet.send(0), 200)
        self.assertEqual(await self.desk.wait(), 0)
        events = self.desk.list_events()
        order = [events.index(name) for name in ("started", "stop", "ended")]
        self.assertEqual(order, sorted(order))

    async def test_a_changed_settings_file(self) -> None:
        """A signal that ends other programs has the settings read again.

        A file that is malformed changes nothing, and the daemon serves on.
        """
        self.till.write_settings(zone="zuid", app="nowhere")
        self.till.send_signal(signal.SIGHUP)
        while "reload refused" not in self.till.list_events():
            await asyncio.sleep(0.05)
        self.till.write_settings(heartbeatMs="2000")
        self.till.send_signal(signal.SIGHUP)
        while "reload" not in self.till.list_events():
            await asyncio.sleep(0.05)
        (line,) = (
            one for one in self.till.lines if one.get("event") == "reload"
        )
        self.assertEqual(line["changed"], {"heartbeat_s": "2.0"})
        self.assertEqual(await self.fleet.send(1), 200)
