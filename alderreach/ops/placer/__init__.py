"""The placer daemon."""
