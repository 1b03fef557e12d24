"""Bad input from callers gets a clear problem document and has no effect."""

import json
import socket

import pytest

from tests import entry_fakes

PATH = "/v1/services/closures/requests"
LIMITS = "body_bytes = 1000\nheader_bytes = 2000\ncaller_idle_ms = 600"


@pytest.fixture(scope="module")
def cell():
    with entry_fakes.FakeCell(limits=LIMITS) as running:
        yield running


def dial(cell):
    host, _, port = cell.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=10)


def exchange(cell, data):
    """Send raw bytes and read the response; return its status and problem kind."""
    with dial(cell) as link:
        link.sendall(data)
        received = b""
        while chunk := link.recv(65536):
            received += chunk
    head, _, body = received.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)["kind"]


def head(*lines, method="POST", path=PATH):
    fixed = (f"{method} {path} HTTP/1.1", "Host: entry", "Alderreach-Team: guides")
    return "\r\n".join((*fixed, *lines, "", "")).encode()


@pytest.mark.parametrize(
    ("headers", "word"),
    [
        ({"Alderreach-Team": ""}, "Team"),
        ({"Alderreach-Team": "a/b"}, "Team"),
        ({"Alderreach-Deadline-Ms": "soon"}, "Deadline"),
        ({"Alderreach-Deadline-Ms": "0"}, "Deadline"),
        ({"Alderreach-Deadline-Ms": "-5"}, "Deadline"),
        ({"Alderreach-Deadline-Ms": "99999999999"}, "Deadline"),
        ({"Alderreach-Non-Idempotent": "perhaps"}, "Non-Idempotent"),
        ({"Alderreach-Priority": "11"}, "Priority"),
        ({"Idempotency-Key": "k" * 201}, "Idempotency-Key"),
        ({"Idempotency-Key": "two words"}, "Idempotency-Key"),
    ],
)
def test_invalid_header_is_named_in_the_detail(cell, headers, word):
    answer = cell.call("POST", PATH, b"{}", {"Alderreach-Team": "guides"} | headers)
    assert (answer.status, answer.json()["kind"]) == (400, "malformed_request")
    assert word in answer.json()["detail"]
    assert answer.headers["Alderreach-Outcome"] == "not-run"


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"nonsense\r\n\r\n", (400, "malformed_request")),
        (b"POST / HTTP/9.9\r\n\r\n", (400, "malformed_request")),
        (head("no colon here"), (400, "malformed_request")),
        (head("Content-Length: many"), (400, "malformed_request")),
        (head("Content-Length: -5"), (400, "malformed_request")),
        (head("Content-Length: 1001"), (413, "body_too_large")),
        (head("X-Long: " + "x" * 3000), (431, "header_too_large")),
        (head(path="/" + "x" * 3000), (431, "header_too_large")),
        (
            head("Content-Length: 4", "Transfer-Encoding: chunked") + b"0\r\n\r\n",
            (400, "malformed_request"),
        ),
        (
            head("Transfer-Encoding: chunked") + b"zz\r\nabc\r\n",
            (400, "malformed_request"),
        ),
        (
            head("Transfer-Encoding: chunked") + b"3e9\r\n" + b"x" * 1001,
            (413, "body_too_large"),
        ),
    ],
)
def test_malformed_request_gets_a_problem_document(cell, data, expected):
    assert exchange(cell, data) == expected
    assert not cell.runners[0].requests


def test_caller_still_sending_a_large_body_receives_the_refusal(cell):
    """A caller sends 4 MB; the entry refuses after the headers and closes.

    If the entry closed the connection at once, the kernel would reset it while the
    caller is still sending, and the caller would see a broken pipe, not the refusal.
    """
    data = head("Content-Length: 4000000") + b"x" * 4_000_000
    assert exchange(cell, data) == (413, "body_too_large")


def test_slow_request_is_refused_with_408(cell):
    """A caller sends single bytes at intervals, each well within the read timeout.

    Such a caller could occupy a thread for hours, and a hundred of them all threads.
    """
    for sent in (b"POST /v1/jobs HT", head("Content-Length: 100") + b"12"):
        with dial(cell) as link:
            link.sendall(sent)
            link.settimeout(0.1)
            received = b""
            while not received:
                try:
                    received = link.recv(65536)
                except TimeoutError:
                    link.sendall(b"x")
        assert received.startswith(b"HTTP/1.1 408")
    assert not cell.runners[0].requests


def test_caller_that_disconnects_within_its_body_has_no_effect(cell):
    with dial(cell) as link:
        link.sendall(head("Content-Length: 100") + b"half")
    entry_fakes.wait_until(lambda: cell.entry.status().detail["in_flight"] == 0)
    assert not cell.runners[0].requests


def test_entry_still_serves_after_all_bad_input(cell):
    assert cell.post().status == 200


def test_differing_content_lengths_are_refused(cell):
    """A request has two Content-Length headers. Whichever the entry used, a proxy might
    use the other, and the remaining bytes would be read as another caller's request.
    """
    lines = head("Content-Length: 2", "Content-Length: 5")
    assert exchange(cell, lines + b"{}") == (400, "malformed_request")
    with dial(cell) as link:
        link.sendall(head("Content-Length: 2", "Content-Length: 2") + b"{}")
        assert link.recv(65536).startswith(b"HTTP/1.1 200 ")
