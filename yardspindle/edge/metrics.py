"""The Prometheus metrics of the edge, the process that holds the client connections.

The label `cls` is the request's class: a configured kind of request with time limits and a value of its own.
"""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)


class EdgeMetrics:
    """The metrics of one edge, in a registry of its own because several edges may share a process."""

    def __init__(self) -> None:
        """Register all metrics at zero."""
        self.registry = CollectorRegistry()
        self.final_answers = Counter(
            "yardspindle_final_answers", "Final answers", ("cls", "final", "code"), registry=self.registry
        )
        self.clients_left = Counter(
            "yardspindle_clients_left",
            "Clients that disconnected before their final answer",
            ("cls",),
            registry=self.registry,
        )
        self.attempts = Counter("yardspindle_attempts", "Ended attempts", ("stage", "status"), registry=self.registry)
        self.first_token_seconds = Histogram(
            "yardspindle_first_token_seconds",
            "Time to the first token",
            ("cls",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.streamed_events = Counter(
            "yardspindle_streamed_events", "Events streamed to clients", registry=self.registry
        )
        self.prompt_tokens = Counter(
            "yardspindle_prompt_tokens", "Prompt tokens that engines counted", registry=self.registry
        )
        self.cached_tokens = Counter(
            "yardspindle_cached_tokens",
            "Prompt tokens that readers (prefill servers) found in their KV caches",
            registry=self.registry,
        )
        # An interlock is a rule by which the edge stops an action of the planner, or makes up for a missing one.
        self.interlocks = Counter(
            "yardspindle_interlocks",
            "Planner actions that the edge refused, and missing ones that it made up for",
            ("rule",),
            registry=self.registry,
        )
        # Found by the rule checker, which checks every command of the core against a record of its own.
        self.broken_rules = Counter(
            "yardspindle_broken_rules", "Violations that the rule checker found", ("rule",), registry=self.registry
        )
        # The prefix index predicts which blocks (runs of prompt tokens) each reader has in its KV cache.
        self.index_blocks = Gauge("yardspindle_index_blocks", "Blocks in the prefix index", registry=self.registry)
        self.index_predicted = Gauge(
            "yardspindle_index_told_tokens",
            "Cached prompt tokens predicted for finished reads, total",
            registry=self.registry,
        )
        self.index_found = Gauge(
            "yardspindle_index_found_tokens",
            "Predicted cached prompt tokens that the readers found cached, total",
            registry=self.registry,
        )
        self.index_trust = Gauge(
            "yardspindle_index_trust", "Trust in a reader's cache events, 0 to 1", ("server",), registry=self.registry
        )
        # The planner is the process that decides which server does what.
        self.planner_up = Gauge("yardspindle_planner_up", "1 while a planner is linked, else 0", registry=self.registry)
        self.open_requests = Gauge(
            "yardspindle_open_requests", "Requests accepted and not yet finished", registry=self.registry
        )
        self.client_connections = Gauge(
            "yardspindle_client_connections", "Open client connections", registry=self.registry
        )

    def exposition(self) -> bytes:
        """The metrics in Prometheus's text format."""
        return generate_latest(self.registry)
