"""Common parts of all commands: entries, token, output and exit codes."""

import json
import os
import pathlib

from cleo.commands.command import Command
from cleo.helpers import option
from result import Err, Ok

from alderreach.ops.client import api

ENTRY_VARIABLE = "ALDERREACH_ENTRY"
TOKEN_VARIABLE = "ALDERREACH_TOKEN_FILE"
JSON_OPTION = option("json", None, "Print one JSON document instead of lines.")
API_OPTIONS = [
    option(
        "entry",
        None,
        f"Operators' address host:port of an entry; may be repeated; else"
        f" {ENTRY_VARIABLE}, separated by commas.",
        flag=False,
        multiple=True,
    ),
    option(
        "token-file",
        None,
        f"File with your token, 'TOKEN' or 'name TOKEN'; else {TOKEN_VARIABLE}.",
        flag=False,
    ),
    JSON_OPTION,
]
KEY_OPTION = option(
    "idempotency-key",
    None,
    "Key of an earlier attempt whose outcome is unknown; it is not done twice.",
    flag=False,
)
YES_OPTION = option("yes", "y", "Don't ask before changing anything.")


class ApiCommand(Command):
    """A command that calls an entry.

    Subclasses define ``call(client)``, which returns ``Ok(document)`` or
    ``Err(api.Failure)``, and ``view(document)``, which formats it as lines.
    """

    options = API_OPTIONS

    def handle(self):
        """Run the command and return its exit code."""
        client = self.connect()
        result = client if isinstance(client, Err) else self.call(client.ok_value)
        return self.finish(result)

    def call(self, client):
        """Call the entry; each command overrides this."""
        raise NotImplementedError

    def view(self, document):
        """Format the document as lines; each command overrides this."""
        raise NotImplementedError

    def finish(self, result):
        """Print a result and return its exit code."""
        if isinstance(result, Err):
            return show_failure(self, result.err_value)
        if self.option("json"):
            self.line(json.dumps(result.ok_value, indent=2), style=None)
            return 0
        for line in self.view(result.ok_value):
            write(self, line)
        return 0

    def connect(self):
        """Make a client from options and environment: ``Ok(Client)`` or a failure."""
        entries = self.option("entry") or []
        if not entries:
            text = os.environ.get(ENTRY_VARIABLE, "")
            entries = [entry.strip() for entry in text.split(",") if entry.strip()]
        if not entries:
            text = f"no entry named; give --entry host:port or set {ENTRY_VARIABLE}"
            return api.fail(api.EXIT_BAD_INPUT, text)
        for entry in entries:
            if not api.ENTRY_PATTERN.fullmatch(entry):
                text = f"the entry {entry!r} must be written host:port"
                return api.fail(api.EXIT_BAD_INPUT, text)
        token = read_token(self.option("token-file") or os.environ.get(TOKEN_VARIABLE))
        if isinstance(token, Err):
            return token
        return Ok(api.Client(entries, token.ok_value))

    def key(self):
        """Return the idempotency key given as an option; empty for a new one."""
        return self.option("idempotency-key") or ""

    def confirm_change(self, question):
        """Ask for confirmation of a change: ``Ok`` if confirmed, or a failure."""
        if self.option("yes"):
            return Ok(None)
        stream = self.io.input.stream
        if stream is None or not (self.io.is_interactive() and stream.isatty()):
            text = "no terminal to ask at; add --yes to go on without asking"
            return api.fail(api.EXIT_BAD_INPUT, text)
        if self.confirm(question, False):
            return Ok(None)
        return api.fail(api.EXIT_REFUSED, "nothing was changed")


def read_token(path):
    """Read the token from a file: ``Ok(token)`` or a failure that says what to do."""
    if not path:
        text = f"no token; give --token-file or set {TOKEN_VARIABLE}"
        return api.fail(api.EXIT_BAD_INPUT, text)
    try:
        words = pathlib.Path(path).read_text().split()
    except (OSError, UnicodeDecodeError) as error:
        return api.fail(api.EXIT_BAD_INPUT, f"the token can't be read: {error}")
    if len(words) not in (1, 2):
        text = f"{path} must hold one line, 'TOKEN' or 'name TOKEN'"
        return api.fail(api.EXIT_BAD_INPUT, text)
    return Ok(words[-1])


def write(command, line):
    """Print a line literally, even if it contains angle brackets."""
    command.io.write_line(escape(line))


def escape(text):
    """Escape ``<...>`` in a text, which cleo would interpret as a style tag."""
    return text.replace("<", "\\<")


def show_failure(command, failure):
    """Print why a command failed and return its exit code."""
    if command.option("json"):
        command.line(json.dumps(failure.document, indent=2), style=None)
    else:
        command.line_error(escape(failure.message))
    return failure.exit_code
