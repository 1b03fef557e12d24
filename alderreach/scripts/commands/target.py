"""``alderreach target list|forget``."""

from cleo.helpers import argument, option
from result import Err

from alderreach.ops.client import api, views
from alderreach.scripts.commands import base


class List(base.ApiCommand):
    """List all targets."""

    name = "target list"
    description = "List workers and runners as their owners see them."
    options = [
        *base.API_OPTIONS,
        option("failure-domain", None, "Only of this failure domain.", flag=False),
        option("state", None, "Only in this state, such as suspect.", flag=False),
    ]

    def call(self, client):
        """Read the targets."""
        return client.get(
            "/v1/targets",
            failure_domain=self.option("failure-domain"),
            state=self.option("state"),
        )

    def view(self, document):
        """Format a line for each target."""
        return views.targets(document)


class Forget(base.ApiCommand):
    """Declare that a target's VM is dead."""

    name = "target forget"
    description = "Declare that a target's VM is surely dead, so that its tasks move."
    arguments = [argument("target", "The target's id, from 'target list'.")]
    options = [*base.API_OPTIONS, base.YES_OPTION, base.KEY_OPTION]

    def call(self, client):
        """Ask for confirmation and send the declaration.

        If the VM still ran, its tasks would run twice.
        """
        target = self.argument("target")
        question = f"Is the VM of {target} surely stopped for good?"
        confirmed = self.confirm_change(question)
        if isinstance(confirmed, Err):
            return confirmed
        path = api.path("v1", "targets", target, "forget")
        return client.change("POST", path, key=self.key())

    def view(self, document):
        """Format one line."""
        return [f"accepted as version {document['version']}"]
