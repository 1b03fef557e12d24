"""Clocks, sockets, files and the time line."""
