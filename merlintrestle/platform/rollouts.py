"""Format of the platform's records of roll-out orders and states."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from merlintrestle import errors
from merlintrestle import rows
from merlintrestle.rollouts import storage
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from merlintrestle.store import client

_STATE_PREFIX = "status/rollout/"
_STATES = {
    control_pb2.RUNNING: "running",
    control_pb2.COMPLETE: "complete",
    control_pb2.ROLLED_BACK: "rolled_back",
}
_MS_PER_S = 1000
_ERROR = errors.CorruptRecordError
_MAX_DURATION_S = 604_800  # One week.


class PlatformFormat:
    """Records that the platform's operators write and read."""

    order_prefix = "op/rollout/"

    def decode_order(self, entry: client.Entry) -> control_pb2.Rollout:
        """Returns the order in an entry, numbered by the entry's revision."""
        fields = rows.parse_record(entry.value, entry.key)
        row = rows.Row(entry.key, fields, _ERROR)
        service = row.get_text("service")
        if entry.key != self.order_prefix + service:
            raise row.build_error("service")
        duration_s = row.get_seconds("durationS", _MAX_DURATION_S)
        return control_pb2.Rollout(
            service=service,
            version=row.get_text("targetVersion"),
            number=entry.revision,
            within_ms=max(1, round(duration_s * _MS_PER_S)),
        )

    def build_state_key(self, service: str) -> str:
        """Returns the key of a service's state."""
        return _STATE_PREFIX + service

    def encode_state(
        self, rollout: control_pb2.Rollout, state: control_pb2.RolloutState
    ) -> bytes:
        """Encodes a state as JSON for the operators."""
        fields = {
            "service": rollout.service,
            "state": _STATES[state],
            "targetVersion": rollout.version,
        }
        return json.dumps(fields).encode()

    def decode_state(self, value: bytes) -> storage.RecordedState:
        """Returns the state in a value of the store."""
        fields = rows.parse_record(value, "roll-out")
        row = rows.Row("roll-out", fields, _ERROR)
        states_by_name = {name: state for state, name in _STATES.items()}
        state = states_by_name.get(row.get_text("state"))
        if state is None:
            raise row.build_error("state")
        return storage.RecordedState(row.get_text("targetVersion"), state)


PLATFORM_FORMAT = PlatformFormat()
