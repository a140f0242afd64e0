"""The steward: a program that works on behalf of the whole fleet; no client meets it."""
