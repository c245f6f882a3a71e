"""Command line of merlintrestle-daemon."""

from __future__ import annotations

import sys

import click

from merlintrestle import application
from merlintrestle import config
from merlintrestle import errors
from merlintrestle import logs
from merlintrestle.schema import settings_pb2

_EXIT_USAGE_ERROR = 2


@click.command()
@config.add_options(settings_pb2.DaemonSettings)
def main(**values: str | None) -> None:
    """Runs the daemon beside one backend server instance.

    SIGTERM is a planned stop: new work is refused, what is in flight is
    waited for. A second SIGTERM ends the process at once.

    Example:
    merlintrestle-daemon --zone zone-a --store 10.0.0.5:2379
    """
    application.pause_gc()
    try:
        settings = config.read_settings(settings_pb2.DaemonSettings, values)
    except errors.InvalidInputError as error:
        for finding in error.findings:
            click.echo(str(finding), err=True)
        sys.exit(_EXIT_USAGE_ERROR)
    logs.start_logging(settings.log_level, settings.log_format)
    # Imported here, as the import would delay --help and findings.
    from merlintrestle.daemon import service

    sys.exit(application.run(lambda: service.Daemon(settings)))


if __name__ == "__main__":
    main()
