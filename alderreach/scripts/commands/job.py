"""``alderreach job submit|show|list|cancel``."""

from cleo.helpers import argument, option

from alderreach.ops.client import api, views
from alderreach.scripts.commands import base

JOB_ARGUMENT = argument("job", "The job's id, from 'job list'.")


class Submit(base.ApiCommand):
    """Start a batch run or gang job."""

    name = "job submit"
    description = "Start a batch run or gang job of a workload."
    arguments = [
        argument("team", "The team's name."),
        argument("workload", "The workload's name."),
    ]
    options = [
        *base.API_OPTIONS,
        option("tasks", None, "Number of tasks; else the workload's.", flag=False),
        option("payload", None, "Text passed to each task.", flag=False),
        option("failure-domain", None, "Where to run it.", flag=False),
        base.KEY_OPTION,
    ]

    def call(self, client):
        """Send the submission."""
        tasks = self.option("tasks") or "0"
        if not tasks.isdecimal():
            return api.fail(api.EXIT_BAD_INPUT, "--tasks must be a whole number")
        body = {"team": self.argument("team"), "workload": self.argument("workload")}
        for name in ("payload", "failure-domain"):
            if self.option(name):
                body[name.replace("-", "_")] = self.option(name)
        if self.option("tasks"):
            body["tasks"] = int(tasks)
        return client.change("POST", "/v1/jobs", body, self.key())

    def view(self, document):
        """Format the job's id."""
        return [f"{document['job_id']} accepted in {document['failure_domain']}"]


class Show(base.ApiCommand):
    """Show one job."""

    name = "job show"
    description = "Show a job, its state and its tasks."
    arguments = [JOB_ARGUMENT]

    def call(self, client):
        """Read the job."""
        return client.get(api.path("v1", "jobs", self.argument("job")))

    def view(self, document):
        """Format the job in full."""
        return views.job(document)


class List(base.ApiCommand):
    """List all jobs."""

    name = "job list"
    description = "List the jobs, the newest first."
    options = [
        *base.API_OPTIONS,
        option("team", None, "Only of this team.", flag=False),
        option("state", None, "Only in this state, such as waiting.", flag=False),
        option("failure-domain", None, "Only of this failure domain.", flag=False),
        option(
            "limit", None, "How many of the newest jobs; 100 if left out.", flag=False
        ),
    ]

    def call(self, client):
        """Read the jobs."""
        return client.get(
            "/v1/jobs",
            team=self.option("team"),
            state=self.option("state"),
            failure_domain=self.option("failure-domain"),
            limit=self.option("limit"),
        )

    def view(self, document):
        """Format a line for each job."""
        return views.jobs(document)


class Cancel(base.ApiCommand):
    """Cancel a job."""

    name = "job cancel"
    description = "Cancel a job; tasks that run are stopped."
    arguments = [JOB_ARGUMENT]
    options = [*base.API_OPTIONS, base.KEY_OPTION]

    def call(self, client):
        """Send the cancellation."""
        path = api.path("v1", "jobs", self.argument("job"))
        return client.change("DELETE", path, key=self.key())

    def view(self, document):
        """Format one line."""
        return [f"{document['job_id']} is being cancelled"]
