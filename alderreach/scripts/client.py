"""alderreach: the operators' command line.

Exit codes: 0 success, 1 refused or a concurrent change won, 2 bad input, 3 no entry
could be reached or the outcome could not be confirmed.
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
    """Return the application with all commands; it raises an error on wrong usage."""
    app = Application("alderreach", alderreach.__version__)
    app.auto_exits(False)
    app.catch_exceptions(False)
    for command in COMMANDS:
        app.add(command())
    return app


def run_safely(execute, io):
    """Run the application; wrong usage gives an error, not a traceback."""
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
