"""What follows from the answer to a start, a stop or a pace, or from none."""

from absl import logging

from alderreach.core import cell_state, orders
from alderreach.decisions.cell import crash_blame, workers
from alderreach.ops.controller import runs, worker_lifecycle, worker_polls

# An order without an answer is sent again after this; the call itself has waited
# longer than any healthy worker takes.
RESEND_AFTER_MS = 50
# Where nothing listens the answer comes at once; without a pause every run there would
# open a connection twenty times a second.
NOT_CONNECTED_PAUSE_MS = 400
# Refusals for want of health or room say that our view is behind; waiting lets a poll
# or a heartbeat come first. Those of a ticket let others be asked about meanwhile: a
# worker that refuses all tickets was the only one renewed, and its step never ran.
HOLD_BACK_MS = 500


def order_answered(leader, mail):
    """Take the answer to a Start, Stop or Pace."""
    worker = leader.workers.get(mail.target_id)
    if worker is None:
        return
    now_ms, result = leader.now_ms(), mail.result
    if result.clock_ms is not None:
        if worker.is_other_clock(result.clock_ms, now_ms):
            worker_lifecycle.suspect_new_life(leader, worker)
        worker.note_clock(result.clock_ms, now_ms)
        worker.heard_ms = now_ms
    worker.note_answer(result.outcome, now_ms)
    if result.outcome == orders.OTHER_INCARNATION:
        worker_lifecycle.life_over(leader, worker)
        return
    run = runs.run_of(worker, mail.order.task)
    if run is None or run.run != mail.order.run:
        return
    if isinstance(mail.order, orders.Start):
        _start_answered(leader, worker, run, mail, now_ms)
    elif isinstance(mail.order, orders.Stop):
        _stop_answered(run, result, now_ms)
        worker_polls.poll(leader, worker)
    elif result.outcome == orders.OK:
        run.pace = mail.order.percent
    elif result.outcome == orders.UNKNOWN:
        run.pace = None


def send_again(leader, worker, run):
    """Repeat a start or stop that was not answered."""
    if run.state == workers.CLOSING:
        runs.send_stop(leader, worker, run)
    elif run.state == workers.ORDERED and run.order is not None:
        runs.send_start(leader, worker, run)


def _start_answered(leader, worker, run, mail, now_ms):
    """Act on the answer to a start; only OK and proofs that nothing ran settle it."""
    result = mail.result
    if run.state != workers.ORDERED:
        return
    if result.outcome == orders.OK:
        run.state = workers.RUNNING
        run.is_confirmed = True
        run.answered_ms = run.moved_ms = now_ms
        return
    leader.environment.record(
        "start_not_taken",
        task=str(run.key),
        run=run.run,
        target=worker.target_id,
        outcome=result.outcome,
        sends=run.sends,
    )
    leader.environment.metrics.count("starts_not_taken", result.outcome)
    if result.outcome == orders.NO_TICKET:
        group = cell_state.GroupKey(*run.key[:3])
        leader.permissions.refuse(group, worker.target_id)
        leader.revisit(group)
    if result.outcome in (orders.NO_CAPACITY, orders.REFUSED, orders.NO_TICKET):
        worker.held_back_until_ms = now_ms + HOLD_BACK_MS
        leader.pools.worker_changed(worker.target_id)
    if result.outcome in orders.NOT_EXECUTED and run.sends == 1:
        runs.end_run(leader, worker, run, "refused")
    elif result.outcome == orders.UNKNOWN:
        is_at_start = now_ms - run.placed_ms < crash_blame.BROKEN_OFF_MS
        run.is_broken_off = run.is_broken_off or (
            result.lost_connection and is_at_start
        )
        worker.may_arrive_late(run, now_ms)
        run.next_send_ms = now_ms + RESEND_AFTER_MS
    elif result.outcome == orders.FENCED:
        logging.warning("worker %s saw a higher epoch", worker.target_id)
    else:
        runs.close_run(leader, worker, run)


def _stop_answered(run, result, now_ms):
    if run.state != workers.CLOSING:
        return
    if result.outcome in (orders.OK, orders.STALE_RUN):
        run.state = workers.CLOSED
        run.answered_ms = now_ms
    elif result.outcome in orders.NOT_CONNECTED:
        run.next_send_ms = now_ms + NOT_CONNECTED_PAUSE_MS
    else:
        run.next_send_ms = now_ms + RESEND_AFTER_MS
