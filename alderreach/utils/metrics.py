"""Counters, gauges and latency histograms of one process, exported at /metrics.

Latencies are recorded in HDR histograms with three significant digits from 1 µs to one
hour; the Prometheus text contains their quantiles. Names end in their unit.
"""

import threading

import prometheus_client
from hdrh.histogram import HdrHistogram
from prometheus_client import metrics_core as core

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
QUANTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


class Metrics:
    """All metrics of a process; every method may be called from any thread."""

    def __init__(self):
        self._lock = threading.Lock()
        self._counts = {}
        self._gauges = {}
        self._labelled_gauges = {}
        self._histograms = {}
        self.registry = prometheus_client.CollectorRegistry()
        self.registry.register(self)

    def count(self, name, label="", amount=1):
        """Add to the counter ``name``; ``label`` is the value of its label ``kind``."""
        with self._lock:
            key = (name, label)
            self._counts[key] = self._counts.get(key, 0) + amount

    def gauge(self, name, value):
        """Set a gauge."""
        with self._lock:
            self._gauges[name] = value

    def gauges(self, name, values):
        """Set a gauge for each label; labels that ``values`` lacks are dropped."""
        with self._lock:
            self._labelled_gauges[name] = dict(values)

    def observe_ms(self, name, duration_ms):
        """Record a duration in the histogram ``name``."""
        value_us = min(max(int(duration_ms * 1000), LOWEST_US), HIGHEST_US)
        with self._lock:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
                self._histograms[name] = histogram
            histogram.record_value(value_us)

    def total(self, name):
        """Return the sum of a counter over its labels."""
        with self._lock:
            return sum(n for (key, _), n in self._counts.items() if key == name)

    def quantile_ms(self, name, percent):
        """Return the value at ``percent`` of a histogram, or 0.0 if it is empty."""
        with self._lock:
            histogram = self._histograms.get(name)
            return (
                histogram.get_value_at_percentile(percent) / 1000 if histogram else 0.0
            )

    def render(self):
        """Return the metrics in Prometheus's text format, as bytes."""
        return prometheus_client.generate_latest(self.registry)

    def collect(self):
        """Yield metric families; called by the Prometheus registry."""
        with self._lock:
            yield from self._families()

    def _families(self):
        counters = {}
        for (name, label), number in sorted(self._counts.items()):
            if name not in counters:
                counters[name] = core.CounterMetricFamily(
                    f"alderreach_{name}", name, labels=["kind"]
                )
            counters[name].add_metric([label], number)
        yield from counters.values()
        for name, value in sorted(self._gauges.items()):
            yield core.GaugeMetricFamily(f"alderreach_{name}", name, value=value)
        for name, values in sorted(self._labelled_gauges.items()):
            family = core.GaugeMetricFamily(f"alderreach_{name}", name, labels=["kind"])
            for label, value in sorted(values.items()):
                family.add_metric([label], value)
            yield family
        for name, histogram in sorted(self._histograms.items()):
            family = core.GaugeMetricFamily(
                f"alderreach_{name}_ms", name, labels=["percentile"]
            )
            for percent in QUANTILES:
                value_ms = histogram.get_value_at_percentile(percent) / 1000
                family.add_metric([str(percent)], value_ms)
            yield family
            yield core.CounterMetricFamily(
                f"alderreach_{name}_observations",
                name,
                value=histogram.get_total_count(),
            )
