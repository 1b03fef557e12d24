"""The tasks that make up the daemons."""
