"""Tests for the decision which calls a draining daemon still starts."""

from __future__ import annotations

import unittest

from merlintrestle.requests.load import drain_admission
from tests.requests import builders

_LOOKUP = builders.build_plan(latency_s=1.0, work_s=0.0)
_PAYOUT = builders.build_plan(latency_s=1.0, work_s=0.0, repeatable=False)
_ARCHIVE = builders.build_plan(latency_s=1.0, large=True)


class MayStartTest(unittest.TestCase):
    """A drain that ends in some seconds, and calls with later deadlines."""

    def test_call_whose_deadline_is_before_the_end_is_started(self) -> None:
        """Guards against refusals of calls that cannot be cut."""
        for plan in (_LOOKUP, _PAYOUT, _ARCHIVE):
            self.assertTrue(drain_admission.may_start(plan, 1.0, 1.5, False))

    def test_new_payout_is_not_started(self) -> None:
        """Guards against payouts that are cut at the end of the drain."""
        self.assertFalse(drain_admission.may_start(_PAYOUT, 6.0, 2.6, False))

    def test_nested_payout_is_started(self) -> None:
        """Guards against calls that fail as their nested payout is refused."""
        self.assertTrue(drain_admission.may_start(_PAYOUT, 6.0, 2.6, True))

    def test_lookup_is_started_while_its_target_fits(self) -> None:
        """Guards against lookups that are cut, and against early refusals."""
        self.assertTrue(drain_admission.may_start(_LOOKUP, 6.0, 1.5, False))
        self.assertFalse(drain_admission.may_start(_LOOKUP, 6.0, 0.9, False))

    def test_new_download_is_not_started(self) -> None:
        """Guards against downloads that are cut: they have no usual length."""
        self.assertFalse(drain_admission.may_start(_ARCHIVE, 6.0, 2.6, False))

    def test_nested_call_is_not_started_shortly_before_the_end(self) -> None:
        """Guards against nested calls that are cut with their parent."""
        self.assertTrue(drain_admission.may_start(_LOOKUP, 6.0, 0.7, True))
        self.assertFalse(drain_admission.may_start(_LOOKUP, 6.0, 0.5, True))
