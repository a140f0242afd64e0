"""The dispatcher on the users' platform: its protocol in and out, edge core and policy in one process."""
