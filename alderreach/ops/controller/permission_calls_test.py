"""The thread that queries the permission service."""

import queue
import threading

from alderreach.core.generated import cell
from alderreach.ops.controller import permission_calls

PATIENCE_S = 10


def test_a_query_replaces_those_of_its_leader_that_wait():
    """Guards against queries that nobody waits for any more: while the service hangs,
    the leader gives one after the other up, and later ones wait for all of them.
    """
    begun, answered, released = queue.Queue(), queue.Queue(), threading.Event()

    def ask(step, targets):
        begun.put(step)
        released.wait(PATIENCE_S)
        return []

    calls = permission_calls.PermissionCalls(
        ask, lambda address, answer: answered.put((address, answer.query_id))
    ).start()
    for number in range(1, 5):
        calls.enqueue(cell.PermissionQuery(f"7/{number}", "j1.0.0", ["w1"]), "leader")
        if number == 1:
            begun.get(timeout=PATIENCE_S)
    calls.enqueue(cell.PermissionQuery("1031/1", "j2.0.0", ["w1"]), "other")
    calls.close()
    released.set()
    asked = [answered.get(timeout=PATIENCE_S) for _ in range(3)]
    assert asked == [("leader", "7/1"), ("leader", "7/4"), ("other", "1031/1")]
