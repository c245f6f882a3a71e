"""The register: orders of roll-outs and how they ended, in the store."""

from __future__ import annotations

from typing import NamedTuple, Protocol, TYPE_CHECKING

from google.protobuf import message

from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle.rollouts import records
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Sequence

    from merlintrestle.store import client
    from merlintrestle.store import records as store_records

events = event_logs.EventLog("rollouts")

ORDER_PREFIX = "rollouts/orders/"
STATE_PREFIX = "rollouts/states/"
_MAX_ORDERS = 1000


class RecordedState(NamedTuple):
    """What the record of a service says of its last roll-out.

    Attributes:
        version: Version it was to.
        state: How far it had come.
    """

    version: str
    state: control_pb2.RolloutState


class RecordFormat(Protocol):
    """How the records of roll-outs are named and written."""

    order_prefix: str

    def decode_order(self, entry: client.Entry) -> control_pb2.Rollout:
        """Returns the order that an entry holds.

        Raises:
            errors.CorruptRecordError: It is none.
        """

    def build_state_key(self, service: str) -> str:
        """Returns the key of a service's state."""

    def encode_state(
        self, rollout: control_pb2.Rollout, state: control_pb2.RolloutState
    ) -> bytes:
        """Returns a state as the store keeps it."""

    def decode_state(self, value: bytes) -> RecordedState:
        """Returns the state that a value holds.

        Raises:
            errors.CorruptRecordError: It is none.
        """


class DefaultFormat:
    """The product's own records."""

    order_prefix = ORDER_PREFIX

    def decode_order(self, entry: client.Entry) -> control_pb2.Rollout:
        """Returns an order; its number is the revision of its record.

        An operator who ends one writes it anew as rolled back.
        """
        order = _parse(entry.value)
        order.service = entry.key.removeprefix(ORDER_PREFIX)
        order.number = entry.revision
        if order.state != control_pb2.ROLLED_BACK:
            order.state = control_pb2.ROLLOUT_STATE_UNSPECIFIED
        return order

    def build_state_key(self, service: str) -> str:
        """Returns the key of a service's state."""
        return STATE_PREFIX + service

    def encode_state(
        self, rollout: control_pb2.Rollout, state: control_pb2.RolloutState
    ) -> bytes:
        """Returns the record of an order with its state."""
        written = control_pb2.Rollout()
        written.CopyFrom(rollout)
        written.state = state
        return written.SerializeToString(deterministic=True)

    def decode_state(self, value: bytes) -> RecordedState:
        """Returns the state of a record."""
        record = _parse(value)
        return RecordedState(record.version, record.state)


class RolloutStorage:
    """Reads orders, and writes the state of each; the first end stays."""

    def __init__(self, store: store_records.Store, form: RecordFormat):
        """Sets the store and how its records look."""
        self._store = store
        self._form = form

    async def read_orders(self) -> list[control_pb2.Rollout]:
        """Returns all orders.

        Raises:
            errors.StoreUnavailableError: The store did not answer.
        """
        entries = await self._store.list(
            self._form.order_prefix, limit=_MAX_ORDERS
        )
        return self.parse_orders(entries)

    def parse_orders(
        self, entries: Sequence[client.Entry]
    ) -> list[control_pb2.Rollout]:
        """Returns the orders among entries; one that is malformed is left out.

        Whoever else writes to the store may leave what cannot be read. It
        holds up no other order.
        """
        orders = []
        for entry in entries:
            try:
                order = self._form.decode_order(entry)
            except errors.CorruptRecordError as error:
                events.warn("order malformed", key=entry.key, error=str(error))
                continue
            if fault := records.find_fault(order):
                events.warn("order refused", key=entry.key, error=fault)
            else:
                orders.append(order)
        return orders

    async def read_state(
        self, rollout: control_pb2.Rollout
    ) -> control_pb2.RolloutState:
        """Returns the state of an order; unspecified: nobody wrote one.

        Raises:
            errors.StoreUnavailableError: The store did not answer.
        """
        entry = await self._store.get(
            self._form.build_state_key(rollout.service)
        )
        return self._get_state(rollout, entry)

    async def write_state(
        self, rollout: control_pb2.Rollout, state: control_pb2.RolloutState
    ) -> control_pb2.RolloutState:
        """Writes the state of an order unless it has ended, or gone so far.

        Daemons race here, and a write whose answer was lost may come late. Each
        is made against the record that was read just before, so that the first
        end is the only one.

        Returns:
            The state that the record then holds.

        Raises:
            errors.StoreUnavailableError: The store did not answer.
            errors.StoreUnknownOutcomeError: Whether it was written is unknown.
        """
        key = self._form.build_state_key(rollout.service)
        entry = await self._store.get(key)
        held = self._get_state(rollout, entry)
        if held in records.ENDED or held >= state:
            return held
        value = self._form.encode_state(rollout, state)
        revision = entry.revision if entry is not None else 0
        reply = await self._store.put(key, value, revision)
        if reply.written:
            return state
        return self._get_state(rollout, reply.entry)

    def _get_state(
        self, rollout: control_pb2.Rollout, entry: client.Entry | None
    ) -> control_pb2.RolloutState:
        """Returns the state of an order by the record of its service.

        A record from before the order is that of an earlier one.
        """
        if rollout.state in records.ENDED:
            return rollout.state
        if entry is None or entry.revision < rollout.number:
            return control_pb2.ROLLOUT_STATE_UNSPECIFIED
        try:
            stated = self._form.decode_state(entry.value)
        except errors.CorruptRecordError as error:
            events.warn("state malformed", key=entry.key, error=str(error))
            return control_pb2.ROLLOUT_STATE_UNSPECIFIED
        if stated.version != rollout.version:
            return control_pb2.ROLLOUT_STATE_UNSPECIFIED
        return stated.state


def _parse(value: bytes) -> control_pb2.Rollout:
    try:
        return control_pb2.Rollout.FromString(value)
    except message.DecodeError as error:
        raise errors.CorruptRecordError(f"roll-out: {error}") from error
