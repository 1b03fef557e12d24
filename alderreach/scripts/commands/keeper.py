"""``alderreach keeper list|add|promote|remove``."""

from cleo.helpers import argument, option
from result import Err

from alderreach.ops.client import api, views
from alderreach.scripts.commands import base

IDENTITY = argument("identity", "The keeper's identity, from 'keeper list' or its log.")


class List(base.ApiCommand):
    """Show the membership in force."""

    name = "keeper list"
    description = "List the keepers: voters and learners."

    def call(self, client):
        """Read the membership."""
        return client.get("/v1/keepers")

    def view(self, document):
        """Format a line for each keeper."""
        return views.members(document)


class Change(base.ApiCommand):
    """A change of the membership; the subclasses define the action."""

    name = "keeper"
    action = ""
    question = ""
    arguments = [IDENTITY]
    options = [*base.API_OPTIONS, base.YES_OPTION]

    def call(self, client):
        """Ask for confirmation and send the change."""
        identity = self.argument("identity")
        confirmed = self.confirm_change(self.question.format(identity))
        if isinstance(confirmed, Err):
            return confirmed
        path = api.path("v1", "keepers", identity, self.action)
        return client.change("POST", path, self.body())

    def body(self):
        """Return the body of the request."""
        return {}

    def view(self, document):
        """Format the membership after the change."""
        return views.members(document)


class Add(Change):
    """Add a keeper as a learner."""

    name = "keeper add"
    action = "add_learner"
    description = "Add a keeper that only learns; promote it once it has caught up."
    question = "Add keeper {} as a learner?"
    options = [
        *Change.options,
        option("name", None, "Its process name.", flag=False),
        option("address", None, "Where its peers reach it, host:port.", flag=False),
    ]

    def call(self, client):
        """Check the options, then send the change."""
        for name in ("name", "address"):
            if not self.option(name):
                return api.fail(api.EXIT_BAD_INPUT, f"--{name} is required")
        return super().call(client)

    def body(self):
        """Return the keeper's name and address."""
        return {"name": self.option("name"), "address": self.option("address")}


class Promote(Change):
    """Make a learner a voter."""

    name = "keeper promote"
    action = "promote"
    description = "Make a learner a voter."
    question = "Make keeper {} a voter?"


class Remove(Change):
    """Remove a keeper from the membership."""

    name = "keeper remove"
    action = "remove"
    description = "Take a keeper out of the membership."
    question = "Take keeper {} out for good?"
