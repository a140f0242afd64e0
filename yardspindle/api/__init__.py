"""Fronts: HTTP serving, the OpenAI-style chat API, mapping to the interface's requests."""
