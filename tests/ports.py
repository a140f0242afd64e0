"""Ports for programs that a test starts, restarts or expects to be down."""

from __future__ import annotations

import socket


def reserve_port(address: str = "127.0.0.1") -> socket.socket:
    """Return a bound socket that keeps its port from other programs until it is closed; it must never listen.

    Only a listener that sets SO_REUSEADDR and asks for this very port can use it, as often as it likes; the kernel
    gives it to no other listener and to no outgoing connection. While nobody listens there, connections are refused.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((address, 0))
    return reserved


def port_of(reserved: socket.socket) -> int:
    return int(reserved.getsockname()[1])
