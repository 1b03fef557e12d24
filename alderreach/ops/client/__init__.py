"""The library behind the command line: calls to entries, plans of changes, tables."""
