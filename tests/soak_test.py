"""Short seeded days of the soak test with real processes; see ``tools/soak``.

``python -m tools.soak.main`` runs longer days with new seeds.
"""

import collections
import contextlib
import json
import os
import random
import socket
import threading
import types
from concurrent import futures

import pytest
import urllib3

from alderreach.core.generated import common
from alderreach.utils import clocks
from tests import entry_fakes
from tools import cell
from tools.soak import (
    callers,
    day,
    faults,
    linked_cell,
    promises,
    recovery,
    report,
)
from tools.standins import cell_worker, permissions, platform_worker

# Seeds that failed before. The causes:
# 102: a worker that restarted under its id accepted starts before its first heartbeat.
#   The heartbeat did not list them, which was taken for their end, so the tasks were
#   started a second time.
# 103, 207: the stand-in worker discarded ends by the count of its previous incarnation,
#   and only after the wait of a poll instead of when the poll arrived.
# 105, 204: probably calls that the relay held for a worker's previous incarnation; not
#   isolated.
# 601 to 613, and 102 again: for a gang with one permitted worker left, the permission
#   of other workers was not queried, nor that of workers that joined later.
# 703: a fault of the soak test itself: a gang's member seemed to keep running next to
#   the member of a lost worker.
# 818: a fault of the soak test itself: a cancellation without a clear answer had
#   taken effect nevertheless.
# 9848: a fault of the soak test itself: a second of three voters lost its disk before
#   the first one was a voter again.
# 10053 to 10056, and 1 and 605 again: cancellations without an answer and no leader for
#   seconds, inferred to be from slow syncs of the machine's disk.
# 1 once more: a fault of the soak test itself: repeats used silent connections.
# 11000 to 11002: a link whose open connection had become silent was kept, as its peer
#   sent messages on the connection in the other direction.
# 11026: ended jobs became unknown, inferred from a new leader's clock an hour ahead.
# 49014: a task that crashes its workers was started a sixth time with a run in doubt.
# 80001, open: a task blamed for crashes by another. 80014 and 62014 to 62029, open: a
#   task that crashes workers waits for one that vanished, a minute for each leader.
REGRESSION_SEEDS = (
    *(102, 103, 105, 204, 207, 601, 605, 609, 611, 612, 613, 703, 818, 9848),
    *(10053, 10054, 10055, 10056, 11000, 11001, 11002, 11026),
    *(49014, 62014, 62028, 62029, 80001, 80014),
)
# CI runs a seed with many kinds of faults in a few seconds, and two that found bugs.
SEEDS = (1, *REGRESSION_SEEDS) if os.environ.get("ALDERREACH_SOAK") else (1, 102, 605)
DURATION_S, CALM_S = 8, 4


@pytest.mark.parametrize("seed", SEEDS)
def test_a_short_day_violates_no_guarantee(tmp_path, seed):
    played = day.play(seed, tmp_path, DURATION_S, calm_s=CALM_S)
    assert played.violations == [], "\n".join(report.evidence(played))
    assert played.accepted > 0
    assert played.faults


Order = collections.namedtuple("Order", "task run")


def make_checker(clock=clocks.SYSTEM):
    """Return a checker with two idle two-processor workers and a job of two steps."""
    checker = promises.Promises(clock)
    for name in ("w1", "w2"):
        capacity = common.Resources(2000, 1024, 0)
        checker.workers.append(cell_worker.Worker(checker, name, capacity))
    checker.on_job_submitted("j", [promises.Step(2, 1000), promises.Step(1, 500, [0])])
    return checker


def start_task(checker, number, task):
    worker = checker.workers[number]
    worker.lease_until_ms = worker.clock_ms() + 60_000
    order = Order(task, 1)
    worker.running[task] = cell_worker.Running(
        order, worker.clock_ms(), cell_worker.Script(60_000)
    )


def test_each_violation_is_detected():
    """Violates each guarantee once, since a check that can't fail proves nothing."""
    checker = make_checker()
    start_task(checker, 0, "j.0.0.0")
    checker.check_start(checker.workers[1], Order("j.0.0.0", 2))
    checker.check_start(checker.workers[1], Order("j.0.1.0", 1))
    start_task(checker, 0, "j.0.0.1")
    checker.check_start(checker.workers[0], Order("j.0.1.0", 1))
    checker.acknowledged.add("j.0.0.1")
    checker.check_start(checker.workers[1], Order("j.0.0.1", 2))
    checker.check_start(checker.workers[1], Order("k.0.0.0", 1))
    checker.on_job_refused("j")
    assert checker.violations == [
        "j.0.0.0 starts on w2, runs on w1",
        "j.0.1.0 starts before step 0 is done",
        "j.0.1.0 starts before step 0 is done",
        "w1 is over its capacity by j.0.1.0",
        "j.0.0.1 starts after its end was acknowledged",
        "j.0.0.1 starts on w2, runs on w1",
        "k.0.0.0 starts, and nobody submitted its job",
        "j was refused and has run",
    ]


def test_a_customer_over_its_cap_is_detected():
    """The highest of the caps that may be in force counts.

    A start that was placed under a replaced cap may arrive after the acknowledgement of
    the new one; later it is a violation.
    """
    clock = clocks.FakeClock()
    checker = make_checker(clock.clock)
    checker.on_job_submitted("a", [promises.Step(3, 600)], "desk")
    checker.on_job_submitted("b", [promises.Step(3, 600)], "guides")
    checker.on_caps_sent({"desk": 1200})
    checker.on_caps_acknowledged({"desk": 1200})
    checker.on_caps_sent({"desk": 700})
    start_task(checker, 0, "a.0.0.0")
    start_task(checker, 0, "b.0.0.0")
    checker.check_start(checker.workers[1], Order("a.0.0.1", 1))
    assert not checker.violations
    checker.on_caps_acknowledged({"desk": 700})
    clock.advance(promises.CONFIG_APPLY_MS)
    checker.check_start(checker.workers[1], Order("a.0.0.1", 1))
    assert not checker.violations
    clock.advance(1)
    checker.check_start(checker.workers[1], Order("a.0.0.1", 1))
    assert checker.violations == ["desk is over its cap by a.0.0.1"]


def test_the_members_of_a_gang_end_together():
    """A gang's member may end only while all members run, and all end together.

    Otherwise a member could end before the others have started, or start again after
    the end of another member was acknowledged.
    """
    checker = make_checker()
    checker.on_job_submitted("g", [promises.Step(2, 1000, gang=True)])
    start_task(checker, 0, "g.0.0.0")
    assert not checker.may_end("g.0.0.0")
    start_task(checker, 1, "g.0.0.1")
    assert checker.may_end("g.0.0.0")
    checker.workers[0].end("g.0.0.0", "done")
    assert [end.how for worker in checker.workers for end in worker.ends] == [
        "done"
    ] * 2
    assert checker.unfinished("g") == []
    checker.on_end_acknowledged(checker.workers[0].ends[0])
    checker.check_start(checker.workers[1], Order("g.0.0.1", 2))
    assert checker.violations == ["g.0.0.1 starts after its end was acknowledged"]


def test_a_start_on_a_lost_worker_is_not_taken_for_the_running_member():
    """A worker seemed to exceed its capacity.

    A gang's first run was lost with a worker that accepted a start as it crashed. When
    the second run ended, the checker ended that start instead of the running member,
    whose capacity the leader had correctly allocated to other tasks.
    """
    checker = make_checker()
    checker.on_job_submitted("g", [promises.Step(2, 1000, gang=True)])
    checker.workers[0].crash()
    start_task(checker, 0, "g.0.0.1")
    start_task(checker, 1, "g.0.0.0")
    start_task(checker, 1, "g.0.0.1")
    checker.workers[1].end("g.0.0.0", "done")
    assert not checker.workers[1].running


def test_a_cancellation_without_a_clear_answer_may_take_effect():
    """A job seemed to be lost.

    Its cancellation was accepted, all controllers failed before the answer, and the
    caller gave up; the job was correctly shown as cancelled.
    """
    checker = make_checker()
    checker.on_job_submitted("j", [promises.Step(1, 1000)])
    fake_callers = types.SimpleNamespace(
        state=lambda session, job_id: "cancelled", unclear={"j"}, cancelled=set()
    )
    assert recovery.is_as_expected(fake_callers, checker, None, "j")
    assert fake_callers.cancelled == {"j"}
    other_callers = types.SimpleNamespace(
        state=fake_callers.state, unclear=set(), cancelled=set()
    )
    assert not recovery.is_as_expected(other_callers, checker, None, "j")


def test_a_long_running_task_has_to_run_again_after_its_end():
    checker = make_checker()
    checker.on_job_submitted("s", [promises.Step(1, 1000, long_running=True)])
    start_task(checker, 0, "s.0.0.0")
    assert checker.may_end("s.0.0.0")
    checker.workers[0].end("s.0.0.0", "done")
    checker.on_end_acknowledged(checker.workers[0].ends[0])
    assert checker.unfinished("s") == ["s.0.0.0"]
    checker.check_start(checker.workers[1], Order("s.0.0.0", 2))
    start_task(checker, 1, "s.0.0.0")
    assert checker.unfinished("s") == []
    assert not checker.may_end("s.0.0.0")
    assert checker.violations == []


def test_accepted_work_that_makes_no_progress_is_detected(monkeypatch):
    """After all faults a job makes no progress, and no task starts any more."""
    monkeypatch.setattr(recovery, "STILL_S", 0.1)
    checker = make_checker()
    start_task(checker, 0, "j.0.0.0")
    checker.workers[0].end("j.0.0.0", "done")
    calling = callers.Callers([], checker, random.Random(1), None, threads=0)
    calling.accepted["j"] = checker.steps["j"]
    calling.state = lambda _session, _job_id: "running"
    recovery.check_recovery(calling, checker)
    assert checker.violations == ["j is not completed: j.0.0.1 is left"]


def test_each_step_is_permitted_on_at_least_two_workers():
    for seed in range(100):
        steps = [f"{seed:016x}.0.{number}" for number in range(3)]
        for step in steps:
            allowed = [day.may_run(seed, step, f"i-{n}", 4) for n in range(4)]
            later = [day.may_run(seed, step, f"i-{n + 4}", 4) for n in range(4)]
            assert allowed == later
            assert 2 <= sum(allowed) < 4


def test_a_ticket_is_valid_for_one_step_on_one_incarnation_and_expires():
    rule = permissions.Rule(decision_ms=1, per_worker_ms=0, validity_ms=300)
    query = json.dumps({"step": "j.0.1", "workers": ["i-1", "i-2", "i-3"]})
    with contextlib.ExitStack() as stack:
        address = f"127.{cell.claim_octet(stack)}.9.1:7095"
        service = permissions.PermissionService(address, rule, lambda _s, w: w != "i-3")
        stack.callback(service.close)
        url = f"http://{address}/-/advise"
        answer = json.loads(urllib3.request("POST", url, body=query).data)
        (one, ticket), (other, other_ticket) = answer["good"]
        assert (one, other) == ("i-1", "i-2")
        assert service.is_valid(ticket, "j.0.1.7", "i-1")
        assert not service.is_valid(ticket, "j.0.2.7", "i-1")
        assert not service.is_valid(ticket, "j.0.1.7", "i-2")
        service.revoke_tickets("i-1")
        assert not service.is_valid(ticket, "j.0.1.7", "i-1")
        cell.wait_until(
            lambda: not service.is_valid(other_ticket, "j.0.1.7", "i-2"),
            "the ticket has expired",
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
        [faults.Fault(2.0, 1.0, "dark", "controllers")], [],
    )  # fmt: skip
    assert list(report.lines(played)) == snapshot


def test_the_evidence_shows_what_happened_to_the_tasks_of_violations():
    timeline = [(1, "w1 starts j7.0.0.0 run 1"), (2, "w1 starts k.0.0.0 run 1")]
    played = day.Report(9, ["j7 is lost"], 1, 0, 0, 4, [], None, [], timeline)
    assert report.evidence(played) == ["1 w1 starts j7.0.0.0 run 1"]


def make_worker(address="", world=None):
    """Return a stand-in worker whose controller does not answer."""
    address = address or entry_fakes.free_address()
    controls = [entry_fakes.free_address()]
    return platform_worker.PlatformWorker("w1", address, controls, world=world)


def test_a_received_call_ends_with_the_incarnation_that_received_it():
    """A worker crashes between receiving a start and beginning its run.

    If the next incarnation carried it out, a task could start again long after its run
    elsewhere was acknowledged, which a restarted process can't do.
    """
    checker = promises.Promises()
    checker.on_job_submitted("j", [promises.Step(1, 1000)])
    worker = make_worker(world=checker)
    worker.worker.capacity = common.Resources(2000, 1024, 0)
    answers = []
    body = {"task": "j.0.0.0", "run": 1, "spec": "", "until_ms": 6000}

    def send():
        url = f"http://{worker.address}/-/run-start"
        answers.append(urllib3.request("POST", url, body=json.dumps(body)).status)

    with contextlib.closing(worker.start()):
        sender = threading.Thread(target=send)
        with checker.lock:
            sender.start()
            worker.worker.crash()
            worker.worker.restart()
        sender.join()
        assert answers == [503]
        assert not worker.worker.running


def test_a_delayed_start_is_carried_out_late_or_ends_with_its_incarnation():
    """A worker leaves a start unanswered, and carries it out if it is still there."""
    worker = make_worker()
    worker.start_delay_s = lambda: 0.5

    def send(task):
        url = f"http://{worker.address}/-/run-start"
        body = json.dumps({"task": task, "run": 1, "spec": "", "until_ms": 60_000})
        return urllib3.request("POST", url, body=body, timeout=5).status

    with contextlib.closing(worker.start()), futures.ThreadPoolExecutor() as pool:
        late = pool.submit(send, "j.0.0.0")
        assert not worker.worker.running
        assert late.result() == 200
        assert list(worker.worker.running) == ["j.0.0.0"]
        received = threading.Event()
        worker.start_delay_s = lambda: received.set() or 60.0
        dropped = pool.submit(send, "j.0.0.1")
        assert received.wait(5)
        worker.worker.crash()
        worker.worker.restart()
        assert dropped.result() == 503
        assert not worker.worker.running


def test_a_controller_is_cut_off_from_the_others_in_each_direction(tmp_path):
    """A cut of one direction keeps the other, and an isolated leader is replaced."""
    with linked_cell.LinkedCell(tmp_path) as running:
        running.start()
        first = cell.wait_until(running.leader, "a leader is elected")
        links = running.links_of(first)
        running.controller_links.cut(links)
        cell.wait_until(lambda: running.leader() != first, "another one is elected")
        assert sorted(links) == sorted(
            link for link in running.controller_links.names() if first in link
        )
        assert len(links) == 4
        running.controller_links.heal(links)


@pytest.mark.parametrize(
    "kind, expected",
    [
        ("deafen", [("b", "a"), ("c", "a")]),
        ("mute", [("a", "b"), ("a", "c")]),
        ("isolate", [("a", "b"), ("b", "a"), ("a", "c"), ("c", "a")]),
    ],
)
def test_a_cut_names_the_links_of_its_direction(kind, expected):
    """Links have the names of the sender and the receiver."""
    cuts, heals = [], []
    running = types.SimpleNamespace(
        links_of=lambda _name: [("a", "b"), ("b", "a"), ("a", "c"), ("c", "a")],
        controller_links=types.SimpleNamespace(cut=cuts.append, heal=heals.append),
    )
    faults.Faults(running, None, [], None, 1)._cut_off(kind, 0, "a")
    assert cuts == heals == [expected]


def test_a_restart_waits_for_its_address():
    """Guards against a worker that sends heartbeats but can't be called, as its address
    was still in use for a moment when it restarted.
    """
    worker = make_worker()
    host, _, port = worker.address.rpartition(":")

    def occupy_address():
        holder = socket.create_server((host, int(port)))
        threading.Timer(0.3, holder.close).start()

    worker.on_restarted = occupy_address
    with contextlib.closing(worker.start()):
        worker.worker.crash()
        worker.restart()
        url = f"http://{worker.address}/-/hold"
        assert urllib3.request("POST", url, body="{}").status == 200


def test_a_closed_worker_does_not_restart():
    """A worker that a task has crashed would restart after its day has ended.

    Its listener would stay open, and the next day could not use the address.
    """
    worker = make_worker().start()
    worker.close()
    worker.restart()
    make_worker(worker.address).start().close()
