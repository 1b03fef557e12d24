"""The task that owns admission, queues and routing of one entry.

HTTP threads send messages to the task and wait on a ticket. They call the runners
themselves and report how each call ended. The decisions are made in
``decisions.serving``; this module holds the mailbox, the owners' views of their runners
and the tickets.
"""

import random
import typing

from alderreach.core import catalog, target_views
from alderreach.core.generated import errors, placer
from alderreach.decisions import serving
from alderreach.ops.entry import thread_shares
from alderreach.utils import tasks

ANSWER_MARGIN_MS = 1000


class Submit(typing.NamedTuple):
    """A request needs a runner; the ticket receives a Grant or a Refusal."""

    service: str
    request: serving.Request
    avoided: tuple[str, ...]
    ticket: tasks.Ticket


class Report(typing.NamedTuple):
    """An attempt has ended."""

    service: str
    ended: serving.AttemptEnded


class Withdraw(typing.NamedTuple):
    """The HTTP thread stopped waiting; a grant already made for it is released."""

    service: str
    request_id: str


class Published(typing.NamedTuple):
    """The part of the dispatcher's state that other threads may read."""

    waiting: int
    granted: int
    runners: int
    epochs: dict[str, int]


class Dispatcher:
    """The task; calls ``on_runner_removed(runner)`` for removed or restarted ones."""

    def __init__(self, context, on_runner_removed=lambda runner: None):
        self._context = context
        self._clock = context.clock
        self._on_runner_removed = on_runner_removed
        self._random = random.Random(context.boot_id)
        self._catalog = catalog.EMPTY
        self._services = {}
        self._views = {}
        self._domains_with_gaps = set()
        self._tickets = {}
        self._granted = {}
        self._runners = {}
        self._next_watch_ms = 0
        self._placers = [p for p in context.settings.peers if p.role == "placer"]
        self._location = _location(context.settings)
        self._max_served = thread_shares.divide(
            context.settings.limits.http_threads
        ).served
        self.published = Published(0, 0, 0, {})
        self._handlers = {
            Submit: self._submit,
            Report: self._report,
            Withdraw: self._withdraw,
            catalog.Catalog: self._set_catalog,
            placer.TargetsView: self._apply_view,
        }
        self._task = tasks.Task("dispatcher", self._handle, self._tick, context.clock)

    def start(self):
        """Start the task and return the dispatcher."""
        self._task.start()
        return self

    def close(self):
        """End the task."""
        self._task.close()

    def enqueue(self, message):
        """Send the task one of its messages; never blocks."""
        self._task.put(message)

    def request_runner(self, service, request, avoided=()):
        """Wait for a runner; return a ``serving.Grant`` or a ``serving.Refusal``."""
        ticket = tasks.Ticket()
        self.enqueue(Submit(service, request, avoided, ticket))
        remaining_ms = max(0, request.deadline_ms - self._clock.monotonic_ms())
        decision = ticket.wait(remaining_ms + ANSWER_MARGIN_MS)
        if decision is None:
            self.enqueue(Withdraw(service, request.request_id))
            kind = errors.Kind.DEADLINE_PASSED
            decision = serving.Refusal(request.request_id, kind, ANSWER_MARGIN_MS)
        return decision

    def report(self, service, ended):
        """Report how a granted attempt ended."""
        self.enqueue(Report(service, ended))

    def _handle(self, message):
        self._handlers[type(message)](message)

    def _submit(self, message):
        now_ms = self._clock.monotonic_ms()
        self._tickets[message.request.request_id] = message.ticket
        service = self._service(message.service)
        if len(self._tickets) + len(self._granted) > self._max_served:
            self._carry_out([service.refuse(message.request)])
            return
        self._carry_out(
            service.submit(
                message.request, now_ms, message.avoided, self._free_places()
            )
        )

    def _report(self, message):
        service = self._service(message.service)
        self._granted.pop(message.ended.request_id, None)
        self._carry_out(
            service.on_attempt_ended(message.ended, self._clock.monotonic_ms())
        )

    def _withdraw(self, message):
        """Remove a request, and free its runner if it was granted one by now."""
        self._tickets.pop(message.request_id, None)
        self._service(message.service).withdraw(message.request_id)
        grant = self._granted.get(message.request_id)
        if grant is not None:
            ended = serving.AttemptEnded(
                message.request_id, grant.runner.runner_id, serving.WITHDRAWN, 0, 0
            )
            self._report(Report(message.service, ended))

    def _carry_out(self, decisions):
        for decision in decisions:
            ticket = self._tickets.pop(decision.request_id, None)
            if isinstance(decision, serving.Grant):
                self._granted[decision.request_id] = decision
            if ticket is not None:
                ticket.answer(decision)

    def _service(self, name):
        service = self._services.get(name)
        if service is None:
            limits = self._context.settings.limits
            service = serving.Service(self._location, limits.queue_length, self._random)
            self._services[name] = service
            self._configure(name, service)
            service.set_runners(self._runners_of(name))
        return service

    def _runners_of(self, name):
        return [runner for runner in self._runners.values() if runner.service == name]

    def _set_catalog(self, new_catalog):
        self._catalog = new_catalog
        for name, service in self._services.items():
            self._configure(name, service)

    def _configure(self, name, service):
        weights = {team.name: team.weight for team in self._catalog.teams.values()}
        workload = self._catalog.services.get(name)
        service.configure(weights, workload.expected_run_ms if workload else 0)

    def _apply_view(self, pushed):
        domain = pushed.failure_domain
        before = self._views.get(domain, target_views.EMPTY)
        applied = target_views.apply(before, pushed)
        self._domains_with_gaps.discard(domain)
        if applied.has_gap:
            self._domains_with_gaps.add(domain)
            self._watch(domain)
        if applied.view is before:
            return
        self._views[domain] = applied.view
        if applied.view.epoch != before.epoch:
            self._context.timeline.record(
                "targets_owner_seen", epoch=applied.view.epoch, detail=domain
            )
        self._set_runners()

    def _set_runners(self):
        before = self._runners
        self._runners = {
            runner.runner_id: runner
            for view in self._views.values()
            for runner in view.runners.values()
        }
        for runner in before.values():
            after = self._runners.get(runner.runner_id)
            if after is None or after.boot_id != runner.boot_id:
                self._on_runner_removed(runner)
            if after is None or after.state != runner.state:
                self._context.timeline.record(
                    "target_state_seen",
                    target_id=runner.runner_id,
                    detail=after.state if after else target_views.DEAD,
                )
        now_ms = self._clock.monotonic_ms()
        for name, service in self._services.items():
            service.set_runners(self._runners_of(name))
            self._carry_out(service.dispatch(now_ms))

    def _tick(self):
        now_ms = self._clock.monotonic_ms()
        for name, service in self._services.items():
            decisions, changes = service.tick(now_ms)
            self._carry_out(decisions)
            for change in changes:
                self._context.timeline.record(
                    f"target_{change.what}", target_id=change.target_id, detail=name
                )
        if now_ms >= self._next_watch_ms:
            self._next_watch_ms = (
                now_ms + self._context.settings.timing.watch_interval_ms
            )
            for domain in {peer.failure_domain for peer in self._placers}:
                self._watch(domain)
        self._publish()
        # An idle task only has to poll the owners; any message wakes it earlier.
        is_idle = not self._granted and not self._tickets
        return self._next_watch_ms - now_ms if is_idle else None

    def _watch(self, domain):
        view = self._views.get(domain, target_views.EMPTY)
        message = target_views.watch_request(view, domain in self._domains_with_gaps)
        for peer in self._placers:
            if peer.failure_domain == domain:
                self._context.transport.send(peer.address, message)

    def _publish(self):
        self.published = Published(
            sum(service.waiting for service in self._services.values()),
            len(self._granted),
            len(self._runners),
            {domain: view.epoch for domain, view in self._views.items()},
        )

    def _free_places(self):
        """Return how many more requests, of any service, may wait in the queue."""
        waiting = sum(service.waiting for service in self._services.values())
        return max(0, self._context.settings.limits.queue_length - waiting)


def _location(settings):
    """Return this entry's failure domain and the number of entries around it."""
    domain = settings.process.failure_domain
    entries = [peer for peer in settings.peers if peer.role == "entry"]
    entries_in_domain = sum(peer.failure_domain == domain for peer in entries)
    return serving.EntryLocation(domain, entries_in_domain + 1, len(entries) + 1)
