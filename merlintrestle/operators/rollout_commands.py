"""Commands for roll-outs, which move services to other versions."""

from __future__ import annotations

import asyncio
import time

import click

from merlintrestle import errors
from merlintrestle.operators import audit_trail
from merlintrestle.operators import change_commands
from merlintrestle.operators import exit_codes
from merlintrestle.operators import results
from merlintrestle.operators import session
from merlintrestle.rollouts import operations
from merlintrestle.rollouts import orders
from merlintrestle.rollouts import records as rollout_records
from merlintrestle.rollouts import storage as storages
from merlintrestle.schema import control_pb2
from merlintrestle.store import records as store_records

# Shortest time in which a roll-out can be ordered to end. In a third of it, the
# new version is evaluated by calls that take some tenths of a second. The
# remaining time is for calls in flight to finish.
_MIN_WITHIN_S = 5.0
_MAX_WITHIN_S = 604_800.0  # 7 days.
_POLL_INTERVAL_S = 0.2
_STATE_NAMES = {
    control_pb2.ROLLOUT_STATE_UNSPECIFIED: "ordered",
    control_pb2.RUNNING: "running",
    control_pb2.COMPLETE: "complete",
    control_pb2.ROLLED_BACK: "rolled back",
}


@click.group()
def rollout() -> None:
    """Moves a service to another version, judged while it runs.

    The new version gets a small part of the calls, then more, then all. It goes
    back if its answers are worse than those of the version before.
    """


@rollout.command(
    epilog=session.format_examples(
        "merlintrestle rollout start balie --to v2 --within 120"
    )
)
@click.argument("service")
@click.option("--to", "version", required=True, help="Version to move to.")
@click.option(
    "--within",
    "within_s",
    type=float,
    required=True,
    metavar="SECONDS",
    help="Time in which it is to end; what is not decided then goes back.",
)
@session.pass_session
async def start(
    current_session: session.Session,
    service: str,
    version: str,
    within_s: float,
) -> int:
    """Orders a roll-out."""
    operator = current_session.require_setting("operator")
    findings = _check_options(version, within_s)
    async with current_session.open_store() as store:
        findings += await _check_service(store, service)
        seen = await _read_last_order(store, service)
        findings += _check_last_order(service, seen.order)
        attempt = orders.Attempt(
            orders.START,
            operator,
            current_session.dependencies.read_clock_ms(),
            service,
            version,
        )
        if findings:
            await orders.write_attempt(store, attempt, findings)
            raise errors.InvalidInputError(findings)
        order = control_pb2.Rollout(
            service=service, version=version, within_ms=round(within_s * 1000)
        )
        try:
            number = await operations.start_rollout(
                store,
                attempt,
                order,
                seen,
                current_session.dependencies.retry_delay_s,
            )
        except errors.LostRaceError:
            current_session.report(results.RolloutRace(service))
            return exit_codes.LOST_RACE
        except errors.UndecidedError as error:
            return _report_undecided(current_session, service, error)
    current_session.report(
        results.RolloutShown(service, version, "ordered", number)
    )
    return exit_codes.OK


@rollout.command(
    epilog=session.format_examples("merlintrestle rollout status balie")
)
@click.argument("service")
@session.pass_session
async def status(current_session: session.Session, service: str) -> int:
    """Shows how far the last roll-out of a service has come."""
    async with current_session.open_store() as store:
        order = await _require_last_order(store, service)
    current_session.report(_build_result(order))
    return exit_codes.OK


@rollout.command(
    epilog=session.format_examples(
        "merlintrestle rollout wait balie --wait-timeout 180"
    )
)
@click.argument("service")
@change_commands.wait_timeout_option
@session.pass_session
async def wait(
    current_session: session.Session, service: str, wait_timeout: float
) -> int:
    """Waits for the end of a roll-out; fails unless it is complete."""
    end_time = time.monotonic() + wait_timeout
    async with current_session.open_store() as store:
        order = await _require_last_order(store, service)
        while (
            order.state not in rollout_records.FINAL_STATES
            and time.monotonic() < end_time
        ):
            await asyncio.sleep(_POLL_INTERVAL_S)
            order = await _require_last_order(store, service)
    current_session.report(_build_result(order))
    is_complete = order.state == control_pb2.COMPLETE
    return exit_codes.OK if is_complete else exit_codes.NOT_FULFILLED


@rollout.command(
    epilog=session.format_examples("merlintrestle rollout abort balie")
)
@click.argument("service")
@session.pass_session
async def abort(current_session: session.Session, service: str) -> int:
    """Has a service go back to the version before."""
    operator = current_session.require_setting("operator")
    async with current_session.open_store() as store:
        order = await _require_last_order(store, service)
        attempt = orders.Attempt(
            orders.ABORT,
            operator,
            current_session.dependencies.read_clock_ms(),
            service,
            order.version,
        )
        try:
            order.state = await operations.abort_rollout(
                store,
                attempt,
                order,
                current_session.dependencies.retry_delay_s,
            )
        except errors.LostRaceError:
            current_session.report(results.RolloutReplaced(service))
            return exit_codes.LOST_RACE
        except errors.UndecidedError as error:
            return _report_undecided(current_session, service, error)
    current_session.report(_build_result(order))
    is_rolled_back = order.state == control_pb2.ROLLED_BACK
    return exit_codes.OK if is_rolled_back else exit_codes.LOST_RACE


@rollout.command(
    epilog=session.format_examples("merlintrestle rollout history balie")
)
@click.argument("service")
@session.pass_session
async def history(current_session: session.Session, service: str) -> int:
    """Lists who ordered and ended roll-outs of a service, newest last."""
    async with current_session.open_store() as store:
        attempts = await orders.list_attempts(store, service)
    attempt_results = tuple(
        results.RolloutAttempt(
            audit_trail.format_time(attempt.at_ms),
            attempt.operator,
            attempt.action,
            attempt.version,
            tuple(attempt.refusals),
        )
        for attempt in attempts
    )
    current_session.report(results.RolloutHistory(service, attempt_results))
    return exit_codes.OK


def _report_undecided(
    current_session: session.Session,
    service: str,
    error: errors.UndecidedError,
) -> int:
    """Reports that the outcome of a command is unknown; returns its code."""
    current_session.report(results.RolloutUndecided(service, str(error)))
    return exit_codes.UNKNOWN_OUTCOME


def _check_options(version: str, within_s: float) -> list[errors.Finding]:
    """Returns the findings for the options of the command `start`."""
    findings = []
    if problem := rollout_records.find_version_error(version):
        findings.append(errors.Finding("--to", problem))
    if not _MIN_WITHIN_S <= within_s <= _MAX_WITHIN_S:
        text = f"{within_s:g} is not within {_MIN_WITHIN_S:g} to"
        text += f" {_MAX_WITHIN_S:g} s."
        findings.append(errors.Finding("--within", text))
    return findings


async def _check_service(
    store: store_records.Store, service: str
) -> list[errors.Finding]:
    """Returns a finding if the accepted version has no such service."""
    head, _ = await store_records.read_head(store)
    documents = await store_records.read_documents(store, head)
    names = {
        declared_service.name
        for document in documents.values()
        for declared_service in document.services
    }
    if service in names:
        return []
    text = f"is no service in version {head.version}."
    return [errors.Finding(service, text)]


def _check_last_order(
    service: str, order: control_pb2.Rollout | None
) -> list[errors.Finding]:
    """Returns a finding if the last roll-out of a service has not ended."""
    if order is None or order.state in rollout_records.FINAL_STATES:
        return []
    text = f"is being moved to {order.version} already."
    return [errors.Finding(service, text)]


async def _read_last_order(
    store: store_records.Store, service: str
) -> storages.SeenOrder:
    """Returns the last order for a service, with its state."""
    storage = storages.RolloutStorage(store, storages.DefaultFormat())
    return await storage.read_last_order(service)


async def _require_last_order(
    store: store_records.Store, service: str
) -> control_pb2.Rollout:
    """Returns the last order for a service, with its state.

    Raises:
        errors.InvalidInputError: There is no order for the service.
    """
    order = (await _read_last_order(store, service)).order
    if order is None:
        text = "has no roll-out."
        raise errors.InvalidInputError([errors.Finding(service, text)])
    return order


def _build_result(order: control_pb2.Rollout) -> results.RolloutShown:
    """Returns the result that shows an order and its state."""
    return results.RolloutShown(
        order.service, order.version, _STATE_NAMES[order.state], order.number
    )
