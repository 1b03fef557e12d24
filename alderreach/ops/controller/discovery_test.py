"""Discovery of controllers and of the leader, and loss of contact with them."""

import collections

from alderreach.core.generated import cell
from alderreach.ops.controller import discovery
from alderreach.utils import clocks

CONTROLLERS = ["a:1", "b:1", "c:1", "d:1"]


def make_finder(seeds=("a:1", "b:1", "c:1")):
    time = clocks.FakeClock(monotonic_ms=10_000)
    sent = collections.deque()
    finder = discovery.ControllerFinder(
        "me:1",
        seeds,
        "frontend",
        "d",
        time.clock,
        lambda *message: sent.append(message),
    )
    return finder, time, sent


def receive_reply(finder, time, sender, leader="a:1", epoch=2):
    reply = cell.GreetingReply(leader, epoch, CONTROLLERS)
    finder.handle_reply(reply, sender, time.now_ms)


def pass_time(finder, time, duration_ms, answering, leader="a:1"):
    for _step in range(duration_ms // 100):
        time.advance(100)
        finder.tick(time.now_ms)
        for name in answering:
            receive_reply(finder, time, name, leader)


def test_greetings_go_only_to_the_leader_while_it_answers():
    finder, time, sent = make_finder()
    finder.tick(time.now_ms)
    assert [address for address, _ in sent] == ["a:1", "b:1", "c:1"]
    receive_reply(finder, time, "a:1")
    sent.clear()
    pass_time(finder, time, 900, ["a:1"])
    assert {address for address, _ in sent} == {"a:1"}


def test_replies_of_others_do_not_renew_contact_with_a_leader():
    """Guards against a frontend that stays ready while it is cut off from the leader.

    A failure domain is cut off, and the only controller in it still names the leader
    from before. Callers have to be sent to other frontends.
    """
    finder, time, _sent = make_finder()
    receive_reply(finder, time, "a:1")
    pass_time(finder, time, 2000, ["d:1"])
    assert not finder.has_leader(time.now_ms)
    assert finder.is_isolated(time.now_ms)


def test_a_process_is_not_isolated_during_an_election():
    finder, time, _sent = make_finder()
    receive_reply(finder, time, "a:1")
    pass_time(finder, time, 2000, ["b:1", "c:1", "d:1"])
    assert not finder.has_leader(time.now_ms)
    assert not finder.is_isolated(time.now_ms)
    receive_reply(finder, time, "b:1", leader="b:1", epoch=3)
    assert finder.leadership.address == "b:1"


def test_a_reply_with_an_older_epoch_does_not_change_the_leader():
    finder, time, _sent = make_finder()
    receive_reply(finder, time, "b:1", leader="b:1", epoch=3)
    receive_reply(finder, time, "a:1", leader="a:1", epoch=2)
    assert finder.leadership.address == "b:1"


def test_replaced_seeds_are_tried_together_with_known_controllers():
    """All seeds are replaced after the process has started, then the leader is lost."""
    finder, time, sent = make_finder()
    receive_reply(finder, time, "a:1")
    finder.set_seeds(["x:1"])
    sent.clear()
    pass_time(finder, time, 2000, [])
    assert {address for address, _ in sent} >= {"x:1", *CONTROLLERS}


def test_cell_time_is_the_median_of_the_clocks():
    """Two of five clocks jump ahead by an hour, this process's own among them."""
    peers = discovery.RecentPeers()
    for name, wall_ms in (("b", 50_000), ("c", 50_010), ("d", 49_990)):
        peers.record_greeting(name, cell.Greeting("frontend", wall_ms, "d"), 1000)
    peers.record_greeting("e", cell.Greeting("frontend", 3_650_000, "d"), 1000)
    assert peers.cell_offset_ms(3_650_000, 1000) == 49_010


def test_peers_of_the_same_failure_domain_come_first():
    """Guards against queries over lossy links while a peer in the domain is idle."""
    peers = discovery.RecentPeers()
    for name, role, domain in (
        ("far:1", "frontend", "a"),
        ("near:1", "frontend", "b"),
        ("other:1", "controller", "b"),
        ("near:2", "frontend", "b"),
    ):
        peers.record_greeting(name, cell.Greeting(role, 50_000, domain), 1000)
    peers.record_greeting("silent:1", cell.Greeting("frontend", 50_000, "b"), 0)
    assert peers.recent_addresses(1500, "frontend", "b") == [
        "near:1",
        "near:2",
        "far:1",
    ]
    assert peers.recent_addresses(1500, "controller", "a") == ["other:1"]
