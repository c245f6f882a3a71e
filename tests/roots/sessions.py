"""Whole sessions of operators, written down as a transcript."""

from __future__ import annotations

import pathlib
import re
from typing import TYPE_CHECKING

from merlintrestle.operators import changes
from merlintrestle.store import records
from tests.operators import builders

if TYPE_CHECKING:
    from collections.abc import Callable

_TARGETS = pathlib.Path(__file__).parent / "targets"
_DAEMON = ("--daemon", "127.0.0.1:1001")


class Transcript:
    """Runs commands and keeps what each prints.

    Attributes:
        desk: Where the commands run.
        fleet: The fake fleet that they ask.
    """

    def __init__(self) -> None:
        self.desk = builders.CommandRunner()
        self.fleet = builders.FakeFleet(3)
        self.desk.use_fleet(self.fleet)
        self._lines: list[str] = []

    def note(self, text: str) -> None:
        """Writes down what happens besides commands."""
        self._lines += [f"# {text}", ""]

    def run(self, *arguments: str, operator: str = "anna") -> None:
        """Runs one command and writes down its output and exit code."""
        shown = _shorten(" ".join(arguments))
        result = self.desk.run(*arguments, operator=operator)
        output = _shorten(result.output)
        # The only measured time in the output of a session.
        output = re.sub(r"after [0-9.]+ s", "after N s", output)
        self._lines.append(f"{operator}$ merlintrestle {shown}")
        self._lines += output.splitlines()
        self._lines += [f"[exit {result.exit_code}]", ""]

    def write(self) -> str:
        """Returns the transcript."""
        return "\n".join(self._lines)


def run_change() -> str:
    """An operator's change from command to the last daemon and the audit."""
    session = Transcript()
    fleet = session.fleet
    mesh, zaanoever = _find("mesh"), _find("zaanoever")
    session.run("validate", _find("faulty"))
    session.run("validate", mesh, zaanoever)
    session.run("apply", zaanoever)
    session.run("apply", mesh)
    fleet.update = session.desk.run_accepted_version
    fleet.update_after_requests = 9
    session.run("apply", zaanoever, "--wait", *_DAEMON)
    fleet.count_calls(0, "lookup", 2000, 2000, 1995)
    session.run("status", *_DAEMON)
    session.run("diff", _find("faster"))
    session.run("apply", _find("faster"))
    fleet.count_calls(1, "lookup", 100, 98, 60)
    session.run("status", *_DAEMON)
    session.run("show", "zaanoever")
    session.run("withdraw", "mesh")
    session.run("withdraw", "zaanoever")
    session.run("history")
    session.run("audit")
    return session.write()


def run_race() -> str:
    """Operators of the same and of different organisations race."""
    session = Transcript()
    session.run("apply", _find("mesh"))
    session.run("apply", _find("zaanoever"))
    session.note("bram withdraws zaanoever just before anna's is accepted")
    _before_next_swap(session, changes.Proposal("bram", "zaanoever", None))
    session.run("apply", _find("faster"))
    session.note("cato enlarges the budget just before anna's is accepted")
    larger = _TARGETS / "mesh-larger.toml"
    _before_next_swap(session, builders.build_proposal(larger, "cato"))
    session.run("apply", _find("faster"))
    session.run("apply", _find("zaanoever"), "--base", "3", operator="bram")
    session.run("audit")
    return session.write()


def run_outage() -> str:
    """The store loses an answer, goes silent at acceptance, goes down."""
    session = Transcript()
    store = session.desk.store
    session.note("the answer to the write of head is lost")
    store.lost_answers[records.HEAD_KEY] = 1
    session.run("apply", _find("mesh"))
    session.note("the store takes the write of head and answers no more")
    store.late_writes[records.HEAD_KEY] = 100
    session.run("apply", _find("zaanoever"))
    session.run("audit")
    session.note("the write takes effect")
    store.release_late_writes()
    store.late_writes.clear()
    session.run("audit")
    session.run("apply", _find("zaanoever"))
    session.note("the store goes down")
    store.down = True
    session.run("apply", _find("faster"))
    session.desk.run_accepted_version(session.fleet)
    session.run("status", *_DAEMON)
    return session.write()


def _before_next_swap(session: Transcript, proposal: changes.Proposal) -> None:
    """Lets another operator's change be accepted before the next swap."""
    store = session.desk.store

    async def race(method: str, key: str) -> None:
        if method == "put" and key == records.HEAD_KEY:
            store.before_call = None
            await session.desk.propose_now(proposal)

    store.before_call = race


def _find(name: str) -> str:
    return str(_TARGETS / f"{name}.toml")


def _shorten(text: str) -> str:
    return text.replace(f"{_TARGETS}/", "")


SESSIONS: dict[str, Callable[[], str]] = {
    "change": run_change,
    "race": run_race,
    "outage": run_outage,
}
