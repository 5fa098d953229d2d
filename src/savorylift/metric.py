"""Counters, gauges and histograms of a node.

`front.metrics_page` shows them to operators with `prometheus_client`, which is
imported only then: its import takes a tenth of a node's start.
"""

import bisect
import itertools
from collections.abc import Callable, Sequence
from typing import Generic, TypeVar


class Number:
    """The value of a counter or gauge."""

    def __init__(self) -> None:
        """Starts at zero."""
        self._value = 0.0
        self._read: Callable[[], float] | None = None

    @property
    def value(self) -> float:
        """The value now."""
        return self._value if self._read is None else self._read()

    def inc(self, amount: float = 1.0) -> None:
        """Adds to the value."""
        self._value += amount

    def dec(self, amount: float = 1.0) -> None:
        """Subtracts from the value."""
        self._value -= amount

    def set(self, value: float) -> None:
        """Replaces the value."""
        self._value = value

    def set_function(self, read: Callable[[], float]) -> None:
        """Makes `read` return the value from now on."""
        self._read = read


class Distribution:
    """How many observations lie in each bucket.

    Attributes:
        total: Sum of the observations.
    """

    def __init__(self, bounds: Sequence[float]) -> None:
        """Starts empty; `bounds` are the upper ones of the buckets."""
        self._bounds = bounds
        self._counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Adds an observation."""
        self._counts[bisect.bisect_left(self._bounds, value)] += 1
        self.total += value

    @property
    def cumulative_counts(self) -> list[tuple[float, int]]:
        """Observations up to each bound, the last of which is infinite."""
        bounds = (*self._bounds, float("inf"))
        counts = itertools.accumulate(self._counts)
        return list(zip(bounds, counts, strict=True))


ChildT = TypeVar("ChildT", Number, Distribution)


class Family(Generic[ChildT]):
    """A metric, which has a child for each value of its labels.

    Attributes:
        name: Name of the metric.
        documentation: What it shows, as a sentence.
        label_names: Names of the labels; empty without any.
        children: By values of the labels.
    """

    def __init__(
        self,
        name: str,
        documentation: str,
        label_names: Sequence[str],
        make_child: Callable[[], ChildT],
    ) -> None:
        """Adds itself to `FAMILIES`."""
        self.name = name
        self.documentation = documentation
        self.label_names = tuple(label_names)
        self._make_child: Callable[[], ChildT] = make_child
        self.children: dict[tuple[str, ...], ChildT] = {}
        if not label_names:
            self.children[()] = make_child()
        FAMILIES.append(self)

    def labels(self, *values: str) -> ChildT:
        """Returns the child of a value of each label."""
        child = self.children.get(values)
        if child is None:
            child = self.children[values] = self._make_child()
        return child


# All that the modules of this process have made.
FAMILIES: "list[Family[Number] | Family[Distribution]]" = []


class Counter(Family[Number]):
    """Counts what happens."""

    def __init__(
        self, name: str, documentation: str, label_names: Sequence[str] = ()
    ) -> None:
        """Starts at zero."""
        super().__init__(name, documentation, label_names, Number)

    def inc(self, amount: float = 1.0) -> None:
        """Counts, if the metric has no label."""
        self.children[()].inc(amount)


class Gauge(Family[Number]):
    """Shows a value that goes up and down; it has no label."""

    def __init__(self, name: str, documentation: str) -> None:
        """Starts at zero."""
        super().__init__(name, documentation, (), Number)
        number = self.children[()]
        self.inc = number.inc
        self.dec = number.dec
        self.set = number.set
        self.set_function = number.set_function


class Histogram(Family[Distribution]):
    """Counts observations by their size."""

    def __init__(
        self,
        name: str,
        documentation: str,
        label_names: Sequence[str] = (),
        *,
        buckets: Sequence[float],
    ) -> None:
        """Starts empty; `buckets` are the upper bounds, in order."""
        super().__init__(
            name, documentation, label_names, lambda: Distribution(buckets)
        )

    def observe(self, value: float) -> None:
        """Adds an observation, if the metric has no label."""
        self.children[()].observe(value)
