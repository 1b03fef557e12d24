"""A randomized soak of the programs that run a cell on the users' platform."""
