"""Timeouts of requests from an entry's threads to the keepers."""

import pytest
from result import Err

from alderreach.core import codec
from alderreach.core.generated import keeper
from alderreach.ops import keeper_client
from alderreach.ops.entry import keepers


class Gateway:
    """Returns prepared outcomes and records the timeouts of the requests."""

    def __init__(self, outcomes):
        self.outcomes = list(outcomes)
        self.timeouts_ms = []

    def ask_keepers(self, _command, timeout_ms):
        self.timeouts_ms.append(timeout_ms)
        return self.outcomes.pop(0)

    def request(self, _command, _done, _timeout_ms):
        """Leave a probe without an answer."""


def test_a_caller_in_a_cut_off_domain_is_not_kept_waiting():
    """Each request in a cut-off domain would wait for the full two seconds.

    The first request to the keepers gets no response. The next ones must use the short
    timeout until a keeper has answered; after that the full timeout applies again.
    """
    silent = keeper_client.Outcome("uncertain", b"")
    answered = keeper_client.Outcome("ok", codec.pack(keeper.ReadKey("k")))
    gateway = Gateway([silent, silent, answered, answered])
    bounded_keepers = keepers.Keepers(gateway, 96)
    for _ in range(4):
        bounded_keepers.ask(keeper.ReadKey("k"), 2000)
    assert gateway.timeouts_ms == [2000, 250, 250, 2000]


def test_a_caller_with_a_short_deadline_does_not_shorten_the_time_of_others():
    """Keyed requests got an unknown outcome while the keepers changed their leader.

    A request whose caller waits for 50 ms has asked one keeper only, once. That it got
    no response in this time must not limit the next requests to the short timeout,
    which ends before they are sent to another keeper.
    """
    silent = keeper_client.Outcome("uncertain", b"")
    answered = keeper_client.Outcome("ok", codec.pack(keeper.ReadKey("k")))
    gateway = Gateway([silent, answered, silent, silent, answered])
    bounded_keepers = keepers.Keepers(gateway, 96)
    for timeout_ms in (50, 2000, 2000, 50, 2000):
        bounded_keepers.ask(keeper.ReadKey("k"), timeout_ms)
    assert gateway.timeouts_ms == [50, 2000, 2000, 50, 250]


class _Cell:
    """A gateway in virtual time; ``answer_ms`` says how long each keeper takes."""

    def __init__(self):
        self.now_ms = 0
        self.answer_ms = {}
        self._answers = []
        self._client = keeper_client.KeeperClient(
            {"k1": "k1", "k2": "k2", "k3": "k3"}, self._send
        )

    def _send(self, address, message):
        if address in self.answer_ms:
            result = codec.pack(keeper.ReadKey("k"))
            reply = keeper.KeeperReply(message.request_id, "ok", "", result)
            self._answers.append((self.now_ms + self.answer_ms[address], reply))

    def request(self, command, done, timeout_ms):
        packed = codec.pack(command)
        self._client.request(packed, done, self.now_ms, timeout_ms)

    def ask_keepers(self, command, timeout_ms):
        outcomes = []
        self.request(command, outcomes.append, timeout_ms)
        while not outcomes:
            self.run(10)
        return outcomes[0]

    def run(self, duration_ms):
        for _step in range(duration_ms // 10):
            self.now_ms += 10
            due = [reply for due_ms, reply in self._answers if due_ms <= self.now_ms]
            self._answers = [row for row in self._answers if row[0] > self.now_ms]
            for reply in due:
                self._client.handle(reply, self.now_ms)
            self._client.tick(self.now_ms)


@pytest.mark.parametrize(
    "answer_ms",
    [{"k1": 300, "k2": 300, "k3": 300}, {"k1": 20}, {"k2": 20}, {"k3": 20}],
    ids=str,
)
def test_requests_succeed_again_once_the_keepers_answer(answer_ms):
    """Guards against an entry that answers requests with keys with an unknown outcome
    long after an outage of the keepers: each request ends before a slow keeper answers,
    or before it is sent to another keeper than the one that is down.
    """
    cell = _Cell()
    bounded_keepers = keepers.Keepers(cell, 96)
    bounded_keepers.ask(keeper.ReadKey("k"), 2000)
    cell.answer_ms = answer_ms
    for _request in range(20):
        answer = bounded_keepers.ask(keeper.ReadKey("k"), 2000)
        cell.run(1000)
    assert answer != Err("uncertain")
