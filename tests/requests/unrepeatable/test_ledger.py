"""Tests of the memory used by records of claims, and of their end."""

from __future__ import annotations

import asyncio
import unittest

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.unrepeatable import ledger as ledgers
from merlintrestle.schema import request_pb2


def build_answer(header_bytes: int, body_bytes: int) -> outcomes.Replayed:
    """Builds a stored answer with a header and a body of the given sizes."""
    pairs = (("X", "x" * (header_bytes - 1)),)
    return outcomes.Replayed(200, pairs, bytes(body_bytes))


def add_answered(
    ledger: ledgers.Ledger, name: str, answer: outcomes.Replayed
) -> ledgers.Record:
    """Adds the record of a claim whose request ran and was answered."""
    record = ledger.open(f"claims/{name}", name, b"digest")
    ledger.end(record, request_pb2.ANSWERED, answer)
    return record


class LedgerTest(unittest.IsolatedAsyncioTestCase):
    def test_headers_count_towards_the_limit(self) -> None:
        """The oldest answers are evicted to limit the memory of a daemon.

        Answers to payouts consist mostly of headers. If only bodies counted
        towards the limit, 20,000 answers could use any amount of memory.
        """
        ledger = ledgers.Ledger(max_stored_bytes=1000)
        records = [
            add_answered(ledger, name, build_answer(250, 10))
            for name in ("a", "b", "c")
        ]
        kept = [record.answer is not None for record in records]
        self.assertEqual(kept, [False, True, True])

    async def test_waiters_are_woken_at_the_end(self) -> None:
        ledger = ledgers.Ledger()
        record = ledger.open("claims/a", "a", b"digest")
        waiting_task = asyncio.create_task(record.ended_event.wait())
        await asyncio.sleep(0)
        self.assertFalse(waiting_task.done())
        ledger.end(record, request_pb2.RELEASED)
        await waiting_task
        await record.ended_event.wait()

    def test_ended_records_share_one_event(self) -> None:
        """A separate event would take about 800 bytes per kept record."""
        ledger = ledgers.Ledger()
        records = [
            add_answered(ledger, name, build_answer(1, 1)) for name in "ab"
        ]
        self.assertIs(records[0].ended_event, records[1].ended_event)
