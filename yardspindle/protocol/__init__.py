"""Parsers and writers that take and give bytes: no socket, no clock, nothing of ours."""
