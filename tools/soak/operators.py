"""The operator of the soak test: changes customers' caps and keys during a day.

Each customer has one key that stays, which its callers use, and a second one that is
replaced with each version. Callers try replaced keys and keys of nobody. The operator
also reads the configuration at all controllers: no answer may be older than what was
acknowledged before, or differ from what was sent.
"""

import json
import math
import random
import threading
import time

import urllib3

from tools.soak import promises as promises_module

CUSTOMERS = ("desk", "guides")
# Even the smallest cap fits the widest gang beside a customer's long-running tasks.
CAPS_MILLIS = (12_000, 16_000, 30_000)
PAUSE_S = 1.5
READ_PAUSE_S = 0.3
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
        self._read_rng = random.Random(f"operator reads {seed}")
        self._version = 0
        self._sent = {}
        self._acknowledged = []
        self._lock = threading.Lock()
        self._replaced = []
        self._current = []
        self._stopping = threading.Event()
        self._http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
        self._threads = [
            threading.Thread(target=work, daemon=True)
            for work in (self._run, self._run_reads)
        ]

    def start(self):
        """Start the threads; a first configuration was accepted before."""
        for thread in self._threads:
            thread.start()
        return self

    def stop(self):
        """Send nothing more, and wait for the threads to end."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def change(self, address=None):
        """Send a new version once; returns whether it was acknowledged."""
        self._version += 1
        caps = {name: self._rng.choice(CAPS_MILLIS) for name in CUSTOMERS}
        keys = [f"key-{self._version}-of-{name}" for name in CUSTOMERS]
        tenants = [
            {"name": name, "api_keys": [lasting_key(name), key], "weight": 5}
            | {"cap": {"cpu": caps[name]}}
            for name, key in zip(CUSTOMERS, keys, strict=True)
        ]
        config = self._configure(self._version) | {"tenants": tenants}
        self._sent[self._version] = config
        self._promises.on_caps_sent(caps)
        if not self._send(address, json.dumps(config).encode()):
            return False
        self._promises.on_caps_acknowledged(caps)
        with self._lock:
            self._acknowledged.append((self._version, time.monotonic()))
            self._replaced += [(key, time.monotonic()) for key in self._current]
            self._current = keys
        return True

    def refused_key(self):
        """A key that no request may be served with, of nobody or replaced long ago."""
        until_s = time.monotonic() - promises_module.CONFIG_APPLY_MS / 1000
        with self._lock:
            keys = [key for key, replaced_s in self._replaced if replaced_s < until_s]
        return self._rng.choice([UNKNOWN_KEY, *keys])

    def reads_back(self, address):
        """Whether a controller's configuration is the newest acknowledged, or newer.

        A newer one is one whose change had no answer.
        """
        version = self._read(address)
        return version is not None and version >= self._newest_acknowledged()

    def _run(self):
        while not self._stopping.wait(PAUSE_S):
            self.change()

    def _run_reads(self):
        while not self._stopping.wait(READ_PAUSE_S):
            self._check_read(self._read_rng.choice(self._controls))

    def _check_read(self, address):
        """Read at a controller; an answer may not be older than what has to apply."""
        apply_s = promises_module.CONFIG_APPLY_MS / 1000
        oldest = self._newest_acknowledged(time.monotonic() - apply_s)
        version = self._read(address)
        if version is not None and version < oldest:
            self._violate(
                f"{address} has version {version} of the configuration, "
                f"{oldest} was acknowledged"
            )

    def _read(self, address):
        """The version that a controller returns, or None without an answer."""
        try:
            url = f"http://{address}/-/config"
            answer = self._http.request("GET", url)
        except urllib3.exceptions.HTTPError:
            return None
        if answer.status != 200:
            return None
        config = json.loads(answer.data)
        if config != self._sent.get(config["version"]):
            self._violate(f"{address} returns a configuration that was not sent")
        return config["version"]

    def _newest_acknowledged(self, until_s=math.inf):
        """The newest version that was acknowledged up to a time, or 0."""
        with self._lock:
            return max(
                (v for v, at_s in self._acknowledged if at_s <= until_s), default=0
            )

    def _violate(self, text):
        with self._promises.lock:
            self._promises.violations.append(text)

    def _send(self, address, body):
        address = address or self._rng.choice(self._controls)
        try:
            url = f"http://{address}/-/config"
            return self._http.request("PUT", url, body=body).status == 200
        except urllib3.exceptions.HTTPError:
            return False
