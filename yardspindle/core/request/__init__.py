"""The edge's handling of a request, without I/O: accepted, sent, answered, released."""
