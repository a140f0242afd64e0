"""What the processes of a fleet know of each other, and who acts for all."""
