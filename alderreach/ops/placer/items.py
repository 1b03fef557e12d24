"""Applies the keepers' items to an owner: teams, services, jobs, cancellations.

Items arrive in two ways: all are read when ownership is granted, and each is pushed
when it changes. The version ensures that an item is applied only once.
"""

from alderreach.core import codec
from alderreach.core.generated import common, placer
from alderreach.ops.placer import jobs

JOB_RETENTION_MS = 3_600_000
SHARED_PREFIXES = ("team/", "workload/", "maintenance/", "owner/", "target/")


def followed_prefixes(failure_domain):
    """Return the prefixes of the items a placer follows."""
    return (*SHARED_PREFIXES, f"job/{failure_domain}/", f"cancel/{failure_domain}/")


def read_prefixes(failure_domain):
    """Return the prefixes a new owner reads in their current state before it acts."""
    kinds = ("job", "done", "lost", "status", "cancel", "placed")
    return tuple(f"{kind}/{failure_domain}/" for kind in kinds)


class Items:
    """Applies items to the ``placing`` of one epoch.

    ``windows`` maps keys to maintenance windows. ``death_declarations`` maps targets
    that an operator declared dead to the time when this owner received the item.
    """

    def __init__(self, placing, failure_domains):
        self._placing = placing
        self._failure_domains = failure_domains
        self._versions = {}
        self._services = {}
        self.windows = {}
        self.death_declarations = {}

    def load(self, items, now_ms):
        """Apply all items at takeover; returns the WorkerPlacements among them."""
        by_kind = {}
        for item in items:
            by_kind.setdefault(item.key.partition("/")[0], []).append(item)
        for kind in ("team", "maintenance", "target"):
            for item in by_kind.get(kind, ()):
                self.apply(item, now_ms)
        self._load_jobs(by_kind, now_ms)
        for item in by_kind.get("workload", ()):
            self.apply(item, now_ms)
        return [
            codec.decode(item.value, placer.WorkerPlacements)
            for item in by_kind.get("placed", ())
        ]

    def _load_jobs(self, by_kind, now_ms):
        """Submit jobs together with their ended tasks, losses and cancellations."""
        states = {}
        for item in by_kind.get("job", ()):
            self._versions[item.key] = item.version
            states[_name(item)] = jobs.JobState(codec.decode(item.value, common.Job))
        for item in by_kind.get("status", ()):
            if _name(item) in states:
                state = states[_name(item)]
                state.status = codec.decode(item.value, common.JobStatus)
                state.final_durable = state.is_final
        for item in by_kind.get("done", ()):
            if _name(item) in states:
                jobs.load_ended(states[_name(item)], item.value)
        for item in by_kind.get("lost", ()):
            if _name(item) in states:
                jobs.load_lost(states[_name(item)], item.value)
        for item in by_kind.get("cancel", ()):
            self._versions[item.key] = item.version
            if _name(item) in states:
                states[_name(item)].cancelled = True
        for state in states.values():
            self._placing.submit(state, now_ms)

    def apply(self, item, now_ms):
        """Apply one item unless this or a newer version was applied before."""
        if item.version <= self._versions.get(item.key, -1):
            return
        self._versions[item.key] = item.version
        kind = item.key.partition("/")[0]
        if kind == "team":
            self._apply_team(item)
        elif kind == "workload":
            self._apply_workload(item, now_ms)
        elif kind == "maintenance":
            self._apply_window(item)
        elif kind == "target":
            self._apply_death_declaration(item, now_ms)
        elif kind == "job":
            self._apply_job(item, now_ms)
        elif kind == "cancel" and item.value is not None:
            self._placing.cancel(_name(item), now_ms)

    def _apply_team(self, item):
        scheduler = self._placing.scheduler
        if item.value is None:
            scheduler.remove_team(_name(item))
        else:
            scheduler.set_team(codec.decode(item.value, common.Team))

    def _apply_workload(self, item, now_ms):
        """Run this domain's share of a service; a change replaces the old job."""
        before = self._services.get(item.key)
        workload = None
        if item.value is not None:
            workload = codec.decode(item.value, common.Workload)
        job = workload and self._service_job(workload)
        if job and before and before.job_id == job.job_id:
            self._services[item.key] = job
            self._placing.resize(job, now_ms)
            return
        if before is not None:
            self._placing.cancel(before.job_id, now_ms)
            del self._services[item.key]
        if job:
            while job.job_id in self._placing.jobs:
                job = job._replace(job_id=f"{job.job_id}-again")
            self._services[item.key] = job
            state = jobs.JobState(job, is_service=True, service=workload.name)
            self._placing.submit(state, now_ms)

    def _service_job(self, workload):
        domain = self._placing.failure_domain
        tasks = jobs.service_share(workload, domain, self._failure_domains)
        if workload.kind != "service" or tasks < 1:
            return None
        return jobs.service_job(workload, domain, tasks)

    def _apply_window(self, item):
        if item.value is None:
            self.windows.pop(item.key, None)
        else:
            self.windows[item.key] = codec.decode(item.value, common.MaintenanceWindow)

    def _apply_death_declaration(self, item, now_ms):
        """Store or remove an operator's declaration that a target is dead."""
        if item.value is None:
            self.death_declarations.pop(_name(item), None)
        else:
            self.death_declarations[_name(item)] = now_ms

    def _apply_job(self, item, now_ms):
        job_id = _name(item)
        if item.value is None:
            if not self._placing.placements.of_job(job_id):
                self._placing.jobs.pop(job_id, None)
            return
        if job_id not in self._placing.jobs:
            state = jobs.JobState(codec.decode(item.value, common.Job))
            self._placing.submit(state, now_ms)
            self._placing.record_event("job_taken", job_id=job_id, team=state.job.team)
            domain = self._placing.failure_domain
            if f"cancel/{domain}/{job_id}" in self._versions:
                self._placing.cancel(job_id, now_ms)

    def apply_death_declarations(self, now_ms):
        """Remove silent targets that an operator declared dead.

        A declaration refers to the target's current silence. It is deleted once it was
        applied, or once the target reports again, so that it can't apply to a later
        silence. It stays pending while the target is not yet suspect or dead.
        """
        for target_id, received_ms in list(self.death_declarations.items()):
            target = self._placing.members.targets.get(target_id)
            if target is not None:
                has_responded = target.reported and target.last_contact_ms > received_ms
                if not has_responded and target.state not in ("suspect", "dead"):
                    continue
                if not has_responded:
                    self._placing.declare_dead(target_id, now_ms)
            del self.death_declarations[target_id]
            self._placing.ledger.delete(f"target/{target_id}")

    def drop_old_jobs(self, wall_ms):
        """Delete the items of jobs that ended more than ``JOB_RETENTION_MS`` ago."""
        domain = self._placing.failure_domain
        for job_id, state in list(self._placing.jobs.items()):
            if not state.final_durable or state.is_service:
                continue
            if wall_ms - state.status.updated_wall_ms > JOB_RETENTION_MS:
                for kind in ("job", "cancel", "done", "lost", "status"):
                    self._placing.ledger.delete(f"{kind}/{domain}/{job_id}")
                del self._placing.jobs[job_id]


def _name(item):
    """Return the last part of an item's key."""
    return item.key.rpartition("/")[2]
