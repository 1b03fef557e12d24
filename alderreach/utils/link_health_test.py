"""When a link is probed and given up; times are played, nothing is sent."""

from alderreach.utils import link_health

RULES = link_health.Rules(confirm_ms=250, longest_ms=3000)
STEP_MS = link_health.CHECK_INTERVAL_MS


def connected_link(now_ms=0, patience_ms=250):
    link = link_health.Link(1, now_ms, patience_ms)
    link_health.connected(link)
    return link


def probed_link(size_bytes=100, patience_ms=250):
    link = connected_link(patience_ms=patience_ms)
    link_health.sent(link, size_bytes, 0)
    link_health.probe_sent(link, 1, 0)
    return link


def overdue_after_ms(link):
    """Wait on a link without a confirmation; returns when it is overdue."""
    now_ms = 0
    while not link_health.is_overdue(link, RULES):
        now_ms += STEP_MS
        link_health.wait(link, now_ms)
    return now_ms


def test_a_link_without_messages_is_not_probed():
    link = connected_link()
    assert not link_health.is_probe_due(link, 100_000)
    assert link_health.is_idle(link)


def test_a_busy_link_has_one_probe_under_way_and_ten_a_second():
    link = connected_link()
    probes = []
    for now_ms in range(0, 1000, 5):
        link_health.sent(link, 100, now_ms)
        if link_health.is_probe_due(link, now_ms):
            probes.append(now_ms)
            link_health.probe_sent(link, len(probes), now_ms)
            assert not link_health.is_probe_due(link, now_ms)
            link_health.confirm(link, len(probes), now_ms + 1, RULES)
    assert probes == list(range(0, 1000, link_health.PROBE_INTERVAL_MS))


def test_a_message_after_the_probe_is_unconfirmed_until_the_next_one():
    link = probed_link()
    link_health.sent(link, 100, 10)
    assert link_health.confirm(link, 1, 20, RULES)
    assert not link_health.is_idle(link)
    assert link.oldest_ms == 10
    link_health.probe_sent(link, 2, 100)
    assert link_health.confirm(link, 2, 110, RULES)
    assert link_health.is_idle(link)


def test_the_confirmation_of_an_earlier_probe_does_not_count():
    link = probed_link()
    assert not link_health.confirm(link, 0, 10, RULES)
    assert overdue_after_ms(link) == 250


def test_patience_grows_with_each_loss_up_to_the_longest_and_a_confirmation_resets_it():
    """Guards against a flood of connections to a process that is suspended."""
    patience_ms, waited_ms = RULES.confirm_ms, []
    for _loss in range(6):
        link = probed_link(patience_ms=patience_ms)
        waited_ms.append(overdue_after_ms(link))
        patience_ms = link_health.next_patience_ms(link, RULES)
    assert waited_ms == [250, 500, 1000, 2000, 3000, 3000]
    link_health.confirm(link, 1, 20, RULES)
    assert link.patience_ms == RULES.confirm_ms


def test_a_slow_peer_is_given_twice_the_time_that_it_took():
    """Guards against links to an overloaded process being replaced again and again."""
    link = probed_link(patience_ms=1000)
    link_health.confirm(link, 1, 400, RULES)
    link_health.sent(link, 100, 400)
    link_health.probe_sent(link, 2, 400)
    assert link.patience_ms == 800


def test_a_large_message_has_time_to_be_transferred():
    """Guards against a snapshot that is cut off on a slow network each time."""
    size_bytes = 500 * link_health.SLOWEST_BYTES_PER_MS
    assert overdue_after_ms(probed_link(size_bytes)) == 750


def test_a_large_message_behind_a_probe_has_time_to_be_transferred():
    """Guards against a snapshot on a busy link that is cut off each time."""
    link = probed_link()
    link_health.sent(link, 500 * link_health.SLOWEST_BYTES_PER_MS, 0)
    link_health.confirm(link, 1, 0, RULES)
    link_health.probe_sent(link, 2, 0)
    assert overdue_after_ms(link) == 750


def test_a_process_that_was_suspended_does_not_give_up_its_links():
    link = probed_link()
    link_health.wait(link, 10_000)
    assert not link_health.is_overdue(link, RULES)


def test_messages_wait_for_a_peer_that_is_not_listening_yet():
    link = link_health.Link(1, 0, RULES.confirm_ms)
    link_health.sent(link, 100, 0)
    link_health.probe_sent(link, 1, 0)
    assert overdue_after_ms(link) == RULES.longest_ms
    link_health.connected(link)
    assert not link_health.is_overdue(link, RULES)
