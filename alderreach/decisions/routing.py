"""Chooses a runner for each request, with only what this entry knows.

Several entries share runners of a few slots each. Without a central counter, they would
all choose the runners that look idle to all of them.

- Each entry has an allowance on each runner. On a runner of its own domain it starts at
  the slots divided by the domain's entries, so entries within it never collide.
- An allowance that is used in full without a refusal grows by ``ALLOWANCE_GROWTH`` of a
  slot per round of responses, so that slots of idle entries are used.
- A refusal multiplies an allowance by ``REFUSAL_FACTOR``, but not below its starting
  value: with less than its share, an entry would only leave slots idle.
- Among runners with free allowance the one with the least of it in use is chosen, ties
  at random.
- Runners of other domains get work once the local ones have no free allowance and the
  request would wait longer than ``SPILL_WAIT_MS``, one round trip between domains.
- A runner of another domain that refuses gets no requests for ``REMOTE_PAUSE_MS``: when
  all domains are saturated, each would otherwise spend its time on asking the others.
- A runner that is slow or fails (``outliers``) is considered only as often as its
  weight says, so that an idle faulty runner can't attract the load.
"""

import collections

READY = "ready"
SUSPECT = "suspect"
ALLOWANCE_GROWTH = 0.1
REFUSAL_FACTOR = 0.7
REMOTE_START_ALLOWANCE = 1.0
REMOTE_PAUSE_MS = 200
SPILL_WAIT_MS = 3.0


class Router:
    """The runners of one service, and this entry's outstanding requests at each.

    ``entries_in_domain`` and ``entries_in_cell`` count this entry too.
    """

    def __init__(self, outliers, random, domain, entries_in_domain, entries_in_cell):
        self._outliers = outliers
        self._random = random
        self._domain = domain
        self._entries_in_domain = entries_in_domain
        self._entries_in_cell = entries_in_cell
        self._runners = {}
        self._outstanding = collections.Counter()
        self._allowances = {}
        self._local, self._remote = [], []
        self._total_allowance = 0
        self._paused_until_ms = {}

    def set_runners(self, runners):
        """Replace the known runners; a restarted one gets its starting allowance."""
        before, self._runners = self._runners, {r.runner_id: r for r in runners}
        for runner_id, runner in self._runners.items():
            old = before.get(runner_id)
            if old is None or old.boot_id != runner.boot_id:
                self._allowances[runner_id] = self._starting_allowance(runner)
        for runner_id in before.keys() - self._runners.keys():
            self._allowances.pop(runner_id, None)
            self._paused_until_ms.pop(runner_id, None)
        self._outliers.set_targets(self._runners)
        self._split_by_domain()
        self._update_total_allowance()

    @property
    def usable(self):
        """Ids of the runners that may get new requests."""
        return {runner.runner_id for runner in self._local + self._remote}

    def max_outstanding(self):
        """Return how many requests this entry may have outstanding at all runners."""
        return sum(self._max_allowance(runner) for runner in self._local + self._remote)

    def total_allowance(self):
        """Return the sum of the allowances on local runners, or on remote if none."""
        return self._total_allowance

    def pick(self, now_ms, wait_ms, avoided=()):
        """Return the runner to send to, None if no allowance is free.

        ``wait_ms`` is how long the request would wait for a slot in this domain.
        """
        chosen = self._least_used(self._local, now_ms, avoided)
        if chosen is not None or not self._remote:
            return chosen
        if wait_ms > SPILL_WAIT_MS or not self._has_reachable(self._local, now_ms):
            paused = self._paused_until_ms
            open_now = [r for r in self._remote if paused.get(r.runner_id, 0) <= now_ms]
            return self._least_used(open_now, now_ms, avoided)
        return None

    def on_attempt_started(self, runner_id):
        """Record that a request was granted a runner."""
        self._outstanding[runner_id] += 1

    def on_attempt_ended(self, runner_id, was_refused, was_answered, now_ms):
        """Record the end of an attempt, and adjust the runner's allowance."""
        used = self._outstanding[runner_id]
        if used <= 1:
            del self._outstanding[runner_id]
        else:
            self._outstanding[runner_id] = used - 1
        runner = self._runners.get(runner_id)
        if runner is None:
            return
        allowance = self._allowances[runner_id]
        if was_refused:
            reduced = max(self._starting_allowance(runner), allowance * REFUSAL_FACTOR)
            self._allowances[runner_id] = reduced
            if runner.failure_domain != self._domain:
                self._paused_until_ms[runner_id] = now_ms + REMOTE_PAUSE_MS
            self._update_total_allowance()
        elif was_answered and used >= int(allowance):
            grown = allowance + ALLOWANCE_GROWTH / allowance
            self._allowances[runner_id] = min(grown, float(self._max_allowance(runner)))
            self._update_total_allowance()

    def _starting_allowance(self, runner):
        if runner.failure_domain != self._domain:
            return REMOTE_START_ALLOWANCE
        share = runner.slots // self._entries_in_domain
        return float(max(1, min(share, self._max_allowance(runner))))

    def _max_allowance(self, runner):
        """Return the slots, at most this entry's share of the runner's connections."""
        share = runner.connections // self._entries_in_cell
        return max(1, min(runner.slots, share))

    def _split_by_domain(self):
        """Divide the usable runners by domain: ready ones, else suspect ones.

        All runners are suspect when the entry has lost contact with their owner. They
        may well be up then, and a domain that is cut off continues to serve.
        """
        known = self._runners.values()
        usable = [r for r in known if r.state == READY]
        usable = usable or [r for r in known if r.state == SUSPECT]
        self._local = [r for r in usable if r.failure_domain == self._domain]
        self._remote = [r for r in usable if r.failure_domain != self._domain]

    def _update_total_allowance(self):
        near = self._local or self._remote
        self._total_allowance = sum(int(self._allowances[r.runner_id]) for r in near)

    def _has_reachable(self, runners, now_ms):
        return any(self._outliers.weight(r.runner_id, now_ms) > 0 for r in runners)

    def _least_used(self, runners, now_ms, avoided):
        best, least = None, None
        for runner in runners:
            runner_id = runner.runner_id
            used = self._outstanding[runner_id]
            allowance = self._allowances[runner_id]
            if used >= int(allowance) or runner_id in avoided:
                continue
            weight = self._outliers.weight(runner_id, now_ms)
            if weight < 1 and self._random.random() >= weight:
                continue
            score = (used + 1) / allowance + self._random.random() / 1000
            if least is None or score < least:
                best, least = runner, score
        return best
