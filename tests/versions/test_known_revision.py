"""Tests for the known revision and the history queries."""

from __future__ import annotations

import unittest

from merlintrestle.versions import known_revision


class KnownRevisionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.known_revision = known_revision.KnownRevision(lambda: self.now)

    def test_history_is_queried_for_a_while_after_an_unchanged_read(self):
        """A change that the history omits takes effect after a limited time.

        Other writers write continuously, so the revision is always new, and the
        history could be queried each time. Once the last read of the head is
        too old, the head itself is read again.
        """
        self.assertFalse(self.known_revision.may_query_history())
        self.known_revision.record_read(head_changed=False)
        self.now = known_revision._HISTORY_QUERY_PERIOD_S - 0.1
        self.assertTrue(self.known_revision.may_query_history())
        self.now = known_revision._HISTORY_QUERY_PERIOD_S
        self.assertFalse(self.known_revision.may_query_history())

    def test_no_history_query_follows_a_new_head(self):
        """During many changes by operators, the history is not relied on."""
        self.known_revision.record_read(head_changed=False)
        self.known_revision.record_read(head_changed=True)
        self.assertFalse(self.known_revision.may_query_history())

    def test_revision_does_not_decrease(self):
        """A late answer causes no further read of a known revision."""
        self.known_revision.advance(7)
        self.known_revision.advance(5)
        self.assertEqual(self.known_revision.revision, 7)

    async def test_does_not_wait_if_no_watch_is_open(self):
        self.assertFalse(
            await self.known_revision.wait_for_watch(3, lambda: True)
        )
        self.known_revision.advance(3)
        self.assertTrue(
            await self.known_revision.wait_for_watch(3, lambda: False)
        )
