"""Test bench: stand-in engines, generated load, fault injection, and an audit of what was seen on the sockets."""
