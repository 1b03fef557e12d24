"""Which links a process replaces, without sockets and in played time."""

import pynng
import pytest

from alderreach.core.generated import common
from alderreach.utils import clocks, link_health, peer_links

RULES = link_health.Rules(confirm_ms=250, longest_ms=3000)
PEER = "10.0.0.2:7400"
MESSAGE = common.StatusQuery("r1")


class FakeSocket:
    """A connection that keeps what is sent."""

    pipes = ("connected",)

    def __init__(self):
        self.sent = []
        self.is_open = True
        self.is_full = False

    def send(self, message):
        if self.is_full:
            raise pynng.TryAgain("buffer full", 8)
        self.sent.append(message)

    def close(self):
        self.is_open = False


class Process:
    """The links of a process; ``sockets`` has all that it has dialled."""

    def __init__(self, monkeypatch):
        self.time = clocks.FakeClock()
        self.sockets = []
        self.losses = []
        self.contacts = {}
        self.links = peer_links.PeerLinks(
            RULES,
            self.time.clock,
            lambda message: [message],
            self.contacts.get,
            self.losses.append,
        )
        monkeypatch.setattr(peer_links, "dial", lambda address: self._dial())

    def _dial(self):
        self.sockets.append(FakeSocket())
        return self.sockets[-1]

    def run(self, duration_ms, confirms):
        """Let time pass; the peer may confirm each probe at once."""
        for _step in range(duration_ms // link_health.CHECK_INTERVAL_MS):
            self.time.advance(link_health.CHECK_INTERVAL_MS)
            if confirms:
                self.confirm_all()
            self.links.check()

    def confirm_all(self):
        for message in self.sockets[-1].sent:
            if isinstance(message[0], common.LinkProbe):
                now_ms = self.time.clock.monotonic_ms()
                self.links.handle_confirmation(PEER, message[0].probe, now_ms)

    def hear(self, confirms=True):
        """Receive a message from the peer."""
        contact = self.contacts.setdefault(PEER, peer_links.Contact("boot"))
        contact.last_ms = self.time.clock.monotonic_ms()
        contact.confirms = confirms


@pytest.fixture
def process(monkeypatch):
    return Process(monkeypatch)


def test_a_link_without_confirmations_is_given_up_though_its_peer_is_heard(process):
    """Guards against a link to which nothing arrives being kept for its peer's sake."""
    process.links.send(PEER, MESSAGE)
    for _step in range(5):
        process.hear()
        process.run(50, confirms=False)
    assert process.losses == [link_health.Loss(PEER, 250, 50)]
    assert not process.sockets[0].is_open
    process.links.send(PEER, MESSAGE)
    assert [socket.is_open for socket in process.sockets] == [False, True]


def test_a_link_whose_buffer_stays_full_is_given_up(process):
    """Guards against a silent link being kept since no probe can be written to it."""
    process.links.send(PEER, MESSAGE)
    process.run(50, confirms=True)
    process.links.send(PEER, MESSAGE)
    process.sockets[0].is_full = True
    for _message in range(RULES.longest_ms // 50 + 2):
        process.links.send(PEER, MESSAGE)
        process.run(50, confirms=False)
    assert len(process.losses) == 1
    assert not process.sockets[0].is_open


def test_a_link_with_confirmations_is_kept_while_it_is_in_use(process):
    for _message in range(50):
        process.links.send(PEER, MESSAGE)
        process.run(200, confirms=True)
    assert len(process.sockets) == 1
    assert process.losses == []


def test_a_link_that_was_not_used_for_long_is_dialled_again_before_a_message(process):
    """Guards against the first message after a pause being lost on a silent link."""
    process.links.send(PEER, MESSAGE)
    process.run(3200, confirms=True)
    process.links.send(PEER, MESSAGE)
    assert len(process.sockets) == 2
    assert process.losses == []


@pytest.mark.parametrize("idle_ms, dialled", [(50, 1), (150, 2)])
def test_a_peer_that_gave_up_its_link_gets_its_confirmation_on_a_link_that_works(
    process, idle_ms, dialled
):
    """Guards against confirmations that are sent on a silent link again and again."""
    process.links.send(PEER, MESSAGE)
    process.run(100, confirms=True)
    process.run(idle_ms, confirms=False)
    confirmation = common.LinkConfirmation("boot", 3)
    process.links.confirm(PEER, confirmation, may_be_lost=True)
    assert len(process.sockets) == dialled
    assert process.sockets[-1].sent[-1] == [confirmation]


def test_a_link_replaced_for_its_peer_is_no_longer_counted_as_unconfirmed(process):
    """Guards against an alarm for a process that has nothing to send any more."""
    process.links.send(PEER, MESSAGE)
    process.sockets[0].pipes = ()
    process.run(RULES.confirm_ms, confirms=False)
    assert process.links.unconfirmed == 1
    process.links.confirm(PEER, common.LinkConfirmation("boot", 3), may_be_lost=True)
    assert process.links.seconds_to_check() is None
    assert process.links.unconfirmed == 0


def test_only_a_link_after_one_that_was_given_up_says_so(process):
    """Guards against two processes replacing links because the other has done so."""
    for is_confirmed, says_so in ((False, False), (True, True), (True, False)):
        process.links.send(PEER, MESSAGE)
        probe = process.sockets[-1].sent[-1][0]
        assert probe.after_loss == says_so
        process.run(RULES.longest_ms + 200, confirms=is_confirmed)


def test_a_peer_of_an_earlier_version_is_judged_by_its_silence(process):
    """Guards against links being replaced for lack of confirmations during an update,
    beside processes that don't know them.
    """
    for _message in range(10):
        process.hear(confirms=False)
        process.links.send(PEER, MESSAGE)
        process.run(1000, confirms=False)
    assert len(process.sockets) == 1
    process.run(2100, confirms=False)
    process.links.send(PEER, MESSAGE)
    assert len(process.sockets) == 2
