"""Handling of the answers to orders."""

from alderreach.core import cell_state, orders
from alderreach.decisions.cell import health, workers
from alderreach.ops.controller import order_answers, target_link, worker_lifecycle
from tools import virtual_cell, virtual_parts


def test_a_refusal_does_not_end_a_quarantine_early():
    """Guards against a bad worker that is used again after half a second.

    A worker that fails all its runs gets nothing new for three seconds. A start that
    was already on its way is then refused, which holds the worker back for half a
    second. That used to end the longer wait.
    """
    records = [virtual_parts.worker(number, 8_000) for number in range(6)]
    virtual = virtual_cell.VirtualCell([virtual_parts.queue("q")], records)
    virtual.run_until(500)
    leader = virtual.term.leader
    virtual.submit(
        "q", "j1", [virtual_parts.Work(virtual_parts.step(1, 1_000), [9_000])]
    )
    virtual.run_until(500 + virtual_cell.COMMIT_MS)
    (worker,) = [worker for worker in leader.workers.values() if worker.runs]
    (run,) = worker.runs.values()
    now_ms, all_workers = leader.now_ms(), list(leader.workers.values())
    assert worker.is_usable(now_ms)
    health.add_strike(worker, "j2", all_workers, now_ms)
    assert health.add_strike(worker, "j3", all_workers, now_ms)
    refused = orders.OrderResult(orders.REFUSED, now_ms)
    message = target_link.OrderAnswered(1, worker.target_id, run.order, refused)
    order_answers.handle_order_answer(leader, message)
    assert not worker.runs
    later_ms = now_ms + order_answers.HOLD_BACK_MS
    worker.announced_ms = later_ms
    assert not worker.is_usable(later_ms)
    assert worker.is_usable(now_ms + health.FIRST_OUT_MS)


def test_a_start_that_was_not_sent_says_nothing_about_its_worker():
    """Guards against a worker that refuses connections and is taken for a silent one,
    since starts that waited behind the refused call were returned after it.
    """
    virtual, worker, run = _placed_run()
    leader = virtual.term.leader
    for outcome in (orders.CONNECTION_REFUSED, orders.NOT_SENT):
        order = run.order._replace(run=run.run + 1)
        message = target_link.OrderAnswered(
            1, worker.target_id, order, orders.OrderResult(outcome)
        )
        order_answers.handle_order_answer(leader, message)
    assert worker.is_refusing


def test_a_start_that_was_not_sent_has_no_part_in_its_workers_crash():
    """Guards against blame for a crash that a task can't have caused: it waited behind
    the culprit's start, and the worker's restart was noticed before it was returned.
    """
    virtual, worker, run = _placed_run()
    leader = virtual.term.leader
    assert run.state == workers.ORDERED
    worker_lifecycle.suspect_new_incarnation(leader, worker)
    message = target_link.OrderAnswered(
        1, worker.target_id, run.order, orders.OrderResult(orders.NOT_SENT)
    )
    order_answers.handle_order_answer(leader, message)
    assert not worker.runs
    task = cell_state.find_task(leader.state, run.key)
    assert (task.state, task.blame) == (cell_state.WAITING, 0)


def _placed_run():
    """A virtual cell, and a worker and its run whose start is on its way."""
    records = [virtual_parts.worker(number, 8_000) for number in range(2)]
    virtual = virtual_cell.VirtualCell([virtual_parts.queue("q")], records)
    virtual.run_until(500)
    virtual.submit(
        "q", "j1", [virtual_parts.Work(virtual_parts.step(1, 1_000), [9_000])]
    )
    virtual.run_until(500 + virtual_cell.COMMIT_MS)
    leader = virtual.term.leader
    (worker,) = [worker for worker in leader.workers.values() if worker.runs]
    (run,) = worker.runs.values()
    return virtual, worker, run


def test_a_run_whose_repeated_start_was_not_sent_is_stopped():
    """Guards against a task that waits for tens of seconds on one worker: each time its
    start was to be repeated, it stood behind an order without an answer.
    """
    virtual, worker, run = _placed_run()
    leader = virtual.term.leader
    for outcome in (orders.UNKNOWN, orders.NOT_SENT):
        message = target_link.OrderAnswered(
            1, worker.target_id, run.order, orders.OrderResult(outcome)
        )
        order_answers.handle_order_answer(leader, message)
        if run.next_send_ms is not None:
            worker.failures = 0
            order_answers.resend(leader, worker, run)
    assert run.is_closing()
