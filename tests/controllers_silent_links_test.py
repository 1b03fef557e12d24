"""Real controllers whose open connections to each other are silent."""

import contextlib

import pytest
import urllib3

from tools import cell
from tools.soak import linked_cell

CONTROLLERS = ("controller-1", "controller-2", "controller-3")
ANSWER_TIMEOUT_S = 1.5
# One direction between each two controllers, so that none gets an answer to what it
# sends.
RING = list(zip(CONTROLLERS, CONTROLLERS[1:] + CONTROLLERS[:1], strict=True))


class Operator:
    """Changes the configuration and reads it back, at a named controller."""

    def __init__(self, running):
        self._running = running
        self.version = 0

    def change(self, names=CONTROLLERS):
        """Whether one of these controllers acknowledges the next version."""
        config = {"version": self.version + 1, "routes": [], "services": []}
        if all(self._request("PUT", name, config) is None for name in names):
            return False
        self.version += 1
        return True

    def reads(self, name):
        """Whether a controller shows the configuration; never shows an older one."""
        config = self._request("GET", name)
        if config is None:
            return False
        assert config["version"] >= self.version, f"{name} shows an older version"
        return True

    def _request(self, method, name, config=None):
        url = f"http://{self._running.plan(name).control}/-/config"
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            answer = self._running.http.request(
                method, url, json=config, timeout=ANSWER_TIMEOUT_S
            )
            if answer.status == 200:
                return answer.json()
        return None


@pytest.fixture
def running(tmp_path):
    with linked_cell.LinkedCell(tmp_path, len(CONTROLLERS)) as running:
        running.start()
        cell.wait_until(running.has_all_voters, "all controllers vote")
        yield running


@pytest.fixture
def operator(running):
    operator = Operator(running)
    cell.wait_until(operator.change, "a configuration is accepted")
    return operator


def _wait_until_each_reads(operator):
    for name in CONTROLLERS:
        cell.wait_until(
            lambda name=name: operator.reads(name), f"{name} shows the configuration"
        )


def _leader_and_follower(running):
    leader = running.leader()
    return leader, next(name for name in CONTROLLERS if name != leader)


def test_voters_have_a_leader_again_after_each_pair_lost_one_direction(
    running, operator
):
    """Guards against voters that elect no leader any more, as between each two of them
    the messages of one direction no longer arrive.
    """
    running.controller_links.silence(RING)
    cell.wait_until(operator.change, "a configuration is accepted")
    _wait_until_each_reads(operator)


@pytest.mark.parametrize("to_leader", [True, False])
def test_a_follower_shows_the_configuration_after_it_lost_one_direction(
    running, operator, to_leader
):
    """Guards against a controller that answers no read of the configuration, as the
    messages between it and the leader no longer arrive in one direction.
    """
    leader, follower = _leader_and_follower(running)
    link = (follower, leader) if to_leader else (leader, follower)
    running.controller_links.silence([link])
    cell.wait_until(operator.change, "a configuration is accepted")
    _wait_until_each_reads(operator)


def test_a_restarted_follower_is_reached_on_a_link_that_went_silent_before(
    running, operator
):
    """Guards against a leader that keeps a silent connection to a controller over the
    restart of that controller, which then answers no read of the configuration.
    """
    leader, follower = _leader_and_follower(running)
    running.controller_links.silence([(leader, follower)])
    running.kill(follower)
    running.start([follower])
    cell.wait_until(operator.change, "a configuration is accepted")
    _wait_until_each_reads(operator)
