"""Input that no sound worker, caller or operator sends, during a whole day of the soak.

Reports in workers' names that name no worker to use, and jobs, configurations and time
limits with numbers out of range. Each has to be refused or, while processes are down,
to get no clear answer; none may end a process.
"""

import json
import random
import threading

import urllib3

from tools.soak import callers

PAUSE_S = 0.1
TIMEOUT_S = 2.0
NUMBERS = (2**127, 2**64, -(2**70), -1, 1e300)
TEXTS = (None, "text", [1], {})
# Answers of processes that stop or know no leader.
UNCLEAR = (503, 504)
FAULT = "the process exits"


class OtherWriters:
    """Sends malformed input until ``stop``; ``refused`` counts what got a 400.

    ``workers`` is the list of the day's workers, which may grow.
    """

    def __init__(self, workers, controls, frontends, promises, seed):
        self._workers, self._controls = workers, controls
        self._frontends, self._promises = frontends, promises
        self._rng = random.Random(f"other writers {seed}")
        self._http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.refused = 0

    def start(self):
        """Start sending."""
        self._thread.start()
        return self

    def stop(self):
        """Send nothing more."""
        self._stopping.set()
        self._thread.join()

    def _run(self):
        kinds = [self._report, self._report, self._job, self._config, self._deadline]
        while not self._stopping.wait(PAUSE_S):
            self._send(*self._rng.choice(kinds)())

    def _send(self, method, url, body, headers):
        data = json.dumps(body).encode()
        try:
            answer = self._http.request(method, url, body=data, headers=headers)
        except urllib3.exceptions.HTTPError:
            return
        if answer.status == 400:
            self.refused += 1
        elif answer.status not in UNCLEAR:
            self._promises.violations.append(
                f"{method} {url} {data.decode()} of another writer: {answer.status}"
            )

    def _report(self):
        worker = self._rng.choice(list(self._workers))
        body = worker.announcement(self._rng.choice([1, 2**40]))
        field = self._rng.choice([name for name in body if name != "born"])
        change = self._rng.randrange(5)
        if change == 0:
            del body[field]
        elif change == 1:
            body[field] = self._rng.choice([None, {"other": 1}])
        elif change == 2:
            numbers = ("slots", "cold_remaining_ms", "clock_ms", "sequence", "born")
            body[self._rng.choice(numbers)] = self._rng.choice(NUMBERS)
        elif change == 3:
            body["service"] = self._rng.choice(["not-named", ""])
        else:
            body["address"] = self._rng.choice(["nowhere", "10.0.0.1", "10.0.0.1:0"])
        control = self._rng.choice(self._controls)
        return "PUT", f"http://{control}/-/instances/{worker.name}", body, {}

    def _job(self):
        step = {"count": 1, "cpu": 500, "mem_mb": 1, "estimated_ms": 100}
        field = self._rng.choice([*step, "target_ms", "anti_affinity"])
        step[field] = self._rng.choice([*NUMBERS, *TEXTS])
        return self._to_frontend({"spec": "run", "steps": [step]}, {})

    def _deadline(self):
        text = self._rng.choice(["inf", "1e400", "-5", "1e300"])
        return self._to_frontend({}, {"Deadline-Ms": text})

    def _to_frontend(self, body, headers):
        address = self._rng.choice(self._frontends)
        headers["Host"] = callers.HOST
        return "POST", f"http://{address}{callers.FREE}ffffffffffffffff", body, headers

    def _config(self):
        body = {"version": self._rng.choice(NUMBERS), "routes": [], "services": []}
        return "PUT", f"http://{self._rng.choice(self._controls)}/-/config", body, {}


def check(writing, running, promises):
    """Check that input was refused, and that no process has ended by itself."""
    if not writing.refused:
        promises.violations.append("no input of another writer was refused")
    for plan in running.plans:
        if FAULT in running.log(plan.name):
            promises.violations.append(f"{plan.name} has ended by itself")
