"""Handling of the answers to start, stop and pace orders, and of missing answers."""

from absl import logging

from alderreach.core import cell_state, orders
from alderreach.decisions.cell import crash_blame, workers
from alderreach.ops.controller import (
    lost_contact,
    runs,
    stopping,
    worker_lifecycle,
    worker_polls,
)

# Delay before an unanswered order is sent again. It can be short, since the call itself
# has already waited for longer than any healthy worker takes to answer.
RESEND_AFTER_MS = 50
# A call to an address where nothing listens fails immediately. Without this pause each
# run on the worker would open a connection twenty times a second.
NOT_CONNECTED_PAUSE_MS = 400
# A worker that refused a start gets no new runs for this time. A refusal due to health
# or capacity means that the leader's view is outdated; the pause lets a poll or a
# heartbeat arrive first. After a refused ticket it lets the leader query about other
# workers: without it, a worker that refused all tickets was the only one whose ticket
# was renewed, and its step never ran.
HOLD_BACK_MS = 500


def handle_order_answer(leader, message):
    """Handle the answer to a Start, Stop or Pace order."""
    worker = leader.workers.get(message.target_id)
    if worker is None:
        return
    now_ms, result = leader.now_ms(), message.result
    if message.order.fence != worker.fence and result.outcome != orders.NOT_SENT:
        # The previous incarnation answered, or an order for it was answered late.
        return
    if result.clock_ms is not None:
        if worker.is_clock_of_other_incarnation(result.clock_ms, now_ms):
            worker_lifecycle.suspect_new_incarnation(leader, worker)
        worker.update_clock_offset(result.clock_ms, now_ms)
        worker.last_contact_ms = now_ms
    worker.record_call_outcome(result.outcome, now_ms)
    if result.outcome in orders.UNANSWERED:
        lost_contact.on_failed_call(leader, worker, result.lost_connection)
    if result.outcome == orders.OVERTAKEN:
        worker.losses.record(now_ms)
    if result.outcome == orders.OTHER_INCARNATION:
        worker_lifecycle.end_incarnation(leader, worker)
        return
    run = runs.run_of(worker, message.order.task)
    if run is None or run.run != message.order.run:
        return
    if isinstance(message.order, orders.Start):
        _handle_start_answer(leader, worker, run, message, now_ms)
    elif isinstance(message.order, orders.Stop):
        _handle_stop_answer(run, result, now_ms)
        stopping.note_answer(leader, run, result.outcome)
        worker_polls.poll(leader, worker)
    elif result.outcome == orders.OK:
        run.pace = message.order.percent
    elif result.outcome in (orders.UNKNOWN, orders.OVERTAKEN):
        run.pace = None


def resend(leader, worker, run):
    """Send a start or stop again that was not answered.

    A start waits until the worker has answered another call. It may have crashed the
    worker, whose next incarnation would take the same run as a new one.
    """
    if run.state == workers.CLOSING:
        runs.send_stop(leader, worker, run)
    elif run.state == workers.ORDERED and not worker.is_of_previous_incarnation(run):
        if worker.failures:
            run.next_send_ms = leader.now_ms() + RESEND_AFTER_MS
        else:
            runs.repeat_start(leader, worker, run)


def _handle_start_answer(leader, worker, run, message, now_ms):
    """Handle the answer to a start.

    Only OK, or a proof that nothing ran, is conclusive.
    """
    result = message.result
    run.sends += result.copies - 1
    if run.state not in (workers.ORDERED, workers.REFUSED):
        return
    if result.outcome == orders.OK:
        runs.confirm(leader, worker, run, now_ms)
        run.answered_ms = now_ms
        return
    if run.state == workers.REFUSED or message.order is not run.order:
        # The answer to an earlier copy says nothing about the last one.
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
        leader.permissions.invalidate_ticket(group, worker.target_id)
        leader.revisit(group)
    if result.outcome in (orders.NO_CAPACITY, orders.REFUSED, orders.NO_TICKET):
        worker.held_back_until_ms = now_ms + HOLD_BACK_MS
        leader.pools.on_worker_changed(worker.target_id)
    if result.outcome in orders.NOT_EXECUTED and run.sends == 1:
        runs.end_run(leader, worker, run, "refused")
    elif result.outcome in (orders.NO_TICKET, orders.LEASE_EXPIRED):
        # The earlier copies expire no later than this one.
        run.state, run.answered_ms = workers.REFUSED, now_ms
        run.next_send_ms = None
        worker.needs_list = True
    elif result.outcome in (orders.UNKNOWN, orders.OVERTAKEN):
        is_at_start = now_ms - run.placed_ms < crash_blame.CRASH_DISCONNECT_MS
        run.lost_connection_at_start = run.lost_connection_at_start or (
            result.lost_connection and is_at_start
        )
        run.next_send_ms = now_ms + RESEND_AFTER_MS
    elif result.outcome == orders.FENCED:
        logging.warning("worker %s has seen a higher epoch", worker.target_id)
    else:
        runs.close_run(leader, worker, run, stopping.START_UNCLEAR)


def _handle_stop_answer(run, result, now_ms):
    if run.state != workers.CLOSING:
        return
    if result.outcome in (orders.OK, orders.STALE_RUN):
        run.state = workers.CLOSED
        run.answered_ms = now_ms
    elif result.outcome in orders.NOT_CONNECTED:
        run.next_send_ms = now_ms + NOT_CONNECTED_PAUSE_MS
    else:
        run.next_send_ms = now_ms + RESEND_AFTER_MS
