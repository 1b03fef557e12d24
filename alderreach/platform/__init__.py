"""The users' platform: its names, formats and calls, without any scheduling logic."""
