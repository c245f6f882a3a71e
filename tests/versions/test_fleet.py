"""Several daemons in one process, over loopback."""

from __future__ import annotations

from typing import Any
import unittest

from tests.versions import builders


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Spreading from the store to every daemon."""

    async def asyncSetUp(self) -> None:
        self.configuration = builders.FakeConfiguration()
        self.daemons: list[builders.Daemon] = []

    async def asyncTearDown(self) -> None:
        for daemon in self.daemons:
            await daemon.close()

    async def start_daemons(self, count: int, **settings: Any) -> None:
        for _ in range(count):
            seeds = [daemon.id for daemon in self.daemons[:1]]
            daemon = builders.Daemon(
                self.configuration, seeds=seeds, **settings
            )
            self.daemons.append(daemon)
            await daemon.start()

    async def wait_for_version(self, version: int) -> None:
        await builders.wait_until(
            lambda: all(
                daemon.holder.version == version for daemon in self.daemons
            )
        )

    async def test_accepted_version_reaches_every_daemon(self) -> None:
        for spread in ("fast", "lean"):
            with self.subTest(spread=spread):
                await self.asyncTearDown()
                await self.asyncSetUp()
                await self.configuration.accept(1, ["balie"])
                await self.start_daemons(6, spread=spread)
                await self.wait_for_version(1)
                for version in range(2, 5):
                    await self.configuration.accept(version, ["balie", "kassa"])
                    await self.wait_for_version(version)
                for daemon in self.daemons:
                    self.assertEqual(daemon.holder.closed_reason, "")

    async def test_watches_do_not_grow_with_the_fleet(self) -> None:
        await self.configuration.accept(1, ["balie"])
        await self.start_daemons(8)
        await self.wait_for_version(1)
        await builders.wait_until(lambda: self.configuration.watches == 2)


if __name__ == "__main__":
    unittest.main()
