"""Golden files of complete sessions between a caller and a real entry.

Each contains the caller's requests, the responses and the entry's time line. Ids are
numbered in order of appearance, durations are masked, and the headers Date and Server
are left out.
"""

import re

import pytest

from tests import entry_fakes

UNSTABLE_HEADERS = ("Date", "Server")
EVENTS = ("request_attempt_failed", "request_ended")


@pytest.fixture
def cell():
    with entry_fakes.FakeCell() as running:
        yield running


class Session:
    """Records the requests of a caller and the responses."""

    def __init__(self, cell):
        self._cell = cell
        self._lines = []
        self._ids = {}

    def post(self, path, body, **headers):
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        answer = self._cell.call("POST", path, body, headers)
        self._lines += [f"> POST {path}"]
        self._lines += [f"> {name}: {value}" for name, value in headers.items()]
        self._lines += [f"> {body.decode()}", f"< {answer.status} {answer.reason}"]
        self._lines += [
            f"< {name}: {value}"
            for name, value in answer.headers.items()
            if name not in UNSTABLE_HEADERS
        ]
        self._lines += [f"< {answer.data.decode()}", ""]

    def text(self):
        events = self._cell.context.timeline.newest(1000)
        shown = [
            f"{event.kind} request={event.request_id} target={event.target_id} "
            f"team={event.team} {event.detail}".strip()
            for event in events
            if event.kind in EVENTS
        ]
        text = "\n".join(self._lines + ["time line:"] + shown)
        text = re.sub(r"after \d+ ms", "after <ms>", text)
        return re.sub(r"\b[0-9a-f]{32}\b", self._number, text)

    def _number(self, match):
        number = self._ids.setdefault(match[0], len(self._ids) + 1)
        return f"<id-{number}>"


def test_request_answered(cell, snapshot):
    session = Session(cell)
    path = "/v1/services/closures/requests"
    session.post(path, b'{"route": "norte"}', Alderreach_Team="guides")
    assert session.text() == snapshot


def test_bad_requests(cell, snapshot):
    session = Session(cell)
    path = "/v1/services/closures/requests"
    session.post(path, b"{}", Alderreach_Team="two words")
    session.post(path, b"{}", Alderreach_Team="guides", Alderreach_Deadline_Ms="-1")
    session.post("/v1/services/ferry/requests", b"{}", Alderreach_Team="guides")
    session.post("/v1/jobs", b'{"team": "desk"}')
    assert session.text() == snapshot


def test_order_sent_again(cell, snapshot):
    session = Session(cell)
    path = "/v1/services/closures/requests"
    headers = {
        "Alderreach_Team": "desk",
        "Alderreach_Non_Idempotent": "true",
        "Idempotency_Key": "order-7",
    }
    session.post(path, b'{"lunches": 30}', **headers)
    session.post(path, b'{"lunches": 30}', **headers)
    session.post(path, b'{"lunches": 31}', **headers)
    assert session.text() == snapshot
