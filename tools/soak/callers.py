"""Callers of the soak test: they submit jobs, query them, and have some cancelled.

A caller keeps its connections open until they fail. Without an answer it repeats the
request at any frontend; a job counts as refused only if every attempt was rejected.
"""

import http.client
import json
import random
import threading
import time
import typing

import urllib3
from hdrh.histogram import HdrHistogram

from tools.soak import cancellers, operators
from tools.soak import promises as promises_module

HOST = "a.example"
FREE, PERMITTED = "/q/", "/p/"
TIMEOUT_S = 3.0
PAUSE_S = 0.15
ATTEMPTS = 12
REJECTED = (401, 429, 503)
# The kinds of silences that concern connections to frontends.
SILENT_KINDS = ("callers", "all")
# Each caller tries a key that must be refused before this share of its jobs.
REFUSED_KEY_SHARE = 0.2
MAX_LATENCY_MS = 600_000
WIDE_CPU_MILLIS = 5000
# Long-running jobs: even all six on one worker leave enough capacity for a wide task.
LONG_RUNNING_JOBS = range(5, 95, 15)
# Jobs whose task crashes every worker that starts it.
CRASHING_JOBS = range(8, 95, 40)


def prefix_of(job_id):
    """The path prefix of a job's queue: odd jobs may run on permitted workers only."""
    return PERMITTED if int(job_id, 16) % 2 else FREE


def customer_of(job_id):
    """The customer of a job."""
    return operators.CUSTOMERS[int(job_id, 16) % len(operators.CUSTOMERS)]


def _step_json(step):
    """A step as submitted by callers: empty and false fields are left out."""
    fields = {"count": step.count, "cpu": step.cpu_millis, "mem_mb": 1}
    fields |= {"estimated_ms": 200, "after": step.after, "gang": step.gang}
    fields |= {"long_running": step.long_running}
    return {name: value for name, value in fields.items() if value}


class Answer(typing.NamedTuple):
    """The outcome of one request for its caller; ``status`` is 0 without an answer."""

    at_s: float
    kind: str
    status: int
    took_ms: float


class Callers:
    """Threads that submit jobs until ``stop``; ``answers`` has all their answers.

    ``refused_key()`` returns a key that no request may be served with. ``crashing`` are
    the numbers of the jobs whose task crashes its workers.
    """

    def __init__(self, addresses, promises, rng, refused_key, crashing=(), threads=3):
        self.addresses = addresses
        self._promises = promises
        self._refused_key = refused_key
        self._rng = rng
        self._crashing = crashing
        self.is_calm = False
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._began_s = time.monotonic()
        self._number = 0
        self.accepted = {}
        self._cancellers = cancellers.Cancellers(
            self._send_cancellation, promises, random.Random(rng.random())
        )
        self._cancelling_session = self.session()
        self._may_be_silent = threading.Event()
        self.cancelled = self._cancellers.cancelled
        self.unclear = self._cancellers.unclear
        self.answers = []
        self.latency = HdrHistogram(1, MAX_LATENCY_MS, 3)
        self._threads = [
            threading.Thread(target=self._run, daemon=True) for _ in range(threads)
        ]

    def start(self):
        """Start the callers."""
        for thread in self._threads:
            thread.start()
        return self

    def stop(self):
        """Submit nothing more and wait for the callers to end."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        self._cancellers.stop()

    def on_silence(self, kind, text):
        """Record that open connections became silent, those to frontends included.

        The next cancellation without an answer closes the idle ones. Otherwise each
        repeat could take another silent one and wait for ``TIMEOUT_S``, and no frontend
        would get the request in time.
        """
        self._promises.record(text)
        if kind in SILENT_KINDS:
            self._may_be_silent.set()

    def state(self, session, job_id, address=None):
        """The state that a frontend shows for a job; None without a clear answer.

        Without an address any frontend is asked.
        """
        status, body = self._call(session, "GET", job_id, address=address)
        if status == 410:
            self._promises.violations.append(f"{job_id} was accepted and is unknown")
        return json.loads(body).get("state") if status == 200 else None

    def session(self):
        """The connection pool of one caller."""
        return urllib3.PoolManager(retries=False, timeout=TIMEOUT_S, maxsize=4)

    def _run(self):
        session = self.session()
        while not self._stopping.is_set():
            job_id, steps, moment = self._draw()
            customer = customer_of(job_id)
            self._promises.on_job_submitted(job_id, steps, customer)
            if int(job_id, 16) % round(1 / REFUSED_KEY_SHARE) == 0:
                self._try_refused_key(session, job_id)
            submission = moment and self._cancellers.begin(job_id, moment)
            is_accepted = self._submit(session, job_id, steps)
            if submission:
                submission.end(is_accepted)
            if is_accepted:
                self._stopping.wait(PAUSE_S)
                self.state(session, job_id)

    def _draw(self):
        with self._lock:
            rng = self._rng
            self._number += 1
            job_id = f"{self._number:016x}"
            step = promises_module.Step
            moment, is_long_running = self._cancellers.draw()
            if self._number in self._crashing and not self.is_calm:
                return job_id, [step(1, 500, crashes=True)], None
            if self._number in LONG_RUNNING_JOBS:
                return job_id, [step(1, 500, long_running=True)], moment
            if is_long_running:
                count = rng.randrange(1, 4)
                endless = step(count, 500, long_running=True, endless=True)
                return job_id, [endless], moment
            steps = [step(rng.randrange(1, 6), rng.choice([500, 1000, 2000]))]
            kind = rng.random()
            if kind < 0.5:
                steps.append(step(rng.randrange(1, 4), 500, [0]))
            elif kind < 0.7:
                # Each task needs more than half of a worker.
                steps.append(step(2, WIDE_CPU_MILLIS, [0], gang=kind < 0.6))
            return job_id, steps, moment

    def _try_refused_key(self, session, job_id):
        key = self._refused_key()
        status, _body = self._call(session, "DELETE", job_id, key=key)
        if status in (200, 410):
            self._promises.violations.append(f"the key {key} is served")

    def _submit(self, session, job_id, steps):
        body = json.dumps(
            {"spec": "run", "steps": [_step_json(s) for s in steps]}
        ).encode()
        statuses = []
        for _attempt in range(ATTEMPTS):
            status, _body = self._call(session, "POST", job_id, body)
            statuses.append(status)
            if status == 200:
                self.accepted[job_id] = steps
                return True
            if status == 404:
                self._promises.violations.append("the queue is unknown")
                return False
            time.sleep(PAUSE_S)
        if all(status in REJECTED for status in statuses):
            self._promises.on_job_refused(job_id)
        return False

    def _send_cancellation(self, job_id, turn):
        address = self.addresses[(int(job_id, 16) + turn) % len(self.addresses)]
        status, _body = self._call(
            self._cancelling_session, "DELETE", job_id, address=address
        )
        if not status and self._may_be_silent.is_set():
            self._may_be_silent.clear()
            self._cancelling_session.clear()
        return status

    def _call(self, session, method, job_id, body=None, key=None, address=None):
        key = key or operators.lasting_key(customer_of(job_id))
        headers = {"Host": HOST, "Deadline-Ms": str(int(TIMEOUT_S * 1000))}
        headers["Authorization"] = f"Token {key}"
        if address is None:
            with self._lock:
                address = self._rng.choice(self.addresses)
        began_s = time.monotonic()
        try:
            answer = session.request(
                method,
                f"http://{address}{prefix_of(job_id)}{job_id}",
                body=body,
                headers=headers,
            )
            status, data = answer.status, answer.data
        except (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError):
            status, data = 0, b""
        took_ms = (time.monotonic() - began_s) * 1000
        with self._lock:
            self.answers.append(
                Answer(began_s - self._began_s, method, status, took_ms)
            )
            self.latency.record_value(max(1, int(took_ms)))
        return status, data
