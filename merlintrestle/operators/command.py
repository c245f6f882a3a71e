"""The operators' command-line program, `merlintrestle`."""

from __future__ import annotations

import click

from merlintrestle import config
from merlintrestle.operators import change_commands
from merlintrestle.operators import explain_command
from merlintrestle.operators import key_command
from merlintrestle.operators import rollout_commands
from merlintrestle.operators import view_commands
from merlintrestle.schema import settings_pb2

_EPILOG = """\b
Examples:
  export MERLINTRESTLE_STORE=10.0.0.2:2379 MERLINTRESTLE_OPERATOR=anna
  merlintrestle validate zaanoever.toml
  merlintrestle apply zaanoever.toml --daemon 10.0.0.7:8082 --wait
  merlintrestle status --daemon 10.0.0.7:8082

\b
Exit codes:
  0    done
  1    refused with findings; nothing was changed
  2    wrong flags, arguments or settings
  3    another operator was faster; nothing was changed
  4    the store does not answer; nothing was changed
  5    outcome unknown: `merlintrestle audit` says what became of it
  6    not in force everywhere, or a target is missed
  130  ended by Ctrl-C

\b
Shell completion (bash; zsh and fish likewise):
  eval "$(_MERLINTRESTLE_COMPLETE=bash_source merlintrestle)"
"""


@click.group(epilog=_EPILOG)
@config.add_options(settings_pb2.OperatorSettings)
def main(**_: str) -> None:
    """States, changes and withdraws targets, and shows whether they hold.

    Settings stand before or after the command's name, or in the environment.
    """
    # `session.pass_session` reads the settings from the context of the group.


for _command in (
    change_commands.validate,
    change_commands.diff,
    change_commands.apply,
    change_commands.withdraw,
    view_commands.show,
    view_commands.history,
    view_commands.audit,
    view_commands.status,
    view_commands.watch,
    explain_command.explain,
    key_command.key_digest,
    rollout_commands.rollout,
):
    main.add_command(_command)


if __name__ == "__main__":
    main()
