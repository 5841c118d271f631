"""Prometheus metrics of one daemon, most of them counted from its events."""

import collections.abc

import prometheus_client
from prometheus_client import core

from .event import Event

PREFIX = "wasabidrum_"
REQUEST_END_EVENTS = frozenset(
    (Event.REQUEST_DONE, Event.REQUEST_REFUSED, Event.REQUEST_FAILED, Event.REQUEST_CANCELLED)
)
# The latency targets are 1.2 s to the first token and half a minute to the end of a request.
FIRST_TOKEN_BUCKETS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0)
REQUEST_BUCKETS = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0)


class Metrics:
    """Counters and histograms of events, and gauges and counters that are read at each scrape."""

    __slots__ = ("_registry", "_events", "_requests", "_tokens")
    __slots__ += ("_first_token", "_seconds", "_gauges", "_counters")

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        prometheus_client.ProcessCollector(registry=self._registry)
        self._events = self._counter("events", "Events logged, by name.", "event")
        self._requests = self._counter(
            "requests", "Requests of callers that ended.", "outcome", "code"
        )
        self._tokens = self._counter("tokens", "Tokens of whole answers.")
        self._first_token = self._histogram(
            "first_token_seconds", "From a request's head to its first token.", FIRST_TOKEN_BUCKETS
        )
        self._seconds = self._histogram(
            "request_seconds",
            "From a request's head to the end of a whole answer.",
            REQUEST_BUCKETS,
        )
        self._gauges: dict[str, tuple[str, collections.abc.Callable[[], float]]] = {}
        self._counters: dict[str, tuple[str, str, collections.abc.Callable]] = {}
        self._registry.register(self)

    def add_gauge(self, name: str, text: str, read: collections.abc.Callable[[], float]) -> None:
        """Adds a gauge whose value is read at each scrape."""
        self._gauges[PREFIX + name] = (text, read)

    def add_counter(
        self,
        name: str,
        text: str,
        label: str,
        read: collections.abc.Callable[[], dict[str, float]],
    ) -> None:
        """Adds a counter with one label; its counts by label value are read at each scrape."""
        self._counters[PREFIX + name] = (text, label, read)

    def count_event(self, event: Event, facts: dict[str, object]) -> None:
        """Counts an event, and updates the request metrics if it ends a caller's request."""
        self._events.labels(event.name.lower()).inc()
        if event not in REQUEST_END_EVENTS:
            return
        self._requests.labels(facts.get("outcome", ""), facts.get("code", "")).inc()
        self._tokens.inc(facts.get("tokens", 0))
        if "seconds" in facts:
            self._seconds.observe(facts["seconds"])
        if "first_token" in facts:
            self._first_token.observe(facts["first_token"])

    def collect(self) -> collections.abc.Iterator[core.Metric]:
        """Yields the metrics that are read at each scrape; the collector method of
        prometheus_client."""
        for name, (text, read) in self._gauges.items():
            yield core.GaugeMetricFamily(name, text, value=float(read()))
        for name, (text, label, read_all) in self._counters.items():
            family = core.CounterMetricFamily(name, text, labels=(label,))
            for value, count in read_all().items():
                family.add_metric((value,), count)
            yield family

    def expose(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def _counter(self, name: str, text: str, *labels: str) -> prometheus_client.Counter:
        return prometheus_client.Counter(PREFIX + name, text, labels, registry=self._registry)

    def _histogram(
        self, name: str, text: str, buckets: tuple[float, ...]
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            PREFIX + name, text, buckets=buckets, registry=self._registry
        )
