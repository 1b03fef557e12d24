"""Snapshots of command line sessions against an entry with fake keepers."""

import os
import pty
import re
import subprocess
import sys

import pytest
from cleo.testers.application_tester import ApplicationTester

from alderreach.core import codec
from alderreach.core.generated import common, keeper, placer
from alderreach.scripts import client
from tests import operators_fakes as fakes

EXAMPLES = ("examples/serra-alta.toml", "examples/kai-tahi.toml")


class Shell:
    """Runs commands against one entry and keeps their output."""

    def __init__(self, entries, token_file, monkeypatch, folder):
        monkeypatch.setenv("ALDERREACH_ENTRY", ",".join(entries))
        monkeypatch.setenv("ALDERREACH_TOKEN_FILE", str(token_file))
        self.folder = folder
        self.session = []

    def run(self, command):
        """Run one command line; returns its exit code."""
        tester = ApplicationTester(client.application())
        code = client.run_safely(lambda: tester.execute(command), tester.io)
        text = tester.io.fetch_output() + tester.io.fetch_error()
        text = f"$ alderreach {command}\n{text}exit {code}\n"
        self.session.append(self.normalize(text))
        return code

    def normalize(self, text):
        """Replace values that differ between runs: folder, keys, ids, addresses."""
        text = text.replace(str(self.folder), "FOLDER")
        text = re.sub(r"127\.0\.0\.1:\d+", "ADDRESS", text)
        text = re.sub(r"\d{13}-[0-9a-f]{32}", "KEY", text)
        text = re.sub(r"\bw-[0-9a-f]{8}\b", "WINDOW", text)
        text = re.sub(r"-[0-9a-f]{20}\b", "-JOB", text)
        text = re.sub(r'"[0-9a-f]{20}"', '"CHANGE"', text)
        text = re.sub(r"20\d\d-\d\d-\d\dT\d\d:\d\d:\d\dZ", "TIME", text)
        return re.sub(r"\b\d{13}\b", "MILLIS", text)


@pytest.fixture
def entry(tmp_path):
    return fakes.FakeEntry(tmp_path)


@pytest.fixture
def shell(entry, tmp_path, monkeypatch):
    token_file = tmp_path / "my-token"
    token_file.write_text(fakes.TOKEN + "\n")
    with fakes.serve(entry) as address:
        yield Shell([address], token_file, monkeypatch, tmp_path)


def test_a_questionnaire_is_written_checked_and_applied(shell, snapshot):
    mine = shell.folder / "mine.toml"
    for command in (
        f"questionnaire new {mine} --team my-team",
        f"questionnaire new {mine} --team my-team",
        f"questionnaire check {mine}",
        f"config diff {mine}",
        f"questionnaire apply {mine}",
        f"questionnaire apply {mine} --yes",
        f"questionnaire apply {mine} --yes",
        "team list",
        "team show my-team",
        "team show nobody",
        "workload list --team my-team",
        "workload show my-team example-gang",
        "config history",
    ):
        shell.run(command)
    text = mine.read_text().replace("tasks = 10", "tasks = 12")
    mine.write_text(text[: text.index("# A gang job")])
    shell.run(f"questionnaire apply {mine} --yes")
    shell.run("config show --prefix workload/my-team/example-b")
    shell.run("team remove nobody --yes")
    shell.run("team remove my-team --yes")
    shell.run("team list")
    shell.run("config history --limit 1 --json")
    assert "\n".join(shell.session) == snapshot


def test_bad_questionnaires_change_nothing(shell, entry, snapshot):
    bad = shell.folder / "bad.toml"
    bad.write_text('[team]\nname = "Bad Name"\n[[gang]]\ntasks = "four"\n')
    shell.run(f"questionnaire check {bad}")
    shell.run(f"questionnaire check {bad} --json")
    shell.run(f"questionnaire apply {bad} --yes")
    shell.run(f"questionnaire check {shell.folder}/missing.toml")
    shell.run(f"questionnaire new {shell.folder}/x.toml --team Bad")
    assert entry.keepers.commands == []
    assert "\n".join(shell.session) == snapshot


def test_jobs_maintenance_and_targets(shell, entry, snapshot):
    rows = [
        fakes.target_row(),
        fakes.target_row("w2", "suspect"),
        fakes.target_row("a/runner", "dead", "runner"),
    ]
    reply = placer.TargetReply("", True, rows)
    member = keeper.Member("i1", "keeper-1", "127.0.0.1:11", True, False)
    entry.keepers.members = keeper.MembersResult("accepted", "", [member])
    entry.gateway.replies["127.0.0.1:21", "TargetQuery"] = reply
    for example in EXAMPLES:
        assert shell.run(f"questionnaire apply {example} --yes --json") == 0
    shell.session.clear()
    window = "--failure-domain urubici --rack r1 --vm 10.0.0.9"
    for command in (
        "job submit serra-alta closure-plan --tasks 3 --payload cables",
        "job submit serra-alta route-closure",
        "job submit serra-alta closure-plan --tasks many",
        "job submit nobody closure-plan",
        "job list --team serra-alta",
        "job list --state finished",
        "job show urubici-unknown",
        "job cancel urubici-unknown",
        "job cancel ../config?x",
        f"maintenance add {window} --start 2031-03-01T02:00Z --end 2031-03-01T04:00Z",
        f"maintenance add {window} --start 2031-03-01T02:00 --end 2031-03-01T04:00Z",
        f"maintenance add {window} --start tomorrow --end 2031-03-01T04:00Z",
        f"maintenance add {window}",
        "maintenance add --failure-domain x --start 2031-03-01T02:00Z"
        " --end 2031-03-01T01:00Z --id next",
        f"maintenance add {window} --start 2031-03-01T02:00Z --end 2031-03-01T04:00Z"
        " --id landlord-7",
        "maintenance list",
        "maintenance cancel landlord-7",
        "maintenance cancel unknown",
        "target list",
        "target list --state suspect",
        "target list --failure-domain nowhere",
        "target forget w1 --yes",
        "target forget a/runner --yes",
        "target forget w3 --yes",
        "target forget w2",
        "target forget w2 --yes",
        "keeper list",
        "keeper add i2",
        "keeper add i2 --name keeper-2 --address 127.0.0.1:12 --yes",
        "keeper promote i2",
        "keeper remove i2 --yes --json",
    ):
        shell.run(command)
    job_id = next(key for key in entry.keepers.items if key.startswith("job/"))
    job_id = job_id.rpartition("/")[2]
    shell.run(f"job show {job_id}")
    shell.run(f"job cancel {job_id}")
    assert "\n".join(shell.session) == snapshot


def test_status_and_time_line(shell, entry, snapshot):
    detail = {"term": 3}
    keeper_reply = common.StatusReply(
        "", "keeper-1", "keeper", "urubici", "b1", 9, "leader", detail
    )
    placer_reply = common.StatusReply(
        "", "placer-1", "placer", "urubici", "b2", 7, "owner", {}
    )
    event = common.Event(
        1_764_700_000_123, 5, "placer-1", "b2", "task_started", 3, "", "j1", "t1",
        "w1", "serra-alta", "on <w1>",
    )  # fmt: skip
    entry.gateway.replies = {
        ("127.0.0.1:11", "StatusQuery"): keeper_reply,
        ("127.0.0.1:21", "StatusQuery"): placer_reply,
        ("127.0.0.1:21", "TimelineQuery"): common.TimelinePage("", [event]),
    }
    for command in (
        "status",
        "status --json",
        "timeline --job j1 --limit 5",
        "timeline --limit many",
    ):
        shell.run(command)
    assert "\n".join(shell.session) == snapshot


def test_wrong_usage_and_missing_settings_say_what_to_do(shell, monkeypatch, snapshot):
    for command in (
        "questionaire check x",
        "questionnaire",
        "job submit one",
        "status --colour",
        "status --token-file FOLDER/missing",
        "status --entry 10.0.0.1",
    ):
        assert shell.run(command) == 2
    monkeypatch.setenv("ALDERREACH_ENTRY", "127.0.0.1:9")
    assert shell.run("status") == 3
    monkeypatch.delenv("ALDERREACH_ENTRY")
    assert shell.run("status") == 2
    monkeypatch.delenv("ALDERREACH_TOKEN_FILE")
    assert shell.run("status --entry 127.0.0.1:9") == 2
    assert "\n".join(shell.session) == snapshot


def run_at_terminal(command, typed):
    """Run a command with a terminal as its input; returns its exit code and output."""
    terminal, stdin = pty.openpty()
    try:
        os.write(terminal, typed.encode())
        done = subprocess.run(
            [sys.executable, "-m", "alderreach.scripts.client", *command.split()],
            stdin=stdin,
            capture_output=True,
            text=True,
            timeout=60,
        )
    finally:
        os.close(terminal)
        os.close(stdin)
    return done.returncode, done.stdout + done.stderr


def test_at_a_terminal_the_operator_must_confirm_a_change(shell, entry):
    command = "questionnaire apply examples/kai-tahi.toml"
    code, text = run_at_terminal(command, "no\n")
    assert (code, entry.keepers.commands) == (1, [])
    assert "Commit these 4 items?" in text and "nothing was changed" in text
    code, text = run_at_terminal(command, "yes\n")
    assert (code, entry.keepers.version) == (0, 1)
    assert "accepted as version 1" in text


def test_a_wrong_token_is_refused(shell, entry):
    (shell.folder / "my-token").write_text("guess\n")
    assert shell.run("questionnaire apply examples/kai-tahi.toml --yes") == 1
    assert "operator token" in shell.session[-1]
    assert entry.keepers.commands == []


def test_a_lost_answer_is_resent_to_the_next_entry(shell, entry, monkeypatch):
    """The first entry is unreachable and the second loses the keepers' answer.

    The operator must get a clear outcome, and the change must not be applied twice: the
    client resends with the same key until an entry reports the outcome.
    """
    entries = f"127.0.0.1:9,{os.environ['ALDERREACH_ENTRY']}"
    monkeypatch.setenv("ALDERREACH_ENTRY", entries)
    entry.keepers.lose_answers = 1
    assert shell.run("questionnaire apply examples/kai-tahi.toml --yes") == 0
    assert "accepted as version 1" in shell.session[-1]
    assert entry.keepers.version == 1
    assert len(entry.keepers.commands) == 1


def test_an_unknown_outcome_names_the_key_for_a_retry(shell, entry):
    """Every answer is lost, so it is unknown whether the job was accepted.

    A retry with the key from the error message finds the job and submits no second one.
    """
    assert shell.run("questionnaire apply examples/kai-tahi.toml --yes") == 0
    entry.keepers.lose_answers = 10
    assert shell.run("job submit kai-tahi kitchen-runs") == 3
    assert "--idempotency-key KEY" in shell.session[-1]
    entry.keepers.lose_answers = 0
    job_key = entry.keepers.commands[-1].writes[0]
    key = codec.decode(job_key.value, common.Job).idempotency_key
    command = f"job submit kai-tahi kitchen-runs --idempotency-key {key}"
    assert shell.run(command) == 0
    jobs = [key for key in entry.keepers.items if key.startswith("job/")]
    assert len(jobs) == 1
