"""``alderreach explain``: what happened to one request, job, task or worker."""

import pathlib
import sys

from cleo.commands.command import Command
from cleo.helpers import argument

from alderreach.ops.client import api, timelines


class Explain(Command):
    """Print the timeline of an id from log files or from standard input."""

    name = "explain"
    description = "Tell from log files what happened to a job, task or worker."
    arguments = [
        argument("id", "Id of a job, task or worker."),
        argument(
            "files",
            "Logs of any processes; standard input if none is named.",
            optional=True,
            multiple=True,
        ),
    ]

    def handle(self):
        """Read the logs and print the timeline; exit code 1 if no line has the id."""
        lines = []
        for name in self.argument("files") or []:
            try:
                text = pathlib.Path(name).read_text(errors="replace")
            except OSError as error:
                self.line_error(f"{name}: {error.strerror}")
                return api.EXIT_BAD_INPUT
            lines += text.splitlines()
        if not self.argument("files"):
            lines = sys.stdin.read().splitlines()
        timeline = timelines.timeline_of(lines, self.argument("id"))
        if not timeline:
            self.line_error(f"no line is about {self.argument('id')}")
            return 1
        self.line(timeline)
        return 0
