"""Scheduler, timers, streams and the World: the only code that accesses clocks, sockets and random numbers."""
