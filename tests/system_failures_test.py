"""The full system under load while processes fail; complete histories are checked."""

import json
import uuid

from tests import system_support
from tools import cell as cells


def test_processes_killed_two_at_a_time(tmp_path):
    """A crew dispatch sent while two of the system's VMs fail must not run twice.

    An entry and the keepers' leader are killed with requests in flight and restarted,
    then a domain's owner placer and another entry. Callers resend under the same key to
    other entries. A request would run twice if an entry retried without a claim, or if
    only the killed leader knew the claim.
    """
    with system_support.running(tmp_path) as deployment:
        with system_support.Load(deployment) as load:
            load.wait_for(50, "requests before the kills")
            leader = leader_of(deployment)
            kill_and_restart(deployment, load, ("entry-urubici-1", leader))
            owner = deployment.owner("bom-jardim")
            kill_and_restart(deployment, load, (owner, "entry-cambara-2"))
        system_support.check_history(deployment, load.records)
        assert sum(record.keyed for record in load.records) > 20


def leader_of(deployment):
    rows = deployment.client("status")["processes"]
    return next(row["process"] for row in rows if row.get("state") == "leader")


def kill_and_restart(deployment, load, names):
    for name in names:
        deployment.cell.kill(name)
    load.wait_for(50, f"requests while {names} are down")
    for name in names:
        deployment.restart(name)
    load.wait_for(50, f"requests after {names} have restarted")


def test_cut_off_domain_answers_idempotent_requests(tmp_path):
    """Guides in a domain that is cut off still get answers about closures.

    All links between cambara and the other domains drop messages silently. Its entries
    still answer idempotent requests from its own runners. A dispatch there is not sent,
    since its key can't be claimed, and is answered ``unknown``, since the key may have
    run before. A change accepted outside meanwhile is in force inside once the cut is
    healed. The owner stays the same, and no task runs twice.
    """
    with system_support.running(tmp_path, with_links=True) as deployment:
        inside = [
            p.name for p in deployment.cell.plans if p.failure_domain == "cambara"
        ]
        entries = deployment.cell.of_role("entry", "cambara")
        outside = deployment.cell.of_role("entry", "urubici")[0]
        owner = deployment.owner("cambara")
        job_id = deployment.submit(
            entries[0], 3, {"run_ms": 8000}, key=uuid.uuid4().hex
        )
        cells.wait_until(
            lambda: deployment.job(entries[0], job_id).get("running") == 3, "job runs"
        )
        deployment.links.cut(inside)
        with system_support.Load(deployment, 2, entries) as load:
            cells.wait_until(
                lambda: is_unchecked(deployment, entries[0]), "a dispatch is not sent"
            )
            load.wait_for(20, "requests inside the cut")
            declare_window(deployment, "later")
            version = deployment.client("status")["version"]
            assert deployment.call(outside, b"{}").status == 200
        assert any(
            record.outcomes[-1] == "200" for record in load.records if not record.keyed
        )
        deployment.links.heal()
        cells.wait_until(
            lambda: min_version_in_force(deployment, inside) >= version,
            "the change inside",
        )
        assert deployment.owner("cambara") == owner
        cells.wait_until(
            lambda: deployment.job(entries[0], job_id).get("state") == "finished",
            "the job from before the cut",
        )
        system_support.check_history(deployment, load.records)


def is_unchecked(deployment, plan):
    """Send a dispatch inside the cut; return whether its key could not be claimed.

    A dispatch whose claim was in progress when the cut began may still be run.
    """
    key = uuid.uuid4().hex
    body = json.dumps({"id": key}).encode()
    answer = deployment.call(plan, body, key, deadline_ms=500)
    if answer.status == 200:
        return False
    assert answer.headers["Alderreach-Outcome"] == "unknown"
    runs = [event for event in deployment.events() if key in event.get("body", "")]
    assert not runs, "a dispatch was sent without a claim"
    return json.loads(answer.data)["kind"] == "key_unchecked"


def min_version_in_force(deployment, names):
    rows = deployment.client("status")["processes"]
    return min(
        row.get("version_in_force", 0) for row in rows if row["process"] in names
    )


def test_frozen_owner_resumes_after_a_takeover(tmp_path):
    """An owner that was frozen must not start tasks that its successor started.

    The owner of a domain is stopped with SIGSTOP for longer than every lease while
    tasks of a batch wait and run. The standby takes over, then the old owner resumes
    with its old epoch. No task runs in two places, and the batch finishes once.
    """
    with system_support.running(tmp_path) as deployment:
        entry = deployment.cell.of_role("entry", "urubici")[0]
        owner = deployment.owner("urubici")
        job_id = deployment.submit(entry, 40, {"run_ms": 1500}, key=uuid.uuid4().hex)
        cells.wait_until(
            lambda: deployment.job(entry, job_id).get("running"), "tasks run"
        )
        deployment.cell.pause(owner)
        cells.wait_until(
            lambda: deployment.owner("urubici") not in ("", owner), "another owner"
        )
        deployment.cell.resume(owner)
        cells.wait_until(
            lambda: deployment.job(entry, job_id).get("state") == "finished",
            "the batch finishes",
            timeout_s=60,
        )
        system_support.check_history(deployment, [])
        finished = [
            event["task_id"]
            for event in deployment.events()
            if event["event"] == "task_ended" and event["state"] == "finished"
        ]
        assert len(set(finished)) == 40


def test_a_restart_of_every_process_in_turn_fails_no_request(tmp_path):
    """An upgrade restarts every process of the system, and no request fails.

    Each process gets SIGTERM, finishes what is in flight, hands over, and is started
    again. Callers use entries that report readiness, as a balancer does.
    """
    with system_support.running(tmp_path) as deployment:
        failures = []
        with system_support.Load(deployment, 4, ReadyEntries(deployment)) as load:
            for plan in deployment.cell.plans:
                process = deployment.cell.processes[plan.name]
                process.terminate()
                assert process.wait(timeout=30) == 0, plan.name
                deployment.restart(plan.name)
                load.wait_for(10, f"requests after {plan.name}")
        failures = [record for record in load.records if record.outcomes != ("200",)]
        assert not failures, system_support.describe_failures(deployment, failures)
        system_support.check_history(deployment, load.records)


class ReadyEntries:
    """A sequence of entries that skips entries that are not ready, like a balancer."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._plans = deployment.cell.of_role("entry")

    def __len__(self):
        return len(self._plans)

    def __getitem__(self, place):
        for step in range(len(self._plans)):
            plan = self._plans[(place + step) % len(self._plans)]
            if self._is_ready(plan):
                return plan
        raise AssertionError("no entry is ready")

    def _is_ready(self, plan):
        try:
            url = f"http://{plan.platform}/readyz"
            return self._deployment.http.request("GET", url).status == 200
        except Exception:
            return False


def test_leaving_runner_gets_no_new_work(tmp_path):
    """A guide's request must not get lost in a runner that is about to be stopped.

    A runner announces that it leaves while callers send through every entry. Once each
    entry has seen this, the runner gets no new requests, and answers those it has.
    """
    with system_support.running(tmp_path) as deployment:
        with system_support.Load(deployment) as load:
            load.wait_for(50, "requests before it leaves")
            runner = find_runner(deployment)
            control = f"http://{runner['address']}/control"
            deployment.http.request("POST", control, body=b'{"mode": "leaving"}')
            entries = {plan.name for plan in deployment.cell.of_role("entry")}
            cells.wait_until(
                lambda: processes_seeing_leaving(deployment, runner["id"]) >= entries,
                "every entry has seen it",
            )
            load.wait_for(20, "requests that were in flight")
            ran = count_runs_on(deployment, runner["id"])
            load.wait_for(200, "requests after every entry has seen it")
            assert count_runs_on(deployment, runner["id"]) == ran
        failed = [record for record in load.records if record.outcomes[-1] != "200"]
        assert not failed, failed[:3]
        system_support.check_history(deployment, load.records)


def find_runner(deployment):
    """Return the id and address of a runner that has served a request."""
    served = [e for e in deployment.events() if e["event"] == "request_run"]
    return {"id": served[-1]["runner"], "address": served[-1]["address"]}


def processes_seeing_leaving(deployment, runner_id):
    """Return the processes whose time line shows that the runner leaves."""
    shown = deployment.client("timeline", "--target", runner_id, "--limit", "1000")
    return {
        event["process"]
        for event in shown["events"]
        if event["kind"] == "target_state_seen" and event["detail"] == "leaving"
    }


def count_runs_on(deployment, runner_id):
    events = deployment.events()
    return sum(e["event"] == "request_run" and e["runner"] == runner_id for e in events)


def test_failure_domain_is_lost_and_restarted(tmp_path):
    """All of a failure domain fails at once and restarts while the others continue.

    Every process and target of urubici, which includes a voter or the leader of the
    keepers, is killed while requests and a batch are in progress. Callers in other
    domains get answers. When the domain's VMs are back, its batch finishes, and nothing
    runs twice.
    """
    with system_support.running(tmp_path) as deployment:
        cell = deployment.cell
        outside = cell.of_role("entry", "cambara") + cell.of_role("entry", "bom-jardim")
        inside = [p.name for p in cell.plans if p.failure_domain == "urubici"]
        entry = cell.of_role("entry", "urubici")[0]
        deployment.wait_for_all_runners()
        job_id = deployment.submit(entry, 6, {"run_ms": 1000}, uuid.uuid4().hex)
        with system_support.Load(deployment, entries=outside) as load:
            load.wait_for(30, "requests before the loss")
            for name in [*inside, "targets-urubici"]:
                cell.kill(name)
            load.wait_for(100, "requests without the domain")
            cell.start(inside)
            cell.wait_ready(inside)
            deployment.start_targets("urubici")
            cells.wait_until(
                lambda: deployment.job(outside[0], job_id).get("state") == "finished",
                "the batch of the lost domain",
                timeout_s=60,
            )
            load.wait_for(30, "requests afterwards")
        assert all(
            record.outcomes[-1] == "200" for record in load.records if not record.keyed
        )
        system_support.check_history(deployment, load.records)


def test_a_partition_into_two_halves(tmp_path):
    """A partition separates two halves; each keeps working, and no change is undone.

    The half with three of the five keepers works in full: a dispatch is run there. The
    other half answers idempotent requests under its old owners. A change that the first
    half accepts meanwhile is in force in both once the partition is healed.
    """
    halves = (("urubici", "bom-jardim"), ("cambara", "sao-joaquim"))
    options = {"with_links": True, "voters": 5, "domains": halves[0] + halves[1]}
    with system_support.running(tmp_path, **options) as deployment:
        plans = deployment.cell.plans
        far = [plan.name for plan in plans if plan.failure_domain in halves[1]]
        entries = [plan for plan in plans if plan.role == "entry"]
        near_entries = [p for p in entries if p.failure_domain in halves[0]]
        far_entries = [p for p in entries if p.failure_domain in halves[1]]
        owners = {domain: deployment.owner(domain) for domain in halves[1]}
        deployment.links.cut(far)
        with system_support.Load(deployment, 2, far_entries) as far_load:
            cells.wait_until(
                lambda: is_unchecked(deployment, far_entries[0]), "no quorum there"
            )
            with system_support.Load(deployment, 4, near_entries) as near_load:
                near_load.wait_for(100, "requests of the half with the quorum")
                far_load.wait_for(20, "requests of the half without")
        assert any(t.keyed and t.outcomes[-1] == "200" for t in near_load.records)
        declare_window(deployment, "later")
        version = deployment.client("status")["version"]
        deployment.links.heal()
        cells.wait_until(
            lambda: min_version_in_force(deployment, far) >= version,
            "the change in the far half",
        )
        assert owners == {domain: deployment.owner(domain) for domain in halves[1]}
        system_support.check_history(deployment, near_load.records + far_load.records)


def declare_window(deployment, window_id):
    """Make a change of the configuration that affects no task."""
    words = f"maintenance add --id {window_id} --failure-domain urubici --vm none"
    dates = "--start 2030-01-01T00:00Z --end 2030-01-01T01:00Z"
    deployment.client(*words.split(), *dates.split())
