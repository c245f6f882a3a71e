"""Tests of the release of the resources of an outcome."""

from __future__ import annotations

import gc
from typing import Any
import unittest
import weakref

from merlintrestle.requests.calls import outcomes


class _Response:
    """A fake answer that supports weak references."""


def _build_answered(response: Any) -> outcomes.Answered:
    """Builds an outcome with a release callback that refers to the outcome."""
    answered = outcomes.Answered(response, b"", [])
    answered.add_release_callback(lambda: setattr(answered, "truncated", False))
    return answered


class AnsweredTest(unittest.TestCase):
    def test_callbacks_run_in_the_order_in_which_they_were_added(self) -> None:
        released: list[int] = []
        response: Any = _Response()
        answered = outcomes.Answered(
            response, b"", [lambda: released.append(1)]
        )
        answered.add_release_callback(lambda: released.append(2))
        answered.release()
        self.assertEqual(released, [1, 2])

    def test_released_answer_needs_no_garbage_collector(self) -> None:
        """Released calls are freed without pauses for garbage collection.

        The release callbacks of an outcome refer to the outcome. If it kept
        them, each call would be a reference cycle, and collecting a few
        thousand of these at once pauses all calls for 15 to 30 ms.
        """
        gc.disable()
        self.addCleanup(gc.enable)
        response: Any = _Response()
        reference = weakref.ref(response)
        answered = _build_answered(response)
        answered.release()
        del response, answered
        self.assertIsNone(reference())
