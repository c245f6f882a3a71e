"""Storage of the orders of roll-outs and of their states."""

from __future__ import annotations

from typing import NamedTuple, Protocol, TYPE_CHECKING

from google.protobuf import message

from merlintrestle import decoding
from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle.rollouts import records
from merlintrestle.schema import control_pb2
from merlintrestle.store import client

if TYPE_CHECKING:
    from collections.abc import Sequence

    from merlintrestle.store import records as store_records

events = event_logs.EventLog("rollouts")

ORDER_PREFIX = "rollouts/orders/"
STATE_PREFIX = "rollouts/states/"
_MAX_ORDERS = 1000


class RecordedState(NamedTuple):
    """Last state of a service's roll-outs that was written to the store.

    Attributes:
        version: Version to which the roll-out moves the service.
        state: State of the roll-out.
    """

    version: str
    state: control_pb2.RolloutState


class SeenOrder(NamedTuple):
    """The last order for a service, as a check has read it.

    An order that is written after the check replaces exactly this one.

    Attributes:
        order: The order with its state; None if there is none, or none that is
            valid.
        revision: Revision of its entry in the store; 0 if there is no entry.
    """

    order: control_pb2.Rollout | None
    revision: int


class RecordFormat(Protocol):
    """Keys and encoding of the orders and states in the store.

    Attributes:
        order_prefix: Prefix of the keys of all orders.
    """

    order_prefix: str

    def decode_order(self, entry: client.Entry) -> control_pb2.Rollout:
        """Returns the order in an entry of the store.

        Raises:
            errors.CorruptRecordError: The entry is not a valid order.
        """

    def build_state_key(self, service: str) -> str:
        """Returns the key of a service's state."""

    def encode_state(
        self, rollout: control_pb2.Rollout, state: control_pb2.RolloutState
    ) -> bytes:
        """Returns the encoded state of a roll-out."""

    def decode_state(self, value: bytes) -> RecordedState:
        """Returns the state that a value encodes.

        Raises:
            errors.CorruptRecordError: The value is not a valid state.
        """


class DefaultFormat:
    """Default format: protobuf messages."""

    order_prefix = ORDER_PREFIX

    def decode_order(self, entry: client.Entry) -> control_pb2.Rollout:
        """Returns the order in an entry of the store.

        Its number is the store revision of the entry. To abort a roll-out, an
        operator writes its order again with the state "rolled back". Any other
        state in an order is ignored.
        """
        order = _decode_rollout(entry.value)
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
        """Returns the encoded order, with the state as its state."""
        written = control_pb2.Rollout()
        written.CopyFrom(rollout)
        written.state = state
        return written.SerializeToString(deterministic=True)

    def decode_state(self, value: bytes) -> RecordedState:
        """Returns the state that a value encodes."""
        record = _decode_rollout(value)
        if record.state not in control_pb2.RolloutState.values():
            raise errors.CorruptRecordError(
                f"roll-out: its state is {record.state}"
            )
        return RecordedState(record.version, record.state)


class RolloutStorage:
    """Reads orders, and reads and writes their states.

    The first final state that is written for an order is kept.
    """

    def __init__(self, store: store_records.Store, record_format: RecordFormat):
        """Initializes the storage.

        Args:
            store: The store.
            record_format: Format of the orders and states in the store.
        """
        self._store = store
        self._format = record_format

    async def read_orders(self) -> list[control_pb2.Rollout]:
        """Returns all orders.

        Raises:
            errors.StoreUnavailableError: The store did not answer.
        """
        entries = await self._store.list(
            self._format.order_prefix, limit=_MAX_ORDERS
        )
        return self.parse_orders(entries)

    async def read_last_order(self, service: str) -> SeenOrder:
        """Returns the last order for a service.

        The state is read before the order, as the state that is read after it
        may belong to a later order and hide that this one has ended.

        Raises:
            errors.StoreUnavailableError: The store did not answer.
        """
        state_entry = await self.read_state_entry(service)
        entry = await self._store.get(self._format.order_prefix + service)
        if entry is None:
            return SeenOrder(None, 0)
        for order in self.parse_orders([entry]):
            order.state = self._get_state(order, state_entry)
            return SeenOrder(order, entry.revision)
        return SeenOrder(None, entry.revision)

    def parse_orders(
        self, entries: Sequence[client.Entry]
    ) -> list[control_pb2.Rollout]:
        """Returns the valid orders among entries of the store.

        Other programs that write to the store may leave malformed records.
        These must not block valid orders, so they are logged and skipped.
        """
        orders = []
        for entry in entries:
            try:
                order = self._format.decode_order(entry)
            except errors.CorruptRecordError as error:
                decoding.count_refused("order")
                events.warn("order malformed", key=entry.key, error=str(error))
                continue
            if problem := records.find_error(order):
                decoding.count_refused("order")
                events.warn("order refused", key=entry.key, error=problem)
            else:
                orders.append(order)
        return orders

    async def read_state(
        self, rollout: control_pb2.Rollout
    ) -> control_pb2.RolloutState:
        """Returns the state of an order, or unspecified if none is written yet.

        Raises:
            errors.StoreUnavailableError: The store did not answer.
        """
        entry = await self.read_state_entry(rollout.service)
        return self._get_state(rollout, entry)

    async def read_state_entry(self, service: str) -> client.Entry | None:
        """Returns the entry with a service's state, for `replace_state`.

        Raises:
            errors.StoreUnavailableError: The store did not answer.
        """
        return await self._store.get(self._format.build_state_key(service))

    async def write_state(
        self, rollout: control_pb2.Rollout, state: control_pb2.RolloutState
    ) -> control_pb2.RolloutState:
        """Writes a state, unless the order has already reached or passed it.

        Several daemons may write concurrently, and a write whose reply was lost
        may be applied late. Each write is therefore conditional on the entry
        that was read just before, so that a final state is never replaced. It
        is also conditional on the order: a daemon that was paused may know only
        an earlier one, whose state would count as that of a later one.

        Args:
            rollout: The order.
            state: The state to write.

        Returns:
            The state of the order after the write, which another daemon may
            have written; unspecified if there is a later order and nothing was
            written.

        Raises:
            errors.StoreUnavailableError: The store did not answer.
            errors.StoreUnknownOutcomeError: It is unknown whether the state was
                written.
        """
        entry = await self.read_state_entry(rollout.service)
        return await self.replace_state(rollout, state, entry)

    async def replace_state(
        self,
        rollout: control_pb2.Rollout,
        state: control_pb2.RolloutState,
        entry: client.Entry | None,
    ) -> control_pb2.RolloutState:
        """Writes a state in place of an entry that was read before.

        Args:
            rollout: The order.
            state: The state to write.
            entry: Entry with the last written state of the service's
                roll-outs, or None if the store had none.

        Returns:
            The state of the order after the write, as `write_state` does.

        Raises:
            errors.StoreUnknownOutcomeError: It is unknown whether the state was
                written.
        """
        current = self._get_state(rollout, entry)
        if current in records.FINAL_STATES or current >= state:
            return current
        revision = entry.revision if entry is not None else 0
        reply = await self._put_state(rollout, state, revision, rollout.number)
        if reply.unmet and not reply.unmet[0].revision:
            # The store lost the order, so there is no later one either.
            reply = await self._put_state(rollout, state, revision, 0)
        if reply.written:
            return state
        if reply.unmet:
            events.note(
                "state not written",
                reason="there is another order",
                service=rollout.service,
                version=rollout.version,
                number=rollout.number,
                standing=reply.unmet[0].revision,
            )
            return control_pb2.ROLLOUT_STATE_UNSPECIFIED
        return self._get_state(rollout, reply.entry)

    async def _put_state(
        self,
        rollout: control_pb2.Rollout,
        state: control_pb2.RolloutState,
        revision: int,
        order_revision: int,
    ) -> client.WriteReply:
        """Writes a state if neither it nor the order was replaced."""
        order_key = self._format.order_prefix + rollout.service
        return await self._store.put(
            self._format.build_state_key(rollout.service),
            self._format.encode_state(rollout, state),
            revision,
            conditions=(client.Condition(order_key, order_revision),),
        )

    def _get_state(
        self, rollout: control_pb2.Rollout, entry: client.Entry | None
    ) -> control_pb2.RolloutState:
        """Returns the state of an order from the state entry of its service.

        Args:
            rollout: The order.
            entry: Entry with the last written state of the service's
                roll-outs, or None if the store has none.
        """
        # The state of an order is final if an operator has aborted it.
        if rollout.state in records.FINAL_STATES:
            return rollout.state
        # An entry that is older than the order belongs to an earlier order.
        if entry is None or entry.revision < rollout.number:
            return control_pb2.ROLLOUT_STATE_UNSPECIFIED
        try:
            recorded = self._format.decode_state(entry.value)
        except errors.CorruptRecordError as error:
            decoding.count_refused("order state")
            events.warn("state malformed", key=entry.key, error=str(error))
            return control_pb2.ROLLOUT_STATE_UNSPECIFIED
        # The state of an earlier order may be written after a later order.
        if recorded.version != rollout.version:
            return control_pb2.ROLLOUT_STATE_UNSPECIFIED
        return recorded.state


def _decode_rollout(value: bytes) -> control_pb2.Rollout:
    try:
        return control_pb2.Rollout.FromString(value)
    except message.DecodeError as error:
        raise errors.CorruptRecordError(f"roll-out: {error}") from error
