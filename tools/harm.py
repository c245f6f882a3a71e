"""Counts harmful outcomes in callers' results and backend servers' records."""

from __future__ import annotations

import collections
import math
from typing import Any, NamedTuple, TYPE_CHECKING

from tools import calls

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from tools import load


class Harm(NamedTuple):
    """Counts of harmful outcomes, all of which must be 0.

    Attributes:
        wrong_answers: Answers that belong to another call.
        cut_answers_shown_whole: Truncated answers that ended as if they were
            complete.
        payouts_run_twice: Idempotency keys of non-repeatable work that ran
            more than once.
        not_run_but_ran: Attempts refused as not run that did run.
    """

    wrong_answers: int
    cut_answers_shown_whole: int
    payouts_run_twice: int
    not_run_but_ran: int


def count_harm(
    results: Iterable[load.Result], runs: Iterable[Mapping[str, Any]]
) -> Harm:
    """Compares callers' results with the backend servers' records.

    Args:
        results: Results of the callers' requests.
        runs: Records of the backend servers. Those of the event "started" are
            the calls that ran.
    """
    attempts = [attempt for result in results for attempt in result.attempts]
    verdicts = collections.Counter(attempt.verdict for attempt in attempts)
    started = [run for run in runs if run["event"] == "started"]
    keys = collections.Counter(run["key"] for run in started if run["key"])
    ran_attempts = {run["attempt_id"] for run in started}
    refused_attempts = {
        attempt.attempt_id
        for attempt in attempts
        if attempt.verdict is calls.Verdict.NOT_RUN
    }
    return Harm(
        wrong_answers=verdicts[calls.Verdict.WRONG],
        cut_answers_shown_whole=verdicts[calls.Verdict.CUT_SHOWN_WHOLE],
        payouts_run_twice=sum(count > 1 for count in keys.values()),
        not_run_but_ran=len(refused_attempts & ran_attempts),
    )


def compute_amplification(runs: Iterable[Mapping[str, Any]]) -> int:
    """Returns the largest number of runs that one caller's attempt caused.

    Args:
        runs: Records of the backend servers.
    """
    started = collections.Counter(
        run["attempt_id"] for run in runs if run["event"] == "started"
    )
    return max(started.values(), default=0)


def count_new_work(
    runs: Iterable[Mapping[str, Any]],
    address: str,
    after_ms: int,
    until_ms: float = math.inf,
) -> int:
    """Returns the number of runs that a backend server began in an interval.

    Args:
        runs: Records of the backend servers.
        address: Address of the backend server.
        after_ms: Start of the interval, exclusive, in ms since 1970.
        until_ms: End of the interval, exclusive, in ms since 1970.
    """
    return sum(
        run["event"] == "started"
        and run["at"] == address
        and after_ms < run["at_ms"] < until_ms
        for run in runs
    )


def count_regressions(versions: Iterable[int]) -> int:
    """Returns how often a daemon moved to a lower version than it ran.

    Args:
        versions: Versions that the daemon ran, in the order in which it did.
    """
    version_list = list(versions)
    pairs = zip(version_list, version_list[1:], strict=False)
    return sum(later < earlier for earlier, later in pairs)
