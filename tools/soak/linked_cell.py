"""A seeded cell whose processes can be cut off from each other, on faulty machines.

>>> with LinkedCell(folder, 4, 2) as running:  # doctest: +SKIP
...     running.start()
...     running.controller_links.cut(running.links_of("controller-1"))
"""

import itertools
import json
import sys

import urllib3
from prometheus_client import parser

from tools import relay, seeded_cell
from tools.soak import faulty_controller

FIRST_PORT = 7500
METRICS_TIMEOUT_S = 1.0


class LinkedCell(seeded_cell.SeededCell):
    """Messages between processes go through relays.

    ``controller_links`` are those between controllers, ``frontend_links`` those between
    frontends and controllers. Each link has the names of the sender and the receiver.
    """

    def __init__(self, folder, controllers=3, frontends=1):
        super().__init__(folder, controllers, frontends)
        self.controller_links = relay.Relay()
        self._stack.callback(self.controller_links.close)
        self.frontend_links = relay.Relay()
        self._stack.callback(self.frontend_links.close)
        ports = itertools.count(FIRST_PORT)
        for sender in self.plans:
            dials = {}
            for receiver in self.plans:
                links = self._links_between(sender, receiver)
                if links is None:
                    continue
                listen = (sender.host, next(ports))
                host, _, port = receiver.peers.rpartition(":")
                links.add((sender.name, receiver.name), listen, (host, int(port)))
                dials[receiver.peers] = f"{listen[0]}:{listen[1]}"
            self._dials_file(sender).write_text(json.dumps(dials))

    def start(self, names=None):
        """Start all processes, or the named ones."""
        for plan in self.plans:
            if names is None or plan.name in names:
                module = "tools.soak.linked_frontend"
                files = [self._dials_file(plan), plan.settings]
                if plan.role == "controller":
                    module = "tools.soak.faulty_controller"
                    files.insert(1, self._host_file(plan))
                self.run(plan.name, [sys.executable, "-m", module, *map(str, files)])

    def set_host(self, plan, **faults):
        """Set the faults of a controller's machine, the fields of a ``Host``."""
        host = faulty_controller.Host(**faults)
        faulty_controller.write_host(self._host_file(plan), host)

    def links_of(self, name):
        """The links from a controller to others, and from them to it."""
        return [link for link in self.controller_links.names() if name in link]

    def leader(self):
        """The name of the controller that was elected last, or None.

        It may have lost its leadership since. The processes share one monotonic clock.
        """
        elections = [
            (event["mono_ms"], plan.name)
            for plan in self.of_role("controller")
            for event in _elections(self.log(plan.name))
        ]
        return max(elections, default=(0, None))[1]

    def has_all_voters(self):
        """Whether each voter of the cell has the disk that it was made a voter with.

        A controller that lost its disk is a voter again under a new identity only, so
        as many controllers as there are voters have to report a vote, in the newest
        term and with all that was committed when the first one was asked.
        """
        newest = max(_progress(gauges) for gauges in self._keeper_gauges())
        voters = [
            gauges["voters"]
            for gauges in self._keeper_gauges()
            if gauges.get("is_voter") and _progress(gauges) >= newest
        ]
        return bool(voters) and set(voters) == {len(voters)}

    def _links_between(self, sender, receiver):
        """The relay of messages between two processes; None if they send none."""
        roles = {sender.role, receiver.role}
        if sender.name == receiver.name or roles == {"frontend"}:
            return None
        return self.controller_links if len(roles) == 1 else self.frontend_links

    def _keeper_gauges(self):
        """The gauges of each controller's replica; empty without an answer."""
        return [_keeper_gauges(self.http, plan) for plan in self.of_role("controller")]

    def _host_file(self, plan):
        return self.folder / f"{plan.name}.host.json"

    def _dials_file(self, plan):
        return self.folder / f"{plan.name}.dials.json"


def _elections(log):
    """The elections in a log, whose last line may be incomplete after a kill."""
    lines = [line for line in log.splitlines() if '"leadership_gained"' in line]
    complete = [line for line in lines if line.endswith("}")]
    return [json.loads(line[line.index("{") :]) for line in complete]


def _keeper_gauges(http, plan):
    url = f"http://{plan.platform}/metrics"
    try:
        text = http.request("GET", url, timeout=METRICS_TIMEOUT_S).data.decode()
    except urllib3.exceptions.HTTPError:
        return {}
    families = parser.text_string_to_metric_families(text)
    samples = [sample for family in families for sample in family.samples]
    prefix = "alderreach_keeper_"
    return {s.name.removeprefix(prefix): s.value for s in samples if prefix in s.name}


def _progress(gauges):
    return gauges.get("term", 0), gauges.get("commit_index", 0)
