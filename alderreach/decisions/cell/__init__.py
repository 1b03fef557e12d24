"""Decisions of the one owner of a whole cell; no clock, no socket, no thread."""
