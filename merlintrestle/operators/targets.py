"""Compares the calls of all daemons with the targets of the documents."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from merlintrestle.schema import document_pb2

# Values of `Target.state`.
HOLDS = "holds"
MISSED = "missed"
NO_CALLS = "no calls"


class Target(NamedTuple):
    """The targets of a class of work and the measured values.

    The values were measured in the last window of each daemon that answered;
    the counts are summed over these daemons, and the fractions are computed
    from the sums.

    Attributes:
        organisation: Organisation that declares the targets.
        service: Service that serves the class.
        name: Name of the class.
        state: "holds", "missed" or "no calls".
        calls: Number of calls.
        share: Fraction of the answered calls within the latency target; 0 if
            there were none.
        wanted_share: Target of `share`.
        answered: Fraction of all calls that were answered without a failure; 0
            if there were none.
        wanted_availability: Target of `answered`.
        refused: Number of calls that were refused and did not run.
        failed: Number of calls that ran and failed.
        unknown: Number of calls of which it is unknown whether they ran.
    """

    organisation: str
    service: str
    name: str
    state: str
    calls: int
    share: float
    wanted_share: float
    answered: float
    wanted_availability: float
    refused: int
    failed: int
    unknown: int


def evaluate_targets(
    documents: Mapping[str, document_pb2.Document],
    replies: Iterable[control_pb2.StatusReply],
) -> list[Target]:
    """Returns the targets and measured values of each class of work.

    Args:
        documents: The accepted documents by organisation.
        replies: The status of each daemon that answered.
    """
    totals = _sum_by_class(replies)
    return [
        _evaluate_class(
            organisation,
            service.name,
            class_target,
            totals.get(
                (organisation, service.name, class_target.name),
                control_pb2.ClassStatus(),
            ),
        )
        for organisation, document in sorted(documents.items())
        for service in document.services
        for class_target in service.classes
    ]


def _sum_by_class(
    replies: Iterable[control_pb2.StatusReply],
) -> dict[tuple[str, str, str], control_pb2.ClassStatus]:
    """Returns the sums over all daemons by organisation, service and class."""
    totals: dict[tuple[str, str, str], control_pb2.ClassStatus] = {}
    for reply in replies:
        for counts in reply.classes:
            key = (counts.organisation, counts.service, counts.name)
            total = totals.setdefault(key, control_pb2.ClassStatus())
            total.calls += counts.calls
            total.answered += counts.answered
            total.within_latency += counts.within_latency
            total.refused += counts.refused
            total.failed += counts.failed
            total.unknown += counts.unknown
    return totals


def _evaluate_class(
    organisation: str,
    service: str,
    class_target: document_pb2.ClassTarget,
    total: control_pb2.ClassStatus,
) -> Target:
    # A call without an answer counts only towards availability, so that one
    # fault does not count as two missed targets.
    in_time_fraction = (
        total.within_latency / total.answered if total.answered else 0.0
    )
    answered_fraction = total.answered / total.calls if total.calls else 0.0
    state = MISSED
    if not total.calls:
        state = NO_CALLS
    elif (
        in_time_fraction >= class_target.share
        and answered_fraction >= class_target.availability
    ):
        state = HOLDS
    return Target(
        organisation=organisation,
        service=service,
        name=class_target.name,
        state=state,
        calls=total.calls,
        share=in_time_fraction,
        wanted_share=class_target.share,
        answered=answered_fraction,
        wanted_availability=class_target.availability,
        refused=total.refused,
        failed=total.failed,
        unknown=total.unknown,
    )
