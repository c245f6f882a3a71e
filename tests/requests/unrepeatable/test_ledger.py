"""Tests of the memory that records of claims take."""

from __future__ import annotations

import asyncio
import unittest

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.unrepeatable import ledger as ledgers
from merlintrestle.schema import request_pb2


def build_answer(header_bytes: int, body_bytes: int) -> outcomes.Replayed:
    """Builds a kept answer of a given size."""
    pairs = (("X", "x" * (header_bytes - 1)),)
    return outcomes.Replayed(200, pairs, bytes(body_bytes))


def add_answered(
    ledger: ledgers.Ledger, name: str, answer: outcomes.Replayed
) -> ledgers.Record:
    """Adds a claim whose request ran and was answered."""
    record = ledger.open(f"claims/{name}", name, b"digest")
    ledger.end(record, request_pb2.ANSWERED, answer)
    return record


class LedgerTest(unittest.IsolatedAsyncioTestCase):
    def test_headers_count_towards_the_limit(self) -> None:
        """The oldest answers are evicted, so that a daemon's memory is bounded.

        Answers to payouts consist mostly of headers. If only their bodies
        counted, 20,000 of them might take any amount of memory.
        """
        ledger = ledgers.Ledger(max_kept_bytes=1000)
        records = [
            add_answered(ledger, name, build_answer(250, 10))
            for name in ("a", "b", "c")
        ]
        kept = [record.answer is not None for record in records]
        self.assertEqual(kept, [False, True, True])

    async def test_waiters_are_woken_at_the_end(self) -> None:
        ledger = ledgers.Ledger()
        record = ledger.open("claims/a", "a", b"digest")
        waiting = asyncio.create_task(record.ended.wait())
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        ledger.end(record, request_pb2.RELEASED)
        await waiting
        await record.ended.wait()

    def test_ended_records_share_one_event(self) -> None:
        """A separate event costs each record about 800 bytes permanently."""
        ledger = ledgers.Ledger()
        records = [
            add_answered(ledger, name, build_answer(1, 1)) for name in "ab"
        ]
        self.assertIs(records[0].ended, records[1].ended)
