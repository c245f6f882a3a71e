"""Tests of replies to recalls that arrive after the reply margin."""

from __future__ import annotations

import asyncio
from typing import Any
import unittest
from unittest import mock

from merlintrestle.requests.transport import headers
from merlintrestle.requests.unrepeatable import recall
from tests.requests import builders
from tests.requests.unrepeatable import payouts

_KEY = {headers.IDEMPOTENCY_KEY: "ticket-7"}
# Value of `recall._REPLY_MARGIN_S` in the test: the time within which a reply
# must arrive after the wait that its recall allows.
_REPLY_MARGIN_S = 0.2


class LateHolderTest(unittest.IsolatedAsyncioTestCase):
    async def test_holder_that_answers_late_is_not_gone(self) -> None:
        """A reply after the margin counts: the payout is not "unknown"."""
        payout = payouts.SlowPayout()
        async with (
            builders.run_nodes(2, True, handler=payout.run) as (first, second),
            builders.open_client() as client,
        ):
            await payout.send_and_leave(client, first, _KEY)
            recalls = first.proxy.recall_servicer
            answer_recall = recalls._claims.answer_recall

            async def answer_late(*arguments: Any) -> Any:
                reply = await answer_recall(*arguments)
                await asyncio.sleep(2 * _REPLY_MARGIN_S)
                payout.may_answer.set()
                return reply

            with (
                mock.patch.object(recall, "_REPLY_MARGIN_S", _REPLY_MARGIN_S),
                mock.patch.object(
                    recalls._claims, "answer_recall", answer_late
                ),
            ):
                answer = await client.post(
                    second.url + "/payouts", headers=_KEY
                )
                self.assertEqual(
                    (answer.status, await answer.read()), (200, b"paid")
                )
            payout.may_answer.set()
        self.assertEqual(len(payout.runs), 1)
