"""Work that may not be repeated runs at most once: failures, one by one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
import unittest

from aiohttp import web

from merlintrestle.requests.transport import headers
from tests.requests import builders
from tests.requests import fakes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_KEY = {headers.KEY: "ticket-7"}


class OnceTest(unittest.IsolatedAsyncioTestCase):
    """Payouts over two daemons with one store."""

    def setUp(self) -> None:
        self.begun = asyncio.Event()
        self.go_on = asyncio.Event()
        self.runs = 0

    async def pay(self, request: web.BaseRequest) -> web.StreamResponse:
        """Books a payout; its answer waits until the test lets it go."""
        await request.read()
        self.runs += 1
        self.begun.set()
        await self.go_on.wait()
        return web.Response(body=b"paid", headers={"X-Ticket": "7"})

    async def test_sent_again_through_another_daemon(self) -> None:
        """The caller gets the answer of the first run; nothing runs twice.

        The caller leaves while the payout runs at the first daemon, and sends
        it again to the second one. That one finds the claim of the first and
        asks it for the answer.
        """
        async with (
            builders.run_nodes(2, True, handler=self.pay) as (first, second),
            builders.open_client() as client,
        ):
            lost = asyncio.ensure_future(
                client.post(first.url + "/payouts", headers=_KEY)
            )
            await self.begun.wait()
            lost.cancel()
            again = asyncio.ensure_future(
                client.post(second.url + "/payouts", headers=_KEY)
            )
            self.go_on.set()
            answer = await again
            self.assertEqual(await answer.read(), b"paid")
            self.assertEqual(answer.headers["X-Ticket"], "7")
        self.assertEqual(self.runs, 1)

    async def test_holder_is_gone(self) -> None:
        """The caller hears "unknown"; nothing runs twice.

        The daemon that forwarded the payout dies before it has an answer.
        Nobody can tell whether the payout ran, so it must not run again.
        """
        async with (
            builders.run_nodes(2, True, handler=self.pay) as (first, second),
            builders.open_client() as client,
        ):
            lost = asyncio.ensure_future(
                client.post(first.url + "/payouts", headers=_KEY)
            )
            await self.begun.wait()
            await first.control.stop(0)
            answer = await client.post(second.url + "/payouts", headers=_KEY)
            self.assertEqual(answer.headers[headers.OUTCOME], "unknown")
            lost.cancel()
            self.go_on.set()
        self.assertEqual(self.runs, 1)

    async def test_store_is_down(self) -> None:
        """The caller hears "not run" at once, with when to come back."""
        store = fakes.Store()
        async with (
            builders.run_nodes(1, handler=self.pay, store=store) as (node,),
            builders.open_client() as client,
        ):
            store.fault = fakes.Fault.BEFORE
            answer = await client.post(node.url + "/payouts", headers=_KEY)
            self.assertEqual(answer.headers[headers.OUTCOME], "not-run")
            self.assertIn("Retry-After", answer.headers)
            self.assertEqual(self.runs, 0)
            store.fault = fakes.Fault.NONE
            self.go_on.set()
            answer = await client.post(node.url + "/payouts", headers=_KEY)
            self.assertEqual(await answer.read(), b"paid")

    async def test_answer_of_the_store_is_lost(self) -> None:
        """The caller gets its answer; the claim is read back as its own."""
        store = fakes.Store()
        store.faults = [fakes.Fault.NONE, fakes.Fault.AFTER]
        self.go_on.set()
        async with (
            builders.run_nodes(1, handler=self.pay, store=store) as (node,),
            builders.open_client() as client,
        ):
            answer = await client.post(node.url + "/payouts", headers=_KEY)
            self.assertEqual(await answer.read(), b"paid")
        self.assertEqual(self.runs, 1)

    async def test_answer_that_comes_too_late_is_kept(self) -> None:
        """The caller hears "unknown", asks again and gets the answer.

        The payout takes longer than the caller's deadline. The daemon waits
        on for its answer, so that the second sending need not be "unknown".
        """
        async with (
            builders.run_nodes(1, handler=self.pay) as (node,),
            builders.open_client() as client,
        ):
            answer = await client.post(
                node.url + "/payouts", headers={**_KEY, headers.DEADLINE: "50"}
            )
            self.assertEqual(answer.headers[headers.OUTCOME], "unknown")
            self.assertIn("Retry-After", answer.headers)
            self.go_on.set()
            answer = await client.post(node.url + "/payouts", headers=_KEY)
            self.assertEqual(await answer.read(), b"paid")
        self.assertEqual(self.runs, 1)

    async def test_backend_server_cannot_be_reached(self) -> None:
        """The caller hears "not run", and the key is free for a next try."""
        self.go_on.set()
        async with (
            builders.run_nodes(1, handler=self.pay) as (node,),
            builders.open_client() as client,
        ):
            own = node.proxy.backend
            own.address = "127.0.0.1:1"
            answer = await client.post(node.url + "/payouts", headers=_KEY)
            self.assertEqual(answer.headers[headers.OUTCOME], "not-run")
            own.announce("kassa", f"127.0.0.1:{node.backend.port}", 12)
            answer = await client.post(node.url + "/payouts", headers=_KEY)
            self.assertEqual(await answer.read(), b"paid")
        self.assertEqual(self.runs, 1)

    async def test_one_write_for_each_payout(self) -> None:
        store = fakes.Store()
        self.go_on.set()
        async with (
            builders.run_nodes(1, handler=self.pay, store=store) as (node,),
            builders.open_client() as client,
        ):
            for number in range(10):
                await client.post(
                    node.url + "/payouts", headers={headers.KEY: f"{number}"}
                )
        # One more for the lease of the hour.
        self.assertEqual(store.writes, 10 + 1)

    async def test_key_of_another_request(self) -> None:
        self.go_on.set()
        async with (
            builders.run_nodes(2, True, handler=self.pay) as (first, second),
            builders.open_client() as client,
        ):
            for node, data, status in (
                (first, b"1", 200),
                (second, b"2", 422),
                (first, b"2", 422),
                (second, b"1", 200),
            ):
                answer = await client.post(
                    node.url + "/payouts", headers=_KEY, data=data
                )
                self.assertEqual(answer.status, status)
        self.assertEqual(self.runs, 1)

    async def test_key_is_missing_or_too_long(self) -> None:
        async with (
            builders.run_nodes(1, handler=self.pay) as (node,),
            builders.open_client() as client,
        ):
            for key in ("", "k" * 256):
                answer = await client.post(
                    node.url + "/payouts", headers={headers.KEY: key}
                )
                self.assertEqual(answer.status, 400)
                self.assertEqual(answer.headers[headers.OUTCOME], "not-run")
        self.assertEqual(self.runs, 0)

    async def test_store_that_lost_its_leases(self) -> None:
        """The payout runs when it is sent again, not an hour later.

        The store forgot the lease under which the daemon writes its claims,
        as one that was restored may, and refuses each claim under it.
        """
        self.go_on.set()
        async with (
            builders.run_nodes(1, handler=self.pay) as (node,),
            builders.open_client() as client,
        ):
            statuses = []
            for number in range(3):
                answer = await client.post(
                    node.url + "/payouts", headers={headers.KEY: str(number)}
                )
                statuses.append(answer.status)
                if not number:
                    node.store.lose_leases()
            self.assertEqual(statuses, [200, 503, 200])

    async def test_claim_that_cannot_be_read(self) -> None:
        """The caller hears "unknown"; the daemon keeps nothing of it open.

        The record under the key is no claim, so nobody can be asked whether
        the payout ran.
        """
        async with (
            builders.run_nodes(1, handler=self.pay) as (node,),
            builders.open_client() as client,
        ):
            claims = node.proxy._local_runner.at_most_once._claims
            call = builders.build_call(key="ticket-7")
            lease_id = await node.store.grant_lease(1000)
            key = claims.build_key(call)
            await node.store.put(key, b"\xff\xff", 0, lease_id)
            answer = await client.post(node.url + "/payouts", headers=_KEY)
            self.assertEqual(answer.headers[headers.OUTCOME], "unknown")
            self.assertEqual(answer.status, 502)
            records = claims.ledger._records.values()
            self.assertTrue(all(one.ended.is_set() for one in records))
        self.assertEqual(self.runs, 0)

    async def test_long_payout_sent_in_another_form(self) -> None:
        """The caller hears "unknown", not "not run".

        The payout ran. Sent again in chunks where it had a length before, its
        long body cannot be compared: told "not run", the caller would take a
        new key, and pay twice.
        """
        self.go_on.set()
        body = bytes(100_000)

        async def send_in_chunks() -> AsyncIterator[bytes]:
            yield body

        async with (
            builders.run_nodes(1, handler=self.pay) as (node,),
            builders.open_client() as client,
        ):
            url = node.url + "/payouts"
            await client.post(url, headers=_KEY, data=body)
            again = await client.post(url, headers=_KEY, data=send_in_chunks())
            self.assertEqual(again.status, 422)
            self.assertEqual(again.headers[headers.OUTCOME], "unknown")
        self.assertEqual(self.runs, 1)

    async def test_long_payout_that_arrives_faster_the_second_time(
        self,
    ) -> None:
        """The second sending gets the answer of the first.

        Both are the same chunks. The first time they come one by one, the
        second time all at once, so that the whole body is there when the
        daemon looks; that must not make another request of it.
        """
        self.go_on.set()
        go_on = asyncio.Event()

        async def send_in_chunks() -> AsyncIterator[bytes]:
            yield bytes(70_000)
            await go_on.wait()
            yield bytes(10)

        async with (
            builders.run_nodes(1, handler=self.pay) as (node,),
            builders.open_client() as client,
        ):
            url = node.url + "/payouts"
            sending = asyncio.create_task(
                client.post(url, headers=_KEY, data=send_in_chunks())
            )
            while not node.served:
                await asyncio.sleep(0)
            go_on.set()
            await sending
            again = await client.post(url, headers=_KEY, data=send_in_chunks())
            self.assertEqual(await again.read(), b"paid")
        self.assertEqual(self.runs, 1)
