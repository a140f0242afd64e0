"""All decisions and state other than the policy's, free of I/O: events in, commands out."""
