"""Membership and health of the targets of a failure domain.

This is a pure state machine whose inputs are announcements and the time. A target
renews its lease with each announcement of a higher sequence. A silent target becomes
suspect, and dead once its lease has certainly expired. A new boot id stands for a new
target: whatever ran under the previous one is lost. A flapping target stays suspect
for ``FLAP_DAMPING_MS``, so that work is not moved back and forth with each restart.

Changes of runners are numbered, so that an entry receives only the changes it lacks.
"""

import typing

from alderreach.core.generated import common, placer

MAX_FLAPS = 3
FLAP_WINDOW_MS = 60_000
FLAP_DAMPING_MS = 20_000
MAX_TOMBSTONES = 1000


class ReportedTask(typing.NamedTuple):
    """A task in a worker's announcement."""

    task_id: str
    attempt: int
    state: str
    reason: str


class Announcement(typing.NamedTuple):
    """A target's announcement; fields of the other kind of target are empty."""

    target_id: str
    kind: str
    boot_id: str
    sequence: int
    state: str
    vm: str
    rack: str
    failure_domain: str
    address: str
    owner_epoch_seen: int
    capacity: common.Resources
    usage: common.Resources
    tasks: tuple
    service: str
    team: str
    slots: int
    connections: int
    task_id: str


class Target(typing.NamedTuple):
    """A target with its lease.

    ``reported`` is False until this owner has received an announcement from it.
    """

    announced: Announcement
    last_contact_ms: int
    state: str
    reported: bool
    outages_ms: tuple


class Membership:
    """All targets of the domain by id.

    ``announce`` returns the effect of the announcement: ``new``, ``renewed``,
    ``restarted`` (a new boot), ``stale`` (an older sequence, ignored) or ``gone``.
    """

    def __init__(self, timing):
        self._timing = timing
        self._lease_ms = timing.target_lease_ms + timing.lease_margin_ms
        self.targets = {}
        self.sequence = 0
        self._views = {}
        self._changed = {}
        self._leaving = frozenset()
        self._floor_sequence = 0

    def add_expected(self, announced, now_ms):
        """Add a target known from the previous owner; its lease starts now."""
        self.targets[announced.target_id] = Target(
            announced, now_ms, "ready", False, ()
        )
        self._update_view(announced.target_id)

    def announce(self, announced, now_ms):
        """Apply an announcement and return its effect."""
        known = self.targets.get(announced.target_id)
        effect = self._classify(known, announced)
        if effect == "stale":
            return effect
        outages_ms = known.outages_ms if known else ()
        if effect == "restarted" or (known and known.state == "dead"):
            outages_ms = self._add_outage(outages_ms, now_ms)
        state = announced.state if announced.state != "gone" else "dead"
        if state == "ready" and self._is_damped(outages_ms, now_ms):
            state = "suspect"
        self.targets[announced.target_id] = Target(
            announced, now_ms, state, True, outages_ms
        )
        self._update_view(announced.target_id)
        return effect

    def tick(self, now_ms):
        """Mark silent targets as suspect or dead; returns the ids that changed."""
        changed = []
        for target_id, target in self.targets.items():
            state = self._state_after_silence(target, now_ms)
            if state != target.state:
                changed.append((target_id, target._replace(state=state)))
        for target_id, target in changed:
            if target.state == "suspect" and self.targets[target_id].state == "ready":
                outages_ms = self._add_outage(target.outages_ms, now_ms)
                target = target._replace(outages_ms=outages_ms)
            self.targets[target_id] = target
            self._update_view(target_id)
        return [target_id for target_id, _ in changed]

    def remove(self, target_id):
        """Remove a target; entries see it as dead."""
        if self.targets.pop(target_id, None) is not None:
            self._update_view(target_id)

    def set_leaving(self, target_ids):
        """Show these runners as leaving whatever they announce, before maintenance."""
        changed = self._leaving ^ frozenset(target_ids)
        self._leaving = frozenset(target_ids)
        for target_id in changed:
            self._update_view(target_id)

    def runners(self):
        """Return the RunnerView of every runner that is not dead."""
        return [view for view in self._views.values() if view.state != "dead"]

    def changes_since(self, sequence):
        """Return ``(from_sequence, runners)``: the changes since ``sequence``.

        Returns 0 and all runners if a tombstone after ``sequence`` was dropped.
        """
        if sequence < self._floor_sequence or not 0 < sequence <= self.sequence:
            return 0, self.runners()
        changed = []
        for runner_id, at_sequence in reversed(self._changed.items()):
            if at_sequence <= sequence:
                break
            changed.append(self._views[runner_id])
        return sequence, changed[::-1]

    def _classify(self, known, announced):
        if known is None:
            return "gone" if announced.state == "gone" else "new"
        if known.announced.boot_id != announced.boot_id:
            return "restarted"
        if known.reported and announced.sequence <= known.announced.sequence:
            return "stale"
        return "gone" if announced.state == "gone" else "renewed"

    def _state_after_silence(self, target, now_ms):
        if target.state == "dead":
            return "dead"
        silent_ms = now_ms - target.last_contact_ms
        if silent_ms >= self._lease_ms:
            return "dead"
        if silent_ms >= self._timing.suspect_after_ms and target.state == "ready":
            return "suspect"
        return target.state

    def _add_outage(self, outages_ms, now_ms):
        recent = [at for at in outages_ms if now_ms - at < FLAP_WINDOW_MS]
        return (*recent, now_ms)[-MAX_FLAPS:]

    def _is_damped(self, outages_ms, now_ms):
        is_flapping = (
            len(outages_ms) >= MAX_FLAPS and now_ms - outages_ms[0] < FLAP_WINDOW_MS
        )
        return is_flapping and now_ms - outages_ms[-1] < FLAP_DAMPING_MS

    def _update_view(self, target_id):
        """Give the runner's view the next sequence if the view changed."""
        target = self.targets.get(target_id)
        before = self._views.get(target_id)
        if target is None:
            view = before and before._replace(state="dead")
        elif target.announced.kind == "runner":
            view = self._view(target)
        else:
            return
        if view is None or view == before:
            return
        self.sequence += 1
        self._views[target_id] = view
        self._changed.pop(target_id, None)
        self._changed[target_id] = self.sequence
        self._trim()

    def _view(self, target):
        announced = target.announced
        state = target.state
        if state != "dead" and announced.target_id in self._leaving:
            state = "leaving"
        return placer.RunnerView(
            announced.target_id,
            announced.boot_id,
            announced.service,
            announced.address,
            announced.vm,
            announced.rack,
            announced.failure_domain,
            announced.slots,
            announced.connections,
            state,
        )

    def _trim(self):
        dead = [key for key, view in self._views.items() if view.state == "dead"]
        if len(dead) <= MAX_TOMBSTONES:
            return
        for runner_id in sorted(dead, key=self._changed.get)[: len(dead) // 2]:
            self._floor_sequence = max(
                self._floor_sequence, self._changed.pop(runner_id)
            )
            del self._views[runner_id]
            self.targets.pop(runner_id, None)


def from_worker_record(record, failure_domain):
    """Convert a WorkerRecord of the previous owner into an announcement."""
    return Announcement(
        record.worker_id,
        "worker",
        record.boot_id,
        0,
        "ready",
        record.vm,
        record.rack,
        failure_domain,
        record.address,
        0,
        record.capacity,
        common.Resources(0, 0, 0),
        (),
        "",
        "",
        0,
        0,
        "",
    )


def from_runner_view(view):
    """Convert a RunnerView of the previous owner into an announcement."""
    nothing = common.Resources(0, 0, 0)
    return Announcement(
        view.runner_id,
        "runner",
        view.boot_id,
        0,
        "leaving" if view.state == "leaving" else "ready",
        view.vm,
        view.rack,
        view.failure_domain,
        view.address,
        0,
        nothing,
        nothing,
        (),
        view.service,
        "",
        view.slots,
        view.connections,
        "",
    )


def worker_record(announced, gone=False):
    """Convert a worker's announcement into a WorkerRecord."""
    return placer.WorkerRecord(
        announced.target_id,
        announced.boot_id,
        announced.vm,
        announced.rack,
        announced.address,
        announced.capacity,
        gone,
    )
