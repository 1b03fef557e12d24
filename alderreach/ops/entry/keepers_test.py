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
