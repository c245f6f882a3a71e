"""Properties of the places where values from outside are decoded.

Whatever the value, it is either used within its bounds or refused by the error
that the callers of that place expect.
"""

from __future__ import annotations

import contextlib
import json
import math
import os
from typing import Any, TYPE_CHECKING
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies as st
import multidict

from merlintrestle import config
from merlintrestle import decoding
from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle.daemon import admin
from merlintrestle.daemon import leave_records
from merlintrestle.daemon import validation
from merlintrestle.documents import loader
from merlintrestle.members import links as links_lib
from merlintrestle.members import seeds
from merlintrestle.members import table as tables
from merlintrestle.members import timing
from merlintrestle.platform import configuration
from merlintrestle.platform import endpoints
from merlintrestle.platform import health
from merlintrestle.platform import rollouts as platform_rollouts
from merlintrestle.platform import settings as settings_lib
from merlintrestle.platform import store as stores
from merlintrestle.requests.calls import metadata
from merlintrestle.requests.calls import notices
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.calls import plans
from merlintrestle.requests.load import loads
from merlintrestle.requests.transport import headers
from merlintrestle.requests.transport import probes
from merlintrestle.rollouts import storage
from merlintrestle.rollouts import tracker as trackers
from merlintrestle.schema import control_pb2
from merlintrestle.schema import document_pb2
from merlintrestle.schema import settings_pb2
from merlintrestle.store import client
from merlintrestle.store import eras
from merlintrestle.versions import confirmed_keys
from merlintrestle.versions import deltas
from tests.members import builders as member_builders
from tests.platform import builders
from tests.requests import builders as request_builders

if TYPE_CHECKING:
    from collections.abc import Callable

    from google.protobuf import message

# Examples of each property; more by hand, with other draws.
_EXAMPLES = int(os.environ.get("OUTSIDE_VALUES_EXAMPLES", "60"))
_ROUTE_FIELDS = (*builders.build_route("a"), "split", "allowAnonymous")
_TENANT_FIELDS = ("name", "apiKeys", "priority", "ratePerS", "burst")
_LIMIT_FIELDS = ("maxHeaderBytes", "maxBodyBytes", "idleTimeoutMs")

_ODD_NUMBERS = st.sampled_from(
    [
        -1,
        0,
        1,
        2**31,
        2**32,
        2**53 + 1,
        2**63,
        2**64,
        10**30,
        10**400,
        -(10**400),
        0.5,
        -0.5,
        1e300,
        math.inf,
        -math.inf,
        math.nan,
    ]
)
_ODD_TEXTS = st.sampled_from(
    [
        "",
        " ",
        "\ud800",
        "\x00",
        "a\r\nb: c",
        "x" * 10_000,
        "9" * 5000,
        "-1",
        "1_0",
        "\u0661",
        "127.0.0.1:" + "9" * 5000,
        "127.0.0.1:0",
        "[::1]:70000",
        "nan",
        "inf",
        "1e400",
    ]
)
_DEEP: Any = [[]]
for _ in range(500):
    _DEEP = [_DEEP]
_ODD_VALUES = (
    st.none()
    | st.booleans()
    | _ODD_NUMBERS
    | _ODD_TEXTS
    | st.just(_DEEP)
    | st.just({"a": _DEEP})
    | st.text(max_size=3)
    | st.lists(st.none() | _ODD_NUMBERS | _ODD_TEXTS, max_size=2)
)
_ODD_BYTES = st.binary(max_size=50) | st.sampled_from(
    [
        b"[" * 100_000,
        b'{"a":' * 100_000,
        b"[" * 900 + b"]" * 900,
        b"\xff\xfe",
        b"{}",
        b"null",
        b'"\\ud800"',
        b"9" * 10_000,
        b"1e400",
        b"NaN",
    ]
)


def _vary(sound: dict[str, Any]) -> st.SearchStrategy[bytes]:
    """Draws JSON objects that are sound but for a few odd values."""
    return _ODD_BYTES | st.dictionaries(
        st.sampled_from([*sound, "extra"]), _ODD_VALUES, max_size=3
    ).map(lambda odd: json.dumps({**sound, **odd}).encode())


def _vary_text(sound: str) -> st.SearchStrategy[str]:
    """Draws texts that are sound but for one field between separators."""
    separators = " ,;=\n"

    def build(index: int, odd: str) -> str:
        fields = []
        current = ""
        for character in sound:
            current += character
            if character in separators:
                fields.append(current)
                current = ""
        fields.append(current)
        place = index % len(fields)
        end = fields[place][-1:]
        fields[place] = odd + (end if end in separators else "")
        return "".join(fields)

    return _ODD_TEXTS | st.builds(
        build, st.integers(0, 200), _ODD_TEXTS | st.text(max_size=4)
    )


def _draw_message(
    kind: type[message.Message], depth: int = 3
) -> st.SearchStrategy[Any]:
    """Draws messages with any values that their fields can hold."""
    fields = {
        field.name: _draw_field(field, depth)
        for field in kind.DESCRIPTOR.fields
        if depth or field.message_type is None
    }
    return st.fixed_dictionaries({}, optional=fields).map(
        lambda values: kind(**values)
    )


def _draw_field(field: Any, depth: int) -> st.SearchStrategy[Any]:
    unsigned = st.sampled_from([0, 1, 5, 2**31, 2**32 - 1])
    drawn: st.SearchStrategy[Any]
    if field.message_type is not None:
        drawn = _draw_message(field.message_type._concrete_class, depth - 1)
    elif field.cpp_type == field.CPPTYPE_STRING:
        texts = ["", "a", "127.0.0.1:1", "1.2.3.4:99999", "x" * 300, "a\n"]
        drawn = st.sampled_from(texts)
        if field.type == field.TYPE_BYTES:
            drawn = st.binary(max_size=4) | st.binary(min_size=32, max_size=32)
    elif field.cpp_type in (field.CPPTYPE_DOUBLE, field.CPPTYPE_FLOAT):
        drawn = st.sampled_from([0.0, 1.0, -1.0, 3e38, math.inf, math.nan])
    elif field.cpp_type == field.CPPTYPE_BOOL:
        drawn = st.booleans()
    elif field.cpp_type == field.CPPTYPE_ENUM:
        drawn = st.sampled_from([0, 1, 2, 3, 4, 99])
    elif field.cpp_type == field.CPPTYPE_UINT64:
        drawn = unsigned | st.sampled_from([2**53, 2**62, 2**64 - 1])
    else:
        drawn = unsigned
    return st.lists(drawn, max_size=2) if field.is_repeated else drawn


def _check(**drawn: st.SearchStrategy[Any]) -> Callable[[Any], Any]:
    """Makes a test of drawn values, short and the same each time."""

    def decorate(test: Any) -> Any:
        settings = hypothesis.settings(
            max_examples=_EXAMPLES,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        )
        return settings(hypothesis.given(**drawn)(test))

    return decorate


class StoreEntriesTest(unittest.TestCase):
    @_check(
        value=_vary(
            {"service": "balie", "targetVersion": "v2", "durationS": 12}
        ),
        revision=st.integers(1, 2**62),
    )
    def test_orders(self, value: bytes, revision: int) -> None:
        """Guards against an order that ends the daemons that read it."""
        entry = client.Entry("op/rollout/balie", value, revision)
        platform_storage = storage.RolloutStorage(
            mock.Mock(), platform_rollouts.PLATFORM_FORMAT
        )
        orders = platform_storage.parse_orders([entry])
        tracker = trackers.RolloutTracker(lambda _: ())
        for order in orders:
            tracker.merge_rollout(order)
        platform_storage._get_state(
            control_pb2.Rollout(service="balie", version="v2", number=1), entry
        )

    @_check(order=_draw_message(control_pb2.Rollout), data=_ODD_BYTES)
    def test_native_orders_and_states(
        self, order: control_pb2.Rollout, data: bytes
    ) -> None:
        """Guards against a record of another release or writer."""
        native = storage.RolloutStorage(mock.Mock(), storage.DefaultFormat())
        tracker = trackers.RolloutTracker(lambda _: ())
        for value in (order.SerializeToString(), data):
            entry = client.Entry(storage.ORDER_PREFIX + "balie", value, 7)
            for parsed in native.parse_orders([entry]):
                parsed.state = native._get_state(parsed, entry)
                tracker.merge_rollout(parsed)

    @_check(reply=_draw_message(control_pb2.MembersReply), data=_ODD_BYTES)
    def test_seeds(self, reply: control_pb2.MembersReply, data: bytes) -> None:
        """Guards against a seed to which nobody can connect."""
        entries = [
            client.Entry("seeds/a", value, 1)
            for value in (reply.SerializeToString(), data)
        ]
        for member_id in seeds._list_member_ids(entries):
            self.assertEqual(config.check_address(member_id), "")

    @_check(address=_vary_text("127.0.0.1:80") | st.text(max_size=20))
    def test_addresses(self, address: str) -> None:
        """Guards against a port that no socket takes."""
        if not config.check_address(address):
            port = int(address.rpartition(":")[2])
            self.assertTrue(0 < port < 2**16)

    @_check(record=_draw_message(control_pb2.LeavingProcess), data=_ODD_BYTES)
    def test_leave_records(
        self, record: control_pb2.LeavingProcess, data: bytes
    ) -> None:
        """Guards against a leave that ends the daemon beside it."""
        for value in (record.SerializeToString(), data):
            process = leave_records._parse_entry(
                client.Entry("leaves/a", value, 1)
            )
            if process is not None:
                leave_records.build_record(process).SerializeToString()

    @_check(
        value=_vary(
            {"items": [{"key": "a", "value": "", "revision": 1}], "at": 5}
        ),
        item=_vary({"key": "a", "value": "YQ==", "revision": 3, "lease": 0}),
        era=st.integers(0, 9999),
    )
    def test_answers_of_the_store(
        self, value: bytes, item: bytes, era: int
    ) -> None:
        """Guards against an item that hides the others, or a late revision."""
        for data in (value, b'{"items": [%s], "at": 5}' % item):
            try:
                fields = stores.rows.parse_response(data, 200)
                eras.qualify_fields(
                    fields, era, stores._NUMBERED_FIELDS, stores._LIST_FIELDS
                )
                items = stores.rows.get_field(fields, "items", list)
                stores.rows.get_field(fields, "at", int)
            except errors.CorruptRecordError:
                continue
            for entry in stores.parse_entries(items):
                entry.key.encode()
                self.assertTrue(0 <= entry.revision < 2**63)
            try:
                stores._parse_conflict(fields, "a")
            except errors.CorruptRecordError:
                continue

    @_check(text=_vary_text("3"), learned=st.sampled_from([0, 4, 10**4, 2**32]))
    def test_eras(self, text: str, learned: int) -> None:
        """Guards against an era that makes all answers late for good."""
        era = eras.StoreEra()
        era.read("3")
        era.learn(learned, 1.0)
        self.assertLess(era.read(text), 20)
        self.assertLess(era.qualify(eras.MAX_NUMBER), 2**63)


class ConfigurationsTest(unittest.TestCase):
    @_check(
        value=_vary(json.loads(builders.build_configuration(7))),
        route=st.dictionaries(
            st.sampled_from(
                [
                    "name",
                    "host",
                    "prefix",
                    "kind",
                    "timeoutMs",
                    "targetLatencyMs",
                    "priority",
                    "service",
                    "split",
                    "maxAttempts",
                    "allowAnonymous",
                ]
            ),
            _ODD_VALUES,
            max_size=3,
        ),
        tenant=st.dictionaries(
            st.sampled_from(_TENANT_FIELDS),
            _ODD_VALUES,
            max_size=3,
        ),
        limits=st.dictionaries(
            st.sampled_from(_LIMIT_FIELDS),
            _ODD_VALUES,
            max_size=2,
        ),
    )
    def test_configurations(
        self,
        value: bytes,
        route: dict[str, Any],
        tenant: dict[str, Any],
        limits: dict[str, Any],
    ) -> None:
        """Guards against a configuration that ends the daemons."""
        varied = builders.build_configuration(
            7,
            {**builders.build_route("a"), **route},
            tenants=builders.build_tenants(
                {"name": "t", "apiKeys": ["k"], **tenant}
            ),
            limits=limits,
        )
        for data in (value, varied):
            keys = configuration.read_keys(7, data)
            confirmed_keys.encode_keys(keys).SerializeToString()
            try:
                parsed = configuration._parse_configuration(data)
                version = configuration.parse_version(parsed)
                snapshot = loader.load_snapshot(
                    version, configuration.build_resources(parsed)
                )
            except errors.SnapshotError:
                continue
            document_pb2.Head(version=version)
            held = {
                digest: workspace.name
                for workspace in snapshot.workspaces.values()
                for digest in workspace.key_digests
            }
            self.assertEqual(keys.holders, held)
            self.assertEqual(keys.required, snapshot.requires_api_keys)

    @_check(
        sent=_draw_message(document_pb2.Snapshot),
        delta=_draw_message(document_pb2.Delta),
        keys=_draw_message(control_pb2.KeyList),
    )
    def test_versions_of_peers(
        self,
        sent: document_pb2.Snapshot,
        delta: document_pb2.Delta,
        keys: control_pb2.KeyList,
    ) -> None:
        """Guards against a version of a peer that ends the daemon."""
        base = builders.load_configuration(builders.build_configuration(1))
        for load in (
            lambda: deltas.load_snapshot_message(sent, b""),
            lambda: loader.load_snapshot(
                1, {item.name: item.value for item in sent.resources}
            ),
            lambda: deltas.apply_delta(base, delta),
            lambda: confirmed_keys.decode_keys(keys),
        ):
            try:
                load()
            except errors.SnapshotError:
                continue

    @_check(text=_vary_text(builders.build_settings_text()))
    def test_settings(self, text: str) -> None:
        """Guards against a reloaded setting that ends the daemon."""
        try:
            settings = settings_lib.parse_settings(text)
        except errors.InvalidInputError:
            return
        from merlintrestle.platform import service

        daemon_settings = service.build_daemon_settings(settings)
        self.assertIsInstance(daemon_settings, settings_pb2.DaemonSettings)
        self.assertLess(daemon_settings.link_mbps, math.inf)


class BackendServersTest(unittest.TestCase):
    _HEARTBEAT = {
        "service": "balie",
        "address": "127.0.0.1:80",
        "zone": "noord",
        "version": "v1",
        "slots": 12,
        "state": "ready",
        "coldRemainingMs": 0,
        "seq": 4,
        "born": 5,
    }

    @_check(value=_vary(_HEARTBEAT), instance_id=_ODD_TEXTS | st.just("i-1"))
    def test_heartbeats(self, value: bytes, instance_id: str) -> None:
        """Guards against a heartbeat that makes the daemon's record invalid."""
        try:
            fields = endpoints.decoding.decode_json(value, 16_384)
            heartbeat = endpoints.parse_heartbeat(instance_id, fields)
        except (errors.InvalidInputError, ValueError):
            return
        control_pb2.Backend(
            service=heartbeat.service,
            slots=heartbeat.slots,
            state=heartbeat.state,
            version=heartbeat.version,
        )
        control_pb2.LeavingProcess(
            instance_id=heartbeat.instance_id,
            started_ms=heartbeat.started_ms,
            sequence=heartbeat.sequence,
        )
        self.assertLessEqual(heartbeat.remaining_warmup_s, 86_400)

    @_check(value=_vary({"born": 5}), instance_id=_ODD_TEXTS | st.just("i-1"))
    def test_leaves(self, value: bytes, instance_id: str) -> None:
        """Guards against a leave that cannot be recorded."""
        try:
            validation.check_instance_id(instance_id)
            started_ms = endpoints.parse_leave(value)
        except (errors.InvalidInputError, ValueError):
            return
        control_pb2.LeavingProcess(
            instance_id=instance_id, started_ms=started_ms
        )

    @_check(
        value=_vary(
            {
                "service": "balie",
                "address": "127.0.0.1:80",
                "slots": 5,
                "state": "ready",
            }
        )
    )
    def test_announcements(self, value: bytes) -> None:
        """Guards against an announcement that ends the daemon."""
        try:
            announcement = admin.read_announcement(value)
        except errors.InvalidInputError:
            return
        control_pb2.Backend(slots=announcement.slots)

    @_check(
        load=_vary_text("3,0,8"),
        instance_id=_ODD_TEXTS | st.just("i-1"),
        status=st.sampled_from([200, 503, 500]),
    )
    def test_statuses(self, load: str, instance_id: str, status: int) -> None:
        """Guards against slots that no field takes."""
        response = mock.Mock(
            status=status,
            headers=multidict.CIMultiDict(
                {"X-Served-By": instance_id, "X-Server-Load": load}
            ),
        )
        parsed = health.parse_status(builders.build_settings(), response)
        if parsed is not None:
            control_pb2.Backend(slots=parsed.slots)

    @_check(rate=_vary_text("3.5"), leaving=_vary_text("1"))
    def test_notices(self, rate: str, leaving: str) -> None:
        """Guards against a limit that is no number."""
        names = notices.NoticeHeaders(
            multidict.istr("X-Rate"), multidict.istr("X-Leaving")
        )
        read = notices.read_notices(
            multidict.CIMultiDict({"X-Rate": rate, "X-Leaving": leaving}),
            names,
            notices.NO_NOTICES,
        )
        if read.rate_limit is not None:
            self.assertTrue(0 <= read.rate_limit < 1e9)


class PeersTest(unittest.TestCase):
    _PLAN = plans.encode_plan(request_builders.build_plan())
    _FAILURE = {
        "reason": "full",
        "retry_after_s": 1.5,
        "elsewhere": True,
        "overloaded": False,
    }

    def test_refused_headers_leave_a_trace(self) -> None:
        """Guards against values of peers that are dropped in silence."""
        decoders: list[tuple[Callable[[str], Any], str]] = [
            (metadata.decode_metadata, "1 2 3"),
            (metadata.decode_metadata, "1 2 x 4  a b;"),
            (plans.decode_plan, "[[1]]"),
            (loads.decode_load, "1,2"),
            (loads.decode_load, "1,2,-3"),
            (notices.decode_passed_notices, "a,b"),
            (notices.decode_passed_notices, "a,5,x,1"),
            (lambda text: probes._read_result(200, text.encode()), "-1"),
            (lambda text: outcomes._decode_failure(text.encode()), "{}"),
        ]
        for decode, text in decoders:
            # Not the usual one, whose rate others may have used up.
            log = event_logs.EventLog("decoding")
            with (
                self.subTest(text=text),
                mock.patch.object(decoding, "events", log),
                self.assertLogs("merlintrestle.decoding", "WARNING"),
                contextlib.suppress(decoding.MalformedValueError),
            ):
                decode(text)

    @_check(text=_vary_text("1000 0 1 0 s5 balie id;"))
    def test_call_metadata(self, text: str) -> None:
        """Guards against a deadline that cannot be computed with."""
        decoded = metadata.decode_metadata(text)
        if decoded is not None:
            assert decoded.timeout_ms is not None
            numbers = (
                decoded.timeout_ms,
                decoded.waited_ms,
                decoded.depth,
                decoded.attempt_number,
                decoded.return_trip_ms,
            )
            self.assertTrue(
                all(0 <= number <= headers.MAX_NUMBER for number in numbers)
            )

    @_check(place=st.integers(0, 13), value=_ODD_VALUES, text=_vary_text(_PLAN))
    def test_classes_of_work(self, place: int, value: Any, text: str) -> None:
        """Guards against targets that cannot be computed with."""
        fields = json.loads(self._PLAN)
        fields[place] = value
        for data in (json.dumps(fields), text):
            plan = plans.decode_plan(data)
            if plan is not None:
                numbers: list[Any] = [
                    field for field in plan if type(field) in (int, float)
                ]
                self.assertTrue(
                    all(0 <= number < math.inf for number in numbers)
                )

    @_check(body=_vary(_FAILURE))
    def test_refusals(self, body: bytes) -> None:
        """Guards against a refusal that ends the call without an answer."""
        answered = outcomes.Answered(
            mock.Mock(status=503, headers={headers.OUTCOME: "not-run"}),
            body,
            [],
        )
        failure = outcomes.read_failure(answered)
        self.assertIsInstance(failure.reason, str)
        if failure.retry_after_s is not None:
            math.ceil(failure.retry_after_s)

    @_check(text=_vary_text("1,2,3,4,5,6"))
    def test_loads(self, text: str) -> None:
        """Guards against a load that is no number."""
        load = loads.decode_load(text)
        if load is not None:
            self.assertTrue(0 <= load.calls <= 10**6)

    @_check(text=_vary_text("abcdef,5,3.5,1"))
    def test_passed_notices(self, text: str) -> None:
        """Guards against notices of another daemon that are no numbers."""
        passed = notices.decode_passed_notices(text)
        if passed is not None and passed.notices.rate_limit is not None:
            self.assertTrue(0 <= passed.notices.rate_limit < 1e9)

    @_check(sent=_draw_message(control_pb2.LinkMessage))
    def test_messages_on_links(self, sent: control_pb2.LinkMessage) -> None:
        """Guards against a message that ends its link, or the daemon."""
        now = 1000.0
        table = tables.MemberTable(member_builders.build_member(1), lambda: now)
        links = links_lib.Links(table, timing.Timing())
        tracker = trackers.RolloutTracker(table.get_upstreams)
        era = eras.StoreEra(lambda: now)
        era.learn(3)
        for member in sent.members:
            table.merge(member)
        tracker.merge(sent.rollouts, sent.trials)
        era.learn(sent.store_era.number, sent.store_era.age_ms / 1000)
        self.assertLess(era.qualify(1), 2**63)
        link = links_lib.Link("127.0.0.1:2", outgoing=True)
        with mock.patch.object(
            links_lib.supervision, "record_failure"
        ) as record_failure:
            links._handle(link, sent)
        record_failure.assert_not_called()
        for service in ("", "a", "x" * 300):
            for upstream in table.get_upstreams(service):
                self.assertLessEqual(upstream.slots, 100_000)


class SilenceFactorTest(unittest.IsolatedAsyncioTestCase):
    @_check(text=_vary_text("2"))
    def test_factors(self, text: str) -> None:
        """Guards against a link that ends as its peer states an odd number."""
        from merlintrestle.members import membership

        factor = membership._read_silence_factor([("patience", text)])
        self.assertTrue(1 <= factor <= 8)


if __name__ == "__main__":
    unittest.main()
