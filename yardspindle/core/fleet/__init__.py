"""Fleet coordination without I/O: store schema, duty ownership, unit permits, releases, clock and liveness checks."""
