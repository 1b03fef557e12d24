"""Operators' commands with real keepers and entries: races, lost answers, no quorum."""

import contextlib
import json
import os
import subprocess
import sys
import threading
from http import server

import pytest

from tests import keeper_support
from tools import cell

DOMAINS = ("urubici", "bom-jardim")
SERRA_ALTA = "examples/serra-alta.toml"


class Operators:
    """Runs commands of the command line as processes against a running cell."""

    def __init__(self, running):
        self.running = running
        self.entries = [plan.operators for plan in running.of_role("entry")]
        self.tokens = {}
        for name, token in (("operator", cell.TOKEN), ("second", f"{cell.TOKEN}-2")):
            path = running.folder / f"{name}.token"
            path.write_text(token + "\n")
            self.tokens[name] = path

    def start(self, *words, entries=None, operator="operator"):
        """Start a command with --json; returns the process."""
        environment = os.environ | {
            "ALDERREACH_ENTRY": ",".join(entries or self.entries),
            "ALDERREACH_TOKEN_FILE": str(self.tokens[operator]),
        }
        return subprocess.Popen(
            [sys.executable, "-m", "alderreach.scripts.client", *words, "--json"],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env=environment,
        )

    def run(self, *words, **options):
        """Run a command to its end; returns its exit code and JSON document."""
        return self.finish(self.start(*words, **options))

    def finish(self, process):
        """Wait for a started command; returns its exit code and JSON document."""
        output, errors = process.communicate(timeout=90)
        assert output, errors
        return process.returncode, json.loads(output)


@pytest.fixture(scope="module")
def operators(tmp_path_factory):
    folder = tmp_path_factory.mktemp("cell")
    overrides = keeper_support.FAST_SETTINGS
    with cell.Cell(folder, overrides, DOMAINS, vms=1, voters=3) as running:
        roles = ("keeper", "entry")
        names = [plan.name for role in roles for plan in running.of_role(role)]
        running.start(names)
        running.wait_ready(names)
        yield Operators(running)


def write_questionnaire(folder, name, weight):
    """Write a copy of an example with another weight; returns its path."""
    path = folder / f"{name}-{weight}.toml"
    with open(SERRA_ALTA) as file:
        text = file.read()
    path.write_text(text.replace("weight = 1", f"weight = {weight}"))
    return str(path)


def test_an_applied_questionnaire_is_in_force_in_every_process(operators):
    code, document = operators.run("questionnaire", "apply", SERRA_ALTA, "--yes")
    assert (code, document["result"]) == (0, "accepted")

    def is_in_force():
        _code, status = operators.run("status")
        rows = [row for row in status["processes"] if row["reachable"]]
        reached = all(row["version_in_force"] >= document["version"] for row in rows)
        return status["quorum"] and reached and len(rows) == 5 and status

    status = cell.wait_until(is_in_force, "the version is in force everywhere")
    assert status["unreachable"] == ["placer-bom-jardim-1", "placer-urubici-1"]
    assert operators.run("questionnaire", "apply", SERRA_ALTA, "--yes")[1] == {
        "result": "unchanged",
        "difference": [],
    }
    _code, line = operators.run("timeline", "--limit", "1000")
    kinds = {event["kind"] for event in line["events"]}
    assert {"change_accepted", "configuration_applied", "process_started"} <= kinds
    assert {event["process"] for event in line["events"]} >= {"keeper-1", "keeper-3"}


def test_of_two_racing_changes_one_wins_and_the_other_gets_a_conflict(
    operators, tmp_path
):
    """Two operators change the team from the same version at the same time.

    If both changes were accepted, one would be overwritten unnoticed. Both bodies are
    made before the first is sent, so that they are based on the same version.
    """
    operators.run("questionnaire", "apply", SERRA_ALTA, "--yes")
    body = put_body(operators, weight=7)
    other = put_body(operators, weight=8)
    barrier = threading.Barrier(2)
    answers = {}

    def send_change(name, token, entry, document):
        barrier.wait()
        answers[name] = send_until_decided(
            operators, entry, token, document, f"key-{name}"
        )

    threads = [
        threading.Thread(target=send_change, args=(name, token, entry, document))
        for name, token, entry, document in (
            ("operator", cell.TOKEN, operators.entries[0], body),
            ("second", f"{cell.TOKEN}-2", operators.entries[1], other),
        )
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    statuses = sorted(status for status, _document in answers.values())
    assert statuses == [200, 409], answers
    winner = next(name for name in answers if answers[name][0] == 200)
    loser = next(name for name in answers if answers[name][0] == 409)
    conflict = answers[loser][1]["conflicts"][0]
    assert (conflict["key"], conflict["author"]) == ("team/serra-alta", winner)
    assert conflict["version"] == answers[winner][1]["version"]
    _code, shown = operators.run("team", "show", "serra-alta")
    weight = {"operator": 7, "second": 8}[winner]
    assert shown["items"][0]["value"]["weight"] == weight


def put_body(operators, weight):
    """Return the body of a change of the team's weight, based on its version."""
    _code, shown = operators.run("team", "show", "serra-alta")
    item = shown["items"][0]
    value = item["value"] | {"weight": weight}
    write = {"key": item["key"], "base_version": item["version"], "value": value}
    return {"writes": [write]}


def send(operators, entry, token, body, key):
    """Send one PUT of the configuration; returns its status and document."""
    headers = {"Idempotency-Key": key, "Authorization": f"Bearer {token}"}
    url = f"http://{entry}/v1/config"
    http = operators.running.http
    answer = http.request("PUT", url, body=json.dumps(body), headers=headers)
    return answer.status, json.loads(answer.data)


def send_until_decided(operators, entry, token, body, key):
    """Call ``send`` until the answer is not a ``no_quorum`` that changed nothing."""
    answers = []

    def is_decided():
        answers.append(send(operators, entry, token, body, key))
        status, document = answers[-1]
        is_undecided = status == 503 and document["kind"] == "no_quorum"
        return not (is_undecided and document["outcome"] == "not-run")

    cell.wait_until(is_decided, "the change is decided")
    return answers[-1]


def test_without_a_valid_token_nothing_changes(operators):
    _code, before = operators.run("config", "history")
    body = {"writes": [{"key": "team/x", "base_version": 0, "value": None}]}
    for token in ("", "guess", cell.TOKEN.upper()):
        status, document = send(operators, operators.entries[0], token, body, "key-x")
        assert (status, document["kind"]) == (401, "unauthorized")
    assert operators.run("config", "history")[1] == before


@contextlib.contextmanager
def dropping_change_answers(target, http):
    """Forward requests to an entry, but hang up instead of answering a change.

    Yields the proxy's address and the list of dropped answers.
    """
    dropped = []

    class Handler(server.BaseHTTPRequestHandler):
        def do_GET(self):
            answer = self._forward(None)
            self.send_response(answer.status)
            self.send_header("Content-Length", str(len(answer.data)))
            self.end_headers()
            self.wfile.write(answer.data)

        def do_PUT(self):
            body = self.rfile.read(int(self.headers["Content-Length"]))
            dropped.append(self._forward(body))

        do_POST = do_PUT

        def _forward(self, body):
            url = f"http://{target}{self.path}"
            headers = {name: text for name, text in self.headers.items()}
            return http.request(self.command, url, body=body, headers=headers)

        def log_message(self, *_words):
            pass

    with server.ThreadingHTTPServer(("127.0.0.1", 0), Handler) as proxy:
        threading.Thread(target=proxy.serve_forever, daemon=True).start()
        yield f"127.0.0.1:{proxy.server_port}", dropped
        proxy.shutdown()


def test_a_resend_after_a_lost_answer_changes_once(operators, tmp_path):
    """The change is accepted, but the connection breaks before the answer.

    The client resends it to another entry. The change must be made once, and the answer
    must equal the first: a conflict would name another operator who does not exist.
    """
    operators.run("questionnaire", "apply", SERRA_ALTA, "--yes")
    changed = write_questionnaire(tmp_path, "resent", 3)
    _code, before = operators.run("config", "history")
    http = operators.running.http
    with dropping_change_answers(operators.entries[0], http) as (address, dropped):
        entries = [address, operators.entries[1]]
        code, document = operators.run(
            "questionnaire", "apply", changed, "--yes", entries=entries
        )
    assert code == 0
    (first,) = dropped
    assert first.status == 200
    assert json.loads(first.data)["version"] == document["version"]
    _code, after = operators.run("config", "history")
    assert len(after["changes"]) == len(before["changes"]) + 1


def test_a_keeper_is_removed_and_added_again(operators):
    before = keepers_by_name(operators)
    last = before["keeper-3"]
    code, document = operators.run("keeper", "remove", last["identity"], "--yes")
    assert code == 0, document
    assert len(document["members"]) == 2
    assert operators.run("keeper", "promote", last["identity"], "--yes")[0] == 2
    place = ["--name", "keeper-3", "--address", last["address"]]
    code, document = operators.run("keeper", "add", last["identity"], *place, "--yes")
    assert code == 0 and document["members"][-1]["voter"] is False

    def is_promoted():
        return operators.run("keeper", "promote", last["identity"], "--yes")[0] == 0

    cell.wait_until(is_promoted, "the learner has caught up and is promoted")
    assert keepers_by_name(operators) == before


def keepers_by_name(operators):
    code, document = operators.run("keeper", "list")
    assert code == 0, document
    return {member["name"]: member for member in document["members"]}


def test_changes_of_the_keepers_can_be_resent_after_a_lost_answer(operators):
    """Guards against a resent removal or addition that is refused as made already."""
    before = keepers_by_name(operators)
    last = before["keeper-3"]
    place = ["--name", "keeper-3", "--address", last["address"]]

    def run(*words):
        http = operators.running.http
        with dropping_change_answers(operators.entries[0], http) as (address, dropped):
            entries = [address, operators.entries[1]]
            code, document = operators.run("keeper", *words, "--yes", entries=entries)
        assert [answer.status for answer in dropped] == [200]
        assert code == 0, document
        return [member["name"] for member in document["members"]]

    assert run("remove", last["identity"]) == ["keeper-1", "keeper-2"]
    added = run("add", last["identity"], *place)
    assert added == ["keeper-1", "keeper-2", "keeper-3"]

    def is_promoted():
        return operators.run("keeper", "promote", last["identity"], "--yes")[0] == 0

    cell.wait_until(is_promoted, "the learner has caught up and is promoted")
    assert keepers_by_name(operators) == before


def test_without_a_quorum_a_change_is_refused_and_reads_are_answered(
    operators, tmp_path
):
    """Two of three keepers are killed.

    A change must be refused with ``no_quorum``. The configuration can still be read,
    and is marked as possibly outdated. Once the keepers are back, the change is
    accepted.
    """
    operators.run("questionnaire", "apply", SERRA_ALTA, "--yes")
    running = operators.running
    for name in ("keeper-1", "keeper-2"):
        running.kill(name)
    changed = write_questionnaire(tmp_path, "cut", 5)
    code, document = operators.run("config", "show", "--prefix", "team/")
    assert (code, document["current"]) == (0, False)
    body = {"writes": [document["items"][0] | {"base_version": 0}]}
    status, refusal = send(operators, operators.entries[0], cell.TOKEN, body, "key-cut")
    assert (status, refusal["kind"], refusal["outcome"]) == (
        503,
        "no_quorum",
        "not-run",
    )
    running.start(["keeper-1", "keeper-2"])
    running.wait_ready(["keeper-1", "keeper-2"])

    def is_applied():
        return operators.run("questionnaire", "apply", changed, "--yes")[0] == 0

    cell.wait_until(is_applied, "the change is accepted")
    _code, shown = operators.run("team", "show", "serra-alta")
    assert shown["items"][0]["value"]["weight"] == 5
