"""The library of the command line: calls to entries, plans of changes and tables."""
