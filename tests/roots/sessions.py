"""Sessions of operators: sequences of commands, recorded as transcripts."""

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


class SessionRecorder:
    """Runs the commands of a session and records their output.

    Attributes:
        runner: Runs the commands.
        fleet: The fake fleet that the commands ask.
    """

    def __init__(self) -> None:
        self.runner = builders.CommandRunner()
        self.fleet = builders.FakeFleet(3)
        self.runner.use_fleet(self.fleet)
        self._lines: list[str] = []

    def add_comment(self, text: str) -> None:
        """Records an event that is not a command."""
        self._lines += [f"# {text}", ""]

    def run(self, *arguments: str, operator: str = "anna") -> None:
        """Runs a command and records its output and exit code."""
        command = _remove_folder(" ".join(arguments))
        result = self.runner.run(*arguments, operator=operator)
        output = _remove_folder(result.output)
        # The only measured duration in the output.
        output = re.sub(r"after [0-9.]+ s", "after N s", output)
        self._lines.append(f"{operator}$ merlintrestle {command}")
        self._lines += output.splitlines()
        self._lines += [f"[exit {result.exit_code}]", ""]

    def get_text(self) -> str:
        """Returns the transcript."""
        return "\n".join(self._lines)


def run_change() -> str:
    """Runs changes, from their validation to the withdrawal of a document.

    The first change of the document is in force on all daemons; the daemons do
    not run the next one.
    """
    recorder = SessionRecorder()
    fleet = recorder.fleet
    mesh, zaanoever = _get_path("mesh"), _get_path("zaanoever")
    recorder.run("validate", _get_path("faulty"))
    recorder.run("validate", mesh, zaanoever)
    recorder.run("apply", zaanoever)
    recorder.run("apply", mesh)
    fleet.update = recorder.runner.activate_accepted_version
    # The first request of the third round of the wait. Each round has one
    # request for the list of members and one to each of the three members.
    fleet.update_after_requests = 9
    recorder.run("apply", zaanoever, "--wait", *_DAEMON)
    fleet.add_calls(0, "lookup", 2000, 2000, 1995)
    recorder.run("status", *_DAEMON)
    recorder.run("diff", _get_path("faster"))
    recorder.run("apply", _get_path("faster"))
    fleet.add_calls(1, "lookup", 100, 98, 60)
    recorder.run("status", *_DAEMON)
    recorder.run("show", "zaanoever")
    recorder.run("withdraw", "mesh")
    recorder.run("withdraw", "zaanoever")
    recorder.run("history")
    recorder.run("audit")
    return recorder.get_text()


def run_race() -> str:
    """Runs concurrent changes of the same and of different organisations."""
    recorder = SessionRecorder()
    recorder.run("apply", _get_path("mesh"))
    recorder.run("apply", _get_path("zaanoever"))
    recorder.add_comment(
        "bram withdraws zaanoever just before anna's is accepted"
    )
    _accept_before_next_swap(
        recorder, changes.Proposal("bram", "zaanoever", None)
    )
    recorder.run("apply", _get_path("faster"))
    recorder.add_comment(
        "cato enlarges the budget just before anna's is accepted"
    )
    larger = _TARGETS / "mesh-larger.toml"
    _accept_before_next_swap(recorder, builders.build_proposal(larger, "cato"))
    recorder.run("apply", _get_path("faster"))
    recorder.run(
        "apply", _get_path("zaanoever"), "--base", "3", operator="bram"
    )
    recorder.run("audit")
    return recorder.get_text()


def run_outage() -> str:
    """Runs changes while the store loses answers and while it is down."""
    recorder = SessionRecorder()
    store = recorder.runner.store
    recorder.add_comment("the answer to the write of head is lost")
    store.lost_answers[records.HEAD_KEY] = 1
    recorder.run("apply", _get_path("mesh"))
    recorder.add_comment(
        "the store takes the write of head and answers no more"
    )
    # More writes than there are attempts.
    store.late_writes[records.HEAD_KEY] = 100
    recorder.run("apply", _get_path("zaanoever"))
    recorder.run("audit")
    recorder.add_comment("the write takes effect")
    store.release_late_writes()
    store.late_writes.clear()
    recorder.run("audit")
    recorder.run("apply", _get_path("zaanoever"))
    recorder.add_comment("the store goes down")
    store.down = True
    recorder.run("apply", _get_path("faster"))
    recorder.runner.activate_accepted_version(recorder.fleet)
    recorder.run("status", *_DAEMON)
    return recorder.get_text()


def _accept_before_next_swap(
    recorder: SessionRecorder, proposal: changes.Proposal
) -> None:
    """Has another operator's change accepted before the next swap."""
    store = recorder.runner.store

    async def before_call(method: str, key: str) -> None:
        if method == "put" and key == records.HEAD_KEY:
            store.before_call = None
            await recorder.runner.propose(proposal)

    store.before_call = before_call


def _get_path(name: str) -> str:
    """Returns the path of a target document."""
    return str(_TARGETS / f"{name}.toml")


def _remove_folder(text: str) -> str:
    """Removes the folder of the target documents from a text."""
    return text.replace(f"{_TARGETS}/", "")


SESSIONS: dict[str, Callable[[], str]] = {
    "change": run_change,
    "race": run_race,
    "outage": run_outage,
}
