"""The age of a capacity report, and what makes a worker unusable."""

from alderreach.core import cell_state
from alderreach.decisions.cell import capacity_reports, workers
from tools import virtual_parts

VALID_MS = capacity_reports.validity_ms(1500, 3000)
# The worker's clock less the leader's.
OFFSET_MS = -5000


def make_worker():
    """A worker whose clock is known and that has sent no heartbeat yet."""
    worker = workers.Worker(
        virtual_parts.worker(1, 4000), 0, 0, capacity_valid_ms=VALID_MS
    )
    worker.has_seen_epoch = True
    return worker


def test_a_worker_is_usable_while_a_start_can_rely_on_its_report():
    """Guards against starts by a capacity that no heartbeat has reported lately."""
    worker = make_worker()
    assert not worker.is_usable(0)
    worker.record_heartbeat(clock_ms=-1, received_ms=0)
    last_ms = VALID_MS - capacity_reports.START_MS
    worker.last_contact_ms = last_ms
    assert worker.is_usable(last_ms)
    assert not worker.is_usable(last_ms + 1)


def test_a_delayed_heartbeat_counts_from_when_it_was_sent():
    """Guards against the capacity of a heartbeat that a partition held up."""
    worker = make_worker()
    worker.last_contact_ms = 10_000
    worker.update_clock_offset(10_000 + OFFSET_MS, 10_000)
    worker.record_heartbeat(clock_ms=6_000 + OFFSET_MS, received_ms=10_000)
    assert worker.capacity_valid_until_ms() == 6_000 + VALID_MS
    assert not worker.is_usable(10_000)


def test_a_clock_that_is_read_later_ages_an_earlier_report():
    """Guards against a delayed heartbeat that is the first thing known of a clock."""
    worker = make_worker()
    worker.record_heartbeat(clock_ms=6_000 + OFFSET_MS, received_ms=10_000)
    assert worker.capacity_valid_until_ms() == 10_000 + VALID_MS
    worker.update_clock_offset(10_100 + OFFSET_MS, 10_100)
    assert worker.capacity_valid_until_ms() == 6_000 + VALID_MS


def test_the_report_of_one_incarnation_says_nothing_about_the_next():
    """Guards against starts by the capacity that a worker had before a restart."""
    worker = make_worker()
    worker.record_heartbeat(clock_ms=-1, received_ms=0)
    assert worker.is_usable(0)
    worker.begin_incarnation(fence=1)
    worker.has_seen_epoch = True
    assert not worker.is_usable(0)


def test_unanswered_starts_give_way_to_runs_that_are_there_when_a_worker_shrinks():
    """Guards against a start that is repeated on a worker that has no room for it."""
    worker = make_worker()
    step = virtual_parts.step(1, 1000)
    runs = {}
    for number in range(4):
        key = cell_state.TaskKey("j", 0, 0, number)
        runs[number] = workers.Run(key, 1, step, 0)
        worker.add(runs[number])
    runs[0].state = workers.RUNNING
    runs[2].state = workers.CLOSING
    assert worker.starts_beyond_capacity() == []
    shrunk = worker.record.capacity._replace(cpu_millis=3000)
    worker.record = worker.record._replace(capacity=shrunk)
    assert worker.starts_beyond_capacity() == [runs[3]]
    worker.record = worker.record._replace(capacity=shrunk._replace(cpu_millis=1000))
    assert worker.starts_beyond_capacity() == [runs[1], runs[3]]
