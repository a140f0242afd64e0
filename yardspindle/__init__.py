"""yardspindle: decisions of a router that pairs prompt readers with answer writers."""

from yardspindle.policy import Policy

__all__ = ["Policy"]
