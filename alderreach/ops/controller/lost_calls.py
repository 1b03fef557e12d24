"""Calls to workers that get no answer, though the worker answers others.

A lost call may still be carried out seconds later. Its timeout is long, since it has to
cover a slow network, so nothing waits for it. Once an order is slow to be answered, or
a poll, the worker is polled beside it. The answer shows that the worker has not
restarted since, so the order does not hold up those behind it, and whether the worker
has the run. If it has not, its start is sent again.

A poll that supersedes another one acknowledges no ends and grants the same lease: the
worker may have crashed, and its lease would otherwise last longer for each such poll.
"""

from alderreach.core import orders
from alderreach.decisions.cell import workers
from alderreach.ops.controller import runs

# A poll without an answer for this time after its wait is superseded.
SLOW_POLL_MS = 100
# Polls in progress at the same time, which bounds the connections to a silent worker.
MAX_OPEN_POLLS = 6
# The interval between polls of a worker that loses calls. Answers cost the leader time,
# so many such workers are polled MAX_SHORT_POLLS_PER_S times a second together, each as
# often as one that holds its polls, though: its lease would lapse otherwise.
SHORT_POLL_GAP_MS = 100
MAX_SHORT_POLL_GAP_MS = 1000
MAX_SHORT_POLLS_PER_S = 500


def check(leader, worker, now_ms):
    """Supersede a poll that is slow, or that can't tell about slow orders."""
    copies = worker.losses.copies(now_ms)
    if copies != worker.copies:
        worker.copies = copies
        leader.links[worker.target_id].set_copies(copies)
        leader.environment.record(
            "worker_loses_calls", target=worker.target_id, copies=copies
        )
    if worker.poll_sent_ms is None or worker.failures or worker.is_recording_ends:
        return
    waited_ms = now_ms - worker.poll_sent_ms
    is_slow = waited_ms >= worker.poll.wait_ms + SLOW_POLL_MS
    if is_slow or (worker.poll.wait_ms and _is_list_needed(leader, worker)):
        supersede_poll(leader, worker, now_ms)


def supersede_poll(leader, worker, now_ms):
    """Poll a worker beside the poll in progress, whose answer does not count then."""
    if len(worker.superseded_polls) >= MAX_OPEN_POLLS:
        return
    worker.superseded_polls.append((worker.poll, worker.poll_sent_ms))
    poll = orders.Poll(worker.fence, 0, worker.poll.lease_until_ms, 0)
    leader.environment.metrics.count("polls_superseded")
    send_poll(leader, worker, poll, now_ms)


def send_poll(leader, worker, poll, now_ms):
    """Send a poll, and note which orders its answer can tell about."""
    link = leader.links[worker.target_id]
    worker.poll, worker.poll_sent_ms, worker.polled_ms = poll, now_ms, now_ms
    worker.needs_list = False
    worker.slow_orders = [
        each for each in link.slow_orders() if each.fence == worker.fence
    ]
    link.poll(poll)


def poll_gap_ms(leader, worker, now_ms):
    """The gap before the next poll of a worker that has answered one."""
    if not worker.losses.is_losing(now_ms):
        return 0
    gap_ms = 1000 * leader.losing_workers // MAX_SHORT_POLLS_PER_S
    return min(max(gap_ms, SHORT_POLL_GAP_MS), MAX_SHORT_POLL_GAP_MS)


def is_superseded(worker, poll):
    """Whether a poll is among those that were superseded; equal ones may differ."""
    return any(each is poll for each, _sent_ms in worker.superseded_polls)


def sent_ms(worker, poll):
    """When a superseded poll was sent."""
    (sent_ms,) = [sent for each, sent in worker.superseded_polls if each is poll]
    return sent_ms


def on_superseded_answer(worker, poll, result, now_ms):
    """Handle the result of a superseded poll; returns whether it is a failure.

    An answer is ignored, since a later one may have been processed already.
    """
    was_sent_ms = sent_ms(worker, poll)
    worker.superseded_polls = [
        row for row in worker.superseded_polls if row[0] is not poll
    ]
    if result.outcome not in orders.UNANSWERED:
        return False
    if was_sent_ms < worker.answered_poll_ms:
        worker.losses.record(now_ms)
        return False
    return True


def on_list(leader, worker, sent_ms, result):
    """Handle the slow orders after the answer to a poll that was sent after them."""
    worker.answered_poll_ms = max(worker.answered_poll_ms, sent_ms)
    slow_orders, worker.slow_orders = worker.slow_orders, ()
    ended = {(end.task, end.run) for end in result.ended}
    for order in slow_orders:
        leader.links[worker.target_id].overtake(order)
        if (order.task, order.run) not in ended and not result.has_more_ends:
            _repeat(leader, worker, order)


def _is_list_needed(leader, worker):
    if worker.needs_list:
        return True
    known = worker.slow_orders
    slow_orders = leader.links[worker.target_id].slow_orders()
    return any(all(each is not old for old in known) for each in slow_orders)


def _repeat(leader, worker, order):
    """Send a start again, unless a newer copy was sent meanwhile."""
    run = runs.run_of(worker, order.task)
    if run is not None and order is run.order and run.state == workers.ORDERED:
        runs.repeat_start(leader, worker, run)
