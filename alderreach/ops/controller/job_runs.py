"""The runs of one job, as far as its leader knows them."""

import typing

from alderreach.core import cell_state


class JobRuns(typing.NamedTuple):
    """The runs of a job that may be at work.

    ``known`` has the (worker, run) of those that the leader knows as the tasks' latest.
    The others are names: ``missing`` those that the state has as placed, but the leader
    does not know, and ``in_doubt`` those that were given up but may not be over.
    """

    known: list
    missing: list
    in_doubt: list


def find(leader, job):
    """The ``JobRuns`` of a job."""
    known, missing, in_doubt = found = JobRuns([], [], [])
    for (occurrence, number), tasks in job.groups.items():
        for index, task in enumerate(tasks):
            key = cell_state.TaskKey(job.record.job_id, occurrence, number, index)
            in_doubt += [
                name_of(key, each.run, each.target_id) for each in task.in_doubt
            ]
            if task.state != cell_state.PLACED:
                continue
            worker = leader.workers.get(task.target_id)
            run = worker.runs.get(key) if worker else None
            if run is None:
                missing.append(name_of(key, task.run, task.target_id))
            else:
                known.append((worker, run))
    return found


def count_pending(leader, queue_name):
    """The number of accepted jobs of a queue of which nothing has run.

    Jobs with repeated occurrences don't count.
    """
    return sum(
        job.state == cell_state.ACTIVE
        and not job.record.repeat_count
        and job.record.queue.name == queue_name
        and not leader.has_begun(job)
        for job in leader.state.jobs.values()
    )


def name_of(key, run_number, target_id):
    """The name of a run on a worker, as in the log."""
    return f"{key}/{run_number}@{target_id}"
