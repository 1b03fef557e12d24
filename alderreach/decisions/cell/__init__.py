"""Decisions of a cell's leader; nothing here uses a clock, a socket or a thread."""
