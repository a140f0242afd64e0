"""HTTP client for engines (model servers): prefill, decode, reserving places, and releasing KV states and places."""
