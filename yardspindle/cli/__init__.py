"""The command line, with one module for each sub-command or group."""
