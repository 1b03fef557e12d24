"""``alderreach team list|show|remove`` and ``alderreach workload list|show``."""

from cleo.helpers import argument, option
from result import Err, Ok

from alderreach.ops.client import api, plans, views
from alderreach.parser import configuration
from alderreach.scripts.commands import base


def select_item(result, key, what):
    """Return the document with only the item ``key``, or a failure if it has none."""
    if isinstance(result, Err):
        return result
    document = result.ok_value
    items = [item for item in document["items"] if item["key"] == key]
    if not items:
        return api.fail(api.EXIT_BAD_INPUT, f"no {what}; 'list' shows those there are")
    return Ok(document | {"items": items})


class TeamList(base.ApiCommand):
    """List all teams."""

    name = "team list"
    description = "List the teams."

    def call(self, client):
        """Read the teams."""
        return client.get("/v1/config", prefix="team/")

    def view(self, document):
        """Format a line for each team."""
        return views.teams(document)


class TeamShow(base.ApiCommand):
    """Show one team."""

    name = "team show"
    description = "Show a team in full."
    arguments = [argument("team", "The team's name.")]

    def call(self, client):
        """Read the team."""
        name = self.argument("team")
        key = configuration.team_key(name)
        return select_item(client.get("/v1/config", prefix=key), key, f"team {name!r}")

    def view(self, document):
        """Format the item in full."""
        return views.items(document)


class TeamRemove(base.ApiCommand):
    """Remove a team and all its workloads."""

    name = "team remove"
    description = "Remove a team and all its workloads; its services stop."
    arguments = [argument("team", "The team's name.")]
    options = [*base.API_OPTIONS, base.YES_OPTION, base.KEY_OPTION]

    def call(self, client):
        """Show the items, ask for confirmation and delete them in one change."""
        name = self.argument("team")
        document = client.get("/v1/config")
        if isinstance(document, Err):
            return document
        plan = plans.plan(document.ok_value, name, {})
        if not plan.writes:
            return api.fail(api.EXIT_BAD_INPUT, f"no team {name!r}")
        if not self.option("json"):
            for line in plan.lines:
                base.write(self, line)
        confirmed = self.confirm_change(f"Remove these {len(plan.writes)} items?")
        if isinstance(confirmed, Err):
            return confirmed
        body = {"writes": plan.writes, "summary": plan.summary}
        return client.change("PUT", "/v1/config", body, self.key())

    def view(self, document):
        """Format one line."""
        return [f"accepted as version {document['version']}"]


class WorkloadList(base.ApiCommand):
    """List all workloads."""

    name = "workload list"
    description = "List the workloads of all teams or of one."
    options = [
        *base.API_OPTIONS,
        option("team", None, "Only of this team.", flag=False),
    ]

    def call(self, client):
        """Read the workloads."""
        team = self.option("team")
        prefix = configuration.workload_key(team, "") if team else "workload/"
        return client.get("/v1/config", prefix=prefix)

    def view(self, document):
        """Format a line for each workload."""
        return views.workloads(document)


class WorkloadShow(base.ApiCommand):
    """Show one workload."""

    name = "workload show"
    description = "Show a workload in full."
    arguments = [
        argument("team", "The team's name."),
        argument("workload", "The workload's name."),
    ]

    def call(self, client):
        """Read the workload."""
        team, name = self.argument("team"), self.argument("workload")
        key = configuration.workload_key(team, name)
        what = f"workload {name!r} of team {team!r}"
        return select_item(client.get("/v1/config", prefix=key), key, what)

    def view(self, document):
        """Format the item in full."""
        return views.items(document)
