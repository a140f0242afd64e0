"""Engines and their addresses: server lists, discovery, and limits on connections to engines."""
