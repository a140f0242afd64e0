"""Parses addresses (an IPv4 address and a port) in the dispatcher's configuration and in the host list of discovery.

Host names are not accepted, because their resolution would block the event loop.
"""

from __future__ import annotations

import re

OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
ADDRESS = re.compile(rf"({OCTET}(?:\.{OCTET}){{3}}):([1-9][0-9]{{0,4}})")


def ipv4_address(text: str) -> tuple[str, int]:
    """Host and port of `10.1.0.18:9000`. Raises ValueError."""
    match = ADDRESS.fullmatch(text)
    if match is None or (port := int(match[2])) > 65_535:
        raise ValueError(f"not an IPv4 address with a port: {text[:40]!r}")
    return match[1], port
