"""Workers' heartbeats that a controller acknowledges for the leader.

With thousands of workers, the leader can't answer each heartbeat itself. Nearly all of
them repeat what the log has, and the leader only needs to know that their workers are
alive. Every controller has a copy of the log's state, so each acknowledges such
heartbeats and passes them on in batches. A heartbeat with news (a new worker, another
state, address or capacity) goes to the leader at once and is acknowledged once the news
is committed.

A new leader knows no worker's capacity before a heartbeat reports it. Until it answers
a batch, each has the latest heartbeats of the time before its election and their ages.

A controller that has had no reply to its batches for ``CONFIRMED_FOR_MS`` refuses
heartbeats without news, so that their workers turn to another controller. While it
knows no leader it refuses all that it can't acknowledge: passed on, thousands of them
would delay the election. A controller that has just restarted does not know what the
log has until there is a leader, so all heartbeats look like news to it.
"""

import threading

from alderreach.core.generated import cell
from alderreach.ops import leader_calls
from alderreach.ops.controller import requests

# Short beside the time after which a silent worker gets no new runs.
BATCH_INTERVAL_MS = 300
# An election takes a second, and a partition lasts longer.
CONFIRMED_FOR_MS = 2500
# Interval of the batches to a new leader until it answers one, which it does not before
# it has applied all that earlier leaders committed.
HANDOVER_INTERVAL_MS = 100
# A reply to an earlier batch confirms nothing any more.
MAX_OPEN_BATCHES = CONFIRMED_FOR_MS // HANDOVER_INTERVAL_MS + 1
# The copy of the log is at most this old: without replies from the leader, heartbeats
# are refused sooner.
COPY_LAG_MS = 2 * CONFIRMED_FOR_MS
# A new leader has no use for heartbeats older than this: they report no valid capacity.
MAX_AGE_MS = 6000
# Batches end when no worker has used this controller for this time.
IDLE_AFTER_MS = 15_000
REFUSED = leader_calls.Outcome(None, False)


class HeartbeatRelay:
    """The heartbeats at one controller; ``announce`` may be called on any thread.

    ``committed_record(target_id)`` returns the worker's ``cell.TargetRecord`` in the
    log, or None, and ``has_leader()`` whether a leader is known.
    ``forward(request, deadline_ms)`` passes a ``cell.AnnounceTarget`` on and returns a
    ``leader_calls.Outcome``. ``send_batch(batch)`` sends a ``cell.HeartbeatBatch`` to
    the leader, if one is known.
    """

    def __init__(self, clock, committed_record, has_leader, forward, send_batch):
        self._clock = clock
        self._committed_record = committed_record
        self._has_leader = has_leader
        self._forward = forward
        self._send_batch = send_batch
        self._lock = threading.Lock()
        # The latest heartbeat of each worker and its arrival, and the ids of those for
        # the next batch.
        self._latest = {}
        self._pending = set()
        # When a worker last had news, by its id.
        self._changed_ms = {}
        # The leadership, and the number of the first batch to it while it has answered
        # none, else None.
        self._term = None
        self._first_number = None
        self._number = 0
        # The times of the batches without a reply, by number.
        self._sent_ms_by_number = {}
        self._sent_ms = self._heard_ms = self._confirmed_ms = clock.monotonic_ms()

    def announce(self, request, deadline_ms):
        """Acknowledge a heartbeat, refuse it, or pass it on; returns the Outcome."""
        now_ms = self._clock.monotonic_ms()
        if self._may_have_news(request.record, now_ms):
            if not self._has_leader():
                return REFUSED
            return self._pass_on(request, deadline_ms, now_ms)
        with self._lock:
            self._heard_ms = now_ms
            if now_ms - self._confirmed_ms >= CONFIRMED_FOR_MS:
                return REFUSED
            self._add(request, now_ms)
        return leader_calls.Outcome(requests.answer(requests.ACCEPTED), True)

    def tick(self, now_ms, term):
        """Send the next batch if it is due.

        ``term`` tells one leadership from another; it is None while none is known.
        """
        with self._lock:
            if term is not None and term != self._term:
                self._term, self._first_number = term, self._number + 1
            is_handover = self._first_number is not None
            interval_ms = HANDOVER_INTERVAL_MS if is_handover else BATCH_INTERVAL_MS
            if now_ms - self._sent_ms < interval_ms:
                return
            if now_ms - self._heard_ms >= IDLE_AFTER_MS:
                self._confirmed_ms = now_ms
                return
            self._drop_outdated(now_ms)
            wanted = self._latest if is_handover else self._pending
            pending = [self._latest[each] for each in wanted if each in self._latest]
            self._pending = set()
            self._sent_ms = now_ms
            self._number += 1
            self._sent_ms_by_number[self._number] = now_ms
            self._sent_ms_by_number.pop(self._number - MAX_OPEN_BATCHES, None)
        rows = [row._replace(age_ms=now_ms - arrived_ms) for row, arrived_ms in pending]
        self._send_batch(cell.HeartbeatBatch(self._number, rows))

    def handle_reply(self, reply):
        """Handle the leader's reply to a batch, which confirms the time of sending."""
        with self._lock:
            sent_ms = self._sent_ms_by_number.pop(reply.number, 0)
            self._confirmed_ms = max(self._confirmed_ms, sent_ms)
            if self._first_number is not None and reply.number >= self._first_number:
                self._first_number = None

    def _may_have_news(self, record, now_ms):
        """Whether the leader may know another record of a worker than this one.

        The copy of the log may lag behind. A worker that changes and changes back would
        then seem to repeat what the log has.
        """
        if self._committed_record(record.target_id) != record:
            return True
        with self._lock:
            changed_ms = self._changed_ms.get(record.target_id)
        return changed_ms is not None and now_ms - changed_ms < COPY_LAG_MS

    def _pass_on(self, request, deadline_ms, now_ms):
        """Pass a heartbeat on to the leader."""
        record, target_id = request.record, request.record.target_id
        if self._committed_record(target_id) == record:
            return self._forward(request, deadline_ms)
        with self._lock:
            changed_ms = self._changed_ms.get(target_id)
            self._changed_ms[target_id] = now_ms
        outcome = self._forward(request, deadline_ms)
        if outcome.answer is not None and outcome.answer.kind == requests.INVALID:
            self._forget_change(target_id, now_ms, changed_ms)
        return outcome

    def _forget_change(self, target_id, refused_ms, earlier_ms):
        """Forget a change that the leader has refused, unless there is a later one."""
        with self._lock:
            if self._changed_ms.get(target_id) != refused_ms:
                return
            if earlier_ms is None:
                del self._changed_ms[target_id]
            else:
                self._changed_ms[target_id] = earlier_ms

    def _drop_outdated(self, now_ms):
        """Drop what no batch and no heartbeat needs any more."""
        self._latest = {
            target_id: (row, arrived_ms)
            for target_id, (row, arrived_ms) in self._latest.items()
            if now_ms - arrived_ms < MAX_AGE_MS
        }
        self._changed_ms = {
            target_id: changed_ms
            for target_id, changed_ms in self._changed_ms.items()
            if now_ms - changed_ms < COPY_LAG_MS
        }

    def _add(self, request, now_ms):
        record = request.record
        latest, _arrived_ms = self._latest.get(record.target_id, (None, 0))
        if (
            latest is None
            or latest.born_ms != record.born_ms
            or latest.sequence < request.sequence
            or latest.clock_ms < request.clock_ms
        ):
            row = cell.Heartbeat(
                record.target_id, record.born_ms, request.sequence, request.clock_ms, 0
            )
            self._latest[record.target_id] = (row, now_ms)
            self._pending.add(record.target_id)
