"""Checks that a calm cell answers, at every process, though old connections are silent.

Each request may be repeated until it had the time that the platform's rule gives,
counted from the beginning of the calm time.
"""

import time
from concurrent import futures

from tools.soak import cancels

PAUSE_S = 0.1


def check(calling, operator, promises, controls):
    """Check reads of jobs and of the configuration, and changes of it.

    ``controls`` are the controllers' addresses. Changes are sent to one after another,
    and the last one acknowledged has to be read back at all of them.
    """
    session = calling.session()
    job_ids = [job_id for job_id in calling.accepted if job_id not in calling.unclear]
    reads = {
        f"a read of {job_ids[-1]} at {address}": lambda address=address: calling.state(
            session, job_ids[-1], address
        )
        for address in (calling.addresses if job_ids else [])
    }
    changes = {
        f"a change of the configuration at {address}": lambda address=address: (
            operator.change(address)
        )
        for address in controls
    }
    reads_back = {
        f"a read of the configuration at {address}": lambda address=address: (
            operator.reads_back(address)
        )
        for address in controls
    }
    _check_all(promises, reads | reads_back)
    for name, change in changes.items():
        _check_all(promises, {name: change})
    _check_all(promises, reads_back)


def _check_all(promises, requests):
    """Make all requests at the same time, and check that each is answered in time."""
    with futures.ThreadPoolExecutor(max(1, len(requests))) as pool:
        answered = pool.map(lambda ask: _is_answered(promises, ask), requests.values())
        for name, is_answered in zip(requests, answered, strict=True):
            if not is_answered:
                promises.violations.append(f"{name} has no answer")


def _is_answered(promises, ask):
    """Whether a request that is repeated is answered in time."""
    began_ms = promises.time.now_ms
    while True:
        is_answered = ask()
        with promises.lock:
            due_ms = max(began_ms, promises.cancels.calm_from_ms) + cancels.ACK_MS
        if is_answered or promises.time.now_ms > due_ms:
            return bool(is_answered) and promises.time.now_ms <= due_ms
        time.sleep(PAUSE_S)
