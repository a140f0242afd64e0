"""The edge: the process that holds client connections and calls the engines (model servers).

It executes the decisions of the planner, the process that decides which server does what.
"""
