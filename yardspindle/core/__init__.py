"""All decisions and state other than the routing policy's, free of I/O: events in, commands out."""
