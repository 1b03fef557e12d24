"""Failures of placers as real processes: kill, stop, a cut-off failure domain."""

import contextlib
import itertools
import json
import uuid

import pytest

from alderreach.core import codec
from alderreach.core.generated import common, keeper, placer
from alderreach.utils import clocks, link_health, tasks, transport
from tests import keeper_support
from tools import cell, relay
from tools.standins import history, targets

FAST_SETTINGS = {
    "timing": dict(
        keeper_support.FAST_SETTINGS["timing"],
        target_heartbeat_ms=150,
        target_lease_ms=1500,
        suspect_after_ms=600,
        watch_interval_ms=100,
    )
}
# Longer than a takeover takes on a busy machine.
LONG_TARGET_LEASE_MS = 30_000
DOMAIN = "urubici"
CAPACITY = {"cpu_millis": 8000, "memory_mb": 8000, "accelerators": 0}
RELAY_PORT = 7500


class Domain:
    """One failure domain's placers and workers, with three keepers."""

    def __init__(self, running, stack):
        self.cell = running
        self.client = keeper_support.Client(running)
        stack.callback(self.client.close)
        self.placers = running.of_role("placer", DOMAIN)
        specs = targets.make_specs(running, DOMAIN, 4, 0, capacity=CAPACITY, run_ms=100)
        self.history = targets.start(running, "targets", specs)
        self.history.touch()
        self.replies = {}
        self.link = transport.Transport(
            ("cell", "probe", "b"),
            f"127.{running.octet}.9.9:7301",
            {},
            self._deliver,
            clocks.SYSTEM,
            link_health.Rules(250, 1000),
        ).start()
        stack.callback(self.link.close)
        self.client.write(
            "team/a",
            codec.encode(
                common.Team("a", common.Resources(10**6, 10**6, 0), 1, "packing")
            ),
        )

    def _deliver(self, received):
        ticket = self.replies.pop(received.message.request_id, None)
        if ticket is not None:
            ticket.answer(received.message)

    def ask(self, plan, message, timeout_ms=300):
        request_id = uuid.uuid4().hex
        ticket = self.replies[request_id] = tasks.Ticket()
        self.link.send(plan.peers, message._replace(request_id=request_id))
        return ticket.wait(timeout_ms)

    def owner(self):
        """Return the plan of the placer that owns the domain, or None."""
        for plan in self.placers:
            reply = self.ask(plan, placer.JobQuery("", "none"))
            if reply is not None and reply.owned:
                return plan
        return None

    def wait_owner(self, other_than=None):
        def found():
            owner = self.owner()
            return owner if owner is not other_than else None

        return cell.wait_until(found, "an owner")

    def standby(self):
        owner = self.wait_owner()
        return next(plan for plan in self.placers if plan is not owner)

    def submit(self, job_id, number, run_ms, kind="batch"):
        job = common.Job(
            job_id,
            "a",
            "w",
            kind,
            DOMAIN,
            common.Resources(1000, 100, 0),
            number,
            5,
            "move",
            False,
            0,
            json.dumps({"run_ms": run_ms}),
            0,
            "",
        )
        self.client.write(f"job/{DOMAIN}/{job_id}", codec.encode(job))

    def state(self, job_id):
        page = self.client.ask(keeper.ReadItems(f"status/{DOMAIN}/{job_id}"))
        if not page.items:
            return ""
        return codec.decode(page.items[0].value, common.JobStatus).state

    def wait_state(self, job_id, state):
        cell.wait_until(lambda: self.state(job_id) == state, f"{job_id} {state}")

    def started(self):
        return [e for e in history.read([self.history]) if e["event"] == "task_started"]


def check_history(path):
    """Assert from the workers' events: no capacity exceeded, no task in two places."""
    running = {}
    for event in history.read([path]):
        assert event["event"] != "capacity_exceeded", event
        key = event.get("task_id")
        if event["event"] == "task_started":
            assert key not in running, (running[key], event)
            running[key] = event
        elif event["event"] == "task_ended":
            running.pop(key, None)


@contextlib.contextmanager
def open_domain(
    tmp_path, address_of=lambda plan, peer: peer.peers, settings=FAST_SETTINGS
):
    with contextlib.ExitStack() as stack:
        running = stack.enter_context(
            cell.Cell(
                tmp_path,
                settings,
                domains=(DOMAIN,),
                vms=2,
                voters=3,
                address_of=address_of,
            )
        )
        names = [plan.name for plan in running.plans if plan.role != "entry"]
        running.start(names)
        running.wait_ready(names)
        domain = Domain(running, stack)
        yield domain
        check_history(domain.history)


@pytest.fixture
def domain(tmp_path):
    with open_domain(tmp_path) as opened:
        yield opened


@pytest.fixture
def long_lease_domain(tmp_path):
    """A domain whose targets' leases outlast a takeover, so that no task stops."""
    timing = FAST_SETTINGS["timing"] | {"target_lease_ms": LONG_TARGET_LEASE_MS}
    with open_domain(tmp_path, settings={"timing": timing}) as opened:
        yield opened


def test_jobs_cancelled_while_the_owner_is_dead_are_stopped(long_lease_domain):
    """The owner is killed while jobs run, and several jobs are cancelled after that.

    Operators cancel while the domain has no owner. The cancelled jobs must stop; the
    others must continue where they run and not start a second time. Leases of targets
    are long here, since tasks correctly stop and start again if a busy machine delays
    the takeover beyond their leases. placer_failures_test has the same failure with the
    default leases and exact times.
    """
    domain = long_lease_domain
    owner = domain.wait_owner()
    domain.submit("kept", 8, 4000)
    for number in range(5):
        domain.submit(f"wave{number}", 2, 60_000)
    cell.wait_until(lambda: len(domain.started()) == 18, "all tasks run")
    domain.cell.kill(owner.name)
    for number in range(5):
        domain.client.write(f"cancel/{DOMAIN}/wave{number}", b"")
    domain.wait_owner(other_than=owner)
    for number in range(5):
        domain.wait_state(f"wave{number}", "cancelled")
    domain.wait_state("kept", "finished")
    assert len(domain.started()) == 18


def test_owner_resumed_after_all_leases_becomes_the_standby(long_lease_domain):
    """The owner gets SIGSTOP for longer than its leases, then SIGCONT, while tasks run.

    It does not notice the pause. No command of its old epoch may start a task, and it
    must serve as the standby afterwards: to show this, the new owner is killed. Leases
    of targets are long here, since targets whose lease lapses first stop their tasks,
    which then correctly start again.
    """
    domain = long_lease_domain
    owner = domain.wait_owner()
    domain.submit("before", 8, 3000)
    cell.wait_until(lambda: len(domain.started()) == 8, "all tasks run")
    domain.cell.pause(owner.name)
    domain.submit("during", 8, 500)
    other = domain.wait_owner(other_than=owner)
    domain.wait_state("during", "finished")
    domain.cell.resume(owner.name)
    domain.wait_state("before", "finished")
    assert len(domain.started()) == 16
    cell.wait_until(lambda: domain.owner() is other, "the new owner keeps the domain")
    domain.cell.kill(other.name)
    assert domain.wait_owner(other_than=other) is owner


def test_graceful_stop_hands_the_domain_over(domain):
    """The owner gets SIGTERM for maintenance of its VM; no task is interrupted."""
    owner = domain.wait_owner()
    domain.submit("j", 8, 3000)
    cell.wait_until(lambda: len(domain.started()) == 8, "all tasks run")
    process = domain.cell.processes[owner.name]
    process.terminate()
    domain.wait_owner(other_than=owner)
    assert process.wait(10) == 0
    assert (
        "ownership_handed_over"
        in (
            domain.cell.folder / "data" / owner.name / f"{owner.name}.timeline.0.jsonl"
        ).read_text()
    )
    domain.wait_state("j", "finished")
    assert len(domain.started()) == 8


def test_domain_cut_off_from_the_quorum_keeps_its_owner(tmp_path):
    """The links between a domain's placers and all keepers drop messages silently.

    The cut lasts longer than any lease. The owner keeps its workers on the standby's
    promises and continues to place the jobs that it has, although no message of either
    placer reaches the keepers.
    """
    links = relay.Relay()
    ports = itertools.count(RELAY_PORT)
    relayed = []

    def address_of(plan, peer):
        if {plan.role, peer.role} != {"placer", "keeper"}:
            return peer.peers
        address = f"{plan.host}:{next(ports)}"
        relayed.append((f"{plan.name}>{peer.name}", address, peer.peers))
        return address

    with open_relayed(tmp_path, address_of, links, relayed) as domain:
        owner = domain.wait_owner()
        domain.submit("j", 40, 900)
        cell.wait_until(lambda: len(domain.started()) >= 32, "the domain is full")
        links.cut([name for name, _, _ in relayed])
        cell.wait_until(
            lambda: len(domain.started()) == 40, "the owner places the other tasks"
        )
        ends = clocks.SYSTEM.monotonic_ms() + 3000
        while clocks.SYSTEM.monotonic_ms() < ends:
            assert domain.owner() in (owner, None)
        assert domain.wait_owner() is owner
        links.heal([name for name, _, _ in relayed])
        domain.wait_state("j", "finished")
        assert len(domain.started()) == 40


@contextlib.contextmanager
def open_relayed(tmp_path, address_of, links, relayed):
    """Open a domain whose settings name relays; the relays listen before it starts."""
    original = cell.Cell.start

    def start(running, names=None):
        for name, listen, target in relayed:
            links.add(name, _split(listen), _split(target))
        original(running, names)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(cell.Cell, "start", start)
        with open_domain(tmp_path, address_of) as domain:
            yield domain
    links.close()


def _split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
