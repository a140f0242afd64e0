"""The laboratory: stand-in engines, scripted days, the audit of what passed on the sockets."""
