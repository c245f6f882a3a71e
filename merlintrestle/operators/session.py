"""Sessions of commands: their settings, store, output and exit code."""

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
    """Dependencies of a session, which tests replace.

    Attributes:
        open_store: Returns a store client for an address and a timeout in
            seconds.
        make_id: Returns a change id for the version that the change would
            create.
        read_clock_ms: Returns the current time, in ms since 1970.
        retry_delay_s: Delay between two attempts of a write that got no answer,
            in seconds.
        ask_status: Returns the status of a daemon.
        push_version: Sends an accepted version to a daemon.
    """

    open_store: Callable[[str, float], Any] = client.StoreClient
    make_id: Callable[[int], str] = changes.make_change_id
    read_clock_ms: Callable[[], int] = changes.read_clock_ms
    retry_delay_s: float = acceptance.RETRY_DELAY_S
    ask_status: fleet.AskStatus = fleet.ask_daemon
    push_version: fleet.PushVersion = fleet.push_version


class Session:
    """A run of a command.

    Attributes:
        settings: The validated settings.
        dependencies: The store client, clock and other dependencies.
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
        """Whether results are printed as JSON."""
        return self.settings.output == "json"

    def require_setting(self, name: str) -> str:
        """Returns the value of a setting that the command requires.

        Raises:
            click.UsageError: The setting is not set.
        """
        value = getattr(self.settings, name)
        if not value:
            variable = config.VARIABLE_PREFIX + name.upper()
            raise click.UsageError(f"--{name} ({variable}) is required.")
        return value

    @contextlib.asynccontextmanager
    async def open_store(self) -> AsyncIterator[records.Store]:
        """Yields a started store client, which is closed afterwards."""
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
        """Returns the head record and the documents that it refers to."""
        async with self.open_store() as store:
            head, _ = await records.read_head(store)
            return head, await records.read_documents(store, head)

    def report(self, result: Any) -> None:
        """Prints a result in the output format of the settings."""
        click.echo(output.format_result(result, self.is_json))

    def report_progress(self, text: str) -> None:
        """Prints a line to standard error, separate from the result."""
        click.echo(text, err=True)


def format_examples(*lines: str) -> str:
    """Returns examples as a command's epilog, which click does not wrap."""
    title = "Example:" if len(lines) == 1 else "Examples:"
    return "\n".join(["\b", title, *(f"  {line}" for line in lines)])


def pass_session(
    command_body: Callable[..., Awaitable[int]],
) -> Callable[..., None]:
    """Converts a coroutine function to a click callback.

    The coroutine function gets a `Session` as its first argument and returns
    the exit code. Settings can be given before and after the name of the
    command; those after it take precedence.
    """

    @config.add_options(settings_pb2.OperatorSettings)
    @click.pass_context
    @functools.wraps(command_body)
    def callback(context: click.Context, /, **arguments: Any) -> None:
        group_settings = context.find_root().params
        values = {}
        for setting in config.list_settings(settings_pb2.OperatorSettings):
            value = arguments.pop(setting.name)
            values[setting.name] = value or group_settings.get(setting.name)
        dependencies = context.obj or Dependencies()
        context.exit(_run(command_body, values, dependencies, arguments))

    return callback


def _run(
    command_body: Callable[..., Any],
    values: dict[str, str | None],
    dependencies: Dependencies,
    arguments: dict[str, Any],
) -> int:
    """Runs a command and returns its exit code.

    Args:
        command_body: The coroutine function of the command.
        values: Unparsed value of each setting by name.
        dependencies: Dependencies of the session.
        arguments: Keyword arguments for the coroutine function.
    """
    try:
        settings = config.read_settings(settings_pb2.OperatorSettings, values)
    except errors.InvalidInputError as error:
        raise click.UsageError(str(error)) from error
    current_session = Session(settings, dependencies)
    try:
        return asyncio.run(command_body(current_session, **arguments))
    except KeyboardInterrupt:
        return exit_codes.INTERRUPTED
    except errors.InvalidInputError as error:
        current_session.report(outcomes.Refused(tuple(error.findings)))
        return exit_codes.FINDINGS
    except errors.StoreError as error:
        # A read failed, or a write before the change of a document was
        # proposed or a roll-out was changed. If it is unknown whether such a
        # change took effect, the result is `outcomes.Undecided` or
        # `results.RolloutUndecided` instead.
        is_corrupt = isinstance(error, errors.CorruptRecordError)
        current_session.report(results.StoreFailure(str(error), is_corrupt))
        return exit_codes.STORE_UNAVAILABLE
