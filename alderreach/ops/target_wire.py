"""The targets' wire protocol of docs/INTERFACES.md, in both directions.

Announcements are checked in full before they are used. Commands are encoded and their
answers decoded here. This module alone depends on the protocol: to support another one,
write another such module.
"""

import typing

import msgspec
import urllib3
from result import Err, Ok, Result

from alderreach.core import ranges, target_membership
from alderreach.core.generated import common

MAX_TARGET_ID_CHARS = 200
SEND_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5
MAX_KEPT_CONNECTIONS = 2000
MAX_ANSWER_BYTES = 8 << 20
TARGET_STATES = ("ready", "leaving", "gone")
TASK_STATES = ("running", "finished", "failed", "stopped", "checkpointed")
NOTHING = common.Resources(0, 0, 0)


class _Resources(typing.TypedDict):
    cpu_millis: ranges.Count
    memory_mb: ranges.Count
    accelerators: ranges.Count


class _Task(typing.TypedDict):
    task_id: str
    attempt: ranges.Count
    state: typing.Literal[TASK_STATES]
    reason: typing.NotRequired[str]


class _Announcement(typing.TypedDict):
    kind: typing.Literal["worker", "runner"]
    boot_id: str
    sequence: ranges.Ordinal
    state: typing.Literal[TARGET_STATES]
    vm: str
    rack: str
    failure_domain: str
    address: str
    owner_epoch_seen: typing.NotRequired[ranges.Ordinal]
    capacity: typing.NotRequired[_Resources]
    usage: typing.NotRequired[_Resources]
    tasks: typing.NotRequired[list[_Task]]
    service: typing.NotRequired[str]
    team: typing.NotRequired[str]
    slots: typing.NotRequired[ranges.Count]
    connections: typing.NotRequired[ranges.Count]
    task_id: typing.NotRequired[str]


class _Result(typing.TypedDict):
    task_id: str
    attempt: ranges.Count
    accepted: bool
    reason: typing.NotRequired[str]


class _Answer(typing.TypedDict):
    boot_id: typing.NotRequired[str]
    results: typing.NotRequired[list[_Result]]
    reason: typing.NotRequired[str]
    highest_epoch: typing.NotRequired[ranges.Ordinal]


_announcement_decoder = msgspec.json.Decoder(_Announcement)
_answer_decoder = msgspec.json.Decoder(_Answer)


class Batch(typing.NamedTuple):
    """Commands for one worker; ``announced`` is its last announced sequence."""

    worker_id: str
    address: str
    boot_id: str
    epoch: int
    announced: int
    commands: tuple


class CommandResult(typing.NamedTuple):
    """A worker's answer to one command."""

    task_id: str
    attempt: int
    accepted: bool
    reason: str


class BatchResult(typing.NamedTuple):
    """How a batch ended.

    ``status`` is answered, unsent (it certainly did not arrive), epoch, boot or late
    (refused in full), or uncertain (it may have arrived, or may still arrive).
    """

    batch: Batch
    status: str
    results: tuple
    highest_epoch: int


def parse_announcement(target_id, body) -> Result:
    """Check an announcement: ``Ok(Announcement)``, or ``Err(text)``."""
    if not 0 < len(target_id) <= MAX_TARGET_ID_CHARS:
        return Err("target id is empty or too long")
    try:
        fields = _announcement_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Err(str(error))
    mistake = _find_mistake(fields)
    if mistake:
        return Err(mistake)
    return Ok(_make_announcement(target_id, fields))


def _find_mistake(fields):
    """Return a mistake that the types do not cover, or an empty text."""
    host, _, port = fields["address"].rpartition(":")
    if not host or not port.isdigit():
        return "address is not host:port"
    if not fields["boot_id"]:
        return "boot_id is empty"
    if fields["kind"] == "runner":
        if not fields.get("service"):
            return "a runner names its service"
        if fields.get("slots", 0) < 1 or fields.get("connections", 0) < 1:
            return "a runner has at least one slot and one connection"
        return ""
    if "capacity" not in fields:
        return "a worker names its capacity"
    if min(fields["capacity"].values()) < 0:
        return "capacity is negative"
    return ""


def _make_announcement(target_id, fields):
    tasks = tuple(
        target_membership.ReportedTask(
            task["task_id"], task["attempt"], task["state"], task.get("reason", "")
        )
        for task in fields.get("tasks", ())
    )
    return target_membership.Announcement(
        target_id,
        fields["kind"],
        fields["boot_id"],
        fields["sequence"],
        fields["state"],
        fields["vm"],
        fields["rack"],
        fields["failure_domain"],
        fields["address"],
        fields.get("owner_epoch_seen", 0),
        _resources(fields.get("capacity")),
        _resources(fields.get("usage")),
        tasks,
        fields.get("service", ""),
        fields.get("team", ""),
        fields.get("slots", 0),
        fields.get("connections", 0),
        fields.get("task_id", ""),
    )


def _resources(fields):
    if fields is None:
        return NOTHING
    return common.Resources(
        fields["cpu_millis"], fields["memory_mb"], fields["accelerators"]
    )


def lease_answer(epoch, lease_ms, heartbeat_ms, acknowledged):
    """Return the body of a 200 answer to an announcement."""
    return msgspec.json.encode(
        {
            "owner_epoch": epoch,
            "lease_ms": lease_ms,
            "heartbeat_ms": heartbeat_ms,
            "acknowledged": acknowledged,
        }
    )


def misdirected_answer(owner_address):
    """Return the body of a 421 answer, which refers the target to the owner."""
    return msgspec.json.encode({"owner_address": owner_address})


def run_command(record, job, task, service):
    """Return the run command of a PlacementRecord."""
    return {
        "command": "run",
        "task_id": record.task_id,
        "attempt": record.attempt,
        "job_id": record.job_id,
        "team": job.team,
        "task": task._asdict(),
        "when_cut_off": record.when_cut_off,
        "payload": job.payload,
        "service": service,
    }


def end_command(command, task_id, attempt, grace_ms):
    """Return a stop or checkpoint command."""
    fields = {"command": command, "task_id": task_id, "attempt": attempt}
    return fields | ({"grace_ms": grace_ms} if command == "stop" else {})


class WorkerClient:
    """Sends batches over persistent connections; thread-safe."""

    def __init__(self):
        self._pools = urllib3.PoolManager(
            num_pools=MAX_KEPT_CONNECTIONS,
            maxsize=1,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=SEND_TIMEOUT_S),
        )

    def close(self):
        """Close the persistent connections."""
        self._pools.clear()

    def send(self, batch):
        """Send a batch and read the answer; returns a BatchResult and never raises."""
        body = msgspec.json.encode(
            {
                "epoch": batch.epoch,
                "boot_id": batch.boot_id,
                "announced": batch.announced,
                "commands": batch.commands,
            }
        )
        url = f"http://{batch.address}/v1/commands"
        headers = {"Content-Type": "application/json"}
        try:
            answer = self._pools.request("POST", url, body=body, headers=headers)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.LocationValueError,
        ):
            return BatchResult(batch, "unsent", (), 0)
        except (urllib3.exceptions.HTTPError, OSError):
            return BatchResult(batch, "uncertain", (), 0)
        return read_answer(batch, answer.status, answer.data)


def read_answer(batch, status, body):
    """Read a worker's answer; an invalid one counts as uncertain."""
    uncertain = BatchResult(batch, "uncertain", (), 0)
    try:
        fields = _answer_decoder.decode(body[:MAX_ANSWER_BYTES])
    except (msgspec.MsgspecError, RecursionError):
        return uncertain
    if status == 409 and fields.get("reason") in ("epoch", "boot", "late"):
        return BatchResult(batch, fields["reason"], (), fields.get("highest_epoch", 0))
    if status != 200 or fields.get("boot_id") != batch.boot_id:
        return uncertain
    results = tuple(
        CommandResult(
            result["task_id"],
            result["attempt"],
            result["accepted"],
            result.get("reason", ""),
        )
        for result in fields.get("results", ())
    )
    return BatchResult(batch, "answered", results, 0)
