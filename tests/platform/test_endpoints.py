"""Tests for `merlintrestle.platform.endpoints`."""

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
_REQUIRED_FIELDS = (
    "service",
    "address",
    "zone",
    "slots",
    "state",
    "coldRemainingMs",
    "seq",
)
_INVALID_VALUES = strategies.one_of(
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
    def test_a_valid_heartbeat_is_parsed(self) -> None:
        """Guards against valid heartbeats that are refused."""
        heartbeat = endpoints.parse_heartbeat("i-1", _FIELDS)
        self.assertEqual(heartbeat.started_ms, 1_700_000_000_000)

    def test_the_start_time_is_optional(self) -> None:
        """Guards against heartbeats refused for lack of a start time."""
        fields = {**_FIELDS}
        del fields["born"]
        self.assertEqual(endpoints.parse_heartbeat("i-1", fields).started_ms, 0)

    @hypothesis.given(
        strategies.sampled_from(_REQUIRED_FIELDS), _INVALID_VALUES
    )
    def test_invalid_values_of_fields_are_refused(
        self, name: str, value: Any
    ) -> None:
        """Guards against invalid values that reach the routing."""
        if name in ("service", "zone") and value in ("lost", "10.0.0.1", "1"):
            return  # Valid names; a later check refuses unknown services.
        if name == "zone" and value == "x" * 99:
            return  # A valid name.
        with self.assertRaises(errors.InvalidInputError):
            endpoints.parse_heartbeat("i-1", {**_FIELDS, name: value})

    def test_text_that_cannot_be_sent_is_refused(self) -> None:
        """Guards against text that fails each later heartbeat and the stop."""
        for name, value in (
            ("version", "\ud800"),
            ("version", "v1\n"),
            ("seq", 10**400),
            ("coldRemainingMs", 10**400),
        ):
            with (
                self.subTest(name=name),
                self.assertRaises(errors.InvalidInputError),
            ):
                endpoints.parse_heartbeat("i-1", {**_FIELDS, name: value})

    def test_large_sequence_numbers_are_accepted(self) -> None:
        """Guards against sound backend servers that nobody may call."""
        for sequence in (1_796_000_000_000_000_000, 2**64 - 1):
            with self.subTest(sequence=sequence):
                heartbeat = endpoints.parse_heartbeat(
                    "i-1", {**_FIELDS, "seq": sequence}
                )
                self.assertEqual(heartbeat.sequence, sequence)

    def test_malformed_ids_are_refused(self) -> None:
        """Guards against ids that cannot stand in the header of a request."""
        for instance_id in ("i-1\r\nX-A: b", "i 1", "\ud800", "é"):
            with (
                self.subTest(instance_id=instance_id),
                self.assertRaises(errors.InvalidInputError),
            ):
                endpoints.parse_heartbeat(instance_id, _FIELDS)

    @hypothesis.given(strategies.sampled_from(_REQUIRED_FIELDS))
    def test_missing_fields_are_refused(self, name: str) -> None:
        """Guards against incomplete heartbeats that are applied."""
        fields = {**_FIELDS}
        del fields[name]
        with self.assertRaises(errors.InvalidInputError):
            endpoints.parse_heartbeat("i-1", fields)

    @hypothesis.given(
        _INVALID_VALUES.filter(lambda value: value is not None)
        | strategies.floats()
        | strategies.text()
    )
    def test_start_times_that_are_not_integers_are_refused(
        self, value: Any
    ) -> None:
        """Guards against malformed start times that reach the routing."""
        with self.assertRaises(errors.InvalidInputError):
            endpoints.parse_heartbeat("i-1", {**_FIELDS, "born": value})
        with self.assertRaises((errors.InvalidInputError, ValueError)):
            endpoints.parse_leave(json.dumps({"born": value}).encode())

    @hypothesis.given(strategies.binary())
    def test_any_bytes_of_a_leave_are_parsed_or_refused(
        self, body: bytes
    ) -> None:
        """Guards against malformed leave requests that cause other errors."""
        with contextlib.suppress(errors.InvalidInputError, ValueError):
            self.assertGreaterEqual(endpoints.parse_leave(body), 0)


class OtherWriterHeartbeatTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_heartbeat_for_an_unknown_service_is_refused(self) -> None:
        """Guards against another writer's heartbeat that replaces the backend.

        Another writer sends a heartbeat for a service that neither the
        settings nor the configuration name. If it were applied, it would
        replace the local backend server, whose service would have none.
        """
        async with fleets.Fleet() as fleet:
            await fleet.start("balie")
            backend = fleet.backends[0]
            backend.service = "elsewhere"
            backend.instance_id = "i-other"
            heartbeat_address = fleet.daemons[0].heartbeat_address
            self.assertEqual(
                await backend.send_heartbeat(heartbeat_address), 400
            )
            self.assertEqual(fleet.daemons[0].count_upstreams("balie"), 1)

    async def test_malformed_bodies_are_refused(self) -> None:
        """Guards against malformed bodies that stop the daemon from serving."""
        async with fleets.Fleet() as fleet:
            await fleet.start("balie")
            base_url = (
                f"http://{fleet.daemons[0].heartbeat_address}/merlintrestle/"
            )
            async with aiohttp.ClientSession() as session:
                for method in ("Instances.Heartbeat", "Instances.Leave"):
                    for body in (b"\xff\xfe{", b"{", b"[1]", b'"x"'):
                        url = f"{base_url}{method}/i-9"
                        async with session.post(url, data=body) as response:
                            self.assertEqual(
                                response.status, 400, (method, body)
                            )
            self.assertEqual((await fleet.send())[0], 200)
