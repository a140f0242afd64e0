"""The planner: the process that owns the server list and decides which server does what.

It runs one policy (the decision module) for each edge, a process that holds client connections.
"""
