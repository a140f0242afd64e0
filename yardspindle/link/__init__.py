"""What edge and planner say to each other."""
