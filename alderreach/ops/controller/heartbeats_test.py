"""Heartbeats without news are acknowledged without the leader; all others are not."""

import pytest

from alderreach.core.generated import cell, common
from alderreach.ops import leader_calls
from alderreach.ops.controller import heartbeats, requests, worker_lifecycle
from alderreach.utils import clocks
from tools import virtual_cell, virtual_parts

RECORD = cell.TargetRecord(
    "w1", 7, "pool", "10.0.0.9:80", "d", common.Resources(4000, 64, 0), [], "ready", "m"
)
DEADLINE_MS = 900
NOT_EXECUTED = leader_calls.Outcome(None, False)


class Relay:
    """A relay on a fake clock, whose log has one worker."""

    def __init__(self):
        self.clock = clocks.FakeClock()
        self.log = {RECORD.target_id: RECORD}
        self.forwarded = []
        self.batches = []
        self.has_leader = True
        self.term = 1
        self.leader_answer = requests.ACCEPTED
        self.relay = heartbeats.HeartbeatRelay(
            self.clock.clock,
            self.log.get,
            lambda: self.has_leader,
            self._forward,
            self.batches.append,
        )

    def announce(self, record, sequence, clock_ms=0):
        request = cell.AnnounceTarget(record, sequence, clock_ms)
        return self.relay.announce(request, DEADLINE_MS)

    def advance(self, duration_ms, is_answered=True):
        """Advance in steps of a batch; the leader may answer each of them."""
        for _batch in range(duration_ms // heartbeats.BATCH_INTERVAL_MS):
            self.clock.advance(heartbeats.BATCH_INTERVAL_MS)
            count = len(self.batches)
            self.relay.tick(self.clock.now_ms, self.term)
            for batch in self.batches[count:]:
                if is_answered:
                    reply = cell.HeartbeatBatchReply(batch.number)
                    self.relay.handle_reply(reply)

    def _forward(self, request, _deadline_ms):
        self.forwarded.append(request)
        return leader_calls.Outcome(requests.answer(self.leader_answer), True)


def test_a_heartbeat_that_repeats_the_log_goes_to_the_leader_in_a_batch():
    relay = Relay()
    for sequence in (2, 3, 1):
        outcome = relay.announce(RECORD, sequence, 100 * sequence)
        assert outcome.answer.kind == requests.ACCEPTED
    relay.advance(heartbeats.BATCH_INTERVAL_MS)
    assert not relay.forwarded
    age_ms = heartbeats.BATCH_INTERVAL_MS
    assert relay.batches[-1].heartbeats == [cell.Heartbeat("w1", 7, 3, 300, age_ms)]


@pytest.mark.parametrize(
    "change",
    [
        {"state": "draining"},
        {"born_ms": 8},
        {"address": "10.0.0.8:80"},
        {"capacity": common.Resources(8000, 64, 0)},
        {"target_id": "w2"},
    ],
)
def test_a_heartbeat_with_news_is_passed_on(change):
    """Guards against a worker that drains, is told so, and still gets new runs."""
    relay = Relay()
    relay.announce(RECORD._replace(**change), 2)
    assert relay.forwarded.pop().record == RECORD._replace(**change)


def test_without_replies_from_the_leader_heartbeats_are_refused_at_once():
    """Guards against workers that stay with a controller that is cut off, and against
    thousands of heartbeats that are passed on while there is no leader.
    """
    relay = Relay()
    relay.announce(RECORD, 1)
    relay.advance(heartbeats.CONFIRMED_FOR_MS + 500, is_answered=False)
    assert relay.announce(RECORD, 2) == NOT_EXECUTED
    assert not relay.forwarded
    relay.advance(heartbeats.BATCH_INTERVAL_MS)
    assert relay.announce(RECORD, 3).answer.kind == requests.ACCEPTED


def test_news_are_refused_at_once_while_no_leader_is_known():
    """Guards against elections that fail under heartbeats. All controllers restart, and
    none knows what the log has before there is a leader. Each heartbeat of thousands of
    workers looked like news and was sent to one controller after the other.
    """
    relay = Relay()
    relay.has_leader = False
    assert relay.announce(RECORD._replace(born_ms=8), 1) == NOT_EXECUTED
    assert not relay.forwarded


def test_a_controller_that_no_worker_uses_sends_no_batches_and_is_not_stale():
    relay = Relay()
    relay.announce(RECORD, 1)
    relay.advance(heartbeats.IDLE_AFTER_MS + 3000)
    count = len(relay.batches)
    relay.advance(heartbeats.IDLE_AFTER_MS)
    assert len(relay.batches) == count
    assert relay.announce(RECORD, 2).answer.kind == requests.ACCEPTED


def test_the_leader_takes_the_signs_of_life_of_a_batch():
    """Guards against workers that count as silent since a controller answers for the
    leader, and against late heartbeats that hide a drain.
    """
    records = [virtual_parts.worker(number, 1_000) for number in range(2)]
    virtual = virtual_cell.VirtualCell([virtual_parts.queue("q")], records)
    virtual.run_until(500)
    leader = virtual.term.leader
    worker = leader.workers["w0"]
    worker.sequence, worker.is_leaving = 5, True
    born_ms, heard_ms = worker.record.born_ms, worker.announced_ms
    rows = [
        cell.Heartbeat("w0", born_ms, 6, 100, 40),
        cell.Heartbeat("w1", leader.workers["w1"].record.born_ms + 1, 9, 100, 40),
        cell.Heartbeat("gone", 1, 1, 100, 40),
    ]
    reply = worker_lifecycle.apply_heartbeats(leader, cell.HeartbeatBatch(3, rows))
    assert reply == cell.HeartbeatBatchReply(3)
    assert leader.workers["w1"].sequence == -1
    assert (worker.sequence, worker.is_leaving) == (6, False)
    assert heard_ms < worker.announced_ms == leader.now_ms() - 40
    late = cell.HeartbeatBatch(4, [rows[0]._replace(sequence=4, age_ms=0)])
    worker_lifecycle.apply_heartbeats(leader, late)
    assert worker.announced_ms == leader.now_ms() - 40


def test_heartbeats_are_acknowledged_while_replies_take_longer_than_an_interval():
    """Guards against a controller that refuses all heartbeats, although the leader
    answers each batch, since the next batch has always left before the reply arrives.
    """
    relay = Relay()
    relay.announce(RECORD, 1)
    for sequence in range(2, 20):
        relay.advance(heartbeats.BATCH_INTERVAL_MS, is_answered=False)
        for batch in relay.batches[-2:-1]:
            relay.relay.handle_reply(cell.HeartbeatBatchReply(batch.number))
        outcome = relay.announce(RECORD, sequence)
        assert outcome.answer is not None, sequence


def test_a_new_leader_gets_the_latest_heartbeats_until_it_answers():
    """Guards against workers that a new leader can't use until their next heartbeat,
    since it has no valid capacity of them.
    """
    relay = Relay()
    relay.announce(RECORD, 5, 400)
    relay.advance(600)
    relay.term = 2
    relay.advance(600, is_answered=False)
    relay.advance(300)
    relay.advance(300)
    rows = [batch.heartbeats for batch in relay.batches]
    row = cell.Heartbeat("w1", 7, 5, 400, 0)
    ages_ms = [[each.age_ms for each in batch] for batch in rows]
    assert ages_ms == [[300], [], [900], [1200], [1500], []]
    assert rows[3] == [row._replace(age_ms=1200)]


def test_heartbeats_that_report_no_valid_capacity_are_not_kept_for_a_new_leader():
    """Guards against a record of each worker that ever was."""
    relay = Relay()
    relay.announce(RECORD, 5)
    relay.advance(heartbeats.MAX_AGE_MS)
    relay.term = 2
    relay.advance(300)
    assert relay.batches[-1].heartbeats == []


def test_a_worker_that_changes_back_while_the_log_lags_is_passed_on():
    """Guards against starts by the larger of two capacities: a worker grew and shrank
    again, and the second change seemed to repeat a copy of the log that lagged behind.
    """
    relay = Relay()
    grown = RECORD._replace(capacity=common.Resources(8000, 64, 0))
    for sequence, record in enumerate([RECORD, grown, RECORD, RECORD]):
        relay.announce(record, sequence)
    assert [each.record for each in relay.forwarded] == [grown, RECORD, RECORD]
    relay.advance(heartbeats.COPY_LAG_MS + heartbeats.BATCH_INTERVAL_MS)
    relay.announce(RECORD, 5)
    assert len(relay.forwarded) == 3


def test_reports_that_the_leader_refuses_do_not_have_a_workers_own_passed_on():
    """Guards against a leader that gets each heartbeat of thousands of workers, since
    another writer reports a service that is not named.
    """
    relay = Relay()
    relay.leader_answer = requests.INVALID
    for sequence in range(5):
        relay.announce(RECORD._replace(service="not-named"), sequence)
        relay.announce(RECORD, sequence)
    assert [each.record.service for each in relay.forwarded] == ["not-named"] * 5


def test_a_far_higher_number_of_another_writer_does_not_hide_a_workers_heartbeats():
    """Guards against a worker that counts as silent while it sends heartbeats."""
    relay = Relay()
    relay.announce(RECORD, 2**60, 100)
    relay.announce(RECORD, 5, 400)
    relay.advance(heartbeats.BATCH_INTERVAL_MS)
    row = cell.Heartbeat("w1", 7, 5, 400, heartbeats.BATCH_INTERVAL_MS)
    assert relay.batches[-1].heartbeats == [row]
