"""Tests of counters, gauges and histograms, and of the page they are on."""

from prometheus_client.parser import text_string_to_metric_families

from savorylift import metric
from savorylift.front.metrics_page import render_metrics

CALLS = metric.Counter("test_calls", "Calls by outcome.", ["outcome"])
ENDS = metric.Counter("test_ends", "Ends.")
OPEN = metric.Gauge("test_open", "Open requests.")
WAITS = metric.Histogram("test_waits", "Waits.", buckets=(0.1, 1.0))
KINDS = metric.Histogram("test_kinds", "By kind.", ["kind"], buckets=(1.0,))


def samples() -> dict[tuple[str, tuple[str, ...]], float]:
    families = text_string_to_metric_families(render_metrics().decode())
    return {
        (sample.name, tuple(sample.labels.values())): sample.value
        for family in families
        for sample in family.samples
    }


def test_page_shows_each_metric_with_its_present_values() -> None:
    CALLS.labels("good").inc()
    CALLS.labels("good").inc(2.0)
    CALLS.labels("bad").inc()
    ENDS.inc()
    OPEN.inc()
    OPEN.inc()
    OPEN.dec()
    for wait_s in (0.05, 0.1, 0.5, 7.0):
        WAITS.observe(wait_s)
    KINDS.labels("whole").observe(2.0)
    found = samples()
    expected = {
        ("test_calls_total", ("good",)): 3.0,
        ("test_calls_total", ("bad",)): 1.0,
        ("test_ends_total", ()): 1.0,
        ("test_open", ()): 1.0,
        ("test_waits_bucket", ("0.1",)): 2.0,
        ("test_waits_bucket", ("1.0",)): 3.0,
        ("test_waits_bucket", ("+Inf",)): 4.0,
        ("test_waits_count", ()): 4.0,
        ("test_waits_sum", ()): 7.65,
        ("test_kinds_bucket", ("whole", "+Inf")): 1.0,
    }
    assert {key: found.get(key) for key in expected} == expected


def test_gauge_shows_what_its_function_returns() -> None:
    OPEN.set(5.0)
    OPEN.set_function(lambda: 7.0)
    assert samples()["test_open", ()] == 7.0
