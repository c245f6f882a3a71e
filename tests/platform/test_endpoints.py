"""Heartbeats and entries that another writer may have left."""

from __future__ import annotations

import contextlib
import json
from typing import Any
import unittest

import aiohttp
import hypothesis
from hypothesis import strategies

from merlintrestle import errors
from merlintrestle.platform import endpoints
from tests.platform import fleets

_FIELDS: dict[str, Any] = {
    "service": "balie",
    "address": "10.0.0.1:80",
    "zone": "noord",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "coldRemainingMs": 0,
    "seq": 4,
    "born": 1_700_000_000_000,
}
_READ = ("service", "address", "slots", "state", "coldRemainingMs", "seq")
_ODD = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.floats(max_value=-0.5),
    strategies.just(float("nan")),
    strategies.just(float("inf")),
    strategies.integers(max_value=-1),
    strategies.sampled_from(["", "\0", "lost", "10.0.0.1", "x" * 99, "1"]),
    strategies.lists(strategies.integers(), max_size=2),
    strategies.dictionaries(strategies.text(max_size=2), strategies.none()),
)


class HeartbeatTest(unittest.TestCase):
    def test_a_whole_heartbeat(self) -> None:
        found = endpoints.parse_heartbeat("i-1", _FIELDS)
        self.assertEqual(found.started_ms, 1_700_000_000_000)

    def test_the_start_may_be_left_out(self) -> None:
        fields = {**_FIELDS}
        del fields["born"]
        self.assertEqual(endpoints.parse_heartbeat("i-1", fields).started_ms, 0)

    @hypothesis.given(strategies.sampled_from(_READ), _ODD)
    def test_no_field_of_another_kind_is_taken_in(
        self, name: str, value: Any
    ) -> None:
        if name == "service" and value in ("lost", "10.0.0.1", "1"):
            return  # A name like any other; whether it is known comes later.
        with self.assertRaises(errors.InvalidInputError):
            endpoints.parse_heartbeat("i-1", {**_FIELDS, name: value})

    @hypothesis.given(strategies.sampled_from(_READ))
    def test_no_field_may_be_missing(self, name: str) -> None:
        fields = {**_FIELDS}
        del fields[name]
        with self.assertRaises(errors.InvalidInputError):
            endpoints.parse_heartbeat("i-1", fields)

    @hypothesis.given(
        _ODD.filter(lambda value: value is not None)
        | strategies.floats()
        | strategies.text()
    )
    def test_a_start_that_is_no_whole_number(self, value: Any) -> None:
        with self.assertRaises(errors.InvalidInputError):
            endpoints.parse_heartbeat("i-1", {**_FIELDS, "born": value})
        with self.assertRaises((errors.InvalidInputError, ValueError)):
            endpoints.parse_leave(json.dumps({"born": value}).encode())

    @hypothesis.given(strategies.binary())
    def test_any_bytes_of_a_leave_are_read_or_refused(
        self, body: bytes
    ) -> None:
        with contextlib.suppress(errors.InvalidInputError, ValueError):
            self.assertGreaterEqual(endpoints.parse_leave(body), 0)


class ForeignHeartbeatTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_service_that_nobody_knows(self) -> None:
        """Callers are served by the backend server that was there before.

        Another writer sends a heartbeat for a service that neither the
        settings nor the configuration name. Taken over, it would take the
        place of the backend server, and its service would have none.
        """
        async with fleets.Fleet() as fleet:
            await fleet.start("balie")
            backend = fleet.backends[0]
            backend.service = "elsewhere"
            backend.instance_id = "i-other"
            control = fleet.daemons[0].control
            self.assertEqual(await backend.send_heartbeat(control), 400)
            self.assertEqual(fleet.daemons[0].count_upstreams("balie"), 1)

    async def test_bytes_that_are_no_heartbeat(self) -> None:
        async with fleets.Fleet() as fleet:
            await fleet.start("balie")
            base = f"http://{fleet.daemons[0].control}/merlintrestle/"
            async with aiohttp.ClientSession() as session:
                for call in ("Instances.Heartbeat", "Instances.Leave"):
                    for body in (b"\xff\xfe{", b"{", b"[1]", b'"x"'):
                        url = f"{base}{call}/i-9"
                        async with session.post(url, data=body) as answer:
                            self.assertEqual(answer.status, 400, (call, body))
            self.assertEqual((await fleet.send())[0], 200)
