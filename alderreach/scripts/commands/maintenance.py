"""``alderreach maintenance add|list|cancel``."""

from cleo.helpers import argument, option
from result import Err

from alderreach.ops.client import api, moments, views
from alderreach.scripts.commands import base


class Add(base.ApiCommand):
    """Declare a maintenance window."""

    name = "maintenance add"
    description = "Declare when VMs or racks will be stopped."
    options = [
        *base.API_OPTIONS,
        option("failure-domain", None, "Where the VMs are.", flag=False),
        option("vm", None, "A VM; may be repeated.", flag=False, multiple=True),
        option("rack", None, "A rack; may be repeated.", flag=False, multiple=True),
        option("start", None, f"Such as {moments.EXAMPLE}.", flag=False),
        option("end", None, "Likewise.", flag=False),
        option("id", None, "A name for the window; made if left out.", flag=False),
        base.KEY_OPTION,
    ]

    def call(self, client):
        """Send the window."""
        for name in ("failure-domain", "start", "end"):
            if not self.option(name):
                return api.fail(api.EXIT_BAD_INPUT, f"--{name} is required")
        start = moments.parse(self.option("start"), "--start")
        if isinstance(start, Err):
            return start
        end = moments.parse(self.option("end"), "--end")
        if isinstance(end, Err):
            return end
        body = {
            "failure_domain": self.option("failure-domain"),
            "vms": self.option("vm") or [],
            "racks": self.option("rack") or [],
            "start_wall_ms": start.ok_value,
            "end_wall_ms": end.ok_value,
        }
        if self.option("id"):
            body["window_id"] = self.option("id")
        return client.change("POST", "/v1/maintenance", body, self.key())

    def view(self, document):
        """Format the window's id and version, and any warnings."""
        window = document["window"]["window_id"]
        lines = [f"{window} accepted as version {document['version']}"]
        return lines + [f"warning: {text}" for text in document.get("warnings", [])]


class List(base.ApiCommand):
    """List all maintenance windows."""

    name = "maintenance list"
    description = "List the maintenance windows, the earliest first."

    def call(self, client):
        """Read the windows."""
        return client.get("/v1/maintenance")

    def view(self, document):
        """Format a line for each window."""
        return views.windows(document)


class Cancel(base.ApiCommand):
    """Cancel a maintenance window."""

    name = "maintenance cancel"
    description = "Withdraw a maintenance window."
    arguments = [argument("window", "The window's id, from 'maintenance list'.")]
    options = [*base.API_OPTIONS, base.KEY_OPTION]

    def call(self, client):
        """Send the cancellation."""
        path = api.path("v1", "maintenance", self.argument("window"))
        return client.change("DELETE", path, key=self.key())

    def view(self, document):
        """Format one line."""
        return [f"cancelled in version {document['version']}"]
