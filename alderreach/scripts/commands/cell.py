"""``alderreach status`` and ``alderreach timeline``."""

from cleo.helpers import option

from alderreach.ops.client import views
from alderreach.scripts.commands import base


class Status(base.ApiCommand):
    """Show every process of the cell."""

    name = "status"
    description = "Show every process, its state and the version it has in force."

    def call(self, client):
        """Query the entry, which queries all processes."""
        return client.get("/v1/status")

    def view(self, document):
        """Format a line for each process."""
        return views.status(document)


class Timeline(base.ApiCommand):
    """Show the merged time line."""

    name = "timeline"
    description = "Show the events of all processes as one line, oldest first."
    options = [
        *base.API_OPTIONS,
        option("request", None, "Only events of this request.", flag=False),
        option("job", None, "Only events of this job.", flag=False),
        option("target", None, "Only events of this target.", flag=False),
        option("team", None, "Only events of this team.", flag=False),
        option(
            "limit", None, "How many of the newest events; 200 if left out.", flag=False
        ),
    ]

    def call(self, client):
        """Query the entry, which queries all processes."""
        return client.get(
            "/v1/timeline",
            request=self.option("request"),
            job=self.option("job"),
            target=self.option("target"),
            team=self.option("team"),
            limit=self.option("limit"),
        )

    def view(self, document):
        """Format a line for each event."""
        return views.timeline(document)
