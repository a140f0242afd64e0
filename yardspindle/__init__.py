"""A router for language models whose prefill (read) and decode (write) stages run on separate engines.

`Policy` and `yardspindle.interface`, which make the routing decisions, need only the standard library.
"""

from yardspindle.policy import Policy

__all__ = ["Policy"]
