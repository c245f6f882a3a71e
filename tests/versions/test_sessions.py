"""Golden-file tests of the steps of three daemons."""

from __future__ import annotations

import unittest

from tests.versions import builders
from tests.versions import sessions


class SessionTest(unittest.IsolatedAsyncioTestCase):
    """The steps and their order must not change unnoticed.

    A version must be recorded with the witnesses before it runs.
    """

    maxDiff = None

    async def asyncSetUp(self) -> None:
        self.recorder = sessions.StepRecorder()
        self.configuration = self.recorder.configuration
        self.addAsyncCleanup(self.recorder.close)

    async def test_change_from_head_to_last_mark(self) -> None:
        """Guards against a version that runs before its witnesses record it."""
        recorder = self.recorder
        await self.configuration.accept(1, ["balie"])
        await recorder.start()
        await recorder.wait_for_contact()
        await recorder.wait_for_version(1)
        for version in (2, 3):
            recorder.begin_phase(f"version {version} is accepted")
            await self.configuration.accept(version, ["balie", "kassa"])
            await recorder.wait_for_version(version)
            recorder.end_phase()
        recorder.lines.append("== last acknowledgement")
        recorder.add_states()
        self.assertEqual(recorder.lines, sessions.read_golden_file("change"))

    async def test_mass_restart(self) -> None:
        """Guards against daemons that open while none of them knows a floor.

        All daemons restart while the store is down.
        """
        recorder = self.recorder
        await self.configuration.accept(1, ["balie"])
        await recorder.start()
        await recorder.wait_for_contact()
        await recorder.wait_for_version(1)
        recorder.begin_phase("the store fails and all daemons restart")
        await self.configuration.fail()
        await recorder.close()
        reads = self.configuration.reads
        await recorder.start()
        await recorder.wait_for_contact()
        await builders.wait_until(lambda: self.configuration.reads > reads + 10)
        recorder.add_states()
        recorder.begin_phase("the store returns")
        self.configuration.down = False
        await recorder.wait_for_version(1)
        recorder.end_phase()
        await builders.wait_until(
            lambda: (
                not any(
                    daemon.active_version.closed_reason
                    for daemon in recorder.daemons.values()
                )
            )
        )
        recorder.add_states()
        self.assertEqual(
            recorder.lines, sessions.read_golden_file("herd-restart")
        )


if __name__ == "__main__":
    unittest.main()
