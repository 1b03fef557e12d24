"""``alderreach questionnaire new|check|apply``."""

import pathlib

from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err, Ok

from alderreach.core import problems
from alderreach.ops.client import api, plans
from alderreach.parser import configuration, questionnaire, questionnaire_template
from alderreach.scripts.commands import base

FILE_ARGUMENT = argument("file", "The questionnaire, a TOML file.")


def load(path):
    """Read a questionnaire: ``Ok(Answers)`` or a failure that lists every mistake."""
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        return api.fail(api.EXIT_BAD_INPUT, f"the questionnaire can't be read: {error}")
    answers, mistakes = questionnaire.parse(text, str(path))
    if not mistakes:
        return Ok(answers)
    lines = [problems.show(mistake) for mistake in mistakes]
    count = "1 mistake" if len(lines) == 1 else f"{len(lines)} mistakes"
    message = "\n".join([*lines, f"{count}; nothing was changed"])
    document = {"detail": count, "mistakes": [m._asdict() for m in mistakes]}
    return Err(api.Failure(api.EXIT_BAD_INPUT, message, document))


class New(Command):
    """Write a commented questionnaire."""

    name = "questionnaire new"
    description = "Write a commented questionnaire to fill in."
    arguments = [FILE_ARGUMENT]
    options = [
        option("team", None, "The team's name.", flag=False, default="my-team"),
        base.JSON_OPTION,
    ]

    def handle(self):
        """Write the file unless it exists, and return the exit code."""
        result = self._write(pathlib.Path(self.argument("file")), self.option("team"))
        if isinstance(result, Err):
            return base.show_failure(self, result.err_value)
        base.write(self, f"wrote {self.argument('file')}; fill it in, then check it")
        return 0

    def _write(self, path, team):
        if not configuration.NAME.match(team):
            text = f"--team {team!r} {configuration.NAME_RULE}"
            return api.fail(api.EXIT_BAD_INPUT, text)
        try:
            with path.open("x") as file:
                file.write(questionnaire_template.template(team))
        except FileExistsError:
            text = f"{path} is there already; choose another name"
            return api.fail(api.EXIT_BAD_INPUT, text)
        except OSError as error:
            return api.fail(api.EXIT_BAD_INPUT, f"can't write: {error}")
        return Ok(None)


class Check(Command):
    """List every mistake of a questionnaire."""

    name = "questionnaire check"
    description = "List every mistake of a questionnaire with its line."
    arguments = [FILE_ARGUMENT]
    options = [base.JSON_OPTION]

    def handle(self):
        """Check the file and return the exit code."""
        answers = load(self.argument("file"))
        if isinstance(answers, Err):
            return base.show_failure(self, answers.err_value)
        items = questionnaire.generate(answers.ok_value)
        text = f"{self.argument('file')}: no mistakes, {len(items)} items"
        base.write(self, text)
        return 0


class Apply(base.ApiCommand):
    """Apply a questionnaire to the configuration."""

    name = "questionnaire apply"
    description = "Show what a questionnaire changes and commit it."
    arguments = [FILE_ARGUMENT]
    options = [*base.API_OPTIONS, base.YES_OPTION, base.KEY_OPTION]

    def call(self, client):
        """Show the difference, ask for confirmation and commit."""
        planned = plan_of_file(client, self.argument("file"))
        if isinstance(planned, Err):
            return planned
        plan = planned.ok_value
        if not plan.writes:
            return Ok({"result": "unchanged", "difference": []})
        if not self.option("json"):
            for line in plan.lines:
                base.write(self, line)
        confirmed = self.confirm_change(f"Commit these {len(plan.writes)} items?")
        if isinstance(confirmed, Err):
            return confirmed
        body = {"writes": plan.writes, "summary": plan.summary}
        done = client.change("PUT", "/v1/config", body, self.key())
        if isinstance(done, Err):
            return done
        return Ok(done.ok_value | {"difference": plan.lines})

    def view(self, document):
        """Format the result as one line."""
        if document["result"] == "unchanged":
            return ["nothing to change: the configuration in force is the same"]
        return [f"accepted as version {document['version']}"]


def plan_of_file(client, path):
    """Plan the changes of applying a file: ``Ok(plans.Plan)`` or a failure."""
    answers = load(path)
    if isinstance(answers, Err):
        return answers
    document = client.get("/v1/config")
    if isinstance(document, Err):
        return document
    items = questionnaire.generate(answers.ok_value)
    return Ok(plans.plan(document.ok_value, answers.ok_value.team.name, items))
