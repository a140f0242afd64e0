"""HTTP client for engines: reads, writes, places and releases."""
