"""Whole daemons beside entries of the store that another writer left odd."""

from __future__ import annotations

import asyncio
import json
import unittest
from unittest import mock

from merlintrestle.platform import store as stores
from merlintrestle.schema import control_pb2
from merlintrestle.versions import watcher
from tests.platform import builders
from tests.platform import fleets

_DEEP = b"[" * 200_000
_DEEP_WHOLE = b"[" * 900 + b"]" * 900
_ORDER = {"service": "balie", "targetVersion": "v2", "durationS": 12}
_MANY_DIGITS = b"9" * 4000


def _build_orders() -> dict[str, bytes]:
    """Returns odd roll-out orders by the last part of their key."""
    order = json.dumps(_ORDER).encode()
    return {
        "deep": _DEEP,
        "deep-object": b'{"a":' * 200_000,
        "deep-whole": _DEEP_WHOLE,
        "deep-field": order[:-1] + b', "x": ' + _DEEP_WHOLE + b"}",
        "balie": order.replace(b'"v2"', _DEEP_WHOLE),
        "digits": order.replace(b"12", _MANY_DIGITS),
        "surrogate": order.replace(b"balie", b"\\ud800"),
    }


def _build_seed(address: str) -> bytes:
    members = [control_pb2.Member(id=address)]
    return control_pb2.MembersReply(members=members).SerializeToString()


class OddEntriesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = fleets.Fleet()
        self.addAsyncCleanup(self.fleet.aclose)
        await self.fleet.start("balie", "kassa")

    async def check_daemons(self) -> None:
        """Checks that all daemons run, follow the store and can be started."""
        await asyncio.sleep(1.5)
        await self.fleet.add_daemon("kassa")
        await asyncio.sleep(1.0)
        await self.fleet.store.write(
            stores.CONFIGURATION_KEY, builders.build_configuration(6)
        )
        async with asyncio.timeout(fleets.TEST_TIMEOUT_S):
            for daemon in self.fleet.daemons:
                while daemon.version < 6 and not daemon.crashed:
                    await asyncio.sleep(0.01)
        self.assertFalse(any(daemon.crashed for daemon in self.fleet.daemons))
        for index in range(len(self.fleet.daemons)):
            self.assertEqual((await self.fleet.send(index))[0], 200)

    async def test_odd_orders_end_no_daemon(self) -> None:
        """Guards against one odd order that ends all daemons, every time."""
        for name, value in _build_orders().items():
            await self.fleet.store.write(f"op/rollout/{name}", value)
        await self.check_daemons()

    async def test_an_unexpected_exception_ends_no_daemon(self) -> None:
        """Guards against one exception in a task that ends the process."""
        error = RuntimeError("unexpected")
        with mock.patch.object(
            watcher.Watcher, "read_and_compile_head", side_effect=error
        ):
            await asyncio.sleep(3.0)
        await self.check_daemons()

    async def test_odd_seeds_end_no_daemon(self) -> None:
        """Guards against a seed whose port has thousands of digits."""
        for number, address in enumerate(
            (
                "127.0.0.1:" + "9" * 5000,
                "127.0.0.1:70000",
                "127.0.0.1:-1",
                "9" * 5000 + ":1",
                "127.0.0.1:\u0661",
            )
        ):
            await self.fleet.store.write(
                f"{stores.PRODUCT_PREFIX}seeds/odd{number}",
                _build_seed(address),
            )
        await self.check_daemons()

    async def test_odd_configurations_end_no_daemon(self) -> None:
        """Guards against a record that ends each daemon that reads it."""
        for value in (
            _DEEP,
            _DEEP_WHOLE,
            b'{"version": "' + b"f" * 4000 + b'"}',
            b'{"version": "f_f"}',
        ):
            await self.fleet.store.write(stores.CONFIGURATION_KEY, value)
            await asyncio.sleep(0.3)
        await self.check_daemons()


if __name__ == "__main__":
    unittest.main()
