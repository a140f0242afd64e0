"""The link between an edge (which holds the client connections) and its planner (which decides what servers do)."""
