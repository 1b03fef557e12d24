"""Makes open connections of a soak test silent, permanently, while new ones work.

A silence concerns links of one kind, or of several, and a share of them. Messages
between processes have a link for each direction, so that one direction becomes silent
by itself; of calls either requests, answers or both are lost. Nothing heals: for the
cell a silence lasts as long as it takes to replace the connections.
"""

import math
import random
import time
import typing

from tools import relay as relay_module

SHARES = (1 / 3, 0.7, 1.0)
PAUSES_S = (0.1, 0.5, 1.2, 2.5)
MESSAGES = ((relay_module.OUT,),)
CALLS = ((relay_module.OUT,), (relay_module.IN,), relay_module.BOTH)


class Link(typing.NamedTuple):
    """A link of a relay, and the sets of directions that can become silent."""

    relay: relay_module.Relay
    name: typing.Any
    directions: tuple


class Silences:
    """Random silences in a cell; ``on_silence(kind, text)`` is called with each.

    ``call_links`` are relays of calls; the first part of their links' names, up to a
    hyphen, is the kind.
    """

    def __init__(self, running, call_links, seed, on_silence):
        self._running = running
        self._call_links = call_links
        self._on_silence = on_silence
        self._rng = random.Random(f"silences {seed}")

    def play(self, deadline_s):
        """Silence random links now and then until a time on the monotonic clock."""
        while time.monotonic() < deadline_s:
            time.sleep(self._rng.choice(PAUSES_S))
            self.silence()

    def silence(self):
        """Silence a random share of links of random kinds."""
        kinds = self._kinds()
        kind = self._rng.choice(sorted(kinds))
        share = self._rng.choice(SHARES)
        links = self._rng.sample(kinds[kind], math.ceil(share * len(kinds[kind])))
        directions = self._rng.choice([MESSAGES[0], *CALLS])
        for link in links:
            chosen = directions if directions in link.directions else MESSAGES[0]
            link.relay.silence([link.name], chosen)
        names = ", ".join(sorted(str(link.name) for link in links))
        self._on_silence(kind, f"{kind} become silent, {'+'.join(directions)}: {names}")

    def _kinds(self):
        """The links of each kind, and of combinations that fail together."""
        running = self._running
        between = _links(running.controller_links, MESSAGES)
        frontends = _links(running.frontend_links, MESSAGES)
        calls = [link for r in self._call_links for link in _links(r, CALLS)]
        leader = running.leader()
        kinds = {
            "controllers": between,
            "to_leader": [link for link in between if link.name[1] == leader],
            "from_leader": [link for link in between if link.name[0] == leader],
            "to_frontends": [link for link in frontends if _is_to_frontend(link)],
            "from_frontends": [link for link in frontends if not _is_to_frontend(link)],
            "processes": between + frontends,
            "all": between + frontends + calls,
        }
        for link in calls:
            kinds.setdefault(link.name.partition("-")[0], []).append(link)
        return kinds


def _links(relay, directions):
    return [Link(relay, name, directions) for name in relay.names()]


def _is_to_frontend(link):
    return link.name[1].startswith("frontend")
