"""The command line: one file a sub-command."""
