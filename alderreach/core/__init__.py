"""Plain data and pure operations over it."""
