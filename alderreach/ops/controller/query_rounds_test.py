"""Slow permission queries of a leader in virtual time."""

import collections
import itertools

import pytest

from alderreach.core.generated import cell
from alderreach.decisions.cell import choice
from tools import virtual_cell, virtual_parts

QUICK = cell.PermissionRule(53, 0.75, 2_500)
SLOW = cell.PermissionRule(717, 10.1, 2_500)
SHARES = {"urgent": 0.7, "plan": 0.35}
# One query of 60 workers, an interval of rounds, and a commit.
ONE_QUERY_MS = 717 + 60 * 10.1 + 100 + 20


class WatchedCell(virtual_cell.VirtualCell):
    """A cell that records each query with its time, and the first starts of steps."""

    def __init__(self, *args, **options):
        self.sent, self.events = [], collections.defaultdict(list)
        super().__init__(*args, **options)

    def _send_query(self, query):
        self.sent.append((self.loop.now_ms, query))
        super()._send_query(query)

    def _record(self, kind, **fields):
        self.events[kind].append((self.loop.now_ms, fields))
        super()._record(kind, **fields)


def make_cell(workers, shares=None, first_rule=QUICK, helpers=12):
    queues = [
        virtual_parts.queue("urgent", 0, 1.5, 250, permission=first_rule),
        virtual_parts.queue("plan", 2, 2.2, 1_200, permission=SLOW),
    ]
    records = [virtual_parts.worker(n, 4_000, 64_000) for n in range(workers)]
    shares = SHARES if shares is None else shares
    return WatchedCell(queues, records, helpers, permitted_shares=shares)


def submit(sim, time_ms, queue, job_id, tasks, work_ms=1_000, cpu=1_000, **options):
    step = virtual_parts.step(tasks, cpu, estimated_ms=work_ms, **options)
    work = virtual_parts.Work(step, [work_ms] * tasks)
    sim.submit_at(time_ms, queue, job_id, [work])


def state_of(sim, job_id):
    return sim.term.leader.state.jobs[job_id].state


def test_batch_steps_in_a_cell_with_room_take_few_queries():
    """Guards against 3.2 queries for a batch step; the target is 1.5."""
    sim = make_cell(60)
    for number in range(20):
        submit(sim, 700 * number, "plan", f"j{number}", 21)
    sim.run_until(25_000)
    assert all(state_of(sim, f"j{number}") == "completed" for number in range(20))
    assert len(sim.sent) <= 1.5 * 20
    permitted = [fields for _ms, fields in sim.events["step_permitted"]]
    assert sum(fields["queries"] for fields in permitted) == len(sim.sent)


def test_steps_without_prospect_of_room_do_not_query():
    """Guards against helpers that are busy with queries for steps that can't start.

    All workers are full for 8 s when 20 steps open. The first queries are sent when
    the tickets will still be valid at the end of that.
    """
    sim = make_cell(8, shares={})
    submit(sim, 0, "urgent", "full", 32, work_ms=8_000)
    for number in range(20):
        submit(sim, 1_000, "plan", f"j{number}", 4)
    sim.run_until(4_000)
    assert [query.group[0] for _ms, query in sim.sent] == ["full"]
    lines = [ms for ms, _fields in sim.events["query_withheld"]]
    assert 2 <= len(lines) <= 4
    sim.run_until(30_000)
    assert all(state_of(sim, f"j{number}") == "completed" for number in range(20))


def test_a_step_is_not_withheld_for_the_claims_of_one_that_never_starts(monkeypatch):
    """Guards against a step that is withheld for ever. A more urgent step claims all
    room, but no worker lets it start, for whatever reason.
    """
    can_start = choice.can_start
    monkeypatch.setattr(
        choice,
        "can_start",
        lambda worker, step, group, now_ms: (
            group.job_id != "stuck" and can_start(worker, step, group, now_ms)
        ),
    )
    sim = make_cell(8, shares={}, first_rule=None)
    submit(sim, 0, "urgent", "stuck", 8, cpu=4_000)
    submit(sim, 500, "plan", "j1", 8, cpu=4_000)
    sim.run_until(1_400)
    assert not sim.sent
    sim.run_until(500 + 1_500 + ONE_QUERY_MS + 1_000 + 100)
    assert state_of(sim, "j1") == "completed"


def test_a_wide_step_of_which_few_tasks_fit_is_not_withheld_for_ever():
    """Guards against a step that waits until a tenth of its tasks fits: all workers but
    one are full for good.
    """
    sim = make_cell(8, shares={})
    submit(sim, 0, "urgent", "full", 7, 60_000, cpu=4_000, max_per_target=1)
    submit(sim, 500, "plan", "j1", 60)
    sim.run_until(500 + 3_000 + 500 + ONE_QUERY_MS)
    assert sim.term.leader.state.jobs["j1"].has_started


@pytest.mark.parametrize("kind", ["silent_helpers", "cut_helpers"])
def test_queries_of_failing_helpers_go_elsewhere(kind):
    """Guards against steps that wait for helpers which are partitioned or answer 429.

    A query without an answer is repeated after its due time, and no step has two open.
    """
    sim = make_cell(60)
    getattr(sim, kind).update({"helper-0", "helper-1"})
    for number in range(4):
        submit(sim, 0, "plan", f"j{number}", 10)
    sim.run_until(2 * ONE_QUERY_MS + 400 + ONE_QUERY_MS + 2_500)
    assert all(state_of(sim, f"j{number}") == "completed" for number in range(4))
    answers = sim.events["permission_answered"]
    for number in range(4):
        sent = [(ms, q) for ms, q in sim.sent if q.group[0] == f"j{number}"]
        for (earlier_ms, earlier), (ms, _query) in itertools.pairwise(sent):
            has_answer = any(
                fields["task"] == f"j{number}.0.0" and earlier_ms < at_ms <= ms
                for at_ms, fields in answers
            )
            assert has_answer or ms >= earlier.due_ms


def test_denied_workers_are_not_asked_again():
    """Guards against the service's time spent on answers that never change."""
    sim = make_cell(60, shares={"plan": 0.1})
    submit(sim, 0, "plan", "j1", 40, work_ms=2_000)
    sim.run_until(20_000)
    assert state_of(sim, "j1") == "completed"
    counts = collections.Counter(
        target_id for _ms, query in sim.sent for target_id in query.target_ids
    )
    again = [target_id for target_id, count in counts.items() if count > 1]
    job, group = sim.term.leader.state.jobs["j1"], sim.sent[0][1].group
    assert again and all(sim._may_run(job, group, target_id) for target_id in again)


def test_an_urgent_step_does_not_wait_for_a_forecast():
    """Guards against urgent steps that start later than in 0.21 s because many batch
    steps wait: their queries are sent when they open.
    """
    sim = make_cell(60, helpers=43)
    for number in range(60):
        submit(sim, 0, "plan", f"j{number}", 40, work_ms=9_000)
    for number in range(20):
        submit(sim, 4_000 + 50 * number, "urgent", f"u{number}", 2, 300, 100)
    sim.run_until(7_000)
    asked = {q.group[0]: ms for ms, q in reversed(sim.sent)}
    waits = sorted(asked[f"u{n}"] - (4_000 + 50 * n) for n in range(20))
    assert waits[18] <= 100


def test_a_gang_gets_all_its_tickets_at_once():
    """Guards against a gang that never holds all its tickets at the same time."""
    sim = make_cell(100)
    submit(sim, 0, "plan", "gang", 25, cpu=3_000, gang=True)
    sim.run_until(4 * 1_750 + 2_000)
    assert state_of(sim, "gang") == "completed"
