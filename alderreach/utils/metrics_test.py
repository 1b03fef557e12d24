"""The Prometheus text at /metrics."""

from alderreach.utils import metrics


def test_rendered_text():
    made = metrics.Metrics()
    made.count("requests", "ran", 2)
    made.gauge("waiting", 3)
    made.observe_ms("request_time", 12.5)
    lines = made.render().decode().splitlines()
    shown = [line for line in lines if not line.startswith("#")]
    assert 'alderreach_requests_total{kind="ran"} 2.0' in shown
    assert "alderreach_waiting 3.0" in shown
    assert 'alderreach_request_time_ms{percentile="99.0"} 12.503' in shown
    assert "alderreach_request_time_observations_total 1.0" in shown


def test_labelled_gauges_are_replaced_as_a_whole():
    made = metrics.Metrics()
    made.gauges("share", {"a": 0.5, "b": 1})
    made.gauges("share", {"b": 0.25})
    lines = made.render().decode().splitlines()
    shown = [line for line in lines if not line.startswith("#")]
    assert shown == ['alderreach_share{kind="b"} 0.25']
