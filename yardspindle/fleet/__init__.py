"""Sources of the server list."""
