"""The handling of a request at the edge (the process that holds the client connections), without I/O."""
