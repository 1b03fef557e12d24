"""The story of a job, from lines of several processes out of order."""

from alderreach.ops.client import stories

LINES = """\
noise before any object
 1.2 core-1 {"wall_ms":1030,"mono_ms":530,"process":"c1","boot":"b","role":"controller","event":"run_placed","task":"5c0e.0.0.1","run":1,"target":"w7"}
{"wall_ms":1000,"mono_ms":9,"process":"f1","boot":"x","role":"frontend","event":"request_answered","path":"/q/5c0e","answer":"accepted","took_ms":18}
{"wall_ms":400,"mono_ms":545,"process":"c1","boot":"b","role":"controller","event":"run_ended","task":"5c0e.0.0.1","run":1,"how":"done","target":"w7"}
{"wall_ms":1001,"mono_ms":500,"process":"c1","boot":"b","role":"controller","event":"job_accepted","job":"5c0e","queue":"q"}
{"wall_ms":1002,"mono_ms":501,"process":"c1","boot":"b","role":"controller","event":"job_accepted","job":"77aa","queue":"q"}
{"wall_ms":1002,"mono_ms":501,"pro
"""  # noqa: E501

STORY = """\
      0 ms  f1  request_answered  path=/q/5c0e  answer=accepted  took_ms=18
      1 ms  c1  job_accepted  job=5c0e  queue=q
     30 ms  c1  run_placed  task=5c0e.0.0.1  run=1  target=w7
     30 ms  c1  run_ended  task=5c0e.0.0.1  run=1  how=done  target=w7"""


def test_one_job_over_processes_with_a_clock_that_stepped_back():
    assert stories.story(LINES.splitlines(), "5c0e") == STORY


def test_an_unknown_id_has_no_story():
    assert stories.story(LINES.splitlines(), "ffff") == ""
