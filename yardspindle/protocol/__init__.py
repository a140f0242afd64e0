"""Protocol parsers and serializers that work on bytes only, independent of sockets, clocks and other packages."""
