"""Commands that move a service to another version of its software."""

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
from merlintrestle.rollouts import orders
from merlintrestle.rollouts import records
from merlintrestle.rollouts import storage as storages
from merlintrestle.schema import control_pb2
from merlintrestle.store import records as store_records

# A version is judged in a third of the time, by answers of some tenths of a
# second; then calls in flight have to end.
MIN_WITHIN_S = 5.0
_MAX_WITHIN_S = 604_800.0
_POLL_S = 0.2
_NAMES = {
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
    run: session.Session, service: str, version: str, within_s: float
) -> int:
    """Orders a roll-out."""
    operator = run.require_setting("operator")
    findings = _check(version, within_s)
    async with run.open_store() as store:
        findings += await _check_service(store, service)
        before = await _read_state(store, service)
        if before is not None and before.state not in records.FINAL_STATES:
            text = f"is being moved to {before.version} already."
            findings.append(errors.Finding(service, text))
        attempt = orders.Attempt(
            orders.START,
            operator,
            run.dependencies.read_clock_ms(),
            service,
            version,
        )
        if findings:
            await orders.write_attempt(store, attempt, findings)
            raise errors.InvalidInputError(findings)
        await orders.write_attempt(store, attempt, [])
        order = control_pb2.Rollout(
            service=service, version=version, within_ms=round(within_s * 1000)
        )
        number = await orders.write_order(store, order)
    if not number:
        run.report(results.RolloutRace(service))
        return exit_codes.LOST_RACE
    run.report(results.RolloutShown(service, version, "ordered", number))
    return exit_codes.OK


@rollout.command(
    epilog=session.format_examples("merlintrestle rollout status balie")
)
@click.argument("service")
@session.pass_session
async def status(run: session.Session, service: str) -> int:
    """Shows how far the last roll-out of a service has come."""
    async with run.open_store() as store:
        found = await _require_state(store, service)
    run.report(_describe(found))
    return exit_codes.OK


@rollout.command(
    epilog=session.format_examples(
        "merlintrestle rollout wait balie --wait-timeout 180"
    )
)
@click.argument("service")
@change_commands.wait_timeout_option
@session.pass_session
async def wait(run: session.Session, service: str, wait_timeout: float) -> int:
    """Waits for the end of a roll-out; fails unless it is complete."""
    until = time.monotonic() + wait_timeout
    async with run.open_store() as store:
        found = await _require_state(store, service)
        while (
            found.state not in records.FINAL_STATES and time.monotonic() < until
        ):
            await asyncio.sleep(_POLL_S)
            found = await _require_state(store, service)
    run.report(_describe(found))
    complete = found.state == control_pb2.COMPLETE
    return exit_codes.OK if complete else exit_codes.NOT_FULFILLED


@rollout.command(
    epilog=session.format_examples("merlintrestle rollout abort balie")
)
@click.argument("service")
@session.pass_session
async def abort(run: session.Session, service: str) -> int:
    """Has a service go back to the version before."""
    operator = run.require_setting("operator")
    async with run.open_store() as store:
        found = await _require_state(store, service)
        attempt = orders.Attempt(
            orders.ABORT,
            operator,
            run.dependencies.read_clock_ms(),
            service,
            found.version,
        )
        await orders.write_attempt(store, attempt, [])
        register = storages.RolloutStorage(store, storages.DefaultFormat())
        found.state = await register.write_state(found, control_pb2.ROLLED_BACK)
        if found.state == control_pb2.ROLLED_BACK:
            # The daemons read orders; they look at states as they write them.
            await orders.write_order(store, found)
    run.report(_describe(found))
    gone_back = found.state == control_pb2.ROLLED_BACK
    return exit_codes.OK if gone_back else exit_codes.LOST_RACE


@rollout.command(
    epilog=session.format_examples("merlintrestle rollout history balie")
)
@click.argument("service")
@session.pass_session
async def history(run: session.Session, service: str) -> int:
    """Lists who ordered and ended roll-outs of a service, newest last."""
    async with run.open_store() as store:
        attempts = await orders.list_attempts(store, service)
    shown = tuple(
        results.RolloutAttempt(
            audit_trail.format_time(one.at_ms),
            one.operator,
            one.action,
            one.version,
            tuple(one.refusals),
        )
        for one in attempts
    )
    run.report(results.RolloutHistory(service, shown))
    return exit_codes.OK


def _check(version: str, within_s: float) -> list[errors.Finding]:
    findings = []
    if problem := records.find_version_error(version):
        findings.append(errors.Finding("--to", problem))
    if not MIN_WITHIN_S <= within_s <= _MAX_WITHIN_S:
        text = f"{within_s:g} is not within {MIN_WITHIN_S:g} to"
        text += f" {_MAX_WITHIN_S:g} s."
        findings.append(errors.Finding("--within", text))
    return findings


async def _check_service(
    store: store_records.Store, service: str
) -> list[errors.Finding]:
    head, _ = await store_records.read_head(store)
    documents = await store_records.read_documents(store, head)
    names = {
        one.name for document in documents.values() for one in document.services
    }
    if service in names:
        return []
    text = f"is no service in version {head.version}."
    return [errors.Finding(service, text)]


async def _read_state(
    store: store_records.Store, service: str
) -> control_pb2.Rollout | None:
    """Returns the last order of a service with its state; None: none was."""
    register = storages.RolloutStorage(store, storages.DefaultFormat())
    for order in await register.read_orders():
        if order.service == service:
            order.state = await register.read_state(order)
            return order
    return None


async def _require_state(
    store: store_records.Store, service: str
) -> control_pb2.Rollout:
    found = await _read_state(store, service)
    if found is None:
        text = "has no roll-out."
        raise errors.InvalidInputError([errors.Finding(service, text)])
    return found


def _describe(found: control_pb2.Rollout) -> results.RolloutShown:
    return results.RolloutShown(
        found.service, found.version, _NAMES[found.state], found.number
    )
