"""A randomized soak test of the programs that run a cell on the users' platform."""
