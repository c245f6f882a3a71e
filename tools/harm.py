"""Counts harm from what callers got and what backend servers ran."""

from __future__ import annotations

import collections
import math
from typing import Any, NamedTuple, TYPE_CHECKING

from tools import calls

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from tools import load


class Harm(NamedTuple):
    """Counts that must all be 0.

    Attributes:
        wrong_answers: Answers that were not the caller's own.
        cut_answers_shown_whole: Answers that broke off yet ended cleanly.
        payouts_run_twice: Keys of work that may not be repeated that ran
            more than once.
        not_run_but_ran: Sendings refused as not run that did run.
    """

    wrong_answers: int
    cut_answers_shown_whole: int
    payouts_run_twice: int
    not_run_but_ran: int


def count_harm(
    results: Iterable[load.Result], runs: Iterable[Mapping[str, Any]]
) -> Harm:
    """Compares callers' results with the backend servers' records."""
    attempts = [attempt for result in results for attempt in result.attempts]
    verdicts = collections.Counter(attempt.verdict for attempt in attempts)
    started = [run for run in runs if run["event"] == "started"]
    keys = collections.Counter(run["key"] for run in started if run["key"])
    ran = {run["attempt_id"] for run in started}
    refused = {
        attempt.attempt_id
        for attempt in attempts
        if attempt.verdict is calls.Verdict.NOT_RUN
    }
    return Harm(
        wrong_answers=verdicts[calls.Verdict.WRONG],
        cut_answers_shown_whole=verdicts[calls.Verdict.CUT_SHOWN_WHOLE],
        payouts_run_twice=sum(count > 1 for count in keys.values()),
        not_run_but_ran=len(refused & ran),
    )


def compute_amplification(runs: Iterable[Mapping[str, Any]]) -> int:
    """Returns the most runs that one sending of a caller caused."""
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
    """Returns the runs that a backend server began between two times in ms."""
    return sum(
        run["event"] == "started"
        and run["at"] == address
        and after_ms < run["at_ms"] < until_ms
        for run in runs
    )


def count_regressions(versions: Iterable[int]) -> int:
    """Returns how often a daemon took a lower version than the one before."""
    listed = list(versions)
    pairs = zip(listed, listed[1:], strict=False)
    return sum(later < earlier for earlier, later in pairs)
