"""Tests the conversion of complete bodies of the platform's protocol."""

import json

import pytest

from alderreach.core import orders
from alderreach.platform import wire

JOB = b"""{"spec":"run it","steps":[
 {"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900.5,"data_rack":"r1-3"},
 {"count":20,"cpu":2000,"mem_mb":1024,"gpu":1,"after":[0],"checkpointing":true,
  "gang":true,"same_rack":true,"requirements":"a","anti_affinity":3,"fills":true,
  "allow_duplicates":true,"long_running":true,"image":"x","target_ms":80,
  "max_unavailable":2,"something_new":[1]}],
 "repeat_count":3,"start_at_ms":1700000000000,"interval_ms":500}"""
HEARTBEAT = b"""{"service":"pool","address":"10.0.0.9:80","zone":"urubici",
 "version":"v1","slots":8,"state":"draining","cold_remaining_ms":0,"labels":["a","r1-3"],
 "capacity":{"cpu":16000,"mem_mb":32768},"clock_ms":482113,"sequence":4,
 "born":1700000000123,"machine":"m-1"}"""
LISTS = b"""{"clock_ms":482113,"born":7,
 "running":[["j.0.1.17",2,"c1",41,12.5],["j.0.0.1",1,"",0]],
 "ended":[[58,"j.0.1.9",1,"done",""],[59,"j.0.1.8",3,"stopped","c2"]]}"""

ROUTE = {
    "name": "r",
    "host": "h",
    "path_prefix": "/q/",
    "service": "pool",
    "timeout_ms": 3000,
}
CUSTOMER = {"name": "guides", "api_keys": ["first-key", "second-key"], "weight": 8}


def config_body(*customers, **changes):
    fields = {"version": 7, "routes": [ROUTE], "services": [{"name": "pool"}]}
    return json.dumps(fields | {"tenants": customers} | changes).encode()


def test_customers_of_a_configuration(snapshot):
    customer = CUSTOMER | {"priority": 1, "cap": {"cpu": 4000, "mem_mb": 9000}}
    body = config_body(customer, routes=[ROUTE | {"allow_anonymous": True}])
    decoded = wire.configuration(body)
    assert decoded.body == body
    assert decoded._replace(body=b"") == snapshot


def test_a_configuration_without_customers_needs_no_keys():
    body = json.dumps({"version": 7, "routes": [], "services": []}).encode()
    assert wire.configuration(body).customers is None
    assert wire.configuration(config_body()).customers == []


def test_all_mistakes_of_a_configuration_are_named_without_a_key():
    customers = [
        CUSTOMER,
        CUSTOMER | {"name": "desk"},
        CUSTOMER | {"name": "desk", "api_keys": [""], "weight": -1},
        CUSTOMER | {"name": "crew", "api_keys": ["third-key"], "cap": {"cpu": -1}},
    ]
    routes = [ROUTE | {"service": "none"}, ROUTE | {"timeout_ms": 0}]
    with pytest.raises(wire.MalformedError) as raised:
        wire.configuration(config_body(*customers, routes=routes))
    assert str(raised.value).split("; ") == [
        "route r names unknown service none",
        "route r has no timeout",
        "two routes at h/q/",
        "two customers are named desk",
        "customer desk has a negative weight or cap",
        "customer desk has an empty key",
        "customer crew has a negative weight or cap",
        "customers desk, guides share a key",
    ]


@pytest.mark.parametrize(
    "customer",
    [
        CUSTOMER | {"api_keys": "first-key"},
        CUSTOMER | {"api_keys": [5, "first-key"]},
        CUSTOMER | {"cap": {"cpu": "first-key"}},
        {"api_keys": ["first-key"]},
    ],
)
def test_a_malformed_customer_is_rejected_without_showing_its_key(customer):
    with pytest.raises(wire.MalformedError) as raised:
        wire.configuration(config_body(customer))
    assert "first-key" not in str(raised.value)


def test_a_job_with_every_field(snapshot):
    assert wire.submission("h", "/q/5c0e", JOB) == snapshot


def test_a_heartbeat(snapshot):
    assert wire.announcement("i-1", HEARTBEAT) == snapshot


def test_a_workers_lists(snapshot):
    assert wire.poll_result(200, LISTS) == snapshot


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b'{"service":"pool"}',
        HEARTBEAT.replace(b"draining", b"dancing"),
        HEARTBEAT.replace(b'"sequence":4', b'"sequence":"4"'),
        HEARTBEAT.replace(b'"labels":["a","r1-3"]', b'"labels":null'),
    ],
)
def test_a_malformed_heartbeat_is_rejected(body):
    with pytest.raises(wire.MalformedError):
        wire.announcement("i-1", body)


@pytest.mark.parametrize(
    ("status", "body", "outcome"),
    [
        (200, b'{"clock_ms":5}', orders.OK),
        (409, b'{"clock_ms":5,"reason":"fence"}', orders.FENCED),
        (409, b'{"clock_ms":5,"reason":"old"}', orders.STALE_RUN),
        (409, b'{"clock_ms":5,"reason":"late"}', orders.LEASE_EXPIRED),
        (409, b'{"clock_ms":5,"reason":"room"}', orders.NO_CAPACITY),
        (409, b'{"clock_ms":5,"reason":"ticket"}', orders.NO_TICKET),
        (409, b'{"reason":"a new one"}', orders.UNKNOWN),
        (421, b"", orders.OTHER_INCARNATION),
        (429, b"", orders.REFUSED),
        (503, b"", orders.REFUSED),
        (500, b"", orders.UNKNOWN),
    ],
)
def test_answers_to_orders(status, body, outcome):
    assert wire.order_result(status, body).outcome == outcome


@pytest.mark.parametrize("body", [b"{}", b"", b'{"clock_ms":null,"born":7}'])
def test_an_answer_to_a_poll_without_a_clock_is_rejected(body):
    """Guards against an answer that ends the leader's process."""
    with pytest.raises(wire.MalformedError):
        wire.poll_result(200, body)


def test_a_malformed_row_is_rejected():
    with pytest.raises(wire.MalformedError):
        wire.poll_result(200, b'{"clock_ms":1,"running":[["j.0.0.1"]]}')


def test_orders_leave_out_what_is_empty(snapshot):
    start = orders.Start("j.0.0.1", 2, "run", 9000, 7, "", "")
    bodies = [
        wire.start_body(start),
        wire.start_body(start._replace(checkpoint="c", ticket="t")),
        wire.stop_body(orders.Stop("j.0.0.1", 2, 7)),
        wire.pace_body(orders.Pace("j.0.0.1", 2, 40, 7)),
        wire.poll_body(orders.Poll(7, 57, 9000, 1000)),
        wire.poll_body(orders.Poll(7, 57, None, 0)),
        wire.advise_body("j.0.1", ["i-1", "i-2"]),
    ]
    assert [body.decode() for body in bodies] == snapshot


@pytest.mark.parametrize(("count", "has_more"), [(499, False), (500, True)])
def test_a_list_of_ends_may_be_cut(count, has_more):
    """Guards against a run that is taken as stopped although its end is not listed."""
    ended = [[number, "j1.0.0.0", number, "done", ""] for number in range(count)]
    body = wire.encode({"clock_ms": 1, "running": [], "ended": ended})
    assert wire.poll_result(200, body).has_more_ends == has_more
