"""What an outcome holds, and frees."""

from __future__ import annotations

import gc
from typing import Any
import unittest
import weakref

from merlintrestle.requests.calls import outcomes


class _Response:
    """Stands in for an answer; weak references to it can be made."""


def _build_answered(response: Any) -> outcomes.Answered:
    answered = outcomes.Answered(response, b"", [])
    answered.add_release_callback(lambda: setattr(answered, "truncated", False))
    return answered


class AnsweredTest(unittest.TestCase):
    def test_frees_in_the_order_in_which_it_was_held(self) -> None:
        freed: list[int] = []
        response: Any = _Response()
        answered = outcomes.Answered(response, b"", [lambda: freed.append(1)])
        answered.add_release_callback(lambda: freed.append(2))
        answered.release()
        self.assertEqual(freed, [1, 2])

    def test_released_answer_needs_no_garbage_collector(self) -> None:
        """No caller waits while the remains of other calls are collected.

        What is freed with an answer refers to the answer. Left in place, each
        call would be a cycle, and some thousands of them together would be
        collected at one stroke, for 15 to 30 ms.
        """
        gc.disable()
        self.addCleanup(gc.enable)
        response: Any = _Response()
        alive = weakref.ref(response)
        answered = _build_answered(response)
        answered.release()
        del response, answered
        self.assertIsNone(alive())
