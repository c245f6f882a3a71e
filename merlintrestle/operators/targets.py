"""Compares the calls of all daemons with the targets of the documents."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from merlintrestle.schema import document_pb2

HOLDS = "holds"
MISSED = "missed"
NO_CALLS = "no calls"


class Target(NamedTuple):
    """The targets of a class of work and the measured values.

    Attributes:
        organisation: Organisation that declares the targets.
        service: Service that serves the class.
        name: Name of the class.
        state: "holds", "missed" or "no calls".
        calls: Number of calls in the last window, summed over all daemons.
        share: Fraction of the answered calls within the latency target.
        wanted_share: Target of `share`.
        answered: Fraction of all calls that were answered without a failure.
        wanted_availability: Target of `answered`.
        refused: Number of calls that were refused as not run.
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
        _evaluate_target(
            organisation,
            service.name,
            target,
            totals.get(
                (organisation, service.name, target.name),
                control_pb2.ClassStatus(),
            ),
        )
        for organisation, document in sorted(documents.items())
        for service in document.services
        for target in service.classes
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


def _evaluate_target(
    organisation: str,
    service: str,
    target: document_pb2.ClassTarget,
    total: control_pb2.ClassStatus,
) -> Target:
    # A call without an answer counts only towards availability, so that one
    # fault does not count as two missed targets.
    share = total.within_latency / total.answered if total.answered else 0.0
    answered = total.answered / total.calls if total.calls else 0.0
    state = MISSED
    if not total.calls:
        state = NO_CALLS
    elif share >= target.share and answered >= target.availability:
        state = HOLDS
    return Target(
        organisation=organisation,
        service=service,
        name=target.name,
        state=state,
        calls=total.calls,
        share=share,
        wanted_share=target.share,
        answered=answered,
        wanted_availability=target.availability,
        refused=total.refused,
        failed=total.failed,
        unknown=total.unknown,
    )
