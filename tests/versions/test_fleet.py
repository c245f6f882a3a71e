"""Tests of several daemons in a process, connected over loopback."""

from __future__ import annotations

import asyncio
from typing import Any
import unittest
from unittest import mock

from merlintrestle.members import peers as peers_lib
from merlintrestle.schema import control_pb2
from merlintrestle.versions import active_version as active_version_lib
from tests.members import builders as member_builders
from tests.requests import relays
from tests.versions import builders


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Base for tests with daemons, which are stopped when a test ends."""

    async def asyncSetUp(self) -> None:
        self.configuration = builders.FakeConfiguration()
        self.daemons: list[builders.Daemon] = []

    async def asyncTearDown(self) -> None:
        await asyncio.gather(*(daemon.close() for daemon in self.daemons))

    async def start_daemons(self, count: int, **settings: Any) -> None:
        """Starts daemons; the first one is the seed of the others."""
        for _ in range(count):
            seeds = [daemon.id for daemon in self.daemons[:1]]
            daemon = builders.Daemon(
                self.configuration, seeds=seeds, **settings
            )
            self.daemons.append(daemon)
            await daemon.start()

    async def wait_for_version(self, version: int) -> None:
        """Waits until all daemons run a version."""
        await builders.wait_until(
            lambda: all(
                daemon.active_version.version == version
                for daemon in self.daemons
            )
        )

    async def wait_for_state(
        self, member_id: str, *states: control_pb2.MemberState
    ) -> None:
        """Waits until a member has one of the states in all other tables."""

        def has_state() -> bool:
            peers = [
                daemon for daemon in self.daemons if daemon.id != member_id
            ]
            members = [daemon.table.get(member_id) for daemon in peers]
            return all(
                member is not None and member.state in states
                for member in members
            )

        await builders.wait_until(has_state)


def _omit_fetch_parts(stub: Any, channel: Any) -> None:
    """Creates a stub whose server does not support `FetchParts`."""
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
    """Transfers of whole versions between daemons."""

    async def test_whole_version_is_compressed(self) -> None:
        """A starting daemon fetches the whole version over a slow link.

        An uncompressed version would fill the link, delay calls, and take so
        long that the fetch would be hedged with a second peer. The records of
        a version are similar and compress well.
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
        parts: list[int] = []
        reply = await peers.fetch(
            address, request, builders.TEST_TIMEOUT_S, lambda: parts.append(1)
        )
        self.assertEqual(reply.offer.version, 1)
        self.assertLess(relay.forwarded_bytes, reply.ByteSize() / 3)
        self.assertGreater(len(parts), 0)

    async def test_daemon_of_an_earlier_release_sends_the_whole_version(self):
        """During an upgrade, a new daemon fetches from an old one.

        The old one does not support `FetchParts`. If this were treated as a
        failure, the link to it would be closed as well, on every fetch.
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
            _omit_fetch_parts,
        ):
            reply = await peers.fetch(
                address, control_pb2.FetchRequest(), 5, lambda: None
            )
        self.assertEqual(reply.offer.version, 1)


class SpreadTest(FleetCase):
    """Distribution from the store to every daemon."""

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
                    self.assertEqual(daemon.active_version.closed_reason, "")

    async def test_watches_do_not_grow_with_the_fleet(self) -> None:
        """Guards against a watch of the store by every daemon.

        All daemons are in one zone, and each zone has two watchers.
        """
        await self.configuration.accept(1, ["balie"])
        await self.start_daemons(8)
        await self.wait_for_version(1)
        await builders.wait_until(lambda: self.configuration.open_watches == 2)

    async def test_version_arrives_although_every_push_is_lost(self) -> None:
        """No offer and no delta is ever pushed.

        The heartbeats also contain the offer, so each neighbour receives the
        newer version number and fetches the version.
        """
        await self.configuration.accept(1, ["balie"])
        await self.start_daemons(5)
        await self.wait_for_version(1)
        for daemon in self.daemons:
            links: Any = daemon.membership.links
            links.send_offer = _discard
        await self.configuration.accept(2, ["balie"])
        await self.wait_for_version(2)

    async def test_corrupted_pushes_are_fetched_whole(self) -> None:
        """Every delta that is pushed or fetched is corrupted in transit.

        The digest does not match, so no part of it runs, and the whole
        snapshot is fetched instead.
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
        digests = {
            daemon.active_version.active_snapshot.digest  # type: ignore[union-attr]
            for daemon in self.daemons
        }
        self.assertEqual(len(digests), 1)

    async def test_fleet_without_a_version_is_closed(self) -> None:
        await self.start_daemons(2)
        await builders.wait_until(
            lambda: all(
                daemon.active_version.closed_reason
                == active_version_lib.NO_VERSION
                for daemon in self.daemons
            )
        )
        await self.configuration.accept(1, ["balie"])
        await self.wait_for_version(1)
        await builders.wait_until(
            lambda: (
                not any(
                    daemon.active_version.closed_reason
                    for daemon in self.daemons
                )
            )
        )


class MembersTest(FleetCase):
    """Daemons that join, leave and die."""

    async def test_announced_backend_is_known_everywhere(self) -> None:
        await self.start_daemons(5)
        self.daemons[0].table.set_backend(member_builders.build_backend())
        await builders.wait_until(
            lambda: all(
                len(daemon.table.get_upstreams("balie")) == 1
                for daemon in self.daemons
            )
        )
        self.daemons[0].table.leave()
        await builders.wait_until(
            lambda: (
                not any(
                    daemon.table.get_upstreams("balie")
                    for daemon in self.daemons
                )
            )
        )

    async def test_killed_daemon_is_found_dead(self) -> None:
        await self.start_daemons(5)
        stopped = self.daemons[2]
        stopped.table.set_backend(member_builders.build_backend())
        await self.wait_for_state(stopped.id, control_pb2.ALIVE)
        self.daemons.remove(stopped)
        await stopped.close()
        await self.wait_for_state(stopped.id, control_pb2.DEAD)
        for daemon in self.daemons:
            self.assertEqual(daemon.table.get_upstreams("balie"), ())

    async def test_only_peer_is_found_dead(self) -> None:
        await self.start_daemons(2)
        stopped = self.daemons[1]
        await self.wait_for_state(stopped.id, control_pb2.ALIVE)
        self.daemons.remove(stopped)
        await stopped.close()
        await self.wait_for_state(stopped.id, control_pb2.DEAD)

    async def test_restarted_daemon_is_alive_again(self) -> None:
        await self.configuration.accept(1, ["balie"])
        await self.start_daemons(4)
        await self.wait_for_version(1)
        stopped = self.daemons.pop()
        await stopped.close()
        await self.wait_for_state(stopped.id, control_pb2.DEAD)
        await self.start_daemons(1, port=stopped.server.port)
        await self.wait_for_state(stopped.id, control_pb2.ALIVE)
        await self.wait_for_version(1)

    async def test_daemon_declared_dead_by_mistake_comes_back(self) -> None:
        """A daemon was paused for so long that the fleet declared it dead.

        It resumes with its old incarnation. A peer sends it a record that
        declares it dead; it refutes this and receives calls again.
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
        receivers: list[str] = []
        for daemon in self.daemons[1:]:
            daemon.membership.links.on_strike.append(
                lambda strike, member_id=daemon.id: receivers.append(member_id)  # type: ignore[misc]
            )
        strike = control_pb2.Strike(
            request_digest=b"d", crash_id="c", until_ms=2**62
        )
        await builders.wait_until(
            lambda: bool(self.daemons[0].membership.links.get_links())
        )
        self.daemons[0].membership.links.send_strike(strike)
        await builders.wait_until(lambda: len(receivers) >= 4)
        self.assertEqual(len(set(receivers)), len(receivers))

    async def test_fleet_started_at_once_without_seeds_connects(
        self,
    ) -> None:
        """All daemons start at once without seeds, and the store is empty.

        Each finds no peer. They find each other through the seed records that
        each of them writes; otherwise they would never connect.
        """
        self.daemons = [
            builders.Daemon(self.configuration, zone=zone)
            for zone in ("zone-a", "zone-b", "zone-a")
        ]
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        await builders.wait_until(
            lambda: all(
                len(daemon.table.list_usable_ids()) == 3
                for daemon in self.daemons
            )
        )


class MassRestartTest(FleetCase):
    """All daemons restart at once."""

    async def restart_all(self) -> None:
        """Stops all daemons, then starts them at the same addresses."""
        previous = list(self.daemons)
        await asyncio.gather(*(daemon.close() for daemon in previous))
        seeds = [daemon.id for daemon in previous[:2]]
        self.daemons = [
            builders.Daemon(
                self.configuration, seeds=seeds, port=daemon.server.port
            )
            for daemon in previous
        ]
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))

    async def test_fleet_with_the_store_down_stays_closed(self) -> None:
        """All daemons restart while the store is down, then it recovers.

        No daemon knows a floor, so all are closed. When the store recovers,
        all open with its head.
        """
        await self.configuration.accept(1, ["balie"])
        await self.start_daemons(6)
        await self.wait_for_version(1)
        await self.configuration.fail()
        await self.restart_all()
        reads = self.configuration.reads
        await builders.wait_until(lambda: self.configuration.reads > reads + 10)
        for daemon in self.daemons:
            self.assertEqual(
                daemon.active_version.closed_reason, active_version_lib.NO_FLOOR
            )
            self.assertIsNone(daemon.active_version.active_snapshot)
        self.configuration.down = False
        await self.wait_for_version(1)
        await builders.wait_until(
            lambda: (
                not any(
                    daemon.active_version.closed_reason
                    for daemon in self.daemons
                )
            )
        )

    async def test_daemon_restarts_with_the_store_down(self) -> None:
        """A daemon restarts in an outage and opens through its witnesses."""
        await self.configuration.accept(1, ["balie"])
        await self.start_daemons(5)
        await self.wait_for_version(1)
        await self.configuration.fail()
        request = control_pb2.FloorRequest(member_id=self.daemons[-1].id)
        # Twice the minimum, in ms.
        uptime_ms = 2000 * member_builders.FAST_TIMING.min_witness_uptime_s
        await builders.wait_until(
            lambda: all(
                daemon.distribution.witness.answer_floor(request, 0).memory_ms
                > uptime_ms
                for daemon in self.daemons
            )
        )
        stopped = self.daemons.pop()
        await stopped.close()
        await self.start_daemons(1, port=stopped.server.port)
        restarted = self.daemons[-1]
        await self.wait_for_version(1)
        self.assertEqual(restarted.active_version.closed_reason, "")


def _discard(*arguments: Any) -> None:
    del arguments


def _corrupt(make_delta: Any) -> Any:
    def make_corrupted(base: Any) -> Any:
        delta = make_delta(base)
        if delta is not None and delta.changed:
            delta.changed[0].value += b"x"
        return delta

    return make_corrupted


if __name__ == "__main__":
    unittest.main()
