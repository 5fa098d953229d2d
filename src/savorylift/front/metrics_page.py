"""Shows the metrics of a node in the format of Prometheus."""

import math
from collections.abc import Iterator

from prometheus_client import REGISTRY, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from savorylift import metric


def render_metrics() -> bytes:
    """Returns the page, with the metrics of the process itself."""
    return generate_latest()


class _MetricCollector(Collector):
    """Converts the metrics of the modules of this process."""

    def collect(self) -> Iterator[Metric]:
        """Yields each metric with its present values."""
        for family in metric.FAMILIES:
            if isinstance(family, metric.Histogram):
                yield _convert_histogram(family)
            elif isinstance(family, metric.Counter):
                yield _convert_counter(family)
            elif isinstance(family, metric.Gauge):
                yield GaugeMetricFamily(
                    family.name, family.documentation, family.children[()].value
                )


def _convert_counter(family: metric.Counter) -> Metric:
    converted = CounterMetricFamily(
        family.name, family.documentation, labels=family.label_names
    )
    for values, number in family.children.items():
        converted.add_metric(values, number.value)
    return converted


def _convert_histogram(family: metric.Histogram) -> Metric:
    converted = HistogramMetricFamily(
        family.name, family.documentation, labels=family.label_names
    )
    for values, distribution in family.children.items():
        buckets = [
            ("+Inf" if math.isinf(bound) else str(bound), float(count))
            for bound, count in distribution.cumulative_counts
        ]
        converted.add_metric(values, buckets, distribution.total)
    return converted


REGISTRY.register(_MetricCollector())
