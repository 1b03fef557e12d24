"""The operator of the soak test: changes customers' caps and keys during a day.

Each customer has one key that stays, which its callers use, and a second one that is
replaced with each version. Callers try replaced keys and keys of nobody.
"""

import json
import random
import threading
import time

import urllib3

from tools.soak import promises as promises_module

CUSTOMERS = ("desk", "guides")
# Even the smallest cap fits the widest gang beside a customer's long-running tasks.
CAPS_MILLIS = (12_000, 16_000, 30_000)
PAUSE_S = 1.5
TIMEOUT_S = 2.0
UNKNOWN_KEY = "key-of-nobody"


def lasting_key(customer):
    """The key of a customer that all versions have."""
    return f"key-of-{customer}"


class Operator:
    """Sends a new configuration now and then until ``stop``.

    ``configure(version)`` returns a configuration without customers. ``promises`` is
    told which caps may be in force.
    """

    def __init__(self, controls, configure, promises, seed):
        self._controls = controls
        self._configure = configure
        self._promises = promises
        self._rng = random.Random(f"operator {seed}")
        self._version = 0
        self._lock = threading.Lock()
        self._replaced = []
        self._current = []
        self._stopping = threading.Event()
        self._http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start the thread; a first configuration was accepted before."""
        self._thread.start()
        return self

    def stop(self):
        """Send nothing more, and wait for the thread to end."""
        self._stopping.set()
        self._thread.join()

    def change(self):
        """Send a new version once; returns whether it was acknowledged."""
        self._version += 1
        caps = {name: self._rng.choice(CAPS_MILLIS) for name in CUSTOMERS}
        keys = [f"key-{self._version}-of-{name}" for name in CUSTOMERS]
        tenants = [
            {"name": name, "api_keys": [lasting_key(name), key], "weight": 5}
            | {"cap": {"cpu": caps[name]}}
            for name, key in zip(CUSTOMERS, keys, strict=True)
        ]
        body = json.dumps(self._configure(self._version) | {"tenants": tenants})
        self._promises.on_caps_sent(caps)
        if not self._send(body.encode()):
            return False
        self._promises.on_caps_acknowledged(caps)
        with self._lock:
            self._replaced += [(key, time.monotonic()) for key in self._current]
            self._current = keys
        return True

    def refused_key(self):
        """A key that no request may be served with, of nobody or replaced long ago."""
        until_s = time.monotonic() - promises_module.CONFIG_APPLY_MS / 1000
        with self._lock:
            keys = [key for key, replaced_s in self._replaced if replaced_s < until_s]
        return self._rng.choice([UNKNOWN_KEY, *keys])

    def _run(self):
        while not self._stopping.wait(PAUSE_S):
            self.change()

    def _send(self, body):
        address = self._rng.choice(self._controls)
        try:
            url = f"http://{address}/-/config"
            return self._http.request("PUT", url, body=body).status == 200
        except urllib3.exceptions.HTTPError:
            return False
