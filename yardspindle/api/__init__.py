"""HTTP server and OpenAI-compatible chat API: request validation, responses and error replies."""
