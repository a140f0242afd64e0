"""The planner: owns the server list and runs one policy instance for each edge."""
