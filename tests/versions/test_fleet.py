"""Several daemons in one process, over loopback."""

from __future__ import annotations

import asyncio
from typing import Any
import unittest
from unittest import mock

from merlintrestle.members import peers as peers_lib
from merlintrestle.schema import control_pb2
from merlintrestle.versions import active_version as holder_lib
from tests.members import builders as member_builders
from tests.requests import relays
from tests.versions import builders


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Daemons that are stopped when a test ends."""

    async def asyncSetUp(self) -> None:
        self.configuration = builders.FakeConfiguration()
        self.daemons: list[builders.Daemon] = []

    async def asyncTearDown(self) -> None:
        await asyncio.gather(*(daemon.close() for daemon in self.daemons))

    async def start_daemons(self, count: int, **settings: Any) -> None:
        """Starts daemons whose seed is the first one."""
        for _ in range(count):
            seeds = [daemon.id for daemon in self.daemons[:1]]
            daemon = builders.Daemon(
                self.configuration, seeds=seeds, **settings
            )
            self.daemons.append(daemon)
            await daemon.start()

    async def wait_for_version(self, version: int) -> None:
        """Waits until all run a version."""
        await builders.wait_until(
            lambda: all(
                daemon.holder.version == version for daemon in self.daemons
            )
        )

    async def wait_for_state(
        self, member_id: str, *states: control_pb2.MemberState
    ) -> None:
        """Waits until all others hold a member for one of some states."""

        def check() -> bool:
            others = [one for one in self.daemons if one.id != member_id]
            held = [one.table.get(member_id) for one in others]
            return all(one is not None and one.state in states for one in held)

        await builders.wait_until(check)


def _forget_parts(stub: Any, channel: Any) -> None:
    """Makes a stub whose other side knows no call for parts."""
    stub.Fetch = channel.unary_unary(
        "/merlintrestle.control.Control/Fetch",
        request_serializer=control_pb2.FetchRequest.SerializeToString,
        response_deserializer=control_pb2.FetchReply.FromString,
    )
    stub.FetchParts = channel.unary_stream(
        "/merlintrestle.control.Control/Unknown",
        request_serializer=control_pb2.FetchRequest.SerializeToString,
        response_deserializer=control_pb2.FetchPart.FromString,
    )


class TransferTest(FleetCase):
    """What a whole version costs the links between daemons."""

    async def test_whole_version_travels_compressed(self) -> None:
        """Calls on a thin link are not held up by daemons that start.

        Each of them fetches the whole version from a peer. Its records are
        much alike; as they stand they filled the link for so long that a
        second peer was asked for the same.
        """
        services = [f"service-{number}" for number in range(1000)]
        await self.start_daemons(1)
        await self.configuration.accept(1, services)
        await self.wait_for_version(1)
        relay = relays.Relay(self.daemons[0].server.port)
        await relay.start()
        self.addAsyncCleanup(relay.close)
        peers = peers_lib.PeerClient()
        self.addAsyncCleanup(peers.close)
        request = control_pb2.FetchRequest(whole=True)
        address = f"127.0.0.1:{relay.port}"
        came: list[int] = []
        reply = await peers.fetch(
            address, request, builders.TEST_TIMEOUT_S, lambda: came.append(1)
        )
        self.assertEqual(reply.offer.version, 1)
        self.assertLess(relay.forwarded_bytes, reply.ByteSize() / 3)
        self.assertGreater(len(came), 0)

    async def test_daemon_of_an_earlier_release_is_asked_for_the_whole(self):
        """A release is rolled out and a new daemon fetches from an old one.

        The old one knows no call for parts. Taken for a failure, this would
        end the link to it as well, again with each fetch.
        """
        await self.start_daemons(1)
        await self.configuration.accept(1, ["balie"])
        await self.wait_for_version(1)
        peers = peers_lib.PeerClient()
        self.addAsyncCleanup(peers.close)
        address = self.daemons[0].id
        with mock.patch.object(
            peers_lib.control_pb2_grpc.ControlStub,
            "__init__",
            _forget_parts,
        ):
            reply = await peers.fetch(
                address, control_pb2.FetchRequest(), 5, lambda: None
            )
        self.assertEqual(reply.offer.version, 1)


class SpreadTest(FleetCase):
    """Spreading from the store to every daemon."""

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

    async def test_version_arrives_though_every_push_is_lost(self) -> None:
        """No offer and no delta is ever pushed.

        The offer in the heartbeats makes up for it: each neighbour hears
        that there is a newer version and fetches it.
        """
        await self.configuration.accept(1, ["balie"])
        await self.start_daemons(5)
        await self.wait_for_version(1)
        for daemon in self.daemons:
            links: Any = daemon.membership.links
            links.send_offer = _lose
        await self.configuration.accept(2, ["balie"])
        await self.wait_for_version(2)

    async def test_corrupted_pushes_are_fetched_whole(self) -> None:
        """Every delta that is pushed or fetched is corrupted on its way.

        Its digest does not match, nothing of it runs, and the whole snapshot
        is fetched in its place.
        """
        await self.configuration.accept(1, ["balie"])
        await self.start_daemons(4)
        await self.wait_for_version(1)
        for daemon in self.daemons:
            daemon.distribution.archive._make_delta = _corrupt(  # type: ignore[method-assign]
                daemon.distribution.archive._make_delta
            )
        await self.configuration.accept(2, ["balie", "kassa"])
        await self.wait_for_version(2)
        digests = {daemon.holder.running.digest for daemon in self.daemons}  # type: ignore[union-attr]
        self.assertEqual(len(digests), 1)

    async def test_fleet_without_a_version_is_closed(self) -> None:
        await self.start_daemons(2)
        await builders.wait_until(
            lambda: all(
                daemon.holder.closed_reason == holder_lib.NO_VERSION
                for daemon in self.daemons
            )
        )
        await self.configuration.accept(1, ["balie"])
        await self.wait_for_version(1)
        await builders.wait_until(
            lambda: not any(one.holder.closed_reason for one in self.daemons)
        )


class MembersTest(FleetCase):
    """Joining, leaving and dying."""

    async def test_announced_backend_is_known_everywhere(self) -> None:
        await self.start_daemons(5)
        self.daemons[0].table.set_backend(member_builders.build_backend())
        await builders.wait_until(
            lambda: all(
                len(one.table.get_upstreams("balie")) == 1
                for one in self.daemons
            )
        )
        self.daemons[0].table.leave()
        await builders.wait_until(
            lambda: (
                not any(
                    one.table.get_upstreams("balie") for one in self.daemons
                )
            )
        )

    async def test_killed_daemon_is_found_dead(self) -> None:
        await self.start_daemons(5)
        lost = self.daemons[2]
        lost.table.set_backend(member_builders.build_backend())
        await self.wait_for_state(lost.id, control_pb2.ALIVE)
        self.daemons.remove(lost)
        await lost.close()
        await self.wait_for_state(lost.id, control_pb2.DEAD)
        for daemon in self.daemons:
            self.assertEqual(daemon.table.get_upstreams("balie"), ())

    async def test_last_but_one_is_found_dead(self) -> None:
        await self.start_daemons(2)
        lost = self.daemons[1]
        await self.wait_for_state(lost.id, control_pb2.ALIVE)
        self.daemons.remove(lost)
        await lost.close()
        await self.wait_for_state(lost.id, control_pb2.DEAD)

    async def test_restarted_daemon_is_alive_again(self) -> None:
        await self.configuration.accept(1, ["balie"])
        await self.start_daemons(4)
        await self.wait_for_version(1)
        lost = self.daemons.pop()
        await lost.close()
        await self.wait_for_state(lost.id, control_pb2.DEAD)
        await self.start_daemons(1, port=lost.server.port)
        await self.wait_for_state(lost.id, control_pb2.ALIVE)
        await self.wait_for_version(1)

    async def test_daemon_declared_dead_by_mistake_comes_back(self) -> None:
        """A daemon stood still for so long that the fleet gave it up.

        It runs again with its old incarnation. Someone tells it that it is
        dead, it refutes, and gets work again.
        """
        await self.start_daemons(4)
        paused = self.daemons[1]
        for daemon in self.daemons:
            await self.wait_for_state(daemon.id, control_pb2.ALIVE)
        for daemon in self.daemons:
            if daemon is not paused:
                daemon.table.set_state(paused.id, control_pb2.DEAD)
        await self.wait_for_state(paused.id, control_pb2.ALIVE)

    async def test_strike_reaches_every_daemon_once(self) -> None:
        await self.start_daemons(5)
        for daemon in self.daemons:
            await self.wait_for_state(daemon.id, control_pb2.ALIVE)
        heard: list[str] = []
        for daemon in self.daemons[1:]:
            daemon.membership.links.on_strike.append(
                lambda strike, own_id=daemon.id: heard.append(own_id)  # type: ignore[misc]
            )
        strike = control_pb2.Strike(
            request_digest=b"d", crash_id="c", until_ms=2**62
        )
        await builders.wait_until(
            lambda: bool(self.daemons[0].membership.links.get_links())
        )
        self.daemons[0].membership.links.send_strike(strike)
        await builders.wait_until(lambda: len(heard) >= 4)
        self.assertEqual(len(set(heard)), len(heard))

    async def test_fleet_started_at_once_without_seeds_finds_itself(
        self,
    ) -> None:
        """All daemons start at once, no seeds are set, the store is empty.

        Each finds nobody and is alone. They meet by the records of seeds,
        which each of them writes; or they would stay apart for good.
        """
        self.daemons = [
            builders.Daemon(self.configuration, zone=zone)
            for zone in ("zone-a", "zone-b", "zone-a")
        ]
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        await builders.wait_until(
            lambda: all(
                len(one.table.list_usable_ids()) == 3 for one in self.daemons
            )
        )


class HerdTest(FleetCase):
    """All daemons restart at once."""

    async def restart_all(self) -> None:
        """Ends all daemons, then starts them at their addresses."""
        old = list(self.daemons)
        await asyncio.gather(*(daemon.close() for daemon in old))
        seeds = [daemon.id for daemon in old[:2]]
        self.daemons = [
            builders.Daemon(
                self.configuration, seeds=seeds, port=daemon.server.port
            )
            for daemon in old
        ]
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))

    async def test_herd_with_the_store_down_stays_closed(self) -> None:
        """All daemons restart while the store is down, then it returns.

        Nobody knows a floor, so all are closed. When the store returns, all
        open with its head, and its watchers alone read it more than once.
        """
        await self.configuration.accept(1, ["balie"])
        await self.start_daemons(6)
        await self.wait_for_version(1)
        await self.configuration.fail()
        await self.restart_all()
        reads = self.configuration.reads
        await builders.wait_until(lambda: self.configuration.reads > reads + 10)
        for daemon in self.daemons:
            self.assertEqual(daemon.holder.closed_reason, holder_lib.NO_FLOOR)
            self.assertIsNone(daemon.holder.running)
        self.configuration.down = False
        await self.wait_for_version(1)
        await builders.wait_until(
            lambda: not any(one.holder.closed_reason for one in self.daemons)
        )

    async def test_one_restarts_with_the_store_down(self) -> None:
        """One daemon restarts during an outage and opens by its witnesses."""
        await self.configuration.accept(1, ["balie"])
        await self.start_daemons(5)
        await self.wait_for_version(1)
        await self.configuration.fail()
        asked = control_pb2.FloorRequest(member_id=self.daemons[-1].id)
        needed_ms = 2000 * member_builders.FAST_TIMING.min_witness_uptime_s
        await builders.wait_until(
            lambda: all(
                one.distribution.witness.answer(asked, 0).memory_ms > needed_ms
                for one in self.daemons
            )
        )
        lost = self.daemons.pop()
        await lost.close()
        await self.start_daemons(1, port=lost.server.port)
        again = self.daemons[-1]
        await self.wait_for_version(1)
        self.assertEqual(again.holder.closed_reason, "")


def _lose(*arguments: Any) -> None:
    del arguments


def _corrupt(make_delta: Any) -> Any:
    def make(base: Any) -> Any:
        delta = make_delta(base)
        if delta is not None and delta.changed:
            delta.changed[0].value += b"x"
        return delta

    return make


if __name__ == "__main__":
    unittest.main()
