"""Queries to a permission service whose open connections go silent."""

import contextlib

import pytest

from alderreach.platform import targets
from tests import entry_fakes
from tools import relay
from tools.standins import permissions

RULE = permissions.Rule(decision_ms=1, per_worker_ms=0, validity_ms=5000)


@pytest.mark.parametrize("directions", [relay.BOTH, [relay.OUT], [relay.IN]])
def test_a_query_does_not_use_a_connection_that_went_silent(directions):
    """Guards against steps that wait for their tickets until a query times out, 3 s
    later, in each process that queried the service before.
    """
    address, relayed = entry_fakes.free_address(), entry_fakes.free_address()
    with contextlib.ExitStack() as stack:
        service = permissions.PermissionService(address, RULE, lambda *_: True)
        stack.callback(service.close)
        network = relay.Relay()
        stack.callback(network.close)
        network.add("service", host_port(relayed), host_port(address))
        ask = targets.permission_asker(relayed)
        for _query in range(2):
            tickets = ask("j1.0.0", ["w1"])
            assert [ticket.target_id for ticket in tickets] == ["w1"]
            network.silence(["service"], directions)


def host_port(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
