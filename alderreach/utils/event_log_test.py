"""Events are written in full or counted as dropped; recording one never blocks."""

import json
import os
import threading

from alderreach.utils import clocks, event_log


def read_lines(data):
    return [json.loads(line) for line in data.splitlines()]


def test_first_fields_are_the_same_everywhere(tmp_path):
    time = clocks.FakeClock(monotonic_ms=500, wall_ms=1_700_000_000_500)
    with (tmp_path / "out").open("wb") as output:
        log = event_log.EventLog("c1", "b1", "controller", time.clock, output)
        log.record("job_accepted", job="5c0e", tasks=3)
        log.close()
    assert (tmp_path / "out").read_text() == (
        '{"wall_ms":1700000000500,"mono_ms":500,"process":"c1","boot":"b1",'
        '"role":"controller","event":"job_accepted","job":"5c0e","tasks":3}\n'
    )


def test_a_reader_that_stops_reading_does_not_block_recording():
    """The reader of the output hangs, and its pipe is full. Requests continue; events
    are dropped and counted, and the count is written once the reader continues.
    """
    time = clocks.FakeClock()
    reading, writing = os.pipe()
    log = event_log.EventLog("c1", "b1", "r", time.clock, os.fdopen(writing, "wb"))
    for _event in range(3 * event_log.MAX_QUEUED_EVENTS):
        time.advance(1000)
        log.record("storm", text="x" * 200)
    collected = []
    reader = threading.Thread(
        target=lambda: collected.extend(os.fdopen(reading, "rb")), daemon=True
    )
    reader.start()
    while log._queue.qsize():
        reader.join(0.01)
    time.advance(1000)
    log.record("after")
    log.close()
    log._output.close()
    reader.join(10)
    events = [json.loads(line) for line in collected]
    dropped = sum(e["kinds"]["storm"] for e in events if e["event"] == "events_dropped")
    written = sum(e["event"] == "storm" for e in events)
    assert dropped > 0
    assert dropped + written == 3 * event_log.MAX_QUEUED_EVENTS


def test_a_kind_has_a_budget_each_second(tmp_path):
    time = clocks.FakeClock()
    with (tmp_path / "out").open("wb") as output:
        log = event_log.EventLog("c1", "b1", "r", time.clock, output)
        for _event in range(event_log.MAX_EVENTS_PER_KIND_PER_S + 25):
            log.record("storm")
        log.record("other")
        time.advance(1000)
        log.record("storm")
        log.close()
    kinds = [event["event"] for event in read_lines((tmp_path / "out").read_bytes())]
    assert kinds.count("storm") == event_log.MAX_EVENTS_PER_KIND_PER_S + 1
    assert kinds[-3:] == ["other", "events_dropped", "storm"]
