"""Data structures and pure state machines; nothing here does I/O or reads a clock."""
