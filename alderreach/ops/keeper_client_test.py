"""The keepers' client finds the leader and reports precisely how a request ended."""

from alderreach.core.generated import keeper
from alderreach.ops import keeper_client


def make_client():
    sent, outcomes = [], []
    client = keeper_client.KeeperClient(
        {"k1": "a1", "k2": "a2"},
        lambda address, message: sent.append((address, message)),
    )
    client.request(b"command", outcomes.append, now_ms=0, timeout_ms=1000)
    return client, sent, outcomes


def reply(sent, status, leader=""):
    return keeper.KeeperReply(sent[-1][1].request_id, status, leader, b"result")


def test_follows_a_leader_hint_at_once():
    client, sent, outcomes = make_client()
    client.handle(reply(sent, "not_leader", "k2"), 1)
    assert [address for address, _ in sent] == ["a1", "a2"]
    client.handle(reply(sent, "ok"), 2)
    assert outcomes == [keeper_client.Outcome("ok", b"result")]


def test_all_copies_refused_is_no_quorum():
    client, sent, outcomes = make_client()
    client.handle(reply(sent, "no_quorum"), 950)
    client.tick(1000)
    assert outcomes[0].status == "no_quorum"


def test_an_unanswered_copy_is_uncertain():
    client, sent, outcomes = make_client()
    client.tick(400)
    client.handle(reply(sent, "no_quorum"), 950)
    client.tick(1000)
    assert outcomes[0].status == "uncertain"
