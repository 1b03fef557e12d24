"""Short seeded days of the soak, with real processes; see ``tools/soak``.

``python -m tools.soak.main`` plays longer ones with fresh seeds.
"""

import collections
import contextlib
import json
import os
import types

import pytest
import urllib3

from tools import cell
from tools.soak import callers, day, faults, promises, report
from tools.standins import cell_worker, permissions

# Seeds that failed once. 102: a worker back under its id took starts before its first
# heartbeat, which was read as their end, so they were started beside themselves. 103,
# 207: the stand-in forgot ends by a former life's count after the wait of a look, not
# as the look came. 105, 204: likely calls that the relay held for a worker's
# former life; not isolated. 601 to 613, and 102 once more: gangs of which one permitted
# worker was left asked about nobody else; workers that came later were not asked about.
# 703: the soak's own, a gang's member seemed to work on beside a lost worker's.
# 818: the soak's own, a cancellation without a clear answer was in force all the same.
FOUND = (102, 103, 105, 204, 207, 601, 605, 609, 611, 612, 613, 703, 818)
# In CI one that plays many kinds of faults in a few seconds, and the product's own.
SEEDS = (1, *FOUND) if os.environ.get("ALDERREACH_SOAK") else (1, 102, 605)
SECONDS = 8


@pytest.mark.parametrize("seed", SEEDS)
def test_a_short_day_keeps_all_promises(tmp_path, seed):
    played = day.play(seed, tmp_path, SECONDS)
    assert played.violations == []
    assert played.accepted > 0
    assert played.faults


Order = collections.namedtuple("Order", "task run")


def world():
    """Two idle workers of two processors, and a job of two steps."""
    made = promises.Promises()
    for name in ("w1", "w2"):
        worker = cell_worker.Worker(made, name, None)
        worker.capacity = collections.namedtuple("C", "cpu_millis")(2000)
        made.workers.append(worker)
    made.on_job_submitted("j", [promises.Step(2, 1000), promises.Step(1, 500, [0])])
    return made


def run_on(made, number, task):
    worker = made.workers[number]
    worker.lease_until_ms = worker.clock_ms() + 60_000
    order = Order(task, 1)
    worker.running[task] = cell_worker.Running(
        order, worker.clock_ms(), cell_worker.Script(60_000)
    )


def test_each_broken_promise_is_seen():
    """A check that can't fail proves nothing: each is broken once here."""
    made = world()
    run_on(made, 0, "j.0.0.0")
    made.check_start(made.workers[1], Order("j.0.0.0", 2))
    made.check_start(made.workers[1], Order("j.0.1.0", 1))
    run_on(made, 0, "j.0.0.1")
    made.check_start(made.workers[0], Order("j.0.1.0", 1))
    made.acknowledged.add("j.0.0.1")
    made.check_start(made.workers[1], Order("j.0.0.1", 2))
    made.check_start(made.workers[1], Order("k.0.0.0", 1))
    made.on_job_refused("j")
    assert made.violations == [
        "j.0.0.0 starts on w2, runs on w1",
        "j.0.1.0 starts before step 0 is done",
        "j.0.1.0 starts before step 0 is done",
        "w1 is over its capacity by j.0.1.0",
        "j.0.0.1 starts after its end was acknowledged",
        "j.0.0.1 starts on w2, runs on w1",
        "k.0.0.0 starts, and nobody submitted its job",
        "j was refused and has run",
    ]


def test_the_members_of_a_gang_end_together():
    """Work on a member that ends before the others are there proves nothing, and
    neither does one that may start again after another's end was acknowledged.
    """
    made = world()
    made.on_job_submitted("g", [promises.Step(2, 1000, gang=True)])
    run_on(made, 0, "g.0.0.0")
    assert not made.may_end("g.0.0.0")
    run_on(made, 1, "g.0.0.1")
    assert made.may_end("g.0.0.0")
    made.workers[0].end("g.0.0.0", "done")
    assert [end.how for worker in made.workers for end in worker.ends] == ["done"] * 2
    assert made.unfinished("g") == []
    made.on_end_acknowledged(made.workers[0].ends[0])
    made.check_start(made.workers[1], Order("g.0.0.1", 2))
    assert made.violations == ["g.0.0.1 starts after its end was acknowledged"]


def test_a_member_that_a_lost_worker_took_does_not_stand_for_the_one_at_work():
    """A worker seems to be over its capacity. A gang's first run was lost with a worker
    that took a start as it went down; when the second run ended, that start was ended
    in place of the member at work, whose room its leader had rightly given out.
    """
    made = world()
    made.on_job_submitted("g", [promises.Step(2, 1000, gang=True)])
    made.workers[0].crash()
    run_on(made, 0, "g.0.0.1")
    run_on(made, 1, "g.0.0.0")
    run_on(made, 1, "g.0.0.1")
    made.workers[1].end("g.0.0.0", "done")
    assert not made.workers[1].running


def test_a_cancellation_without_a_clear_answer_may_be_in_force():
    """A job seemed lost. Its cancellation was taken, all controllers went dark before
    the answer, and its caller gave up; the job was rightly shown as cancelled.
    """
    made = world()
    made.on_job_submitted("j", [promises.Step(1, 1000)])
    asked = types.SimpleNamespace(
        state=lambda session, job_id: "cancelled", unclear={"j"}, cancelled=set()
    )
    assert day._is_as_expected(asked, made, None, "j")
    assert asked.cancelled == {"j"}
    never_asked = types.SimpleNamespace(
        state=asked.state, unclear=set(), cancelled=set()
    )
    assert not day._is_as_expected(never_asked, made, None, "j")


def test_a_task_that_lasts_has_to_run_again_after_its_end():
    made = world()
    made.on_job_submitted("s", [promises.Step(1, 1000, long_running=True)])
    run_on(made, 0, "s.0.0.0")
    assert made.may_end("s.0.0.0")
    made.workers[0].end("s.0.0.0", "done")
    made.on_end_acknowledged(made.workers[0].ends[0])
    assert made.unfinished("s") == ["s.0.0.0"]
    made.check_start(made.workers[1], Order("s.0.0.0", 2))
    run_on(made, 1, "s.0.0.0")
    assert made.unfinished("s") == []
    assert not made.may_end("s.0.0.0")
    assert made.violations == []


def test_accepted_work_that_stands_still_is_seen(monkeypatch):
    """In the calm a job stays as it is, and nothing starts any more."""
    monkeypatch.setattr(day, "STILL_S", 0.1)
    made = world()
    run_on(made, 0, "j.0.0.0")
    made.workers[0].end("j.0.0.0", "done")
    calling = callers.Callers([], made, None, threads=0)
    calling.accepted["j"] = made.steps["j"]
    calling.state = lambda _session, _job_id: "running"
    day._check_recovery(calling, made)
    assert made.violations == ["j is not completed: j.0.0.1 is left"]


def test_whatever_is_accepted_may_run_on_two_places_at_least():
    for seed in range(100):
        steps = [f"{seed:016x}.0.{number}" for number in range(3)]
        for step in steps:
            allowed = [day.may_run(seed, step, f"i-{n}") for n in range(day.WORKERS)]
            later = [day.may_run(seed, step, f"i-{n + day.WORKERS}") for n in range(4)]
            assert allowed == later
            assert 2 <= sum(allowed) < day.WORKERS


def test_a_ticket_is_good_for_one_step_on_one_life_and_ages():
    rule = permissions.Rule(decision_ms=1, per_worker_ms=0, validity_ms=300)
    question = json.dumps({"step": "j.0.1", "workers": ["i-1", "i-2", "i-3"]})
    with contextlib.ExitStack() as stack:
        address = f"127.{cell.claim_octet(stack)}.9.1:7095"
        service = permissions.PermissionService(address, rule, lambda _s, w: w != "i-3")
        stack.callback(service.close)
        url = f"http://{address}/-/advise"
        answer = json.loads(urllib3.request("POST", url, body=question).data)
        (one, ticket), (other, other_ticket) = answer["good"]
        assert (one, other) == ("i-1", "i-2")
        assert service.is_valid(ticket, "j.0.1.7", "i-1")
        assert not service.is_valid(ticket, "j.0.2.7", "i-1")
        assert not service.is_valid(ticket, "j.0.1.7", "i-2")
        service.revoke_tickets("i-1")
        assert not service.is_valid(ticket, "j.0.1.7", "i-1")
        cell.wait_until(
            lambda: not service.is_valid(other_ticket, "j.0.1.7", "i-2"),
            "the ticket is too old",
        )


def test_the_report_shows_service_over_time(snapshot):
    answers = [
        callers.Answer(0.1, "POST", 200, 3.0),
        callers.Answer(0.9, "GET", 503, 3.0),
        callers.Answer(2.5, "GET", 200, 4.0),
    ]
    latency = callers.HdrHistogram(1, 1000, 3)
    for answer in answers:
        latency.record_value(int(answer.took_ms))
    played = day.Report(
        9, ["j is lost"], 1, 0, 0, 4, answers, latency,
        [faults.Fault(2.0, 1.0, "dark", "controllers")],
    )  # fmt: skip
    assert list(report.lines(played)) == snapshot
