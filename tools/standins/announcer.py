"""Announces a stand-in target to the placers of its failure domain."""

import json
import threading
import time

import urllib3

FIRST_HEARTBEAT_S = 0.2
TIMEOUT_S = 1.0
MAX_SENT_TIMES = 1000


class Announcer:
    """Sends the announcements of one target, on its own thread.

    ``report()`` returns the content of a message. ``on_answer(answer, sent_s)`` is
    called with each 200 answer and the monotonic time at which the message was sent.
    """

    def __init__(
        self, target_id, placers, report, on_answer=lambda answer, sent_s: None
    ):
        self._target_id = target_id
        self._placers = list(placers)
        self._address = self._placers[0]
        self._report = report
        self._on_answer = on_answer
        self._sequence = 0
        self._sent_s = {}
        self._wake = threading.Event()
        self._stopping = False
        self._heartbeat_s = FIRST_HEARTBEAT_S
        self._http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()
        return self

    def announce_now(self):
        """Announce at once: the state changed or a task ended."""
        self._wake.set()

    def sent_s(self, sequence):
        """When an announcement was sent; None if that is no longer stored."""
        return self._sent_s.get(sequence)

    def stop(self):
        """Send a last announcement and end the thread."""
        self._stopping = True
        self._wake.set()
        self._thread.join(timeout=3)

    def _run(self):
        while True:
            last = self._stopping
            self._announce()
            if last:
                return
            self._wake.wait(self._heartbeat_s)
            self._wake.clear()

    def _announce(self):
        self._sequence += 1
        message = dict(self._report(), sequence=self._sequence)
        body = json.dumps(message).encode()
        sent_s = time.monotonic()
        self._sent_s[self._sequence] = sent_s
        self._sent_s.pop(self._sequence - MAX_SENT_TIMES, None)
        url = f"http://{self._address}/v1/targets/{self._target_id}/announce"
        headers = {"Content-Type": "application/json"}
        try:
            answer = self._http.request("POST", url, body=body, headers=headers)
            content = json.loads(answer.data)
        except (urllib3.exceptions.HTTPError, ValueError):
            self._next_placer("")
            return
        if answer.status == 200:
            self._heartbeat_s = content["heartbeat_ms"] / 1000
            self._on_answer(content, sent_s)
        else:
            self._next_placer(content.get("owner_address", ""))

    def _next_placer(self, owner_address):
        self._heartbeat_s = FIRST_HEARTBEAT_S
        if owner_address and owner_address != self._address:
            self._address = owner_address
            return
        if self._address in self._placers:
            place = self._placers.index(self._address) + 1
        else:
            place = 0
        self._address = self._placers[place % len(self._placers)]
