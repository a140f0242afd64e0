"""A router for language models that read prompts and write answers on separate engines.

The decisions alone (`Policy` and `yardspindle.interface`) need the standard library only.
"""

from yardspindle.policy import Policy

__all__ = ["Policy"]
