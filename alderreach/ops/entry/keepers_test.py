"""Timeouts of requests from an entry's threads to the keepers."""

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
