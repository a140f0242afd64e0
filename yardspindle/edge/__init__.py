"""The edge: holds client connections and attempts, carries out what the planner decides."""
