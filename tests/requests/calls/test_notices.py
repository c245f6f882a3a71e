"""Tests of the notices of backend servers."""

from __future__ import annotations

import unittest

import multidict

from merlintrestle.requests.calls import dialect as dialects
from merlintrestle.requests.calls import notices

_NAMES = dialects.get_notice_headers(dialects.NativeDialect())
_PREVIOUS = notices.Notices(7.5)


def _read(previous: notices.Notices, **values: str) -> notices.Notices:
    headers = multidict.CIMultiDict(
        {getattr(_NAMES, name): value for name, value in values.items()}
    )
    return notices.read_notices(headers, _NAMES, previous)


class ReadTest(unittest.TestCase):
    def test_answer_without_notices_lifts_the_limit(self) -> None:
        """Guards against a limit that outlasts the server's need."""
        self.assertEqual(_read(_PREVIOUS), notices.NO_NOTICES)

    def test_notices_are_read(self) -> None:
        """Guards against notices that are not understood."""
        self.assertEqual(
            _read(_PREVIOUS, rate_limit="19.5", leaving="1"),
            notices.Notices(19.5, True),
        )
        self.assertEqual(_read(_PREVIOUS, rate_limit="0"), notices.Notices(0.0))
        self.assertEqual(_read(_PREVIOUS, leaving="0"), notices.NO_NOTICES)

    def test_malformed_values_are_logged_and_keep_the_previous_ones(
        self,
    ) -> None:
        """Guards against a malformed notice that lifts or sets a limit."""
        for value in ("", "-1", "nan", "inf", "1e9", "1_0", "1,5", "9" * 400):
            with self.subTest(value=value):
                with self.assertLogs("merlintrestle.requests", "WARNING"):
                    read = _read(_PREVIOUS, rate_limit=value)
                self.assertEqual(read, _PREVIOUS)
        with self.assertLogs("merlintrestle.requests", "WARNING"):
            read = _read(notices.Notices(), leaving="yes")
        self.assertEqual(read, notices.NO_NOTICES)
