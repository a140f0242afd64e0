"""The steward: runs fleet-wide background tasks (duties); it serves no client requests."""
