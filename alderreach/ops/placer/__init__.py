"""The placer daemon: ownership of a failure domain, its targets and its tasks."""
