"""Real keepers: what operators and followers see while keepers fail."""

from alderreach.core.generated import keeper
from tests import keeper_support
from tools import cell


def test_a_write_reaches_a_follower_and_a_second_writer_loses(tmp_path):
    with keeper_support.running_keepers(tmp_path) as (_running, client):
        first = client.write("team/a", b"1", base=0, author="ana")
        assert first.status == "accepted"
        second = client.write("team/a", b"2", base=0, author="rui")
        assert second.status == "conflict"
        assert second.conflicts == [keeper.ItemConflict("team/a", first.version, "ana")]
        client.follow("keeper-2")
        cell.wait_until(lambda: "team/a" in client.replica.items, "the item arrives")
