"""The routing policy of one router, by concern; settings, events and actions: yardspindle/interface.py."""

from yardspindle.policy.decide import SWEEP_TOKEN, Policy

__all__ = ["SWEEP_TOKEN", "Policy"]
