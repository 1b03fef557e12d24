"""A full cell under load for failure tests, and checks of its history.

Callers send through every entry that answers, as a balancer would, and record the
answers. Stand-in targets record what they ran. ``check_history`` compares the two.
"""

import contextlib
import json
import re
import threading
import typing
import uuid

import urllib3

from alderreach.core.generated import errors
from tools import cell as cells
from tools import probe, relay
from tools.standins import history, targets

RUNNERS = 6
CAPACITY = {"cpu_millis": 8_000, "memory_mb": 8_192, "accelerators": 0}
RELAY_PORT = 10_000
CALL_TIMEOUT_S = 20
DOMAINS = ("urubici", "bom-jardim", "cambara")
# Longer than a claim's time limit and an election.
EVENTS_BEFORE_MS = 5000
LIFECYCLE = ("drain_started", "process_stopped", "process_started")
UNKNOWN = {
    kind.value for kind, answer in errors.ANSWERS.items() if answer.outcome == "unknown"
}
LONGEST_SYNC = r'^alderreach_log_sync_ms{percentile="100.0"} (\S+)'


class CallRecord(typing.NamedTuple):
    """A request as its caller saw it: key (or the body's id), outcomes and echo."""

    key: str
    keyed: bool
    outcomes: tuple
    echo: str


class Links:
    """A relay for each directed link between processes, so that links can be cut."""

    def __init__(self, stack):
        self._relay = relay.Relay()
        stack.callback(self._relay.close)
        self._names = {}

    def address_of(self, plan, peer):
        """Return the relay's address for messages from ``plan`` to ``peer``."""
        host = f"127.{plan.host.split('.')[1]}.200.1"
        name = (plan.name, peer.name)
        if name not in self._names:
            listen = (host, RELAY_PORT + len(self._names))
            self._names[name] = listen
            target_host, _, port = peer.peers.rpartition(":")
            self._relay.add(name, listen, (target_host, int(port)))
        return f"{host}:{self._names[name][1]}"

    def cut(self, inside, directions=("out", "in")):
        """Cut the links between the processes ``inside`` and all others."""
        self._relay.cut(self._between(inside, directions))

    def heal(self):
        self._relay.heal(list(self._names))

    def _between(self, inside, directions):
        for sender, receiver in self._names:
            out = sender in inside and receiver not in inside
            into = receiver in inside and sender not in inside
            if (out and "out" in directions) or (into and "in" in directions):
                yield (sender, receiver)


class Deployment:
    """A running cell with targets in each domain and the probe team's questionnaire."""

    def __init__(self, folder, stack, with_links=False, voters=3, domains=DOMAINS):
        self.links = Links(stack) if with_links else None
        options = {"address_of": self.links.address_of} if with_links else {}
        overrides = {"timing": {"peer_silence_ms": 1000}}
        self.cell = stack.enter_context(
            cells.Cell(folder, overrides, domains, vms=2, voters=voters, **options)
        )
        self.http = urllib3.PoolManager(
            retries=False, timeout=CALL_TIMEOUT_S, maxsize=16
        )
        self.cell.start()
        self.cell.wait_ready()
        self.histories = [self.start_targets(domain) for domain in domains]
        self._apply()
        for plan in self.cell.of_role("entry"):
            cells.wait_until(
                lambda plan=plan: self._routes(plan), f"{plan.name} routes"
            )

    def wait_for_all_runners(self):
        """Wait until each entry knows all runners of the service.

        If a domain is lost before that, it may contain the only runners, and requests
        are correctly refused.
        """
        cells.wait_until(self._knows_all_runners, "entries know all runners")

    def _knows_all_runners(self):
        rows = self.client("status")["processes"]
        known = [row["detail"]["runners"] for row in rows if row["role"] == "entry"]
        return set(known) == {RUNNERS}

    def start_targets(self, domain):
        """Start or restart a domain's stand-ins; returns the path of their history."""
        specs = targets.make_specs(
            self.cell, domain, 3, 0, capacity=CAPACITY, work_ms=5, run_ms=300
        )
        return targets.start(self.cell, f"targets-{domain}", specs)

    def _apply(self):
        (self.cell.folder / "questionnaire.toml").write_text(
            probe.questionnaire(RUNNERS)
        )
        (self.cell.folder / "operator.token").write_text(cells.TOKEN)
        self.client("questionnaire", "apply", "questionnaire.toml", "--yes")

    def client(self, *words):
        """Run the operators' command line; returns its JSON document."""
        from tools import demo

        words = [str(self.cell.folder / w) if w.endswith(".toml") else w for w in words]
        return json.loads(demo.client(self.cell, *words, "--json"))

    def _routes(self, plan):
        return self.call(plan, b"{}").status == 200

    def call(self, plan, body, key="", deadline_ms=5000):
        """Send one request through an entry; returns the response."""
        headers = {
            "Alderreach-Team": probe.TEAM,
            "Alderreach-Deadline-Ms": str(deadline_ms),
        }
        if key:
            headers |= {"Alderreach-Non-Idempotent": "true", "Idempotency-Key": key}
        url = f"http://{plan.callers}/v1/services/{probe.SERVICE}/requests"
        return self.http.request("POST", url, body=body, headers=headers)

    def submit(self, plan, tasks, payload, key):
        """Submit a batch run; returns its job id."""
        submission = {"team": probe.TEAM, "workload": probe.BATCH, "tasks": tasks}
        submission["payload"] = json.dumps(payload)
        answer = self.http.request(
            "POST",
            f"http://{plan.callers}/v1/jobs",
            body=json.dumps(submission).encode(),
            headers={"Content-Type": "application/json", "Idempotency-Key": key},
        )
        assert answer.status in (200, 201, 202), answer.data
        return json.loads(answer.data)["job_id"]

    def job(self, plan, job_id):
        """Return a job as an entry shows it, or an empty dictionary."""
        answer = self.http.request("GET", f"http://{plan.callers}/v1/jobs/{job_id}")
        return json.loads(answer.data) if answer.status == 200 else {}

    def owner(self, domain):
        """Return the name of a domain's owner placer as operators see it, or ''."""
        rows = self.client("status")["processes"]
        return next(
            (
                row["process"]
                for row in rows
                if row["failure_domain"] == domain and row.get("state") == "owner"
            ),
            "",
        )

    def restart(self, name):
        self.cell.start([name])
        self.cell.wait_ready([name])

    def events(self):
        return history.read(self.histories)


class Load:
    """Callers that send until stopped; every other request is non-idempotent.

    A caller that gets no answer, or ``unknown``, resends under the same key to the next
    entry, up to ``MAX_ATTEMPTS`` times in all. All outcomes are recorded.
    """

    MAX_ATTEMPTS = 4

    def __init__(self, deployment, callers=6, entries=None):
        self._deployment = deployment
        self._entries = entries or deployment.cell.of_role("entry")
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self.records = []
        self._threads = [
            threading.Thread(target=self._run, args=(first_number,))
            for first_number in range(callers)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_details):
        self.stop()

    def stop(self):
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def wait_for(self, more, what):
        """Wait until ``more`` further requests have been answered with 200."""
        goal = self.served + more
        cells.wait_until(lambda: self.served >= goal, what)

    @property
    def served(self):
        with self._lock:
            return sum(record.outcomes[-1] == "200" for record in self.records)

    def _run(self, first_number):
        number = first_number
        while not self._stopping.is_set():
            record = self._ask(number, keyed=number % 2 == 0)
            with self._lock:
                self.records.append(record)
            number += 1

    def _ask(self, number, keyed):
        key = uuid.uuid4().hex
        body = json.dumps({"id": key}).encode()
        outcomes, echo = [], ""
        for attempt in range(self.MAX_ATTEMPTS):
            plan = self._entries[(number + attempt) % len(self._entries)]
            outcome, echo = self._send_once(plan, body, key if keyed else "")
            outcomes.append(outcome)
            if outcome not in ("unknown", "no answer"):
                break
        return CallRecord(key, keyed, tuple(outcomes), echo)

    def _send_once(self, plan, body, key):
        try:
            answer = self._deployment.call(plan, body, key)
        except urllib3.exceptions.HTTPError:
            return "no answer", ""
        if answer.status == 200:
            return "200", json.loads(answer.data)["echo"]
        return answer.headers["Alderreach-Outcome"], ""


def describe_failures(deployment, failures):
    """Describe failed requests, with the longest log sync of each keeper in ms.

    A claim waits two seconds for the keepers' log, so disks that stall for longer make
    the outcome of requests with a key unknown. The syncs of keepers that have restarted
    since are not known; their elections and lost links before each failure are shown.
    """
    keepers = deployment.cell.of_role("keeper")
    syncs = {plan.name: _longest_sync_ms(deployment, plan) for plan in keepers}
    events = "\n".join(_events_before_failures(deployment))
    return f"{failures[:3]}; longest log syncs in ms: {syncs}\n{events}"


def _events_before_failures(deployment):
    """Lines with the requests whose outcome is unknown, and what came before each.

    That is what keepers recorded in the ``EVENTS_BEFORE_MS`` before, and when any
    process stopped or started.
    """
    paths = (deployment.cell.folder / "data").glob("*/*.timeline.*.jsonl")
    events = history.read(paths)
    failed_ms = [event["monotonic_ms"] for event in events if _is_unknown(event)]
    for event in events:
        at_ms = event["monotonic_ms"]
        is_near = any(0 <= end - at_ms <= EVENTS_BEFORE_MS for end in failed_ms)
        is_relevant = event["kind"] in LIFECYCLE or "keeper" in event["process"]
        if _is_unknown(event) or (is_near and is_relevant):
            yield f"{at_ms} {event['process']} {event['kind']} {event['detail']}"


def _is_unknown(event):
    """Whether a request ended with an unknown outcome at its entry."""
    return event["kind"] == "request_ended" and event["detail"].split()[0] in UNKNOWN


def _longest_sync_ms(deployment, plan):
    """Return the longest log sync of a keeper since its start, or None."""
    url = f"http://{plan.platform}/metrics"
    try:
        text = deployment.http.request("GET", url).data.decode()
    except urllib3.exceptions.HTTPError:
        return None
    found = re.search(LONGEST_SYNC, text, re.MULTILINE)
    return float(found[1]) if found else None


def check_history(deployment, records):
    """Assert that the callers' records and the targets' histories are consistent."""
    events = deployment.events()
    runs = {}
    for event in events:
        if event["event"] == "request_run":
            key = json.loads(event["body"]).get("id", "")
            runs[key] = runs.get(key, 0) + 1
    for record in records:
        _check_record(record, runs.get(record.key, 0))
    _check_tasks(events)
    assert not [event for event in events if event["event"] == "capacity_exceeded"]


def _check_record(record, runs):
    if record.outcomes[-1] == "200":
        assert json.loads(record.echo)["id"] == record.key, f"crossed: {record}"
        assert runs >= 1, f"answered but never run: {record}"
    if record.keyed:
        assert runs <= 1, f"ran {runs} times: {record}"
    if set(record.outcomes) == {"not-run"}:
        assert runs == 0, f"answered not-run but ran: {record}"


def _check_tasks(events):
    """Assert that no task, in any of its attempts, runs in two places at once."""
    running = {}
    for event in events:
        if event["event"] == "worker_started":
            for places in running.values():
                places -= {place for place in places if place[0] == event["worker"]}
        elif event["event"] == "task_started":
            places = running.setdefault(event["task_id"], set())
            places.add((event["worker"], event["attempt"]))
            assert len(places) == 1, f"in two places: {event['task_id']} {places}"
        elif event["event"] == "task_ended":
            places = running.get(event["task_id"], set())
            places.discard((event["worker"], event["attempt"]))


@contextlib.contextmanager
def running(folder, **options):
    """Start a deployment, which is stopped at the end."""
    with contextlib.ExitStack() as stack:
        yield Deployment(folder, stack, **options)
