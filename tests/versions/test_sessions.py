"""Golden-file tests of whole sessions of three daemons."""

from __future__ import annotations

import unittest

from tests.versions import builders
from tests.versions import sessions


class SessionTest(unittest.IsolatedAsyncioTestCase):
    """Steps from a new head to the last acknowledgement."""

    maxDiff = None

    async def asyncSetUp(self) -> None:
        self.session = sessions.Session()
        self.configuration = self.session.configuration
        self.addAsyncCleanup(self.session.close)

    async def test_change_from_head_to_last_acknowledgement(self) -> None:
        session = self.session
        await self.configuration.accept(1, ["balie"])
        await session.start()
        await session.wait_for_contact()
        await session.wait_for_version(1)
        for version in (2, 3):
            session.begin_phase(f"version {version} is accepted")
            await self.configuration.accept(version, ["balie", "kassa"])
            await session.wait_for_version(version)
            session.end_phase()
        session.lines.append("== last acknowledgement")
        session.write_states()
        self.assertEqual(session.lines, sessions.read_golden_file("change"))

    async def test_mass_restart(self) -> None:
        session = self.session
        await self.configuration.accept(1, ["balie"])
        await session.start()
        await session.wait_for_contact()
        await session.wait_for_version(1)
        session.begin_phase("the store fails and all daemons restart")
        await self.configuration.fail()
        await session.close()
        reads = self.configuration.reads
        await session.start()
        await session.wait_for_contact()
        await builders.wait_until(lambda: self.configuration.reads > reads + 10)
        session.write_states()
        session.begin_phase("the store returns")
        self.configuration.down = False
        await session.wait_for_version(1)
        session.end_phase()
        await builders.wait_until(
            lambda: (
                not any(
                    daemon.active_version.closed_reason
                    for daemon in session.daemons.values()
                )
            )
        )
        session.write_states()
        self.assertEqual(
            session.lines, sessions.read_golden_file("herd-restart")
        )


if __name__ == "__main__":
    unittest.main()
