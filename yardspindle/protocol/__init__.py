"""Parsers and serializers of HTTP/1.1 and server-sent events on bytes only, independent of sockets and clocks."""
