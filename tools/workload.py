"""Classes of work of an example fleet, read from its target documents."""

from __future__ import annotations

import pathlib
import tomllib
from typing import Any, NamedTuple

_FLEETS_FOLDER = pathlib.Path(__file__).parent.parent / "fleets"


class ClassLoad(NamedTuple):
    """Load and targets of one class of work.

    Attributes:
        organisation: Organisation that declares the class.
        service: Service that runs its calls.
        name: Name of the class.
        method: HTTP method of its calls.
        prefix: Path prefix within the service.
        repeatable: Whether a call may run more than once (is idempotent).
        large: Whether the answers are downloads.
        importance: From 1 (shed first) to 5 (shed last).
        rate: Expected calls per second over the whole mesh.
        work_ms: Time that a backend server works on a call, in ms.
        latency_ms: Latency target in ms.
        share: Fraction of the calls that must be answered within
            `latency_ms`.
        deadline_ms: Time in which a call must have its final answer, in ms.
    """

    organisation: str
    service: str
    name: str
    method: str
    prefix: str
    repeatable: bool
    large: bool
    importance: int
    rate: float
    work_ms: float
    latency_ms: float
    share: float
    deadline_ms: float

    @property
    def label(self) -> str:
        """Service and class as text, such as "kassa/payout"."""
        return f"{self.service}/{self.name}"


def list_documents(fleet_name: str) -> list[str]:
    """Returns the paths of a fleet's target documents, the mesh's first."""
    paths = sorted((_FLEETS_FOLDER / fleet_name).glob("*.toml"))
    paths.sort(key=lambda path: path.stem != "mesh")
    return [str(path) for path in paths]


def read_classes(fleet_name: str) -> list[ClassLoad]:
    """Returns every class of work that a fleet's documents declare."""
    classes = []
    for path in list_documents(fleet_name):
        document = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        organisation = document["organisation"]
        for service, target in document.get("services", {}).items():
            for name, fields in target.get("classes", {}).items():
                classes.append(_read_class(organisation, service, name, fields))
    return classes


def _read_class(
    organisation: str, service: str, name: str, fields: dict[str, Any]
) -> ClassLoad:
    """Returns one class of work, with the method and prefix of its first match.

    A match of any method, "*", gives the method GET.

    Args:
        organisation: Organisation that declares the class.
        service: Service that runs its calls.
        name: Name of the class.
        fields: Fields of the class in the document.
    """
    method, _, prefix = fields["match"][0].partition(" ")
    return ClassLoad(
        organisation=organisation,
        service=service,
        name=name,
        method="GET" if method == "*" else method,
        prefix=prefix,
        repeatable=fields["repeatable"],
        large=fields.get("size") == "large",
        importance=fields["importance"],
        rate=fields["rate"],
        work_ms=fields["work_ms"],
        latency_ms=fields["latency_ms"],
        share=fields["share"],
        deadline_ms=fields["deadline_ms"],
    )
