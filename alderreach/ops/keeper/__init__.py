"""The keeper daemon."""
