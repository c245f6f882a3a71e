"""Work, backend servers and results of the simulated fleet."""

from __future__ import annotations

import math
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    import collections

    from merlintrestle.documents import snapshot as snapshots


class WorkClass(NamedTuple):
    """A class of work and the callers that send its calls.

    Attributes:
        plan: Declared targets of the class.
        rate: Requests per second of all callers, without their retries; 0 if
            all calls of the class are nested in calls of other classes.
        work_s: Mean work time at a backend server of usual speed, in seconds.
        timeout_s: Longest timeout of a caller, in seconds.
        min_timeout_fraction: Shortest timeout of a caller, as a fraction of the
            longest one.
        max_retries: Maximum number of retries of a caller.
        in_time_value: Value of an answer within the latency target.
        late_value: Value of a later answer.
        nested_classes: Names of the classes of the nested calls that each call
            makes.
    """

    plan: snapshots.ClassPlan
    rate: float
    work_s: float
    timeout_s: float
    min_timeout_fraction: float = 0.83
    max_retries: int = 1
    in_time_value: float = 1.0
    late_value: float = 0.5
    nested_classes: tuple[str, ...] = ()


class Server(NamedTuple):
    """A backend server and its instance.

    Attributes:
        service: Service that the backend server serves.
        zone: Availability zone of the instance.
        slots: Number of calls that the backend server runs at once.
        slowness: Work time, as a multiple of the usual one.
        shed_fraction: Fraction of the calls that the backend server sheds, even
            if it has capacity.
        rate_limits: Times in seconds from the start, and the rate limit that
            the backend server states from then on, in calls per second; None:
            no limit.
    """

    service: str
    zone: str
    slots: int = 18
    slowness: float = 1.0
    shed_fraction: float = 0.0
    rate_limits: tuple[tuple[float, float | None], ...] = ()

    def get_rate_limit(self, elapsed_s: float) -> float | None:
        """Returns the rate limit at a time, in seconds from the start."""
        rate_limit = None
        for since_s, stated_limit in self.rate_limits:
            if since_s <= elapsed_s:
                rate_limit = stated_limit
        return rate_limit


class ServerChange(NamedTuple):
    """A change of a backend server during the simulation.

    Attributes:
        at_s: Time of the change, in seconds from the start.
        server_number: Number of the backend server.
        slowness: Slowness of the backend server from then on; 0 if it drains.
        restarts_daemon: Whether the daemon of the backend server is restarted
            instead. It then knows as little as after its first start.
    """

    at_s: float
    server_number: int
    slowness: float = 1.0
    restarts_daemon: bool = False


class Swing(NamedTuple):
    """Demand that moves between the availability zones and back.

    The demand of a zone is a sine around its mean. The zones follow each other
    at equal distances, so the demand of all zones together is constant.

    Attributes:
        amplitude: Greatest difference from the mean, as a fraction of it.
        period_s: Time between two peaks of a zone, in seconds.
    """

    amplitude: float
    period_s: float

    def get_factor(self, phase: float, elapsed_s: float) -> float:
        """Returns the demand of a zone as a multiple of its mean.

        Args:
            phase: Distance of the zone from the first one, as a fraction of the
                period.
            elapsed_s: Seconds from the start.
        """
        angle = 2 * math.pi * (elapsed_s / self.period_s + phase)
        return 1.0 + self.amplitude * math.sin(angle)


class Result(NamedTuple):
    """Results of the callers.

    Attributes:
        counts: Number of requests by name of the class and name of the result:
            "in time", "late", "refused" (without a retry), "refused again"
            (after a retry) or "failed".
        earned: Value of the answers, as a fraction of the value that all
            requests would have if answered in time.
        served: Fraction of the requests that were answered, in time or late.
            An error, or an answer after the caller's timeout, does not count.
        worst: Mean of `earned` in the two worst windows. A request counts in
            the window in which it began.
        far: Fraction of the answers between daemons that crossed zones.
        refused_hops: Fraction of the attempts between daemons that were
            refused.
        busiest: Fraction of the time that the slots of the busiest backend
            server were in use, as a multiple of the mean of its service;
            greatest of all services.
        repeat_ratios: Repeats that reached backend servers, as a ratio to the
            calls, by service.
        sends: Times at which calls were sent to each backend server, in seconds
            from the start.
    """

    counts: collections.Counter[tuple[str, str]]
    earned: float
    served: float
    worst: float
    far: float
    refused_hops: float
    busiest: float
    repeat_ratios: dict[str, float]
    sends: list[list[float]]

    def compute_fraction(self, class_name: str, result_name: str) -> float:
        """Returns the fraction of a class's requests that had a result.

        Args:
            class_name: Name of the class.
            result_name: Name of the result, as in `counts`.
        """
        total = sum(
            count for key, count in self.counts.items() if key[0] == class_name
        )
        return self.counts[class_name, result_name] / max(1, total)
