"""Simulates a leader under load in virtual time, without network, log or threads.

The decisions are made by the leader's own code (``ops/controller``); workers, the
permission service and commits to the log are modelled by delays. Tests and benches
submit jobs, advance the time, and compare each job's duration with its objective.

>>> made = VirtualCell([virtual_parts.queue("q")], [virtual_parts.worker(1, 4000)])
>>> work = virtual_parts.Work(virtual_parts.step(2, 1000), [300, 400])
>>> made.submit("q", "j1", [work])
>>> made.run_until(2000)
>>> made.outcomes()["q"].on_time
1
"""

import collections
import math
import random
import time

from alderreach.core import cell_state
from alderreach.core.generated import cell
from alderreach.ops.controller import (
    director,
    leader_state,
    order_answers,
    permission_answers,
    requests,
    running,
    target_link,
    worker_polls,
)
from alderreach.ops.keeper import extension
from alderreach.utils import clocks, metrics
from tools import (
    virtual_load,
    virtual_parts,
    virtual_settings,
    virtual_tasks,
    virtual_workers,
)

# One-way delay to a worker, and the time to commit a batch: one disk sync and one round
# trip to the voters.
HOP_MS = 1.0
COMMIT_MS = 8.0
TICK_MS = 20
LATE_AFTER_OBJECTIVES = 3
# A submission without an answer is sent again after this time.
CALLER_RETRY_MS = 1000
# Outcomes of a job.
ON_TIME = "on_time"
LATE = "late"
NEVER = "never"
# Kinds of answers of the permission service.
DECIDED = "decided"
UNDECIDED = "undecided"
SILENT = "silent"


class VirtualCell:
    """One leader at a time, its workers and the permission service.

    ``helpers`` is the number of processes that query the permission service, which lets
    the steps of a queue run on the share of the workers in ``permitted_shares``.
    ``customers`` are ``cell.CustomerConfig``, or None if jobs have no customers.
    ``slowness`` has the factor by which tasks take longer, by worker id; 1 by default.
    ``cpu_s`` is the processor time used by the leader's own code, ``cpu_by_second`` the
    same per second of virtual time, and ``waits`` holds the fields of each report on a
    step that has waited for a long time. ``silent_helpers`` accept queries and never
    answer; ``cut_helpers`` answer at once that the service can't be reached.
    ``refusals`` maps the ids of jobs that were refused because of load to the times of
    refusal, and the time until each may be submitted again.
    """

    def __init__(
        self,
        queues,
        records,
        helpers=12,
        permitted_shares=None,
        seed=1,
        restore_ms=600.0,
        customers=None,
        slowness=None,
    ):
        self.loop = virtual_load.Loop()
        self.rng = random.Random(seed)
        self._tasks = virtual_tasks.Tasks(self.loop, self.rng, restore_ms)
        self.cpu_s = 0.0
        self.cpu_by_second = collections.Counter()
        self.starts = 0
        self.stops = 0
        self.moves = 0
        self.polls = 0
        self.queries = 0
        self.waits = []
        self.refusals = collections.defaultdict(list)
        self.silent_helpers = set()
        self.cut_helpers = set()
        self._queues = {queue.name: queue for queue in queues}
        self._permitted_shares = permitted_shares or {}
        self._helpers = [f"helper-{number}" for number in range(helpers)]
        self._completed_ms = {}
        self._submissions = {}
        self._customers = {}
        slowness = slowness or {}
        self._machines = {
            record.target_id: virtual_workers.Machine(
                self, record, slowness.get(record.target_id, 1.0)
            )
            for record in records
        }
        self._log = cell_state.CellState()
        services = sorted({queue.service for queue in queues})
        pools = [cell.ServiceConfig(name, False, False) for name in services]
        self._log.config = cell.CellConfig(1, list(queues), pools, b"{}", customers)
        self._log.targets = {record.target_id: record for record in records}
        self._epoch = 0
        self.term = None
        self._start_term()
        self.loop.after(0, self._tick)
        self._send_heartbeats()

    def submit(self, queue_name, job_id, works, customer=""):
        """Submit a job now; the digest of a customer's key is its name."""
        self._tasks.add(job_id, works)
        request = cell.SubmitJob(
            virtual_parts.HOST,
            f"/{queue_name}/{job_id}",
            "run",
            [w.step for w in works],
            0,
            0,
            0,
            customer.encode(),
        )
        objective_ms = virtual_parts.objective_ms(self._queues[queue_name], works)
        self._submissions[job_id] = (queue_name, self.loop.now_ms, objective_ms)
        self._customers[job_id] = customer
        self._submit_until_accepted(request)

    def restore(self, record, works):
        """Add a job to the log that an earlier leader has accepted."""
        self._tasks.add(record.job_id, works)
        now_ms = int(self.loop.now_ms)
        accepted = [cell.JobAccepted(record, now_ms)]
        change = cell_state.empty_change()._replace(accepted=accepted)
        cell_state.apply(self._log, change, now_ms)

    def submit_at(self, time_ms, queue_name, job_id, works, customer=""):
        """Submit a job at a later time."""
        self.loop.at(time_ms, lambda: self.submit(queue_name, job_id, works, customer))

    def _submit_until_accepted(self, request):
        answers = []

        def on_answer(answer):
            answers.append(answer)
            if answer.retry_after_ms:
                self._note_refusal(request, answer)
                self.loop.after(answer.retry_after_ms, submit_again)

        def submit_again():
            self._submit_until_accepted(request)

        def retry_if_unanswered():
            if not answers:
                submit_again()

        self._request(request, on_answer)
        self.loop.after(CALLER_RETRY_MS, retry_if_unanswered)

    def _note_refusal(self, request, answer):
        if answer.kind == requests.OVERLOADED:
            job_id = request.path.rpartition("/")[2]
            row = (self.loop.now_ms, answer.retry_after_ms)
            self.refusals[job_id].append(row)

    def run_until(self, end_ms):
        """Advance the virtual time."""
        self.loop.run_until(end_ms)
        self._record_completions()

    def outcomes(self):
        """The ``virtual_parts.Outcome`` of each queue."""
        self._record_completions()
        counts = collections.defaultdict(collections.Counter)
        for job_id, (queue_name, _due_ms, _objective_ms) in self._submissions.items():
            counts[queue_name][self.outcome_of(job_id)] += 1
        return {
            name: virtual_parts.Outcome(
                count.total(), count[ON_TIME], count[LATE], count[NEVER]
            )
            for name, count in counts.items()
        }

    def outcome_of(self, job_id):
        """Whether a job has been completed ON_TIME, LATE or NEVER so far."""
        _queue_name, submitted_ms, objective_ms = self._submissions[job_id]
        took_ms = self._completed_ms.get(job_id, math.inf) - submitted_ms
        if took_ms <= objective_ms:
            return ON_TIME
        return LATE if took_ms <= LATE_AFTER_OBJECTIVES * objective_ms else NEVER

    def timed_jobs(self):
        """The (job id, queue name) of all jobs that end by themselves."""
        return [
            (job_id, queue_name)
            for job_id, (queue_name, _ms, _objective_ms) in self._submissions.items()
            if not any(step.long_running for step in self._tasks.steps_of(job_id))
        ]

    def customer_of(self, job_id):
        """The customer that submitted a job; empty for none."""
        return self._customers[job_id]

    def completed_ms(self, job_id):
        """When a job was completed, or None."""
        return self._completed_ms.get(job_id)

    def slow_down_at(self, time_ms, target_ids, slowness):
        """Make tasks that start on workers from a given time on take longer."""

        def slow_down(machine):
            machine.slowness = slowness

        for target_id in target_ids:
            machine = self._machines[target_id]
            self.loop.at(time_ms, lambda machine=machine: slow_down(machine))

    def leave_at(self, time_ms, target_ids):
        """Make workers leave at a given time, with all their runs, for good."""
        for target_id in target_ids:
            self.loop.at(time_ms, self._machines[target_id].leave)

    def crash_at(self, time_ms, target_ids):
        """Make workers crash at a given time; calls to them time out."""
        for target_id in target_ids:
            self.loop.at(time_ms, self._machines[target_id].crash)

    def join_at(self, time_ms, records):
        """Make workers join at a given time."""
        for record in records:
            self.loop.at(time_ms, lambda record=record: self._join(record))

    def cut_off_at(self, time_ms, target_ids, for_ms):
        """Cut workers off for ``for_ms``: they neither receive nor answer calls."""
        for target_id in target_ids:
            machine = self._machines[target_id]
            self.loop.at(time_ms, machine.cut_off)
            self.loop.at(time_ms + for_ms, machine.reconnect)

    def drain_at(self, time_ms, target_ids, for_ms):
        """Make workers drain from a given time on, and leave ``for_ms`` later."""
        for target_id in target_ids:
            self.loop.at(time_ms, lambda name=target_id: self._drain(name))
            self.loop.at(time_ms + for_ms, lambda name=target_id: self._withdraw(name))

    def lose_leader_at(self, time_ms, for_ms):
        """End the leader and lose all it has not committed; start another later."""
        self.loop.at(time_ms, self._lose_leader)
        self.loop.at(time_ms + for_ms, self._start_term)

    def call(self, callback):
        """Call a function at a worker, after the network delay."""
        self.loop.after(HOP_MS, callback)

    def deliver(self, answer):
        """Deliver the answer of a worker to the leader, after the network delay."""
        self.loop.after(
            HOP_MS, lambda: self._run_leader(lambda: self._handle_answer(answer))
        )

    def work_of(self, order):
        """How long a run takes, and how it ends."""
        return self._tasks.work_of(order)

    def step_of(self, key):
        """The step of a task."""
        return self._tasks.step_of(key)

    def on_run_started(self, machine, run):
        """A run has started on a worker."""
        self._tasks.on_run_started(machine, run)

    def on_run_ended(self, machine, run, how):
        """A run has ended on a worker, or together with it."""

    def save(self, run, how, now_ms):
        """Save the progress of a run that ends; returns its checkpoint, or ''."""
        return self._tasks.save(run, how, now_ms)

    def _start_term(self):
        """Start a new term of leadership from the committed state."""
        self._epoch += extension.TERM_STEP
        now_ms = lambda: int(self.loop.now_ms)
        settings = virtual_settings.parsed()
        self.term = director.LeadershipTerm(
            self._epoch,
            leader_state.Environment(
                settings=settings,
                clock=clocks.Clock(now_ms, now_ms),
                metrics=metrics.Metrics(),
                record=self._record,
                confirm=lambda callback, _refuse: self._after_commit(callback),
                confirmed_ms=now_ms,
                committed=lambda: self._log,
                cell_offset_ms=lambda: 0,
                is_time_known=lambda: True,
                helpers=lambda: self._helpers,
                send_query=self._send_query,
                open_link=self._open_link,
            ),
        )
        self.loop.after(HOP_MS, self._deliver_heartbeats)

    def _lose_leader(self):
        self.term = None

    def _after_commit(self, callback):
        """Call a function after a commit, if the term has not ended by then."""
        term = self.term

        def if_leading():
            if self.term is term:
                callback()

        self.loop.after(COMMIT_MS, if_leading)

    def _open_link(self, record, epoch):
        return virtual_workers.Link(self, self._machines[record.target_id], epoch)

    def _record(self, kind, **fields):
        self.starts += kind == "run_placed"
        self.stops += kind == "run_preempted"
        self.moves += kind == "run_moved"
        self.queries += kind == "permission_asked"
        if kind == "step_waits":
            self.waits.append(fields)

    def _handle_answer(self, answer):
        if answer.epoch != self._epoch:
            return
        if isinstance(answer, target_link.OrderAnswered):
            order_answers.handle_order_answer(self.term.leader, answer)
        else:
            self.polls += 1
            worker_polls.handle_poll_answer(self.term.leader, answer)

    def _run_leader(self, callback):
        """Run a function of the leader, then plan and commit the decisions."""
        if self.term is None:
            return
        began_s = time.process_time()
        callback()
        self.term.planner.plan(int(self.loop.now_ms))
        batch, effects = self.term.leader.pop_batch()
        took_s = time.process_time() - began_s
        self.cpu_s += took_s
        self.cpu_by_second[int(self.loop.now_ms // 1000)] += took_s
        if batch is not None:
            self._after_commit(lambda: self._on_commit(batch, effects))

    def _on_commit(self, batch, effects):
        cell_state.apply_batch(self._log, batch)
        self._record_completions()
        for effect in effects:
            self._run_leader(effect)

    def _tick(self):
        def tick():
            now_ms = int(self.loop.now_ms)
            self.term.leader.permissions.give_up_overdue(now_ms)
            running.tick(self.term.leader, now_ms)

        self._run_leader(tick)
        self.loop.after(TICK_MS, self._tick)

    def _send_heartbeats(self):
        self.loop.after(1000, self._send_heartbeats)
        self._deliver_heartbeats()
        if self.term is not None:
            self.term.leader.tidy()
            self.term.planner.tidy()
            self.term.admission.tidy()

    def _deliver_heartbeats(self):
        """Deliver a heartbeat of each worker that is in contact.

        A new leader gets the latest ones from the other controllers at once.
        """
        if self.term is None:
            return
        for target_id, machine in self._machines.items():
            if machine.has_ended or machine.is_cut_off:
                continue
            worker = self.term.leader.workers.get(target_id)
            if worker is None or worker.record != machine.record:
                self._announce(machine.record)
            else:
                worker.record_heartbeat(-1, int(self.loop.now_ms))

    def _announce(self, record):
        """Send a heartbeat that contains a change."""
        now_ms = int(self.loop.now_ms)
        self._request(cell.AnnounceTarget(record, now_ms, now_ms))

    def _join(self, record):
        self._machines[record.target_id] = virtual_workers.Machine(self, record)
        self._announce(record)

    def _drain(self, target_id):
        machine = self._machines[target_id]
        machine.record = machine.record._replace(state="draining")
        if not machine.has_ended and not machine.is_cut_off:
            self._announce(machine.record)

    def _withdraw(self, target_id):
        machine = self._machines[target_id]
        if not machine.has_ended and not machine.is_cut_off:
            self._request(cell.WithdrawTarget(target_id))
        machine.leave()

    def _request(self, request, reply=lambda answer: None):
        self._run_leader(lambda: requests.handle(self.term, request, reply))

    def answer_kind(self, query):
        """How the permission service answers a query: DECIDED, UNDECIDED or SILENT."""
        return DECIDED

    def _send_query(self, query):
        how = self.answer_kind(query)
        if query.helper in self.silent_helpers or how == SILENT:
            return
        job = self.term.leader.state.jobs[query.group[0]]
        rule = self.term.leader.queue_of(job).permission
        took_ms = rule.decision_ms + rule.per_target_ms * len(query.target_ids)
        granted = [
            cell.Ticket(target_id, "t")
            for target_id in query.target_ids
            if self._may_run(job, query.group, target_id)
        ]
        is_cut = query.helper in self.cut_helpers
        is_decided = how == DECIDED and not is_cut
        answer = cell.PermissionAnswer(
            query.query_id, is_decided, granted if is_decided else []
        )
        term = self.term

        def tell():
            if self.term is term:
                self._run_leader(
                    lambda: permission_answers.handle_answer(term.leader, answer)
                )

        self.loop.after(2 * HOP_MS + (0 if is_cut else took_ms), tell)

    def _may_run(self, job, group, target_id):
        share = self._permitted_shares.get(job.record.queue.name, 1.0)
        return random.Random(f"{group}{target_id}").random() < share

    def _record_completions(self):
        jobs = self.term.leader.state.jobs if self.term else self._log.jobs
        for job_id in self._submissions:
            is_done = job_id in jobs and jobs[job_id].state == cell_state.COMPLETED
            if is_done and job_id not in self._completed_ms:
                self._completed_ms[job_id] = self.loop.now_ms
