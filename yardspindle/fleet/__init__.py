"""The fleet from a process's point of view: server list, membership, shared store, planned departures."""
