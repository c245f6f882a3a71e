"""Command that runs a daemon on an instance of the platform."""

from __future__ import annotations

import argparse
import sys

from merlintrestle import application
from merlintrestle import errors
from merlintrestle import logs
from merlintrestle.platform import settings as settings_lib

_USAGE_EXIT_STATUS = 2


def main() -> None:
    """Runs the daemon by the settings file that the platform names."""
    application.pause_gc()
    # Not click, which would be imported for the help alone.
    argparse.ArgumentParser(
        prog="python3 -m merlintrestle.platform", description=main.__doc__
    ).parse_args()
    try:
        settings = settings_lib.read_settings(settings_lib.find_path())
    except errors.InvalidInputError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        sys.exit(_USAGE_EXIT_STATUS)
    logs.start_logging("info", "json")
    from merlintrestle.platform import service

    sys.exit(application.run(lambda: service.PlatformDaemon(settings)))


if __name__ == "__main__":
    main()
