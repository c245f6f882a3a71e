"""What every command of the operators' program needs: settings, store, exit."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from typing import Any, NamedTuple, TYPE_CHECKING

import click

from merlintrestle import config
from merlintrestle import errors
from merlintrestle.operators import changes
from merlintrestle.operators import exit_codes
from merlintrestle.operators import fleet
from merlintrestle.operators import outcomes
from merlintrestle.operators import output
from merlintrestle.operators import results
from merlintrestle.schema import settings_pb2
from merlintrestle.store import acceptance
from merlintrestle.store import client
from merlintrestle.store import records

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from merlintrestle.schema import document_pb2


class Dependencies(NamedTuple):
    """Where a session gets what tests replace.

    Attributes:
        open_store: Makes a store client from address and timeout in seconds.
        make_id: Makes a change id for the version it would make.
        read_clock_ms: Returns milliseconds since 1970.
        retry_delay_s: Seconds between two tries of a write without answer.
        ask_status: Asks a daemon for its status.
        push_version: Gives an accepted version to a daemon.
    """

    open_store: Callable[[str, float], Any] = client.StoreClient
    make_id: Callable[[int], str] = changes.make_change_id
    read_clock_ms: Callable[[], int] = changes.read_clock_ms
    retry_delay_s: float = acceptance.RETRY_DELAY_S
    ask_status: fleet.AskStatus = fleet.ask_daemon
    push_version: fleet.PushVersion = fleet.push_version


class Session:
    """One run of a command.

    Attributes:
        settings: The checked settings.
        dependencies: Where it gets store, ids and times.
    """

    def __init__(
        self,
        settings: settings_pb2.OperatorSettings,
        dependencies: Dependencies,
    ):
        self.settings = settings
        self.dependencies = dependencies

    @property
    def is_json(self) -> bool:
        """True if the output is for programs."""
        return self.settings.output == "json"

    def require_setting(self, name: str) -> str:
        """Returns a setting that this command cannot do without."""
        value = getattr(self.settings, name)
        if not value:
            variable = config.VARIABLE_PREFIX + name.upper()
            raise click.UsageError(f"--{name} ({variable}) is required.")
        return value

    @contextlib.asynccontextmanager
    async def open_store(self) -> AsyncIterator[records.Store]:
        """Starts a store client and closes it at the end."""
        store = self.dependencies.open_store(
            self.require_setting("store"), self.settings.timeout_s
        )
        await store.start()
        try:
            yield store
        finally:
            await store.close()

    async def read_accepted(
        self,
    ) -> tuple[document_pb2.Head, dict[str, document_pb2.Document]]:
        """Returns the head record and the documents that it names."""
        async with self.open_store() as store:
            head, _ = await records.read_head(store)
            return head, await records.read_documents(store, head)

    def report(self, result: Any) -> None:
        """Prints a result in the form that the operator asked for."""
        click.echo(output.format_result(result, self.is_json))

    def report_progress(self, text: str) -> None:
        """Prints a line of progress, apart from the result."""
        click.echo(text, err=True)


def format_examples(*lines: str) -> str:
    """Returns the end of a command's help: its examples, not rewrapped."""
    title = "Example:" if len(lines) == 1 else "Examples:"
    return "\n".join(["\b", title, *(f"  {line}" for line in lines)])


def pass_session(body: Callable[..., Awaitable[int]]) -> Callable[..., None]:
    """Makes a click callback of a coroutine function.

    The coroutine gets a `Session` first and returns the exit code. Settings
    may stand before or after the command's name; the latter go first.
    """

    @config.add_options(settings_pb2.OperatorSettings)
    @click.pass_context
    @functools.wraps(body)
    def callback(context: click.Context, /, **values: Any) -> None:
        given = context.find_root().params
        texts = {}
        for setting in config.list_settings(settings_pb2.OperatorSettings):
            own = values.pop(setting.name)
            texts[setting.name] = own or given.get(setting.name)
        dependencies = context.obj or Dependencies()
        context.exit(_run(body, texts, dependencies, values))

    return callback


def _run(
    body: Callable[..., Any],
    texts: dict[str, str | None],
    dependencies: Dependencies,
    values: dict[str, Any],
) -> int:
    try:
        settings = config.read_settings(settings_pb2.OperatorSettings, texts)
    except errors.InvalidInputError as error:
        raise click.UsageError(str(error)) from error
    session = Session(settings, dependencies)
    try:
        return asyncio.run(body(session, **values))
    except KeyboardInterrupt:
        return exit_codes.INTERRUPTED
    except errors.InvalidInputError as error:
        session.report(outcomes.Refused(tuple(error.findings)))
        return exit_codes.FINDINGS
    except errors.StoreError as error:
        # Reads and the writes before acceptance end here; a change whose
        # acceptance is in doubt is a result of its own (outcomes.Undecided).
        is_corrupt = isinstance(error, errors.CorruptRecordError)
        session.report(results.StoreFailure(str(error), is_corrupt))
        return exit_codes.STORE_UNAVAILABLE
