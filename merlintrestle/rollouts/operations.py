"""Operations of operators on roll-outs: to order one, and to abort one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from merlintrestle import errors
from merlintrestle.rollouts import orders
from merlintrestle.rollouts import records as rollout_records
from merlintrestle.rollouts import storage
from merlintrestle.schema import control_pb2
from merlintrestle.store import acceptance
from merlintrestle.store import records

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Repetitions of a write that got no answer.
_MAX_REPETITIONS = 3
# Writes of a final state, each of which another writer's state may precede.
_MAX_STATE_WRITES = 3

ResultT = TypeVar("ResultT")


async def start_rollout(
    store: records.Store,
    attempt: orders.Attempt,
    order: control_pb2.Rollout,
    seen: storage.SeenOrder,
    retry_delay_s: float = acceptance.RETRY_DELAY_S,
) -> int:
    """Records the attempt to start a roll-out, and orders it.

    Args:
        store: The store.
        attempt: The attempt.
        order: The order.
        seen: The last order for the service when it was checked that it may be
            replaced.
        retry_delay_s: Delay before a write is repeated, in seconds.

    Returns:
        The number of the order.

    Raises:
        errors.LostRaceError: Another order was written since the check. Nothing
            was ordered.
        errors.UndecidedError: Whether it was ordered is unknown.
        errors.StoreError: Nothing was ordered; the attempt may be recorded.
    """
    identified = orders.identify(order)

    async def write() -> int:
        return await orders.write_order(store, identified, seen)

    return await _carry_out(store, attempt, write, retry_delay_s)


async def abort_rollout(
    store: records.Store,
    attempt: orders.Attempt,
    order: control_pb2.Rollout,
    retry_delay_s: float = acceptance.RETRY_DELAY_S,
) -> control_pb2.RolloutState:
    """Records the attempt to abort a roll-out, and rolls it back.

    Args:
        store: The store.
        attempt: The attempt.
        order: The order of the roll-out, as it was read.
        retry_delay_s: Delay before a write is repeated, in seconds.

    Returns:
        The state of the roll-out, which may have ended before.

    Raises:
        errors.LostRaceError: Another order was written since the check. The
            roll-out may be rolled back, but another one continues.
        errors.UndecidedError: Whether it was rolled back is unknown.
        errors.StoreError: Nothing was changed; the attempt may be recorded.
    """
    identified = orders.identify(order)

    async def write() -> control_pb2.RolloutState:
        return await _roll_back(store, identified)

    return await _carry_out(store, attempt, write, retry_delay_s)


async def _roll_back(
    store: records.Store, order: control_pb2.Rollout
) -> control_pb2.RolloutState:
    """Rolls a roll-out back unless it has ended, and returns its state."""
    aborted = control_pb2.Rollout()
    aborted.CopyFrom(order)
    aborted.state = control_pb2.ROLLED_BACK
    state = await _write_final_state(store, order, aborted)
    if state == control_pb2.ROLLED_BACK:
        # Daemons poll orders, but read a state only when they write it.
        await orders.write_order(store, aborted)
    return state


async def _write_final_state(
    store: records.Store,
    order: control_pb2.Rollout,
    aborted: control_pb2.Rollout,
) -> control_pb2.RolloutState:
    """Writes that a roll-out is rolled back, and returns its state.

    The write is refused if another order was written meanwhile, or if a daemon
    writes in between that the roll-out runs; it is then repeated, unless the
    check finds the other order.
    """
    rollout_storage = storage.RolloutStorage(store, storage.DefaultFormat())
    standing = control_pb2.Rollout()
    standing.CopyFrom(order)
    state = order.state
    for _ in range(_MAX_STATE_WRITES):
        entry = await rollout_storage.read_state_entry(order.service)
        standing.number = await orders.check_standing(store, aborted)
        state = await rollout_storage.replace_state(
            standing, control_pb2.ROLLED_BACK, entry
        )
        if state in rollout_records.FINAL_STATES:
            break
    return state


async def _carry_out(
    store: records.Store,
    attempt: orders.Attempt,
    write: Callable[[], Awaitable[ResultT]],
    retry_delay_s: float,
) -> ResultT:
    """Records an attempt, then makes its write until the store answers it.

    The attempt is recorded again before each repetition. If the store came back
    from a copy meanwhile, it may have lost the record, and the order would be
    in force without one. The answer also tells the era of the store, so that
    the repeated write does not replace another order whose revision equals the
    checked one of the earlier era.

    Args:
        store: The store.
        attempt: The attempt.
        write: Makes the write; it can be repeated.
        retry_delay_s: Delay before a repetition, in seconds.
    """
    record = orders.build_record(attempt, [])
    await records.write_once(store, *record)
    reason: errors.StoreError
    try:
        return await write()
    except errors.StoreUnknownOutcomeError as error:
        reason = error
    for _ in range(_MAX_REPETITIONS):
        await asyncio.sleep(retry_delay_s)
        try:
            await records.write_once(store, *record)
            return await write()
        except errors.StoreError as error:
            reason = error
    raise errors.UndecidedError(str(reason)) from reason
