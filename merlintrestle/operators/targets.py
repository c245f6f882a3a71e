"""Whether targets hold: the calls of all daemons against the documents."""

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
    """The targets of one class of work and what was reached.

    Attributes:
        organisation: Who declares them.
        service: Service that serves the class.
        name: Name of the class.
        state: "holds", "missed" or "no calls".
        calls: Calls in the last window of each daemon.
        share: Share of the answered calls within the latency target.
        wanted_share: What the document demands.
        answered: Share of all calls that were answered without a failure.
        wanted_availability: What the document demands.
        refused: Calls that were refused as not run.
        failed: Calls that ran and failed.
        unknown: Calls of which nobody knows whether they ran.
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
    """Returns each class of work with what the fleet reached.

    Args:
        documents: The accepted documents by organisation.
        replies: The status of every daemon that answered.
    """
    sums = _add_up(replies)
    return [
        _judge(
            organisation,
            service.name,
            target,
            sums.get(
                (organisation, service.name, target.name),
                control_pb2.ClassStatus(),
            ),
        )
        for organisation, document in sorted(documents.items())
        for service in document.services
        for target in service.classes
    ]


def _add_up(
    replies: Iterable[control_pb2.StatusReply],
) -> dict[tuple[str, str, str], control_pb2.ClassStatus]:
    sums: dict[tuple[str, str, str], control_pb2.ClassStatus] = {}
    for reply in replies:
        for part in reply.classes:
            key = (part.organisation, part.service, part.name)
            total = sums.setdefault(key, control_pb2.ClassStatus())
            total.calls += part.calls
            total.answered += part.answered
            total.within_latency += part.within_latency
            total.refused += part.refused
            total.failed += part.failed
            total.unknown += part.unknown
    return sums


def _judge(
    organisation: str,
    service: str,
    target: document_pb2.ClassTarget,
    seen: control_pb2.ClassStatus,
) -> Target:
    # A call without an answer counts against availability alone, so that one
    # fault is not reported as two missed targets.
    share = seen.within_latency / seen.answered if seen.answered else 0.0
    answered = seen.answered / seen.calls if seen.calls else 0.0
    state = MISSED
    if not seen.calls:
        state = NO_CALLS
    elif share >= target.share and answered >= target.availability:
        state = HOLDS
    return Target(
        organisation=organisation,
        service=service,
        name=target.name,
        state=state,
        calls=seen.calls,
        share=share,
        wanted_share=target.share,
        answered=answered,
        wanted_availability=target.availability,
        refused=seen.refused,
        failed=seen.failed,
        unknown=seen.unknown,
    )
