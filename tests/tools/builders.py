"""Builders of test data for the development tools."""

from __future__ import annotations

from typing import Any

from tools import calls
from tools import convergence
from tools import load
from tools import workload


def build_class(name: str = "payout", **fields: Any) -> workload.ClassLoad:
    """Builds a class of work.

    Args:
        name: Name of the class.
        **fields: Fields that differ from the defaults.
    """
    defaults: dict[str, Any] = {
        "organisation": "zaanoever",
        "service": "kassa",
        "name": name,
        "method": "POST",
        "prefix": "/payouts",
        "repeatable": False,
        "large": False,
        "importance": 5,
        "rate": 40.0,
        "work_ms": 1.0,
        "latency_ms": 800.0,
        "share": 0.99,
        "deadline_ms": 5000.0,
    }
    return workload.ClassLoad(**{**defaults, **fields})


def build_result(request_id: str, *verdicts: calls.Verdict) -> load.Result:
    """Builds the result of a request.

    Args:
        request_id: Id of the request.
        *verdicts: Verdict on each attempt, in order.
    """
    attempts = [
        calls.Attempt(f"{request_id}.{number}", "", 0, 1.0, 0, verdict, None)
        for number, verdict in enumerate(verdicts)
    ]
    return load.Result(
        label="kassa/payout",
        request_id=request_id,
        latency_ms=1.0,
        large=False,
        crash=False,
        met=True,
        attempts=attempts,
    )


def build_change_figures(
    delays_s: list[float], missing: int = 0, control_bytes: float = 0.0
) -> convergence.ChangeFigures:
    """Builds the figures of a change, without calls to the store.

    Args:
        delays_s: Time until each daemon ran the version, in seconds.
        missing: Number of daemons that did not run it in time.
        control_bytes: Control bytes of the whole fleet, less those of an idle
            fleet.
    """
    return convergence.ChangeFigures(
        delays_s, missing, control_bytes, 0.0, 0, None
    )


def build_run(
    attempt_id: str, key: str = "", at: str = "there", at_ms: int = 0
) -> dict[str, Any]:
    """Builds a backend server's record of the start of a run.

    Args:
        attempt_id: Id of the attempt, which begins with the request's id.
        key: Idempotency key of the call; empty if there is none.
        at: Address of the backend server.
        at_ms: Time of the start, in ms since 1970.
    """
    return {
        "event": "started",
        "request_id": attempt_id.partition(".")[0],
        "attempt_id": attempt_id,
        "key": key,
        "at": at,
        "at_ms": at_ms,
    }
