"""Numbers from outside: each has a range, and a body with one outside is malformed."""

import json

import msgspec
import pytest

from alderreach.core import codec, ranges
from alderreach.platform import bodies, wire

# 128 bits, a float whose integer has 300 digits, and both ends of 64 bits.
OUTSIDE = [122364144903981932527917921243652515000, 1e300, -(2**70), 2**64, 2**63 - 1]
OUTSIDE += [-1]

STEP = {"count": 1, "cpu": 500, "mem_mb": 64, "gpu": 0, "estimated_ms": 900}
STEP |= {"anti_affinity": 1, "target_ms": 80, "max_unavailable": 1}
JOB = {"spec": "run", "steps": [STEP], "repeat_count": 2}
JOB |= {"start_at_ms": 1700000000000, "interval_ms": 500}
HEARTBEAT = {
    "service": "pool",
    "address": "10.0.0.9:80",
    "zone": "urubici",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 2},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "sequence": 4,
    "born": 1700000000123,
}
ADVICE = {"decision_ms": 720.0, "per_worker_ms": 6.5, "validity_ms": 2000}
ROUTE = {"name": "r", "host": "h", "path_prefix": "/q/", "service": "pool"}
ROUTE |= {"timeout_ms": 3000, "target_latency_ms": 250, "priority": 0}
ROUTE |= {"max_attempts": 3, "stretch": 1.5, "advice": ADVICE}
TENANT = {"name": "guides", "api_keys": ["k"], "priority": 1, "weight": 8}
TENANT |= {"cap": {"cpu": 4000, "mem_mb": 9000, "gpu": 0}}
CONFIG = {"version": 7, "routes": [ROUTE], "services": [{"name": "pool"}]}
CONFIG |= {"tenants": [TENANT]}
LISTS = {
    "clock_ms": 482113,
    "born": 7,
    "running": [["j.0.1.17", 2, "c1", 41, 12.5]],
    "ended": [[58, "j.0.1.9", 1, "done", ""]],
}


def number_paths(value, path=()):
    """The paths of all numbers in a decoded body."""
    if isinstance(value, dict):
        for name, part in value.items():
            yield from number_paths(part, (*path, name))
    elif isinstance(value, list):
        for index, part in enumerate(value):
            yield from number_paths(part, (*path, index))
    elif isinstance(value, int | float) and not isinstance(value, bool):
        yield path


def with_number(value, path, number):
    """A copy of a decoded body with the number at ``path`` replaced."""
    changed = json.loads(json.dumps(value))
    holder = changed
    for key in path[:-1]:
        holder = holder[key]
    holder[path[-1]] = number
    return json.dumps(changed).encode()


READERS = {
    "heartbeat": (HEARTBEAT, lambda body: wire.announcement("i-1", body)),
    "job": (JOB, lambda body: wire.submission("h", "/q/5c0e", body)),
    "configuration": (CONFIG, wire.configuration),
    "lists": (LISTS, lambda body: wire.poll_result(200, body)),
}
CASES = [
    pytest.param(read, value, path, id=f"{name}-{'-'.join(map(str, path))}")
    for name, (value, read) in READERS.items()
    for path in number_paths(value)
]


@pytest.mark.parametrize(("read", "value", "path"), CASES)
def test_a_number_outside_its_range_is_malformed(read, value, path):
    """Guards against a number that can't be encoded ending the process that got it."""
    read(json.dumps(value).encode())
    for number in OUTSIDE:
        try:
            decoded = read(with_number(value, path, number))
        except wire.MalformedError as error:
            named = [key for key in path if isinstance(key, str)]
            assert any(name in str(error) for name in named[-2:]), number
        else:
            # In range for this field; all that is decoded can be passed on.
            codec.encode(decoded)
            assert 0 <= number <= ranges.ORDINAL_MAX, number


@pytest.mark.parametrize(("read", "value", "path"), CASES)
@pytest.mark.parametrize("text", [b"NaN", b"Infinity", b"-Infinity", b"1e400"])
def test_a_number_that_is_not_finite_is_malformed(read, value, path, text):
    """Guards against a conversion to an int that fails after a body was accepted."""
    marker = 123454321
    body = with_number(value, path, marker).replace(str(marker).encode(), text)
    with pytest.raises(wire.MalformedError):
        read(body)


@pytest.mark.parametrize("row", [b'["i-1",5]', b'["i-1"]', b'[1e400,"t"]', b"NaN"])
def test_a_malformed_answer_of_the_permission_service_is_rejected(row):
    """Guards against an answer that ends the process that asked."""
    with pytest.raises(wire.MalformedError):
        wire.tickets(b'{"good":[' + row + b"]}")


def test_each_number_has_a_range():
    """Guards against a new field that takes numbers of any size."""
    kinds = [bodies.Job, bodies.Announcement, bodies.Config, bodies.WorkerAnswer]
    described, without = [], []

    def visit(info, path):
        if isinstance(info, msgspec.inspect.IntType | msgspec.inspect.FloatType):
            described.append(path)
            if info.ge is None or info.le is None:
                without.append(path)
        for field in getattr(info, "fields", ()):
            visit(field.type, f"{path}.{field.name}")
        for part in getattr(info, "types", ()):
            visit(part, path)
        if hasattr(info, "item_type"):
            visit(info.item_type, path)

    for kind in kinds:
        visit(msgspec.inspect.type_info(kind), kind.__name__)
    assert "Job.steps.cpu" in described and "WorkerAnswer.ended.number" in described
    assert not without


def test_sums_over_a_large_cell_stay_within_64_bits():
    """Guards against numbers in range whose sum can't be encoded."""
    limit = 2**63 - 1
    jobs, tasks, workers, customers = 100_000, 20_000, 10_000, 100_000
    assert jobs * tasks * ranges.RESOURCE_MAX <= limit
    assert workers * ranges.RESOURCE_MAX <= limit
    assert customers * ranges.CAP_MAX <= limit
    assert tasks * ranges.DURATION_MS_MAX * ranges.STRETCH_MAX <= limit
    latest_ms = ranges.OCCURRENCES_MAX * ranges.DURATION_MS_MAX
    assert ranges.INSTANT_MS_MAX + latest_ms + tasks * ranges.DURATION_MS_MAX <= limit


@pytest.mark.parametrize("read", [read for _value, read in READERS.values()])
def test_a_body_of_deep_lists_is_malformed(read):
    """Guards against a closed connection after a body that exceeds the recursion."""
    with pytest.raises(wire.MalformedError):
        read(b'{"unknown":' + 100_000 * b"[")


@pytest.mark.parametrize("field", [name for name in HEARTBEAT if name != "born"])
@pytest.mark.parametrize("change", ["missing", "null", "another type"])
def test_a_heartbeat_of_another_writer_is_malformed(field, change):
    """Guards against a report that changes what is known of a worker."""
    heartbeat = dict(HEARTBEAT)
    if change == "missing":
        del heartbeat[field]
    else:
        heartbeat[field] = None if change == "null" else {"other": 1}
    with pytest.raises(wire.MalformedError, match=field):
        wire.announcement("i-1", json.dumps(heartbeat).encode())


@pytest.mark.parametrize(
    "change",
    [
        {"state": "dancing"},
        {"service": ""},
        {"zone": ""},
        {"capacity": {}},
        {"address": "nowhere"},
        {"address": "10.0.0.9"},
        {"address": "10.0.0.9:"},
        {"address": "10.0.0.9:70000"},
        {"address": "10.0.0.9:-80"},
        {"address": "10.0.0.900:80"},
        {"address": ":80"},
    ],
)
def test_a_heartbeat_that_names_no_worker_to_use_is_malformed(change):
    """Guards against calls to an address that is none."""
    with pytest.raises(wire.MalformedError, match=next(iter(change))):
        wire.announcement("i-1", json.dumps(HEARTBEAT | change).encode())


@pytest.mark.parametrize(
    "target_id", ["", "i 1", "i-1\r\nHost: x", "\u00ff", 201 * "i"]
)
def test_an_id_that_no_header_can_hold_is_malformed(target_id):
    """Guards against calls to a worker that can't be sent."""
    with pytest.raises(wire.MalformedError, match="worker id"):
        wire.announcement(target_id, json.dumps(HEARTBEAT).encode())
