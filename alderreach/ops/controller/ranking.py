"""The ranks of the waiting and running steps; see ``decisions/cell/order.py``."""

from alderreach.decisions.cell import order


class Ranks:
    """The ranks of one term of leadership, each computed once while it is needed."""

    def __init__(self, leader):
        self._leader = leader
        self._ranks = {}

    def get(self, job, group):
        """The ``order.Rank`` of a group."""
        rank = self._ranks.get(group)
        if rank is None:
            leader, steps = self._leader, job.record.steps
            rank = self._ranks[group] = order.rank(
                leader.queue_of(job),
                job,
                group.step,
                due_ms(job, group),
                leader.shares.eligible_ms(group.job_id),
                [leader.learned.task_ms(job, number) for number in range(len(steps))],
                leader.learned.tolerance(job),
            )
        return rank

    def forget(self, group):
        """Drop the rank of a group."""
        self._ranks.pop(group, None)

    def clear(self):
        """Drop all ranks, after a change of the configuration."""
        self._ranks.clear()

    def tidy(self):
        """Drop the ranks of jobs that have ended."""
        self._leader.drop_ended(self._ranks)


def due_ms(job, group):
    """When a group's occurrence is due: on acceptance unless the job repeats."""
    record = job.record
    if not record.repeat_count:
        return job.accepted_ms
    return record.first_due_ms + group.occurrence * record.interval_ms
