"""The edge: holds client connections, runs attempts at engines and executes the planner's decisions."""
