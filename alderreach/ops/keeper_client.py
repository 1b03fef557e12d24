"""Requests of a task to the keepers: finds the leader, resends, reports the outcome.

Every command is safe to repeat: writes have an idempotency key, claims their request
id, and grants the epoch they expect. The client therefore resends until the deadline.
A timeout is reported as ``no_quorum`` only if each copy sent was refused before it was
appended to the log, otherwise as ``uncertain``.

The client belongs to one task and owns no socket and no thread. The task passes it the
keepers' replies and calls ``tick``.
"""

import typing
import uuid

from alderreach.core.generated import keeper

RESEND_MS = 400
REFUSAL_PAUSE_MS = 100


class Outcome(typing.NamedTuple):
    """The end of a request: status ok, no_quorum or uncertain; a result if ok."""

    status: str
    result: bytes


class _Pending:
    """A pending request; ``unanswered`` counts its copies without a reply."""

    def __init__(self, command, on_done, deadline_ms):
        self.command = command
        self.on_done = on_done
        self.deadline_ms = deadline_ms
        self.next_send_ms = 0
        self.unanswered = 0
        self.uncertain = False


class KeeperClient:
    """Pending requests of one task, and the keeper assumed to be the leader.

    ``addresses`` maps each keeper's process name to its peer address; ``send`` is
    called with an address and a message.
    """

    def __init__(self, addresses, send):
        self._names = list(addresses)
        self._addresses = dict(addresses)
        self._send = send
        self._leader_index = 0
        self._pending = {}

    def request(self, command, on_done, now_ms, timeout_ms):
        """Send a packed command; ``on_done(Outcome)`` is called once, by the task."""
        request_id = uuid.uuid4().hex
        self._pending[request_id] = _Pending(command, on_done, now_ms + timeout_ms)
        self._transmit(request_id, now_ms)

    def handle(self, reply, now_ms):
        """Handle a KeeperReply: end the request, or resend it."""
        pending = self._pending.get(reply.request_id)
        if pending is None:
            return
        if reply.status == "ok":
            self._end_request(reply.request_id, Outcome("ok", reply.result))
            return
        pending.unanswered -= 1
        pending.uncertain = pending.uncertain or reply.status == "uncertain"
        names_new_leader = (
            reply.leader in self._addresses
            and reply.leader != self._names[self._leader_index]
        )
        self._switch_leader(reply.leader)
        pause_ms = 0 if names_new_leader else REFUSAL_PAUSE_MS
        pending.next_send_ms = now_ms + pause_ms
        if pause_ms == 0:
            self._transmit(reply.request_id, now_ms)

    def tick(self, now_ms):
        """Resend requests that are due, and end those past their deadline."""
        for request_id, pending in list(self._pending.items()):
            if now_ms >= pending.deadline_ms:
                self._end_request(request_id, Outcome(_timeout_status(pending), b""))
            elif now_ms >= pending.next_send_ms:
                if pending.unanswered > 0:
                    self._switch_leader("")
                self._transmit(request_id, now_ms)

    def next_due_ms(self, default_ms):
        """When ``tick`` next has something to do; ``default_ms`` without a request."""
        due = (
            min(pending.deadline_ms, pending.next_send_ms)
            for pending in self._pending.values()
        )
        return min(due, default=default_ms)

    def _transmit(self, request_id, now_ms):
        pending = self._pending[request_id]
        pending.next_send_ms = now_ms + RESEND_MS
        pending.unanswered += 1
        message = keeper.KeeperRequest(request_id, pending.command)
        self._send(self._addresses[self._names[self._leader_index]], message)

    def _switch_leader(self, name):
        if name in self._addresses:
            self._leader_index = self._names.index(name)
        else:
            self._leader_index = (self._leader_index + 1) % len(self._names)

    def _end_request(self, request_id, outcome):
        self._pending.pop(request_id).on_done(outcome)


def _timeout_status(pending):
    all_refused = pending.unanswered <= 0 and not pending.uncertain
    return "no_quorum" if all_refused else "uncertain"
