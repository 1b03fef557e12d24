"""Clocks, tasks, transport, HTTP, files, metrics and the time line."""
