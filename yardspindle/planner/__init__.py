"""The planner: owns the server list and hosts the policy, one for each edge."""
