"""Tests of the requests of a daemon for tokens, in virtual time."""

from __future__ import annotations

import asyncio
from typing import Any
import unittest

from merlintrestle.members import peers
from merlintrestle.quotas import account as accounts
from merlintrestle.quotas import bounds as bounds_lib
from merlintrestle.quotas import refills as refills_lib
from merlintrestle.schema import quota_pb2
from tests.quotas import builders


class _Coordinator:
    """A coordinator that grants all that is requested.

    Attributes:
        is_silent: Whether it does not answer.
        retry_after_ms: If set, it grants nothing.
    """

    def __init__(self) -> None:
        self.epoch = 1
        self.member_id = "c"
        self.is_silent = False
        self.retry_after_ms = 0
        self.requests: list[quota_pb2.RefillRequest] = []

    async def send(
        self, member_id: str, request: quota_pb2.RefillRequest
    ) -> quota_pb2.RefillReply:
        """Answers a request after some milliseconds."""
        del member_id
        self.requests.append(request)
        await asyncio.sleep(0.02)
        if self.is_silent:
            await asyncio.sleep(0.8)
            raise peers.PeerSilentError("silent")
        reply = quota_pb2.RefillReply(coordinator=True, epoch=request.epoch)
        for report in request.workspaces:
            reply.workspaces.add(
                workspace=report.workspace,
                granted=0 if self.retry_after_ms else report.needed,
                retry_after_ms=self.retry_after_ms,
            )
        return reply


class RefillsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.coordinator = _Coordinator()
        self.workspace = builders.build_workspace("w", 10, 10)

    def play(self, act: Any) -> None:
        """Runs a test function with the requests of a daemon."""

        async def play() -> None:
            self.account = accounts.Account(builders.get_time)
            self.refills = refills_lib.Refills(
                self.account,
                self.coordinator,
                self.coordinator.send,
                "d",
                7,
                bounds_lib.Bounds(),
                builders.get_time,
            )
            task = asyncio.create_task(self.refills.run())
            await act()
            task.cancel()

        builders.run(play)

    async def spend(self, timeout_s: float = 0.3) -> Any:
        if self.account.try_spend("w"):
            return None
        return await self.refills.spend(self.workspace, timeout_s)

    def test_call_waits_for_the_reply_to_its_need(self) -> None:
        """Guards against calls that a reply to an earlier request decides."""

        async def act() -> None:
            first = asyncio.create_task(self.spend())
            await asyncio.sleep(0.06)
            second = asyncio.create_task(self.spend())
            self.assertIsNone(await first)
            self.assertIsNone(await second)

        self.play(act)

    def test_refused_workspace_causes_no_request_for_each_call(self) -> None:
        """Guards against refusals that cost a request."""
        self.coordinator.retry_after_ms = 1500

        async def act() -> None:
            refusals = []
            for _ in range(100):
                refusals.append(await self.spend())
                await asyncio.sleep(0.01)
            self.assertEqual({refusal.status for refusal in refusals}, {429})
            self.assertLessEqual(refusals[-1].retry_after_s, 1.5)
            self.assertLessEqual(len(self.coordinator.requests), 4)

        self.play(act)

    def test_silent_coordinator_is_not_waited_for_by_each_call(self) -> None:
        """Guards against calls that all wait while nobody grants tokens."""
        self.coordinator.is_silent = True

        async def act() -> None:
            self.assertEqual((await self.spend()).status, 503)
            await asyncio.sleep(1)
            before = builders.get_time()
            self.assertEqual((await self.spend()).status, 503)
            self.assertEqual(builders.get_time(), before)

        self.play(act)

    def test_new_coordinator_is_asked_at_once(self) -> None:
        """Guards against daemons that wait for the reply of a frozen one."""
        self.coordinator.is_silent = True

        async def act() -> None:
            call = asyncio.create_task(self.spend())
            await asyncio.sleep(0.1)
            self.coordinator.is_silent = False
            self.coordinator.epoch = 2
            self.refills.handle_new_coordinator()
            self.assertIsNone(await call)
            self.assertEqual(self.coordinator.requests[-1].epoch, 2)

        self.play(act)

    def test_cancelled_call_leaves_its_token(self) -> None:
        """Guards against callers that disconnect and use up the quota."""

        async def act() -> None:
            call = asyncio.create_task(self.spend())
            await asyncio.sleep(0.06)
            call.cancel()
            await asyncio.sleep(0.1)
            self.assertEqual(self.account.spent, 0)
            self.assertTrue(self.account.try_spend("w"))

        self.play(act)
