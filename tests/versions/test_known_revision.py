"""Tests of what the next read of the head must bring."""

from __future__ import annotations

import unittest

from merlintrestle.versions import progress


class ProgressTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.known = progress.Progress(lambda: self.now)

    def test_questions_follow_a_read_without_news_for_a_while(self):
        """A change that no history names is in force in the end.

        Others write without end, so each read finds the revision moved. The
        value is read again once the last one is old.
        """
        self.assertFalse(self.known.may_ask())
        self.known.note_read(news=False)
        self.now = progress._QUESTIONS_S - 0.1
        self.assertTrue(self.known.may_ask())
        self.now = progress._QUESTIONS_S
        self.assertFalse(self.known.may_ask())

    def test_no_question_follows_news(self):
        """A storm of the operators' changes rests on no history."""
        self.known.note_read(news=False)
        self.known.note_read(news=True)
        self.assertFalse(self.known.may_ask())

    def test_what_is_known_does_not_go_back(self):
        """A slow answer that comes late costs no read of what is known."""
        self.known.note(7)
        self.known.note(5)
        self.assertEqual(self.known.at, 7)

    async def test_no_watch_is_waited_for_where_none_is_open(self):
        self.assertFalse(await self.known.wait_for_watch(3, lambda: True))
        self.known.note(3)
        self.assertTrue(await self.known.wait_for_watch(3, lambda: False))
