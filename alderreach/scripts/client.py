"""alderreach: thin main of the operators' command line.

Exit codes: 0 done, 1 refused or lost a race, 2 bad input, 3 nothing could be reached
or confirmed.
"""

import sys

from cleo.application import Application
from cleo.exceptions import CleoError

import alderreach
from alderreach.ops.client import api
from alderreach.scripts.commands import (
    cell,
    config,
    explain,
    job,
    keeper,
    maintenance,
    questionnaire,
    target,
    team,
)

HINT = "'alderreach list' shows the commands, '--help' those of one."

COMMANDS = (
    questionnaire.New,
    questionnaire.Check,
    questionnaire.Apply,
    config.Show,
    config.Diff,
    config.History,
    team.TeamList,
    team.TeamShow,
    team.TeamRemove,
    team.WorkloadList,
    team.WorkloadShow,
    maintenance.Add,
    maintenance.List,
    maintenance.Cancel,
    job.Submit,
    job.Show,
    job.List,
    job.Cancel,
    target.List,
    target.Forget,
    keeper.List,
    keeper.Add,
    keeper.Promote,
    keeper.Remove,
    cell.Status,
    cell.Timeline,
    explain.Explain,
)


def application():
    """The application with all commands, which raises on wrong usage."""
    app = Application("alderreach", alderreach.__version__)
    app.auto_exits(False)
    app.catch_exceptions(False)
    for command in COMMANDS:
        app.add(command())
    return app


def run_safely(execute, io):
    """Run the application; wrong usage gives an exit code, not a traceback."""
    try:
        return execute()
    except CleoError as error:
        io.write_error_line(f"{error}\n{HINT}")
        return api.EXIT_BAD_INPUT


def main():
    """Run the command line and exit with its code."""
    app = application()
    sys.exit(run_safely(app.run, app.create_io()))


if __name__ == "__main__":
    main()
