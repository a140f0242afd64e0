"""The fleet from a process's point of view: server list, membership, shared key-value store, planned departures."""
