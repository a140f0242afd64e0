"""The client side of an engine: read, write, place, release."""
