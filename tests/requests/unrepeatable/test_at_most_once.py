"""Tests that calls which may not be repeated run at most once."""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING
import unittest

from aiohttp import web

from merlintrestle.requests.transport import headers
from tests.requests import builders
from tests.requests import fakes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_KEY = {headers.IDEMPOTENCY_KEY: "ticket-7"}


class _HeldStore(fakes.FakeStore):
    """Store that answers no write before the test allows it.

    Attributes:
        called: Set once a write has arrived.
        may_answer: Set by the test.
    """

    def __init__(self) -> None:
        super().__init__()
        self.called = asyncio.Event()
        self.may_answer = asyncio.Event()

    async def put(self, *arguments: Any) -> Any:
        """Writes a key once the test allows it."""
        self.called.set()
        await self.may_answer.wait()
        return await super().put(*arguments)


class AtMostOnceTest(unittest.IsolatedAsyncioTestCase):
    """Payouts through one or two daemons with one store; single failures."""

    def setUp(self) -> None:
        self.started = asyncio.Event()
        self.may_answer = asyncio.Event()
        self.runs = 0

    async def pay(self, request: web.BaseRequest) -> web.StreamResponse:
        """Counts a payout as run; answers once the test sets `may_answer`."""
        await request.read()
        self.runs += 1
        self.started.set()
        await self.may_answer.wait()
        return web.Response(body=b"paid", headers={"X-Ticket": "7"})

    async def test_retry_through_another_daemon(self) -> None:
        """The caller gets the answer of the first run; nothing runs twice.

        The caller disconnects while the payout runs at the first daemon, and
        retries at the second one, which finds the claim and requests the answer
        from its holder, the first daemon.
        """
        async with (
            builders.run_nodes(2, True, handler=self.pay) as (first, second),
            builders.open_client() as client,
        ):
            abandoned = asyncio.ensure_future(
                client.post(first.url + "/payouts", headers=_KEY)
            )
            await self.started.wait()
            abandoned.cancel()
            retry = asyncio.ensure_future(
                client.post(second.url + "/payouts", headers=_KEY)
            )
            self.may_answer.set()
            answer = await retry
            self.assertEqual(await answer.read(), b"paid")
            self.assertEqual(answer.headers["X-Ticket"], "7")
        self.assertEqual(self.runs, 1)

    async def test_server_that_leaves_during_the_claim_gets_no_payout(
        self,
    ) -> None:
        """Guards against a payout that reaches a server after its leave."""
        store = _HeldStore()
        self.may_answer.set()
        async with (
            builders.run_nodes(1, handler=self.pay, store=store) as (node,),
            builders.open_client() as client,
        ):
            payout = asyncio.ensure_future(
                client.post(node.url + "/payouts", headers=_KEY)
            )
            await store.called.wait()
            node.proxy.backend.retire()
            store.may_answer.set()
            answer = await payout
        self.assertEqual(answer.headers[headers.OUTCOME], "not-run")
        self.assertEqual(self.runs, 0)

    async def test_holder_is_gone(self) -> None:
        """The caller gets "unknown"; nothing runs twice.

        The daemon that forwarded the payout fails before it has an answer. It
        is unknown whether the payout ran, so it must not run again.
        """
        async with (
            builders.run_nodes(2, True, handler=self.pay) as (first, second),
            builders.open_client() as client,
        ):
            abandoned = asyncio.ensure_future(
                client.post(first.url + "/payouts", headers=_KEY)
            )
            await self.started.wait()
            await first.control.stop(0)
            answer = await client.post(second.url + "/payouts", headers=_KEY)
            self.assertEqual(answer.headers[headers.OUTCOME], "unknown")
            abandoned.cancel()
            self.may_answer.set()
        self.assertEqual(self.runs, 1)

    async def test_store_is_down(self) -> None:
        """The caller gets "not run" with Retry-After at once."""
        store = fakes.FakeStore()
        async with (
            builders.run_nodes(1, handler=self.pay, store=store) as (node,),
            builders.open_client() as client,
        ):
            store.fault = fakes.Fault.REQUEST_LOST
            answer = await client.post(node.url + "/payouts", headers=_KEY)
            self.assertEqual(answer.headers[headers.OUTCOME], "not-run")
            self.assertIn("Retry-After", answer.headers)
            self.assertEqual(self.runs, 0)
            store.fault = fakes.Fault.NONE
            self.may_answer.set()
            answer = await client.post(node.url + "/payouts", headers=_KEY)
            self.assertEqual(await answer.read(), b"paid")

    async def test_answer_of_the_store_is_lost(self) -> None:
        """The caller gets its answer, because the claim is read again.

        The store writes the claim, but its reply is lost.
        """
        store = fakes.FakeStore()
        store.faults = [fakes.Fault.NONE, fakes.Fault.REPLY_LOST]
        self.may_answer.set()
        async with (
            builders.run_nodes(1, handler=self.pay, store=store) as (node,),
            builders.open_client() as client,
        ):
            answer = await client.post(node.url + "/payouts", headers=_KEY)
            self.assertEqual(await answer.read(), b"paid")
        self.assertEqual(self.runs, 1)

    async def test_answer_that_comes_too_late_is_kept(self) -> None:
        """The caller gets "unknown", retries and gets the answer.

        The payout ends after the caller's deadline. The daemon continues to
        wait for the answer, so that the retry gets it.
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
            self.may_answer.set()
            answer = await client.post(node.url + "/payouts", headers=_KEY)
            self.assertEqual(await answer.read(), b"paid")
        self.assertEqual(self.runs, 1)

    async def test_backend_server_cannot_be_reached(self) -> None:
        """The caller gets "not run", and a retry may use the same key."""
        self.may_answer.set()
        async with (
            builders.run_nodes(1, handler=self.pay) as (node,),
            builders.open_client() as client,
        ):
            backend = node.proxy.backend
            backend.address = "127.0.0.1:1"
            answer = await client.post(node.url + "/payouts", headers=_KEY)
            self.assertEqual(answer.headers[headers.OUTCOME], "not-run")
            backend.announce("kassa", f"127.0.0.1:{node.backend.port}", 12)
            answer = await client.post(node.url + "/payouts", headers=_KEY)
            self.assertEqual(await answer.read(), b"paid")
        self.assertEqual(self.runs, 1)

    async def test_one_write_for_each_payout(self) -> None:
        """Guards against more than one write to the store for each payout."""
        store = fakes.FakeStore()
        self.may_answer.set()
        async with (
            builders.run_nodes(1, handler=self.pay, store=store) as (node,),
            builders.open_client() as client,
        ):
            for number in range(10):
                await client.post(
                    node.url + "/payouts",
                    headers={headers.IDEMPOTENCY_KEY: f"{number}"},
                )
        # One further write for the lease.
        self.assertEqual(store.writes, 10 + 1)

    async def test_key_of_another_request(self) -> None:
        """Guards against a caller that gets the answer to another request.

        Two requests have the same key and different bodies. The second one is
        refused by both daemons; the first one, if repeated, gets its answer.
        """
        self.may_answer.set()
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
                    node.url + "/payouts",
                    headers={headers.IDEMPOTENCY_KEY: key},
                )
                self.assertEqual(answer.status, 400)
                self.assertEqual(answer.headers[headers.OUTCOME], "not-run")
        self.assertEqual(self.runs, 0)

    async def test_store_that_lost_its_leases(self) -> None:
        """After one refusal, payouts run at once and not up to an hour later.

        The store does not know the lease of the daemon any more, as can happen
        when a store is restored, and refuses each claim under that lease.
        """
        self.may_answer.set()
        async with (
            builders.run_nodes(1, handler=self.pay) as (node,),
            builders.open_client() as client,
        ):
            statuses = []
            for number in range(3):
                answer = await client.post(
                    node.url + "/payouts",
                    headers={headers.IDEMPOTENCY_KEY: str(number)},
                )
                statuses.append(answer.status)
                if not number:
                    node.store.lose_leases()
            self.assertEqual(statuses, [200, 503, 200])

    async def test_claim_that_cannot_be_read(self) -> None:
        """The caller gets "unknown", and the record of the new claim is ended.

        The value under the key is not a valid claim, so there is no holder that
        could state whether the payout ran.
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
            self.assertTrue(
                all(record.ended_event.is_set() for record in records)
            )
        self.assertEqual(self.runs, 0)

    async def test_long_payout_sent_in_another_form(self) -> None:
        """The caller gets "unknown", not "not run".

        The payout is first sent with a length and runs, and is then sent again
        in chunks. Its long body is not buffered and cannot be compared. If the
        caller got "not run", it would use a new key and pay twice.
        """
        self.may_answer.set()
        body = bytes(100_000)

        async def send_in_chunks() -> AsyncIterator[bytes]:
            yield body

        async with (
            builders.run_nodes(1, handler=self.pay) as (node,),
            builders.open_client() as client,
        ):
            url = node.url + "/payouts"
            await client.post(url, headers=_KEY, data=body)
            retry = await client.post(url, headers=_KEY, data=send_in_chunks())
            self.assertEqual(retry.status, 422)
            self.assertEqual(retry.headers[headers.OUTCOME], "unknown")
        self.assertEqual(self.runs, 1)

    async def test_long_payout_that_arrives_faster_the_second_time(
        self,
    ) -> None:
        """The retry gets the answer of the first attempt.

        Both send the same chunks, first one by one and then all at once, so
        that the whole body of the retry has arrived when the daemon reads it.
        The retry must still be recognised as the same request.
        """
        self.may_answer.set()
        may_send = asyncio.Event()

        async def send_in_chunks() -> AsyncIterator[bytes]:
            yield bytes(70_000)
            await may_send.wait()
            yield bytes(10)

        async with (
            builders.run_nodes(1, handler=self.pay) as (node,),
            builders.open_client() as client,
        ):
            url = node.url + "/payouts"
            first_post = asyncio.create_task(
                client.post(url, headers=_KEY, data=send_in_chunks())
            )
            while not node.served:
                await asyncio.sleep(0)
            may_send.set()
            await first_post
            retry = await client.post(url, headers=_KEY, data=send_in_chunks())
            self.assertEqual(await retry.read(), b"paid")
        self.assertEqual(self.runs, 1)
