"""Scheduler, timers, streams and the World: all that touches time, sockets and chance."""
