"""The check that nothing of a cancelled job starts or runs on, for the simulated cell.

No start is sent later than ``CANCEL_MS`` after the cancellation of its job was
acknowledged to the caller. A run has to be gone ``CANCEL_MS`` and ``STOP_TIMEOUT_MS``
after that acknowledgement. Late orders of other runs are no excuse. These are:

- a controller that is down, frozen or cut off, or a worker that is cut off: the time
  counts from ``STABLE_WINDOW_MS`` after the last such disturbance;
- a start of the run itself that was carried out late: its time counts from
  ``STABLE_WINDOW_MS`` after that;
- a stop of the run itself that is held up: until it is carried out.
"""

from alderreach.core import orders
from alderreach.core.generated import cell
from tools.standins import cell_worker

CANCEL_MS = 3000
STOP_TIMEOUT_MS = 400
STABLE_WINDOW_MS = 3000


class CancelledRuns:
    """Acknowledged cancellations of a simulated cell, and what excuses their runs.

    ``acknowledged_ms`` maps a cancelled job to the time of its first acknowledgement.
    """

    def __init__(self, sim):
        self.acknowledged_ms = {}
        self._sim = sim
        self._requests = {}
        self._late_starts_ms = {}
        self._held_up_stops = {}
        self._disturbed_ms = None

    def on_request(self, request_id, message):
        """Note a request that cancels a job."""
        if isinstance(message, cell.CancelJob):
            self._requests[request_id] = message.path.rpartition("/")[2]

    def on_answer(self, request_id, answer):
        """Note the acknowledgement of a cancellation."""
        job_id = self._requests.get(request_id)
        if job_id and getattr(answer, "kind", "") == "accepted":
            self.acknowledged_ms.setdefault(job_id, self._sim.time.now_ms)

    def on_call(self, call, is_late):
        """Check that a start is not sent too late, and note a stop that is held up."""
        if isinstance(call.order, orders.Start):
            self._check_start(call.order)
        if is_late and isinstance(call.order, orders.Stop):
            run = (call.target_id, call.order.task, call.order.run)
            held_up_ms = self._held_up_stops.get(run, 0)
            self._held_up_stops[run] = max(held_up_ms, call.due_ms)

    def before_carried_out(self, call):
        """Note a start that is carried out late, unless its run is there already."""
        if not call.is_delayed or not isinstance(call.order, orders.Start):
            return
        present = self._sim.workers[call.target_id].running.get(call.order.task)
        if present is None or present.order.run != call.order.run:
            run = (call.target_id, call.order.task, call.order.run)
            self._late_starts_ms[run] = self._sim.time.now_ms

    def check(self):
        """Raise ``PromiseViolation`` if a run of a cancelled job has run on."""
        sim = self._sim
        if sim.cut or sim.frozen or len(sim.keepers) < len(sim.names):
            self._disturbed_ms = sim.time.now_ms
        if not self.acknowledged_ms:
            return
        for worker in sim.workers.values():
            for task, run in worker.running.items():
                job_id = task.partition(".")[0]
                if job_id in self.acknowledged_ms and not worker.is_down:
                    self._check_run(worker, task, run, self.acknowledged_ms[job_id])

    def _check_start(self, order):
        acknowledged_ms = self.acknowledged_ms.get(order.task.partition(".")[0])
        now_ms = self._sim.time.now_ms
        if acknowledged_ms is not None and now_ms > self._stopped_ms(acknowledged_ms):
            raise cell_worker.PromiseViolation(
                f"a start of {order.task} is sent {now_ms - acknowledged_ms} ms after"
                f" the cancellation of its job was acknowledged"
            )

    def _stopped_ms(self, acknowledged_ms):
        """The time after which there are no starts, and no runs with a prompt stop."""
        if self._disturbed_ms is None:
            return acknowledged_ms + CANCEL_MS
        calm_ms = self._disturbed_ms + STABLE_WINDOW_MS
        return max(acknowledged_ms, calm_ms) + CANCEL_MS

    def _check_run(self, worker, task, run, acknowledged_ms):
        now_ms = self._sim.time.now_ms
        gone_ms = self._stopped_ms(acknowledged_ms)
        run_id = (worker.name, task, run.order.run)
        if run_id in self._late_starts_ms:
            gone_ms = max(gone_ms, self._late_starts_ms[run_id] + STABLE_WINDOW_MS)
        gone_ms = max(gone_ms, self._held_up_stops.get(run_id, 0)) + STOP_TIMEOUT_MS
        if now_ms > gone_ms:
            raise cell_worker.PromiseViolation(
                f"{task} runs on {worker.name} {now_ms - acknowledged_ms} ms after the"
                f" cancellation of its job was acknowledged"
            )
