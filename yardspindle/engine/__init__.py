"""HTTP client for engines (model servers): prefill and decode calls, memory reservations, and releases of both."""
