"""``alderreach config show|diff|history``."""

from cleo.helpers import option
from result import Err, Ok

from alderreach.ops.client import views
from alderreach.scripts.commands import base, questionnaire


class Show(base.ApiCommand):
    """Show the configuration in force."""

    name = "config show"
    description = "Show the configuration items in force with their versions."
    options = [
        *base.API_OPTIONS,
        option("prefix", None, "Only items whose key has this prefix.", flag=False),
    ]

    def call(self, client):
        """Read the items."""
        return client.get("/v1/config", prefix=self.option("prefix"))

    def view(self, document):
        """Format each item in full."""
        return views.items(document)


class Diff(base.ApiCommand):
    """Show what a questionnaire would change."""

    name = "config diff"
    description = "Show what a questionnaire would change, and change nothing."
    arguments = [questionnaire.FILE_ARGUMENT]

    def call(self, client):
        """Compare the questionnaire with the configuration in force."""
        planned = questionnaire.plan_of_file(client, self.argument("file"))
        if isinstance(planned, Err):
            return planned
        plan = planned.ok_value
        return Ok({"difference": plan.lines, "writes": plan.writes})

    def view(self, document):
        """Format the difference."""
        return document["difference"] or ["no difference"]


class History(base.ApiCommand):
    """Show the history of changes with their authors."""

    name = "config history"
    description = "Show the accepted changes, the newest first."
    options = [
        *base.API_OPTIONS,
        option(
            "limit", None, "How many of the newest changes; 50 if left out.", flag=False
        ),
    ]

    def call(self, client):
        """Read the changes."""
        return client.get("/v1/config/history", limit=self.option("limit"))

    def view(self, document):
        """Format a line for each change."""
        return views.history(document)
