"""Which prompt prefixes each engine holds in its KV cache: blocks, index, cache events, estimates."""
