"""Main scripts of the daemons and of the command-line client."""
